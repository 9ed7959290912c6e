"""Writes of a group's record: which one a VM should send next, if any."""

import attrs

from fireflyferry.leases.actions import TakeoverCause
from fireflyferry.leases.lease import NEVER, LeaderLease, OpenWrite, StandbyWatch
from fireflyferry.leases.timing import LeaseTiming
from fireflyferry.messages import GroupId, GroupRecord, VmIncarnation

__all__ = ["GroupWrites", "Wishes"]


@attrs.define
class Wishes:
    """Requests of the entry program that need a write."""

    create: bool = False
    replace: bool = False
    standby: VmIncarnation | None = None
    term_above: int = 0
    resign: bool = False
    asked_s: float = NEVER


class GroupWrites:
    """State of one VM about a group's record, and the choice of the next write."""

    def __init__(self, group: GroupId, me: VmIncarnation, timing: LeaseTiming, hold: bool) -> None:
        self._group = group
        self._me = me
        self._timing = timing
        self._hold = hold
        self._record: GroupRecord | None = None
        self._version: int | None = None
        self._lease = LeaderLease(timing)
        self._watch = StandbyWatch(timing)
        self._open: OpenWrite | None = None
        self._writes_begun = 0
        self._stopped_term = 0
        self._cause: TakeoverCause | None = None
        self._previous_grants_until_s = NEVER
        self._leaving = False
        self._lost: dict[VmIncarnation, tuple[float, bool]] = {}
        self._wishes = Wishes()

    @property
    def _first_retry_s(self) -> float:
        return 2 * self._timing.heartbeat_s

    @property
    def _leads(self) -> bool:
        record = self._record
        return (
            record is not None
            and record.leader == self._me
            and not record.resigned
            and record.term != self._stopped_term
        )

    def _next_write(self, now_s: float) -> OpenWrite | None:
        """Return the write that is due, if any; the caller keeps it open until it is resolved."""
        record = self._record
        if record is None:
            if not self._wishes.create or self._version != 0:
                return None
            return self._begin_write(now_s, 1, self._wishes.standby, TakeoverCause.CREATED)
        if self._leads:
            return self._leader_write(now_s, record)
        return self._takeover_write(now_s, record)

    def _leader_write(self, now_s: float, record: GroupRecord) -> OpenWrite | None:
        lease, wishes = self._lease, self._wishes
        replace = wishes.replace and wishes.standby != record.standby
        hand_over = wishes.resign and lease.pledged(now_s) and not lease.unlimited
        raise_term = wishes.term_above >= record.term
        if not (replace or hand_over or raise_term):
            if lease.needs_session(now_s):
                return self._begin_write(now_s, record.term, record.standby)
            return None
        # A session bridges the time in which pledges do not count. Confirming it also shows
        # that the store answers, so that an outage does not end a pledged authority.
        if lease.pledged(now_s) and not lease.session_covers(now_s, wishes.asked_s):
            return self._begin_write(now_s, record.term, record.standby)
        if replace or raise_term:
            lease.void_pledges()
            standby = wishes.standby if replace else record.standby
            if raise_term:
                term = wishes.term_above + 1
                return self._begin_write(now_s, term, standby, TakeoverCause.TERM_RAISED)
            return self._begin_write(now_s, record.term, standby)
        self._stopped_term = record.term
        return self._begin_write(now_s, record.term, record.standby, resigned=True)

    def _takeover_write(self, now_s: float, record: GroupRecord) -> OpenWrite | None:
        cause = None if self._leaving else self._takeover_cause(now_s, record)
        if cause is None:
            return None
        standby = record.leader
        if standby == self._me:
            standby = record.standby
        elif cause is TakeoverCause.DECLARED_LOST:
            standby = None
        return self._begin_write(now_s, record.term + 1, standby, cause)

    def _takeover_cause(self, now_s: float, record: GroupRecord) -> TakeoverCause | None:
        if record.resigned and record.standby == self._me:
            return TakeoverCause.RESIGNED
        if record.resigned and record.leader == self._me:
            # The standby that was to take over is gone, so the group comes back.
            return TakeoverCause.RESIGNED if self._both_over(now_s, record, NEVER) else None
        if record.standby == self._me:
            return TakeoverCause.EXPIRED if self._standby_may_take_over(now_s, record) else None
        third_s = self._third_allowed_s()
        if third_s is not None and self._both_over(now_s, record, third_s):
            return TakeoverCause.DECLARED_LOST
        return None

    def _standby_may_take_over(self, now_s: float, record: GroupRecord) -> bool:
        """Return whether the leader's pledges from this VM and its session have ended."""
        if self._hold and self._lost_s(record.leader) is None:
            return False
        return self._watch.pledges_over(now_s, record.term) and self._session_over(now_s, record)

    def _session_over(self, now_s: float, record: GroupRecord) -> bool:
        session_s = max(self._timing.session_s, record.session_s)
        return self._watch.unchanged_for(now_s, NEVER, session_s)

    def _both_over(self, now_s: float, record: GroupRecord, since_s: float) -> bool:
        """Return whether the record has been unchanged for a pledge and a session."""
        wait_s = sum(max(own, record.session_s) for own in self._promises_s)
        pledges_over = self._watch.pledges_over(now_s, record.term)
        return pledges_over and self._watch.unchanged_for(now_s, since_s, wait_s)

    @property
    def _promises_s(self) -> tuple[float, float]:
        return self._timing.pledge_s, self._timing.session_s

    def _third_allowed_s(self) -> float | None:
        """Return when leader and standby were both declared lost; None if they were not."""
        record = self._record
        named = (record.leader, record.standby) if record.standby else (record.leader,)
        if self._me in named:
            return None
        lost_s = [self._lost_s(vm_incarnation) for vm_incarnation in named]
        return None if None in lost_s else max(lost_s)

    def _lost_s(self, vm_incarnation: VmIncarnation) -> float | None:
        lost_s, by_operator = self._lost.get(vm_incarnation, (None, False))
        return None if self._hold and not by_operator else lost_s

    def _begin_write(
        self,
        now_s: float,
        term: int,
        standby: VmIncarnation | None,
        cause: TakeoverCause | None = None,
        resigned: bool = False,
    ) -> OpenWrite:
        self._writes_begun += 1
        before = self._record
        record = GroupRecord(
            group=self._group,
            term=term,
            leader=self._me,
            standby=standby,
            session=before.session + 1 if before else 0,
            resigned=resigned,
            write_id=f"{self._me.vm_id}:{self._me.incarnation}:{self._writes_begun}",
            session_s=self._timing.session_s,
        )
        write = OpenWrite(record, self._version, now_s, self._first_retry_s, cause)
        write.previous_grants_until_s = self._grants_until_s(now_s, cause)
        return write

    def _grants_until_s(self, now_s: float, cause: TakeoverCause | None) -> float:
        """Return until when grants of the present leader can run if this write takes over.

        A grant never outlasts the authority under which it was given, so after a takeover by
        expiry none is left. A leader that resigned or was declared lost may have given grants
        until then.
        """
        if cause is TakeoverCause.TERM_RAISED:
            return self._previous_grants_until_s
        if cause not in (TakeoverCause.RESIGNED, TakeoverCause.DECLARED_LOST):
            return NEVER
        return now_s + self._timing.lengthened(max(self._timing.grant_s, self._record.session_s))
