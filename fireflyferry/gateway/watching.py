"""Mirrors of kinds of objects in the store, kept current by watches."""

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable, Mapping

import attrs

from fireflyferry.edges import Clock
from fireflyferry.gateway.edges import Document, HistoryLostError, MetadataStore, StoreCallError

__all__ = ["KindPoller", "KindWatcher", "StoreHealth", "WatchRules"]

_LOG = logging.getLogger(__name__)


@attrs.frozen
class WatchRules:
    """Times of a watch in seconds.

    `wait_s` bounds how long a watch that went silent is believed. `gap_s` lets changes gather
    between two calls, each of which is priced.
    """

    wait_s: float
    gap_s: float
    retry_s: float = 0.2
    most_retry_s: float = 1.0


class StoreHealth:
    """When calls to the store failed last, over all users of the store on this VM."""

    def __init__(self, clock: Clock, disturbed_s: float):
        self._clock = clock
        self._disturbed_s = disturbed_s
        self._failed_at_s = float("-inf")
        self._available = True

    def disturbed(self) -> bool:
        """Tell whether a call failed within the last `disturbed_s`."""
        return self._clock.monotonic_s() - self._failed_at_s < self._disturbed_s

    def on_success(self) -> None:
        """Note a call that was answered."""
        if not self._available:
            self._available = True
            away_s = self._clock.monotonic_s() - self._failed_at_s
            _LOG.info("store_regained", extra={"since_last_failure_s": round(away_s, 3)})

    def on_failure(self, error: Exception) -> None:
        """Note a call that was not answered."""
        self._failed_at_s = self._clock.monotonic_s()
        if self._available:
            self._available = False
            _LOG.warning("store_lost", extra={"error": str(error)})


class KindWatcher:
    """Keeps a mirror of all objects of one kind and tells of each change.

    The mirror keeps its last state while the store does not answer.
    """

    def __init__(
        self,
        store: MetadataStore,
        health: StoreHealth,
        clock: Clock,
        kind: str,
        rules: WatchRules,
        on_change: Callable[[Mapping[str, Document]], None],
    ):
        self._store = store
        self._health = health
        self._clock = clock
        self._kind = kind
        self._rules = rules
        self._on_change = on_change
        self._mirror: dict[str, Document] = {}
        self._position: int | None = None
        self._confirmed_s = float("-inf")

    @property
    def age_s(self) -> float:
        """Seconds since the store last confirmed the mirror; infinite before the first list."""
        return self._clock.monotonic_s() - self._confirmed_s

    @property
    def known(self) -> bool:
        """Whether the kind was listed at least once."""
        return self._position is not None

    async def run(self) -> None:
        """Watch until cancelled."""
        failures = 0
        while True:
            try:
                await self._step()
                failures = 0
                self._health.on_success()
            except HistoryLostError:
                _LOG.info("history_lost", extra={"kind": self._kind, "position": self._position})
                self._position = None
            except StoreCallError as error:
                self._health.on_failure(error)
                bound_s = min(self._rules.retry_s * 2**failures, self._rules.most_retry_s)
                failures += 1
                await asyncio.sleep(bound_s * random.uniform(0.5, 1.0))

    async def _step(self) -> None:
        if self._position is None:
            listed = await self._store.list(self._kind)
            self._mirror = {each.name: each for each in listed.documents}
            changed = True
        else:
            listed = await self._store.watch(self._kind, self._position, self._rules.wait_s)
            changed = self._apply(listed.documents, listed.removed)
        self._position = listed.position
        self._confirmed_s = self._clock.monotonic_s()
        if changed:
            self._on_change(self._mirror)
            await asyncio.sleep(self._rules.gap_s)

    def _apply(self, documents: tuple[Document, ...], removed: tuple[str, ...]) -> bool:
        for document in documents:
            known = self._mirror.get(document.name)
            if known is None or document.revision > known.revision:
                self._mirror[document.name] = document
        for name in removed:
            self._mirror.pop(name, None)
        return bool(documents or removed)


class KindPoller:
    """Lists all objects of one kind now and then with cheap, stale reads, and exactly when asked.

    For kinds whose changes also arrive in another way, or matter only after seconds: each watch
    is a priced call for each change, a stale list costs a tenth of one.
    """

    def __init__(
        self,
        store: MetadataStore,
        health: StoreHealth,
        clock: Clock,
        kind: str,
        interval_s: float,
        on_list: Callable[[Mapping[str, Document]], None],
        least_gap_s: float = 0.5,
    ):
        self._store = store
        self._health = health
        self._clock = clock
        self._kind = kind
        self._interval_s = interval_s
        self._least_gap_s = least_gap_s
        self._on_list = on_list
        self._asked = asyncio.Event()
        self._confirmed_s = float("-inf")

    @property
    def age_s(self) -> float:
        """Seconds since the store last answered; infinite before the first list."""
        return self._clock.monotonic_s() - self._confirmed_s

    def ask(self) -> None:
        """Have the kind listed exactly soon."""
        self._asked.set()

    async def run(self) -> None:
        """List until cancelled."""
        exact = True
        while True:
            try:
                listed = await self._store.list(self._kind, stale=not exact)
            except StoreCallError as error:
                self._health.on_failure(error)
            else:
                self._health.on_success()
                self._confirmed_s = self._clock.monotonic_s()
                self._on_list({each.name: each for each in listed.documents})
                exact = False
            await asyncio.sleep(self._least_gap_s)
            with contextlib.suppress(TimeoutError):
                pause_s = self._interval_s * random.uniform(0.9, 1.1) - self._least_gap_s
                async with asyncio.timeout(pause_s):
                    await self._asked.wait()
            if self._asked.is_set():
                self._asked.clear()
                exact = True
