"""Variants of GrantManager without one safety check, and a seed with which each one fails."""

from fireflyferry.leases import LeaseTiming
from fireflyferry.ownership import GrantManager
from fireflyferry.ownership.forwards import ForwardCounter
from fireflyferry.ownership.tests.faults import FAULTS, REQUEST_FAULTS, TAKEOVER_FAULTS
from fireflyferry.ownership.upstreams import UpstreamTable

__all__ = ["MUTANTS", "StaleBusyReportUsed"]


class FenceReused(GrantManager):
    def _next_fence(self):
        return self._term << 32 | 1


class FenceWithoutTerm(GrantManager):
    def _next_fence(self):
        return super()._next_fence() & 0xFFFFFFFF


class SaveSkipped(GrantManager):
    def _is_target_saved(self, row):
        return True


class ReleasingNotSaved(GrantManager):
    def _unreleased(self, unit):
        return ()


class ReleasingNotLoaded(GrantManager):
    def _record_possible_holder(self, unit, upstream_id):
        if unit not in self._units:
            super()._record_possible_holder(unit, upstream_id)


class GrantedBeforeRelease(GrantManager):
    def _may_grant(self, unit, row):
        return self._is_target_saved(row) and row.target in self._upstreams.rows


class AnyAcknowledgedSetAccepted(GrantManager):
    def _is_release_done(self, now_s, unit, upstream_id, release):
        upstream = self._upstreams.rows.get(upstream_id)
        return bool(upstream and upstream.acked_version) or super()._is_release_done(
            now_s, unit, upstream_id, release
        )


class ReleaseEndedEarly(GrantManager):
    def _is_release_done(self, now_s, unit, upstream_id, release):
        return super()._is_release_done(now_s + 0.1, unit, upstream_id, release)


class UncheckedGrantExpires(GrantManager):
    def _is_release_done(self, now_s, unit, upstream_id, release):
        return now_s >= release.until_s or super()._is_release_done(
            now_s, unit, upstream_id, release
        )


class BusyIgnored(GrantManager):
    def _is_busy(self, upstream, unit):
        return self._forwards.is_running(upstream.upstream_id, unit, self._units[unit])


class ForwardsIgnored(GrantManager):
    def __init__(self, group, timing):
        super().__init__(group, timing)
        self._forwards.is_running = lambda upstream_id, unit, row: False


class BucketForwardsIgnored(GrantManager):
    def __init__(self, group, timing):
        super().__init__(group, timing)
        running = ForwardCounter.is_running
        self._forwards.is_running = lambda upstream_id, unit, row: running(
            self._forwards, upstream_id, unit, type(row)("none", None)
        )


class EarlierLeaderForwardsIgnored(GrantManager):
    def _may_get_earlier_forwards(self, upstream_id):
        return False


class PreviousGrantsIgnored(GrantManager):
    def begin_term(
        self, now_s, term, saved, previous_grants_until_s=None, earlier_leader_stopped=False
    ):
        super().begin_term(now_s, term, saved, None, earlier_leader_stopped)


class SplitWithoutRelease(GrantManager):
    def _split(self, unit, row):
        row.split = True


class MergedTooEarly(GrantManager):
    def _is_release_done(self, now_s, unit, upstream_id, release):
        merged = self._units[unit].key is not None and self._units[unit].target is None
        return merged or super()._is_release_done(now_s, unit, upstream_id, release)


class GrantedBeforeSaveUnderTerm(GrantManager):
    def _is_saved_under_term(self):
        return True


class StaleBusyReportUsed(GrantManager):
    def on_earlier_leader_stopped(self, now_s):
        for row in self._upstreams.rows.values():
            row.earlier_leader_may_forward = False


class OwnersNotLoaded(GrantManager):
    def begin_term(
        self, now_s, term, saved, previous_grants_until_s=None, earlier_leader_stopped=False
    ):
        super().begin_term(now_s, term, None, previous_grants_until_s, earlier_leader_stopped)


class _EarlyGrantEndTable(UpstreamTable):
    def grant_end_s(self, row, length_s):
        return row.token_after_s + self.timing.shortened(length_s) - 0.1


