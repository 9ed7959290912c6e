"""Guards against calls of the operators' program that the real peer port does not accept."""

import asyncio
import types

import pytest
import tornado.httpserver
import tornado.testing

from fireflyferry.edges.base import PeerUnavailableError
from fireflyferry.edges.http_client import HttpClient
from fireflyferry.edges.peer_auth import PeerSigner
from fireflyferry.edges.system_clock import SystemClock
from fireflyferry.entry.peer_server import PeerServices, make_peer_router
from fireflyferry.messages import VmIncarnation
from fireflyferry.messages.control import (
    AssignReply,
    AssignRequest,
    DrainReply,
    DrainRequest,
    VmStatus,
)
from fireflyferry.operators.peers import HttpPeerControl

THIS_VM = VmIncarnation("vm-1", "1")
STATUS = VmStatus(THIS_VM, "natal-1", 3)
ASSIGN = AssignRequest("janela", "b:1", "up-1", "ana")
DRAIN = DrainRequest("up-1", "ana")


class PeerControlTest(tornado.testing.AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.requests = []
        calls = types.SimpleNamespace(assign=self.assign, drain=self.drain)
        control = types.SimpleNamespace(this_vm=THIS_VM, operator_calls=calls)
        signer = PeerSigner((b"new-secret", b"old-secret"), SystemClock())
        services = PeerServices(control, None, lambda: STATUS, signer, self.fail)
        server = tornado.httpserver.HTTPServer(
            make_peer_router(services, None), max_body_size=1 << 30
        )
        sock, port = tornado.testing.bind_unused_port()
        server.add_socket(sock)
        self.address = f"127.0.0.1:{port}"

    async def assign(self, request):
        self.requests.append(request)
        return AssignReply(True, durability="store")

    def drain(self, request):
        self.requests.append(request)
        return DrainReply(True, units=2)

    def peers(self, secret):
        client = HttpClient("ctl", connect_timeout_s=30.0, timeout_s=30.0)
        self.addCleanup(client.close)
        return HttpPeerControl(client, PeerSigner((secret,), SystemClock()))

    @tornado.testing.gen_test(timeout=60)
    async def test_calls_with_either_secret_are_carried_out(self):
        """Guards against a signature that the program and the peer port compute differently."""
        for secret in (b"new-secret", b"old-secret"):
            peers = self.peers(secret)
            assert await peers.status(self.address) == STATUS
            assert await peers.assign(self.address, ASSIGN) == AssignReply(True, durability="store")
            assert await peers.drain(self.address, DRAIN) == DrainReply(True, units=2)
        assert self.requests == [ASSIGN, DRAIN] * 2

    @tornado.testing.gen_test(timeout=60)
    async def test_control_call_with_a_huge_body_is_refused_before_its_body(self):
        """Guards against callers without a secret filling the memory of a VM."""
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = "POST /peer/v1/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Length: 3000000\r\n\r\n"
        writer.write(head.encode())
        assert (await reader.read()).startswith(b"HTTP/1.1 400")
        writer.close()

    @tornado.testing.gen_test(timeout=60)
    async def test_calls_with_a_foreign_secret_are_refused(self):
        """Guards against a peer port that accepts operators' calls from anybody on the network."""
        peers = self.peers(b"foreign-secret")
        for call in (
            peers.status(self.address),
            peers.assign(self.address, ASSIGN),
            peers.drain(self.address, DRAIN),
        ):
            with pytest.raises(PeerUnavailableError, match="status 401"):
                await call
        assert self.requests == []
