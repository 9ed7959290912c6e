"""Authentication of requests that entry VMs forward to each other."""

import asyncio

import pytest

from fireflyferry.edges.peer_auth import SIGNATURE_HEADER, PeerSigner
from fireflyferry.entry.tests.support import (
    SECRETS,
    ScriptedUpstream,
    SystemClock,
    entry_vms,
    send_request,
)

TARGET = "/peer/v1/forward/write/key"
HEADERS = {
    "Firefly-Pool": "janela",
    "Firefly-Key": "key",
    "Firefly-Tenant": "",
    "Firefly-Deadline-Ms": "2000",
    "Firefly-Request-Id": "id-1",
    "Firefly-Attempt": "1",
    "Firefly-Idempotent": "0",
    "Firefly-Vm": "vm-1",
}


def signed(secret=SECRETS[0], age_s=0.0, target=TARGET, method="POST"):
    clock = SystemClock()
    clock.wall_shift_s = -age_s
    return HEADERS | PeerSigner((secret,), clock).head_headers(method, target, HEADERS.items())


def forward(headers):
    """Forward one request to the leader; return the answer and the number of executions."""

    async def run():
        async with ScriptedUpstream() as upstream, entry_vms(upstream.port) as cluster:
            port = int(cluster.peer_addresses[0].rpartition(":")[2])
            reply = await send_request(port, TARGET, "POST", headers, b"body")
            return reply, len(upstream.received)

    return asyncio.run(run())


@pytest.mark.parametrize(
    "make_headers",
    [
        lambda: HEADERS,
        lambda: signed(b"foreign-secret-00"),
        lambda: signed(age_s=31.0),
        lambda: signed(age_s=-40.0),
        lambda: signed(target=TARGET + "x"),
        lambda: signed(method="PUT"),
        lambda: signed() | {SIGNATURE_HEADER: "\xe9"},
        lambda: signed() | {"Firefly-Key": "other"},
        lambda: signed() | {"Firefly-Tenant": "antenna"},
        lambda: signed() | {"Firefly-Unit": "added"},
        lambda: signed() | {"firefly-pool": "janela"},
        lambda: signed() | {"Request-Id": "id-1"},
        lambda: {name: value for name, value in signed().items() if name != "Firefly-Vm"},
    ],
)
def test_forward_without_a_valid_signature_has_not_run(make_headers):
    """Guards against outside processes that reach upstreams through the peer port."""
    reply, executions = forward(make_headers().items())
    assert (reply.status, reply.outcome, reply.reason) == (401, "not-run", "not_authenticated")
    assert reply.headers["firefly-request-id"] == "id-1"
    assert executions == 0


@pytest.mark.parametrize("secret", SECRETS)
def test_forward_signed_with_an_accepted_secret_runs(secret):
    """Guards against refused requests while a secret is rotated."""
    reply, executions = forward(signed(secret).items())
    assert (reply.status, reply.outcome, executions) == (200, "answered", 1)
