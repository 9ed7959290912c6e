"""Accumulates samples into a load result."""

import collections

import attrs
from hdrh.histogram import HdrHistogram

from fireflyferry.experiments.load_check import Classification, Verdict
from fireflyferry.experiments.load_plan import Arrival
from fireflyferry.experiments.load_result import (
    Executions,
    Generator,
    KeyGap,
    KeyGaps,
    Latency,
    LoadResult,
    Second,
)
from fireflyferry.experiments.load_scenario import Scenario

__all__ = ["Sample", "Tally", "latency_summary", "new_histogram"]

MAX_LATENCY_US = 600_000_000
MAX_EXAMPLES = 20


@attrs.frozen
class Sample:
    """One request and its result; times are in seconds from the start of the run."""

    arrival: Arrival
    request_id: str
    sent_s: float
    done_s: float
    classification: Classification


@attrs.define
class _KeyState:
    """Good answers, failures and gaps of one key; times as in `Sample`."""

    last_good_s: float
    failures: int = 0
    worst_gap_s: float = 0.0
    worst_failures: int = 0
    longest_gap_s: float = 0.0

    def on_good_answer(self, at_s: float) -> None:
        self._close_gap(at_s)
        self.last_good_s = at_s
        self.failures = 0

    def _close_gap(self, at_s: float) -> None:
        gap_s = max(0.0, at_s - self.last_good_s)
        self.longest_gap_s = max(self.longest_gap_s, gap_s)
        if self.failures and gap_s > self.worst_gap_s:
            self.worst_gap_s, self.worst_failures = gap_s, self.failures

    def finish(self, at_s: float) -> None:
        if self.failures:
            self._close_gap(at_s)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds with three significant digits."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


def latency_summary(histogram: HdrHistogram) -> Latency:
    """Summarise a histogram of microseconds."""
    if not histogram.get_total_count():
        return Latency()
    p50, p99, p99_9 = (histogram.get_value_at_percentile(each) / 1000 for each in (50, 99, 99.9))
    encoded = histogram.encode().decode("ascii")
    largest = histogram.get_max_value() / 1000
    return Latency(histogram.get_total_count(), p50, p99, p99_9, largest, encoded)


