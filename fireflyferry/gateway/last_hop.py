"""Last hop: counts the slots of upstreams, lets requests wait, sends them and judges answers."""

import asyncio
import logging
from collections.abc import Callable, Container, Mapping

import attrs

from fireflyferry.balancing import (
    Admitted,
    LoadTracker,
    QueueRules,
    Refused,
    SlotQueue,
    Standing,
    Ticket,
    Upstream,
    UpstreamDirectory,
)
from fireflyferry.edges import Clock
from fireflyferry.gateway.calls import Answer, Attempt, Call, not_run, outcome_unknown
from fireflyferry.gateway.edges import HeaderNames
from fireflyferry.gateway.learning import learn_attempt
from fireflyferry.gateway.metrics import GatewayMetrics
from fireflyferry.keyranges import UpstreamRun
from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.transport import CurlTransport, Exchange, Fetched, fetch
from fireflyferry.transport.fetch import whole_body
from fireflyferry.transport.headers import find

__all__ = ["LastHop", "LastHopRules"]

_LOG = logging.getLogger(__name__)


@attrs.frozen
class LastHopRules:
    """Times in seconds.

    A non-idempotent request uses only connections that were idle for less than `unsafe_idle_s`,
    since one that the upstream closes meanwhile makes the outcome unknown. An upstream that broke
    a kept connection before any answer gets only new ones for `no_reuse_s`, since upstreams may
    forget idle connections long before they say so.
    """

    safe_idle_s: int = 8  # upstreams close connections that were idle for 10 s
    unsafe_idle_s: int = 4
    no_reuse_s: float = 10.0
    least_left_s: float = 0.005


