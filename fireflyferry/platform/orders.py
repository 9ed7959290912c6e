"""Client that grants key ranges to the platform's upstream instances and releases them."""

from collections.abc import Callable
from typing import Any

import orjson

from fireflyferry.gateway.edges import KeyOrders
from fireflyferry.keyranges import (
    GrantAnswer,
    GrantCall,
    GrantResult,
    GrantTiming,
    ReleaseCall,
)
from fireflyferry.platform import names
from fireflyferry.transport import CurlTransport, Exchange, FetchResult, fetch
from fireflyferry.transport.fetch import complete_body
from fireflyferry.transport.headers import HeaderList, find_header

__all__ = ["HttpKeyOrders"]

ANSWERS = {
    200: GrantAnswer.ACCEPTED,
    409: GrantAnswer.HIGHER_FENCE,
    421: GrantAnswer.OTHER_UPSTREAM,
}

MAX_HANDOVERS = 1_000  # handover tokens that are remembered


class HttpKeyOrders(KeyOrders):
    """Grants and releases over HTTP.

    An upstream may send an earlier answer once more on a connection that is in use again, and
    answers to orders carry nothing that says to which order they belong. An answer that would end
    the wait for an upstream counts if it came over a connection without earlier answers; otherwise
    the next call to the address opens a connection. One that names a request is none to an order.
    """

    def __init__(self, transport: CurlTransport, timing: GrantTiming):
        self._transport = transport
        self._timing = timing
        self._needs_connection: set[str] = set()
        self._handovers: dict[str, None] = {}

    async def grant(self, call: GrantCall, may_send: Callable[[], bool]) -> GrantResult:
        """Grant or renew a key range; `may_send` is checked right before the first byte is sent."""
        if call.max_connection is not None and call.address in self._needs_connection:
            return GrantResult(GrantAnswer.CONNECTION_TOO_NEW)
        body: dict[str, Any] = {
            "from": call.first,
            "target": call.last,  # the last key, not an address
            "fence": call.fence,
            "holdS": call.hold_s,
        }
        if call.handover:
            body["handover"] = call.handover
        result = await self._send(
            call, names.GRANT_PATH, body, self._timing.call_timeout_s, may_send, call.max_connection
        )
        if result.connection_too_new:
            return GrantResult(GrantAnswer.CONNECTION_TOO_NEW)
        return GrantResult(self._answer(call, result), result.opened_connections or None)

    async def release(
        self, call: ReleaseCall, may_send: Callable[[], bool]
    ) -> tuple[GrantAnswer, str]:
        """Release a key range; return the answer and the handover token for the next owner."""
        body = {"from": call.first, "target": call.last, "fence": call.fence}
        result = await self._send(
            call, names.RELEASE_PATH, body, self._timing.release_timeout_s, may_send
        )
        answer, handover = self._answer(call, result), result.header(names.HANDOVER_HEADER) or ""
        if answer is GrantAnswer.ACCEPTED:
            is_new = bool(handover) and handover not in self._handovers
            self._remember(handover)
            if result.reused and not is_new:
                self._needs_connection.add(call.address)
                return GrantAnswer.UNKNOWN, ""
        return answer, handover

    async def _send(
        self,
        call: GrantCall | ReleaseCall,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
        may_send: Callable[[], bool],
        max_connection: int | None = None,
    ) -> FetchResult:
        headers = [
            ("Content-Type", "application/json"),
            (names.HEADERS.expected_upstream, call.run.upstream_id),
        ]
        exchange = Exchange(
            call.address,
            "POST",
            path,
            headers,
            complete_body(orjson.dumps(body)),
            timeout_s,
            new_connection=call.address in self._needs_connection or _is_reminder(call),
            max_connection=max_connection,
        )
        self._needs_connection.discard(call.address)
        return await fetch(self._transport, exchange, may_send, _names_no_request)

    def _answer(self, call: GrantCall | ReleaseCall, result: FetchResult) -> GrantAnswer:
        if result.connection_refused and not result.sent:
            return GrantAnswer.NO_LISTENER
        if not result.complete:
            return GrantAnswer.UNKNOWN if result.sent else GrantAnswer.NOT_SENT
        if result.status == 421 and result.reused:
            self._needs_connection.add(call.address)
            return GrantAnswer.UNKNOWN
        return ANSWERS.get(result.status, GrantAnswer.UNKNOWN)

    def _remember(self, handover: str) -> None:
        self._handovers[handover] = None
        if len(self._handovers) > MAX_HANDOVERS:
            del self._handovers[next(iter(self._handovers))]


def _is_reminder(call: GrantCall | ReleaseCall) -> bool:
    # Kept connections to an upstream that could not be reached may have fallen silent.
    return isinstance(call, ReleaseCall) and call.is_reminder


def _names_no_request(_status: int, headers: HeaderList) -> bool:
    return not find_header(headers, names.HEADERS.request_id)
