"""Server side of calls from other VMs: forwarding, pings, load reports, owner tables, feed."""

import logging
import math
from collections.abc import Callable

import attrs
from tornado.http1connection import HTTP1Connection

from fireflyferry.admission import StopPlan
from fireflyferry.balancing import Standing, UpstreamDirectory
from fireflyferry.edges import Clock
from fireflyferry.gateway import peer_messages
from fireflyferry.gateway.calls import Attempt, Call, not_run
from fireflyferry.gateway.departures import DepartedRequests
from fireflyferry.gateway.edges import Document
from fireflyferry.gateway.envelopes import Envelope, EnvelopeCodec, EnvelopeError
from fireflyferry.gateway.exchange import BufferedExchange, InFlightRequests
from fireflyferry.gateway.feed import Feed
from fireflyferry.gateway.headers import answer_headers
from fireflyferry.gateway.last_hop import LastHop
from fireflyferry.gateway.peer_client import (
    EVACUATIONS_AGE_HEADER,
    FEED_PATH,
    FORWARD_PATH,
    LEFT_PATH,
    LOADS_PATH,
    OWNERS_PATH,
    PING_PATH,
    VM_HEADER,
)
from fireflyferry.gateway.sampling import LoadReport
from fireflyferry.gateway.upstream_path import PathMonitor
from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.transport.headers import HeaderList, find_header

__all__ = ["PeerExchange", "PeerServices"]

_LOG = logging.getLogger(__name__)

REFUSAL_STATUS = 503


@attrs.define(eq=False)
class PeerServices:
    """Dependencies that all exchanges with other VMs share; `vm_id` is the id of this VM."""

    vm_id: str
    clock: Clock
    upstreams: UpstreamDirectory
    last_hop: LastHop
    envelopes: EnvelopeCodec
    on_loads: Callable[[LoadReport], None]
    on_owners: Callable[[Document], None]
    feed: Feed
    stop_plan: StopPlan
    path: PathMonitor
    departed: DepartedRequests
    in_flight: InFlightRequests = attrs.field(factory=InFlightRequests)


