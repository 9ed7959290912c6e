"""Result of a load run, as kept in a JSON file."""

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
    """Longest time between good answers of one key during which a request failed."""

    key: str
    gap_s: float
    failures: int


@attrs.frozen
class KeyGaps:
    """Unavailable time over all keys, in seconds.

    `unavailable` counts gaps with a failed request in them; `longest_quiet_gap_s` is the longest
    gap of any key and includes times when nobody asked for the key.
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
    """Requests that ended in one second of the run; `max_ms` is of good answers."""

    answered: int = 0
    refused: int = 0
    unknown: int = 0
    wrong: int = 0
    max_ms: float = 0.0


@attrs.frozen
class Executions:
    """What the upstreams say that ran; counts are of request ids.

    `lost` were answered but never ran, `false_refusals` were refused as not run but ran,
    `repeated` are idempotent requests that ran more than once. `missing` upstreams gave no count,
    so that every figure here is then a lower bound.
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
    """Overlaps are pairs of holdings of two upstreams that cover a key at the same time."""

    holdings: int = 0
    overlaps: int = 0
    missing: tuple[str, ...] = ()
    examples: tuple[str, ...] = ()


@attrs.frozen
class Generator:
    """How well the generator kept to its plan; a large lag means that it was overloaded."""

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
        """Count wrong answers of one verdict, such as `crossed`."""
        return sum(n for name, n in self.wrong.items() if name.partition(":")[0] == verdict)

    @property
    def unaccounted(self) -> int:
        """Requests without any result."""
        counts = (self.refused, self.unknown, self.wrong)
        return self.sent - self.answered - sum(sum(it.values()) for it in counts)

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
