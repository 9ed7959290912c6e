"""Requests of callers on the public port."""

import logging

import attrs
from tornado.http1connection import HTTP1Connection

from fireflyferry.entry import headers as router_headers
from fireflyferry.entry.calls import Call, broken_off
from fireflyferry.entry.exchange import ServerExchange
from fireflyferry.entry.services import RequestServices
from fireflyferry.retries import BadRequestIdError, Verdict, issued_wall_s, new_request_id
from fireflyferry.routing import extract_key
from fireflyferry.tables import Pool, Route
from fireflyferry.telemetry import Outcome, Reason

__all__ = ["PublicExchange"]

logger = logging.getLogger(__name__)

CALLER_REQUEST_ID = "Request-Id"
MAX_DEADLINE_MS = 86_400_000


@attrs.frozen
class _Refused(Exception):  # noqa: N818
    reason: Reason


class PublicExchange(ServerExchange):
    """One request of a caller."""

    def __init__(self, connection: HTTP1Connection, services: RequestServices):
        super().__init__(connection, services.limits)
        self._services = services
        self._call: Call | None = None
        self._pool: Pool | None = None
        self._refusal: Reason | None = None

    def prepare(self) -> float | None:
        """Resolve the route, key and deadline."""
        self._services.statistics.in_flight += 1
        self._services.exchanges.add(self)
        now_s = self._services.clock.monotonic_s()
        try:
            self._call = self._resolve(now_s)
        except _Refused as refused:
            self._refusal = refused.reason
            return None
        return self._call.deadline_s - now_s

    async def handle(self) -> None:
        """Send the request to its last hop; if it was not answered, report the reason."""
        if self._body_too_large:
            self._refusal = Reason.BODY_TOO_LARGE
        if self._services.draining:
            self._sink.add_header("Connection", "close")
        if self._refusal is not None or self._call is None or self._pool is None:
            verdict = Verdict(Outcome.NOT_RUN, self._refusal)
        elif self._body is not None and not self._body.ended and self._body.fits_replay:
            verdict = Verdict(Outcome.NOT_RUN, Reason.DEADLINE_TOO_SHORT)
        else:
            self._sink.add_header(router_headers.REQUEST_ID, self._call.request_id)
            self._sink.add_header(router_headers.OUTCOME, Outcome.ANSWERED)
            verdict = await self._services.first_hop.run(self._call, self._pool, self._sink)
        self._services.statistics.count_result(verdict)
        if verdict.outcome is not Outcome.ANSWERED:
            self._report(verdict)

    def request_ended(self) -> None:
        """Count the request as ended."""
        self._services.exchanges.discard(self)
        statistics = self._services.statistics
        statistics.in_flight -= 1
        statistics.last_active_s = self._services.clock.monotonic_s()
        if self._closed:
            statistics.count_disconnect()

    def answer_broken_off(self) -> None:
        """Answer that the outcome is unknown, or that the request was never passed on."""
        verdict = broken_off(self._call)
        self._services.statistics.count_result(verdict)
        self._report(verdict)

    def _report(self, verdict: Verdict) -> None:
        call = self._call
        logger.info(
            "request not answered",
            extra={
                "outcome": str(verdict.outcome),
                "reason": str(verdict.reason),
                "request_id": call.request_id if call else "",
                "pool": call.pool if call else "",
                "attempts": call.attempt if call else 0,
            },
        )
        if not self._sink.started:
            self._sink.drop_header(router_headers.OUTCOME)
            self.refuse(verdict)

    def _resolve(self, now_s: float) -> Call:
        if router_headers.head_bytes(self._line, self._headers) > self._limits.max_header_bytes:
            raise _Refused(Reason.HEADER_TOO_LARGE)
        routes = self._services.routes()
        if routes is None:
            raise _Refused(Reason.NO_TABLES)
        target = self._line.path
        path, _, query = target.partition("?")
        route = routes.match(path)
        if route is None:
            raise _Refused(Reason.UNKNOWN_ROUTE)
        max_body_bytes = min(route.max_body_bytes, self._limits.max_body_bytes)
        if int(self._headers.get("Content-Length", "0")) > max_body_bytes:
            # `_max_body_bytes` stays infinite here. A body above it would close the connection
            # before the refusal is sent.
            raise _Refused(Reason.BODY_TOO_LARGE)
        self._max_body_bytes = max_body_bytes
        key = extract_key(route, path, query, self._headers)
        if key is None:
            raise _Refused(Reason.MISSING_KEY)
        self._pool = routes.pool(route.pool)
        request_id, id_from_caller = self._request_id()
        return Call(
            method=self._line.method,
            target=target,
            headers=router_headers.request_headers(self._headers),
            body=self._body,
            pool=route.pool,
            key=key,
            tenant=self._headers.get(route.tenant_header, ""),
            idempotent=route.idempotent,
            deadline_s=now_s + self._timeout_s(route),
            request_id=request_id,
            id_from_caller=id_from_caller,
            attempt_id=self._attempt_id(route, request_id, id_from_caller),
        )

    def _request_id(self) -> tuple[str, bool]:
        header_value = self._headers.get(CALLER_REQUEST_ID)
        if header_value is None:
            services = self._services
            return new_request_id(services.clock.wall_s(), services.rng), False
        try:
            issued_wall_s(header_value)
        except BadRequestIdError as error:
            raise _Refused(Reason.BAD_REQUEST_ID) from error
        return header_value, True

    def _attempt_id(self, route: Route, request_id: str, id_from_caller: bool) -> str:
        # A caller may use one id for two requests in flight; each must be cancellable on its own.
        if route.idempotent and id_from_caller:
            return new_request_id(self._services.clock.wall_s(), self._services.rng)
        return request_id

    def _timeout_s(self, route: Route) -> float:
        header_value = self._headers.get(router_headers.DEADLINE_MS)
        if header_value is None:
            return route.timeout_ms / 1000
        if not (
            header_value.isascii()
            and header_value.isdigit()
            and 0 < int(header_value) <= MAX_DEADLINE_MS
        ):
            raise _Refused(Reason.BAD_TIMEOUT)
        return min(int(header_value), route.timeout_ms) / 1000
