"""Accounting of promises: what a leader may count, and what a standby has given."""

import math

import attrs

from fireflyferry.leases.actions import TakeoverCause
from fireflyferry.leases.timing import LeaseTiming
from fireflyferry.messages import GroupRecord

__all__ = ["LeaderLease", "OpenWrite", "StandbyWatch"]

NEVER = -math.inf


class LeaderLease:
    """Pledges and sessions that the leader of one term may count."""

    def __init__(self, timing: LeaseTiming) -> None:
        self._timing = timing
        self.begin()

    def begin(self) -> None:
        """Drop all promises; those of another term do not count."""
        self.session_sent_s = NEVER
        self._session_until_s = NEVER
        self.begin_standby()

    def begin_standby(self) -> None:
        """Drop all pledges and count those of the standby now named in the record."""
        self._pledged_until_s = NEVER
        self._unlimited = False
        self._void = False

    @property
    def void(self) -> bool:
        """Whether pledges do not count, because a write that ends them may take effect."""
        return self._void

    @property
    def unlimited(self) -> bool:
        """Whether the standby is leaving and has pledged for the whole term."""
        return self._unlimited

    def void_pledges(self) -> None:
        """Count no pledge until `begin_standby`."""
        self.begin_standby()
        self._void = True

    def count_pledge(self, asked_at_s: float, pledge_s: float, unlimited: bool) -> None:
        """Count a pledge from before its heartbeat was sent."""
        if self._void or not 0 < pledge_s < math.inf:
            return
        # A standby with other settings may pledge for longer; this leader's session_s is at
        # least its own pledge_s, on which the replacement of a standby relies.
        pledge_s = min(pledge_s, self._timing.pledge_s)
        until_s = asked_at_s + self._timing.shortened(pledge_s)
        self._pledged_until_s = max(self._pledged_until_s, until_s)
        self._unlimited = self._unlimited or unlimited

    def count_session(self, sent_s: float) -> None:
        """Count a session from before its confirmed write was sent."""
        self.session_sent_s = max(self.session_sent_s, sent_s)
        until_s = sent_s + self._timing.shortened(self._timing.session_s)
        self._session_until_s = max(self._session_until_s, until_s)

    def until_s(self, clock_s: float) -> float:
        """Return when authority ends, given the latest known clock reading.

        An unlimited pledge counts as pledge_s from that reading, so that no grant given under
        it outlasts the session wait of a standby named later.
        """
        until_s = max(self._pledged_until_s, self._session_until_s)
        if self._unlimited:
            until_s = max(until_s, clock_s + self._timing.shortened(self._timing.pledge_s))
        return until_s

    def pledged(self, now_s: float) -> bool:
        """Return whether the standby's pledge runs."""
        return self._unlimited or now_s < self._pledged_until_s

    def needs_session(self, now_s: float) -> bool:
        """Return whether less than half of both the pledge and the session is left."""
        if self._unlimited:
            return False
        return (
            self._pledged_until_s - now_s < self._timing.pledge_s / 2
            and self._session_until_s - now_s < self._timing.session_s / 2
        )

    def session_covers(self, now_s: float, requested_s: float) -> bool:
        """Return whether the session can bridge a write that voids the pledges.

        Also true after any write confirmed since the request, however little is left, so that
        a slow store delays a request but does not block it.
        """
        half_left = self._session_until_s - now_s >= self._timing.session_s / 2
        return half_left or self.session_sent_s >= requested_s


class StandbyWatch:
    """Pledges that this VM has given, and since when the record has been unchanged."""

    def __init__(self, timing: LeaseTiming) -> None:
        self._timing = timing
        self._pledged_until_s = NEVER
        self._unlimited_term = 0
        self.unchanged_since_s: float | None = None

    def give_pledge(self, now_s: float, term: int, unlimited: bool) -> None:
        """Promise not to take over; the wait for the session starts again afterwards."""
        until_s = now_s + self._timing.lengthened(self._timing.pledge_s)
        self._pledged_until_s = max(self._pledged_until_s, until_s)
        if unlimited:
            self._unlimited_term = max(self._unlimited_term, term)
        self.unchanged_since_s = None

    def observe(self, now_s: float, asked_at_s: float, changed: bool) -> None:
        """Note a read of the newest known version of the record."""
        if changed:
            self.unchanged_since_s = None
        if self.unchanged_since_s is None and asked_at_s >= self._pledged_until_s:
            self.unchanged_since_s = now_s

    def pledges_over(self, now_s: float, term: int) -> bool:
        """Return whether no pledge given by this VM still runs."""
        return now_s >= self._pledged_until_s and self._unlimited_term < term

    def unchanged_for(self, now_s: float, since_s: float, duration_s: float) -> bool:
        """Return whether the record has been unchanged for a duration after `since_s`."""
        if self.unchanged_since_s is None:
            return False
        start_s = max(self.unchanged_since_s, since_s)
        return now_s >= start_s + self._timing.lengthened(duration_s)


@attrs.define
class OpenWrite:
    """A conditional write whose effect is not known; it closes when the version changes."""

    record: GroupRecord
    expected_version: int
    first_sent_s: float
    retry_s: float
    cause: TakeoverCause | None = None
    previous_grants_until_s: float = NEVER
    next_send_s: float = NEVER
    read_back_s: float | None = None
    conflict: bool = False

    def take_send(self, now_s: float, longest_retry_s: float) -> bool:
        """Return whether to send the write now; it can be repeated, since only one counts."""
        if self.conflict or now_s < self.next_send_s:
            return False
        self.next_send_s = now_s + self.retry_s
        self.retry_s = min(self.retry_s * 2, longest_retry_s)
        return True

    def note_result(self, now_s: float, conflict: bool) -> None:
        """Ask for the record to be read back after a conflict or an unknown result."""
        self.conflict = self.conflict or conflict
        self.read_back_s = now_s

    def note_read(self, asked_at_s: float) -> None:
        """Note a read that shows the expected version, which proves nothing about this write."""
        if self.read_back_s is not None and asked_at_s >= self.read_back_s:
            self.read_back_s = None
