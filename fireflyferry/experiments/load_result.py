"""Result of a load run, as stored in a JSON file."""

import attrs

from fireflyferry.experiments.load_scenario import Scenario

__all__ = [
    "VIOLATIONS",
    "Executions",
    "Generator",
    "KeyGap",
    "KeyGaps",
    "Latency",
    "LoadResult",
    "OwnershipCheck",
    "Second",
]


@attrs.frozen
class Latency:
    """Latency of good answers from the intended send time, in milliseconds."""

    count: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    p99_9_ms: float = 0.0
    max_ms: float = 0.0
    histogram: str = ""


@attrs.frozen
class KeyGap:
    """Longest time between two good answers of a key with a failed request between them."""

    key: str
    gap_s: float
    failures: int


@attrs.frozen
class KeyGaps:
    """Unavailable time over all keys, in seconds.

    A key is unavailable between two good answers if a request failed between them; the percentiles
    and the maximum are over the keys with such failures. `longest_quiet_gap_s` is the longest time
    between good answers of any key, and includes times without requests for the key.
    """

    keys: int = 0
    keys_with_failures: int = 0
    p50_s: float = 0.0
    p99_s: float = 0.0
    max_s: float = 0.0
    longest_quiet_gap_s: float = 0.0
    worst: tuple[KeyGap, ...] = ()


@attrs.frozen
class Second:
    """Requests that ended in one second of the run; `max_ms` is the slowest good answer."""

    answered: int = 0
    refused: int = 0
    unknown: int = 0
    wrong: int = 0
    max_ms: float = 0.0


@attrs.frozen
class Executions:
    """Executions that the upstreams counted for the requests of a run.

    `runs` is the sum of executions; the other counts are numbers of requests. `ran_twice` were not
    idempotent and ran more than once, `repeated` were idempotent and ran more than once, `lost`
    were answered but never ran, `false_refusals` were refused but ran. `missing` upstreams gave no
    counts; every figure is then a lower bound.
    """

    upstreams: int = 0
    missing: tuple[str, ...] = ()
    runs: int = 0
    ran_twice: int = 0
    repeated: int = 0
    lost: int = 0
    false_refusals: int = 0
    examples: tuple[str, ...] = ()


@attrs.frozen
class OwnershipCheck:
    """Result of the ownership check.

    `overlaps` counts pairs of holdings of two upstreams that cover a key at the same time;
    `missing` upstreams gave no log.
    """

    holdings: int = 0
    overlaps: int = 0
    missing: tuple[str, ...] = ()
    examples: tuple[str, ...] = ()


@attrs.frozen
class Generator:
    """Figures of the load generator.

    The lag is the delay from the intended to the actual send time; a large one means that the
    generator was overloaded.
    """

    lag_p50_ms: float = 0.0
    lag_p99_ms: float = 0.0
    lag_max_ms: float = 0.0
    senders: int = 1
    peak_in_flight: int = 0
    connect_failovers: int = 0
    elapsed_s: float = 0.0


@attrs.frozen
class LoadResult:
    """Everything measured in one run."""

    scenario: Scenario
    targets: tuple[str, ...]
    started: str
    sent: int
    answered: int
    refused: dict[str, int]
    unknown: dict[str, int]
    wrong: dict[str, int]
    latency: dict[str, Latency]
    seconds: tuple[Second, ...]
    key_gaps: KeyGaps
    executions: Executions
    generator: Generator
    ownership: OwnershipCheck = OwnershipCheck()
    examples: tuple[str, ...] = ()
    label: str = ""

    def wrong_count(self, verdict: str) -> int:
        """Return the number of wrong answers with one verdict, such as `crossed`."""
        return sum(n for name, n in self.wrong.items() if name.partition(":")[0] == verdict)

    @property
    def unaccounted(self) -> int:
        """Number of requests without any result."""
        counts = (self.refused, self.unknown, self.wrong)
        return self.sent - self.answered - sum(sum(each.values()) for each in counts)

    def violations(self) -> dict[str, int]:
        """Return counts that must all be zero."""
        return {name: count(self) for name, count in VIOLATIONS.items()}


VIOLATIONS = {
    "two_owners": lambda result: result.ownership.overlaps,
    "ran_twice": lambda result: result.executions.ran_twice,
    "lost": lambda result: result.executions.lost,
    "false_refusals": lambda result: result.executions.false_refusals,
    "crossed": lambda result: result.wrong_count("crossed"),
    "truncated": lambda result: result.wrong_count("truncated"),
    "malformed": lambda result: result.wrong_count("malformed"),
    "unaccounted": lambda result: result.unaccounted,
}
