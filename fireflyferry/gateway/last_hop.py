"""Last hop: queues requests for upstreams' slots and sends them."""

import asyncio
import logging
from collections.abc import Callable, Container, Mapping

import attrs

from fireflyferry.admission import StopPlan
from fireflyferry.balancing import (
    Admitted,
    Demand,
    LoadTracker,
    QueueRules,
    QuietPeriods,
    Refused,
    SlotQueue,
    Standing,
    Ticket,
    Upstream,
    UpstreamDirectory,
)
from fireflyferry.balancing.body_bytes import BodyBytes
from fireflyferry.edges import Clock
from fireflyferry.gateway.answers import classify
from fireflyferry.gateway.calls import Attempt, Call, not_run
from fireflyferry.gateway.edges import HeaderNames
from fireflyferry.gateway.last_hop_rules import LastHopRules
from fireflyferry.gateway.learning import record_attempt, record_leaving, record_load
from fireflyferry.gateway.metrics import GatewayMetrics
from fireflyferry.gateway.send_limits import SendLimits
from fireflyferry.gateway.upstream_path import PathMonitor
from fireflyferry.keyranges import UpstreamRun
from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.transport import CurlTransport, Exchange, fetch
from fireflyferry.transport.fetch import complete_body
from fireflyferry.transport.headers import find_header

__all__ = ["LastHop", "LastHopRules"]

_LOG = logging.getLogger(__name__)


