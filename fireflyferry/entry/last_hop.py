"""Last hop: request ids, admission, authority check and forwarding to the owner."""

import asyncio
import functools
import logging

import attrs
import xxhash

from fireflyferry.admission import QueueLimits
from fireflyferry.edges import Clock, UpstreamControl
from fireflyferry.edges.base import UpstreamUnavailableError
from fireflyferry.entry import headers as names
from fireflyferry.entry.answers import AnswerReceiver
from fireflyferry.entry.calls import Call
from fireflyferry.entry.interfaces import LocalOwners, Location, Observer, UpstreamTarget
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
from fireflyferry.transport.curl import CurlTransport, Exchange
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
    until_s: float
    slot_taken: bool = True


@attrs.define(eq=False)
class LastHop:
    """Forwards requests for the groups that this VM leads."""

    _clock: Clock
    _owners: LocalOwners
    _observer: Observer
    _control: UpstreamControl
    _transport: CurlTransport
    _limits: RequestLimits
    _vm_id: str
    gate: SlotGate
    seen: SeenIds
    _in_flight: dict[tuple[str, str], int] = attrs.field(factory=dict)
    _queue_limits: dict[str, tuple[Pool, QueueLimits]] = attrs.field(factory=dict)
    _cleanups: dict[asyncio.Task[None], str] = attrs.field(factory=dict)
    _gone: set[str] = attrs.field(factory=set)

    def in_flight(self, upstream_id: str, unit: str) -> int:
        """Count requests for a unit that an upstream may be working on."""
        return self._in_flight.get((upstream_id, unit), 0)

    def upstream_gone(self, upstream_id: str) -> None:
        """Refuse what waits for an upstream that is gone, and stop cancelling there."""
        self.gate.drop(upstream_id)
        self._gone.add(upstream_id)
        for task, name in list(self._cleanups.items()):
            if name == upstream_id:
                task.cancel()

    @property
    def sent(self) -> int:
        """Requests that upstreams may be working on."""
        return sum(self._in_flight.values())

    async def run(self, call: Call, location: Location, pool: Pool, sink: AnswerSink) -> Verdict:
        """Handle one attempt; on an answer, the sink is finished when this returns."""
        self._observer.on_request(call.pool, call.key, call.tenant)
        if call.idempotent:
            return await self._admit(call, location, pool, sink)
        table = self.seen.table(location.group, location.term)
        try:
            seen = self._begin(table, call, location)
        except BadRequestIdError:
            return _not_run(Reason.BAD_REQUEST_ID)
        if isinstance(seen, InFlight):
            return Verdict(Outcome.UNKNOWN, Reason.DUPLICATE_IN_FLIGHT)
        if isinstance(seen, Answered):
            return _replay(seen, sink)
        if not isinstance(seen, NewId):
            return Verdict(Outcome.UNKNOWN, Reason.OUTCOME_NOT_RECORDED)
        return await self._run_once(call, location, pool, sink, table)

    def _begin(self, table: RequestIdTable, call: Call, location: Location) -> object:
        _, _, rest = location.unit.partition(":")
        identity = "\0".join((call.tenant, call.method, call.target, call.key))
        return table.begin(
            self._clock.monotonic_s(),
            self._clock.wall_s(),
            call.request_id,
            bucket=int(rest.partition(":")[0]),
            fingerprint=xxhash.xxh3_64_intdigest(identity.encode("utf-8", "surrogateescape")),
            first_attempt=not call.caller_id,
        )

    async def _run_once(
        self, call: Call, location: Location, pool: Pool, sink: AnswerSink, table: RequestIdTable
    ) -> Verdict:
        recorder = RecordingSink(sink, self._limits.small_answer_bytes)
        outcome = Outcome.UNKNOWN
        try:
            verdict = await self._admit(call, location, pool, recorder)
            outcome = verdict.outcome
            return verdict
        finally:
            now_s = self._clock.monotonic_s()
            table.finish(now_s, call.request_id, outcome, recorder.answer)

    async def _admit(self, call: Call, location: Location, pool: Pool, sink: AnswerSink) -> Verdict:
        target = self._owners.owner(self._clock.monotonic_s(), location.group, location.unit)
        if isinstance(target, Reason):
            return _not_run(target)
        upstream_id = target.upstream_id
        limits = self._limits_of(pool)
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
        """Check the owner again, since it or its fence may have changed while waiting."""
        now_s = self._clock.monotonic_s()
        current = self._owners.begin_forward(now_s, location.group, location.unit, call.key)
        if isinstance(current, Reason):
            return current
        refused = None
        if current.upstream_id != upstream_id:
            refused = Reason.NOT_OWNER
        elif now_s >= call.deadline_s:
            refused = Reason.DEADLINE_PASSED_IN_QUEUE
        if refused is not None:
            self._end_forward(call, location, current)
            return refused
        self._gone.discard(upstream_id)
        return current

    def _end_forward(self, call: Call, location: Location, target: UpstreamTarget) -> None:
        self._owners.end_forward(location.group, target.upstream_id, location.unit, call.key)

    async def _forward(
        self, call: Call, location: Location, target: UpstreamTarget, sink: AnswerSink
    ) -> Verdict:
        started_s = self._clock.monotonic_s()
        self._count(target.upstream_id, location.unit, 1)
        receiver = AnswerReceiver(
            sink,
            call.method,
            call.attempt_id,
            from_peer=False,
            may_send=lambda: self._owners.may_forward(self._clock.monotonic_s(), location.group),
        )
        exchange = self._exchange(call, location, target, call.deadline_s - started_s)
        verdict = Verdict(Outcome.UNKNOWN)
        try:
            verdict = receiver.verdict(await self._transport.run(exchange, receiver))
        finally:
            self._settle(call, location, target, verdict, self._clock.monotonic_s() - started_s)
        return verdict

    def _settle(
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
            self._free(target, location, service_s if answered else None)
            self._end_forward(call, location, target)
            return
        until_s = max(call.deadline_s, self._clock.monotonic_s()) + self._limits.cancel_hold_s
        cleanup = _Cleanup(call, location, target, until_s)
        task = asyncio.ensure_future(self._cancel(cleanup))
        self._cleanups[task] = target.upstream_id
        # A callback also runs for a task that is cancelled before its first step.
        task.add_done_callback(functools.partial(self._cleaned, cleanup))

    def _cleaned(self, cleanup: _Cleanup, task: asyncio.Task[None]) -> None:
        del self._cleanups[task]
        self._free_slot(cleanup)
        # A clean-up that was stopped for another reason has confirmed nothing.
        error = None if task.cancelled() else task.exception()
        if error is not None:
            fields = {"upstream": cleanup.target.upstream_id, "error": repr(error)}
            logger.error("cancellation failed", extra=fields)
        finished = not task.cancelled() and error is None
        if finished or cleanup.target.upstream_id in self._gone:
            self._end_forward(cleanup.call, cleanup.location, cleanup.target)

    def _free_slot(self, cleanup: _Cleanup) -> None:
        if cleanup.slot_taken:
            cleanup.slot_taken = False
            self._free(cleanup.target, cleanup.location, None)

    async def _cancel(self, cleanup: _Cleanup) -> None:
        """Stop work that nobody waits for, and only then free its slot.

        A frozen upstream confirms nothing and still has the work, so the slot stays taken until
        it answers, is gone, or `cancel_hold_s` has passed after the deadline. The request to an
        upstream that checks nothing may still run after that, so it is cancelled until the
        upstream confirms or is gone.
        """
        target = cleanup.target
        while not await self._cancelled(cleanup.call, target):
            # wait_for drops a cancellation of this task that comes as its call ends, so the news
            # that the upstream is gone is also looked up here.
            gone = target.upstream_id in self._gone
            if gone or self._clock.monotonic_s() >= cleanup.until_s:
                self._free_slot(cleanup)
                if gone or target.checks != "none":
                    return
            await asyncio.sleep(self._limits.cancel_pause_s)

    async def _cancelled(self, call: Call, target: UpstreamTarget) -> bool:
        cancel = self._control.cancel(target.address, call.attempt_id)
        try:
            await asyncio.wait_for(cancel, self._limits.cancel_wait_s)
        except (TimeoutError, UpstreamUnavailableError) as error:
            fields = {"upstream": target.upstream_id, "error": repr(error)}
            logger.info("cancellation not confirmed", extra=fields)
            return False
        return True

    def _free(self, target: UpstreamTarget, location: Location, service_s: float | None) -> None:
        self._count(target.upstream_id, location.unit, -1)
        self.gate.release(target.upstream_id, service_s)

    def _count(self, upstream_id: str, unit: str, change: int) -> None:
        left = self._in_flight.get((upstream_id, unit), 0) + change
        if left:
            self._in_flight[upstream_id, unit] = left
        else:
            del self._in_flight[upstream_id, unit]

    def _exchange(
        self, call: Call, location: Location, target: UpstreamTarget, remaining_s: float
    ) -> Exchange:
        headers = [
            *call.headers,
            (names.POOL, call.pool),
            (names.KEY, encode_header_text(call.key)),
            (names.UNIT, encode_header_text(location.unit)),
            (names.FENCE, str(target.fence)),
            (names.DEADLINE_MS, str(max(1, int(remaining_s * 1000)))),
            (names.REQUEST_ID, call.attempt_id),
            (names.TENANT, call.tenant),
            (names.GROUP, str(location.group)),
            (names.TERM, str(target.term)),
            (names.ATTEMPT, str(call.attempt)),
            (names.VM, self._vm_id),
        ]
        return Exchange(
            target.address,
            call.method,
            call.target,
            headers,
            call.body,
            remaining_s,
            fresh=not call.idempotent,
        )

    def _limits_of(self, pool: Pool) -> QueueLimits:
        known = self._queue_limits.get(pool.name)
        if known is None or known[0] is not pool:
            limits = QueueLimits(pool.queue_length, pool.queue_wait_ms / 1000, pool.tenants)
            known = self._queue_limits[pool.name] = (pool, limits)
        return known[1]


def _replay(seen: Answered, sink: AnswerSink) -> Verdict:
    sink.start(seen.answer.status, list(seen.answer.headers))
    if seen.answer.body:
        sink.write(seen.answer.body)
    sink.finish()
    return Verdict(Outcome.ANSWERED)
