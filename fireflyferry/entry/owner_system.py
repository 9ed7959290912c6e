"""System that loads, places, saves and grants the owners of led groups on each tick."""

import asyncio
import logging
from collections.abc import Callable

import attrs

from fireflyferry.edges import Clock, ObjectStore, UpstreamControl, VersionConflictError
from fireflyferry.edges.base import EdgeError
from fireflyferry.entry.earlier_leaders import earlier_leaders, leaders_to_save
from fireflyferry.entry.group_runtime import GroupRuntime
from fireflyferry.entry.placing import Placing
from fireflyferry.entry.state import VmState
from fireflyferry.entry.upstream_table import UpstreamRow, UpstreamTable
from fireflyferry.messages import OwnerSet, VmIncarnation, decode, encode
from fireflyferry.ownership import SaveOwners, SendGrant
from fireflyferry.placement import parse_unit
from fireflyferry.tasks import BackgroundTasks

__all__ = ["ASSIGNMENTS_PREFIX", "OwnerSystem"]

_LOG = logging.getLogger(__name__)

ASSIGNMENTS_PREFIX = "assignments/"
LOAD_RETRY_S = 0.2
STORE_CATCH_UP_S = 2.0
# The store answers in milliseconds. Waiting for its timeout before the standby's copy counts
# added 2 s to the unavailable time of an owner that is lost during an outage.
STORE_PATIENCE_S = 0.3


