"""First hop: finds the leader of a key, sends the request there, and decides about retries."""

import asyncio
import random

import attrs

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
    """Brings a request to its last hop, here or on another VM."""

    _clock: Clock
    _locator: Locator
    _last_hop: LastHop
    _remote: RemoteHop
    _limits: RequestLimits
    _backoff: Backoff
    _rng: random.Random
    _statistics: Statistics
    _budgets: dict[str, RetryBudget] = attrs.field(factory=dict)

    async def run(self, call: Call, pool: Pool, sink: AnswerSink) -> Verdict:
        """Handle a request with its retries; on an answer, the sink is finished."""
        attempts = Attempts(call.idempotent, self._budget(pool), self._limits.max_attempts)
        hint: Verdict | None = None
        while True:
            verdict, seen_term = await self._attempt(call, pool, sink, hint)
            repeatable = not sink.started and (call.body is None or call.body.rewind())
            step = attempts.next_step(verdict, seen_term, repeatable)
            if step is Step.STOP or (step is Step.BACK_OFF and not await self._wait(call)):
                return attempts.final_verdict(verdict)
            hint = verdict if step is Step.REDIRECT else None
            call.attempt += 1
            if call.idempotent:
                call.attempt_id = new_request_id(self._clock.wall_s(), self._rng)
            self._statistics.retried(verdict)

    async def _attempt(
        self, call: Call, pool: Pool, sink: AnswerSink, hint: Verdict | None
    ) -> tuple[Verdict, int]:
        """Make one attempt; returns its result and the leader's term as seen here."""
        if self._clock.monotonic_s() >= call.deadline_s:
            return Verdict(Outcome.NOT_RUN, Reason.DEADLINE_TOO_SHORT), 0
        location = self._locator.locate(call.pool, call.key)
        if isinstance(location, Reason):
            return Verdict(Outcome.NOT_RUN, location), 0
        if hint is not None and hint.leader_term > location.term:
            location = attrs.evolve(
                location,
                leader_address=hint.leader_address,
                term=hint.leader_term,
                local=False,
            )
        if location.local:
            verdict = await self._last_hop.run(call, location, pool, sink)
        else:
            verdict = await self._remote.run(call, location, sink)
        return verdict, location.term

    async def _wait(self, call: Call) -> bool:
        """Back off before a retry; False when the deadline would pass meanwhile."""
        delay_s = self._backoff.delay_s(call.attempt)
        if self._clock.monotonic_s() + delay_s >= call.deadline_s:
            return False
        await asyncio.sleep(delay_s)
        return True

    def _budget(self, pool: Pool) -> RetryBudget:
        budget = self._budgets.get(pool.name)
        if budget is None:
            budget = RetryBudget(pool.retry_share, self._limits.retry_reserve)
            self._budgets[pool.name] = budget
        budget.share = pool.retry_share
        return budget