class PeerExchange(BufferedExchange):
    """One request from another entry VM."""

    def __init__(self, connection: HTTP1Connection, services: PeerServices):
        super().__init__(connection, services.in_flight)
        self._services = services
        self._call: Call | None = None

    @property
    def request_id(self) -> str:
        """Id of the forwarded request; empty for other requests."""
        return self._call.request_id if self._call is not None else ""

    def on_head(self) -> None:
        """Accept every head; the request is checked once its body has arrived."""

    def refuse_body(self, reason: Reason, retry_after_s: float) -> None:
        """Refuse the request as not run, since there is no memory for its body."""
        self._refuse(not_run(reason, retry_after_s))

    def release_body(self) -> None:
        """Drop the body after the request was handled."""
        super().release_body()
        if self._call is not None:
            self._call.release()

    def continues_without_sender(self) -> bool:
        """Return whether an upstream works on the request, which may run only once."""
        return self._call is not None and not self._call.may_be_cancelled

    async def handle(self) -> None:
        """Send a forwarded request to its upstream, or answer another request by its path."""
        is_of_earlier_revision = peer_messages.EARLIER_CALL_HEADER in self._headers
        if self._line.path == PING_PATH:
            self.answer(204, [(VM_HEADER, self._services.vm_id), *self._path_headers()], b"")
        elif self._in_flight.closed or is_of_earlier_revision:
            self._refuse(not_run(Reason.SHUTTING_DOWN))
        elif self._line.path == FORWARD_PATH:
            await self._answer_forward()
        elif self._line.path == LEFT_PATH:
            self._end_left()
        elif self._line.path == LOADS_PATH:
            self._accept_loads()
        elif self._line.path == OWNERS_PATH:
            self._accept_owners()
        elif self._line.path == FEED_PATH:
            await self._answer_follower()
        else:
            self.answer(404, [], b"")

    def answer_broken_off(self) -> None:
        """Answer that the outcome is unknown, or that no upstream has received the request."""
        no_call = not_run(Reason.SHUTTING_DOWN)
        self._refuse(self._call.result_if_broken_off() if self._call is not None else no_call)

    def _refuse(self, attempt: Attempt, headers: HeaderList = ()) -> None:
        """Answer with a result without an upstream's answer."""
        result = peer_messages.write_result(attempt)
        self.answer(REFUSAL_STATUS, [(peer_messages.RESULT_HEADER, result), *headers], b"")

    def _path_headers(self) -> HeaderList:
        """Return the headers that say whether this VM is cut off from upstreams."""
        lost = self._services.path.lost
        return [(peer_messages.PATH_HEADER, peer_messages.PATH_LOST)] if lost else []

    def _end_left(self) -> None:
        """End forwarded requests whose callers have left, as if their connections had closed.

        A reset that is lost on the way is not sent again.
        """
        request_ids = set(self.body.decode(errors="replace").split("\n")) - {""}
        self._services.departed.add(request_ids)
        for each in self._in_flight.exchanges():
            if isinstance(each, PeerExchange) and each.request_id in request_ids:
                each.disconnect()
        self.answer(204, [], b"")

    def _accept_loads(self) -> None:
        try:
            self._services.on_loads(peer_messages.read_loads(self.body))
        except peer_messages.PeerMessageError as error:
            _LOG.warning("load_report_unreadable", extra={"error": str(error)})
            self.answer(400, [], b"")
        else:
            self.answer(204, [], b"")

    def _accept_owners(self) -> None:
        try:
            document = peer_messages.read_owners(self.body)
        except peer_messages.PeerMessageError as error:
            _LOG.warning("owner_message_unreadable", extra={"error": str(error)})
            self.answer(400, [], b"")
        else:
            self._services.on_owners(document)
            self.answer(204, [], b"")

    async def _answer_follower(self) -> None:
        try:
            request = peer_messages.read_feed_request(self.body)
        except peer_messages.PeerMessageError as error:
            _LOG.warning("feed_request_unreadable", extra={"error": str(error)})
            self.answer(400, [], b"")
            return
        answer = await self._services.feed.answer(request)
        if answer is None:
            self.answer(REFUSAL_STATUS, [], b"")
            return
        feed_header = (peer_messages.FEED_HEADER, peer_messages.write_feed_header(answer))
        headers = [feed_header, *self._path_headers()]
        if math.isfinite(answer.evacuations_age_s):
            age_ms = math.ceil(answer.evacuations_age_s * 1000)
            headers.append((EVACUATIONS_AGE_HEADER, str(age_ms)))
        self.answer(200, headers, peer_messages.write_feed_body(answer.changes))

    async def _answer_forward(self) -> None:
        services = self._services
        try:
            envelope = services.envelopes.unpack_parts(self.take_body())
            peer_call = peer_messages.read_call(envelope.summary)
            now_s = services.clock.monotonic_s()
            self._call = call = self._make_call(peer_call, envelope, now_s)
        except (EnvelopeError, peer_messages.PeerMessageError) as error:
            _LOG.warning("peer_call_unreadable", extra={"error": str(error)})
            self.answer(400, [], b"")
            return
        if call.request_id in services.departed:
            self.disconnect()
            return
        attempt = await self._run_call(call, peer_call)
        if attempt.reason is Reason.UPSTREAMS_UNREACHABLE:
            # VMs of an earlier revision do not know the reason.
            refused = (peer_messages.PATH_HEADER, peer_messages.PATH_REFUSED)
            self._refuse(not_run(Reason.CONNECT_FAILED), [refused])
            return
        summary = peer_messages.write_result(attempt, peer_call.upstream_id)
        result = Envelope(summary, str(REFUSAL_STATUS), [], b"")
        if attempt.answer is not None and attempt.outcome is Outcome.ANSWERED:
            answer = attempt.answer
            omitted = ("content-length", services.envelopes.request_id_header.lower())
            headers = [
                pair for pair in answer_headers(answer.headers) if pair[0].lower() not in omitted
            ]
            result = Envelope(summary, str(answer.status), headers, answer.body)
        outer_headers = self._path_headers()
        if attempt.leaving is not None:
            value = peer_messages.write_leaving(attempt.leaving)
            outer_headers.append((peer_messages.LEAVING_HEADER, value))
        self.answer(200, outer_headers, services.envelopes.pack_parts(result))

    async def _run_call(self, call: Call, peer_call: peer_messages.PeerCall) -> Attempt:
        services = self._services
        now_s = services.clock.monotonic_s()
        upstream = services.upstreams.get(peer_call.upstream_id)
        standing = services.upstreams.standing(now_s, peer_call.upstream_id, peer_call.born)
        if upstream is None or standing is Standing.GONE:
            return not_run(Reason.UPSTREAM_DRAINING)
        last_hop = services.last_hop
        if not call.ends_before_exit(
            now_s, services.stop_plan, lambda: last_hop.forecast(upstream)
        ):
            return not_run(Reason.SHUTTING_DOWN)
        return await last_hop.run(call, upstream)

    def _make_call(
        self, peer_call: peer_messages.PeerCall, envelope: Envelope, now_s: float
    ) -> Call:
        method, separator, target = envelope.start.partition(" ")
        if not separator:
            raise EnvelopeError(f"start line {envelope.start!r}")
        request_id_header = self._services.envelopes.request_id_header
        return Call(
            request_id=find_header(envelope.headers, request_id_header) or "",
            method=method,
            target=target,
            headers=envelope.headers,
            body=envelope.body,
            pool=peer_call.pool,
            key=None if peer_call.key < 0 else peer_call.key,
            idempotent=bool(peer_call.idempotent),
            priority=peer_call.priority,
            max_attempts=peer_call.max_attempts,
            started_s=now_s - peer_call.age_ms / 1000,
            target_time_s=now_s + peer_call.target_in_ms / 1000,
            deadline_s=now_s + peer_call.left_ms / 1000,
            repeated=bool(peer_call.repeated),
            tried=peer_call.tried_upstreams,
            received_s=now_s,
            is_forwarded=True,
            has_sender_left=self.has_sender_left,
        )
