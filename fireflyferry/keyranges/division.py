"""Division of a pool's keys between its upstreams: initial ranges, rebalancing, failover."""

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

# Maximum number of parts into which a range of a lost upstream is split. Each part adds calls that
# renew its grant.
MAX_PARTS = 3


@attrs.frozen
class RunCapacity:
    """An upstream that may own keys; `capacity` in requests per second."""

    run: UpstreamRun
    capacity: float


@attrs.frozen
class Move:
    """Change of the owner of keys `first` to `last`."""

    first: int
    last: int
    new_owner: UpstreamRun


@attrs.frozen
class RebalancingRules:
    """Thresholds on utilisation, which is load divided by capacity.

    Keys move away from an upstream whose utilisation, less its sampling error, exceeds both
    `overload_utilisation` and `overload_ratio` times the mean. A move takes at most about the load
    that brings either upstream to the mean, so that noise does not move keys back.
    """

    overload_utilisation: float = 0.6
    overload_ratio: float = 1.15
    min_samples: int = 6  # an estimate from fewer sampled requests is unreliable
    max_moves: int = 12
    min_move_share: float = 0.15  # of the mean load of an upstream; smaller moves are left out
    newcomer_load_share: float = 0.6  # of the mean load; given to an upstream without keys
    # A key that takes this share of its owner's capacity moves to an upstream whose capacity is
    # higher by the ratio, since the load of one key cannot be split.
    hot_key_utilisation: float = 0.6
    hot_key_capacity_ratio: float = 1.25


def plan_initial_ranges(runs: Sequence[RunCapacity]) -> list[Move]:
    """Divide all keys between upstreams in proportion to their capacity."""
    ordered = sorted(runs, key=lambda each: each.run)
    total_capacity = sum(each.capacity for each in ordered)
    moves: list[Move] = []
    assigned_capacity, first = 0.0, 0
    for each in ordered:
        assigned_capacity += each.capacity
        last = round(KEY_COUNT * assigned_capacity / total_capacity) - 1
        if last >= first:
            moves.append(Move(first, last, each.run))
            first = last + 1
    return moves


@attrs.define
class _PlannedUpstream:
    """State of an upstream during planning, with the ranges that can move away from it."""

    run: UpstreamRun
    capacity: float
    load: float
    samples: int
    ranges: list[tuple[int, int]]
    owns_keys: bool = False

    @property
    def utilisation(self) -> float:
        return self.load / self.capacity

    @property
    def utilisation_lower_bound(self) -> float:
        """Utilisation less the standard error of its sample count."""
        return self.utilisation * (1 - 1 / math.sqrt(max(1, self.samples)))

    @property
    def key_count(self) -> int:
        return sum(last - first + 1 for first, last in self.ranges)


def plan_rebalancing(
    table: OwnerTable,
    runs: Sequence[RunCapacity],
    demand: KeyDemand,
    rules: RebalancingRules | None = None,
) -> list[Move]:
    """Return moves that relieve overloaded upstreams and give keys to upstreams without any."""
    rules = rules or RebalancingRules()
    upstreams = _planned_upstreams(table, runs, demand)
    if len(upstreams) < 2:
        return []
    hot_move = _hot_key_move(table, upstreams, demand, rules)
    moves: list[Move] = [hot_move] if hot_move is not None else []
    mean_utilisation = sum(each.load for each in upstreams.values()) / sum(
        upstream.capacity for upstream in upstreams.values()
    )
    while len(moves) < rules.max_moves:
        move = _next_move(list(upstreams.values()), mean_utilisation, demand, rules)
        if move is None:
            break
        moves.append(move)
    return moves


