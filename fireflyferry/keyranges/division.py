"""Division of the keys of a pool between its upstreams by measured load."""

import itertools
import math
from collections.abc import Mapping, Sequence

import attrs

from fireflyferry.keyranges.demand import KeyDemand
from fireflyferry.keyranges.table import KEY_COUNT, OwnedRange, OwnerTable, UpstreamRun

__all__ = [
    "Move",
    "RebalancingRules",
    "RunCapacity",
    "plan_failover",
    "plan_initial_ranges",
    "plan_rebalancing",
]

# Parts into which the keys of a lost upstream are cut. More parts are more calls to renew.
MOST_PARTS = 3


@attrs.frozen
class RunCapacity:
    """An upstream that may take keys; `capacity` in requests a second."""

    run: UpstreamRun
    capacity: float


@attrs.frozen
class Move:
    """Keys that change their owner."""

    first: int
    last: int
    to: UpstreamRun


@attrs.frozen
class RebalancingRules:
    """Thresholds on utilisation, which is load divided by capacity.

    Keys move away from an upstream that is surely above `busy` and `ratio` above the mean. They
    stop moving once either side reaches the mean, so that noise does not move them back.
    """

    busy: float = 0.6
    ratio: float = 1.25
    least_seen: int = 6  # fewer sampled requests say nothing about an upstream's load
    most_moves: int = 8
    least_part: float = 0.15  # of the mean load of an upstream; less is not worth a move
    newcomer_share: float = 0.6  # of the mean load, for an upstream without keys
    # A key that takes this part of its owner's capacity goes to an upstream that is faster by
    # the ratio, since no division helps it.
    hot_key: float = 0.6
    hot_key_ratio: float = 1.25


def plan_initial_ranges(runs: Sequence[RunCapacity]) -> list[Move]:
    """Divide all keys in proportion to capacity."""
    ordered = sorted(runs, key=lambda each: each.run)
    total = sum(each.capacity for each in ordered)
    moves: list[Move] = []
    given, first = 0.0, 0
    for each in ordered:
        given += each.capacity
        last = round(KEY_COUNT * given / total) - 1
        if last >= first:
            moves.append(Move(first, last, each.run))
            first = last + 1
    return moves


@attrs.define
class _Side:
    """An upstream with the ranges that can move away from it."""

    run: UpstreamRun
    capacity: float
    load: float
    seen: int
    ranges: list[tuple[int, int]]
    owns_keys: bool = False

    @property
    def utilisation(self) -> float:
        return self.load / self.capacity

    @property
    def sure_utilisation(self) -> float:
        """Utilisation less the error of a count of so few samples."""
        return self.utilisation * (1 - 1 / math.sqrt(max(1, self.seen)))

    @property
    def keys(self) -> int:
        return sum(last - first + 1 for first, last in self.ranges)


def plan_rebalancing(
    table: OwnerTable,
    runs: Sequence[RunCapacity],
    demand: KeyDemand,
    rules: RebalancingRules | None = None,
) -> list[Move]:
    """Return moves that relieve overloaded upstreams and give newcomers a share."""
    rules = rules or RebalancingRules()
    sides = _sides(table, runs, demand)
    if len(sides) < 2:
        return []
    hot = _hot_key_move(table, sides, demand, rules)
    moves: list[Move] = [hot] if hot is not None else []
    mean = sum(each.load for each in sides.values()) / sum(e.capacity for e in sides.values())
    while len(moves) < rules.most_moves:
        move = _next_move(list(sides.values()), mean, demand, rules)
        if move is None:
            break
        moves.append(move)
    return moves


def _hot_key_move(
    table: OwnerTable,
    sides: Mapping[UpstreamRun, _Side],
    demand: KeyDemand,
    rules: RebalancingRules,
) -> Move | None:
    """Give a key that overloads its owner to the fastest upstream."""
    hottest = demand.hottest()
    if hottest is None:
        return None
    key, rate, seen = hottest
    part = table.find(key)
    donor = sides.get(part.owner) if part is not None and part.serving else None
    fastest = max(sides.values(), key=lambda side: (side.capacity, side.run))
    if donor is None or donor is fastest or seen < rules.least_seen:
        return None
    if rate < rules.hot_key * donor.capacity:
        return None
    if fastest.capacity < rules.hot_key_ratio * donor.capacity:
        return None
    return _apply(donor, fastest, (key, key), demand)


def _sides(
    table: OwnerTable, runs: Sequence[RunCapacity], demand: KeyDemand
) -> Mapping[UpstreamRun, _Side]:
    sides = {each.run: _Side(each.run, each.capacity, 0.0, 0, []) for each in runs}
    for each in table.ranges:
        side = sides.get(each.owner)
        if side is not None:
            _add(side, each, demand)
    return sides


def _add(side: _Side, each: OwnedRange, demand: KeyDemand) -> None:
    side.owns_keys = True
    side.load += demand.between(each.first, each.last)
    side.seen += demand.seen_between(each.first, each.last)
    if each.serving:
        side.ranges.append((each.first, each.last))


