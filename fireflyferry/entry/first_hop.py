"""First hop: finds the leader of a key, sends the request there, and decides about retries."""

import asyncio

import attrs

from fireflyferry.edges import Clock
from fireflyferry.entry.calls import Call
from fireflyferry.entry.interfaces import Location, Locator
from fireflyferry.entry.last_hop import LastHop
from fireflyferry.entry.limits import RequestLimits
from fireflyferry.entry.remote import RemoteHop
from fireflyferry.entry.sinks import AnswerSink
from fireflyferry.entry.statistics import Statistics
from fireflyferry.retries import Backoff, RetryBudget, Verdict, may_retry
from fireflyferry.tables import Pool
from fireflyferry.telemetry import Outcome, Reason

__all__ = ["FirstHop"]


@attrs.define(eq=False)
class FirstHop:
    """Brings a request to its last hop, here or on another VM."""

    _clock: Clock
    _locator: Locator
    _last_hop: LastHop
    _remote: RemoteHop
    _limits: RequestLimits
    _backoff: Backoff
    _statistics: Statistics
    _budgets: dict[str, RetryBudget] = attrs.field(factory=dict)

    async def run(self, call: Call, pool: Pool, sink: AnswerSink) -> Verdict:
        """Handle a request with its retries; on an answer, the sink is finished."""
        budget = self._budget(pool)
        hint: Verdict | None = None
        redirected = False
        while True:
            verdict = await self._attempt(call, pool, sink, hint)
            if verdict.outcome is Outcome.ANSWERED:
                budget.on_success()
                return verdict
            if sink.started or not may_retry(verdict, call.idempotent):
                return verdict
            hint = verdict if verdict.leader_address and not redirected else None
            if not self._rewind(call) or call.attempt >= self._limits.max_attempts:
                return verdict
            if hint is not None:
                redirected = True
            elif not budget.try_spend() or not await self._wait(call):
                return verdict
            call.attempt += 1
            self._statistics.retried(verdict)

    async def _attempt(
        self, call: Call, pool: Pool, sink: AnswerSink, hint: Verdict | None
    ) -> Verdict:
        if self._clock.monotonic_s() >= call.deadline_s:
            return Verdict(Outcome.NOT_RUN, Reason.DEADLINE_TOO_SHORT)
        location = self._locator.locate(call.pool, call.key)
        if isinstance(location, Reason):
            return Verdict(Outcome.NOT_RUN, location)
        location = _redirected(location, hint)
        if location.local:
            return await self._last_hop.run(call, location, pool, sink)
        return await self._remote.run(call, location, sink)

    async def _wait(self, call: Call) -> bool:
        """Back off before a retry; False when the deadline would pass meanwhile."""
        delay_s = self._backoff.delay_s(call.attempt)
        if self._clock.monotonic_s() + delay_s >= call.deadline_s:
            return False
        await asyncio.sleep(delay_s)
        return True

    def _rewind(self, call: Call) -> bool:
        return call.body is None or call.body.rewind()

    def _budget(self, pool: Pool) -> RetryBudget:
        budget = self._budgets.get(pool.name)
        if budget is None:
            budget = RetryBudget(pool.retry_share, self._limits.retry_reserve)
            self._budgets[pool.name] = budget
        budget.share = pool.retry_share
        return budget


def _redirected(location: Location, hint: Verdict | None) -> Location:
    """Prefer the leader that a last hop named, if its term is newer than the one seen here."""
    if hint is None or hint.leader_term <= location.term:
        return location
    return attrs.evolve(
        location, leader_address=hint.leader_address, term=hint.leader_term, local=False
    )