def _hot_key_move(
    table: OwnerTable,
    upstreams: Mapping[UpstreamRun, _PlannedUpstream],
    demand: KeyDemand,
    rules: RebalancingRules,
) -> Move | None:
    """Move a key that overloads its owner to the fastest upstream; None if no key does."""
    hottest = demand.hottest_key()
    if hottest is None:
        return None
    key, rate, samples = hottest
    owned = table.find(key)
    donor = upstreams.get(owned.owner) if owned is not None and owned.serving else None
    fastest = max(upstreams.values(), key=lambda upstream: (upstream.capacity, upstream.run))
    if donor is None or donor is fastest or samples < rules.min_samples:
        return None
    if rate < rules.hot_key_utilisation * donor.capacity:
        return None
    if fastest.capacity < rules.hot_key_capacity_ratio * donor.capacity:
        return None
    return _apply_move(donor, fastest, (key, key), demand)


def _planned_upstreams(
    table: OwnerTable, runs: Sequence[RunCapacity], demand: KeyDemand
) -> Mapping[UpstreamRun, _PlannedUpstream]:
    upstreams = {each.run: _PlannedUpstream(each.run, each.capacity, 0.0, 0, []) for each in runs}
    for each in table.ranges:
        upstream = upstreams.get(each.owner)
        if upstream is not None:
            _add_range(upstream, each, demand)
    return upstreams


def _add_range(upstream: _PlannedUpstream, owned: OwnedRange, demand: KeyDemand) -> None:
    upstream.owns_keys = True
    upstream.load += demand.rate_between(owned.first, owned.last)
    upstream.samples += demand.samples_between(owned.first, owned.last)
    if owned.serving:
        upstream.ranges.append((owned.first, owned.last))


def _next_move(
    upstreams: list[_PlannedUpstream],
    mean_utilisation: float,
    demand: KeyDemand,
    rules: RebalancingRules,
) -> Move | None:
    """Choose one move and apply it to the planning state; None if no move is needed."""
    receiver = min(upstreams, key=lambda each: (each.owns_keys, each.utilisation, each.run))
    newcomer = not receiver.owns_keys
    for donor in sorted(upstreams, key=lambda each: (-each.utilisation, -each.key_count)):
        if donor is receiver or not donor.ranges:
            continue
        if newcomer:
            wanted_load = rules.newcomer_load_share * mean_utilisation * receiver.capacity
        elif (
            donor.utilisation_lower_bound
            < max(rules.overload_utilisation, rules.overload_ratio * mean_utilisation)
            or donor.samples < rules.min_samples
        ):
            return None
        else:
            wanted_load = (mean_utilisation - receiver.utilisation) * receiver.capacity
        excess_load = (
            donor.utilisation - (0.5 * mean_utilisation if newcomer else mean_utilisation)
        ) * donor.capacity
        key_range = _range_to_move(
            donor, min(wanted_load, excess_load), newcomer, mean_utilisation, demand, rules
        )
        if key_range is not None:
            return _apply_move(donor, receiver, key_range, demand)
    return None


def _range_to_move(
    donor: _PlannedUpstream,
    wanted_load: float,
    newcomer: bool,
    mean_utilisation: float,
    demand: KeyDemand,
    rules: RebalancingRules,
) -> tuple[int, int] | None:
    """Return a range, or an edge of one, with about the wanted load and preferably few keys."""
    if demand.total_rate == 0.0:
        return _half_of_widest_range(donor) if newcomer else None
    if wanted_load < rules.min_move_share * mean_utilisation * donor.capacity and not newcomer:
        return None
    candidates: list[tuple[int, int]] = []
    for first, last in donor.ranges:
        load = demand.rate_between(first, last)
        if load > wanted_load * 1.1:
            candidates.extend(_edge_ranges(first, last, wanted_load, demand))
        elif load >= rules.min_move_share * mean_utilisation * donor.capacity:
            candidates.append((first, last))
    if not candidates:
        return _half_of_widest_range(donor) if newcomer else None

    def rank(key_range: tuple[int, int]) -> tuple[int, int]:
        """Prefer more load, rounded to quarters of the wanted load, then fewer keys."""
        return (
            -round(4 * demand.rate_between(*key_range) / wanted_load),
            key_range[1] - key_range[0],
        )

    return min(candidates, key=rank)


