"""Benchmark of the lease modules: time without a leader, and runs that had two leaders.

Run with `python -m fireflyferry.leases.bench`. It simulates time and opens no socket.
"""

from fireflyferry.leases.authority import GroupAuthority

__all__ = ["PledgeDuringTakeover", "SkipSessionWait"]


class PledgeDuringTakeover(GroupAuthority):
    """A standby that pledges while its own takeover is in flight; unsafe, for comparison."""

    def _takeover_in_flight(self) -> bool:
        return False


class SkipSessionWait(GroupAuthority):
    """A standby that does not wait for the leader's session; unsafe, for comparison."""

    def _session_over(self, now_s: float, record: object) -> bool:
        return True