class LastHop:
    """Sends requests to the upstreams whose slots this VM allots.

    `candidates` returns the upstreams that may get a request which was routed to a given upstream.
    """

    def __init__(
        self,
        clock: Clock,
        transport: CurlTransport,
        upstreams: UpstreamDirectory,
        candidates: Callable[[float, Upstream], list[Upstream]],
        load_tracker: LoadTracker,
        names: HeaderNames,
        metrics: GatewayMetrics,
        path: PathMonitor,
        queue_rules: QueueRules | None = None,
        rules: LastHopRules | None = None,
        stop_plan: StopPlan | None = None,
        quiet: QuietPeriods | None = None,
        limits: SendLimits | None = None,
        body_bytes: BodyBytes | None = None,
    ):
        self._clock = clock
        self._transport = transport
        self._upstreams = upstreams
        self._candidates = candidates
        self._load_tracker = load_tracker
        self._names = names
        self._metrics = metrics
        self._path = path
        path.on_hand_over = self.refuse_waiting
        self._queue_rules = queue_rules or QueueRules()
        self._rules = rules or LastHopRules()
        self._stop_plan = stop_plan or StopPlan()
        self._quiet = quiet or QuietPeriods()
        self._limits = limits
        self._body_bytes = body_bytes or BodyBytes()
        self._queues: dict[UpstreamRun, SlotQueue] = {}
        self._no_reuse_until_s: dict[UpstreamRun, float] = {}
        # One future for each waiting request; its result is whether the request got a slot in time.
        self._slot_waiters: dict[Ticket, asyncio.Future[bool]] = {}

    @property
    def busy(self) -> int:
        """Number of requests that upstreams work on."""
        return sum(queue.busy for queue in self._queues.values())

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(len(queue) for queue in self._queues.values())

    def forecast(self, upstream: Upstream) -> tuple[float, float]:
        """Return the wait and service time in seconds that a new request can expect."""
        now_s = self._clock.monotonic_s()
        candidates = self._candidates(now_s, upstream)
        return min((self._exact_forecast(now_s, each) for each in candidates), key=sum)

    def service_times(self) -> Mapping[str, float]:
        """Return the mean service time in seconds of each upstream that was used."""
        return {run.upstream_id: queue.service_s for run, queue in self._queues.items()}

    def remove_gone_queues(self) -> None:
        """Remove the queues of upstreams that are gone; their waiting requests are refused."""
        now_s = self._clock.monotonic_s()
        for run, queue in list(self._queues.items()):
            gone = self._upstreams.standing(now_s, run.upstream_id, run.born) is Standing.GONE
            if gone:
                for ticket in queue.drain():
                    self._end_wait(ticket, False)
                if not queue.busy:
                    del self._queues[run]
                    self._no_reuse_until_s.pop(run, None)

    def refuse_waiting(self) -> None:
        """Refuse all requests that wait for a slot."""
        for queue in self._queues.values():
            for ticket in queue.drain():
                self._end_wait(ticket, False)

    def retain(self, known: Container[UpstreamRun]) -> None:
        """Remove what is kept of all upstreams but the known ones."""
        self._load_tracker.retain(known)
        self._quiet.retain(known)

    async def run(self, call: Call, upstream: Upstream) -> Attempt:
        """Send a request to an upstream and return the result; cancelling closes the connection."""
        while True:
            if (refusal := self._path.refusal()) is not None:
                return refusal
            now_s = self._clock.monotonic_s()
            quiet_s = self._quiet_s(now_s, upstream)
            if quiet_s > 0.0:
                attempt = not_run(Reason.UPSTREAM_QUIET, quiet_s)
                break
            upstream = self._choose(now_s, call, upstream)
            attempt = await self._queue_and_send(now_s, call, upstream)
            # Another upstream may have room if the period began while the request waited.
            if attempt.reason is not Reason.UPSTREAM_QUIET:
                break
        wait_s, service_s = self.forecast(upstream)
        # The forecast is computed after the answer, since it is meant for the next request.
        return attrs.evolve(
            attempt, wait_s=wait_s, service_s=service_s, upstream_id=upstream.run.upstream_id
        )

    def _quiet_s(self, now_s: float, upstream: Upstream) -> float:
        """Return how long all upstreams that may be chosen want no requests, in seconds."""
        candidates = self._candidates(now_s, upstream)
        return min(self._quiet.left_s(now_s, each.run) for each in candidates)

    def _choose(self, now_s: float, call: Call, upstream: Upstream) -> Upstream:
        """Return the upstream that is expected to answer first, among those that may be chosen."""
        candidates = [
            each
            for each in self._candidates(now_s, upstream)
            if self._quiet.left_s(now_s, each.run) == 0.0
        ]
        if len(candidates) == 1:
            return candidates[0]
        choice = self._load_tracker.choose(
            now_s,
            candidates,
            lambda _: 0,
            Demand(call.target_time_s - now_s, call.deadline_s - now_s, call.body_bytes),
            lambda each: self._exact_forecast(now_s, each),
            call.tried,
        )
        return choice.upstream if choice is not None else candidates[0]

    def _exact_forecast(self, now_s: float, upstream: Upstream) -> tuple[float, float]:
        wait_s, service_s = self._queue(upstream).forecast(now_s)
        cold_s = self._limits.wait_s(now_s, upstream) if self._limits is not None else 0.0
        return self._quiet.left_s(now_s, upstream.run) + max(cold_s, wait_s), service_s

    async def _queue_and_send(self, now_s: float, call: Call, upstream: Upstream) -> Attempt:
        queue = self._queue(upstream)
        if (limited := self._limit(now_s, call, upstream)) is not None:
            return limited
        ticket = Ticket(call.priority, call.started_s, call.target_time_s, call.deadline_s)
        decision = queue.offer(now_s, ticket)
        if isinstance(decision, Refused):
            return not_run(decision.reason, decision.retry_after_s)
        if not isinstance(decision, Admitted) and not await self._wait_for_slot(
            queue, ticket, call
        ):
            return self._refuse_waited(call, upstream, queue)
        attempt = self._path.explain(await self._send(call, upstream, queue))
        ended_s = self._clock.monotonic_s()
        record_attempt(self._load_tracker, ended_s, call, upstream.run, attempt)
        return attempt

    def _limit(self, now_s: float, call: Call, upstream: Upstream) -> Attempt | None:
        """Return the refusal of a request that the upstream may not hold now, or None."""
        cold = self._limits.refusal(now_s, upstream) if self._limits is not None else None
        if cold is not None or self._body_bytes.has_room(upstream.run, call.body_bytes):
            return cold
        return not_run(Reason.QUEUE_FULL, self._queue(upstream).service_s)

    def _refuse_waited(self, call: Call, upstream: Upstream, queue: SlotQueue) -> Attempt:
        """Return the refusal of a request that waited in vain."""
        if (refusal := self._path.refusal()) is not None:
            return refusal
        now_s = self._clock.monotonic_s()
        refusal = self._refusal(now_s, call, upstream)
        if now_s < call.deadline_s and refusal is not None:
            return refusal
        wait_s = queue.wait_s(now_s)
        has_time_left = now_s + wait_s + queue.service_s < call.deadline_s
        reason = Reason.QUEUE_FULL if has_time_left else Reason.DEADLINE_PASSED_IN_QUEUE
        return not_run(reason, wait_s)

    def _queue(self, upstream: Upstream) -> SlotQueue:
        queue = self._queues.get(upstream.run)
        if queue is None:
            queue = self._queues[upstream.run] = SlotQueue(
                upstream.slots, self._queue_rules, lambda: self._quiet.limit(upstream.run)
            )
        return queue

    async def _wait_for_slot(self, queue: SlotQueue, ticket: Ticket, call: Call) -> bool:
        """Wait for a slot; return False if none is free in time."""
        waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._slot_waiters[ticket] = waiter
        until_s = min(ticket.wait_until_s, call.deadline_s - queue.service_s / 2)
        try:
            await asyncio.wait([waiter], timeout=max(0.0, until_s - self._clock.monotonic_s()))
            return waiter.done() and waiter.result()
        finally:
            self._slot_waiters.pop(ticket, None)
            if not waiter.done():
                queue.cancel(ticket)
            elif waiter.result() and asyncio.current_task().cancelling():
                self._free_slot(queue, None)

    def _end_wait(self, ticket: Ticket, got_slot: bool) -> bool:
        waiter = self._slot_waiters.pop(ticket, None)
        if waiter is None or waiter.done():
            return False
        waiter.set_result(got_slot)
        return True

    def _free_slot(self, queue: SlotQueue, service_s: float | None) -> None:
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
            if not call.ends_before_exit(sent_s, self._stop_plan, lambda: (0.0, queue.service_s)):
                return not_run(Reason.SHUTTING_DOWN)
            if (limited := self._limit(sent_s, call, upstream)) is not None:
                return limited
            attempt = await self._counted_exchange(call, upstream)
            took_s = self._clock.monotonic_s() - sent_s
            if attempt.outcome is Outcome.ANSWERED or attempt.reason is Reason.TIMED_OUT:
                # If more requests are in flight than it has slots, some wait inside the upstream.
                service_s = took_s * queue.slots / max(queue.slots, busy)
            self._metrics.upstream(upstream.pool, attempt, took_s)
            self._update_quiet(upstream, queue, sent_s, attempt)
            return attempt
        finally:
            self._free_slot(queue, service_s)

    def _update_quiet(
        self, upstream: Upstream, queue: SlotQueue, sent_s: float, attempt: Attempt
    ) -> None:
        """Begin the quiet period that an answer asks for, or let more load return after one."""
        run, now_s = upstream.run, self._clock.monotonic_s()
        if attempt.outcome is Outcome.ANSWERED:
            self._quiet.on_answer(run, sent_s, queue.slots)
        elif attempt.reason is Reason.UPSTREAM_SHED and attempt.retry_after_s > 0.0:
            if self._quiet.begin(now_s, run, attempt.retry_after_s):
                extra = {
                    "upstream": run.upstream_id,
                    "born": run.born,
                    "for_s": round(attempt.retry_after_s, 3),
                }
                _LOG.info("upstream_quiet", extra=extra)
            for ticket in queue.drain():
                self._end_wait(ticket, False)

    async def _counted_exchange(self, call: Call, upstream: Upstream) -> Attempt:
        """Send a request and count it and its bytes while the upstream holds it."""
        if self._limits is not None:
            self._limits.on_sent(self._clock.monotonic_s(), upstream)
        size_bytes = call.body_bytes
        self._body_bytes.begin(upstream.run, size_bytes)
        try:
            return await self._exchange(call, upstream)
        finally:
            call.is_at_upstream = False
            self._body_bytes.end(upstream.run, size_bytes)

    async def _exchange(self, call: Call, upstream: Upstream) -> Attempt:
        names, rules = self._names, self._rules
        left_s = call.deadline_s - self._clock.monotonic_s()
        if left_s < rules.min_left_s:
            return not_run(Reason.DEADLINE_PASSED_IN_QUEUE)
        refusal = self._refusal(self._clock.monotonic_s(), call, upstream)
        if refusal is not None:
            return refusal
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
            complete_body(call.body) if call.body or call.method in ("POST", "PUT") else None,
            left_s,
            # A late answer to an earlier attempt has the same id and could be taken for this one's.
            fresh_connection=call.repeated or self._avoids_kept_connections(upstream),
            max_idle_s=rules.idempotent_idle_s if call.idempotent else rules.non_idempotent_idle_s,
        )
        result = await self._path.watch(
            call,
            upstream,
            self._queue(upstream).service_s,
            lambda may_send: fetch(
                self._transport,
                exchange,
                may_send,
                lambda _, headers: find_header(headers, names.request_id) == call.request_id,
            ),
            lambda: self._begin_send(call, upstream),
        )
        lost = not (result.status or result.timed_out or result.invalid_head)
        if result.reused and result.sent and lost:
            self._on_kept_connection_lost(upstream)
        attempt = classify(names, call, upstream.run, result, lambda: self._unsent(call, upstream))
        now_s = self._clock.monotonic_s()
        record_leaving(self._upstreams, now_s, attempt.leaving)
        if result.complete and result.status != 421:  # 421 may come from another process
            record_load(self._queue(upstream), now_s, upstream.run, result.header(names.load))
        return attempt

    def _begin_send(self, call: Call, upstream: Upstream) -> bool:
        """Return whether a request may be sent; called right before its first byte is."""
        if self._refusal(self._clock.monotonic_s(), call, upstream) is not None:
            return False
        call.passed_on = call.is_at_upstream = True
        return True

    def _unsent(self, call: Call, upstream: Upstream) -> Attempt:
        """Return the refusal of a request of which no byte was sent."""
        refusal = self._refusal(self._clock.monotonic_s(), call, upstream)
        return refusal or not_run(Reason.CONNECT_FAILED)

    def _avoids_kept_connections(self, upstream: Upstream) -> bool:
        until_s = self._no_reuse_until_s.get(upstream.run, 0.0)
        return self._clock.monotonic_s() < until_s

    def _on_kept_connection_lost(self, upstream: Upstream) -> None:
        """Note that an upstream broke a kept connection before it answered."""
        if not self._avoids_kept_connections(upstream):
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

    def _refusal(self, now_s: float, call: Call, upstream: Upstream) -> Attempt | None:
        """Return the refusal of a request that may not be sent now, or None if it may."""
        if call.has_sender_left():
            return not_run(Reason.CALLER_LEFT)
        run = upstream.run
        standing = self._upstreams.standing(now_s, run.upstream_id, run.born)
        if standing is Standing.GONE or now_s >= call.deadline_s:
            return not_run(Reason.UPSTREAM_DRAINING)
        if standing is not Standing.READY and call.key is None:
            return not_run(Reason.UPSTREAM_DRAINING)
        quiet_s = self._quiet.left_s(now_s, run)
        return not_run(Reason.UPSTREAM_QUIET, quiet_s) if quiet_s > 0.0 else None
