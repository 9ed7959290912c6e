"""Tests of the HTTP edges against stand-in servers, mostly of the outcomes that they report."""

import asyncio

import pytest
import tornado.httpserver
import tornado.testing

from fireflyferry.edges.base import (
    Clock,
    StoreUnavailableError,
    UpstreamUnavailableError,
    VersionConflictError,
)
from fireflyferry.edges.http_client import HttpClient
from fireflyferry.edges.http_peer import HttpPeerLink
from fireflyferry.edges.http_store import HttpObjectStore, HttpVmList
from fireflyferry.edges.http_upstream import HttpUpstreamControl
from fireflyferry.edges.peer_auth import PeerSignatureError, PeerSigner, _body_text, _signature
from fireflyferry.edges.statsd_metrics import MemoryMetrics, TeeMetrics, Timing
from fireflyferry.edges.wire import encode_batch
from fireflyferry.messages import GrantMessage, UnitGrant, VmEntry
from fireflyferry.standins.faults import Fault
from fireflyferry.standins.platform_server import Platform, make_application
from fireflyferry.standins.upstream_instance import InstanceSettings, UpstreamInstance
from fireflyferry.standins.upstream_server import make_server


def patient_client(vm_id):
    """Return a client whose timeouts are long enough for a busy machine."""
    return HttpClient(vm_id, connect_timeout_s=30.0, timeout_s=30.0)


VM = VmEntry("vm-1", "entry", "natal", "natal-1", "127.0.0.1:1")


def listen(server):
    """Serve until the test's event loop closes all its sockets."""
    sock, port = tornado.testing.bind_unused_port()
    server.add_socket(sock)
    return f"127.0.0.1:{port}"