def _next_move(
    sides: list[_Side], mean: float, demand: KeyDemand, rules: RebalancingRules
) -> Move | None:
    """Choose one move and apply it to the sides."""
    receiver = min(sides, key=lambda each: (each.owns_keys, each.utilisation, each.run))
    newcomer = not receiver.owns_keys
    for donor in sorted(sides, key=lambda each: (-each.utilisation, -each.keys)):
        if donor is receiver or not donor.ranges:
            continue
        if newcomer:
            wanted = rules.newcomer_share * mean * receiver.capacity
        elif (
            donor.sure_utilisation < max(rules.busy, rules.ratio * mean)
            or donor.seen < rules.least_seen
        ):
            return None
        else:
            wanted = (mean - receiver.utilisation) * receiver.capacity
        excess = (donor.utilisation - (0.5 * mean if newcomer else mean)) * donor.capacity
        piece = _piece(donor, min(wanted, excess), newcomer, mean, demand, rules)
        if piece is not None:
            return _apply(donor, receiver, piece, demand)
    return None


def _piece(
    donor: _Side,
    wanted: float,
    newcomer: bool,
    mean: float,
    demand: KeyDemand,
    rules: RebalancingRules,
) -> tuple[int, int] | None:
    """Find keys at an edge of a range with about the wanted load; the fewest keys win."""
    if demand.total == 0.0:
        return _half_of_widest(donor) if newcomer else None
    if wanted < rules.least_part * mean * donor.capacity and not newcomer:
        return None
    found: list[tuple[int, int]] = []
    for first, last in donor.ranges:
        load = demand.between(first, last)
        if load > wanted * 1.1:
            found.extend(_edges(first, last, wanted, demand))
        elif load >= rules.least_part * mean * donor.capacity:
            found.append((first, last))
    if not found:
        return _half_of_widest(donor) if newcomer else None

    def rank(piece: tuple[int, int]) -> tuple[int, int]:
        """Prefer the load that is wanted, in quarters of it, then the fewest keys."""
        return (-round(4 * demand.between(*piece) / wanted), piece[1] - piece[0])

    return min(found, key=rank)


def _half_of_widest(donor: _Side) -> tuple[int, int] | None:
    first, last = max(donor.ranges, key=lambda each: each[1] - each[0])
    return ((first + last) // 2 + 1, last) if last > first else None


def _edges(first: int, last: int, wanted: float, demand: KeyDemand) -> list[tuple[int, int]]:
    """Cut a prefix and a suffix with about the wanted load; one key is never divided."""
    keys = demand.keys_between(first, last)
    found = []
    low, high = 0, len(keys)
    # Finds the longest prefix of sampled keys whose load is not above what is wanted.
    while low < high:
        middle = (low + high + 1) // 2
        if demand.between(first, keys[middle - 1]) <= wanted * 1.1:
            low = middle
        else:
            high = middle - 1
    if low and keys[low - 1] < last and demand.between(first, keys[low - 1]) >= wanted * 0.4:
        found.append((first, keys[low - 1]))
    low, high = 0, len(keys)
    while low < high:
        middle = (low + high) // 2
        if demand.between(keys[middle], last) <= wanted * 1.1:
            high = middle
        else:
            low = middle + 1
    if low < len(keys) and keys[low] > first and demand.between(keys[low], last) >= wanted * 0.4:
        found.append((keys[low], last))
    return found


def _apply(donor: _Side, receiver: _Side, piece: tuple[int, int], demand: KeyDemand) -> Move:
    first, last = piece
    load = demand.between(first, last)
    index = next(i for i, (a, b) in enumerate(donor.ranges) if a <= first and last <= b)
    a, b = donor.ranges.pop(index)
    donor.ranges.extend(part for part in ((a, first - 1), (last + 1, b)) if part[0] <= part[1])
    donor.load -= load
    donor.seen -= demand.seen_between(first, last)
    receiver.load += load
    receiver.owns_keys = True
    # The keys are not added to the receiver's ranges: one plan moves no key twice.
    return Move(first, last, receiver.run)


def plan_failover(table: OwnerTable, runs: Sequence[RunCapacity], demand: KeyDemand) -> list[Move]:
    """Return moves for all ranges whose owner may not be given requests any more.

    A restarted upstream gets its keys back; other ranges go to the least loaded upstreams, a
    whole upstream's keys to several of them.
    """
    sides = _sides(table, runs, demand)
    lost = [each for each in table.ranges if each.owner not in sides]
    if not sides or not lost:
        return []
    by_id = {run.upstream_id: side for run, side in sides.items()}
    moves = []
    for each in lost:
        restarted = by_id.get(each.owner.upstream_id)
        parts = [(each.first, each.last)] if restarted else _parts(each, len(sides))
        for first, last in parts:
            side = restarted or min(sides.values(), key=lambda s: (s.utilisation, s.keys, s.run))
            side.load += demand.between(first, last)
            side.ranges.append((first, last))
            moves.append(Move(first, last, side.run))
    return moves


def _parts(each: OwnedRange, receivers: int) -> list[tuple[int, int]]:
    """Cut a wide range, so that the keys of a lost upstream do not overload one other."""
    fair = MOST_PARTS * each.keys * receivers / KEY_COUNT
    count = min(receivers, MOST_PARTS, max(1, round(fair)))
    cuts = [each.first + each.keys * i // count for i in range(count)] + [each.last + 1]
    return [(low, high - 1) for low, high in itertools.pairwise(cuts)]
