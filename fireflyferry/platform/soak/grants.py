"""Keys that upstream processes hold by grants, and the comparison of the grants of all of them."""

from collections.abc import Iterable, Iterator

import attrs

__all__ = ["Grant", "HeldKeys", "fence_conflicts"]

SLOWEST_CLOCK_FACTOR = 1.02  # seconds that pass during one second of the slowest allowed clock


@attrs.frozen
class Grant:
    """Range of keys that was granted, or released, under a fence."""

    first: int
    last: int
    fence: int
    until_s: float = 0.0

    def overlaps(self, other: "Grant") -> bool:
        """Return whether both ranges share a key."""
        return self.first <= other.last and other.first <= self.last


@attrs.define(eq=False)
class HeldKeys:
    """Keys of one process, which knows only the calls that it carried out itself.

    Times are in seconds on the clock of the soak.
    """

    held: list[Grant] = attrs.field(factory=list)
    granted: dict[tuple[int, int, int], Grant] = attrs.field(factory=dict)
    _seen: dict[tuple[int, int, int], Grant] = attrs.field(factory=dict, init=False)

    def holds(self, key: int, now_s: float) -> bool:
        """Return whether a key is held."""
        return any(each.first <= key <= each.last and now_s < each.until_s for each in self.held)

    def shared_key(self, other: "HeldKeys", now_s: float) -> int | None:
        """Return a key that two processes hold; None if there is none."""
        for mine in self.held:
            for theirs in other.held:
                if mine.overlaps(theirs) and now_s < min(mine.until_s, theirs.until_s):
                    return max(mine.first, theirs.first)
        return None

    def grant(self, message: dict, arrived_s: float, now_s: float) -> Grant | None:
        """Carry out a grant that arrived earlier; return None if a higher fence was seen.

        Its time counts from its arrival, and a late renewal ends no hold before its time.
        """
        hold_s = message["holdS"] * SLOWEST_CLOCK_FACTOR
        grant = attrs.evolve(_range_of(message), until_s=arrived_s + hold_s)
        if any(grant.overlaps(seen) and grant.fence < seen.fence for seen in self._seen.values()):
            return None
        self._record(self._seen, grant)
        self._record(self.granted, grant)
        renewed = [each for each in self.held if each.fence == grant.fence]
        self._remove(grant, now_s)
        self.held += [each for each in renewed if now_s < each.until_s and each not in self.held]
        self.held.append(grant)
        return grant

    def release(self, message: dict, now_s: float) -> None:
        """Stop holding the keys of a release."""
        release = _range_of(message)
        self._record(self._seen, release)
        self._remove(release, now_s)

    @staticmethod
    def _record(known: dict[tuple[int, int, int], Grant], grant: Grant) -> None:
        known[grant.first, grant.last, grant.fence] = grant

    def _remove(self, removed: Grant, now_s: float) -> None:
        kept = [part for each in self.held for part in _without(each, removed)]
        self.held = [each for each in kept if now_s < each.until_s]


def fence_conflicts(grant: Grant, others: Iterable[HeldKeys], now_s: float) -> Iterator[Grant]:
    """Yield grants of other processes under a fence that a new grant is not above.

    A late grant whose time is over may have a lower fence, but never the fence of another process.
    """
    for other in others:
        for earlier in other.granted.values():
            is_lower = grant.fence < earlier.fence and now_s < grant.until_s
            if grant.overlaps(earlier) and (is_lower or grant.fence == earlier.fence):
                yield earlier


def _range_of(message: dict) -> Grant:
    return Grant(message["from"], message["target"], message["fence"])


def _without(held: Grant, removed: Grant) -> Iterator[Grant]:
    """Yield the parts of a held range that stay."""
    if not held.overlaps(removed):
        yield held
        return
    if held.first < removed.first:
        yield attrs.evolve(held, last=removed.first - 1)
    if held.last > removed.last:
        yield attrs.evolve(held, first=removed.last + 1)
