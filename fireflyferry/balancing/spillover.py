"""Whether a request without a key leaves its data centre, and how much of the load does."""

import enum
from collections.abc import Mapping, Sequence

import attrs

__all__ = ["Demand", "LeaveReason", "Option", "SpilloverRules", "choose_option", "expected_loss"]

SAME_DATA_CENTRE, SAME_REGION, OTHER_REGION = range(3)


class LeaveReason(enum.StrEnum):
    """Why a request is sent to an upstream at its distance."""

    NEAR = "near"  # it stays in the data centre
    LATE_NEARER = "late_nearer"  # an answer from nearer by is expected late
    REFUSED_NEARER = "refused_nearer"  # an attempt nearer by found no room
    FAILING_NEARER = "failing_nearer"  # upstreams nearer by did not answer lately
    NONE_NEARER = "none_nearer"  # no upstream is nearer by
    OWNER = "owner"  # the owner of the key is there


@attrs.frozen
class SpilloverRules:
    """Worth of answers and price of distance, as shares of the worth of an answer in time.

    An answer that is expected within `safe_share` of the time left to the target loses nothing; a
    start at 0.6 answered 0.985 of the herd in `docs/design/spillover.md` in time, 0.2 answered
    0.995. The last hop refuses at 0.8 of that time (`QueueRules.wait_margin`), so an answer
    expected at `lost_share` loses all. Bytes between regions are the largest expense, so a request
    leaves its region only if the answer there is expected after `safe_share_in_region`. A request
    that is late already is worth `late_worth`, and its last hop refuses it once it would wait for
    `late_wait_share` of its time (`QueueRules`).

    The share of requests that leaves is the gain times `gain_factor`: with 1, 0.9951 of the herd
    were answered in time, with 3 0.9981.

    `prices` are those of an upstream in the own data centre, region and elsewhere, `prices_per_mb`
    those of a megabyte of the body. `transit_s` is the time that the round trip adds. A body
    crosses links of 5 Mbit/s, the slowest of the users.
    """

    gain_factor: float = 3.0
    safe_share: float = 0.2
    safe_share_in_region: float = 0.5
    lost_share: float = 0.8
    late_worth: float = 0.4
    late_wait_share: float = 0.35
    prices: tuple[float, float, float] = (0.0, 0.02, 0.35)
    prices_per_mb: tuple[float, float, float] = (0.0, 0.3, 0.6)
    transit_s: tuple[float, float, float] = (0.0, 0.003, 0.016)
    body_bytes_per_s: float = 625_000.0


@attrs.frozen
class Demand:
    """What a request needs: seconds to its target time and its deadline, and bytes of its body.

    `refused` is set if an attempt nearer by found no room.
    """

    target_left_s: float
    deadline_left_s: float = float("inf")
    body_bytes: int = 0
    refused: bool = False


@attrs.frozen
class Option:
    """An upstream, or the upstreams behind one shared last hop, that may get a request.

    `cost_s` orders the options of one data centre. `avoided` is set while it does not answer,
    `full` while it is known to have no room for requests from elsewhere.
    """

    distance: int
    wait_s: float
    service_s: float
    cost_s: float
    slots: int = 1
    failure_share: float = 0.0
    avoided: bool = False
    full: bool = False


def expected_loss(
    option: Option, demand: Demand, rules: SpilloverRules, safe_share: float | None = None
) -> float:
    """Return which share of an answer's worth a request is expected to lose, without its price."""
    safe_share = rules.safe_share if safe_share is None else safe_share
    if option.avoided or (option.full and option.distance > SAME_DATA_CENTRE):
        return 1.0
    transit_s = rules.transit_s[option.distance]
    if option.distance > SAME_DATA_CENTRE:
        transit_s += demand.body_bytes / rules.body_bytes_per_s
    left_s = demand.target_left_s - transit_s
    if option.service_s < left_s:
        answer_share = (option.wait_s + option.service_s) / left_s
        loss = (answer_share - safe_share) / (rules.lost_share - safe_share)
    else:
        longest_s = max(rules.late_wait_share * demand.deadline_left_s, 1e-3)
        loss = 1.0 - rules.late_worth * (1.0 - min(1.0, option.wait_s / longest_s))
    loss = min(1.0, max(0.0, loss))
    return 1.0 - (1.0 - loss) * (1.0 - option.failure_share)


def choose_option(
    options: Sequence[Option], demand: Demand, rules: SpilloverRules, draws: Sequence[float]
) -> tuple[int, LeaveReason] | None:
    """Return the index of the option to use and why, or None if a refused request goes nowhere.

    `draws` are random numbers from 0 to 1: one for each distance and one to choose among options
    at one distance. A request leaves with a probability that grows with what it gains, so that VMs
    that see the same forecasts send only a part of their load.
    """
    tiers: dict[int, list[int]] = {}
    for index, option in enumerate(options):
        tiers.setdefault(option.distance, []).append(index)
    losses = [expected_loss(each, demand, rules) for each in options]
    chosen: int | None = None
    why = LeaveReason.NONE_NEARER
    for distance in sorted(tiers):
        index = _best_of_tier(tiers[distance], options, losses, draws[-1])
        if chosen is None and (distance == SAME_DATA_CENTRE or not demand.refused):
            chosen = index
            why = LeaveReason.NONE_NEARER if distance else LeaveReason.NEAR
            continue
        nearer = options[chosen] if chosen is not None else None
        if draws[distance] < _leaving_share(nearer, options[index], demand, rules):
            chosen, why = index, _reason(nearer, demand)
    return None if chosen is None else (chosen, why)


def _leaving_share(
    nearer: Option | None, option: Option, demand: Demand, rules: SpilloverRules
) -> float:
    """Return which share of such requests goes on from a nearer option to one farther away.

    `nearer` is None for a request that was refused nearer by.
    """
    loss, price = 1.0, _price(option.distance, demand, rules)
    if nearer is not None:
        if nearer.avoided:
            return 0.0 if option.avoided else 1.0  # even a large body is of no use there
        safe_share = rules.safe_share_in_region if option.distance == OTHER_REGION else None
        loss = expected_loss(nearer, demand, rules, safe_share)
        price -= _price(nearer.distance, demand, rules)
    gain = loss - expected_loss(option, demand, rules) - price
    if gain <= 0.0 or nearer is None:
        return float(gain > 0.0)
    return rules.gain_factor * gain / max(1e-6, 1.0 - price)


def _best_of_tier(
    indexes: Sequence[int], options: Sequence[Option], losses: Sequence[float], draw: float
) -> int:
    """Return the option of least cost in the own data centre; elsewhere one drawn by its room.

    If all VMs sent to the one of least cost, it would be full before they learn of that.
    """
    weights: Mapping[int, float] = {}
    if options[indexes[0]].distance > SAME_DATA_CENTRE:
        weights = {each: options[each].slots * (1.0 - losses[each]) for each in indexes}
    total = sum(weights.values())
    if total <= 0.0:
        return min(indexes, key=lambda each: (options[each].avoided, options[each].cost_s))
    point = draw * total
    for each, weight in weights.items():
        point -= weight
        if point < 0.0:
            return each
    return max(weights, key=lambda each: weights[each])


def _price(distance: int, demand: Demand, rules: SpilloverRules) -> float:
    return rules.prices[distance] + rules.prices_per_mb[distance] * demand.body_bytes / 1e6


def _reason(nearer: Option | None, demand: Demand) -> LeaveReason:
    if nearer is not None and nearer.avoided:
        return LeaveReason.FAILING_NEARER
    return LeaveReason.REFUSED_NEARER if demand.refused else LeaveReason.LATE_NEARER
