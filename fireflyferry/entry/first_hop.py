"""First hop: finds the leader of a key, sends the request there, and decides about retries."""

import asyncio
import random

import attrs

from fireflyferry.admission import StopPlan
from fireflyferry.edges import Clock
from fireflyferry.entry.calls import Call
from fireflyferry.entry.interfaces import Locator
from fireflyferry.entry.last_hop import LastHop
from fireflyferry.entry.limits import RequestLimits
from fireflyferry.entry.remote import RemoteHop
from fireflyferry.entry.statistics import Statistics
from fireflyferry.retries import Attempts, Backoff, RetryBudget, Step, Verdict, new_request_id
from fireflyferry.tables import Pool
from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.transport.sinks import AnswerSink

__all__ = ["FirstHop"]


@attrs.define(eq=False)
class FirstHop:
    """Sends each request to its last hop, on this VM or another, and retries it if allowed."""

    _clock: Clock
    _locator: Locator
    _last_hop: LastHop
    _remote: RemoteHop
    _limits: RequestLimits
    _backoff: Backoff
    _rng: random.Random
    _statistics: Statistics
    _stop_plan: StopPlan
    _retry_budgets: dict[str, RetryBudget] = attrs.field(factory=dict)

    async def run(self, call: Call, pool: Pool, sink: AnswerSink) -> Verdict:
        """Handle a request with its retries; if it is answered, the sink is finished on return."""
        attempts = Attempts(call.idempotent, self._retry_budget(pool), self._limits.max_attempts)
        redirect: Verdict | None = None
        while True:
            verdict, known_term = await self._attempt(call, pool, sink, redirect)
            repeatable = not sink.started and (call.body is None or call.body.rewind())
            step = attempts.next_step(verdict, known_term, repeatable)
            if step is Step.STOP or (step is Step.BACK_OFF and not await self._back_off(call)):
                return attempts.final_verdict(verdict)
            redirect = verdict if step is Step.REDIRECT else None
            call.attempt += 1
            if call.idempotent:
                call.attempt_id = new_request_id(self._clock.wall_s(), self._rng)
            self._statistics.count_retry(verdict)

    async def _attempt(
        self, call: Call, pool: Pool, sink: AnswerSink, redirect: Verdict | None
    ) -> tuple[Verdict, int]:
        """Make one attempt; return its result and the leader's term as known here."""
        now_s = self._clock.monotonic_s()
        if not call.limit_deadline(now_s, self._stop_plan):
            return Verdict(Outcome.NOT_RUN, Reason.SHUTTING_DOWN), 0
        if now_s >= call.deadline_s:
            return Verdict(Outcome.NOT_RUN, Reason.DEADLINE_TOO_SHORT), 0
        location = self._locator.locate(call.pool, call.key)
        if isinstance(location, Reason):
            return Verdict(Outcome.NOT_RUN, location), 0
        if redirect is not None and redirect.leader_term > location.term:
            location = attrs.evolve(
                location,
                leader_address=redirect.leader_address,
                term=redirect.leader_term,
                local=False,
            )
        if location.local:
            verdict = await self._last_hop.run(call, location, pool, sink)
        else:
            verdict = await self._remote.run(call, location, sink)
        return verdict, location.term

    async def _back_off(self, call: Call) -> bool:
        """Wait before a retry; return False at once if the deadline would pass meanwhile."""
        delay_s = self._backoff.delay_s(call.attempt)
        if self._clock.monotonic_s() + delay_s >= call.deadline_s:
            return False
        await asyncio.sleep(delay_s)
        return True

    def _retry_budget(self, pool: Pool) -> RetryBudget:
        budget = self._retry_budgets.get(pool.name)
        if budget is None:
            budget = RetryBudget(pool.retry_share, self._limits.retry_reserve)
            self._retry_budgets[pool.name] = budget
        budget.share = pool.retry_share
        return budget
