"""Lease classes with one guard removed each, to show that the checks can fail."""

from lease_book_vm import GrantBookVm

from fireflyferry.leases import GrantHolder, GroupAuthority, LeaseTiming, WriteOutcome
from fireflyferry.leases.lease import NEVER, LeaderLease, StandbyWatch
from fireflyferry.leases.trial import TrialOptions


class _ForgetfulWatch(StandbyWatch):
    def give_pledge(self, now_s, term, unlimited):
        pass


class TakeoverBeforePledgeEnd(GroupAuthority):
    def __init__(self, *args):
        super().__init__(*args)
        self._watch = _ForgetfulWatch(self._timing)


class AuthorityOverrun(GroupAuthority):
    def authority_until_s(self):
        return super().authority_until_s() + self._timing.session_s


class _NoVoidLease(LeaderLease):
    def void_pledges(self):
        pass


class OldStandbyCounts(GroupAuthority):
    def __init__(self, *args):
        super().__init__(*args)
        self._lease = _NoVoidLease(self._timing)


class UnknownWriteDropped(GroupAuthority):
    def on_write_result(self, now_s, asked_at_s, write_id, outcome, version=0):
        super().on_write_result(now_s, asked_at_s, write_id, outcome, version)
        if outcome is WriteOutcome.UNKNOWN:
            self._open = None
            self._watch.unchanged_since_s = None


class SessionFromConfirmation(GroupAuthority):
    def on_write_result(self, now_s, asked_at_s, write_id, outcome, version=0):
        super().on_write_result(now_s, now_s, write_id, outcome, version)


class LeadsWhileResigning(GroupAuthority):
    def _next_write(self, now_s):
        write = super()._next_write(now_s)
        self._stopped_term = 0
        return write


class ResignedGrantsIgnored(GroupAuthority):
    @property
    def previous_grants_until_s(self):
        return NEVER


class ThirdWithoutWord(GroupAuthority):
    def _third_allowed_s(self):
        record = self._record
        return None if self._me in (record.leader, record.standby) else NEVER


class OwnOwnersIgnored(GroupAuthority):
    """Run with the real GrantManager: a term raised by its leader begins with older owners."""

    vm = GrantBookVm

    def replicate(self, now_s, owners):
        kept = self._replica
        super().replicate(now_s, owners)
        self._replica = kept


class UnboundedGrant(LeaseTiming):
    def grant_length_s(self, now_s, authority_until_s):
        return self.grant_s


class TokenNotChecked(GrantHolder):
    def _until_s(self, now_s, message):
        return now_s + message.length_s


class LowerSetAccepted(GrantHolder):
    def accept(self, now_s, message):
        if group := self._groups.get(message.group):
            group.term = group.set_version = 0
        return super().accept(now_s, message)


def options(mutant, vms=3):
    """Return a world's options with a mutant in place of the real class."""
    for base, field in (
        (GroupAuthority, {"authority": mutant}),
        (GrantHolder, {"holder": mutant}),
    ):
        if issubclass(mutant, base):
            return TrialOptions(vms=vms, vm=getattr(mutant, "vm", None), **field)
    return TrialOptions(vms=vms, timing=mutant())