class OwnerSystem:
    """Runs the grant books of the groups that this VM leads."""

    def __init__(
        self,
        state: VmState,
        clock: Clock,
        store: ObjectStore,
        upstream_control: UpstreamControl,
        upstreams: UpstreamTable,
        tasks: BackgroundTasks,
        term_begun: Callable[[GroupRuntime], None],
    ) -> None:
        self._state = state
        self._clock = clock
        self._store = store
        self._upstream_control = upstream_control
        self._upstreams = upstreams
        self._placing = Placing(state, upstreams)
        self._tasks = tasks
        self._term_begun = term_begun

    def run(self, now_s: float, runtimes: list[GroupRuntime]) -> None:
        """Advance every led group."""
        led = [runtime for runtime in runtimes if runtime.authority.is_leader(now_s)]
        for runtime in led:
            if runtime.book_term != runtime.term:
                self._start_loading(runtime)
                continue
            self._placing.run(now_s, runtime)
            self._confirm_by_standby(runtime)
            self._retry_store(now_s, runtime)
            self._tick_book(now_s, runtime)
        self._greet(now_s, led)

    def _tick_book(self, now_s: float, runtime: GroupRuntime) -> None:
        """Advance the moves of a group, and send and save what is due."""
        for action in runtime.book.tick(now_s, runtime.authority.authority_until_s()):
            if isinstance(action, SendGrant):
                self._tasks.start(self._send_grant(runtime, action, now_s))
            else:
                leaders = leaders_to_save(runtime, self._state.me)
                owners = attrs.evolve(action.owners, leaders=leaders, pins=dict(runtime.pins))
                self._start_saving(runtime, attrs.evolve(action, owners=owners))

    def _advance(self, runtime: GroupRuntime) -> None:
        """Go on with a move at once when a save or a reply allows it.

        Waiting for the next tick at each step made a unit unavailable for two to three ticks.
        """
        now_s = self._clock.monotonic_s()
        if runtime.leads(now_s):
            self._tick_book(now_s, runtime)

    def on_upstream_gone(self, upstream_id: str, runtimes: list[GroupRuntime]) -> None:
        """Free the units of an upstream that the platform or an operator says is gone."""
        now_s = self._clock.monotonic_s()
        self._upstreams.forget(upstream_id)
        for runtime in runtimes:
            runtime.book.on_upstream_gone(now_s, upstream_id)

    # Loading the owners at the start of a term

    def _start_loading(self, runtime: GroupRuntime) -> None:
        term = runtime.term
        if runtime.loading_term != term:
            runtime.loading_term = term
            self._tasks.start(self._load(runtime, term))

    async def _load(self, runtime: GroupRuntime, term: int) -> None:
        """Read the newest owners and rewrite them under the new term.

        The rewrite makes a late write of the earlier leader fail.
        """
        name = f"{ASSIGNMENTS_PREFIX}{runtime.group}"
        while runtime.term == term:
            try:
                stored = await self._store.get(name)
                known = decode(stored.data, OwnerSet) if stored and stored.data else None
                newest = self._newest(runtime, known)
                earlier = earlier_leaders(newest, self._state.me)
                owners = self._rewritten(runtime, newest, term, earlier)
                version = stored.version if stored else 0
                runtime.assignments_version = await self._store.put(name, encode(owners), version)
            except EdgeError as error:
                _LOG.warning(
                    "owners_not_loaded", extra={"group": str(runtime.group), "error": error.code}
                )
                await asyncio.sleep(LOAD_RETRY_S)
                continue
            self._begin_term(runtime, term, owners, earlier)
            return

    @staticmethod
    def _newest(runtime: GroupRuntime, stored: OwnerSet | None) -> OwnerSet | None:
        copies = [copy for copy in (stored, runtime.authority.replica) if copy is not None]
        return max(copies, key=lambda copy: (copy.term, copy.sequence), default=None)

    def _rewritten(
        self,
        runtime: GroupRuntime,
        newest: OwnerSet | None,
        term: int,
        earlier: set[VmIncarnation],
    ) -> OwnerSet:
        leaders = tuple(sorted({self._state.me, *earlier}))
        known = newest or OwnerSet(runtime.group, term, 0, {})
        return attrs.evolve(known, term=term, sequence=0, leaders=leaders)

    def _begin_term(
        self, runtime: GroupRuntime, term: int, owners: OwnerSet, earlier: set[VmIncarnation]
    ) -> None:
        if runtime.term != term:
            return
        now_s = self._clock.monotonic_s()
        until_s = runtime.authority.previous_grants_until_s
        runtime.book.begin_term(now_s, term, owners, until_s, earlier_leader_stopped=not earlier)
        runtime.earlier_leaders = earlier
        if not earlier:
            runtime.book.on_earlier_leader_stopped(now_s)
        runtime.book_term = term
        runtime.led_since_s = now_s
        runtime.assigned = dict(owners.owners)
        runtime.pins = dict(owners.pins)
        keys = (parse_unit(unit).key for unit in owners.owners)
        runtime.planner.adopt(key for key in keys if key is not None)
        runtime.next_placement_s = 0.0
        runtime.used = set()
        runtime.unsaved = None
        runtime.confirmed_save = 0
        self._term_begun(runtime)
        _LOG.info("term_begun", extra={"group": str(runtime.group), "term": term})

    # Saving owners

    def _start_saving(self, runtime: GroupRuntime, action: SaveOwners) -> None:
        runtime.authority.replicate(self._clock.monotonic_s(), action.owners)
        runtime.unsaved = action
        if not runtime.saving:
            runtime.saving = True
            runtime.next_store_try_s = self._clock.monotonic_s() + STORE_CATCH_UP_S
            self._tasks.start(self._save(runtime, action))

    async def _save(self, runtime: GroupRuntime, action: SaveOwners) -> None:
        runtime.save_started_s = self._clock.monotonic_s()
        name = f"{ASSIGNMENTS_PREFIX}{runtime.group}"
        try:
            runtime.assignments_version = await self._store.put(
                name, encode(action.owners), runtime.assignments_version
            )
        except VersionConflictError:
            await self._read_back(runtime, action, name)
        except EdgeError:
            runtime.store_away = True
            await self._read_back(runtime, action, name)
        else:
            self._saved(runtime, action, "store")
        finally:
            runtime.saving = False
        if not runtime.leads(self._clock.monotonic_s()):
            return
        if runtime.unsaved not in (None, action) and not runtime.store_away:
            self._start_saving(runtime, runtime.unsaved)
        self._advance(runtime)

    async def _read_back(self, runtime: GroupRuntime, action: SaveOwners, name: str) -> None:
        """Find out whether a write with an unknown result took effect."""
        try:
            stored = await self._store.get(name)
        except EdgeError:
            return
        if stored is None or stored.data is None:
            return
        found = decode(stored.data, OwnerSet)
        if found.term > action.owners.term:
            return
        runtime.assignments_version = stored.version
        if found == action.owners:
            self._saved(runtime, action, "store")

    def _confirm_by_standby(self, runtime: GroupRuntime) -> None:
        """Accept the standby's copy while the store does not answer."""
        action = runtime.unsaved
        if action is None or runtime.confirmed_save >= action.save_id:
            return
        waited_s = self._clock.monotonic_s() - runtime.save_started_s
        if not runtime.store_away and (not runtime.saving or waited_s < STORE_PATIENCE_S):
            return
        wanted = (action.owners.term, action.owners.sequence)
        if (runtime.authority.owners_acknowledged or (0, 0)) >= wanted:
            self._saved(runtime, action, "standby")

    def _retry_store(self, now_s: float, runtime: GroupRuntime) -> None:
        """Bring the store up to date after an outage."""
        if runtime.unsaved is None or runtime.saving or now_s < runtime.next_store_try_s:
            return
        runtime.next_store_try_s = now_s + STORE_CATCH_UP_S
        runtime.saving = True
        self._tasks.start(self._save(runtime, runtime.unsaved))

    def _saved(self, runtime: GroupRuntime, action: SaveOwners, durability: str) -> None:
        runtime.durability = durability
        runtime.confirmed_save = max(runtime.confirmed_save, action.save_id)
        runtime.book.on_owners_saved(self._clock.monotonic_s(), action.save_id)
        if durability == "store":
            runtime.store_away = False
            if runtime.unsaved is action:
                runtime.unsaved = None

    # Upstreams

    async def _send_grant(self, runtime: GroupRuntime, action: SendGrant, sent_at_s: float) -> None:
        row = self._upstreams.get(action.upstream_id)
        if row is None:
            return
        try:
            reply = await self._upstream_control.grant(row.entry.address, action.message)
        except EdgeError:
            return
        now_s = self._clock.monotonic_s()
        runtime.book.on_grant_reply(now_s, action.upstream_id, sent_at_s, reply)
        self._upstreams.on_answer(action.upstream_id, reply.draining)
        self._advance(runtime)
        if not reply.accepted:
            _LOG.warning(
                "grant_refused",
                extra={
                    "group": str(runtime.group),
                    "upstream": action.upstream_id,
                    "reason": reply.reason,
                },
            )

    def _greet(self, now_s: float, led: list[GroupRuntime]) -> None:
        """Ask the upstreams that do not answer a led group's grants for a token."""
        waiting: dict[str, list[GroupRuntime]] = {}
        for runtime in led:
            for entry in self._placing.candidates(now_s, runtime):
                row = self._upstreams.track(entry)
                if not runtime.book.is_responsive(now_s, row.upstream_id):
                    waiting.setdefault(row.upstream_id, []).append(runtime)
        for upstream_id, runtimes in waiting.items():
            row = self._upstreams.take_due_for_hello(now_s, upstream_id)
            if row is not None:
                self._tasks.start(self._hello(row, runtimes, now_s))

    async def _hello(
        self, row: UpstreamRow, runtimes: list[GroupRuntime], sent_at_s: float
    ) -> None:
        try:
            hello = await self._upstream_control.hello(row.entry.address)
        except EdgeError:
            return
        now_s = self._clock.monotonic_s()
        if hello.upstream_id != row.upstream_id:
            _LOG.error(
                "wrong_upstream", extra={"expected": row.upstream_id, "found": hello.upstream_id}
            )
            return
        self._upstreams.on_hello(now_s, row.upstream_id, hello)
        for runtime in runtimes:
            runtime.book.on_hello(now_s, sent_at_s, hello)
            runtime.next_placement_s = 0.0
