"""Last hop: request ids, admission, authority check and forwarding to the owner."""

import asyncio
import functools
import logging

import attrs
import xxhash

from fireflyferry.admission import QueueLimits, StopPlan
from fireflyferry.edges import Clock, UpstreamControl
from fireflyferry.edges.base import UpstreamUnavailableError
from fireflyferry.entry import headers as router_headers
from fireflyferry.entry.answers import AnswerReceiver
from fireflyferry.entry.calls import Call
from fireflyferry.entry.interfaces import LocalOwners, Location, TrafficObserver, UpstreamTarget
from fireflyferry.entry.limits import RequestLimits
from fireflyferry.entry.seen_ids import SeenIds
from fireflyferry.entry.slots import SlotGate
from fireflyferry.retries import (
    Answered,
    BadRequestIdError,
    InFlight,
    NewId,
    RequestIdTable,
    Verdict,
)
from fireflyferry.routing import encode_header_text
from fireflyferry.tables import Pool
from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.transport.curl import CurlTransport
from fireflyferry.transport.exchanges import Exchange
from fireflyferry.transport.sinks import AnswerSink, RecordingSink

__all__ = ["LastHop"]

logger = logging.getLogger(__name__)


def _not_run(reason: Reason) -> Verdict:
    return Verdict(Outcome.NOT_RUN, reason)


@attrs.define(eq=False)
class _Cleanup:
    """A request with an unknown outcome whose cancellation is not confirmed yet."""

    call: Call
    location: Location
    target: UpstreamTarget
    slot_kept_until_s: float
    slot_occupied: bool = True


