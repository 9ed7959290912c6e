"""GrantManager with one guard removed each, and the seed of a run that must fail without it."""

from fireflyferry.leases import LeaseTiming
from fireflyferry.ownership import GrantManager
from fireflyferry.ownership.forwards import ForwardCounter
from fireflyferry.ownership.tests.faults import FAULTS, REQUEST_FAULTS, TAKEOVER_FAULTS
from fireflyferry.ownership.upstreams import UpstreamTable

__all__ = ["MUTANTS", "OldBusyReport"]


class FenceReused(GrantManager):
    def _next_fence(self):
        return self._term << 32 | 1


class FenceWithoutTerm(GrantManager):
    def _next_fence(self):
        return super()._next_fence() & 0xFFFFFFFF


class SaveSkipped(GrantManager):
    def _is_saved(self, row):
        return True


class ReleasingNotSaved(GrantManager):
    def _releasing(self, unit):
        return ()


class ReleasingNotLoaded(GrantManager):
    def _keep_claim(self, unit, upstream_id):
        if unit not in self._units:
            super()._keep_claim(unit, upstream_id)


class GrantedBeforeRelease(GrantManager):
    def _may_grant(self, unit, row):
        return self._is_saved(row) and row.target in self._upstreams.rows


class OlderSetAcknowledged(GrantManager):
    def _has_ended(self, now_s, unit, upstream_id, claim):
        acked = self._upstreams.rows.get(upstream_id)
        return bool(acked and acked.acked_version) or super()._has_ended(
            now_s, unit, upstream_id, claim
        )


class EndedEarly(GrantManager):
    def _has_ended(self, now_s, unit, upstream_id, claim):
        return super()._has_ended(now_s + 0.1, unit, upstream_id, claim)


class UncheckedEndsWithTime(GrantManager):
    def _has_ended(self, now_s, unit, upstream_id, claim):
        return now_s >= claim.until_s or super()._has_ended(now_s, unit, upstream_id, claim)


class BusyIgnored(GrantManager):
    def _is_busy(self, upstream, unit):
        return self._forwards.is_running(upstream.upstream_id, unit, self._units[unit])


class ForwardsIgnored(GrantManager):
    def __init__(self, group, timing):
        super().__init__(group, timing)
        self._forwards.is_running = lambda upstream_id, unit, row: False


class NoForwardUnderBucket(GrantManager):
    def __init__(self, group, timing):
        super().__init__(group, timing)
        running = ForwardCounter.is_running
        self._forwards.is_running = lambda upstream_id, unit, row: running(
            self._forwards, upstream_id, unit, type(row)("none", None)
        )


class PinIgnored(GrantManager):
    def _is_pinned(self, upstream_id):
        return False


class PreviousGrantsIgnored(GrantManager):
    def begin_term(self, now_s, term, saved, previous_grants_until_s=None, stopped=False):
        super().begin_term(now_s, term, saved, None, stopped)


class SplitWithoutRelease(GrantManager):
    def _split(self, unit, row):
        row.split = True


class MergedTooEarly(GrantManager):
    def _has_ended(self, now_s, unit, upstream_id, claim):
        merged = self._units[unit].key is not None and self._units[unit].target is None
        return merged or super()._has_ended(now_s, unit, upstream_id, claim)


class GrantedBeforeRewrite(GrantManager):
    def _is_rewritten(self):
        return True


class OldBusyReport(GrantManager):
    def on_earlier_leader_stopped(self, now_s):
        for row in self._upstreams.rows.values():
            row.pinned = False


class OwnersNotLoaded(GrantManager):
    def begin_term(self, now_s, term, saved, previous_grants_until_s=None, stopped=False):
        super().begin_term(now_s, term, None, previous_grants_until_s, stopped)


class _FirstReadingTable(UpstreamTable):
    def grant_end_s(self, row, length_s):
        return row.token_after_s + self.timing.shortened(length_s) - 0.1