class LastHop:
    """Sends requests to the upstreams whose slots this VM counts.

    `candidates` returns the upstreams among which it may choose in the place of a given one.
    """

    def __init__(
        self,
        clock: Clock,
        transport: CurlTransport,
        upstreams: UpstreamDirectory,
        candidates: Callable[[float, Upstream], list[Upstream]],
        board: LoadTracker,
        names: HeaderNames,
        metrics: GatewayMetrics,
        queue_rules: QueueRules | None = None,
        rules: LastHopRules | None = None,
    ):
        self._clock = clock
        self._transport = transport
        self._upstreams = upstreams
        self._candidates = candidates
        self._board = board
        self._names = names
        self._metrics = metrics
        self._queue_rules = queue_rules or QueueRules()
        self._rules = rules or LastHopRules()
        self._queues: dict[UpstreamRun, SlotQueue] = {}
        self._no_reuse_until_s: dict[UpstreamRun, float] = {}
        # Whether a waiting request got a slot in time.
        self._turns: dict[Ticket, asyncio.Future[bool]] = {}

    @property
    def busy(self) -> int:
        """Requests that upstreams work on."""
        return sum(queue.busy for queue in self._queues.values())

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return sum(len(queue) for queue in self._queues.values())

    def forecast(self, upstream: Upstream) -> tuple[float, float]:
        """Return the wait and service time in seconds that a new request can expect."""
        now_s = self._clock.monotonic_s()
        return min(self._exact(now_s, each) for each in self._candidates(now_s, upstream))

    def service_times(self) -> Mapping[str, float]:
        """Return the mean service time in seconds of each upstream that was used."""
        return {run.upstream_id: queue.service_s for run, queue in self._queues.items()}

    def remove_gone_queues(self) -> None:
        """Drop the queues of upstreams that are gone."""
        now_s = self._clock.monotonic_s()
        for run, queue in list(self._queues.items()):
            gone = self._upstreams.standing(now_s, run.upstream_id, run.born) is Standing.GONE
            if gone:
                for ticket in queue.drain():
                    self._end_wait(ticket, False)
                if not queue.busy:
                    del self._queues[run]
                    self._no_reuse_until_s.pop(run, None)

    def retain(self, known: Container[str]) -> None:
        """Drop what was learned of upstreams that are no longer known."""
        self._board.retain(known)

    async def run(self, call: Call, upstream: Upstream) -> Attempt:
        """Have one upstream answer a request; cancelling closes the connection."""
        now_s = self._clock.monotonic_s()
        upstream = self._choose(now_s, call, upstream)
        attempt = await self._run(now_s, call, upstream)
        wait_s, service_s = self.forecast(upstream)
        # The forecast is that of the moment of the answer, for the next request.
        return attrs.evolve(
            attempt, wait_s=wait_s, service_s=service_s, upstream_id=upstream.run.upstream_id
        )

    def _choose(self, now_s: float, call: Call, upstream: Upstream) -> Upstream:
        """Return the upstream that answers first, among those that may be chosen."""
        candidates = self._candidates(now_s, upstream)
        if len(candidates) == 1:
            return candidates[0]
        choice = self._board.choose(
            now_s,
            candidates,
            lambda _: 0,
            call.target_time_s - now_s,
            lambda each: self._exact(now_s, each),
            call.tried,
        )
        return choice.upstream if choice is not None else candidates[0]

    def _exact(self, now_s: float, upstream: Upstream) -> tuple[float, float]:
        queue = self._queue(upstream)
        return queue.wait_s(now_s), queue.service_s

    async def _run(self, now_s: float, call: Call, upstream: Upstream) -> Attempt:
        queue = self._queue(upstream)
        ticket = Ticket(
            call.priority, call.started_s, call.target_time_s, call.deadline_s, call.returned
        )
        offered = queue.offer(now_s, ticket)
        if isinstance(offered, Refused):
            return not_run(offered.reason, offered.retry_after_s)
        if not isinstance(offered, Admitted) and not await self._turn(queue, ticket, call):
            return not_run(Reason.DEADLINE_PASSED_IN_QUEUE, queue.wait_s(now_s))
        attempt = await self._send(call, upstream, queue)
        ended_s = self._clock.monotonic_s()
        learn_attempt(self._board, ended_s, upstream.run.upstream_id, attempt)
        return attempt

    def _queue(self, upstream: Upstream) -> SlotQueue:
        queue = self._queues.get(upstream.run)
        if queue is None:
            queue = self._queues[upstream.run] = SlotQueue(upstream.slots, self._queue_rules)
        return queue

    async def _turn(self, queue: SlotQueue, ticket: Ticket, call: Call) -> bool:
        """Wait for a slot; False when it comes too late."""
        turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._turns[ticket] = turn
        wait_s = call.deadline_s - self._clock.monotonic_s() - queue.service_s / 2
        try:
            await asyncio.wait([turn], timeout=max(0.0, wait_s))
            return turn.done() and turn.result()
        finally:
            self._turns.pop(ticket, None)
            if not turn.done():
                queue.cancel(ticket)
            elif turn.result() and asyncio.current_task().cancelling():
                self._free(queue, None)

    def _end_wait(self, ticket: Ticket, got_slot: bool) -> bool:
        turn = self._turns.pop(ticket, None)
        if turn is None or turn.done():
            return False
        turn.set_result(got_slot)
        return True

    def _free(self, queue: SlotQueue, service_s: float | None) -> None:
        """Free a slot and give it to the next request that can still be answered in time."""
        now_s = self._clock.monotonic_s()
        queue.finish(now_s, service_s)
        while (ticket := queue.pop(now_s)) is not None:
            in_time = queue.can_finish(now_s, ticket)
            if not self._end_wait(ticket, in_time) or not in_time:
                queue.finish(now_s, None)

    async def _send(self, call: Call, upstream: Upstream, queue: SlotQueue) -> Attempt:
        sent_s = self._clock.monotonic_s()
        busy = queue.busy
        service_s: float | None = None
        try:
            attempt = await self._exchange(call, upstream)
            took_s = self._clock.monotonic_s() - sent_s
            if attempt.outcome is Outcome.ANSWERED or attempt.reason is Reason.TIMED_OUT:
                # Requests above the number of slots wait inside the upstream.
                service_s = took_s * queue.slots / max(queue.slots, busy)
            self._metrics.upstream(upstream.pool, attempt, took_s)
            return attempt
        finally:
            self._free(queue, service_s)

    async def _exchange(self, call: Call, upstream: Upstream) -> Attempt:
        names, rules = self._names, self._rules
        left_s = call.deadline_s - self._clock.monotonic_s()
        if left_s < rules.least_left_s:
            return not_run(Reason.DEADLINE_PASSED_IN_QUEUE)
        if not self._may_send(call, upstream):
            return not_run(Reason.UPSTREAM_DRAINING)
        headers = [
            *call.headers,
            (names.expected_upstream, upstream.run.upstream_id),
            (names.deadline_ms, str(max(1, int(left_s * 1000)))),
        ]
        exchange = Exchange(
            upstream.address,
            call.method,
            call.target,
            headers,
            whole_body(call.body) if call.body or call.method in ("POST", "PUT") else None,
            left_s,
            # An answer to the first send that comes late on its connection has the same id.
            fresh=call.repeated or self._avoids_reuse(upstream),
            max_idle_s=rules.safe_idle_s if call.idempotent else rules.unsafe_idle_s,
        )
        result = await fetch(
            self._transport,
            exchange,
            lambda: self._may_send(call, upstream),
            lambda _, headers: find(headers, names.request_id) == call.request_id,
        )
        if result.reused and result.sent and not (result.status or result.timed_out):
            self._on_kept_connection_lost(upstream)
        return self._judge(call, upstream, result)

    def _avoids_reuse(self, upstream: Upstream) -> bool:
        until_s = self._no_reuse_until_s.get(upstream.run, 0.0)
        return self._clock.monotonic_s() < until_s

    def _on_kept_connection_lost(self, upstream: Upstream) -> None:
        """Note that an upstream broke a kept connection before it answered."""
        if not self._avoids_reuse(upstream):
            _LOG.info(
                "connections_not_kept",
                extra={
                    "upstream": upstream.run.upstream_id,
                    "born": upstream.run.born,
                    "for_s": self._rules.no_reuse_s,
                },
            )
        now_s = self._clock.monotonic_s()
        self._no_reuse_until_s[upstream.run] = now_s + self._rules.no_reuse_s

    def _may_send(self, call: Call, upstream: Upstream) -> bool:
        now_s = self._clock.monotonic_s()
        run = upstream.run
        standing = self._upstreams.standing(now_s, run.upstream_id, run.born)
        if standing is Standing.GONE or now_s >= call.deadline_s:
            return False
        return standing is Standing.READY or call.key is not None

    def _judge(self, call: Call, upstream: Upstream, result: Fetched) -> Attempt:
        """Tell what an exchange says about the request."""
        names = self._names
        if result.rejected:
            problem = f"answer names request {result.header(names.request_id)}"
            self._log_loss(call, upstream, Reason.WRONG_ANSWER, problem)
            return outcome_unknown(Reason.WRONG_ANSWER)
        if not result.complete:
            if not result.sent:
                reason = Reason.CONNECT_FAILED
                if not self._may_send(call, upstream):
                    reason = Reason.UPSTREAM_DRAINING
                return not_run(reason)
            reason = Reason.TIMED_OUT if result.timed_out else Reason.CONNECTION_LOST
            self._log_loss(call, upstream, reason, f"curl {result.error} {result.message}")
            return outcome_unknown(reason)
        problem = self._problem(result)
        if problem:
            self._log_loss(call, upstream, Reason.WRONG_ANSWER, problem)
            return outcome_unknown(Reason.WRONG_ANSWER)
        if result.status == 421:
            return not_run(Reason.NOT_OWNER, reached=True)
        if result.header(names.not_run) is not None:
            return not_run(Reason.UPSTREAM_SHED, reached=True)
        answer = Answer(result.status, result.headers, result.body)
        return Attempt(Outcome.ANSWERED, None, answer, reached=True)

    def _problem(self, result: Fetched) -> str:
        """Return why a complete answer is not the upstream's whole answer."""
        if result.header("Content-Encoding") is not None:
            return "answer has a content encoding that was not asked for"
        if 200 <= result.status < 300 and result.header(self._names.signature) is None:
            return "success without signature"
        return ""

    def _log_loss(self, call: Call, upstream: Upstream, reason: Reason, detail: str) -> None:
        _LOG.info(
            "upstream_answer_unusable",
            extra={
                "request_id": call.request_id,
                "upstream": upstream.run.upstream_id,
                "born": upstream.run.born,
                "reason": str(reason),
                "detail": detail,
            },
        )
