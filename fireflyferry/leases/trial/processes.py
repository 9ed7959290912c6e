"""Simulated processes: entry VMs and upstreams, each with its own clock."""

import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import attrs

from fireflyferry.leases.actions import ReadRecord, SendHeartbeat, WriteOutcome, WriteRecord
from fireflyferry.leases.authority import GroupAuthority
from fireflyferry.leases.holder import GrantHolder
from fireflyferry.leases.timing import LeaseTiming
from fireflyferry.leases.trial.book import SimulatedGrants
from fireflyferry.messages import GroupId, OwnerSet, VmIncarnation

if TYPE_CHECKING:
    from fireflyferry.leases.trial.world import SimulatedWorld

__all__ = ["GROUP", "SimulatedProcess", "SimulatedUpstream", "SimulatedVm", "SimulationOptions"]

GROUP = GroupId("trial", "dc-1", 0)
TICK_INTERVAL_S = 0.05
FEED_POLL_INTERVAL_S = 1.0
# A leader replaces a standby that has not given a pledge for longer than this.
STANDBY_TIMEOUT_S = 2.0


@attrs.define
class SimulationOptions:
    """Sizes and classes of a simulation; a class can be replaced by one without a safety check."""

    timing: LeaseTiming = attrs.Factory(LeaseTiming)
    vms: int = 3
    upstreams: int = 2
    units: int = 3
    authority: type[GroupAuthority] = GroupAuthority
    holder: type[GrantHolder] = GrantHolder
    grants: type[SimulatedGrants] = SimulatedGrants
    vm: type["SimulatedVm"] | None = None


class SimulatedProcess:
    """A process with its own clock, which can be paused, stopped and restarted."""

    def __init__(self, world: "SimulatedWorld", name: str) -> None:
        self.world = world
        self.name = name
        max_rate = (1 + world.options.timing.drift) ** 0.5
        self._rate = world.random.uniform(1 / max_rate, max_rate)
        self._offset_s = world.random.uniform(0, 1000)
        self.paused_until_s = 0.0
        self.deferred_events: list[Callable[[], None]] = []
        self.alive = True
        self.incarnation_number = 0
        self.start()

    @property
    def incarnation(self) -> VmIncarnation:
        """The current incarnation of the process."""
        return VmIncarnation(self.name, str(self.incarnation_number))

    @property
    def now_s(self) -> float:
        """The current time on the process's own clock."""
        return self._offset_s + self._rate * self.world.now_s

    def start(self) -> None:
        """Start an incarnation without any state of an earlier one."""
        raise NotImplementedError


class SimulatedUpstream(SimulatedProcess):
    """An upstream that accepts grants."""

    def start(self) -> None:
        """Start an incarnation without grants."""
        self.holder = self.world.options.holder(self.name, str(self.incarnation_number))


class SimulatedVm(SimulatedProcess):
    """An entry VM with its role in the group; the leader also grants units to upstreams."""

    def start(self) -> None:
        """Start an incarnation without any state of the group."""
        options = self.world.options
        self.authority = options.authority(GROUP, self.incarnation, options.timing)
        self.grants: SimulatedGrants | None = None
        self._standby_answered_s = self.now_s
        self._next_standby = 0
        self.world.schedule_on_process(0.0, self, self.tick)
        self.world.schedule_on_process(0.0, self, self._poll_feed)

    def tick(self) -> None:
        """Run one tick of the control loop and schedule the next."""
        self._control()
        for action in self.authority.tick(self.now_s):
            self._perform(action)
        self._grant()
        self.world.schedule_on_process(TICK_INTERVAL_S, self, self.tick)

    def _poll_feed(self) -> None:
        """Read the record regularly, in case a message of the feed was lost."""
        world = self.world
        world.call_store(
            self,
            lambda: (world.record, world.version),
            lambda stored: self.authority.observe_record(self.now_s, -math.inf, *stored),
        )
        world.schedule_on_process(FEED_POLL_INTERVAL_S, self, self._poll_feed)

    def _control(self) -> None:
        """Create the record, report lost VMs and replace a standby that does not answer."""
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
            self._standby_answered_s = self.now_s
        elif self.now_s - self._standby_answered_s > STANDBY_TIMEOUT_S:
            others = [vm for vm in world.vms if vm is not self]
            standby = others[self._next_standby % len(others)]
            authority.replace_standby(self.now_s, standby.incarnation)
            self._standby_answered_s, self._next_standby = self.now_s, self._next_standby + 1

    def _perform(self, action: Any) -> None:
        sent_at_s, world = self.now_s, self.world
        match action:
            case SendHeartbeat(heartbeat):
                standby = world.vm(heartbeat.standby.vm_id)
                world.call(
                    self,
                    standby,
                    lambda: standby.authority.on_heartbeat(standby.now_s, heartbeat),
                    lambda reply: self._on_reply(sent_at_s, reply),
                )
            case ReadRecord():
                world.call_store(
                    self,
                    lambda: (world.record, world.version),
                    lambda stored: self.authority.observe_record(self.now_s, sent_at_s, *stored),
                )
            case WriteRecord(record, expected_version):
                world.call_store(
                    self,
                    lambda: world.put(record, expected_version),
                    lambda result: self.authority.on_write_result(
                        self.now_s, sent_at_s, record.write_id, *result
                    ),
                    timed_out=(WriteOutcome.UNKNOWN, 0),
                )

    def _on_reply(self, sent_at_s: float, reply: Any) -> None:
        if reply.pledge_s > 0:
            self._standby_answered_s = self.now_s
        self.authority.on_heartbeat_reply(self.now_s, sent_at_s, reply)
        if acknowledged := self.authority.owners_acknowledged:
            standby = self.authority.record.standby
            known = self.world.acknowledged_owners.get(standby, (0, 0))
            self.world.acknowledged_owners[standby] = max(known, acknowledged)

    def _grant(self) -> None:
        """Grant units for at most the time that is left of the authority."""
        authority, world = self.authority, self.world
        if not authority.is_leader(self.now_s):
            return
        term = authority.record.term
        if self.grants is None or self.grants.term != term:
            earlier_grants_until_s = self.grants.grants_until_s() if self.grants else self.now_s
            start_s = max(authority.previous_grants_until_s, earlier_grants_until_s)
            names = [upstream.name for upstream in world.upstreams]
            self.grants = world.options.grants(term, world.options.timing, start_s, names)
            world.check_replica(self)
            world.shuffle_owners()
        changes = self.grants.apply_desired_owners(self.now_s, world.desired_owners)
        if changes:
            authority.replicate(
                self.now_s, OwnerSet(GROUP, term, self.grants.sequence, dict(world.desired_owners))
            )
        for name, message in self.grants.messages(self.now_s, authority.authority_until_s()):
            upstream, grants = world.upstream(name), self.grants
            world.call(
                self,
                upstream,
                lambda upstream=upstream, message=message: world.accept(upstream, message),
                lambda reply, grants=grants, name=name: grants.on_reply(name, reply),
            )
