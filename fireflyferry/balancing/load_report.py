"""Load and pace that an upstream reports with its answers, and what they say about the next one."""

import math
import re

import attrs

__all__ = ["LoadReport", "LoadReportError", "ReportRules", "ReportedLoad", "read_load_report"]

# Beyond any plausible process; a larger number is an error of its writer.
MAX_REQUESTS = 100_000
MAX_PACE_PERCENT = 10_000
_NUMBER = re.compile(r"[0-9]{1,9}")


class LoadReportError(ValueError):
    """A load header that cannot be read."""


@attrs.frozen
class LoadReport:
    """Running and waiting requests and slots of an upstream, and the pace of its host.

    `pace_percent` is how long work takes now, 100 is usual; None if the upstream does not say.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int | None = None


def read_load_report(value: str) -> LoadReport:
    """Read `RUNNING,WAITING,SLOTS[,PACE]`."""
    parts = [part.strip() for part in value.split(",", 4)]
    if (
        len(value) > 64
        or len(parts) not in (3, 4)
        or not all(_NUMBER.fullmatch(part) for part in parts)
    ):
        raise LoadReportError("is not three or four whole numbers")
    running, waiting, slots, *pace = (int(part) for part in parts)
    if max(running, waiting, slots) > MAX_REQUESTS or slots < 1:
        raise LoadReportError("has a count out of range")
    if pace and not 1 <= pace[0] <= MAX_PACE_PERCENT:
        raise LoadReportError("has a pace out of range")
    return LoadReport(running, waiting, slots, pace[0] if pace else None)


@attrs.frozen
class ReportRules:
    """Weight of reports by their age in seconds.

    The users' hosts change their pace every 400 ms, so a report loses its weight with that time.
    Requests of other senders end within about a service time. `pace_weight` is that of one
    observation in `ServiceTimes`, so that mean pace and mean service time cover the same answers.
    """

    pace_memory_s: float = 0.4
    pace_weight: float = 0.1
    min_factor: float = 0.25
    max_factor: float = 8.0


class ReportedLoad:
    """The newest report of one upstream, discounted by its age."""

    def __init__(self, rules: ReportRules | None = None):
        self._rules = rules or ReportRules()
        self._mean_pace: float | None = None
        self._pace_ratio = 1.0
        self._pace_at_s = float("-inf")
        self._others = 0
        self._others_at_s = float("-inf")

    def on_report(self, now_s: float, report: LoadReport, in_flight: int) -> None:
        """Store a report; `in_flight` is the number of requests that this VM has there."""
        self._others = max(0, report.running + report.waiting - in_flight)
        self._others_at_s = now_s
        if report.pace_percent is None:
            return
        rules, pace = self._rules, float(report.pace_percent)
        if self._mean_pace is None:
            self._mean_pace = pace
        self._mean_pace += rules.pace_weight * (pace - self._mean_pace)
        ratio = pace / self._mean_pace
        self._pace_ratio = min(rules.max_factor, max(rules.min_factor, ratio))
        self._pace_at_s = now_s

    def others(self, now_s: float, service_s: float) -> float:
        """Return how many requests of other senders the upstream is expected to hold."""
        return self._others * math.exp(-(now_s - self._others_at_s) / max(service_s, 1e-3))

    def pace_factor(self, now_s: float, horizon_s: float) -> float:
        """Return the factor on mean service times, averaged over the next `horizon_s` seconds."""
        memory_s, horizon_s = self._rules.pace_memory_s, max(horizon_s, 1e-3)
        weight = math.exp(-(now_s - self._pace_at_s) / memory_s)
        weight *= memory_s / horizon_s * (1.0 - math.exp(-horizon_s / memory_s))
        return 1.0 + (self._pace_ratio - 1.0) * weight
