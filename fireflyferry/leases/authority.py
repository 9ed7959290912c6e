"""Two-party lease of one group on one VM: the leader's authority and the standby's takeover."""

from fireflyferry.leases.actions import (
    Action,
    ReadRecord,
    SendHeartbeat,
    TakeoverCause,
    WriteOutcome,
    WriteRecord,
)
from fireflyferry.leases.lease import NEVER, OpenWrite
from fireflyferry.leases.timing import LeaseTiming
from fireflyferry.leases.writes import GroupWrites, Wishes
from fireflyferry.messages import (
    GroupId,
    GroupRecord,
    Heartbeat,
    HeartbeatReply,
    OwnerSet,
    VmIncarnation,
)

__all__ = ["GroupAuthority"]

# Only two runs, the leader's and the standby's, matter at any time; the rest allows for words
# that come before the record names a run.
MAX_LOST = 16


class GroupAuthority(GroupWrites):
    """Leader and standby roles of one run of a VM for one group.

    Every method takes the time in seconds on this VM's monotonic clock. `asked_at_s` is the
    time just before the call to the other side was sent. With `hold`, the group is taken over
    from a lost leader only on an operator's word.
    """

    def __init__(
        self, group: GroupId, me: VmIncarnation, timing: LeaseTiming, hold: bool = False
    ) -> None:
        super().__init__(group, me, timing, hold)
        self._clock_s = NEVER
        # Heartbeats and replicated owners.
        self._next_heartbeat_s = NEVER
        self._last_heard_s = NEVER
        self._owners: OwnerSet | None = None
        self._acknowledged: tuple[int, int] | None = None
        self._replica: OwnerSet | None = None
        # Reads.
        self._seen_term = 0
        self._doubted_s = NEVER
        self._last_read_s = NEVER
        self._next_read_s = NEVER
        self._read_retry_s = self._first_retry_s

    def set_hold(self, hold: bool) -> None:
        """Change whether a lost leader is replaced only on an operator's word."""
        self._hold = hold

    @property
    def record(self) -> GroupRecord | None:
        """The newest known record; None if unread or absent."""
        return self._record

    @property
    def version(self) -> int | None:
        """The newest known version of the record; None if unread, 0 if absent."""
        return self._version

    @property
    def cause(self) -> TakeoverCause | None:
        """How this VM came to lead the current term; None if it does not lead it."""
        return self._cause

    @property
    def previous_grants_until_s(self) -> float:
        """Until when grants of the previous leader may run at upstreams that check them."""
        return self._previous_grants_until_s

    @property
    def leaving(self) -> bool:
        """Whether this VM is shutting down."""
        return self._leaving

    @property
    def handover_pending(self) -> bool:
        """Whether this VM still leads but was asked to resign."""
        return self._wishes.resign and self._leads

    @property
    def replica(self) -> OwnerSet | None:
        """The newest owners received from a leader or replicated by this VM."""
        return self._replica

    @property
    def owners_acknowledged(self) -> tuple[int, int] | None:
        """The (term, sequence) of this leader's owners that its standby keeps."""
        return self._acknowledged

    def authority_until_s(self) -> float:
        """Return the time before which this VM may grant and forward; -inf if it may not."""
        return self._lease.until_s(self._clock_s) if self._leads else NEVER

    def is_leader(self, now_s: float) -> bool:
        """Return whether this VM has authority now."""
        return now_s < self.authority_until_s()

    # Requests of the entry program.

    def create(self, now_s: float, standby: VmIncarnation | None) -> None:
        """Create the record with this VM as leader, if a read shows that it does not exist."""
        self._advance(now_s)
        self._wishes.create, self._wishes.standby = True, standby

    def replace_standby(self, now_s: float, standby: VmIncarnation | None) -> None:
        """Name another standby, or none; without effect unless this VM leads.

        Raises ValueError if the standby is this VM.
        """
        self._advance(now_s)
        if standby is not None and standby.vm_id == self._me.vm_id:
            raise ValueError(f"VM {standby.vm_id!r} cannot be the standby of itself")
        if not self._leads:
            return
        wishes = self._wishes
        if not (wishes.replace and standby == wishes.standby):
            wishes.asked_s = self._clock_s
        wishes.replace, wishes.standby = True, standby

    def raise_term(self, now_s: float, above: int) -> None:
        """Raise the term of a led group above that of a group which releases a bucket to it."""
        self._advance(now_s)
        if self._leads and above > self._wishes.term_above:
            self._wishes.asked_s = self._clock_s
            self._wishes.term_above = above

    def resign(self, now_s: float) -> None:
        """Hand over to the standby once it answers and the store confirms a write."""
        self._advance(now_s)
        if self._leads and not self._wishes.resign:
            self._wishes.asked_s = self._clock_s
            self._wishes.resign = True

    def leave(self, now_s: float) -> None:
        """Never take over again, and pledge for whole terms, because this VM shuts down."""
        self._advance(now_s)
        self._leaving = True

    def declare_lost(
        self, now_s: float, vm_incarnation: VmIncarnation, by_operator: bool = False
    ) -> None:
        """Note the platform's or an operator's word that a run of a VM has ended.

        Repeat it while the record names that run, since only the latest words are kept.
        """
        now_s = self._advance(now_s)
        lost_s, operator = self._lost.pop(vm_incarnation, (now_s, False))
        self._lost[vm_incarnation] = lost_s, operator or by_operator
        if len(self._lost) > MAX_LOST:
            del self._lost[next(iter(self._lost))]

    def replicate(self, now_s: float, owners: OwnerSet) -> None:
        """Send owners to the standby in heartbeats until it acknowledges them.

        Raises ValueError if they are not of this group and of the term that this VM leads.
        """
        self._advance(now_s)
        if not self._leads or (owners.group, owners.term) != (self._group, self._record.term):
            raise ValueError(f"owners of {owners.group} term {owners.term} are not of this term")
        if self._owners is None or owners.sequence > self._owners.sequence:
            self._owners = owners
            # This VM needs them itself if it begins another term without a leader in between.
            self._keep_replica(owners)

    # Events.

    def observe_record(
        self, now_s: float, asked_at_s: float, record: GroupRecord | None, version: int
    ) -> None:
        """Take the result of a read or watch; a lagging one is ignored."""
        now_s = self._advance(now_s)
        asked_at_s = min(asked_at_s, now_s)
        self._last_read_s = max(self._last_read_s, asked_at_s)
        if self._version is not None and version < self._version:
            return
        if version != self._version:
            self._adopt(now_s, asked_at_s, record, version)
            return
        if self._open is not None:
            self._open.note_read(asked_at_s)
        self._watch.observe(now_s, changed=False)

    def on_write_result(
        self,
        now_s: float,
        asked_at_s: float,
        write_id: str,
        outcome: WriteOutcome,
        version: int = 0,
    ) -> None:
        """Take the result of one sending of a write."""
        now_s = self._advance(now_s)
        write = self._open
        if write is None or write.record.write_id != write_id:
            return
        if outcome is WriteOutcome.STORED:
            # This sending took effect, so the session counts from it and not from the first.
            write.first_sent_s = max(write.first_sent_s, min(asked_at_s, now_s))
            self._adopt(now_s, asked_at_s, write.record, version)
        else:
            write.note_result(now_s, outcome is WriteOutcome.CONFLICT)

    def on_heartbeat(self, now_s: float, heartbeat: Heartbeat) -> HeartbeatReply:
        """Answer a leader's heartbeat; the reply is the pledge."""
        now_s = self._advance(now_s)
        self._seen_term = max(self._seen_term, heartbeat.term)
        if not self._may_pledge(heartbeat):
            self._doubted_s = now_s
            term = self._record.term if self._record else 0
            return HeartbeatReply(self._group, term, self._me, 0.0)
        self._last_heard_s = now_s
        self._keep_replica(heartbeat.owners)
        self._watch.give_pledge(now_s, heartbeat.term, self._leaving)
        kept = self._replica
        return HeartbeatReply(
            self._group,
            heartbeat.term,
            self._me,
            self._timing.pledge_s,
            unlimited=self._leaving,
            owners_term=kept.term if kept else 0,
            owners_sequence=kept.sequence if kept else 0,
        )

    def on_heartbeat_reply(self, now_s: float, asked_at_s: float, reply: HeartbeatReply) -> None:
        """Count a pledge and the owners that the standby acknowledges."""
        now_s = self._advance(now_s)
        self._seen_term = max(self._seen_term, reply.term)
        if not self._leads or reply.term != self._record.term:
            return
        if reply.standby != self._record.standby:
            return
        self._lease.count_pledge(min(asked_at_s, now_s), reply.pledge_s, reply.unlimited)
        kept = reply.owners_term, reply.owners_sequence
        if kept[0] == self._record.term and kept > (self._acknowledged or (0, -1)):
            self._acknowledged = kept

    def tick(self, now_s: float) -> list[Action]:
        """Return the actions that are due."""
        now_s = self._advance(now_s)
        if self._open is None:
            self._open = self._next_write(now_s)
        actions: list[Action] = []
        if self._open and self._open.take_send(now_s, self._timing.session_s):
            actions.append(WriteRecord(self._open.record, self._open.expected_version))
        if self._take_read(now_s):
            actions.append(ReadRecord(self._group))
        if heartbeat := self._take_heartbeat(now_s):
            actions.append(SendHeartbeat(heartbeat))
        return actions

    # Reads and heartbeats.

    def _take_read(self, now_s: float) -> bool:
        if not self._needs_read(now_s):
            self._next_read_s, self._read_retry_s = NEVER, self._first_retry_s
            return False
        if now_s < self._next_read_s:
            return False
        self._next_read_s = now_s + self._read_retry_s
        self._read_retry_s = min(self._read_retry_s * 2, self._timing.session_s)
        return True

    def _needs_read(self, now_s: float) -> bool:
        record = self._record
        if self._version is None or (self._open and self._open.read_back_s is not None):
            return True
        if self._seen_term > (record.term if record else 0):
            return True
        if self._last_read_s < self._doubted_s:
            return True
        if record is None or self._leaving or self._leads:
            return False
        if record.leader == self._me:
            return record.resigned and self._watch.unchanged_since_s is None
        if record.standby == self._me:
            # One early read after two missed heartbeats finds a resignation without the feed.
            quiet_since_s = self._last_heard_s + 2 * self._timing.heartbeat_s
            if now_s >= quiet_since_s and self._last_read_s < quiet_since_s:
                return True
        elif self._third_allowed_s() is None:
            return False
        return self._watch.unchanged_since_s is None and self._watch.pledges_over(
            now_s, record.term
        )

    def _take_heartbeat(self, now_s: float) -> Heartbeat | None:
        record = self._record
        if not self._leads or record.standby is None or self._lease.void:
            return None
        if now_s < self._next_heartbeat_s:
            return None
        self._next_heartbeat_s = now_s + self._timing.heartbeat_s
        owners = self._owners
        if owners and self._acknowledged and owners.sequence <= self._acknowledged[1]:
            owners = None
        return Heartbeat(self._group, record.term, self._me, record.standby, owners)

    def _may_pledge(self, heartbeat: Heartbeat) -> bool:
        """Return whether a pledge can be given without breaking a takeover in flight."""
        if heartbeat.standby != self._me or self._takeover_in_flight():
            return False
        record = self._record
        if record is None or heartbeat.term > record.term:
            return True
        same = heartbeat.term == record.term and heartbeat.leader == record.leader
        return same and record.standby == self._me and not record.resigned

    def _takeover_in_flight(self) -> bool:
        return self._open is not None

    def _keep_replica(self, owners: OwnerSet | None) -> None:
        if owners is None or owners.group != self._group:
            return
        kept = self._replica
        if kept is None or (owners.term, owners.sequence) > (kept.term, kept.sequence):
            self._replica = owners

    # The record.

    def _advance(self, now_s: float) -> float:
        """Return the latest time seen, since a caller may have read its clock before a pause."""
        self._clock_s = max(self._clock_s, now_s)
        return self._clock_s

    def _adopt(
        self, now_s: float, asked_at_s: float, record: GroupRecord | None, version: int
    ) -> None:
        """Replace the known record by a newer version and close the open write."""
        confirmed = None
        if self._open is not None and version > self._open.expected_version:
            if record is not None and record.write_id == self._open.record.write_id:
                confirmed = self._open
            self._open = None
        before, self._record, self._version = self._record, record, version
        self._watch.observe(now_s, changed=True)
        if record is None or record.leader != self._me:
            self._lose_lead()
            return
        if before is None or (before.term, before.leader) != (record.term, self._me):
            self._begin_term(confirmed)
        elif before.standby != record.standby or (confirmed and self._lease.void):
            self._lease.begin_standby()
            self._acknowledged = None
        if confirmed is not None:
            self._lease.count_session(confirmed.first_sent_s)

    def _lose_lead(self) -> None:
        self._lease.begin()
        self._cause, self._owners, self._acknowledged = None, None, None
        self._wishes = Wishes()

    def _begin_term(self, confirmed: OpenWrite | None) -> None:
        self._lease.begin()
        self._owners, self._acknowledged = None, None
        self._cause = confirmed.cause if confirmed else None
        if self._cause is not TakeoverCause.TERM_RAISED:
            self._wishes = Wishes()
        if confirmed is not None:
            self._previous_grants_until_s = confirmed.previous_grants_until_s
        else:
            self._previous_grants_until_s = self._grants_until_s(
                self._clock_s, TakeoverCause.RESIGNED
            )
