"""Log of the units that an upstream held and of the times at which it held them."""

import collections

import attrs

from fireflyferry.messages import GrantMessage, UnitGrant

__all__ = ["Holding", "OwnershipLog"]


@attrs.frozen
class Holding:
    """Uninterrupted period in which an upstream held a unit under one fence.

    Times are monotonic seconds; `until_s` None means without an end so far. `excluded` are the
    keys of the unit's bucket that it does not cover.
    """

    upstream_id: str
    group: str
    term: int
    unit: str
    fence: int
    excluded: tuple[str, ...]
    from_s: float
    until_s: float | None


class OwnershipLog:
    """Records holdings from accepted grants alone, independently of the state of `GrantHolder`."""

    def __init__(self, upstream_id: str, max_ended: int = 100_000) -> None:
        self._upstream_id = upstream_id
        self._open: dict[tuple[str, str], Holding] = {}
        self._positions: dict[str, tuple[int, int]] = {}
        self._ended: collections.deque[Holding] = collections.deque(maxlen=max_ended)

    def on_accepted(self, now_s: float, message: GrantMessage, until_s: float | None) -> None:
        """Record an accepted message, whose units are held until `until_s` (None: no limit)."""
        position = message.term, message.set_version
        if position < self._positions.get(message.group, position):
            return  # stale; only an upstream that checks nothing accepts it, without effect
        self._positions[message.group] = position
        grants = message.units
        if grants is None:
            grants = tuple(
                UnitGrant(each.unit, each.fence, each.excluded)
                for each in self._open.values()
                if each.group == message.group
            )
        else:
            self._release(now_s, message.group, {grant.unit for grant in grants})
        for grant in grants:
            self._hold(now_s, message, grant, until_s)

    def holdings(self) -> tuple[Holding, ...]:
        """Return all recorded holdings, ended ones first."""
        return (*self._ended, *self._open.values())

    def held_units(self, now_s: float) -> dict[str, int]:
        """Return the units held at `now_s`, with their fences."""
        return {
            each.unit: each.fence
            for each in self._open.values()
            if each.until_s is None or now_s < each.until_s
        }

    def _release(self, now_s: float, group: str, kept: set[str]) -> None:
        for name, holding in list(self._open.items()):
            if holding.group == group and holding.unit not in kept:
                del self._open[name]
                self._end(now_s, holding)

    def _hold(
        self, now_s: float, message: GrantMessage, grant: UnitGrant, until_s: float | None
    ) -> None:
        name = message.group, grant.unit
        previous = self._open.get(name)
        if previous is not None:
            unchanged = (previous.fence, previous.excluded) == (grant.fence, grant.excluded)
            if unchanged and (previous.until_s is None or now_s < previous.until_s):
                ends = (previous.until_s, until_s)
                latest_s = None if None in ends else max(ends)
                self._open[name] = attrs.evolve(previous, term=message.term, until_s=latest_s)
                return
            self._end(now_s, previous)
        self._open[name] = Holding(
            self._upstream_id,
            message.group,
            message.term,
            grant.unit,
            grant.fence,
            grant.excluded,
            now_s,
            until_s,
        )

    def _end(self, now_s: float, holding: Holding) -> None:
        end_s = now_s if holding.until_s is None else min(now_s, holding.until_s)
        self._ended.append(attrs.evolve(holding, until_s=end_s))
