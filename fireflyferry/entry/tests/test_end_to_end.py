"""Requests from the public port to the upstream, through one VM or two."""

import asyncio

import pytest

from fireflyferry.entry.tests.support import ScriptedUpstream, entry_vms, send_request
from fireflyferry.telemetry import Reason


@pytest.mark.parametrize("first_hop", [0, 1])
@pytest.mark.parametrize("route", ["read", "write"])
def test_request_reaches_owner_once_with_fence(first_hop, route):
    """Guards against a hop that loses or repeats the request, its key, fence or query."""

    async def run():
        async with ScriptedUpstream() as upstream, entry_vms(upstream.port) as cluster:
            target = f"/{route}/a%20key/x?q=1"
            reply = await send_request(
                cluster.public_ports[first_hop], target, "POST", body=b"data"
            )
            assert (reply.status, reply.outcome, reply.complete) == (200, "answered", True)
            assert reply.body == f"POST {target} HTTP/1.1".encode()
            (request,) = upstream.received
            assert request.body == b"data"
            assert request.headers["firefly-key"] == "a%20key"
            assert request.headers["firefly-fence"] == str(1 << 32)
            assert reply.headers["firefly-request-id"] == request.request_id
            assert cluster.paths[0].snapshot().sent == 0

    asyncio.run(run())


def test_refusals_are_reported_as_not_run():
    """Guards against a refusal without outcome, reason or Retry-After."""

    async def run():
        async with ScriptedUpstream() as upstream, entry_vms(upstream.port) as cluster:
            port = cluster.public_ports[0]
            assert (await send_request(port, "/none/key")).reason == "unknown_route"
            assert (await send_request(port, "/read/")).reason == "missing_key"
            bad_id = await send_request(port, headers=[("Request-Id", "17")])
            assert (bad_id.status, bad_id.reason) == (400, "bad_request_id")
            bad_timeout = await send_request(port, headers=[("Firefly-Deadline-Ms", "-1")])
            assert (bad_timeout.status, bad_timeout.reason) == (400, "bad_timeout")
            cluster.target = Reason.OWNER_HELD
            held = await send_request(port)
            assert (held.status, held.outcome, held.reason) == (503, "not-run", "owner_held")
            assert held.headers["retry-after"] == "1"
            assert upstream.received == []

    asyncio.run(run())
