"""Lease classes with one safety check removed each, to show that their tests can fail."""

from lease_book_vm import GrantManagerVm

from fireflyferry.leases import GrantHolder, GroupAuthority, LeaseTiming, WriteOutcome
from fireflyferry.leases.lease import NEVER, LeaderLease, StandbyLease
from fireflyferry.leases.trial import SimulationOptions


class _PledgesNotRecorded(StandbyLease):
    def give_pledge(self, now_s, term, unlimited):
        pass


class TakeoverBeforePledgeEnd(GroupAuthority):
    def __init__(self, *args):
        super().__init__(*args)
        self._standby_lease = _PledgesNotRecorded(self._timing)


class AuthorityOverrun(GroupAuthority):
    def authority_until_s(self):
        return super().authority_until_s() + self._timing.session_s


class _PledgesNeverIgnored(LeaderLease):
    def ignore_pledges(self):
        pass


class OldStandbyPledgesAccepted(GroupAuthority):
    def __init__(self, *args):
        super().__init__(*args)
        self._leader_lease = _PledgesNeverIgnored(self._timing)


class UnknownWriteDropped(GroupAuthority):
    def on_write_result(self, now_s, sent_at_s, write_id, outcome, version=0):
        super().on_write_result(now_s, sent_at_s, write_id, outcome, version)
        if outcome is WriteOutcome.UNKNOWN:
            self._pending_write = None
            self._standby_lease.unchanged_since_s = None


class SessionFromConfirmation(GroupAuthority):
    def on_write_result(self, now_s, sent_at_s, write_id, outcome, version=0):
        super().on_write_result(now_s, now_s, write_id, outcome, version)


class LeadsWhileResigning(GroupAuthority):
    def _next_write(self, now_s):
        write = super()._next_write(now_s)
        self._resigning_term = 0
        return write


class ResignedGrantsIgnored(GroupAuthority):
    @property
    def previous_grants_until_s(self):
        return NEVER


class ThirdVmWithoutLostReports(GroupAuthority):
    def _leader_and_standby_lost_s(self):
        record = self._record
        return None if self._this_vm in (record.leader, record.standby) else NEVER


class OwnOwnersNotKept(GroupAuthority):
    """Leader that does not keep its own owners in its replica.

    It runs with the real GrantManager: a term that the leader raised begins with older owners.
    """

    vm = GrantManagerVm

    def replicate(self, now_s, owners):
        previous_replica = self._replica
        super().replicate(now_s, owners)
        self._replica = previous_replica


class UnboundedGrant(LeaseTiming):
    def grant_length_s(self, now_s, authority_until_s):
        return self.grant_s


class TokenNotChecked(GrantHolder):
    def _grant_until_s(self, now_s, message):
        return now_s + message.length_s


class LowerSetAccepted(GrantHolder):
    def accept(self, now_s, message):
        if group := self._groups.get(message.group):
            group.term = group.set_version = 0
        return super().accept(now_s, message)


def options(mutant, vms=3):
    """Return simulation options with a mutant in place of the real class."""
    for base, field in (
        (GroupAuthority, {"authority": mutant}),
        (GrantHolder, {"holder": mutant}),
    ):
        if issubclass(mutant, base):
            return SimulationOptions(vms=vms, vm=getattr(mutant, "vm", None), **field)
    return SimulationOptions(vms=vms, timing=mutant())