def _half_of_widest_range(donor: _PlannedUpstream) -> tuple[int, int] | None:
    first, last = max(donor.ranges, key=lambda each: each[1] - each[0])
    return ((first + last) // 2 + 1, last) if last > first else None


def _edge_ranges(
    first: int, last: int, wanted_load: float, demand: KeyDemand
) -> list[tuple[int, int]]:
    """Return a prefix and a suffix of a range with about the wanted load, if there are any."""
    sampled_keys = demand.distinct_keys_between(first, last)
    candidates = []
    low, high = 0, len(sampled_keys)
    # Binary search for the longest prefix with at most 1.1 times the wanted load.
    while low < high:
        middle = (low + high + 1) // 2
        if demand.rate_between(first, sampled_keys[middle - 1]) <= wanted_load * 1.1:
            low = middle
        else:
            high = middle - 1
    if (
        low
        and sampled_keys[low - 1] < last
        and demand.rate_between(first, sampled_keys[low - 1]) >= wanted_load * 0.4
    ):
        candidates.append((first, sampled_keys[low - 1]))
    low, high = 0, len(sampled_keys)
    while low < high:
        middle = (low + high) // 2
        if demand.rate_between(sampled_keys[middle], last) <= wanted_load * 1.1:
            high = middle
        else:
            low = middle + 1
    if (
        low < len(sampled_keys)
        and sampled_keys[low] > first
        and demand.rate_between(sampled_keys[low], last) >= wanted_load * 0.4
    ):
        candidates.append((sampled_keys[low], last))
    return candidates


def _apply_move(
    donor: _PlannedUpstream,
    receiver: _PlannedUpstream,
    key_range: tuple[int, int],
    demand: KeyDemand,
) -> Move:
    first, last = key_range
    load = demand.rate_between(first, last)
    index = next(
        i
        for i, (range_first, range_last) in enumerate(donor.ranges)
        if range_first <= first and last <= range_last
    )
    range_first, range_last = donor.ranges.pop(index)
    donor.ranges.extend(
        part for part in ((range_first, first - 1), (last + 1, range_last)) if part[0] <= part[1]
    )
    donor.load -= load
    donor.samples -= demand.samples_between(first, last)
    receiver.load += load
    receiver.owns_keys = True
    # The keys are not added to the receiver's ranges, so that one plan moves no key twice.
    return Move(first, last, receiver.run)


def plan_failover(table: OwnerTable, runs: Sequence[RunCapacity], demand: KeyDemand) -> list[Move]:
    """Return moves for all ranges whose owner is no longer ready for requests.

    A restarted upstream gets its keys back. Other ranges go to the least utilised upstreams; a
    wide range is split between several of them.
    """
    upstreams = _planned_upstreams(table, runs, demand)
    lost_ranges = [each for each in table.ranges if each.owner not in upstreams]
    if not upstreams or not lost_ranges:
        return []
    by_id = {run.upstream_id: upstream for run, upstream in upstreams.items()}
    moves = []
    for each in lost_ranges:
        restarted = by_id.get(each.owner.upstream_id)
        parts = [(each.first, each.last)] if restarted else _split_range(each, len(upstreams))
        for first, last in parts:
            upstream = restarted or min(
                upstreams.values(),
                key=lambda candidate: (candidate.utilisation, candidate.key_count, candidate.run),
            )
            upstream.load += demand.rate_between(first, last)
            upstream.ranges.append((first, last))
            moves.append(Move(first, last, upstream.run))
    return moves


def _split_range(owned: OwnedRange, receivers: int) -> list[tuple[int, int]]:
    """Split a wide range, so that a lost upstream's keys do not overload a single other one."""
    ideal_count = MAX_PARTS * owned.key_count * receivers / KEY_COUNT
    count = min(receivers, MAX_PARTS, max(1, round(ideal_count)))
    starts = [owned.first + owned.key_count * i // count for i in range(count)] + [owned.last + 1]
    return [(low, high - 1) for low, high in itertools.pairwise(starts)]
