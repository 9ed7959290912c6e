"""Client that grants key ranges to the platform's upstream instances and releases them."""

from collections.abc import Callable
from typing import Any

import orjson

from fireflyferry.gateway.edges import KeyOrders
from fireflyferry.keyranges import GrantAnswer, GrantCall, GrantTiming, ReleaseCall
from fireflyferry.platform import names
from fireflyferry.transport import CurlTransport, Exchange, FetchResult, fetch
from fireflyferry.transport.fetch import complete_body

__all__ = ["HttpKeyOrders"]


class HttpKeyOrders(KeyOrders):
    """Grants and releases over HTTP."""

    def __init__(self, transport: CurlTransport, timing: GrantTiming):
        self._transport = transport
        self._timing = timing

    async def grant(self, call: GrantCall, may_send: Callable[[], bool]) -> GrantAnswer:
        """Grant or renew a key range; `may_send` is checked right before the first byte is sent."""
        body: dict[str, Any] = {
            "from": call.first,
            "target": call.last,  # the last key, not an address
            "fence": call.fence,
            "holdS": call.hold_s,
        }
        if call.handover:
            body["handover"] = call.handover
        result = await self._send(
            call.address, names.GRANT_PATH, body, self._timing.call_timeout_s, may_send
        )
        return _answer(result)

    async def release(
        self, call: ReleaseCall, may_send: Callable[[], bool]
    ) -> tuple[GrantAnswer, str]:
        """Release a key range; return the answer and the handover token for the next owner."""
        body = {"from": call.first, "target": call.last, "fence": call.fence}
        result = await self._send(
            call.address, names.RELEASE_PATH, body, self._timing.release_timeout_s, may_send
        )
        return _answer(result), result.header(names.HANDOVER_HEADER) or ""

    async def _send(
        self,
        address: str,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
        may_send: Callable[[], bool],
    ) -> FetchResult:
        headers = [("Content-Type", "application/json")]
        exchange = Exchange(
            address, "POST", path, headers, complete_body(orjson.dumps(body)), timeout_s
        )
        return await fetch(self._transport, exchange, may_send)


def _answer(result: FetchResult) -> GrantAnswer:
    if result.connection_refused:
        return GrantAnswer.NO_LISTENER
    if not result.complete:
        return GrantAnswer.UNKNOWN if result.sent else GrantAnswer.NOT_SENT
    return {200: GrantAnswer.ACCEPTED, 409: GrantAnswer.HIGHER_FENCE}.get(
        result.status, GrantAnswer.UNKNOWN
    )
