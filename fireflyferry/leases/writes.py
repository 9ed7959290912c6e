"""Choice of the next write of a group's record by a VM."""

import attrs

from fireflyferry.leases.actions import TakeoverCause
from fireflyferry.leases.lease import NEVER, LeaderLease, PendingWrite, StandbyLease
from fireflyferry.leases.timing import LeaseTiming
from fireflyferry.messages import GroupId, GroupRecord, VmIncarnation

__all__ = ["GroupWrites", "RequestedChanges"]


@attrs.define
class RequestedChanges:
    """Operations requested by the entry program that need a write of the record.

    The new term must be above `term_above`; `requested_s` is the time of the latest request.
    """

    create: bool = False
    replace_standby: bool = False
    standby: VmIncarnation | None = None
    term_above: int = 0
    resign: bool = False
    requested_s: float = NEVER


class GroupWrites:
    """State of a group's record on one VM, and the choice of the next write."""

    def __init__(
        self, group: GroupId, this_vm: VmIncarnation, timing: LeaseTiming, hold: bool
    ) -> None:
        self._group = group
        self._this_vm = this_vm
        self._timing = timing
        self._hold = hold
        self._record: GroupRecord | None = None
        self._version: int | None = None
        self._leader_lease = LeaderLease(timing)
        self._standby_lease = StandbyLease(timing)
        self._pending_write: PendingWrite | None = None
        self._writes_started = 0
        self._resigning_term = 0
        self._cause: TakeoverCause | None = None
        self._previous_grants_until_s = NEVER
        self._leaving = False
        self._declared_lost: dict[VmIncarnation, tuple[float, bool]] = {}
        self._requested = RequestedChanges()

    @property
    def _initial_backoff_s(self) -> float:
        return 2 * self._timing.heartbeat_s

    @property
    def _leads(self) -> bool:
        record = self._record
        return (
            record is not None
            and record.leader == self._this_vm
            and not record.resigned
            and record.term != self._resigning_term
        )

    def _next_write(self, now_s: float) -> PendingWrite | None:
        """Return the write that is due, if any; the caller keeps it until its result is known."""
        record = self._record
        if record is None:
            if not self._requested.create or self._version != 0:
                return None
            return self._begin_write(now_s, 1, self._requested.standby, TakeoverCause.CREATED)
        if self._leads:
            return self._leader_write(now_s, record)
        return self._takeover_write(now_s, record)

    def _leader_write(self, now_s: float, record: GroupRecord) -> PendingWrite | None:
        lease, requested = self._leader_lease, self._requested
        replace_standby = requested.replace_standby and requested.standby != record.standby
        hand_over = requested.resign and lease.has_pledge(now_s) and not lease.unlimited
        raise_term = requested.term_above >= record.term
        if not (replace_standby or hand_over or raise_term):
            if lease.needs_session_write(now_s):
                return self._begin_write(now_s, record.term, record.standby)
            return None
        # The session provides authority while pledges are ignored. Its confirmation also shows
        # that the store answers, so that during an outage of the store the leader does not give
        # up authority that rests on pledges.
        if lease.has_pledge(now_s) and not lease.session_covers(now_s, requested.requested_s):
            return self._begin_write(now_s, record.term, record.standby)
        if replace_standby or raise_term:
            lease.ignore_pledges()
            standby = requested.standby if replace_standby else record.standby
            if raise_term:
                term = requested.term_above + 1
                return self._begin_write(now_s, term, standby, TakeoverCause.TERM_RAISED)
            return self._begin_write(now_s, record.term, standby)
        self._resigning_term = record.term
        return self._begin_write(now_s, record.term, record.standby, resigned=True)

    def _takeover_write(self, now_s: float, record: GroupRecord) -> PendingWrite | None:
        cause = None if self._leaving else self._takeover_cause(now_s, record)
        if cause is None:
            return None
        standby = record.leader
        if standby == self._this_vm:
            standby = record.standby
        elif cause is TakeoverCause.DECLARED_LOST:
            standby = None
        return self._begin_write(now_s, record.term + 1, standby, cause)

    def _takeover_cause(self, now_s: float, record: GroupRecord) -> TakeoverCause | None:
        if record.resigned and record.standby == self._this_vm:
            return TakeoverCause.RESIGNED
        if record.resigned and record.leader == self._this_vm:
            # The standby did not take over, so the resigned leader leads the group again.
            return (
                TakeoverCause.RESIGNED
                if self._pledge_and_session_expired(now_s, record, NEVER)
                else None
            )
        if record.standby == self._this_vm:
            return TakeoverCause.EXPIRED if self._standby_may_take_over(now_s, record) else None
        both_lost_s = self._leader_and_standby_lost_s()
        if both_lost_s is not None and self._pledge_and_session_expired(now_s, record, both_lost_s):
            return TakeoverCause.DECLARED_LOST
        return None

    def _standby_may_take_over(self, now_s: float, record: GroupRecord) -> bool:
        """Return whether pledges of this VM and the leader's session have ended.

        With `hold`, the leader must also have been declared lost.
        """
        if self._hold and self._declared_lost_s(record.leader) is None:
            return False
        return self._standby_lease.pledges_expired(now_s, record.term) and self._session_expired(
            now_s, record
        )

    def _session_expired(self, now_s: float, record: GroupRecord) -> bool:
        session_s = max(self._timing.session_s, record.session_s)
        return self._standby_lease.unchanged_for(now_s, NEVER, session_s)

    def _pledge_and_session_expired(
        self, now_s: float, record: GroupRecord, since_s: float
    ) -> bool:
        """Return whether no pledge or session can be left, this VM's own pledges included.

        The record must have been unchanged for the length of a pledge plus that of a session.
        """
        wait_s = sum(max(own_s, record.session_s) for own_s in self._pledge_and_session_s)
        pledges_expired = self._standby_lease.pledges_expired(now_s, record.term)
        return pledges_expired and self._standby_lease.unchanged_for(now_s, since_s, wait_s)

    @property
    def _pledge_and_session_s(self) -> tuple[float, float]:
        return self._timing.pledge_s, self._timing.session_s

    def _leader_and_standby_lost_s(self) -> float | None:
        """Return the time at which leader and standby had both been declared lost.

        None if either of them was not declared lost, or if this VM is one of them.
        """
        record = self._record
        named = (record.leader, record.standby) if record.standby else (record.leader,)
        if self._this_vm in named:
            return None
        lost_s = [self._declared_lost_s(vm_incarnation) for vm_incarnation in named]
        return None if None in lost_s else max(lost_s)

    def _declared_lost_s(self, vm_incarnation: VmIncarnation) -> float | None:
        lost_s, by_operator = self._declared_lost.get(vm_incarnation, (None, False))
        return None if self._hold and not by_operator else lost_s

    def _begin_write(
        self,
        now_s: float,
        term: int,
        standby: VmIncarnation | None,
        cause: TakeoverCause | None = None,
        resigned: bool = False,
    ) -> PendingWrite:
        self._writes_started += 1
        previous = self._record
        record = GroupRecord(
            group=self._group,
            term=term,
            leader=self._this_vm,
            standby=standby,
            session=previous.session + 1 if previous else 0,
            resigned=resigned,
            write_id=f"{self._this_vm.vm_id}:{self._this_vm.incarnation}:{self._writes_started}",
            session_s=self._timing.session_s,
        )
        write = PendingWrite(record, self._version, now_s, self._initial_backoff_s, cause)
        write.previous_grants_until_s = self._grants_until_s(now_s, cause)
        return write

    def _grants_until_s(self, now_s: float, cause: TakeoverCause | None) -> float:
        """Return until when grants of the current leader can be valid if this write takes over.

        A grant never outlasts the authority under which it was given, so none is left when a
        lease has expired. A leader that resigned or was declared lost may have given grants up to
        now.
        """
        if cause is TakeoverCause.TERM_RAISED:
            return self._previous_grants_until_s
        if cause not in (TakeoverCause.RESIGNED, TakeoverCause.DECLARED_LOST):
            return NEVER
        return now_s + self._timing.lengthened(max(self._timing.grant_s, self._record.session_s))
