"""Pledges and sessions of a leader, pledges given by a standby, and pending writes."""

import math

import attrs

from fireflyferry.leases.actions import TakeoverCause
from fireflyferry.leases.timing import LeaseTiming
from fireflyferry.messages import GroupRecord

__all__ = ["LeaderLease", "PendingWrite", "StandbyLease"]

NEVER = -math.inf


class LeaderLease:
    """Pledges of the standby and sessions in the store, for the leader of one term.

    The leader has authority, and may grant units, while a pledge or a session is valid. Times are
    seconds on this VM's monotonic clock.
    """

    def __init__(self, timing: LeaseTiming) -> None:
        self._timing = timing
        self.reset()

    def reset(self) -> None:
        """Drop all pledges and sessions, because those of another term are not valid."""
        self.session_sent_at_s = NEVER
        self._session_until_s = NEVER
        self.reset_pledges()

    def reset_pledges(self) -> None:
        """Drop all pledges and accept new ones from the standby that the record names now."""
        self._pledged_until_s = NEVER
        self._unlimited = False
        self._pledges_ignored = False

    @property
    def pledges_ignored(self) -> bool:
        """Whether pledges are ignored, because a write that ends them may take effect."""
        return self._pledges_ignored

    @property
    def unlimited(self) -> bool:
        """Whether the standby is shutting down and has pledged for the whole term."""
        return self._unlimited

    def ignore_pledges(self) -> None:
        """Drop all pledges and ignore new ones until `reset_pledges` is called."""
        self.reset_pledges()
        self._pledges_ignored = True

    def add_pledge(self, sent_at_s: float, pledge_s: float, unlimited: bool) -> None:
        """Add a pledge that starts at the time just before its heartbeat was sent."""
        if self._pledges_ignored or not 0 < pledge_s < math.inf:
            return
        # A standby with other settings may pledge for longer. Replacing a standby is safe only
        # if no pledge is longer than session_s, which is at least this leader's own pledge_s.
        pledge_s = min(pledge_s, self._timing.pledge_s)
        until_s = sent_at_s + self._timing.shortened(pledge_s)
        self._pledged_until_s = max(self._pledged_until_s, until_s)
        self._unlimited = self._unlimited or unlimited

    def add_session(self, sent_at_s: float) -> None:
        """Add a session that starts at the time just before its confirmed write was sent."""
        self.session_sent_at_s = max(self.session_sent_at_s, sent_at_s)
        until_s = sent_at_s + self._timing.shortened(self._timing.session_s)
        self._session_until_s = max(self._session_until_s, until_s)

    def until_s(self, latest_now_s: float) -> float:
        """Return the time at which authority ends, given the latest known clock reading.

        An unlimited pledge counts as pledge_s from that reading. Grants given under it then end
        before a standby that the record names later has finished its wait for the session's end.
        """
        until_s = max(self._pledged_until_s, self._session_until_s)
        if self._unlimited:
            until_s = max(until_s, latest_now_s + self._timing.shortened(self._timing.pledge_s))
        return until_s

    def has_pledge(self, now_s: float) -> bool:
        """Return whether a pledge of the standby is valid."""
        return self._unlimited or now_s < self._pledged_until_s

    def needs_session_write(self, now_s: float) -> bool:
        """Return whether less than half of both the pledge and the session is left."""
        if self._unlimited:
            return False
        return (
            self._pledged_until_s - now_s < self._timing.pledge_s / 2
            and self._session_until_s - now_s < self._timing.session_s / 2
        )

    def session_covers(self, now_s: float, requested_s: float) -> bool:
        """Return whether the session can provide authority during a write that ends the pledges.

        Also true if the session's write was sent after the request, even if little of the session
        is left, so that a slow store delays a request but does not block it.
        """
        half_left = self._session_until_s - now_s >= self._timing.session_s / 2
        return half_left or self.session_sent_at_s >= requested_s


class StandbyLease:
    """Pledges that this VM has given, and the time since which the group's record is unchanged.

    Times are seconds on this VM's monotonic clock.
    """

    def __init__(self, timing: LeaseTiming) -> None:
        self._timing = timing
        self._pledged_until_s = NEVER
        self._unlimited_pledge_term = 0
        self.unchanged_since_s: float | None = None

    def give_pledge(self, now_s: float, term: int, unlimited: bool) -> None:
        """Record a pledge; this VM does not take over while it runs."""
        until_s = now_s + self._timing.lengthened(self._timing.pledge_s)
        self._pledged_until_s = max(self._pledged_until_s, until_s)
        if unlimited:
            self._unlimited_pledge_term = max(self._unlimited_pledge_term, term)

    def observe(self, now_s: float, changed: bool) -> None:
        """Process a read of the newest known version of the record.

        The wait for the end of the leader's session starts here even while pledges are given. The
        session that this version started began before the read. A later session changes the
        version, so that a takeover write that expects this version fails.
        """
        if changed or self.unchanged_since_s is None:
            self.unchanged_since_s = now_s

    def pledges_expired(self, now_s: float, term: int) -> bool:
        """Return whether all pledges given by this VM have ended."""
        return now_s >= self._pledged_until_s and self._unlimited_pledge_term < term

    def unchanged_for(self, now_s: float, since_s: float, duration_s: float) -> bool:
        """Return whether the record has been unchanged for a duration since `since_s` or later."""
        if self.unchanged_since_s is None:
            return False
        start_s = max(self.unchanged_since_s, since_s)
        return now_s >= start_s + self._timing.lengthened(duration_s)


@attrs.define
class PendingWrite:
    """A conditional write whose result is unknown until a change of the version is seen.

    If the write takes effect, its session starts at `earliest_sent_at_s`. After a conflict or an
    unknown result, the record is read until a read was sent at or after `read_back_from_s`.
    """

    record: GroupRecord
    expected_version: int
    earliest_sent_at_s: float
    backoff_s: float
    cause: TakeoverCause | None = None
    previous_grants_until_s: float = NEVER
    next_send_s: float = NEVER
    read_back_from_s: float | None = None
    conflict: bool = False

    def start_send_if_due(self, now_s: float, max_backoff_s: float) -> bool:
        """Return whether to send the write now, and if so schedule the next retry.

        Retries are safe because at most one of them can match the expected version.
        """
        if self.conflict or now_s < self.next_send_s:
            return False
        self.next_send_s = now_s + self.backoff_s
        self.backoff_s = min(self.backoff_s * 2, max_backoff_s)
        return True

    def on_result(self, now_s: float, conflict: bool) -> None:
        """Request a read of the record after a conflict or an unknown result."""
        self.conflict = self.conflict or conflict
        self.read_back_from_s = now_s

    def on_read(self, sent_at_s: float) -> None:
        """Process a read that shows the expected version; the write may still take effect."""
        if self.read_back_from_s is not None and sent_at_s >= self.read_back_from_s:
            self.read_back_from_s = None
