"""Pure log of the units that an upstream held, from when to when."""

import collections

import attrs

from fireflyferry.messages import GrantMessage, UnitGrant

__all__ = ["Holding", "OwnershipLog"]


@attrs.frozen
class Holding:
    """One uninterrupted holding; times are monotonic seconds, `until_s` None means no end yet."""

    upstream_id: str
    group: str
    term: int
    unit: str
    fence: int
    excluded: tuple[str, ...]
    from_s: float
    until_s: float | None


class OwnershipLog:
    """Holdings derived from accepted grants only, independently of `GrantHolder`'s state."""

    def __init__(self, upstream_id: str, max_closed: int = 100_000) -> None:
        self._upstream_id = upstream_id
        self._open: dict[tuple[str, str], Holding] = {}
        self._positions: dict[str, tuple[int, int]] = {}
        self._closed: collections.deque[Holding] = collections.deque(maxlen=max_closed)

    def on_accepted(self, now_s: float, message: GrantMessage, until_s: float | None) -> None:
        """Note an accepted message whose units may be served until a time; None: no limit."""
        position = message.term, message.set_version
        if position < self._positions.get(message.group, position):
            return  # accepted without effect by an upstream that checks nothing
        self._positions[message.group] = position
        grants = message.units
        if grants is None:
            grants = tuple(
                UnitGrant(it.unit, it.fence, it.excluded)
                for it in self._open.values()
                if it.group == message.group
            )
        else:
            self._release(now_s, message.group, {grant.unit for grant in grants})
        for grant in grants:
            self._hold(now_s, message, grant, until_s)

    def holdings(self) -> tuple[Holding, ...]:
        """Return all holdings known, the closed ones first."""
        return (*self._closed, *self._open.values())

    def held_units(self, now_s: float) -> dict[str, int]:
        """Return units held now with their fences."""
        return {
            it.unit: it.fence
            for it in self._open.values()
            if it.until_s is None or now_s < it.until_s
        }

    def _release(self, now_s: float, group: str, kept: set[str]) -> None:
        for name, holding in list(self._open.items()):
            if holding.group == group and holding.unit not in kept:
                del self._open[name]
                self._close(now_s, holding)

    def _hold(
        self, now_s: float, message: GrantMessage, grant: UnitGrant, until_s: float | None
    ) -> None:
        name = message.group, grant.unit
        before = self._open.get(name)
        if before is not None:
            same = (before.fence, before.excluded) == (grant.fence, grant.excluded)
            if same and (before.until_s is None or now_s < before.until_s):
                ends = (before.until_s, until_s)
                latest_s = None if None in ends else max(ends)
                self._open[name] = attrs.evolve(before, term=message.term, until_s=latest_s)
                return
            self._close(now_s, before)
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

    def _close(self, now_s: float, holding: Holding) -> None:
        end_s = now_s if holding.until_s is None else min(now_s, holding.until_s)
        self._closed.append(attrs.evolve(holding, until_s=end_s))