@attrs.define(eq=False)
class LastHop:
    """Forwards requests to upstreams, for the groups that this VM leads."""

    _clock: Clock
    _owners: LocalOwners
    _observer: TrafficObserver
    _upstream_control: UpstreamControl
    _transport: CurlTransport
    _limits: RequestLimits
    _vm_id: str
    _stop_plan: StopPlan
    gate: SlotGate
    seen_ids: SeenIds
    _in_flight: dict[tuple[str, str], int] = attrs.field(factory=dict)
    _queue_limits: dict[str, tuple[Pool, QueueLimits]] = attrs.field(factory=dict)
    _cleanups: dict[asyncio.Task[None], str] = attrs.field(factory=dict)
    _gone_upstreams: set[str] = attrs.field(factory=set)

    def in_flight(self, upstream_id: str, unit: str) -> int:
        """Return the number of requests for a unit that an upstream may be working on."""
        return self._in_flight.get((upstream_id, unit), 0)

    def upstream_gone(self, upstream_id: str) -> None:
        """Refuse requests that wait for an upstream that is gone, and end cancellations to it."""
        self.gate.drop_queue(upstream_id)
        self._gone_upstreams.add(upstream_id)
        for task, name in list(self._cleanups.items()):
            if name == upstream_id:
                task.cancel()

    @property
    def sent(self) -> int:
        """Number of requests that upstreams may be working on."""
        return sum(self._in_flight.values())

    async def run(self, call: Call, location: Location, pool: Pool, sink: AnswerSink) -> Verdict:
        """Handle one attempt; if it is answered, the sink is finished on return."""
        self._observer.on_request(call.pool, call.key, call.tenant)
        if call.idempotent:
            return await self._forward_with_slot(call, location, pool, sink)
        table = self.seen_ids.table(location.group, location.term)
        try:
            id_state = self._begin_request_id(table, call, location)
        except BadRequestIdError:
            return _not_run(Reason.BAD_REQUEST_ID)
        if isinstance(id_state, InFlight):
            return Verdict(Outcome.UNKNOWN, Reason.DUPLICATE_IN_FLIGHT)
        if isinstance(id_state, Answered):
            return _replay(id_state, sink)
        if not isinstance(id_state, NewId):
            return Verdict(Outcome.UNKNOWN, Reason.OUTCOME_NOT_RECORDED)
        return await self._run_once(call, location, pool, sink, table)

    def _begin_request_id(self, table: RequestIdTable, call: Call, location: Location) -> object:
        _, _, rest = location.unit.partition(":")
        identity = "\0".join((call.tenant, call.method, call.target, call.key))
        return table.begin(
            self._clock.monotonic_s(),
            self._clock.wall_s(),
            call.request_id,
            bucket=int(rest.partition(":")[0]),
            fingerprint=xxhash.xxh3_64_intdigest(identity.encode("utf-8", "surrogateescape")),
            first_attempt=not call.id_from_caller,
        )

    async def _run_once(
        self, call: Call, location: Location, pool: Pool, sink: AnswerSink, table: RequestIdTable
    ) -> Verdict:
        recorder = RecordingSink(sink, self._limits.max_stored_answer_bytes)
        outcome = Outcome.UNKNOWN
        try:
            verdict = await self._forward_with_slot(call, location, pool, recorder)
            outcome = verdict.outcome
            return verdict
        finally:
            now_s = self._clock.monotonic_s()
            table.finish(now_s, call.request_id, outcome, recorder.answer)

    async def _forward_with_slot(
        self, call: Call, location: Location, pool: Pool, sink: AnswerSink
    ) -> Verdict:
        target = self._owners.owner(self._clock.monotonic_s(), location.group, location.unit)
        if isinstance(target, Reason):
            return _not_run(target)
        upstream_id = target.upstream_id
        limits = self._queue_limits_of(pool)
        refused = await self.gate.acquire(
            upstream_id, target.slots, limits, call.tenant, call.deadline_s
        )
        if refused is not None:
            return _not_run(refused)
        current = self._begin_forward(call, location, upstream_id)
        if isinstance(current, Reason):
            self.gate.release(upstream_id)
            return _not_run(current)
        return await self._forward(call, location, current, sink)

    def _begin_forward(
        self, call: Call, location: Location, upstream_id: str
    ) -> UpstreamTarget | Reason:
        """Look up the owner again, since it or its fence may have changed while waiting."""
        now_s = self._clock.monotonic_s()
        current = self._owners.begin_forward(now_s, location.group, location.unit, call.key)
        if isinstance(current, Reason):
            return current
        refused = None
        if current.upstream_id != upstream_id:
            refused = Reason.NOT_OWNER
        elif not call.limit_deadline(now_s, self._stop_plan):
            refused = Reason.SHUTTING_DOWN
        elif now_s >= call.deadline_s:
            refused = Reason.DEADLINE_PASSED_IN_QUEUE
        if refused is not None:
            self._end_forward(call, location, current)
            return refused
        self._gone_upstreams.discard(upstream_id)
        return current

    def _end_forward(self, call: Call, location: Location, target: UpstreamTarget) -> None:
        self._owners.end_forward(location.group, target.upstream_id, location.unit, call.key)

    async def _forward(
        self, call: Call, location: Location, target: UpstreamTarget, sink: AnswerSink
    ) -> Verdict:
        started_s = self._clock.monotonic_s()
        self._change_in_flight(target.upstream_id, location.unit, 1)
        receiver = AnswerReceiver(
            sink,
            call.method,
            call.attempt_id,
            from_peer=False,
            may_send=lambda: self._owners.may_forward(self._clock.monotonic_s(), location.group),
        )
        exchange = self._make_exchange(call, location, target, call.deadline_s - started_s)
        verdict = Verdict(Outcome.UNKNOWN)
        call.passed_on = True
        try:
            verdict = receiver.verdict(await self._transport.run(exchange, receiver))
        finally:
            self._end_exchange(
                call, location, target, verdict, self._clock.monotonic_s() - started_s
            )
        return verdict

    def _end_exchange(
        self,
        call: Call,
        location: Location,
        target: UpstreamTarget,
        verdict: Verdict,
        service_s: float,
    ) -> None:
        self._observer.on_result(target.upstream_id, verdict.outcome, service_s)
        if verdict.outcome is not Outcome.UNKNOWN or verdict.reason is Reason.OWNERSHIP_LAPSED:
            answered = verdict.outcome is Outcome.ANSWERED
            self._release_slot(target, location, service_s if answered else None)
            self._end_forward(call, location, target)
            return
        slot_kept_until_s = (
            max(call.deadline_s, self._clock.monotonic_s()) + self._limits.cancel_grace_s
        )
        cleanup = _Cleanup(call, location, target, slot_kept_until_s)
        task = asyncio.ensure_future(self._cancel_until_confirmed(cleanup))
        self._cleanups[task] = target.upstream_id
        # A done callback also runs for a task that is cancelled before its first step.
        task.add_done_callback(functools.partial(self._on_cleanup_done, cleanup))

    def _on_cleanup_done(self, cleanup: _Cleanup, task: asyncio.Task[None]) -> None:
        del self._cleanups[task]
        self._release_slot_once(cleanup)
        # A cleanup that failed or was stopped has not confirmed that the request is cancelled.
        error = None if task.cancelled() else task.exception()
        if error is not None:
            fields = {"upstream": cleanup.target.upstream_id, "error": repr(error)}
            logger.error("cancellation failed", extra=fields)
        finished = not task.cancelled() and error is None
        if finished or cleanup.target.upstream_id in self._gone_upstreams:
            self._end_forward(cleanup.call, cleanup.location, cleanup.target)

    def _release_slot_once(self, cleanup: _Cleanup) -> None:
        if cleanup.slot_occupied:
            cleanup.slot_occupied = False
            self._release_slot(cleanup.target, cleanup.location, None)

    async def _cancel_until_confirmed(self, cleanup: _Cleanup) -> None:
        """Cancel a request at its upstream, and only then release its slot.

        A frozen upstream confirms nothing and still has the request, so the slot stays occupied
        until the upstream confirms, is gone, or `cancel_grace_s` has passed after the deadline. An
        upstream without checks (`checks` is `none`) may execute the request even after that, so
        cancellations are sent until it confirms or is gone.
        """
        target = cleanup.target
        while not await self._try_cancel(cleanup.call, target):
            # wait_for loses a cancellation of this task that arrives just as its call ends, so
            # this also checks whether the upstream is gone.
            gone = target.upstream_id in self._gone_upstreams
            if gone or self._clock.monotonic_s() >= cleanup.slot_kept_until_s:
                self._release_slot_once(cleanup)
                if gone or target.checks != "none":
                    return
            await asyncio.sleep(self._limits.cancel_retry_delay_s)

    async def _try_cancel(self, call: Call, target: UpstreamTarget) -> bool:
        cancel = self._upstream_control.cancel(target.address, call.attempt_id)
        try:
            await asyncio.wait_for(cancel, self._limits.cancel_timeout_s)
        except (TimeoutError, UpstreamUnavailableError) as error:
            fields = {"upstream": target.upstream_id, "error": repr(error)}
            logger.info("cancellation not confirmed", extra=fields)
            return False
        return True

    def _release_slot(
        self, target: UpstreamTarget, location: Location, service_s: float | None
    ) -> None:
        self._change_in_flight(target.upstream_id, location.unit, -1)
        self.gate.release(target.upstream_id, service_s)

    def _change_in_flight(self, upstream_id: str, unit: str, change: int) -> None:
        count = self._in_flight.get((upstream_id, unit), 0) + change
        if count:
            self._in_flight[upstream_id, unit] = count
        else:
            del self._in_flight[upstream_id, unit]

    def _make_exchange(
        self, call: Call, location: Location, target: UpstreamTarget, remaining_s: float
    ) -> Exchange:
        headers = [
            *call.headers,
            (router_headers.POOL, call.pool),
            (router_headers.KEY, encode_header_text(call.key)),
            (router_headers.UNIT, encode_header_text(location.unit)),
            (router_headers.FENCE, str(target.fence)),
            (router_headers.DEADLINE_MS, str(max(1, int(remaining_s * 1000)))),
            (router_headers.REQUEST_ID, call.attempt_id),
            (router_headers.TENANT, call.tenant),
            (router_headers.GROUP, str(location.group)),
            (router_headers.TERM, str(target.term)),
            (router_headers.ATTEMPT, str(call.attempt)),
            (router_headers.VM, self._vm_id),
        ]
        return Exchange(
            target.address,
            call.method,
            call.target,
            headers,
            call.body,
            remaining_s,
            fresh_connection=not call.idempotent,
        )

    def _queue_limits_of(self, pool: Pool) -> QueueLimits:
        cached = self._queue_limits.get(pool.name)
        if cached is None or cached[0] is not pool:
            limits = QueueLimits(pool.queue_length, pool.queue_wait_ms / 1000, pool.tenants)
            cached = self._queue_limits[pool.name] = (pool, limits)
        return cached[1]


def _replay(id_state: Answered, sink: AnswerSink) -> Verdict:
    sink.start(id_state.answer.status, list(id_state.answer.headers))
    if id_state.answer.body:
        sink.write(id_state.answer.body)
    sink.finish()
    return Verdict(Outcome.ANSWERED)
