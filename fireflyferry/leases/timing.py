"""Durations of pledges, sessions and grants."""

import math

import attrs

from fireflyferry.errors import FireflyferryError

__all__ = ["LeaseTiming", "LeaseTimingError"]


class LeaseTimingError(FireflyferryError):
    """Lease durations that are unsafe or too short to be renewed in time."""

    code = "bad_lease_timing"


@attrs.frozen
class LeaseTiming:
    """Durations of pledges, sessions and grants, and the intervals at which they are renewed.

    Durations are in seconds. `drift` is the largest difference between the rates of any two
    clocks, as a fraction. Raises LeaseTimingError for durations that are unsafe or too short to
    be renewed in time.
    """

    pledge_s: float = 1.2
    session_s: float = 1.2
    grant_s: float = 1.2
    heartbeat_s: float = 0.2
    renew_s: float = 0.4
    drift: float = 0.01

    def __attrs_post_init__(self) -> None:
        for field in attrs.fields(LeaseTiming):
            value = getattr(self, field.name)
            if field.name != "drift" and not (math.isfinite(value) and value > 0):
                raise LeaseTimingError(f"{field.name}: found {value}, allowed: above 0")
        if not 0 <= self.drift <= 0.1:
            raise LeaseTimingError(f"drift: found {self.drift}, allowed: 0 to 0.1")
        # A new standby waits for session_s after it reads the record that names it. Grants given
        # under the old standby's pledge, just before that record was written, can last for
        # pledge_s, so session_s must be at least as long.
        if self.session_s < self.pledge_s:
            raise LeaseTimingError(
                f"session_s: found {self.session_s}, allowed: at least pledge_s={self.pledge_s}"
            )
        # Session writes start when half of a pledge is left. Two heartbeats must fit into the
        # first half, or each lost heartbeat causes a write to the store.
        if self.heartbeat_s * 4 > self.pledge_s:
            raise LeaseTimingError(
                f"heartbeat_s: found {self.heartbeat_s}, allowed: at most a quarter of "
                f"pledge_s={self.pledge_s}"
            )
        if self.renew_s * 2 > self.grant_s:
            raise LeaseTimingError(
                f"renew_s: found {self.renew_s}, allowed: at most half of grant_s={self.grant_s}"
            )

    def lengthened(self, duration_s: float) -> float:
        """Return a duration in which any clock within the drift bound measures at least duration_s.

        All durations are in seconds.
        """
        return duration_s * (1 + self.drift)

    def shortened(self, duration_s: float) -> float:
        """Return a duration in which any clock within the drift bound measures at most duration_s.

        All durations are in seconds.
        """
        return duration_s / (1 + self.drift)

    def grant_length_s(self, now_s: float, authority_until_s: float) -> float:
        """Return the longest grant, in seconds, that a leader may give; 0 without authority."""
        return max(0.0, min(self.grant_s, self.shortened(authority_until_s - now_s)))
