"""Processes that have the id or the address of an earlier one, of which they prove nothing."""

import asyncio
import random
import types

import attrs
import pytest

from fireflyferry.balancing import EntryVm, LoadTracker, SelectionRules, Upstream, VmDirectory
from fireflyferry.edges.system_clock import BootClock
from fireflyferry.gateway import documents
from fireflyferry.gateway.calls import Call, not_run
from fireflyferry.gateway.envelopes import EnvelopeCodec
from fireflyferry.gateway.grant_log import log_moves
from fireflyferry.gateway.learning import record_attempt
from fireflyferry.gateway.peer_client import PeerClient
from fireflyferry.gateway.program import ProgramRules
from fireflyferry.gateway.registration import Registration
from fireflyferry.gateway.tests.support import (
    HEADER_NAMES,
    FakeStore,
    ScriptedUpstream,
    gateway,
    make_config,
    make_route,
    reply,
    request,
    reserve_free_port,
    run_with,
    upstream_content,
)
from fireflyferry.gateway.watching import StoreHealth
from fireflyferry.keyranges import Clearance, GrantCall, OwnedRange, UpstreamRun
from fireflyferry.messages.codec import unstructure
from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.transport import CurlTransport

THIS_VM = EntryVm("vm-1", "i1", "127.0.0.1:1", "dc-1")


@attrs.define
class Peers:
    """Client for other VMs, and the directory of VMs that it uses."""

    client: PeerClient
    vms: VmDirectory


def with_peers(scenario):
    """Await `scenario(peers)` with a client for other VMs."""

    async def run():
        transport = CurlTransport(force_instance=True, connect_timeout_s=0.4)
        vms = VmDirectory(THIS_VM, {})
        peers = Peers(PeerClient(BootClock(), transport, vms, EnvelopeCodec(HEADER_NAMES)), vms)
        try:
            await scenario(peers)
        finally:
            transport.close()

    asyncio.run(run())


