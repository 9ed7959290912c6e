"""Grants that were sent in one term: who may hold keys under which fence, and for how long."""

import attrs

from fireflyferry.keyranges.orders import GrantAnswer, GrantCall, GrantResult, GrantTiming
from fireflyferry.keyranges.table import UpstreamRun

__all__ = ["SentGrants"]


@attrs.define
class _UpstreamGrants:
    """Grants to one upstream id."""

    calls_in_flight: int = 0
    expiry_s: float = 0.0


class SentGrants:
    """Grants of one pool that were sent in one term.

    A call names an incarnation of an upstream, but reaches the process that has its address. If
    that is a later incarnation under the same id, nothing in the answer shows it. Therefore all
    incarnations under an id count as one holder, and a call under a fence that was sent before goes
    only over a connection that was open at that time: as long as it stays open, it ends at the
    same process.

    Times are in seconds on a clock that also counts time in suspension. An earlier granting VM may
    have sent grants until `began_s`.
    """

    def __init__(self, timing: GrantTiming, began_s: float):
        self._timing = timing
        self._began_s = began_s
        self._by_id: dict[str, _UpstreamGrants] = {}
        # None while the first call under the fence is in flight.
        self._max_connections: dict[tuple[UpstreamRun, int], int | None] = {}
        self._held_before: set[tuple[UpstreamRun, int]] = set()
        self._ended: set[UpstreamRun] = set()

    @property
    def earlier_term_expiry_s(self) -> float:
        """Time at which all grants of earlier terms have expired."""
        return self._began_s + self._timing.call_timeout_s + self._timing.max_validity_s

    def may_hold(self, run: UpstreamRun, fence: int) -> bool:
        """Return whether an upstream was sent a grant under a fence, or held its keys before."""
        return (run, fence) in self._max_connections or (run, fence) in self._held_before

    def has_ended(self, run: UpstreamRun) -> bool:
        """Return whether another upstream answered at the address of an incarnation."""
        return run in self._ended

    def may_send(self, run: UpstreamRun, fence: int) -> bool:
        """Return whether a grant may be sent; False while the first one under a fence is."""
        return self._max_connections.get((run, fence), 0) is not None

    def max_connection(self, run: UpstreamRun, fence: int) -> int | None:
        """Return the highest number of a connection that may carry a grant; None for any."""
        return self._max_connections.get((run, fence))

    def in_flight(self, run: UpstreamRun) -> bool:
        """Return whether grant calls to an upstream are in flight."""
        grants = self._by_id.get(run.upstream_id)
        return grants is not None and grants.calls_in_flight > 0

    def expiry_s(self, run: UpstreamRun) -> float | None:
        """Return when all grants to an upstream expire; None while grant calls are in flight."""
        if self.in_flight(run):
            return None
        grants = self._by_id.get(run.upstream_id)
        return max(self.earlier_term_expiry_s, grants.expiry_s if grants is not None else 0.0)

    def on_new_fence(self, run: UpstreamRun, fence: int) -> None:
        """Record a new fence of keys that an upstream may hold already."""
        self._held_before.add((run, fence))

    def on_ended(self, run: UpstreamRun) -> None:
        """Record that another upstream has the address of an incarnation."""
        self._ended.add(run)

    def on_sent(self, call: GrantCall) -> None:
        """Record that a grant call was started."""
        self._max_connections.setdefault((call.run, call.fence), None)
        self._by_id.setdefault(call.run.upstream_id, _UpstreamGrants()).calls_in_flight += 1

    def on_result(self, now_s: float, call: GrantCall, result: GrantResult) -> None:
        """Record the result of a grant call."""
        grants = self._by_id[call.run.upstream_id]
        grants.calls_in_flight -= 1
        if result.answer is GrantAnswer.OTHER_UPSTREAM:
            self._ended.add(call.run)
        if result.opened_connections is None or result.answer is GrantAnswer.OTHER_UPSTREAM:
            if self._max_connections[call.run, call.fence] is None:
                del self._max_connections[call.run, call.fence]
            return
        # Also after a refusal, since it may be the answer to an earlier call.
        grants.expiry_s = max(grants.expiry_s, now_s + self._timing.max_validity_s)
        known = self._max_connections[call.run, call.fence]
        if known is None or result.answer is GrantAnswer.ACCEPTED:
            self._max_connections[call.run, call.fence] = max(known or 0, result.opened_connections)