class StoreEdgeTest(tornado.testing.AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.platform = Platform((VM,))
        server = tornado.httpserver.HTTPServer(make_application(self.platform))
        self.address = listen(server)
        self.store = HttpObjectStore(self.address, patient_client("natal-1-vm"))
        # Has a short timeout, for calls that get no answer.
        self.impatient_store = HttpObjectStore(
            self.address, HttpClient("natal-1-vm", timeout_s=1.0)
        )

    def set_fault(self, *args, **kwargs):
        self.platform.faults.replace((Fault(*args, **kwargs),))
        self.platform.faults_changed()

    @tornado.testing.gen_test
    async def test_binary_values_and_special_characters_in_names_are_kept(self):
        """Guards against values or names altered by encoding."""
        name, data = "config/../a b%2F?é", bytes(range(256))
        version = await self.store.put(name, data, 0)
        stored = await self.store.get(name)
        assert (stored.name, stored.version, stored.data) == (name, version, data)
        assert await self.store.get("config/none") is None

    @tornado.testing.gen_test
    async def test_one_of_concurrent_writers_succeeds(self):
        """Guards against conditional writes with the same expected version that both succeed."""
        writes = (self.store.put("groups/g", b"%d" % number, 0) for number in range(20))
        results = await asyncio.gather(*writes, return_exceptions=True)
        won = [result for result in results if isinstance(result, int)]
        lost = [result for result in results if isinstance(result, VersionConflictError)]
        assert (len(won), len(lost)) == (1, 19)

    @tornado.testing.gen_test
    async def test_lost_answer_is_an_unknown_outcome_and_not_a_conflict(self):
        """Guards against a retry by libcurl, which makes a write that took effect a conflict."""
        await self.store.put("groups/g", b"0", 0)  # leaves a connection that could be reused
        await self.store.get("groups/g")
        self.set_fault("lost_answer", operations=("put",), count=1)
        with pytest.raises(StoreUnavailableError):
            await self.store.put("groups/g", b"1", 1)
        assert (await self.store.get("groups/g")).data == b"1"
        assert self.platform.calls["put"] == 2

    @tornado.testing.gen_test
    async def test_held_write_takes_effect_after_its_timeout(self):
        """Guards against a stand-in that cannot simulate a write that arrives after its timeout."""
        self.set_fault("outage", "hold", operations=("put",), count=1)
        with pytest.raises(StoreUnavailableError):
            await self.impatient_store.put("groups/g", b"late", 0)
        assert await self.store.get("groups/g") is None
        self.platform.faults.replace(())
        self.platform.faults_changed()
        batch = await self.store.watch(("groups/",), 0, 5.0)
        assert [change.data for change in batch.changes] == [b"late"]

    @tornado.testing.gen_test
    async def test_outages_refuse_or_hang_for_the_named_callers_only(self):
        """Guards against an outage that affects another data centre, or lets writes through."""
        other = HttpObjectStore(self.address, patient_client("recife-1-vm"))
        for mode in ("refuse", "hang"):
            self.set_fault("outage", mode, callers=("natal-1-*",))
            with pytest.raises(StoreUnavailableError):
                await self.impatient_store.put("groups/g", b"cut", 0)
            assert await other.get("groups/g") is None
        self.platform.faults.replace(())
        self.platform.faults_changed()
        await asyncio.sleep(0.05)
        assert await self.store.get("groups/g") is None

    @tornado.testing.gen_test
    async def test_outage_ends_a_waiting_watch(self):
        """Guards against a long poll from before an outage that returns changes during it."""
        watch = asyncio.ensure_future(self.store.watch(("config/",), 0, 5.0))
        while not self.platform.waiting_watches:
            await asyncio.sleep(0.01)
        assert self.platform.calls["watch"] == 1
        self.set_fault("outage", "refuse")
        with pytest.raises(StoreUnavailableError):
            await watch

    @tornado.testing.gen_test
    async def test_watch_returns_each_change_once_and_in_order(self):
        """Guards against changes missed between two long polls."""

        async def write():
            for number in range(60):
                name = f"{('config', 'groups', 'other')[number % 3]}/{number}"
                await self.store.put(name, b"x", 0)

        writing = asyncio.ensure_future(write())
        seen, since = [], 0
        while len(seen) < 40:
            batch = await self.store.watch(("config/", "groups/"), since, 5.0)
            seen += [change.version for change in batch.changes]
            since = batch.sequence
        await writing
        assert seen == [number + 1 for number in range(60) if number % 3 != 2]

    @tornado.testing.gen_test
    async def test_stale_vm_list_for_one_caller(self):
        """Guards against a list that cannot lag, or cannot be stale for just one caller."""
        vms = HttpVmList(self.address, patient_client("natal-1-vm"))
        other = HttpVmList(self.address, patient_client("recife-1-vm"))
        assert await vms.fetch() == (VM,)
        self.set_fault("stale_vms", callers=("natal-1-*",))
        self.platform.vms.replace(0.0, ())
        assert (await vms.fetch(), await other.fetch()) == ((VM,), ())


class UpstreamEdgeTest(tornado.testing.AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.instance = UpstreamInstance(InstanceSettings("u1", "janela"))
        self.address = listen(make_server(self.instance))
        self.control = HttpUpstreamControl(patient_client("vm-1"))

    @tornado.testing.gen_test
    async def test_hello_grant_and_cancel(self):
        """Guards against control messages that the edge and the upstream decode differently."""
        hello = await self.control.hello(self.address)
        assert (hello.upstream_id, hello.checks, hello.slots) == ("u1", "grants", 2)
        units = (UnitGrant("b:1", 7, ("hot",)),)
        message = GrantMessage("janela/natal-1/0", 1, 1, hello.token, 1.0, units)
        reply = await self.control.grant(self.address, message)
        assert (reply.accepted, reply.set_version) == (True, 1)
        await self.control.cancel(self.address, "never-sent")
        assert self.instance.is_cancelled("never-sent")

    @tornado.testing.gen_test
    async def test_frozen_and_refusing_upstreams_are_unavailable(self):
        """Guards against calls that hang or raise another error than UpstreamUnavailableError."""
        control = HttpUpstreamControl(HttpClient("vm-1", timeout_s=1.0))
        for fault in (Fault("freeze"), Fault("outage", "refuse")):
            self.instance.faults.replace((fault,))
            with pytest.raises(UpstreamUnavailableError):
                await control.hello(self.address)


class FixedClock(Clock):
    def __init__(self):
        self.now_s = 1000.0

    def monotonic_s(self):
        return self.now_s

    def wall_s(self):
        return self.now_s


class PeerEdgeTest(tornado.testing.AsyncTestCase):
    def verify(self, signer, method="GET", path="/peer/v1/feed", body=b"", **changed):
        headers = signer.headers("GET", "/peer/v1/feed", b"")
        fields = {"time": headers["Firefly-Time"], "signature": headers["Firefly-Signature"]}
        self.receiver.verify(method, path, body, **{**fields, **changed})

    def setUp(self):
        super().setUp()
        self.clock = FixedClock()
        self.receiver = PeerSigner((b"new", b"old"), self.clock)

    def test_both_secrets_are_accepted_during_rotation(self):
        """Guards against an outage while a secret is rotated."""
        self.verify(PeerSigner((b"old",), self.clock))
        self.verify(PeerSigner((b"new",), self.clock))

    def test_altered_expired_or_wrongly_signed_calls_are_rejected(self):
        """Guards against calls that are forged, altered or replayed later."""
        signer = PeerSigner((b"new",), self.clock)

        def signed(time):
            return {
                "time": time,
                "signature": _signature(b"new", "GET", "/peer/v1/feed", time, _body_text(b"")),
            }

        unknown_signer = PeerSigner((b"other",), self.clock)
        for sender, changed in (
            (unknown_signer, {}),
            (signer, {"method": "POST"}),
            (signer, {"path": "/peer/v1/feed?since=1"}),
            (signer, {"body": b"x"}),
            (signer, {"time": "1001.000"}),
            (signer, {"signature": ""}),
            (signer, {"time": "é", "signature": "é"}),
            (signer, signed("nan")),
            (signer, signed("")),
        ):
            with pytest.raises(PeerSignatureError):
                self.verify(sender, **changed)
        self.clock.now_s += 31.0
        expired = PeerSigner((b"new",), FixedClock())
        with pytest.raises(PeerSignatureError):
            self.verify(expired)

    @tornado.testing.gen_test
    async def test_feed_is_signed_over_its_query(self):
        """Guards against a signature of another path than the one that is sent."""
        receiver = self.receiver

        class Feed(tornado.web.RequestHandler):
            def get(self):
                headers = self.request.headers
                signed = headers["Firefly-Time"], headers["Firefly-Signature"]
                receiver.verify("GET", self.request.uri, b"", *signed)
                self.write(encode_batch(platform_batch))

        platform_batch = Platform().objects.list("")
        application = tornado.web.Application([("/peer/v1/feed", Feed)])
        address = listen(tornado.httpserver.HTTPServer(application))
        link = HttpPeerLink(patient_client("vm-1"), PeerSigner((b"old",), self.clock))
        assert await link.feed(address, 3, 4, "vm-1", 1.0) == platform_batch


def test_metrics_reach_every_receiver():
    """Guards against counters that reach only one receiver and are missing on the status page."""
    first, second = MemoryMetrics(), MemoryMetrics()
    metrics = TeeMetrics(first, second)
    metrics.increment("refused.queue_full", 2)
    metrics.timing_ms("service", 3.0)
    metrics.timing_ms("service", 1.0)
    assert second.counters == {"refused.queue_full": 2}
    assert first.timings == {"service": Timing(2, 4.0, 3.0)}
