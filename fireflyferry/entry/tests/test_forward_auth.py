"""Requests forwarded between entry VMs prove that their sender belongs."""

import asyncio

import pytest

from fireflyferry.edges.peer_auth import SIGNATURE_HEADER, PeerSigner
from fireflyferry.entry.tests.support import (
    SECRETS,
    ScriptedUpstream,
    SystemClock,
    ask,
    entry_vms,
)

TARGET = "/peer/v1/forward/write/key"
HEAD = {
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
    return HEAD | PeerSigner((secret,), clock).head_headers(method, target, HEAD.items())


def forward(headers):
    """Send one forward to the leader; returns the answer and the number of runs."""

    async def run():
        async with ScriptedUpstream() as upstream, entry_vms(upstream.port) as cluster:
            port = int(cluster.peer_addresses[0].rpartition(":")[2])
            reply = await ask(port, TARGET, "POST", headers, b"body")
            return reply, len(upstream.seen)

    return asyncio.run(run())


@pytest.mark.parametrize(
    "make_headers",
    [
        lambda: HEAD,
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
    """Guards against a process outside of the fleet that reaches upstreams by the peer port."""
    reply, runs = forward(make_headers().items())
    assert (reply.status, reply.outcome, reply.reason) == (401, "not-run", "not_authenticated")
    assert reply.headers["firefly-request-id"] == "id-1"
    assert runs == 0


@pytest.mark.parametrize("secret", SECRETS)
def test_forward_signed_with_an_accepted_secret_runs(secret):
    """Guards against refused forwards while a secret is rotated."""
    reply, runs = forward(signed(secret).items())
    assert (reply.status, reply.outcome, runs) == (200, "answered", 1)
