"""Audit of an experiment: counts of results and of violated guarantees."""

import collections
from collections.abc import Iterable, Mapping

import attrs

from fireflyferry.experiments.load_check import Verdict
from fireflyferry.experiments.load_ownership import check_ownership
from fireflyferry.experiments.load_tally import Sample
from fireflyferry.standins.upstream_ownership import Holding

__all__ = ["Audit", "audit", "longest_gap_s"]


@attrs.frozen
class Audit:
    """Counts of requests by result, and of violations; the last five must be 0."""

    sent: int
    answered: int
    refused: dict[str, int]
    unknown: dict[str, int]
    ran_twice: int
    two_owners: int
    lost_answers: int
    false_refusals: int
    wrong_answers: int

    @property
    def violation_count(self) -> int:
        """Total number of violations."""
        return (
            self.ran_twice
            + self.two_owners
            + self.lost_answers
            + self.false_refusals
            + self.wrong_answers
        )


def audit(
    samples: list[Sample], executions: Mapping[str, int], holdings: Iterable[Holding]
) -> Audit:
    """Compare what callers received with what upstreams executed and held.

    An answered request without an execution is a lost answer; a refused request that was executed
    is a false refusal.
    """
    verdicts = collections.Counter(sample.classification.verdict for sample in samples)
    return Audit(
        sent=len(samples),
        answered=verdicts[Verdict.ANSWERED],
        refused=_count_reasons(samples, Verdict.REFUSED),
        unknown=_count_reasons(samples, Verdict.UNKNOWN),
        ran_twice=sum(
            1
            for sample in samples
            if not sample.arrival.kind.idempotent and executions.get(sample.request_id, 0) > 1
        ),
        two_owners=check_ownership(holdings).overlaps,
        lost_answers=_count_by_execution(samples, executions, Verdict.ANSWERED, executed=False),
        false_refusals=_count_by_execution(samples, executions, Verdict.REFUSED, executed=True),
        wrong_answers=sum(
            verdicts[verdict]
            for verdict in (
                Verdict.CROSSED,
                Verdict.TRUNCATED,
                Verdict.MALFORMED,
                Verdict.OTHER_STATUS,
            )
        ),
    )


def _count_reasons(samples: list[Sample], verdict: Verdict) -> dict[str, int]:
    found = collections.Counter(
        sample.classification.reason
        for sample in samples
        if sample.classification.verdict is verdict
    )
    return dict(sorted(found.items()))


def _count_by_execution(
    samples: list[Sample], executions: Mapping[str, int], verdict: Verdict, executed: bool
) -> int:
    return sum(
        1
        for sample in samples
        if sample.classification.verdict is verdict
        and (sample.request_id in executions) is executed
    )


def longest_gap_s(samples: list[Sample], from_s: float, until_s: float) -> float:
    """Return the longest unavailable time of any key in a period, in seconds.

    A key is unavailable from one good answer to the next (or to the end of the period) if a request
    failed between them, and otherwise for the latency of each good answer. Times are seconds from
    the start of the run.
    """
    by_key = collections.defaultdict(list)
    for sample in samples:
        by_key[sample.arrival.key].append(sample)
    return max((_key_gap_s(each, from_s, until_s) for each in by_key.values()), default=0.0)


def _key_gap_s(samples: list[Sample], from_s: float, until_s: float) -> float:
    samples = sorted(samples, key=lambda sample: sample.done_s)
    worst_s, last_good_s, failed = 0.0, from_s, False
    for sample in samples:
        if not from_s <= sample.done_s <= until_s:
            continue
        if sample.classification.verdict is not Verdict.ANSWERED:
            failed = True
            continue
        gap_s = sample.done_s - last_good_s
        latency_s = sample.done_s - sample.arrival.at_s
        worst_s = max(worst_s, gap_s if failed else latency_s)
        last_good_s, failed = sample.done_s, False
    return max(worst_s, until_s - last_good_s) if failed else worst_s
