"""Leader and standby roles of one VM in the two-party lease of a group."""

from fireflyferry.leases.actions import (
    Action,
    ReadRecord,
    SendHeartbeat,
    TakeoverCause,
    WriteOutcome,
    WriteRecord,
)
from fireflyferry.leases.lease import NEVER, PendingWrite
from fireflyferry.leases.timing import LeaseTiming
from fireflyferry.leases.writes import GroupWrites, RequestedChanges
from fireflyferry.messages import (
    GroupId,
    GroupRecord,
    Heartbeat,
    HeartbeatReply,
    OwnerSet,
    VmIncarnation,
)

__all__ = ["GroupAuthority"]

# Only the incarnations of the leader and the standby matter at any time; the rest allows for
# reports that arrive before a record that names the incarnation.
MAX_LOST_INCARNATIONS = 16


class GroupAuthority(GroupWrites):
    """Leader and standby roles of one incarnation of a VM for one group.

    The leader has authority, that is, it may grant units and forward requests, while a pledge of
    its standby or a session runs. A pledge is the standby's promise, in its reply to a heartbeat,
    not to take over for a while. A session is a lease that the leader obtains by writing the
    group's record in the store.

    Every method takes the time in seconds on this VM's monotonic clock. `sent_at_s` is the time
    just before the request to the standby or the store was sent. With `hold`, a lost leader is
    replaced only after an operator declared it lost.
    """

    def __init__(
        self, group: GroupId, this_vm: VmIncarnation, timing: LeaseTiming, hold: bool = False
    ) -> None:
        super().__init__(group, this_vm, timing, hold)
        self._latest_now_s = NEVER
        # Heartbeats and replicated owners.
        self._next_heartbeat_s = NEVER
        self._last_heartbeat_s = NEVER
        self._owners: OwnerSet | None = None
        self._acknowledged: tuple[int, int] | None = None
        self._replica: OwnerSet | None = None
        # Reads.
        self._highest_seen_term = 0
        self._last_refusal_s = NEVER
        self._last_read_s = NEVER
        self._next_read_s = NEVER
        self._read_backoff_s = self._initial_backoff_s

    def set_hold(self, hold: bool) -> None:
        """Set whether a lost leader is replaced only after an operator declared it lost."""
        self._hold = hold

    @property
    def record(self) -> GroupRecord | None:
        """The newest known record; None if it has not been read or does not exist."""
        return self._record

    @property
    def version(self) -> int | None:
        """The newest known version of the record; None if not read yet, 0 if it does not exist."""
        return self._version

    @property
    def cause(self) -> TakeoverCause | None:
        """Why this VM leads the current term; None if it does not lead or the cause is unknown."""
        return self._cause

    @property
    def previous_grants_until_s(self) -> float:
        """Time until which upstreams that check grants may accept the previous leader's grants."""
        return self._previous_grants_until_s

    @property
    def leaving(self) -> bool:
        """Whether this VM is shutting down."""
        return self._leaving

    @property
    def handover_pending(self) -> bool:
        """Whether this VM still leads after a call of `resign`."""
        return self._requested.resign and self._leads

    @property
    def replica(self) -> OwnerSet | None:
        """The newest owners that this VM received from a leader or replicated as the leader."""
        return self._replica

    @property
    def owners_acknowledged(self) -> tuple[int, int] | None:
        """The (term, sequence) of the owners that this leader's standby has acknowledged."""
        return self._acknowledged

    def authority_until_s(self) -> float:
        """Return the time until which this VM may grant and forward; -inf if it may not."""
        return self._leader_lease.until_s(self._latest_now_s) if self._leads else NEVER

    def is_leader(self, now_s: float) -> bool:
        """Return whether this VM has authority now."""
        return now_s < self.authority_until_s()

    # Operations that the entry program requests.

    def create(self, now_s: float, standby: VmIncarnation | None) -> None:
        """Create the record with this VM as leader once a read shows that it does not exist."""
        self._advance_clock(now_s)
        self._requested.create, self._requested.standby = True, standby

    def replace_standby(self, now_s: float, standby: VmIncarnation | None) -> None:
        """Name another standby, or none, in the record; does nothing unless this VM leads.

        Raises ValueError if the standby is this VM.
        """
        self._advance_clock(now_s)
        if standby is not None and standby.vm_id == self._this_vm.vm_id:
            raise ValueError(f"VM {standby.vm_id!r} cannot be the standby of itself")
        if not self._leads:
            return
        requested = self._requested
        if not (requested.replace_standby and standby == requested.standby):
            requested.requested_s = self._latest_now_s
        requested.replace_standby, requested.standby = True, standby

    def raise_term(self, now_s: float, above: int) -> None:
        """Raise the term above that of another group that releases a bucket to this group.

        Does nothing unless this VM leads.
        """
        self._advance_clock(now_s)
        if self._leads and above > self._requested.term_above:
            self._requested.requested_s = self._latest_now_s
            self._requested.term_above = above

    def resign(self, now_s: float) -> None:
        """Resign in favour of the standby once it has pledged and the store confirmed a write."""
        self._advance_clock(now_s)
        if self._leads and not self._requested.resign:
            self._requested.requested_s = self._latest_now_s
            self._requested.resign = True

    def leave(self, now_s: float) -> None:
        """Prepare for shutdown: never take over again, and give pledges that last a whole term."""
        self._advance_clock(now_s)
        self._leaving = True

    def declare_lost(
        self, now_s: float, vm_incarnation: VmIncarnation, by_operator: bool = False
    ) -> None:
        """Record that the platform or an operator reported an incarnation of a VM as ended.

        Call this repeatedly while the record names the incarnation, because only the latest
        reports are kept.
        """
        now_s = self._advance_clock(now_s)
        lost_s, operator = self._declared_lost.pop(vm_incarnation, (now_s, False))
        self._declared_lost[vm_incarnation] = lost_s, operator or by_operator
        if len(self._declared_lost) > MAX_LOST_INCARNATIONS:
            del self._declared_lost[next(iter(self._declared_lost))]

    def replicate(self, now_s: float, owners: OwnerSet) -> None:
        """Send owners to the standby in heartbeats until it acknowledges them.

        Raises ValueError if they belong to another group or to a term that this VM does not lead.
        """
        self._advance_clock(now_s)
        if not self._leads or (owners.group, owners.term) != (self._group, self._record.term):
            raise ValueError(f"this VM does not lead {owners.group} in term {owners.term}")
        if self._owners is None or owners.sequence > self._owners.sequence:
            self._owners = owners
            # This VM starts from them if it also leads the next term.
            self._update_replica(owners)

    # Events.

    def observe_record(
        self, now_s: float, sent_at_s: float, record: GroupRecord | None, version: int
    ) -> None:
        """Process the result of a read or watch; a version older than the known one is ignored."""
        now_s = self._advance_clock(now_s)
        sent_at_s = min(sent_at_s, now_s)
        self._last_read_s = max(self._last_read_s, sent_at_s)
        if self._version is not None and version < self._version:
            return
        if version != self._version:
            self._apply_record(now_s, sent_at_s, record, version)
            return
        if self._pending_write is not None:
            self._pending_write.on_read(sent_at_s)
        self._standby_lease.observe(now_s, changed=False)

    def on_write_result(
        self,
        now_s: float,
        sent_at_s: float,
        write_id: str,
        outcome: WriteOutcome,
        version: int = 0,
    ) -> None:
        """Process the result of one attempt to send a write."""
        now_s = self._advance_clock(now_s)
        write = self._pending_write
        if write is None or write.record.write_id != write_id:
            return
        if outcome is WriteOutcome.STORED:
            # This attempt took effect, so the session starts at this attempt, not at the first.
            write.earliest_sent_at_s = max(write.earliest_sent_at_s, min(sent_at_s, now_s))
            self._apply_record(now_s, sent_at_s, write.record, version)
        else:
            write.on_result(now_s, outcome is WriteOutcome.CONFLICT)

    def on_heartbeat(self, now_s: float, heartbeat: Heartbeat) -> HeartbeatReply:
        """Return the reply to a leader's heartbeat, with a pledge if one can be given."""
        now_s = self._advance_clock(now_s)
        self._highest_seen_term = max(self._highest_seen_term, heartbeat.term)
        if not self._may_pledge(heartbeat):
            self._last_refusal_s = now_s
            term = self._record.term if self._record else 0
            return HeartbeatReply(self._group, term, self._this_vm, 0.0)
        self._last_heartbeat_s = now_s
        self._update_replica(heartbeat.owners)
        self._standby_lease.give_pledge(now_s, heartbeat.term, self._leaving)
        replica = self._replica
        return HeartbeatReply(
            self._group,
            heartbeat.term,
            self._this_vm,
            self._timing.pledge_s,
            unlimited=self._leaving,
            owners_term=replica.term if replica else 0,
            owners_sequence=replica.sequence if replica else 0,
        )

    def on_heartbeat_reply(self, now_s: float, sent_at_s: float, reply: HeartbeatReply) -> None:
        """Process a standby's reply: its pledge and the owners that it acknowledges."""
        now_s = self._advance_clock(now_s)
        self._highest_seen_term = max(self._highest_seen_term, reply.term)
        if not self._leads or reply.term != self._record.term:
            return
        if reply.standby != self._record.standby:
            return
        self._leader_lease.add_pledge(min(sent_at_s, now_s), reply.pledge_s, reply.unlimited)
        position = reply.owners_term, reply.owners_sequence
        if position[0] == self._record.term and position > (self._acknowledged or (0, -1)):
            self._acknowledged = position

    def tick(self, now_s: float) -> list[Action]:
        """Return the actions that are due now."""
        now_s = self._advance_clock(now_s)
        if self._pending_write is None:
            self._pending_write = self._next_write(now_s)
        actions: list[Action] = []
        if self._pending_write and self._pending_write.start_send_if_due(
            now_s, self._timing.session_s
        ):
            actions.append(
                WriteRecord(self._pending_write.record, self._pending_write.expected_version)
            )
        if self._start_read_if_due(now_s):
            actions.append(ReadRecord(self._group))
        if heartbeat := self._heartbeat_if_due(now_s):
            actions.append(SendHeartbeat(heartbeat))
        return actions

    # Reads and heartbeats.

    def _start_read_if_due(self, now_s: float) -> bool:
        if not self._needs_read(now_s):
            self._next_read_s, self._read_backoff_s = NEVER, self._initial_backoff_s
            return False
        if now_s < self._next_read_s:
            return False
        self._next_read_s = now_s + self._read_backoff_s
        self._read_backoff_s = min(self._read_backoff_s * 2, self._timing.session_s)
        return True

    def _needs_read(self, now_s: float) -> bool:
        record = self._record
        if self._version is None or (
            self._pending_write and self._pending_write.read_back_from_s is not None
        ):
            return True
        if self._highest_seen_term > (record.term if record else 0):
            return True
        if self._last_read_s < self._last_refusal_s:
            return True
        if record is None or self._leaving or self._leads:
            return False
        if record.leader == self._this_vm:
            return record.resigned and self._standby_lease.unchanged_since_s is None
        if record.standby == self._this_vm:
            # One early read after two missed heartbeats detects a resignation even if the feed
            # does not deliver it.
            two_heartbeats_missed_s = self._last_heartbeat_s + 2 * self._timing.heartbeat_s
            if now_s >= two_heartbeats_missed_s and self._last_read_s < two_heartbeats_missed_s:
                return True
        elif self._leader_and_standby_lost_s() is None:
            return False
        return (
            self._standby_lease.unchanged_since_s is None
            and self._standby_lease.pledges_expired(now_s, record.term)
        )

    def _heartbeat_if_due(self, now_s: float) -> Heartbeat | None:
        record = self._record
        if not self._leads or record.standby is None or self._leader_lease.pledges_ignored:
            return None
        if now_s < self._next_heartbeat_s:
            return None
        self._next_heartbeat_s = now_s + self._timing.heartbeat_s
        owners = self._owners
        if owners and self._acknowledged and owners.sequence <= self._acknowledged[1]:
            owners = None
        return Heartbeat(self._group, record.term, self._this_vm, record.standby, owners)

    def _may_pledge(self, heartbeat: Heartbeat) -> bool:
        """Return whether the heartbeat is valid and no takeover of this VM is in flight."""
        if heartbeat.standby != self._this_vm or self._takeover_in_flight():
            return False
        record = self._record
        if record is None or heartbeat.term > record.term:
            return True
        same_leader = heartbeat.term == record.term and heartbeat.leader == record.leader
        return same_leader and record.standby == self._this_vm and not record.resigned

    def _takeover_in_flight(self) -> bool:
        return self._pending_write is not None

    def _update_replica(self, owners: OwnerSet | None) -> None:
        if owners is None or owners.group != self._group:
            return
        replica = self._replica
        if replica is None or (owners.term, owners.sequence) > (replica.term, replica.sequence):
            self._replica = owners

    # The record.

    def _advance_clock(self, now_s: float) -> float:
        """Return the latest time seen, because a caller can be paused after reading the clock."""
        self._latest_now_s = max(self._latest_now_s, now_s)
        return self._latest_now_s

    def _apply_record(
        self, now_s: float, sent_at_s: float, record: GroupRecord | None, version: int
    ) -> None:
        """Replace the known record by a newer version, which also resolves the pending write."""
        confirmed = None
        if self._pending_write is not None and version > self._pending_write.expected_version:
            if record is not None and record.write_id == self._pending_write.record.write_id:
                confirmed = self._pending_write
            self._pending_write = None
        previous, self._record, self._version = self._record, record, version
        self._standby_lease.observe(now_s, changed=True)
        if record is None or record.leader != self._this_vm:
            self._end_leadership()
            return
        if previous is None or (previous.term, previous.leader) != (record.term, self._this_vm):
            self._begin_term(confirmed)
        elif previous.standby != record.standby or (
            confirmed and self._leader_lease.pledges_ignored
        ):
            self._leader_lease.reset_pledges()
            self._acknowledged = None
        if confirmed is not None:
            self._leader_lease.add_session(confirmed.earliest_sent_at_s)

    def _end_leadership(self) -> None:
        self._leader_lease.reset()
        self._cause, self._owners, self._acknowledged = None, None, None
        self._requested = RequestedChanges()

    def _begin_term(self, confirmed: PendingWrite | None) -> None:
        self._leader_lease.reset()
        self._owners, self._acknowledged = None, None
        self._cause = confirmed.cause if confirmed else None
        if self._cause is not TakeoverCause.TERM_RAISED:
            self._requested = RequestedChanges()
        if confirmed is not None:
            self._previous_grants_until_s = confirmed.previous_grants_until_s
        else:
            self._previous_grants_until_s = self._grants_until_s(
                self._latest_now_s, TakeoverCause.RESIGNED
            )