async def serve_at(port, answer):
    """Serve the same bytes to every request at a port."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", port)


# Calls to other VMs


def test_ping_that_an_earlier_incarnation_answers_is_not_shared_with_the_next():
    """Guards against a dead VM that counts as alive because its earlier address responds."""

    async def scenario(peers):
        server = await serve_at(0, b"HTTP/1.1 204 No Content\r\n\r\n")
        port = server.sockets[0].getsockname()[1]
        earlier = EntryVm("vm-2", "i2", f"127.0.0.1:{port}", "dc-1")
        later = attrs.evolve(earlier, incarnation="j2", address=f"127.0.0.1:{reserve_free_port()}")
        peers.vms.apply([THIS_VM, later])
        alive = await asyncio.gather(peers.client._is_alive(earlier), peers.client._is_alive(later))
        assert alive == [True, False] and peers.vms.suspected == [later]
        server.close()

    with_peers(scenario)


def make_call(**changes):
    call = Call("r1", "GET", "/", [], b"", "p", None, False, 1, 2, 0.0, 0.0, 0.0)
    now_s = BootClock().monotonic_s()
    times = {"started_s": now_s, "target_time_s": now_s + 1, "deadline_s": now_s + 1}
    return attrs.evolve(call, **{**times, **changes})


UPSTREAM = Upstream(UpstreamRun("u1", 1), "p", "127.0.0.1:2", "dc-1", 1)


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", Outcome.NOT_RUN),
        (b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", Outcome.NOT_RUN),
        (b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", Outcome.UNKNOWN),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Outcome.UNKNOWN),
    ],
)
def test_address_of_a_gone_vm_that_another_server_has_is_not_used_again(answer, outcome):
    """Guards against requests that are lost one by one at an address which is no VM's any more.

    Load pattern: a VM crashed without a mark in its entry, and an upstream has its address.
    """

    async def scenario(peers):
        server = await serve_at(0, answer)
        gone = EntryVm("vm-2", "i2", f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "dc-1")
        peers.vms.apply([THIS_VM, gone])
        attempt = await peers.client.forward(make_call(), UPSTREAM, gone)
        assert attempt.outcome is outcome
        assert peers.vms.suspected == [gone]
        # Pings that the other server answers do not end the suspicion.
        assert not await peers.client._is_alive(gone)
        assert peers.vms.suspected == [gone]
        server.close()

    with_peers(scenario)


def test_ping_that_the_next_vm_at_an_address_answers_is_none_of_the_earlier_one():
    """Guards against a gone VM that counts as alive since another VM has its address."""

    async def scenario(running, upstream, store):
        peers, this_vm = running.program._peers, running.program._this_vm
        gone = EntryVm("vm-2", "i2", this_vm.address, "dc-1")
        assert await peers._is_alive(this_vm) and not await peers._is_alive(gone)

    run_with(None, scenario)


# Requests to upstreams


def test_upstream_whose_address_another_one_has_is_avoided():
    """Guards against retries of most requests while a listed upstream has ended.

    Load pattern: an upstream crashed, and another one that the store does not list yet has its
    address. It refuses each request for the earlier one at once, faster than others answer.
    """

    async def refuse(seen, writer):
        writer.write(reply(seen, b"", "421 Misdirected Request", f"{HEADER_NAMES.not_run}: 1\r\n"))

    async def answer_slowly(seen, writer):
        await asyncio.sleep(0.3)
        writer.write(reply(seen))

    async def scenario(running, upstream, store):
        # One refusal is enough, however long this test takes.
        rules = SelectionRules(first_avoid_s=1e6, max_avoid_s=1e6)
        running.program._load_tracker._rules = rules
        async with ScriptedUpstream(answer_slowly) as other:
            content = upstream_content("u2", other.port, data_centre="dc-2")
            await store.put("upstreams", "u2", content)
            await running.wait_until(lambda: len(list(running.program._state.upstreams)) == 2)
            for number in range(6):
                got = await request(running.port, "/write/", "POST", request_id=f"r{number}")
                assert got.status == 200
            assert len(upstream.seen) <= 1

    run_with(refuse, scenario)


def test_request_that_waits_for_an_ended_process_is_sent_elsewhere_at_once():
    """Guards against requests that wait for a slot of a process that has ended.

    Load pattern: an upstream with a queue crashes and starts again under its id.
    """

    release = asyncio.Event()

    async def answer_later(seen, writer):
        await release.wait()
        writer.write(reply(seen))

    async def run():
        store = FakeStore()
        limits = {"idempotent": False, "timeout_s": 60.0, "target_latency_s": 30.0}
        config = make_config(routes=(make_route("write", "plain", **limits),))
        await store.put("configs", "main", unstructure(config))
        async with ScriptedUpstream(answer_later) as ended, ScriptedUpstream() as other:
            await store.put("upstreams", "u1", upstream_content("u1", ended.port, slots=1))
            far = upstream_content("u2", other.port, data_centre="dc-3")
            await store.put("upstreams", "u2", far)
            rules = ProgramRules(accept_while_stopping_s=0.1, cleanup_interval_s=3600.0)
            async with gateway(store, rules=rules) as running:
                last_hop, headers = running.program._last_hop, {HEADER_NAMES.deadline_ms: "60000"}
                sent = [
                    asyncio.ensure_future(
                        request(running.port, "/write/", "POST", headers, request_id=f"r{number}")
                    )
                    for number in range(3)
                ]
                await running.wait_until(lambda: last_hop.waiting == 1)
                restarted = upstream_content("u1", 1, run=UpstreamRun("u1", 2))
                await store.put("upstreams", "u1", restarted)
                await running.wait_until(lambda: len(other.seen) == 1)
                release.set()
                assert [each.status for each in await asyncio.gather(*sent)] == [200] * 3

    asyncio.run(run())


def test_owner_that_moved_its_keys_is_not_avoided():
    """Guards against refusals by former owners that count as failures of the upstream."""
    tracker = LoadTracker(SelectionRules(), random.Random(1))
    refusal = not_run(Reason.NOT_OWNER, reached=True)
    assert record_attempt(tracker, 10.0, make_call(key=7), UPSTREAM.run, refusal) == 0.0
    assert record_attempt(tracker, 10.0, make_call(), UPSTREAM.run, refusal) > 0.0


# Entries in the store


def test_newer_of_two_entries_with_one_address_is_used():
    """Guards against a crashed VM that is used in place of the next one at its address."""

    async def scenario(running, upstream, store):
        vms = running.program._state.vms
        first = EntryVm("vm-9", "i9", "127.0.0.1:3", "dc-2")
        for vm in (first, attrs.evolve(first, vm_id="vm-2", incarnation="i2")):
            await store.put(documents.VM_KIND, vm.vm_id, documents.vm_content(vm))
        await running.wait_until(lambda: len(vms) > 1)
        assert {vm.vm_id for vm in vms} == {"vm-1", "vm-2"}

    run_with(None, scenario)


class SlowStore(FakeStore):
    """Store that delays the next write until `delayed` is set, if it is not None."""

    def __init__(self):
        super().__init__()
        self.delayed = None

    async def write(self, kind, name, content, revision):
        delayed, self.delayed = self.delayed, None
        if delayed is not None:
            await delayed.wait()
        return await super().write(kind, name, content, revision)

    @property
    def vm(self):
        """The VM that the entry describes."""
        return documents.read_vm(self.objects[documents.VM_KIND][THIS_VM.vm_id])


def registration(store, vm):
    return Registration(store, StoreHealth(BootClock(), 5.0), vm)


def test_vm_that_stops_late_does_not_mark_the_next_incarnation_as_leaving():
    """Guards against a restarted VM that no other VM uses, since the earlier one stopped late."""

    async def run():
        store = SlowStore()
        earlier = registration(store, THIS_VM)
        later = attrs.evolve(THIS_VM, incarnation="j1")
        await earlier.run()
        await registration(store, later).run()
        await earlier.leave()
        assert store.vm == later

    asyncio.run(run())


def test_vm_that_stops_before_it_is_registered_stays_marked_as_leaving():
    """Guards against requests to a VM that stops, since it retried its first write afterwards."""

    async def run():
        store = SlowStore()
        store.down = True
        stopping = registration(store, THIS_VM)
        running = asyncio.ensure_future(stopping.run())
        await asyncio.sleep(0)
        store.down = False
        await stopping.leave()
        await running
        assert store.vm == attrs.evolve(THIS_VM, leaving=True)

    asyncio.run(run())


def test_first_write_that_is_in_flight_at_the_stop_does_not_end_the_mark():
    """Guards against requests to a VM that stops, since its two writes overtook each other."""

    async def run():
        store = SlowStore()
        delayed = store.delayed = asyncio.Event()
        stopping = registration(store, THIS_VM)
        running = asyncio.ensure_future(stopping.run())
        await asyncio.sleep(0)
        await stopping.leave()
        delayed.set()
        await running
        assert store.vm == attrs.evolve(THIS_VM, leaving=True)

    asyncio.run(run())


# Log


def test_log_tells_incarnations_of_an_upstream_apart(caplog):
    """Guards against an incident in which the log does not say which process a line is about."""
    caplog.set_level("INFO")

    async def shed(seen, writer):
        writer.write(reply(seen, b"", "503 Service Unavailable", f"{HEADER_NAMES.not_run}: 1\r\n"))

    def lines(event):
        found = [record for record in caplog.records if record.message == event]
        return [(record.upstream, record.born) for record in found]

    async def scenario(running, upstream, store):
        await request(running.port, "/write/", "POST")
        restarted = upstream_content("u1", upstream.port, run=UpstreamRun("u1", 2))
        await store.put("upstreams", "u1", restarted)
        await running.wait_until(lambda: running.program._state.upstreams.get("u1").run.born == 2)
        await request(running.port, "/write/", "POST")
        assert lines("upstream_standing") == [("u1", 1), ("u1", 2)]
        assert lines("upstream_forgotten") == [("u1", 1)]
        assert set(lines("attempt_failed")) == {("u1", 1), ("u1", 2)}

    run_with(shed, scenario)


def test_log_tells_incarnations_of_owners_apart(caplog):
    """Guards against a move of keys between two processes with one id that looks like none."""
    caplog.set_level("INFO")
    earlier, later, next_owner = (UpstreamRun(*each) for each in (("u8", 1), ("u8", 2), ("u9", 3)))

    def line(event):
        return next(each for each in caplog.records if each.message == event)

    async def scenario(running, upstream, store):
        control = running.program._control_loop
        moving = OwnedRange(0, 9, next_owner, 7, (earlier, later))
        served = OwnedRange(0, 9, later, 7, (), True)
        log_moves("p", (OwnedRange(0, 9, later, 6),), (moving,))
        moved = line("range_moves")
        assert (moved.to, moved.to_born, moved.earlier_born) == ("u9", 3, "1,2")
        log_moves("p", (OwnedRange(0, 9, later, 6),), (served,))
        assert (line("fence_raised").owner, line("fence_raised").born) == ("u8", 2)
        cleared = ((earlier, Clearance.RESTARTED), (later, Clearance.EXPIRED))
        call = GrantCall(next_owner, "127.0.0.1:1", 0, 9, 7, 1.0, cleared=cleared)
        granter = types.SimpleNamespace(on_grant=lambda *_: None)
        await control._grant(types.SimpleNamespace(granter=granter), call)
        assert line("moved_range_granted").cleared_born == "1,2"

    run_with(None, scenario)


def test_log_tells_incarnations_of_the_lease_holder_apart(caplog):
    """Guards against a takeover by the next incarnation of a VM that looks like a renewal."""
    caplog.set_level("INFO")

    async def scenario(running, upstream, store):
        await running.wait_until(lambda: running.program._control_loop.holds_lease)
        seen = [each for each in caplog.records if each.message == "lease_holder_seen"]
        incarnation = running.program._this_vm.incarnation
        assert [(each.vm, each.incarnation) for each in seen] == [("vm-1", incarnation)]

    run_with(None, scenario)
