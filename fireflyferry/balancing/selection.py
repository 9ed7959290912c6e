"""Choice of an upstream for a request without a key."""

import random
from collections.abc import Callable, Container, Iterable

import attrs

from fireflyferry.balancing.directory import Upstream

__all__ = ["Choice", "LoadTracker", "SelectionRules"]


@attrs.frozen
class SelectionRules:
    """Costs in seconds of waiting that a choice may be compared with.

    `region_share` is the part of the objective that sending to another region costs: bytes
    between regions are the largest price, but a late answer is worth less than half.
    """

    data_centre_s: float = 0.01
    region_share: float = 0.5
    jitter_s: float = 0.01
    forecast_age_s: float = 1.0
    warmup_factor: float = 1.0
    avoid_s: float = 1.0  # an upstream that failed is tried again after this time
    most_avoid_s: float = 8.0
    grey_weight: float = 0.2  # weight of one answer in an upstream's share of failures
    grey_cost_s: float = 1.0


@attrs.define
class _Board:
    """What this VM knows of one upstream."""

    wait_s: float = 0.0
    service_s: float = 0.0
    told_at_s: float = float("-inf")
    outstanding: int = 0
    failures: int = 0
    avoid_until_s: float = 0.0
    failed_share: float = 0.0


@attrs.frozen
class Choice:
    """A chosen upstream with the wait that was expected and the age of that forecast."""

    upstream: Upstream
    wait_s: float
    age_s: float


class LoadTracker:
    """Forecasts and failures of upstreams as seen from one VM."""

    def __init__(self, rules: SelectionRules, rng: random.Random):
        self._rules = rules
        self._rng = rng
        self._boards: dict[str, _Board] = {}

    def on_sent(self, upstream_id: str) -> None:
        """Count a request that is on its way."""
        self._board(upstream_id).outstanding += 1

    def on_ended(self, upstream_id: str) -> None:
        """Count the end of a request."""
        self._board(upstream_id).outstanding -= 1

    def on_forecast(self, now_s: float, upstream_id: str, wait_s: float, service_s: float) -> None:
        """Take the forecast that came with an answer."""
        board = self._board(upstream_id)
        board.wait_s, board.service_s, board.told_at_s = wait_s, service_s, now_s

    def on_answer(self, upstream_id: str, failed: bool) -> None:
        """Take an answer; `failed` if it was the upstream's own error."""
        board = self._board(upstream_id)
        board.failures = 0
        weight = self._rules.grey_weight
        board.failed_share += weight * (float(failed) - board.failed_share)

    def on_no_answer(self, now_s: float, upstream_id: str) -> float:
        """Take a request that got no usable answer; returns how long the upstream is avoided."""
        board = self._board(upstream_id)
        board.failures += 1
        avoid_s = min(self._rules.avoid_s * 2 ** (board.failures - 1), self._rules.most_avoid_s)
        board.avoid_until_s = now_s + avoid_s * self._rng.uniform(0.8, 1.2)
        return avoid_s

    def service_s(self, upstream_id: str) -> float:
        """Return the mean service time that was told last, 0 if none was."""
        return self._board(upstream_id).service_s

    def wait_s(self, now_s: float, upstream: Upstream) -> float:
        """Estimate how long a request waits at an upstream of another last hop."""
        board = self._board(upstream.run.upstream_id)
        age_s = now_s - board.told_at_s
        told_s = 0.0
        if age_s < self._rules.forecast_age_s:
            told_s = max(0.0, board.wait_s - age_s)
        queued = max(0, board.outstanding + 1 - upstream.slots)
        return max(told_s, queued * board.service_s / upstream.slots)

    def choose(
        self,
        now_s: float,
        upstreams: Iterable[Upstream],
        distance: Callable[[Upstream], int],
        target_latency_s: float,
        exact_wait: Callable[[Upstream], tuple[float, float] | None],
        tried: Container[str] = (),
    ) -> Choice | None:
        """Return the upstream with the least cost; None if none is left.

        `distance` is 0 in this VM's data centre, 1 in its region, 2 elsewhere. `exact_wait`
        returns wait and service time for upstreams whose last hop is this VM.
        """
        rules = self._rules
        upstreams = list(upstreams)
        usual_s = self._usual_service_s(upstreams)
        best: tuple[tuple[bool, float], Choice] | None = None
        for upstream in upstreams:
            upstream_id = upstream.run.upstream_id
            if upstream_id in tried:
                continue
            board = self._board(upstream_id)
            exact = exact_wait(upstream)
            wait_s, service_s = exact or (
                self.wait_s(now_s, upstream),
                board.service_s or usual_s,
            )
            far = distance(upstream)
            cost = wait_s + service_s + self._rng.uniform(0.0, rules.jitter_s)
            cost += board.failed_share * rules.grey_cost_s
            cost += rules.data_centre_s if far else 0.0
            cost += rules.region_share * target_latency_s if far > 1 else 0.0
            if upstream.warmup_left_s > 0.0:
                cost += rules.warmup_factor * service_s
            age_s = 0.0 if exact else now_s - board.told_at_s
            rank = (now_s < board.avoid_until_s, cost)
            if best is None or rank < best[0]:
                best = (rank, Choice(upstream, wait_s, age_s))
        return best[1] if best is not None else None

    def _usual_service_s(self, upstreams: Iterable[Upstream]) -> float:
        """Return the mean service time of those upstreams that are known."""
        boards = (self._board(each.run.upstream_id) for each in upstreams)
        known = [board.service_s for board in boards if board.service_s]
        return sum(known) / len(known) if known else 0.0

    def retain(self, known: Container[str]) -> None:
        """Drop upstreams that are no longer known and have nothing on its way."""
        self._boards = {
            upstream_id: board
            for upstream_id, board in self._boards.items()
            if upstream_id in known or board.outstanding
        }

    def _board(self, upstream_id: str) -> _Board:
        board = self._boards.get(upstream_id)
        if board is None:
            board = self._boards[upstream_id] = _Board()
        return board
