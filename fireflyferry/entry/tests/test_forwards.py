"""Counting of requests in flight to upstreams without checks, which delay releases."""

import asyncio
from types import SimpleNamespace

import attrs
import pytest

from fireflyferry.edges.base import UpstreamUnavailableError
from fireflyferry.entry.group_runtime import GroupRuntime
from fireflyferry.entry.limits import RequestLimits
from fireflyferry.entry.owner_view import OwnerView
from fireflyferry.entry.tests.support import (
    GROUP,
    ScriptedUpstream,
    answer,
    entry_vms,
    send_request,
)
from fireflyferry.entry.upstream_table import UpstreamTable
from fireflyferry.leases import LeaseTiming
from fireflyferry.messages import GrantReply, Hello, VmEntry
from fireflyferry.ownership import GrantManager, SaveOwners
from fireflyferry.placement import HotKeyPlanner, HotKeySketch
from fireflyferry.telemetry import Reason

UNIT = "b:0"
KEY = "key"
FAST_CLEANUP = RequestLimits(cancel_timeout_s=0.02, cancel_retry_delay_s=0.02, cancel_grace_s=0.1)


class Leader:
    """Leader of a group that has two upstreams without checks, which answer at once."""

    def __init__(self):
        self.now_s = 0.0
        self.is_leader = True
        self.term = 1
        self.upstreams = UpstreamTable()
        self.grants = GrantManager(GROUP, LeaseTiming())
        self.grants.begin_term(0.0, 1, None)
        authority = SimpleNamespace(
            is_leader=lambda now_s: self.is_leader, record=SimpleNamespace(term=1)
        )
        self.runtime = GroupRuntime(
            GROUP, authority, self.grants, HotKeySketch(16), HotKeyPlanner(), grants_term=1
        )
        self.view = OwnerView(None, self.upstreams, {GROUP: self.runtime})
        for name in ("n0", "n1"):
            hello = Hello(name, GROUP.pool, 2, 0, "none", "token")
            entry = VmEntry(name, "upstream", "r", "dc", "127.0.0.1:1", pool=GROUP.pool)
            self.upstreams.track(entry)
            self.upstreams.on_hello(0.0, name, hello)
            self.grants.on_hello(0.0, 0.0, hello)

    def place(self, name):
        self.grants.set_desired(self.now_s, {UNIT: name})
        self.run_ticks()

    def run_ticks(self):
        for _ in range(40):
            self.now_s += 0.05
            for action in self.grants.tick(self.now_s, self.now_s + 1.0):
                if isinstance(action, SaveOwners):
                    self.grants.on_owners_saved(self.now_s, action.save_id)
                    continue
                sent = action.message
                reply = GrantReply(action.upstream_id, "token", True, self.term, sent.set_version)
                self.grants.on_grant_reply(self.now_s, action.upstream_id, self.now_s, reply)

    def begin_forward(self):
        return self.view.begin_forward(self.now_s, GROUP, UNIT, KEY)

    def owner(self):
        return self.view.owner(self.now_s, GROUP, UNIT)


@pytest.mark.parametrize("is_leader", [True, False])
def test_forward_delays_a_release(is_leader):
    """Guards against a unit that moves while a request to its earlier owner is in flight."""
    leader = Leader()
    leader.place("n0")
    assert leader.begin_forward().upstream_id == "n0"
    leader.place("n1")
    assert leader.owner() is Reason.OWNER_HELD
    # Counting must stop even after the group was lost, since the group may be regained.
    leader.is_leader = is_leader
    leader.view.end_forward(GROUP, "n0", UNIT, KEY)
    leader.is_leader = True
    leader.run_ticks()
    assert leader.owner().upstream_id == "n1"


def test_refused_forward_is_not_counted():
    """Guards against a unit that never moves because of a request that was not sent."""
    leader = Leader()
    leader.place("n0")
    leader.upstreams.get("n0").hello = None
    assert leader.begin_forward() is Reason.OWNER_UNAVAILABLE
    leader.is_leader = False
    assert leader.begin_forward() is Reason.NOT_LEADER
    leader.is_leader = True
    leader.place("n1")
    assert leader.owner().upstream_id == "n1"


def test_last_hop_counts_a_forward_until_it_is_answered():
    """Guards against a release between the authority check and the answer."""

    async def run():
        counted = []

        async def script(request, writer):
            counted.append(+cluster.forwards)
            writer.write(answer(request, b"ok"))

        async with ScriptedUpstream(script) as upstream, entry_vms(upstream.port) as cluster:
            assert (await send_request(cluster.public_ports[0], "/write/key")).status == 200
            unit = upstream.received[0].headers["firefly-unit"]
            assert counted == [{("up-0", unit, "key"): 1}]
            assert not +cluster.forwards

    asyncio.run(run())