class Tally:
    """Accumulates samples, which have to be added in the order in which the requests ended."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._sent = 0
        self._refused: collections.Counter[str] = collections.Counter()
        self._unknown: collections.Counter[str] = collections.Counter()
        self._wrong: collections.Counter[str] = collections.Counter()
        self._histograms: dict[str, HdrHistogram] = collections.defaultdict(new_histogram)
        self._lag = new_histogram()
        self._seconds: dict[int, Second] = {}
        self._keys: dict[str, _KeyState] = {}
        self._results_by_id: dict[str, tuple[bool, Verdict]] = {}
        self._examples: list[str] = []
        self._answered = 0

    def add(self, sample: Sample) -> None:
        """Add the result of a request."""
        self._sent += 1
        self._lag.record_value(max(1, round((sample.sent_s - sample.arrival.at_s) * 1e6)))
        kind, classification = sample.arrival.kind, sample.classification
        self._results_by_id[sample.request_id] = (kind.idempotent, classification.verdict)
        key_state = self._keys.setdefault(sample.arrival.key, _KeyState(sample.arrival.at_s))
        latency_s = sample.done_s - sample.arrival.at_s
        if classification.verdict is Verdict.ANSWERED:
            self._answered += 1
            key_state.on_good_answer(sample.done_s)
            self._record_latency(sample, latency_s)
        else:
            key_state.failures += 1
            self._count_failure(sample)
        self._add_second(sample, latency_s)

    def result(self, executions: Executions, generator: Generator, **other_fields) -> LoadResult:
        """Return the result of the run; `other_fields` are the remaining fields of LoadResult."""
        lag = latency_summary(self._lag)
        length = max(self._seconds, default=-1) + 1
        return LoadResult(
            scenario=self._scenario,
            sent=self._sent,
            answered=self._answered,
            refused=dict(self._refused),
            unknown=dict(self._unknown),
            wrong=dict(self._wrong),
            latency={
                each: latency_summary(self._histograms[each]) for each in sorted(self._histograms)
            },
            seconds=tuple(self._seconds.get(each, Second()) for each in range(length)),
            key_gaps=self._key_gaps(generator.elapsed_s),
            executions=executions,
            generator=attrs.evolve(
                generator, lag_p50_ms=lag.p50_ms, lag_p99_ms=lag.p99_ms, lag_max_ms=lag.max_ms
            ),
            examples=tuple(self._examples),
            **other_fields,
        )

    def executions(self, counts: dict[str, dict[str, int] | None]) -> Executions:
        """Compare the samples with each upstream's counts by request id (None: not available)."""
        runs: collections.Counter[str] = collections.Counter()
        for found in counts.values():
            runs.update(found or {})
        found_ids = collections.defaultdict(list)
        for request_id, (idempotent, verdict) in self._results_by_id.items():
            count = runs[request_id]
            if count > 1:
                found_ids["repeated" if idempotent else "ran_twice"].append(request_id)
            if verdict is Verdict.ANSWERED and count == 0:
                found_ids["lost"].append(request_id)
            if verdict is Verdict.REFUSED and count > 0:
                found_ids["false_refusals"].append(request_id)
        if not counts or None in counts.values():
            found_ids.pop("lost", None)  # they may have run at an upstream without counts
        examples = [f"{name} {each}" for name in sorted(found_ids) for each in found_ids[name][:5]]
        return Executions(
            upstreams=len(counts),
            missing=tuple(name for name, found in counts.items() if found is None),
            runs=sum(runs[each] for each in self._results_by_id),
            examples=tuple(examples),
            **{name: len(ids) for name, ids in found_ids.items()},
        )

    def _record_latency(self, sample: Sample, latency_s: float) -> None:
        value_us = min(max(1, round(latency_s * 1e6)), MAX_LATENCY_US)
        names = ["all", f"kind {sample.arrival.kind.name}"]
        if sample.arrival.tenant:
            names.append(f"tenant {sample.arrival.tenant}")
        for name in names:
            self._histograms[name].record_value(value_us)

    def _count_failure(self, sample: Sample) -> None:
        verdict, reason = sample.classification.verdict, sample.classification.reason
        if verdict is Verdict.REFUSED:
            self._refused[reason] += 1
        elif verdict is Verdict.UNKNOWN:
            self._unknown[reason] += 1
        else:
            # The reason of a truncation holds lengths, which differ, so it is left out of the name.
            name = verdict if verdict is Verdict.TRUNCATED else f"{verdict}:{reason}"
            self._wrong[str(name)] += 1
            if len(self._examples) < MAX_EXAMPLES:
                key = sample.arrival.key
                self._examples.append(f"{verdict} {reason} id={sample.request_id} key={key}")

    def _add_second(self, sample: Sample, latency_s: float) -> None:
        second = self._seconds.get(int(sample.done_s), Second())
        verdict = sample.classification.verdict
        name = verdict.value if verdict.value in ("answered", "refused", "unknown") else "wrong"
        changes = {name: getattr(second, name) + 1}
        if verdict is Verdict.ANSWERED:
            changes["max_ms"] = max(second.max_ms, latency_s * 1000)
        self._seconds[int(sample.done_s)] = attrs.evolve(second, **changes)

    def _key_gaps(self, end_s: float) -> KeyGaps:
        for state in self._keys.values():
            state.finish(end_s)
        failed = [(name, each) for name, each in self._keys.items() if each.worst_failures]
        failed.sort(key=lambda pair: -pair[1].worst_gap_s)
        gaps = [each.worst_gap_s for _, each in failed]
        worst = (KeyGap(name, each.worst_gap_s, each.worst_failures) for name, each in failed[:10])
        return KeyGaps(
            keys=len(self._keys),
            keys_with_failures=len(failed),
            p50_s=gaps[len(gaps) // 2] if gaps else 0.0,
            p99_s=gaps[len(gaps) // 100] if gaps else 0.0,
            max_s=gaps[0] if gaps else 0.0,
            longest_quiet_gap_s=max(
                (each.longest_gap_s for each in self._keys.values()), default=0.0
            ),
            worst=tuple(worst),
        )
