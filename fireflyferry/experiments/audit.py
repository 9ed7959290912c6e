"""Checks of an experiment's records against the promises."""

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
    """What a run promised and what happened; the last five must be 0."""

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
    def broken(self) -> int:
        """Number of broken promises."""
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
    """Compare what callers saw with what upstreams ran and held.

    An answer that ran nowhere is a lost one; a refusal that ran is a false one.
    """
    verdicts = collections.Counter(sample.judgement.verdict for sample in samples)
    return Audit(
        sent=len(samples),
        answered=verdicts[Verdict.ANSWERED],
        refused=_reasons(samples, Verdict.REFUSED),
        unknown=_reasons(samples, Verdict.UNKNOWN),
        ran_twice=sum(
            1
            for sample in samples
            if not sample.arrival.kind.idempotent and executions.get(sample.request_id, 0) > 1
        ),
        two_owners=check_ownership(holdings).overlaps,
        lost_answers=_count(samples, executions, Verdict.ANSWERED, ran=False),
        false_refusals=_count(samples, executions, Verdict.REFUSED, ran=True),
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


def _reasons(samples: list[Sample], verdict: Verdict) -> dict[str, int]:
    found = collections.Counter(
        sample.judgement.reason for sample in samples if sample.judgement.verdict is verdict
    )
    return dict(sorted(found.items()))


def _count(
    samples: list[Sample], executions: Mapping[str, int], verdict: Verdict, ran: bool
) -> int:
    return sum(
        1
        for sample in samples
        if sample.judgement.verdict is verdict and (sample.request_id in executions) is ran
    )


def longest_gap_s(samples: list[Sample], from_s: float, until_s: float) -> float:
    """Return the longest time in which requests of some key failed between two good answers."""
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
        if sample.judgement.verdict is not Verdict.ANSWERED:
            failed = True
            continue
        gap_s = sample.done_s - last_good_s
        slow = sample.done_s - sample.arrival.at_s
        worst_s = max(worst_s, gap_s if failed else slow)
        last_good_s, failed = sample.done_s, False
    return max(worst_s, until_s - last_good_s) if failed else worst_s
