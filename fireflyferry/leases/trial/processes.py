"""Processes of the lease trial: entry VMs and upstreams, each with a clock of its own."""

import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import attrs

from fireflyferry.leases.actions import ReadRecord, SendHeartbeat, WriteOutcome, WriteRecord
from fireflyferry.leases.authority import GroupAuthority
from fireflyferry.leases.holder import GrantHolder
from fireflyferry.leases.timing import LeaseTiming
from fireflyferry.leases.trial.book import TrialBook
from fireflyferry.messages import GroupId, OwnerSet, VmIncarnation

if TYPE_CHECKING:
    from fireflyferry.leases.trial.world import TrialWorld

__all__ = ["GROUP", "TrialOptions", "TrialProcess", "TrialUpstream", "TrialVm"]

GROUP = GroupId("trial", "dc-1", 0)
TICK_S = 0.05
FEED_POLL_S = 1.0
# The entry program replaces a standby that has not answered for this long.
STANDBY_PATIENCE_S = 2.0


@attrs.define
class TrialOptions:
    """What a world consists of; classes can be replaced to remove a guard."""

    timing: LeaseTiming = attrs.Factory(LeaseTiming)
    vms: int = 3
    upstreams: int = 2
    units: int = 3
    authority: type[GroupAuthority] = GroupAuthority
    holder: type[GrantHolder] = GrantHolder
    book: type[TrialBook] = TrialBook


class TrialProcess:
    """A process that can pause and restart, with a clock of its own."""

    def __init__(self, world: "TrialWorld", name: str) -> None:
        self.world = world
        self.name = name
        spread = (1 + world.options.timing.drift) ** 0.5
        self._rate = world.random.uniform(1 / spread, spread)
        self._offset_s = world.random.uniform(0, 1000)
        self.paused_until_s = 0.0
        self.backlog: list[Callable[[], None]] = []
        self.alive = True
        self.run = 0
        self.start()

    @property
    def incarnation(self) -> VmIncarnation:
        """The present run of the process."""
        return VmIncarnation(self.name, str(self.run))

    @property
    def now_s(self) -> float:
        """The reading of the process's own clock."""
        return self._offset_s + self._rate * self.world.now_s

    def start(self) -> None:
        """Begin a run without any state of an earlier one."""
        raise NotImplementedError


class TrialUpstream(TrialProcess):
    """An upstream with its grants."""

    def start(self) -> None:
        """Begin a run without grants."""
        self.holder = self.world.options.holder(self.name, str(self.run))


class TrialVm(TrialProcess):
    """An entry VM with its role in the group; the leader also grants units."""

    def start(self) -> None:
        """Begin a run that knows nothing about the group."""
        options = self.world.options
        self.authority = options.authority(GROUP, self.incarnation, options.timing)
        self.book: TrialBook | None = None
        self._answered_s = self.now_s
        self._next_standby = 0
        self.world.after(0.0, self, self.tick)
        self.world.after(0.0, self, self._poll_feed)

    def tick(self) -> None:
        """Run one tick of the control loop and schedule the next."""
        self._control()
        for action in self.authority.tick(self.now_s):
            self._perform(action)
        self._grant()
        self.world.after(TICK_S, self, self.tick)

    def _poll_feed(self) -> None:
        """Learn changes that a lost message of the feed would have shown."""
        world = self.world
        world.call_store(
            self,
            lambda: (world.record, world.version),
            lambda stored: self.authority.observe_record(self.now_s, -math.inf, *stored),
        )
        world.after(FEED_POLL_S, self, self._poll_feed)

    def _control(self) -> None:
        """Create the record, replace a silent standby, pass on the platform's word."""
        authority, world = self.authority, self.world
        if authority.version == 0 and self is world.vms[0]:
            authority.create(self.now_s, world.vms[1].incarnation)
        record = authority.record
        if record is None:
            return
        for lost in (record.leader, record.standby):
            if lost and world.reported_lost(self, lost):
                authority.declare_lost(self.now_s, lost)
        if not authority.is_leader(self.now_s):
            self._answered_s = self.now_s
        elif self.now_s - self._answered_s > STANDBY_PATIENCE_S:
            others = [vm for vm in world.vms if vm is not self]
            standby = others[self._next_standby % len(others)]
            authority.replace_standby(self.now_s, standby.incarnation)
            self._answered_s, self._next_standby = self.now_s, self._next_standby + 1

    def _perform(self, action: Any) -> None:
        asked_s, world = self.now_s, self.world
        match action:
            case SendHeartbeat(heartbeat):
                standby = world.vm(heartbeat.standby.vm_id)
                world.call(
                    self,
                    standby,
                    lambda: standby.authority.on_heartbeat(standby.now_s, heartbeat),
                    lambda reply: self._on_reply(asked_s, reply),
                )
            case ReadRecord():
                world.call_store(
                    self,
                    lambda: (world.record, world.version),
                    lambda stored: self.authority.observe_record(self.now_s, asked_s, *stored),
                )
            case WriteRecord(record, expected_version):
                world.call_store(
                    self,
                    lambda: world.put(record, expected_version),
                    lambda result: self.authority.on_write_result(
                        self.now_s, asked_s, record.write_id, *result
                    ),
                    timed_out=(WriteOutcome.UNKNOWN, 0),
                )

    def _on_reply(self, asked_s: float, reply: Any) -> None:
        if reply.pledge_s > 0:
            self._answered_s = self.now_s
        self.authority.on_heartbeat_reply(self.now_s, asked_s, reply)
        if acknowledged := self.authority.owners_acknowledged:
            standby = self.authority.record.standby
            kept = self.world.acknowledged.get(standby, (0, 0))
            self.world.acknowledged[standby] = max(kept, acknowledged)

    def _grant(self) -> None:
        """Grant units under the authority that is left."""
        authority, world = self.authority, self.world
        if not authority.is_leader(self.now_s):
            return
        term = authority.record.term
        if self.book is None or self.book.term != term:
            earlier_s = self.book.grants_until_s() if self.book else self.now_s
            start_s = max(authority.previous_grants_until_s, earlier_s)
            names = [upstream.name for upstream in world.upstreams]
            self.book = world.options.book(term, world.options.timing, start_s, names)
            world.check_replica(self)
            world.shuffle_owners()
        changes = self.book.place(self.now_s, world.desired)
        if changes:
            authority.replicate(
                self.now_s, OwnerSet(GROUP, term, self.book.sequence, dict(world.desired))
            )
        for name, message in self.book.messages(self.now_s, authority.authority_until_s()):
            upstream, book = world.upstream(name), self.book
            world.call(
                self,
                upstream,
                lambda upstream=upstream, message=message: world.accept(upstream, message),
                lambda reply, book=book, name=name: book.on_reply(name, reply),
            )
