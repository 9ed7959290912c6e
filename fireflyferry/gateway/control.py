"""Control loop: competes for the granting lease and, as its holder, grants keys to upstreams."""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from fireflyferry.balancing import Contact, EntryVm
from fireflyferry.edges import Clock
from fireflyferry.gateway import documents
from fireflyferry.gateway.control_state import ControlRules, PoolControl
from fireflyferry.gateway.edges import (
    Conflict,
    Document,
    KeyOrders,
    MetadataStore,
    StoreCallError,
    UnreadableDocumentError,
)
from fireflyferry.gateway.grant_log import log_grant, log_moves, log_release
from fireflyferry.gateway.metrics import GatewayMetrics
from fireflyferry.gateway.mirror import DocumentMirror
from fireflyferry.gateway.planning import PlanProgress, RangePlanner
from fireflyferry.gateway.state import GatewayState
from fireflyferry.gateway.upstream_path import PathMonitor, contact_of_answer
from fireflyferry.gateway.watching import StoreHealth
from fireflyferry.keyranges import (
    GrantAnswer,
    GrantCall,
    GrantingLeaseTiming,
    GrantTiming,
    LeaseRecord,
    ListedRun,
    RangeGranter,
    ReadLease,
    ReleaseCall,
    SaveTable,
    StoreLease,
    WriteLease,
)
from fireflyferry.tasks import BackgroundTasks

__all__ = ["ControlLoop", "ControlRules"]

_LOG = logging.getLogger(__name__)

# How long upstreams take to answer orders; before it answers a release, an upstream ends its
# requests for the released keys.
GRANT_S = 0.05
RELEASE_S = 1.0


