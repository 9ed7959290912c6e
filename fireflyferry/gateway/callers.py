"""Handles requests of callers: routing, deadlines, answers and refusals."""

import logging

import attrs
from tornado.http1connection import HTTP1Connection

from fireflyferry.balancing import TrafficSplitter
from fireflyferry.edges import Clock
from fireflyferry.gateway.calls import Attempt, Call, not_run
from fireflyferry.gateway.deadlines import RouteDeadlines
from fireflyferry.gateway.edges import HeaderNames
from fireflyferry.gateway.exchange import BufferedExchange, ClosingConnections, InFlightRequests
from fireflyferry.gateway.first_hop import FirstHop
from fireflyferry.gateway.headers import answer_headers, host_of, origin_form, request_headers
from fireflyferry.gateway.metrics import GatewayMetrics
from fireflyferry.gateway.sampling import KeySampler
from fireflyferry.gateway.state import GatewayState
from fireflyferry.keyranges import LAST_KEY
from fireflyferry.routing.hosts import HostRoute
from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.telemetry.reasons import REASONS
from fireflyferry.transport.memory_account import head_memory_bytes

__all__ = ["CallerExchange", "CallerServices"]

_LOG = logging.getLogger(__name__)

# Time for the network, subtracted from each deadline, since a caller measures from the first byte
# that it sends until it has received the answer.
NETWORK_ALLOWANCE_S = 0.02
MAX_DEADLINE_MS = 86_400_000
MAX_BODY_BYTES_UNCONFIGURED = 1 << 20  # until the first configuration is loaded
NO_TABLES_RETRY_AFTER_S = 0.5  # Retry-After until the first configuration is loaded


@attrs.define(eq=False)
class CallerServices:
    """Dependencies that all exchanges with callers share."""

    clock: Clock
    state: GatewayState
    names: HeaderNames
    first_hop: FirstHop
    sampler: KeySampler
    metrics: GatewayMetrics
    splitter: TrafficSplitter
    closing: ClosingConnections
    deadlines: RouteDeadlines = attrs.field(factory=RouteDeadlines)
    in_flight: InFlightRequests = attrs.field(factory=InFlightRequests)