class _LatestEndTable(UpstreamTable):
    def on_reply(self, now_s, sent_at_s, term, reply):
        row = self.rows.get(reply.upstream_id)
        earlier_until_s = row.usable_until_s if row else 0.0
        full = super().on_reply(now_s, sent_at_s, term, reply)
        if row:
            row.usable_until_s = max(row.usable_until_s, earlier_until_s)
        return full


class _TokenArrivalTable(UpstreamTable):
    def _update_token(self, now_s, row, sent_at_s, token):
        super()._update_token(now_s, row, now_s, token)


class _RenewalAcknowledgesTable(UpstreamTable):
    def on_reply(self, now_s, sent_at_s, term, reply):
        full = super().on_reply(now_s, sent_at_s, term, reply)
        if reply.accepted and reply.term == term and reply.upstream_id in self.rows:
            self.rows[reply.upstream_id].acked_version = reply.set_version
        return full


class _VersionReusedTable(UpstreamTable):
    def begin_set_version(self, row):
        row.version = max(1, row.version)
        row.changed = True
        return row.version


def _with_upstream_table(name, table_class):
    def __init__(self, group, timing):  # noqa: N807
        GrantManager.__init__(self, group, timing)
        self._upstreams = table_class(timing)

    return type(name, (GrantManager,), {"__init__": __init__})


class _UnlimitedTiming(LeaseTiming):
    def grant_length_s(self, now_s, authority_until_s):
        return self.grant_s


class LongerThanAuthority(GrantManager):
    def __init__(self, group, timing):
        super().__init__(group, _UnlimitedTiming())


GrantEndTooEarly = _with_upstream_table("GrantEndTooEarly", _EarlyGrantEndTable)
UsableUntilLatestEnd = _with_upstream_table("UsableUntilLatestEnd", _LatestEndTable)
UsableFromTokenArrival = _with_upstream_table("UsableFromTokenArrival", _TokenArrivalTable)
RenewalAcknowledges = _with_upstream_table("RenewalAcknowledges", _RenewalAcknowledgesTable)
VersionReused = _with_upstream_table("VersionReused", _VersionReusedTable)

# Class, seed and faults for `run_random_faults`, and a part of the failure's message.
MUTANTS = (
    (FenceReused, 4, FAULTS, "fence of"),
    (FenceWithoutTerm, 2, FAULTS, "fence of"),
    (SaveSkipped, 2, FAULTS, "not saved"),
    (ReleasingNotSaved, 0, FAULTS, "not saved"),
    (ReleasingNotLoaded, 11, FAULTS, "not saved"),
    (OwnersNotLoaded, 0, FAULTS, "were not kept"),
    (GrantedBeforeSaveUnderTerm, 252, FAULTS, "not saved"),
    (GrantedBeforeRelease, 12, FAULTS, "is held by"),
    (AnyAcknowledgedSetAccepted, 12, FAULTS, "is held by"),
    (ReleaseEndedEarly, 28, FAULTS, "not saved"),
    (UncheckedGrantExpires, 20, FAULTS, "is held by"),
    (BusyIgnored, 1, REQUEST_FAULTS, "is held by"),
    (ForwardsIgnored, 9, REQUEST_FAULTS, "is held by"),
    (BucketForwardsIgnored, 24, REQUEST_FAULTS, "is held by"),
    (EarlierLeaderForwardsIgnored, 9, REQUEST_FAULTS, "is held by"),
    (PreviousGrantsIgnored, 30, FAULTS, "is held by"),
    (SplitWithoutRelease, 2, FAULTS, "is held by"),
    (MergedTooEarly, 57, FAULTS, "is held by"),
    (LongerThanAuthority, 256, TAKEOVER_FAULTS, "is held by"),
    (GrantEndTooEarly, 28, FAULTS, "not saved"),
    (UsableUntilLatestEnd, 22, FAULTS, "may not be forwarded"),
    (UsableFromTokenArrival, 20, FAULTS, "may not be forwarded"),
    (RenewalAcknowledges, 0, FAULTS, "owners after settling"),
    (VersionReused, 0, FAULTS, "owners after settling"),
)