@pytest.mark.parametrize("end", ["confirmed", "gone", "checks"])
def test_last_hop_counts_a_forward_with_an_unknown_outcome(end):
    """Guards against a unit that moves after a timeout while its upstream is frozen."""

    async def script(request, writer):
        await asyncio.sleep(1)

    async def run():
        async with (
            ScriptedUpstream(script) as upstream,
            entry_vms(upstream.port, limits=FAST_CLEANUP) as cluster,
        ):
            frozen = True

            async def cancel(address, request_id):
                if frozen:
                    raise UpstreamUnavailableError("frozen")

            cluster.controls[0].cancel = cancel
            checks = "grants" if end == "checks" else "none"
            cluster.target = attrs.evolve(cluster.target, checks=checks)
            headers = [("Firefly-Deadline-Ms", "30")]
            reply = await send_request(cluster.public_ports[0], "/write/key", headers=headers)
            assert reply.reason == "timed_out"
            unit = upstream.received[0].headers["firefly-unit"]
            assert cluster.forwards["up-0", unit, "key"] == 1
            if end != "checks":
                await asyncio.sleep(0.4)
                assert cluster.paths[0].in_flight("up-0", unit) == 0, "the slot is free"
                assert cluster.forwards["up-0", unit, "key"] == 1
            if end == "gone":
                cluster.paths[0].upstream_gone("up-0")
            frozen = end != "confirmed"
            async with asyncio.timeout(2):
                while cluster.forwards["up-0", unit, "key"]:
                    await asyncio.sleep(0.01)

    asyncio.run(run())


def test_upstream_gone_while_its_request_runs():
    """Guards against endless cancellations to an upstream that is gone."""

    async def script(request, writer):
        await asyncio.sleep(1)

    async def run():
        async with (
            ScriptedUpstream(script) as upstream,
            entry_vms(upstream.port, limits=FAST_CLEANUP) as cluster,
        ):

            async def cancel(address, request_id):
                raise UpstreamUnavailableError("gone")

            cluster.controls[0].cancel = cancel
            cluster.target = attrs.evolve(cluster.target, checks="none")
            headers = [("Firefly-Deadline-Ms", "200")]
            pending = asyncio.ensure_future(
                send_request(cluster.public_ports[0], "/write/key", headers=headers)
            )
            async with asyncio.timeout(2):
                while not upstream.received:
                    await asyncio.sleep(0.01)
                cluster.paths[0].upstream_gone("up-0")
                assert (await pending).reason == "timed_out"
                assert sum(cluster.forwards.values()) == 1
                while sum(cluster.forwards.values()):
                    await asyncio.sleep(0.01)

    asyncio.run(run())


def test_failed_cleanup_confirms_no_cancellation():
    """Guards against an error of the cancel call that counts as a confirmation."""

    async def script(request, writer):
        await asyncio.sleep(1)

    async def run():
        async with (
            ScriptedUpstream(script) as upstream,
            entry_vms(upstream.port, limits=FAST_CLEANUP) as cluster,
        ):
            unhandled = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda loop, context: unhandled.append(context))

            async def cancel(address, request_id):
                raise ValueError("not an answer")

            cluster.controls[0].cancel = cancel
            headers = [("Firefly-Deadline-Ms", "30")]
            reply = await send_request(cluster.public_ports[0], "/write/key", headers=headers)
            assert reply.reason == "timed_out"
            unit = upstream.received[0].headers["firefly-unit"]
            await asyncio.sleep(0.1)
            assert cluster.paths[0].in_flight("up-0", unit) == 0
            assert cluster.forwards["up-0", unit, "key"] == 1
            assert not unhandled

    asyncio.run(run())


def test_request_that_waited_while_its_key_was_split_is_not_forwarded_under_the_bucket():
    """Guards against a request that reaches the bucket's owner after its key moved elsewhere."""
    leader = Leader()
    leader.place("n0")
    assert leader.view.begin_forward(leader.now_s, GROUP, UNIT, KEY).upstream_id == "n0"
    leader.view.end_forward(GROUP, "n0", UNIT, KEY)
    leader.grants.set_desired(leader.now_s, {UNIT: "n0", f"k:0:{KEY}": "n1"})
    leader.run_ticks()
    found = leader.view.begin_forward(leader.now_s, GROUP, UNIT, KEY)
    assert found is Reason.NOT_OWNER
    assert leader.view.begin_forward(leader.now_s, GROUP, UNIT, "other").upstream_id == "n0"
