"""Guards against stand-ins for upstreams that hide the faults that the soak injects."""

import asyncio
import contextlib
import random
import time
from typing import ClassVar

import orjson
import pytest

from fireflyferry.platform import names
from fireflyferry.platform.soak import fleet as fleet_module
from fireflyferry.platform.soak.audit import Audit
from fireflyferry.platform.soak.fleet import Restart, UpstreamFleet
from fireflyferry.platform.soak.misbehaviour import PROBABILITIES, Misbehaviour
from fireflyferry.platform.soak.stalls import StallMonitor
from fireflyferry.platform.soak.store import StoreStandin
from fireflyferry.platform.soak.upstreams import UpstreamWorld

FENCE, OWNER = "a fence is above all earlier ones", "a key has one owner"


@pytest.fixture(autouse=True)
def misbehave_always(monkeypatch):
    for kind in PROBABILITIES:
        monkeypatch.setitem(PROBABILITIES, kind, 1.0)


def grant(fence, hold_s=5.0):
    return {"from": 0, "target": 9, "fence": fence, "holdS": hold_s}


class Connection:
    """A kept connection to an upstream."""

    opened: ClassVar[list] = []

    def __init__(self, reader, writer):
        self._reader, self._writer = reader, writer
        self.opened.append(self)

    @classmethod
    async def open(cls, upstream):
        return cls(*await asyncio.open_connection("127.0.0.1", upstream.port))

    @classmethod
    async def close_all(cls):
        while cls.opened:
            cls.opened.pop()._writer.transport.abort()
        await asyncio.sleep(0.01)

    async def send(self, path, body, expected=""):
        """Send a call and return the status of the next answer; 0 if there is none."""
        content = orjson.dumps(body)
        head = [f"POST {path} HTTP/1.1", "Host: u", f"Content-Length: {len(content)}"]
        head += [f"{names.HEADERS.expected_upstream}: {expected}"] if expected else []
        head += [f"{names.HEADERS.request_id}: {body['id']}"] if "id" in body else []
        self._writer.write("\r\n".join([*head, "", ""]).encode() + content)
        return await self.read_status()

    async def read_status(self):
        """Read an answer and return its status; 0 if there is none."""
        try:
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode()
        except (OSError, asyncio.IncompleteReadError):
            return 0
        length = int(head.lower().partition("content-length: ")[2].partition("\r\n")[0])
        await self._reader.readexactly(length)
        return int(head.split(" ")[1])


class World:
    """Two upstreams of a pool with keys, and one of a pool without."""

    def __init__(self):
        self.store, self.audit = StoreStandin(random.Random(1)), Audit()
        world = UpstreamWorld(self.store, self.audit, random.Random(1))
        self.processes = world.processes
        self.fleet = UpstreamFleet(world, {"keyed": True, "plain": False})
        self.first, self.second = (self.fleet.add("keyed", "dc") for _ in range(2))
        self.fleet.add("plain", "dc")

    @property
    def newest(self):
        return self.processes[-1]

    @property
    def invariants(self):
        return {each.invariant for each in self.audit.findings}

    def is_listed(self, upstream):
        entry = self.store.get(names.UPSTREAM_KIND, upstream.upstream_id)
        return entry is not None and entry["spec"]["born"] == upstream.born


def play(scenario):
    """Run a scenario and return the violated invariants."""

    async def main():
        world = World()
        heartbeats = asyncio.create_task(world.fleet.send_heartbeats())
        try:
            await scenario(world)
        finally:
            heartbeats.cancel()
            world.fleet.close()
            await Connection.close_all()
        return world.invariants

    return asyncio.run(main())


def test_orders_for_another_upstream_are_refused_and_not_carried_out():
    async def scenario(world):
        connection = await Connection.open(world.first)
        assert await connection.send("/grant", grant(1), world.second.upstream_id) == 421
        assert not world.first.holds_key(5)
        assert await connection.send("/grant", grant(1), world.first.upstream_id) == 200
        assert await connection.send("/release", grant(2), world.second.upstream_id) == 421
        assert world.first.holds_key(5)
        assert await connection.send("/release", grant(2), world.first.upstream_id) == 200
        assert not world.first.holds_key(5)

    assert play(scenario) == set()


@pytest.mark.parametrize("same_id", [True, False])
def test_fence_at_two_processes_of_one_address_is_reported(same_id):
    """Guards against a soak that takes the process at an address for the one before it."""

    async def scenario(world):
        ended = world.first
        kept = await Connection.open(ended)
        assert await kept.send("/grant", grant(3)) == 200
        await world.fleet.restart(ended, Restart(same_id=same_id, unlisted_s=9.0))
        assert (world.newest.upstream_id == ended.upstream_id) is same_id
        assert await kept.read_status() == 0 and not world.newest.holds_key(5)
        assert not world.is_listed(world.newest) and world.is_listed(ended)
        assert await (await Connection.open(world.newest)).send("/grant", grant(3)) == 200

    assert play(scenario) == {FENCE}


def test_processes_that_start_within_a_millisecond_have_different_start_times(monkeypatch):
    """Guards against findings that take a restarted process for the one before it."""

    async def scenario(world):
        first = world.first
        await world.fleet.restart(first, Restart(same_id=True))
        assert world.newest.born > first.born

    monkeypatch.setattr("fireflyferry.platform.soak.upstreams.time.time_ns", lambda: 10**18)
    assert play(scenario) == set()