class ControlLoop:
    """Acquires and renews the granting lease, and grants keys to upstreams while holding it.

    At most one VM holds the lease at a time, and only that VM may grant keys. A VM that does not
    reach upstreams, while others do, leaves the lease to them.
    """

    def __init__(
        self,
        clock: Clock,
        state: GatewayState,
        store: MetadataStore,
        health: StoreHealth,
        orders: KeyOrders,
        planner: RangePlanner,
        metrics: GatewayMetrics,
        rng: random.Random,
        mirror: DocumentMirror,
        announce: Callable[[Document], Coroutine[Any, Any, None]],
        follows_relay: Callable[[], bool],
        path: PathMonitor,
        rules: ControlRules | None = None,
        lease_timing: GrantingLeaseTiming | None = None,
        timing: GrantTiming | None = None,
    ):
        self._clock = clock
        self._state = state
        self._store = store
        self._health = health
        self._orders = orders
        self._planner = planner
        self._metrics = metrics
        self._mirror = mirror
        self._announce = announce
        self._follows_relay = follows_relay
        self._path = path
        self._rules = rules or ControlRules()
        self._timing = timing or GrantTiming()
        this_vm = state.vms.this_vm
        takeover_delay_s = rng.uniform(0.0, self._rules.takeover_jitter_s)
        self._lease = StoreLease(
            this_vm.vm_id,
            this_vm.incarnation,
            lease_timing or GrantingLeaseTiming(),
            takeover_delay_s,
        )
        self._holder: tuple[str, str, bool] | None = None
        self._lease_held = False
        self._pools: dict[str, PoolControl] = {}
        self._tasks = BackgroundTasks()
        self._orders_in_flight = BackgroundTasks()

    @property
    def holds_lease(self) -> bool:
        """Whether this VM may grant keys now."""
        return self._lease.holds(self._clock.monotonic_s())

    @property
    def unanswered_reminders(self) -> int:
        """Number of releases that earlier holders, whose grants have expired, have to answer."""
        return sum(control.granter.unanswered_reminders for control in self._pools.values())

    def granting_vm(self) -> EntryVm | None:
        """Return the VM that the last known lease record names; None if it is unknown."""
        record = self._lease.record
        return self._state.vms.get(record.vm_id) if record is not None else None

    def begin_era(self, era: int) -> None:
        """Give up the lease at once, since the store came back from a copy."""
        self._lease.begin_era(self._clock.monotonic_s(), era)
        self._holder = None
        self._update_lease_held()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            self.tick()
            rules = self._rules
            await asyncio.sleep(
                rules.tick_interval_s if self._lease_held else rules.idle_interval_s
            )

    async def resign(self) -> None:
        """Release the lease, so that another VM can take over before it expires."""
        write = self._lease.resign()
        self._update_lease_held()
        if write is None:
            return
        content = documents.lease_content(write.record)
        try:
            await self._store.write(
                documents.LEASE_KIND, documents.LEASE_NAME, content, write.revision
            )
        except StoreCallError as error:
            self._health.on_failure(error)
            _LOG.warning("lease_not_resigned", extra={"error": str(error)})
        else:
            _LOG.info("lease_resigned", extra={"counter": write.record.counter})

    def tick(self) -> None:
        """Start the calls to the store and to upstreams that are due."""
        now_s = self._clock.monotonic_s()
        if self._lease.is_own_record or not self._follows_relay():
            action = self._lease.tick(now_s, not self._path.hands_over)
            if action is not None:
                self._tasks.start(self._lease_call(action))
        self._update_lease_held()
        if not self._lease_held or self._state.config is None:
            return
        for name, spec in self._state.config.pools.items():
            if spec.keyed:
                self._tick_pool(now_s, name)

    def apply_lease(self, documents_by_name: Mapping[str, Document]) -> None:
        """Apply a lease record from the mirror; a follower learns from it which VM grants keys."""
        document = documents_by_name.get(documents.LEASE_NAME)
        if document is None:
            return
        try:
            record = documents.read_lease(document)
        except UnreadableDocumentError as error:
            _LOG.error("lease_unreadable", extra={"error": str(error)})
            return
        self._lease.on_relayed(self._clock.monotonic_s(), record, document.revision)

    def on_owner_table(self, pool: str, revision: int) -> None:
        """Read a table again that another write than the last confirmed one has stored.

        A write that got no answer may be carried out later, after this VM has read the table. The
        other VMs follow what is stored, and refuse the keys of a move that this VM does not know.
        """
        control = self._pools.get(pool)
        expected = control.granter.expected_revision if control is not None else None
        if control is None or not control.table_read or expected is None or revision <= expected:
            return
        _LOG.warning(
            "owners_written_late", extra={"pool": pool, "revision": revision, "expected": expected}
        )
        control.table_read = False

    # Lease

    async def _lease_call(self, action: ReadLease | WriteLease) -> None:
        try:
            if isinstance(action, ReadLease):
                document = await self._store.read(
                    documents.LEASE_KIND, documents.LEASE_NAME, action.stale
                )
                self._on_lease_read(document)
            else:
                await self._write_lease(action)
            self._health.on_success()
        except StoreCallError as error:
            self._health.on_failure(error)
            self._lease.on_failed(self._clock.monotonic_s())
        except UnreadableDocumentError as error:
            # No VM can acquire the lease while its record is unreadable; the next read may succeed.
            _LOG.error("lease_unreadable", extra={"error": str(error)})
            self._lease.on_failed(self._clock.monotonic_s())
        except Exception:
            # Without a result the lease would wait for this call for ever.
            self._lease.on_failed(self._clock.monotonic_s())
            raise
        self._update_lease_held()

    async def _write_lease(self, action: WriteLease) -> None:
        result = await self._store.write(
            documents.LEASE_KIND,
            documents.LEASE_NAME,
            documents.lease_content(action.record),
            action.revision,
        )
        if isinstance(result, Conflict):
            self._on_lease_read(result.found)
        else:
            self._lease.on_written(self._clock.monotonic_s(), result)
            if action.record.resigned:
                _LOG.info("lease_resigned", extra={"counter": action.record.counter})
            self._record_holder(action.record, result)

    def _on_lease_read(self, document: Document | None) -> None:
        record: LeaseRecord | None = None
        if document is not None:
            record = documents.read_lease(document)
        revision = document.revision if document is not None else 0
        self._lease.on_read(self._clock.monotonic_s(), record, revision)
        if record is not None:
            self._record_holder(record, revision)

    def _record_holder(self, record: LeaseRecord, revision: int) -> None:
        """Publish a change of the lease holder to the followers of this VM.

        Renewals are not published, since followers need to know only which VM holds the lease.
        """
        holder = (record.vm_id, record.incarnation, record.resigned)
        if holder != self._holder:
            self._holder = holder
            content = documents.lease_content(record)
            document = Document(documents.LEASE_NAME, revision, content)
            self._mirror.put(documents.LEASE_KIND, document)
            _LOG.info(
                "lease_holder_seen",
                extra={
                    "vm": record.vm_id,
                    "incarnation": record.incarnation,
                    "counter": record.counter,
                    "revision": revision,
                    "era": record.era,
                },
            )

    def _update_lease_held(self) -> None:
        """Begin or end a term when the lease was gained or lost.

        The states of all pools are dropped and the orders in flight given up.
        """
        now_s = self._clock.monotonic_s()
        held = self._lease.holds(now_s)
        if held == self._lease_held:
            return
        self._lease_held = held
        self._pools.clear()
        # A VM that was suspended may have orders in flight whose time-outs did not advance. The
        # next granting VM does not wait for them.
        self._orders_in_flight.cancel()
        until_s = self._lease.authority_until_s
        if held:
            _LOG.info("lease_gained", extra={"left_s": round(until_s - now_s, 3)})
        else:
            _LOG.warning("lease_lost", extra={"since_s": round(min(now_s - until_s, 1e6), 3)})

    # Grants

    def _tick_pool(self, now_s: float, pool: str) -> None:
        control = self._pools.get(pool)
        if control is None:
            granter = RangeGranter(pool, self._timing, now_s, self._lease.era)
            control = self._pools[pool] = PoolControl(granter, PlanProgress())
        if not control.table_read:
            if not control.reading:
                control.reading = True
                self._tasks.start(self._read_table(pool, control))
            return
        listed = [
            ListedRun(upstream.run, upstream.address, ready)
            for upstream, ready in self._state.upstreams.listed(now_s, pool)
        ]
        control.granter.set_listed(listed, self._state.upstreams.addresses)
        self._planner.plan(now_s, pool, control.granter, control.progress)
        for action in control.granter.tick(now_s):
            self._start_action(pool, control, action)

    def _start_action(
        self, pool: str, control: PoolControl, action: SaveTable | GrantCall | ReleaseCall
    ) -> None:
        if isinstance(action, SaveTable):
            self._tasks.start(self._save_table(pool, control, action))
        elif isinstance(action, GrantCall):
            self._orders_in_flight.start(self._grant(control, action))
        else:
            remind = self._remind if action.is_reminder else self._release
            self._orders_in_flight.start(remind(control, action))

    def _is_current(self, control: PoolControl) -> bool:
        """Return whether this VM still holds the lease in the term that this state belongs to.

        Grants and releases check it right before their first byte is sent.
        """
        return self.holds_lease and control in self._pools.values()

    async def _read_table(self, pool: str, control: PoolControl) -> None:
        try:
            document = await self._store.read(documents.OWNER_KIND, pool)
            table = documents.read_table(document) if document is not None else None
        except StoreCallError as error:
            self._health.on_failure(error)
            await asyncio.sleep(self._timing.retry_delay_s)
        except UnreadableDocumentError as error:
            # The owners and fences are unknown, so no key may be granted.
            _LOG.error("owner_table_unreadable", extra={"pool": pool, "error": str(error)})
            await asyncio.sleep(self._timing.retry_delay_s)
        else:
            revision = document.revision if document is not None else 0
            control.granter.on_table_read(table, revision)
            control.table_read = True
        finally:
            control.reading = False

    async def _save_table(self, pool: str, control: PoolControl, save: SaveTable) -> None:
        content = documents.table_content(save.table)
        before = control.granter.table
        try:
            if not self._is_current(control):
                raise StoreCallError("the lease has ended")
            result = await self._store.write(documents.OWNER_KIND, pool, content, save.revision)
        except StoreCallError as error:
            self._health.on_failure(error)
            _LOG.warning("owners_not_saved", extra={"pool": pool, "error": str(error)})
            control.table_read = False
            return
        if isinstance(result, Conflict):
            _LOG.info("owners_conflict", extra={"pool": pool, "expected": save.revision})
            control.table_read = False
            return
        control.granter.on_table_saved(result)
        document = Document(pool, result, content)
        self._mirror.put(documents.OWNER_KIND, document)
        self._tasks.start(self._announce(document))
        moves = log_moves(pool, before.ranges if before is not None else (), save.table.ranges)
        self._metrics.count_owner_changes(pool, moves)

    def _contact(self, control: PoolControl, answer: GrantAnswer) -> Contact:
        """Return what an answer shows; an order of an earlier term may not have been sent."""
        return contact_of_answer(answer) if self._is_current(control) else Contact.ENDED

    async def _grant(self, control: PoolControl, call: GrantCall) -> None:
        result = await self._path.watch_order(
            call.run,
            GRANT_S,
            self._orders.grant(call, lambda: self._is_current(control)),
            lambda result: self._contact(control, result.answer),
        )
        self._metrics.order("grant", result.answer.name.lower())
        log_grant(call, result.answer)
        control.granter.on_grant(self._clock.monotonic_s(), call, result)

    async def _release(self, control: PoolControl, call: ReleaseCall) -> None:
        answer, handover = await self._path.watch_order(
            call.run,
            RELEASE_S,
            self._orders.release(call, lambda: self._is_current(control)),
            lambda result: self._contact(control, result[0]),
        )
        self._metrics.order("release", answer.name.lower())
        log_release(call, answer)
        control.granter.on_release(self._clock.monotonic_s(), call, answer, handover)

    async def _remind(self, control: PoolControl, call: ReleaseCall) -> None:
        """Send a release to an earlier holder, which may be unreachable for long.

        It says nothing about the path of this VM, since nothing else waits for it.
        """
        answer, _ = await self._orders.release(call, lambda: self._is_current(control))
        self._metrics.order("reminder", answer.name.lower())
        if answer is GrantAnswer.ACCEPTED:
            log_release(call, answer)
        control.granter.on_release(self._clock.monotonic_s(), call, answer)
