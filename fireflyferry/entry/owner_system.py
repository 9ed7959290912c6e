"""System that loads, plans and saves the owners of led groups, and sends grants to them."""

import asyncio
import logging
from collections.abc import Callable

import attrs

from fireflyferry.edges import Clock, ObjectStore, UpstreamControl, VersionConflictError
from fireflyferry.edges.base import EdgeError
from fireflyferry.entry.earlier_leaders import earlier_leaders, leaders_to_save
from fireflyferry.entry.group_runtime import GroupRuntime
from fireflyferry.entry.placing import PlacementPlanner
from fireflyferry.entry.saved_owners import read_owner_set, without_odd_units
from fireflyferry.entry.state import VmState
from fireflyferry.entry.upstream_table import UpstreamRow, UpstreamTable
from fireflyferry.messages import OwnerSet, VmIncarnation, encode
from fireflyferry.messages.codec import MessageError
from fireflyferry.ownership import SaveOwners, SendGrant
from fireflyferry.placement import parse_unit
from fireflyferry.tasks import BackgroundTasks

__all__ = ["ASSIGNMENTS_PREFIX", "OwnerSystem"]

_LOG = logging.getLogger(__name__)

ASSIGNMENTS_PREFIX = "assignments/"
LOAD_RETRY_DELAY_S = 0.2
SAVE_RETRY_INTERVAL_S = 2.0
# The store answers within milliseconds. Waiting for its timeout before accepting the standby's
# copy made units whose owner was lost during an outage unavailable for 2 s longer.
STANDBY_CONFIRM_DELAY_S = 0.3


