"""Whether this VM can still reach upstreams, judged from its exchanges and from connects."""

import enum
from collections.abc import Collection

import attrs

from fireflyferry.balancing.directory import Upstream
from fireflyferry.keyranges import UpstreamRun

__all__ = ["Contact", "InFlight", "PathRules", "UpstreamPath"]


class Contact(enum.Enum):
    """How an exchange with an upstream ended, as far as the network is concerned."""

    ANSWERED_NEW = enum.auto()  # over a connection that was opened for it
    ANSWERED_KEPT = enum.auto()  # over a connection that had carried another request
    NOT_CONNECTED = enum.auto()
    NO_ANSWER = enum.auto()  # sent, and the connection broke or the time was up
    ENDED = enum.auto()  # says nothing, for example a request that was not sent after all


@attrs.frozen
class PathRules:
    """Limits of the judgement; times in seconds.

    A request without an answer is overdue after `overdue_service_times` mean service times and at
    least `overdue_s`. The path is in doubt if there was no answer for `silence_s` although some
    upstream failed, or if `doubtful_connects` connections could not be opened. Then connects to
    `checks` upstreams are tried; the path is lost if all fail. They are repeated every
    `check_interval_s`, or after `opened_interval_s` if one has opened. Failures are forgotten after
    `memory_s`.
    """

    overdue_s: float = 0.5
    overdue_service_times: float = 4.0
    silence_s: float = 0.7
    doubtful_connects: int = 2
    checks: int = 3
    check_interval_s: float = 0.5
    opened_interval_s: float = 2.0
    memory_s: float = 3.0


@attrs.define(eq=False)
class InFlight:
    """A request at an upstream, and when its answer becomes overdue."""

    upstream: Upstream
    overdue_at_s: float


class UpstreamPath:
    """Judges whether this VM has lost the network path to all upstreams; times in seconds.

    Failed requests only cause doubt. The path counts as lost once connects to several upstreams of
    different pools and data centres have failed, and as regained when any connection opens: an
    answer over a kept connection does not show that new ones can be opened.
    """

    def __init__(self, rules: PathRules | None = None):
        self._rules = rules or PathRules()
        self._lost = False
        self._last_answer_s = float("-inf")
        self._in_flight: set[InFlight] = set()
        self._failed_s: dict[UpstreamRun, float] = {}
        self._not_connected_s: list[float] = []
        self._failed_checks: dict[UpstreamRun, tuple[Upstream, float]] = {}
        self._checked_s: dict[UpstreamRun, float] = {}
        self._pending_checks: set[UpstreamRun] = set()
        self._next_check_s = float("-inf")

    @property
    def lost(self) -> bool:
        """Whether this VM can open no connection to any upstream."""
        return self._lost

    def start(self, now_s: float, upstream: Upstream, service_s: float) -> InFlight:
        """Note that a request is sent to an upstream with this mean service time."""
        limit_s = max(self._rules.overdue_s, self._rules.overdue_service_times * service_s)
        in_flight = InFlight(upstream, now_s + limit_s)
        self._in_flight.add(in_flight)
        return in_flight

    def end(self, now_s: float, in_flight: InFlight, contact: Contact) -> None:
        """Note how a request has ended."""
        self._in_flight.discard(in_flight)
        run = in_flight.upstream.run
        if contact is Contact.ANSWERED_NEW:
            self._on_opened(now_s)
        elif contact is Contact.ANSWERED_KEPT:
            self._last_answer_s = now_s
            self._failed_s.clear()
        elif contact is not Contact.ENDED:
            self._failed_s[run] = now_s
            if contact is Contact.NOT_CONNECTED:
                self._not_connected_s.append(now_s)

    def overdue(self, now_s: float) -> list[InFlight]:
        """Return the requests whose answers are overdue."""
        return [each for each in self._in_flight if now_s >= each.overdue_at_s]

    def is_check_due(self, now_s: float) -> bool:
        """Return whether connects are to be tried now."""
        if now_s < self._next_check_s or self._pending_checks:
            return False
        self._forget(now_s)
        return self._lost or self._is_doubtful(now_s)

    def due_checks(self, now_s: float, known: Collection[Upstream]) -> list[Upstream]:
        """Return the upstreams to which a connect is to be tried now, out of the known ones."""
        if not self.is_check_due(now_s):
            return []
        runs = {each.run for each in known}
        self._checked_s = {run: at_s for run, at_s in self._checked_s.items() if run in runs}
        self._next_check_s = now_s + self._rules.check_interval_s
        checks: list[Upstream] = []
        for _ in range(1 if self._lost else self._rules.checks):
            left = [each for each in known if each not in checks]
            if left:
                checks.append(min(left, key=lambda each: self._check_rank(each, checks)))
        for upstream in checks:
            self._checked_s[upstream.run] = now_s
            self._pending_checks.add(upstream.run)
        return checks

    def on_check(
        self, now_s: float, upstream: Upstream, opened: bool, known: Collection[Upstream]
    ) -> None:
        """Note whether a connect to an upstream opened a connection."""
        self._pending_checks.discard(upstream.run)
        if opened:
            if not self._lost:
                self._next_check_s = now_s + self._rules.opened_interval_s
            self._on_opened(now_s)
        else:
            self._failed_checks[upstream.run] = (upstream, now_s)
            self._lost = self._lost or self._suffices(known)

    def _on_opened(self, now_s: float) -> None:
        self._lost = False
        self._last_answer_s = now_s
        self._failed_s.clear()
        self._not_connected_s.clear()
        self._failed_checks.clear()

    def _is_doubtful(self, now_s: float) -> bool:
        if len(self._not_connected_s) >= self._rules.doubtful_connects:
            return True
        is_silent = now_s - self._last_answer_s >= self._rules.silence_s
        return is_silent and bool(self._failed_s or self.overdue(now_s))

    def _check_rank(
        self, upstream: Upstream, checks: Collection[Upstream]
    ) -> tuple[bool, bool, bool, bool, float]:
        """Rank an upstream as the next to check: first one unlike those that have failed."""
        run, checked_s = upstream.run, self._checked_s.get(upstream.run, float("-inf"))
        if self._lost:
            return False, False, False, False, checked_s
        alike = [*checks, *(failed for failed, _ in self._failed_checks.values())]
        return (
            run in self._failed_checks,
            upstream.pool in {each.pool for each in alike},
            upstream.data_centre in {each.data_centre for each in alike},
            run in self._failed_s,
            checked_s,
        )

    def _suffices(self, known: Collection[Upstream]) -> bool:
        """Return whether the failed checks are enough, and as varied as the known upstreams."""
        failed = [each for each in known if each.run in self._failed_checks]
        if not failed or len(failed) < min(self._rules.checks, len(known)):
            return False
        return all(
            len(set(map(kind, failed))) >= min(2, len(set(map(kind, known))))
            for kind in (lambda each: each.pool, lambda each: each.data_centre)
        )

    def _forget(self, now_s: float) -> None:
        since_s = now_s - self._rules.memory_s
        self._failed_s = {run: at_s for run, at_s in self._failed_s.items() if at_s > since_s}
        self._not_connected_s = [at_s for at_s in self._not_connected_s if at_s > since_s]
        self._failed_checks = {
            run: (upstream, at_s)
            for run, (upstream, at_s) in self._failed_checks.items()
            if at_s > since_s
        }