def test_process_of_another_pool_that_takes_keys_is_reported():
    async def scenario(world):
        world.fleet.add("keyed", "dc")
        await world.fleet.restart(world.first, Restart(same_id=False, other_pool=True))
        assert world.newest.pool == "plain"
        await (await Connection.open(world.newest)).send("/grant", grant(1))

    assert play(scenario) == {"grants go to pools with keys"}


def test_two_holders_are_reported_at_the_grant():
    async def scenario(world):
        assert world.first.apply_grant(grant(1), time.monotonic())
        assert world.second.apply_grant(grant(2), time.monotonic())

    assert play(scenario) == {OWNER}


def test_ended_process_holds_nothing_and_its_late_grant_goes_with_it(monkeypatch):
    async def scenario(world):
        ended = world.first
        ended.misbehaviour = Misbehaviour.DELAYS_GRANTS
        connection = await Connection.open(ended)
        answer = asyncio.create_task(connection.send("/grant", grant(1)))
        await asyncio.sleep(0.2)
        await world.fleet.restart(ended, Restart())
        assert await answer == 0
        assert world.second.apply_grant(grant(1), time.monotonic())
        await asyncio.sleep(0.5)

    monkeypatch.setattr("fireflyferry.platform.soak.upstream_handlers.MAX_GRANT_DELAY_S", 0.4)
    monkeypatch.setattr("fireflyferry.platform.soak.upstream_handlers.MIN_GRANT_DELAY_S", 0.4)
    assert play(scenario) == set()


def test_time_of_a_late_grant_counts_from_its_arrival():
    async def scenario(world):
        now_s = time.monotonic()
        assert world.first.apply_grant(grant(1), now_s - 6.0)
        assert not world.first.holds_key(5)
        assert world.second.apply_grant(grant(2), now_s)
        assert world.first.apply_grant(grant(1), now_s - 6.0)
        assert world.second.apply_grant(grant(2), now_s - 6.0)
        assert world.second.holds_key(5)

    assert play(scenario) == set()


def test_late_grant_that_still_holds_is_compared():
    async def scenario(world):
        now_s = time.monotonic()
        assert world.second.apply_grant(grant(2), now_s)
        assert world.first.apply_grant(grant(1), now_s - 3.0)

    assert play(scenario) == {FENCE, OWNER}


def test_earlier_answers_are_written_once_more():
    async def scenario(world):
        connection = await Connection.open(world.first)
        assert await connection.send("/grant", grant(1), "another") == 421
        world.first.misbehaviour = Misbehaviour.REPEATS_ORDER_ANSWERS
        assert await connection.send("/grant", grant(1)) == 421
        assert await connection.read_status() == 200
        assert world.first.holds_key(5)

    assert play(scenario) == set()


def test_earlier_refusal_is_written_before_the_answer_of_a_request():
    async def scenario(world):
        upstream = world.processes[2]
        upstream.misbehaviour, request = Misbehaviour.REPEATS_REFUSALS, {"id": "a"}
        world.audit.record_sent("a", True)
        connection = await Connection.open(upstream)
        assert await connection.send("/write/", request, "another") == 421
        assert await connection.send("/write/", request) == 421
        assert await connection.read_status() in (200, 503)

    assert play(scenario) == set()


def test_answers_are_broken_off_inside_the_head():
    async def scenario(world):
        world.first.misbehaviour = Misbehaviour.BREAKS_HEADS
        assert await (await Connection.open(world.first)).send("/grant", grant(1)) == 0
        assert world.first.holds_key(5)

    assert play(scenario) == set()


def test_port_that_refuses_keeps_its_connections_and_keys():
    async def scenario(world):
        kept = await Connection.open(world.first)
        assert await kept.send("/grant", grant(1)) == 200
        world.first.refuse_connections()
        with contextlib.suppress(ConnectionRefusedError):
            await Connection.open(world.first)
            raise AssertionError("the connection was accepted")
        assert await kept.send("/grant", grant(1)) == 200 and world.first.holds_key(5)
        world.first.close_connections()
        assert await kept.send("/grant", grant(1)) == 0 and world.first.holds_key(5)
        world.first.listen()
        assert await (await Connection.open(world.first)).send("/grant", grant(1)) == 200

    assert play(scenario) == set()


def test_entry_goes_while_an_upstream_does_not_reach_the_store(monkeypatch):
    async def scenario(world):
        world.first.unlisted_until_s = time.monotonic() + 60.0
        await asyncio.sleep(0.5)
        assert not world.is_listed(world.first) and world.is_listed(world.second)
        assert await (await Connection.open(world.first)).send("/grant", grant(1)) == 200
        world.first.unlisted_until_s = 0.0
        await asyncio.sleep(0.3)
        assert world.is_listed(world.first)

    monkeypatch.setattr(fleet_module, "HEARTBEAT_INTERVAL_S", 0.05)
    assert play(scenario) == set()


def test_call_that_arrived_during_a_stall_counts_from_before_it():
    """Guards against findings on a busy machine that no upstream would see."""
    monitor = StallMonitor()
    for now_s in (1.0, 1.05, 1.1):
        monitor.tick(now_s)
    assert monitor.earliest_arrival_s(1.12) == 1.12
    assert monitor.earliest_arrival_s(3.0) == 1.1
    monitor.tick(3.0)
    assert monitor.earliest_arrival_s(3.01) == 1.1 and monitor.longest_s == pytest.approx(1.85)
    for now_s in (3.05, 3.1):
        monitor.tick(now_s)
    assert monitor.earliest_arrival_s(3.12) == 3.12