class OwnerSystem:
    """Runs the grant managers of the groups that this VM leads."""

    def __init__(
        self,
        state: VmState,
        clock: Clock,
        store: ObjectStore,
        upstream_control: UpstreamControl,
        upstreams: UpstreamTable,
        tasks: BackgroundTasks,
        on_term_begun: Callable[[GroupRuntime], None],
    ) -> None:
        self._state = state
        self._clock = clock
        self._store = store
        self._upstream_control = upstream_control
        self._upstreams = upstreams
        self._placement_planner = PlacementPlanner(state, upstreams)
        self._tasks = tasks
        self._on_term_begun = on_term_begun

    def run(self, now_s: float, runtimes: list[GroupRuntime]) -> None:
        """Run one tick for every led group, and send the hellos that are due."""
        led = [runtime for runtime in runtimes if runtime.authority.is_leader(now_s)]
        for runtime in led:
            if runtime.grants_term != runtime.term:
                self._start_loading(runtime)
                continue
            self._placement_planner.run(now_s, runtime)
            self._confirm_by_standby(runtime)
            self._retry_save(now_s, runtime)
            self._tick_grants(now_s, runtime)
        self._send_hellos(now_s, led)

    def _tick_grants(self, now_s: float, runtime: GroupRuntime) -> None:
        """Advance the moves of a group, send the grants and save the owners that are due."""
        for action in runtime.grants.tick(now_s, runtime.authority.authority_until_s()):
            if isinstance(action, SendGrant):
                self._tasks.start(self._send_grant(runtime, action, now_s))
            else:
                leaders = leaders_to_save(runtime, self._state.this_vm)
                owners = attrs.evolve(action.owners, leaders=leaders, pins=dict(runtime.pins))
                self._start_saving(runtime, attrs.evolve(action, owners=owners))

    def _continue_moves(self, runtime: GroupRuntime) -> None:
        """Advance the moves of a group at once, after a save or a grant reply.

        Waiting for the next tick at each step made a moving unit unavailable for two to three
        ticks.
        """
        now_s = self._clock.monotonic_s()
        if runtime.is_serving(now_s):
            self._tick_grants(now_s, runtime)

    def on_upstream_gone(self, upstream_id: str, runtimes: list[GroupRuntime]) -> None:
        """Free the units of an upstream that is gone.

        It is gone if the platform no longer lists it, or if an operator declared it lost.
        """
        now_s = self._clock.monotonic_s()
        self._upstreams.remove(upstream_id)
        for runtime in runtimes:
            runtime.grants.on_upstream_gone(now_s, upstream_id)

    # Loading the owners at the start of a term

    def _start_loading(self, runtime: GroupRuntime) -> None:
        term = runtime.term
        if runtime.loading_term != term:
            runtime.loading_term = term
            self._tasks.start(self._load(runtime, term))

    async def _load(self, runtime: GroupRuntime, term: int) -> None:
        """Read the newest owners and write them back under the new term.

        The write changes the version of the object, so that a delayed write of the earlier leader
        fails.
        """
        name = f"{ASSIGNMENTS_PREFIX}{runtime.group}"
        while runtime.term == term:
            try:
                stored = await self._store.get(name)
                # While the saved owners cannot be read, no unit may be granted.
                newest = self._newest_owners(runtime, read_owner_set(stored, runtime.group))
                earlier = earlier_leaders(newest, self._state.this_vm)
                owners = self._owners_for_term(runtime, newest, term, earlier)
                version = stored.version if stored else 0
                runtime.assignments_version = await self._store.put(name, encode(owners), version)
            except (EdgeError, MessageError) as error:
                _LOG.warning(
                    "owners_not_loaded", extra={"group": str(runtime.group), "error": error.code}
                )
                await asyncio.sleep(LOAD_RETRY_DELAY_S)
                continue
            self._begin_term(runtime, term, owners, earlier)
            return

    @staticmethod
    def _newest_owners(runtime: GroupRuntime, stored: OwnerSet | None) -> OwnerSet | None:
        copies = [copy for copy in (stored, runtime.authority.replica) if copy is not None]
        return max(copies, key=lambda copy: (copy.term, copy.sequence), default=None)

    def _owners_for_term(
        self,
        runtime: GroupRuntime,
        newest: OwnerSet | None,
        term: int,
        earlier: set[VmIncarnation],
    ) -> OwnerSet:
        leaders = tuple(sorted({self._state.this_vm, *earlier}))
        known = newest or OwnerSet(runtime.group, term, 0, {})
        return attrs.evolve(without_odd_units(known), term=term, sequence=0, leaders=leaders)

    def _begin_term(
        self, runtime: GroupRuntime, term: int, owners: OwnerSet, earlier: set[VmIncarnation]
    ) -> None:
        if runtime.term != term:
            return
        now_s = self._clock.monotonic_s()
        until_s = runtime.authority.previous_grants_until_s
        runtime.grants.begin_term(now_s, term, owners, until_s, earlier_leader_stopped=not earlier)
        runtime.earlier_leaders = earlier
        if not earlier:
            runtime.grants.on_earlier_leader_stopped(now_s)
        runtime.grants_term = term
        runtime.led_since_s = now_s
        runtime.desired_owners = dict(owners.owners)
        runtime.pins = dict(owners.pins)
        keys = (parse_unit(unit).key for unit in owners.owners)
        runtime.hot_key_planner.adopt(key for key in keys if key is not None)
        runtime.next_placement_s = 0.0
        runtime.answered_upstreams = set()
        runtime.unconfirmed_save = None
        runtime.confirmed_save_id = 0
        self._on_term_begun(runtime)
        _LOG.info("term_begun", extra={"group": str(runtime.group), "term": term})

    # Saving owners

    def _start_saving(self, runtime: GroupRuntime, action: SaveOwners) -> None:
        runtime.authority.replicate(self._clock.monotonic_s(), action.owners)
        runtime.unconfirmed_save = action
        if not runtime.save_in_progress:
            runtime.save_in_progress = True
            runtime.next_save_retry_s = self._clock.monotonic_s() + SAVE_RETRY_INTERVAL_S
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
            runtime.store_unavailable = True
            await self._read_back(runtime, action, name)
        else:
            self._on_saved(runtime, action, "store")
        finally:
            runtime.save_in_progress = False
        if not runtime.is_serving(self._clock.monotonic_s()):
            return
        if runtime.unconfirmed_save not in (None, action) and not runtime.store_unavailable:
            self._start_saving(runtime, runtime.unconfirmed_save)
        self._continue_moves(runtime)

    async def _read_back(self, runtime: GroupRuntime, action: SaveOwners, name: str) -> None:
        """Read the owners to find out whether a write with an unknown result took effect."""
        try:
            stored = await self._store.get(name)
            stored_owners = read_owner_set(stored, runtime.group)
        except (EdgeError, MessageError):
            return
        if stored_owners is None or stored_owners.term > action.owners.term:
            return
        runtime.assignments_version = stored.version
        if stored_owners == action.owners:
            self._on_saved(runtime, action, "store")

    def _confirm_by_standby(self, runtime: GroupRuntime) -> None:
        """Count a save as confirmed by the standby's copy while the store does not answer."""
        action = runtime.unconfirmed_save
        if action is None or runtime.confirmed_save_id >= action.save_id:
            return
        waited_s = self._clock.monotonic_s() - runtime.save_started_s
        if not runtime.store_unavailable and (
            not runtime.save_in_progress or waited_s < STANDBY_CONFIRM_DELAY_S
        ):
            return
        needed = (action.owners.term, action.owners.sequence)
        if (runtime.authority.owners_acknowledged or (0, 0)) >= needed:
            self._on_saved(runtime, action, "standby")

    def _retry_save(self, now_s: float, runtime: GroupRuntime) -> None:
        """Retry a save that the store has not confirmed, such as after an outage."""
        if (
            runtime.unconfirmed_save is None
            or runtime.save_in_progress
            or now_s < runtime.next_save_retry_s
        ):
            return
        runtime.next_save_retry_s = now_s + SAVE_RETRY_INTERVAL_S
        runtime.save_in_progress = True
        self._tasks.start(self._save(runtime, runtime.unconfirmed_save))

    def _on_saved(self, runtime: GroupRuntime, action: SaveOwners, durability: str) -> None:
        runtime.durability = durability
        runtime.confirmed_save_id = max(runtime.confirmed_save_id, action.save_id)
        runtime.grants.on_owners_saved(self._clock.monotonic_s(), action.save_id)
        if durability == "store":
            runtime.store_unavailable = False
            if runtime.unconfirmed_save is action:
                runtime.unconfirmed_save = None

    # Upstreams

    async def _send_grant(self, runtime: GroupRuntime, action: SendGrant, sent_at_s: float) -> None:
        row = self._upstreams.get(action.upstream_id)
        if row is None:
            return
        try:
            reply = await self._upstream_control.grant(row.entry.address, action.message)
        except EdgeError:
            return
        if self._is_from_other(reply.upstream_id, action.upstream_id):
            return
        now_s = self._clock.monotonic_s()
        runtime.grants.on_grant_reply(now_s, action.upstream_id, sent_at_s, reply)
        self._upstreams.on_grant_reply(action.upstream_id, reply.draining)
        self._continue_moves(runtime)
        if not reply.accepted:
            _LOG.warning(
                "grant_refused",
                extra={
                    "group": str(runtime.group),
                    "upstream": action.upstream_id,
                    "reason": reply.reason,
                },
            )

    @staticmethod
    def _is_from_other(found: str, expected: str) -> bool:
        """Return whether another upstream than the expected one has answered, and log it."""
        if found != expected:
            _LOG.error("wrong_upstream", extra={"expected": expected, "found": found})
        return found != expected

    def _send_hellos(self, now_s: float, led: list[GroupRuntime]) -> None:
        """Send a hello, which returns a token, to upstreams that do not answer a group's grants."""
        unresponsive: dict[str, list[GroupRuntime]] = {}
        for runtime in led:
            for entry in self._placement_planner.candidates(now_s, runtime):
                row = self._upstreams.track(entry)
                if not runtime.grants.is_responsive(now_s, row.upstream_id):
                    unresponsive.setdefault(row.upstream_id, []).append(runtime)
        for upstream_id, runtimes in unresponsive.items():
            row = self._upstreams.start_hello_if_due(now_s, upstream_id)
            if row is not None:
                self._tasks.start(self._send_hello(row, runtimes, now_s))

    async def _send_hello(
        self, row: UpstreamRow, runtimes: list[GroupRuntime], sent_at_s: float
    ) -> None:
        try:
            hello = await self._upstream_control.hello(row.entry.address)
        except EdgeError:
            return
        now_s = self._clock.monotonic_s()
        if self._is_from_other(hello.upstream_id, row.upstream_id):
            return
        self._upstreams.on_hello(now_s, row.upstream_id, hello)
        for runtime in runtimes:
            runtime.grants.on_hello(now_s, sent_at_s, hello)
            runtime.next_placement_s = 0.0