class CallerExchange(BufferedExchange):
    """One request of a caller and its answer."""

    def __init__(self, connection: HTTP1Connection, services: CallerServices):
        super().__init__(connection, services.in_flight)
        self._services = services
        self._started_s = 0.0
        self._call: Call | None = None

    def on_head(self) -> None:
        """Refuse a request whose headers or body exceed the limits, before the body is read."""
        # The exchange was created when the connection began to wait for a request, maybe long ago.
        self._started_s = self._services.clock.monotonic_s()
        config = self._services.state.config
        if config is None:
            return
        limits = config.limits
        content_length = self._headers.get("Content-Length", "0")
        sizes = [len(name) + len(value) + 4 for name, value in self._headers.get_all()]
        header_bytes = sum(sizes)
        self._head_memory_bytes = head_memory_bytes(len(sizes), header_bytes)
        if header_bytes + len(self._line.path) > limits.max_header_bytes:
            self._refuse(not_run(Reason.HEADER_TOO_LARGE))
        elif content_length.isdigit() and int(content_length) > limits.max_body_bytes:
            self._refuse(not_run(Reason.BODY_TOO_LARGE))

    def on_body_bytes(self, received_bytes: int) -> None:
        """Refuse a body in chunks, whose head does not name its length, above the limit."""
        config = self._services.state.config
        limit_bytes = config.limits.max_body_bytes if config else MAX_BODY_BYTES_UNCONFIGURED
        if received_bytes > limit_bytes:
            self._refuse(not_run(Reason.BODY_TOO_LARGE))

    def refuse_body(self, reason: Reason, retry_after_s: float) -> None:
        """Refuse the request as not run, since there is no memory for its body."""
        attempt = not_run(reason, retry_after_s)
        self._refuse(attempt)
        self._record_result(attempt)

    def release_body(self) -> None:
        """Drop the body after the request was handled."""
        super().release_body()
        if self._call is not None:
            self._call.release()

    def continues_without_sender(self) -> bool:
        """Return whether an upstream works on the request, which may run only once."""
        return self._call is not None and not self._call.may_be_cancelled

    async def handle(self) -> None:
        """Route the request and send the answer, the refusal or the unknown outcome."""
        services = self._services
        attempt: Attempt | None = None
        try:
            call = self._resolve()
            if isinstance(call, Attempt):
                attempt = call
            else:
                self._call = call
                attempt = await services.first_hop.run(call)
            self._send_result(attempt)
        finally:
            if attempt is None and self._is_broken_off:
                attempt = self._result_if_broken_off()
            self._record_result(attempt)

    def answer_broken_off(self) -> None:
        """Answer that the outcome is unknown, or that no upstream has received the request."""
        self._send_result(self._result_if_broken_off())

    def _result_if_broken_off(self) -> Attempt:
        if self._call is None:
            return not_run(Reason.SHUTTING_DOWN)
        return self._call.result_if_broken_off()

    def _resolve(self) -> Call | Attempt:
        """Return the call, or the refusal of a request that cannot be routed."""
        services, names = self._services, self._services.names
        state = services.state
        if services.in_flight.closed:
            return not_run(Reason.SHUTTING_DOWN)
        if state.config is None:
            return not_run(Reason.NO_TABLES, NO_TABLES_RETRY_AFTER_S)
        target, authority = origin_form(self._line.path)
        if authority:  # names the host in place of the header
            self._headers["Host"] = authority
        route = state.routes.match(host_of(self._headers), target.partition("?")[0])
        if route is None:
            return not_run(Reason.UNKNOWN_ROUTE)
        request_id = self._headers.get(names.request_id)
        if not request_id:
            return not_run(Reason.BAD_REQUEST_ID)
        deadline_ms = self._read_deadline_ms(route)
        if deadline_ms is None:
            return not_run(Reason.BAD_TIMEOUT)
        pool = services.splitter.choose(route.shares)
        pool_spec = state.config.pools.get(pool)
        key = self._read_key() if pool_spec is not None and pool_spec.keyed else None
        if pool_spec is not None and pool_spec.keyed:
            if key is None:
                return not_run(Reason.MISSING_KEY)
            services.sampler.on_key(pool, key)
        return self._make_call(route, target, request_id, deadline_ms, pool, key)

    def _make_call(
        self,
        route: HostRoute,
        target: str,
        request_id: str,
        deadline_ms: int,
        pool: str,
        key: int | None,
    ) -> Call:
        services, names = self._services, self._services.names
        age_s = services.deadlines.request_age_s(route.name, deadline_ms)
        now_s = self._started_s
        return Call(
            request_id=request_id,
            method=self._line.method,
            target=target,
            headers=request_headers(self._headers, (names.deadline_ms, names.expected_upstream)),
            body=self.take_body(),
            pool=pool,
            key=key,
            idempotent=route.idempotent,
            priority=route.priority,
            max_attempts=route.max_attempts,
            started_s=now_s - age_s,
            target_time_s=now_s - age_s + route.target_latency_s - NETWORK_ALLOWANCE_S,
            deadline_s=now_s + min(deadline_ms / 1000 - NETWORK_ALLOWANCE_S, route.timeout_s),
            returned=age_s > 0.0,
            received_s=now_s,
            allowed_regions=services.state.allowed_regions(route),
            has_sender_left=self.has_sender_left,
        )

    def _read_deadline_ms(self, route: HostRoute) -> int | None:
        value = self._headers.get(self._services.names.deadline_ms)
        if value is None:
            return int(route.timeout_s * 1000)
        if not (value.isascii() and value.isdigit() and 0 < int(value) <= MAX_DEADLINE_MS):
            return None
        return int(value)

    def _read_key(self) -> int | None:
        value = self._headers.get(self._services.names.key, "")
        if not (value.isascii() and value.isdigit() and len(value) <= 5):
            return None
        key = int(value)
        return key if key <= LAST_KEY else None

    def _send_result(self, attempt: Attempt) -> None:
        if attempt.answer is not None:
            headers = answer_headers(attempt.answer.headers)
            self._send(attempt.answer.status, headers, attempt.answer.body)
        else:
            self._refuse(attempt)

    def _refuse(self, attempt: Attempt) -> None:
        """Answer with the status of a refusal or of an unknown outcome."""
        assert attempt.reason is not None
        status = REASONS[attempt.reason].status
        headers = [("Content-Type", "text/plain")]
        request_id = self._headers.get(self._services.names.request_id)
        if request_id:
            headers.append((self._services.names.request_id, request_id))
        if status in (429, 503):
            headers.append(("Retry-After", f"{max(attempt.retry_after_s, 0.05):.3f}"))
        self._send(status, headers, f"{attempt.reason}\n".encode())

    def _send(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        closing, stream = self._services.closing, self._connection.stream
        if not closing.active:
            self.answer(status, headers, body)
            return
        written = self.answer(status, [*headers, ("Connection", "close")], body)
        if written is not None:
            closing.mark_closing(stream, written)

    def _record_result(self, attempt: Attempt | None) -> None:
        services, call = self._services, self._call
        took_s = services.clock.monotonic_s() - self._started_s
        outcome = str(attempt.outcome) if attempt is not None else "caller_left"
        reason = str(attempt.reason or "") if attempt is not None else ""
        services.metrics.request(call.pool if call else "", outcome, reason, took_s)
        delivered = attempt is not None and attempt.outcome is Outcome.ANSWERED and not self._closed
        in_time = call is None or services.clock.monotonic_s() <= call.target_time_s
        if delivered and in_time:
            return
        config = services.state.config
        _LOG.info(
            "request_late" if delivered else "request_not_answered",
            extra={
                "request_id": self._headers.get(services.names.request_id, ""),
                "outcome": outcome,
                "reason": reason,
                "caller_left": self._closed,
                "pool": call.pool if call else "",
                "key": call.key if call else None,
                "returned": call.returned if call else False,
                "retry_after_s": round(attempt.retry_after_s, 3) if attempt is not None else 0.0,
                "took_s": round(took_s, 3),
                "config_version": config.version if config is not None else 0,
            },
        )
