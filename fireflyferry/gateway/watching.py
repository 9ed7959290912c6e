"""Sources that keep one kind of documents current from the store, by watching or polling."""

import abc
import asyncio
import contextlib
import logging
import random

import attrs

from fireflyferry.edges import Clock
from fireflyferry.gateway.edges import HistoryLostError, MetadataStore, StoreCallError
from fireflyferry.gateway.mirror import DocumentMirror, KindChanges
from fireflyferry.retries import doubled_s

__all__ = [
    "WATCH_MARGIN_S",
    "KindPoller",
    "KindSource",
    "KindWatcher",
    "StoreHealth",
    "WatchRules",
    "make_watch_rules",
]

_LOG = logging.getLogger(__name__)

# Time for the answer to arrive after a watch without changes; a slow store takes 0.25 s.
WATCH_MARGIN_S = 0.6
# Time from the failure of a watch until the result of the next one is in force.
RECOVERY_S = 0.8
MIN_WAIT_S = 0.3  # bounds the number of calls if the window is very short


@attrs.frozen
class WatchRules:
    """Timing of a watch, in seconds.

    A watch call waits for `wait_s` and fails `WATCH_MARGIN_S` later, which bounds how long a call
    whose connection hangs can hide changes. `gap_s` is the pause after a change, which lets further
    changes gather for the next call, since each call is priced. Calls that fail are made again, at
    intervals with an exponential backoff from `retry_s` to `max_retry_s`. When the store has come
    back from a copy, documents that are missing in it are kept for `keep_s`, until they have been
    written again; then the kind is listed once more.
    """

    wait_s: float
    gap_s: float
    retry_s: float = 0.2
    max_retry_s: float = 1.0
    keep_s: float = 0.0


def make_watch_rules(settle_window_s: float, gap_s: float) -> WatchRules:
    """Return rules by which no silent connection hides a change for longer than the window."""
    wait_s = settle_window_s - WATCH_MARGIN_S - RECOVERY_S
    return WatchRules(max(MIN_WAIT_S, wait_s), gap_s)


class StoreHealth:
    """Times of the last answered and the last failed call to the store, by this VM or its relay.

    A call without an answer shows either that the store is disturbed or that its connection has
    fallen silent. Later calls use connections that were opened after that, so the next result
    tells the two apart: an answer means that only connections were silent, a failure that the
    store is disturbed. Entries that are missing after a disturbance may have expired in it; those
    that are missing after silent connections were removed.
    """

    def __init__(self, clock: Clock, recent_s: float):
        self._clock = clock
        self._recent_s = recent_s
        self._failed_at_s = float("-inf")
        self._answered_at_s = float("-inf")
        self._unanswered_at_s: float | None = None  # None once another call was answered
        self._available = True

    @property
    def last_answer_age_s(self) -> float:
        """Seconds since the store last answered a call."""
        return self._clock.monotonic_s() - self._answered_at_s

    @property
    def last_failure_age_s(self) -> float:
        """Seconds since a call last failed that shows a disturbance of the store."""
        return self._clock.monotonic_s() - self._failed_at_s

    def failed_recently(self) -> bool:
        """Return whether the store may be disturbed, or was within the last `recent_s` seconds."""
        return self._unanswered_at_s is not None or self.last_failure_age_s < self._recent_s

    def on_success(self) -> None:
        """Record a call that the store answered."""
        self._answered_at_s = self._clock.monotonic_s()
        if self._unanswered_at_s is not None:
            self._unanswered_at_s = None
            _LOG.info("store_connections_silent")
        if not self._available:
            self._available = True
            _LOG.info(
                "store_regained", extra={"since_last_failure_s": round(self.last_failure_age_s, 3)}
            )

    def on_relay_report(self, last_answer_age_s: float, last_failure_age_s: float) -> None:
        """Record the results of calls to the store that the relay of this VM reported."""
        now_s = self._clock.monotonic_s()
        self._answered_at_s = max(self._answered_at_s, now_s - last_answer_age_s)
        self._failed_at_s = max(self._failed_at_s, now_s - last_failure_age_s)
        if self._unanswered_at_s is not None and self._unanswered_at_s < self._answered_at_s:
            self._unanswered_at_s = None

    def on_restored(self) -> None:
        """Record that the store came back from a copy, in which entries may be missing."""
        self._failed_at_s = self._clock.monotonic_s()

    def on_failure(self, error: Exception) -> None:
        """Record a call to the store that failed."""
        now_s = self._clock.monotonic_s()
        unanswered_s = error.unanswered_s if isinstance(error, StoreCallError) else None
        began_before_s = self._unanswered_at_s if self._unanswered_at_s is not None else now_s
        if unanswered_s is not None and now_s - unanswered_s < began_before_s:
            # Its connection may have fallen silent together with those of other calls.
            if self._unanswered_at_s is None:
                self._unanswered_at_s = now_s
                _LOG.info("store_call_unanswered", extra={"error": str(error)})
            return
        self._failed_at_s = now_s
        if self._available:
            self._available = False
            _LOG.warning("store_lost", extra={"error": str(error)})


