"""Distribution of the store's objects: relays watch the store, other VMs poll a relay."""

import asyncio
import contextlib
import logging

from fireflyferry.edges import Clock, ObjectStore, PeerLink, VmList, WatchBatch
from fireflyferry.edges.base import EdgeError
from fireflyferry.entry.state import VM_LIST_OBJECT, VmState
from fireflyferry.membership.roles import RELAYS_PER_DATA_CENTRE, relay_order
from fireflyferry.messages import VmEntry
from fireflyferry.messages.control import LOST_PREFIX
from fireflyferry.placement import bucket_of
from fireflyferry.tasks import BackgroundTasks

__all__ = ["Feed"]

_LOG = logging.getLogger(__name__)

WATCHED_PREFIXES = ("config/tables", LOST_PREFIX, "groups/", "placements/")
LONG_POLL_TIMEOUT_S = 20.0
VM_LIST_INTERVAL_S = 2.0
RETRY_DELAY_S = 0.5


class Feed:
    """Keeps this VM's mirror of the store's objects up to date.

    A VM that is not a relay is a follower. A follower reads the store itself after as many failed
    polls as there are relays.
    """

    def __init__(
        self,
        state: VmState,
        clock: Clock,
        store: ObjectStore,
        vm_list: VmList,
        peers: PeerLink,
    ) -> None:
        self._state = state
        self._clock = clock
        self._store = store
        self._vm_list = vm_list
        self._peers = peers
        self._failed_relay_polls = 0
        self._followed_relay: str | None = None
        self._position = 0
        self._change_event = asyncio.Event()
        self._last_answer_at_s: float | None = None
        state.on_change.append(self._wake_followers)

    @property
    def source(self) -> str:
        """`store`, or the id of the relay that this VM polls; empty before its first poll."""
        return "store" if self._is_relay() else self._followed_relay or ""

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the source last answered, infinity if it never has."""
        return (
            now_s - self._last_answer_at_s if self._last_answer_at_s is not None else float("inf")
        )

    @property
    def role(self) -> str:
        """`relay` or `follower`."""
        return "relay" if self._is_relay() else "follower"

    async def run(self) -> None:
        """Update the mirror until cancelled, also after unexpected errors."""
        tasks = BackgroundTasks()
        loops = [tasks.supervise(self._run_object_feed), tasks.supervise(self._poll_vm_list)]
        try:
            await asyncio.gather(*loops)
        finally:
            tasks.cancel()

    async def wait_for_changes(self, since: int, timeout_s: float) -> WatchBatch:
        """Return the changes after position `since`, waiting for at most `timeout_s` seconds.

        Returns at once if there are changes already, or if `since` is 0 or unknown.
        """
        mirror = self._state.mirror
        if 0 < since == mirror.sequence:
            change_event = self._change_event
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(change_event.wait(), timeout_s)
        return mirror.changes_since(since)

    def apply(self, batch: WatchBatch) -> None:
        """Apply an answer of the source to the mirror."""
        self._last_answer_at_s = self._clock.monotonic_s()
        self._state.apply(batch.changes)

    def _wake_followers(self) -> None:
        change_event, self._change_event = self._change_event, asyncio.Event()
        change_event.set()

    def _ranked_relays(self) -> list:
        return relay_order(self._state.vm_table, self._state.data_centre)

    def _is_relay(self) -> bool:
        relays = self._ranked_relays()[:RELAYS_PER_DATA_CENTRE]
        return not relays or self._state.vm_id in {vm.vm_id for vm in relays}

    async def _run_object_feed(self) -> None:
        watched_since = None
        while True:
            try:
                if self._is_relay() or self._failed_relay_polls >= RELAYS_PER_DATA_CENTRE:
                    watched_since = await self._watch_store(watched_since)
                    self._failed_relay_polls = 0
                else:
                    watched_since = None
                    await self._follow_relay()
            except EdgeError as error:
                _LOG.warning("feed_failed", extra={"error": error.code, "role": self.role})
                await self._read_from_seed_peers()
                await asyncio.sleep(RETRY_DELAY_S)

    async def _watch_store(self, since: int | None) -> int:
        if since is None:
            batches = [await self._store.list(prefix) for prefix in WATCHED_PREFIXES]
            for batch in batches:
                self.apply(batch)
            # A change made between two listings may be missing from the earlier one, so the watch
            # starts at the lowest position.
            return min(batch.sequence for batch in batches)
        batch = await self._store.watch(WATCHED_PREFIXES, since, LONG_POLL_TIMEOUT_S)
        self.apply(batch)
        return batch.sequence

    async def _follow_relay(self) -> None:
        relays = self._ranked_relays()
        # The hash spreads followers evenly over the relays.
        first_index = bucket_of(self._state.vm_id, RELAYS_PER_DATA_CENTRE)
        relay = relays[(first_index + self._failed_relay_polls) % len(relays)]
        if relay.vm_id != self._followed_relay:
            self._followed_relay, self._position = relay.vm_id, 0
        try:
            batch = await self._peers.feed(
                relay.peer_address,
                self._position,
                self._state.revision,
                self._state.vm_id,
                LONG_POLL_TIMEOUT_S,
            )
        except EdgeError:
            self._failed_relay_polls += 1
            raise
        self._position = batch.sequence
        self.apply(batch)

    async def _read_from_seed_peers(self) -> None:
        """Read from the configured seed peers while neither the store nor a relay answers."""
        for address in self._state.seed_peers:
            try:
                self.apply(
                    await self._peers.feed(
                        address, 0, self._state.revision, self._state.vm_id, RETRY_DELAY_S
                    )
                )
                return
            except EdgeError:
                continue

    async def _poll_vm_list(self) -> None:
        while True:
            if self._is_relay():
                try:
                    self._apply_vm_list(await self._vm_list.fetch())
                except EdgeError as error:
                    _LOG.warning("vm_list_failed", extra={"error": error.code})
            await asyncio.sleep(VM_LIST_INTERVAL_S)

    def _apply_vm_list(self, entries: tuple[VmEntry, ...]) -> None:
        """Add a changed list to the mirror, with the wall time in ms as its version.

        The platform's list has no version, so wall time orders the lists that two relays fetch. A
        stale list from the other relay can therefore replace a newer one, and a VM that it does
        not name yet counts as gone.
        """
        version = int(self._clock.wall_s() * 1000)
        stored = self._state.vm_list_object(version, entries)
        current = self._state.mirror.get(VM_LIST_OBJECT)
        if current is None or current.data != stored.data:
            self.apply(WatchBatch(0, (stored,)))
