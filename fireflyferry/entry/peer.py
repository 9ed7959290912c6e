"""Requests that another VM's first hop sends to this VM's peer port."""

import logging

from tornado.http1connection import HTTP1Connection

from fireflyferry.edges.peer_auth import PeerSignatureError
from fireflyferry.entry import headers as router_headers
from fireflyferry.entry.calls import Call, broken_off
from fireflyferry.entry.exchange import ServerExchange
from fireflyferry.entry.services import RequestServices
from fireflyferry.retries import Verdict
from fireflyferry.routing import decode_header_text
from fireflyferry.telemetry import Outcome, Reason

__all__ = ["PeerExchange"]

logger = logging.getLogger(__name__)


class PeerExchange(ServerExchange):
    """One forwarded request, whose last hop is this VM."""

    def __init__(self, connection: HTTP1Connection, services: RequestServices):
        super().__init__(connection, services.limits)
        self._services = services
        self._call: Call | None = None
        self._authenticated = False

    def prepare(self) -> float | None:
        """Check the signature and parse the router's own headers."""
        self._services.statistics.peer_in_flight += 1
        self._services.exchanges.add(self)
        now_s = self._services.clock.monotonic_s()
        request_id = self._headers.get(router_headers.REQUEST_ID, "")
        self._sink.add_header(router_headers.REQUEST_ID, request_id)
        self._authenticated = self._verify()
        if not self._authenticated:
            return None
        try:
            self._call = self._parse(now_s, request_id)
        except (KeyError, ValueError):
            return None
        return self._call.deadline_s - now_s

    async def handle(self) -> None:
        """Handle the request as its last hop."""
        if not self._authenticated:
            self.refuse(Verdict(Outcome.NOT_RUN, Reason.NOT_AUTHENTICATED))
            return
        if self._call is None:
            self._sink.start(400, [("Content-Length", "0")])
            self._sink.finish()
            return
        verdict = await self._serve(self._call)
        if verdict.outcome is not Outcome.ANSWERED and not self._sink.started:
            self._sink.drop_header(router_headers.OUTCOME)
            self.refuse(verdict)

    def request_ended(self) -> None:
        """Count the request as ended."""
        self._services.exchanges.discard(self)
        statistics = self._services.statistics
        statistics.peer_in_flight -= 1
        statistics.last_active_s = self._services.clock.monotonic_s()

    def answer_broken_off(self) -> None:
        """Answer that the outcome is unknown, or that the request was never passed on."""
        self.refuse(broken_off(self._call))

    def _verify(self) -> bool:
        line = self._line
        try:
            self._services.signer.verify_head(line.method, line.path, self._headers.get_all())
        except PeerSignatureError:
            logger.warning(
                "forward_not_authenticated",
                extra={
                    "vm": self._headers.get(router_headers.VM, ""),
                    "request_id": self._headers.get(router_headers.REQUEST_ID, ""),
                },
            )
            return False
        return True

    async def _serve(self, call: Call) -> Verdict:
        services = self._services
        if not call.limit_deadline(services.clock.monotonic_s(), services.stop_plan):
            return Verdict(Outcome.NOT_RUN, Reason.SHUTTING_DOWN)
        if self._body is not None and not self._body.ended and self._body.fits_replay:
            return Verdict(Outcome.NOT_RUN, Reason.DEADLINE_TOO_SHORT)
        routes = services.routes()
        pool = routes.pool(call.pool) if routes is not None else None
        if pool is None:
            return Verdict(Outcome.NOT_RUN, Reason.NO_TABLES)
        # The first hop's unit may be stale: a hot key may have been split off its bucket since.
        location = services.locator.locate(call.pool, call.key)
        if isinstance(location, Reason):
            return Verdict(Outcome.NOT_RUN, location)
        if not location.local:
            return Verdict(
                Outcome.NOT_RUN, Reason.NOT_LEADER, location.leader_address, location.term
            )
        self._sink.add_header(router_headers.OUTCOME, Outcome.ANSWERED)
        return await services.last_hop.run(call, location, pool, self._sink)

    def _parse(self, now_s: float, request_id: str) -> Call:
        headers = self._headers
        return Call(
            method=self._line.method,
            target=self._line.path.removeprefix(router_headers.FORWARD_PREFIX),
            headers=router_headers.request_headers(headers),
            body=self._body,
            pool=headers[router_headers.POOL],
            key=decode_header_text(headers[router_headers.KEY]),
            tenant=headers.get(router_headers.TENANT, ""),
            idempotent=headers[router_headers.IDEMPOTENT] == "1",
            deadline_s=now_s + int(headers[router_headers.DEADLINE_MS]) / 1000,
            request_id=request_id,
            attempt_id=request_id,
            id_from_caller="Request-Id" in headers,
            attempt=int(headers[router_headers.ATTEMPT]),
        )