class _LatestEndTable(UpstreamTable):
    def on_reply(self, now_s, sent_at_s, term, reply):
        row = self.rows.get(reply.upstream_id)
        before_s = row.usable_until_s if row else 0.0
        full = super().on_reply(now_s, sent_at_s, term, reply)
        if row:
            row.usable_until_s = max(row.usable_until_s, before_s)
        return full


class _TokenArrivalTable(UpstreamTable):
    def _take_token(self, now_s, row, sent_at_s, token):
        super()._take_token(now_s, row, now_s, token)


class _RenewalAcknowledgesTable(UpstreamTable):
    def on_reply(self, now_s, sent_at_s, term, reply):
        full = super().on_reply(now_s, sent_at_s, term, reply)
        if reply.accepted and reply.term == term and reply.upstream_id in self.rows:
            self.rows[reply.upstream_id].acked_version = reply.set_version
        return full


class _VersionReusedTable(UpstreamTable):
    def touch(self, row):
        row.version = max(1, row.version)
        row.changed = True
        return row.version


def _with_table(name, table):
    def __init__(self, group, timing):  # noqa: N807
        GrantManager.__init__(self, group, timing)
        self._upstreams = table(timing)

    return type(name, (GrantManager,), {"__init__": __init__})


class _UnlimitedTiming(LeaseTiming):
    def grant_length_s(self, now_s, authority_until_s):
        return self.grant_s


class LongerThanAuthority(GrantManager):
    def __init__(self, group, timing):
        super().__init__(group, _UnlimitedTiming())


GrantEndFromFirstReading = _with_table("GrantEndFromFirstReading", _FirstReadingTable)
UsableUntilLatestEnd = _with_table("UsableUntilLatestEnd", _LatestEndTable)
UsableFromTokenArrival = _with_table("UsableFromTokenArrival", _TokenArrivalTable)
RenewalAcknowledges = _with_table("RenewalAcknowledges", _RenewalAcknowledgesTable)
VersionReused = _with_table("VersionReused", _VersionReusedTable)

# Class, seed of `run_random`, faults, and what the failure says.
MUTANTS = (
    (FenceReused, 3, FAULTS, "fence of"),
    (FenceWithoutTerm, 2, FAULTS, "fence of"),
    (SaveSkipped, 2, FAULTS, "not saved"),
    (ReleasingNotSaved, 0, FAULTS, "not saved"),
    (ReleasingNotLoaded, 11, FAULTS, "not saved"),
    (OwnersNotLoaded, 0, FAULTS, "were not kept"),
    (GrantedBeforeRewrite, 252, FAULTS, "not saved"),
    (GrantedBeforeRelease, 12, FAULTS, "is held by"),
    (OlderSetAcknowledged, 12, FAULTS, "is held by"),
    (EndedEarly, 28, FAULTS, "not saved"),
    (UncheckedEndsWithTime, 3, FAULTS, "is held by"),
    (BusyIgnored, 1, REQUEST_FAULTS, "is held by"),
    (ForwardsIgnored, 9, REQUEST_FAULTS, "is held by"),
    (NoForwardUnderBucket, 24, REQUEST_FAULTS, "is held by"),
    (PinIgnored, 9, REQUEST_FAULTS, "is held by"),
    (PreviousGrantsIgnored, 30, FAULTS, "is held by"),
    (SplitWithoutRelease, 2, FAULTS, "is held by"),
    (MergedTooEarly, 3, FAULTS, "is held by"),
    (LongerThanAuthority, 256, TAKEOVER_FAULTS, "is held by"),
    (GrantEndFromFirstReading, 28, FAULTS, "not saved"),
    (UsableUntilLatestEnd, 22, FAULTS, "may not be forwarded"),
    (UsableFromTokenArrival, 20, FAULTS, "may not be forwarded"),
    (RenewalAcknowledges, 0, FAULTS, "owners when quiet"),
    (VersionReused, 0, FAULTS, "owners when quiet"),
)
