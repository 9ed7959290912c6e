"""Client that forwards requests from the first hop to the last hop on another VM."""

import attrs

from fireflyferry.edges import Clock
from fireflyferry.edges.peer_auth import PeerSigner
from fireflyferry.entry import headers as router_headers
from fireflyferry.entry.answers import AnswerReceiver
from fireflyferry.entry.calls import Call
from fireflyferry.entry.interfaces import Location
from fireflyferry.retries import Verdict
from fireflyferry.routing import encode_header_text
from fireflyferry.transport.curl import CurlTransport
from fireflyferry.transport.exchanges import Exchange
from fireflyferry.transport.sinks import AnswerSink

__all__ = ["RemoteHop"]


@attrs.define(eq=False)
class RemoteHop:
    """Forwards requests to the VMs that lead their groups."""

    _clock: Clock
    _transport: CurlTransport
    _vm_id: str
    _signer: PeerSigner

    async def run(self, call: Call, location: Location, sink: AnswerSink) -> Verdict:
        """Handle one attempt; if it is answered, the sink is finished on return."""
        remaining_s = call.deadline_s - self._clock.monotonic_s()
        receiver = AnswerReceiver(sink, call.method, call.attempt_id, from_peer=True)
        target = router_headers.FORWARD_PREFIX + call.target
        headers = self._headers(call, location, remaining_s)
        headers += self._signer.head_headers(call.method, target, headers).items()
        exchange = Exchange(
            location.leader_address,
            call.method,
            target,
            headers,
            call.body,
            remaining_s,
            fresh_connection=not call.idempotent,
        )
        call.passed_on = True
        return receiver.verdict(await self._transport.run(exchange, receiver))

    def _headers(self, call: Call, location: Location, remaining_s: float) -> list[tuple[str, str]]:
        return [
            *call.headers,
            (router_headers.POOL, call.pool),
            (router_headers.KEY, encode_header_text(call.key)),
            (router_headers.UNIT, encode_header_text(location.unit)),
            (router_headers.DEADLINE_MS, str(max(1, int(remaining_s * 1000)))),
            (router_headers.REQUEST_ID, call.attempt_id),
            (router_headers.TENANT, call.tenant),
            (router_headers.GROUP, str(location.group)),
            (router_headers.TERM, str(location.term)),
            (router_headers.ATTEMPT, str(call.attempt)),
            (router_headers.IDEMPOTENT, str(int(call.idempotent))),
            (router_headers.VM, self._vm_id),
        ]