class KindSource(abc.ABC):
    """Keeps one kind of documents current from the store.

    A VM that follows a relay pauses its sources. Once resumed, they continue from the position that
    the mirror has reached through the relay.
    """

    def __init__(
        self,
        store: MetadataStore,
        health: StoreHealth,
        clock: Clock,
        mirror: DocumentMirror,
        kind: str,
    ):
        self._store = store
        self._health = health
        self._clock = clock
        self._kind = kind
        self._mirror = mirror
        self._confirmed_s = float("-inf")
        self._resumed = asyncio.Event()
        self._resumed.set()

    @property
    def kind(self) -> str:
        """The kind of documents."""
        return self._kind

    @property
    def running(self) -> bool:
        """Whether this source makes calls to the store; False while it is paused."""
        return self._resumed.is_set()

    @property
    def age_s(self) -> float:
        """Seconds since the store last confirmed the kind; infinite before the first list."""
        return self._clock.monotonic_s() - self._confirmed_s

    def pause(self) -> None:
        """Start no further call until resumed."""
        self._resumed.clear()

    def resume(self) -> None:
        """Start making calls again."""
        self._resumed.set()

    @abc.abstractmethod
    async def run(self) -> None:
        """Keep the kind current until cancelled."""

    def _on_answer(self, requested_s: float) -> None:
        """Record an answer to the call that was made at `requested_s`."""
        self._health.on_success()
        self._confirmed_s = self._clock.monotonic_s()
        self._mirror.on_answer(self._kind, requested_s, self._confirmed_s)


class KindWatcher(KindSource):
    """Watches all documents of one kind."""

    def __init__(
        self,
        store: MetadataStore,
        health: StoreHealth,
        clock: Clock,
        mirror: DocumentMirror,
        kind: str,
        rules: WatchRules,
    ):
        super().__init__(store, health, clock, mirror, kind)
        self._rules = rules
        self._history_lost = False
        self._list_again_s = float("inf")

    async def run(self) -> None:
        """Watch until cancelled."""
        failures = 0
        while True:
            await self._resumed.wait()
            started_s = self._clock.monotonic_s()
            try:
                await self._step()
                failures = 0
            except HistoryLostError:
                self._health.on_success()
                position = self._mirror.position(self._kind)
                _LOG.info("history_lost", extra={"kind": self._kind, "position": position})
                self._history_lost = True
            except StoreCallError as error:
                self._health.on_failure(error)
                failures += 1
                await asyncio.sleep(self._pause_s(failures, started_s))

    def _pause_s(self, failures: int, started_s: float) -> float:
        """Return how long to wait after a failed call; one that hung is made again at once."""
        interval_s = doubled_s(self._rules.retry_s, failures, self._rules.max_retry_s)
        took_s = self._clock.monotonic_s() - started_s
        return max(0.0, interval_s * random.uniform(0.5, 1.0) - took_s)

    async def _step(self) -> None:
        position = self._mirror.position(self._kind)
        requested_s = self._clock.monotonic_s()
        if position is None or self._history_lost or requested_s >= self._list_again_s:
            listed = await self._store.list(self._kind)
            self._on_answer(requested_s)
            self._history_lost = False
            keeps_missing = self._keeps_missing(requested_s)
            self._mirror.replace(self._kind, listed, keeps_missing)
            # Pauses also without a change, so that a store which keeps losing its history is not
            # listed in a tight loop.
            changed = True
        else:
            watched = await self._store.watch(self._kind, position, self._rules.wait_s)
            self._on_answer(requested_s)
            changes = KindChanges(watched.position, watched.documents, watched.removed)
            changed = self._mirror.change(self._kind, changes)
        if changed:
            await asyncio.sleep(self._rules.gap_s)

    def _keeps_missing(self, requested_s: float) -> bool:
        """Return whether a list keeps documents that it lacks, and plan the list that does not."""
        if self._rules.keep_s > 0.0 and self._mirror.awaits_rewrites(self._kind):
            self._list_again_s = requested_s + self._rules.keep_s
        elif requested_s >= self._list_again_s:
            self._list_again_s = float("inf")
        return self._list_again_s < float("inf")


class KindPoller(KindSource):
    """Polls all documents of one kind with stale lists, and makes an exact list on request.

    Suits kinds whose changes also arrive in another way, or may arrive seconds late. A watch
    costs a priced call for each change, and a stale list costs a tenth of such a call. The first
    list after the store came back from a copy removes nothing, since writers write again what is
    missing in it; the next one does.
    """

    def __init__(
        self,
        store: MetadataStore,
        health: StoreHealth,
        clock: Clock,
        mirror: DocumentMirror,
        kind: str,
        interval_s: float,
        min_gap_s: float = 0.5,
    ):
        super().__init__(store, health, clock, mirror, kind)
        self._interval_s = interval_s
        self._min_gap_s = min_gap_s
        self._exact_list_requested = asyncio.Event()

    @property
    def exact_list_requested(self) -> bool:
        """Whether an exact list was requested and not made yet."""
        return self._exact_list_requested.is_set()

    def request_exact_list(self) -> None:
        """Request an exact list, which is made after the minimum pause."""
        self._exact_list_requested.set()

    def cancel_exact_list(self) -> None:
        """Cancel the request for an exact list, after a relay has received it."""
        self._exact_list_requested.clear()

    async def run(self) -> None:
        """Poll until cancelled."""
        exact = True
        while True:
            await self._resumed.wait()
            requested_s = self._clock.monotonic_s()
            try:
                listed = await self._store.list(self._kind, stale=not exact)
            except StoreCallError as error:
                self._health.on_failure(error)
                await asyncio.sleep(self._min_gap_s * random.uniform(0.8, 1.2))
                continue
            self._on_answer(requested_s)
            keeps_missing = self._mirror.awaits_rewrites(self._kind)
            self._mirror.replace(self._kind, listed, keeps_missing)
            exact = False
            await asyncio.sleep(self._min_gap_s)
            with contextlib.suppress(TimeoutError):
                pause_s = self._interval_s * random.uniform(0.9, 1.1) - self._min_gap_s
                async with asyncio.timeout(pause_s):
                    await self._exact_list_requested.wait()
            if self._exact_list_requested.is_set():
                self._exact_list_requested.clear()
                exact = True
