"""Guards against an upstream stand-in with wrong counts or refusals."""

import asyncio

import orjson
import tornado.httpclient
import tornado.testing
from hypothesis import given
from hypothesis import strategies as st

from fireflyferry.leases import GrantHolder
from fireflyferry.messages import GrantMessage, UnitGrant
from fireflyferry.standins.faults import Fault
from fireflyferry.standins.upstream_instance import InstanceSettings, UpstreamInstance
from fireflyferry.standins.upstream_ownership import OwnershipLog
from fireflyferry.standins.upstream_server import make_server

OWNER_HEADERS = {"Firefly-Unit": "b:1", "Firefly-Fence": "7", "Firefly-Key": "k"}
GRANTED = (UnitGrant("b:1", 7),)


class UpstreamTest(tornado.testing.AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.start(service_ms=1.0, connections=30)

    def start(self, **settings):
        self.instance = UpstreamInstance(InstanceSettings("u1", "janela", **settings))
        sock, port = tornado.testing.bind_unused_port()
        make_server(self.instance).add_socket(sock)
        self.base = f"http://127.0.0.1:{port}"
        self.client = tornado.httpclient.AsyncHTTPClient(force_instance=True, max_clients=40)
        self.grant(30.0)

    def grant(self, length_s, units=GRANTED, set_version=1):
        token = self.instance.hello().token
        message = GrantMessage("janela/natal-1/0", 1, set_version, token, length_s, units)
        return self.instance.accept(message)

    async def fetch(self, request_id, path="/x", **headers):
        extra_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        try:
            return await self.client.fetch(
                self.base + path,
                headers={**OWNER_HEADERS, "Firefly-Request-Id": request_id, **extra_headers},
                raise_error=False,
                follow_redirects=False,
            )
        except (tornado.httpclient.HTTPClientError, OSError):
            return None  # no complete answer

    def set_faults(self, *faults):
        self.instance.faults.replace(tuple(faults))
        self.instance.changed.notify()

    async def wait_until_running(self, request_id):
        while request_id not in self.instance.running:
            await asyncio.sleep(0.005)

    @tornado.testing.gen_test
    async def test_refused_requests_are_not_executed(self):
        """Guards against a request that is refused although it was executed."""
        cases = {
            "not_owner": {"Firefly_Unit": "b:2"},
            "stale_fence": {"Firefly_Fence": "6"},
            "deadline_passed_in_queue": {"Firefly_Deadline_Ms": "0"},
        }
        for reason, headers in cases.items():
            response = await self.fetch(reason, **headers)
            assert response.code == 503
            assert response.headers["Firefly-Outcome"] == "not-run"
            assert response.headers["Firefly-Reason"] == reason
        assert not self.instance.by_request

    @tornado.testing.gen_test
    async def test_slots_limit_executions_and_deadlines_apply_while_waiting(self):
        """Guards against more than two executions at once and executions after the deadline."""
        first = [self.fetch(f"r{n}", "/x?service_ms=20000") for n in range(2)]
        first = [asyncio.ensure_future(each) for each in first]
        await self.wait_until_running("r0")
        await self.wait_until_running("r1")
        late = asyncio.ensure_future(self.fetch("late", Firefly_Deadline_Ms="200"))
        while not self.instance.slots.waiting:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.25)
        await self.instance.cancel("r0")
        assert (await late).headers["Firefly-Reason"] == "deadline_passed_in_queue"
        assert (self.instance.by_request["late"], self.instance.slots.peak_offered) == (0, 3)
        await self.instance.cancel("r1")
        assert [each.code for each in await asyncio.gather(*first)] == [503, 503]

    @tornado.testing.gen_test
    async def test_attempts_of_one_request_count_together(self):
        """Guards against executions that are missed because each attempt has its own id."""
        for attempt_id in ("a1", "a2"):
            answer = await self.fetch(attempt_id, Request_Id="r1")
            assert answer.headers["Firefly-Request-Id"] == attempt_id
            assert orjson.loads(answer.body)["request_id"] == "r1"
        assert dict(self.instance.by_request) == {"r1": 2}
        await self.instance.cancel("a1")
        assert (await self.fetch("a1", Request_Id="r1")).code == 503
        assert (await self.fetch("a3", Request_Id="r1")).code == 200

    @tornado.testing.gen_test
    async def test_encoded_units_and_keys_match_grants(self):
        """Guards against refusals of keys that have to be encoded in a header."""
        self.grant(30.0, (UnitGrant("k:1:a é%", 8),), set_version=2)
        headers = {"Firefly_Unit": "k:1:a%20%C3%A9%25", "Firefly_Fence": "8"}
        assert (await self.fetch("r1", Firefly_Key="a%20%C3%A9%25", **headers)).code == 200
        assert (await self.fetch("r2", Firefly_Key="a", **headers)).code == 503

    @tornado.testing.gen_test
    async def test_cancel_waits_for_the_execution_and_refuses_later_arrivals(self):
        """Guards against a cancelled request that is executed later."""
        running = asyncio.ensure_future(self.fetch("r1", "/x?service_ms=20000"))
        await self.wait_until_running("r1")
        assert await self.instance.cancel("r1") == "stopped"
        assert "r1" not in self.instance.running
        assert (await running).headers["Firefly-Outcome"] == "unknown"
        again = await self.fetch("r1")
        assert (again.code, self.instance.by_request["r1"]) == (503, 1)

    @tornado.testing.gen_test
    async def test_upstream_detects_units_lost_during_a_freeze(self):
        """Guards against a lost unit that is missed after a freeze.

        An execution that began before the freeze must not be reported as held, and a request that
        waited during the freeze must not be executed.
        """
        running = asyncio.ensure_future(self.fetch("r1", "/x?service_ms=300"))
        await self.wait_until_running("r1")
        self.set_faults(Fault("freeze", operations=("data",)))
        waiting = asyncio.ensure_future(self.fetch("r2"))
        busy = self.grant(1.0, units=(), set_version=2).busy
        self.set_faults()
        assert busy == ("b:1",)
        assert (await running).headers["Firefly-Ownership"] == "lapsed"
        assert (await waiting).headers["Firefly-Reason"] == "not_owner"
        assert dict(self.instance.by_request) == {"r1": 1}

    @tornado.testing.gen_test
    async def test_answers_are_complete_except_under_a_fault(self):
        """Guards against faults that have no effect on the caller."""
        for path in ("/x?size_bytes=200000", "/x?size_bytes=200000&chunked=1"):
            self.set_faults()
            complete = await self.fetch("r1", path)
            assert (complete.code, len(complete.body)) == (200, 200_000)
            assert complete.headers["Firefly-Ownership"] == "held"
            line = orjson.loads(complete.body.split(b"\n", 1)[0])
            assert (line["request_id"], line["key"]) == ("r1", "k")
            self.set_faults(Fault("truncated_body", count=1))
            assert await self.fetch("r2", path) is None
        self.set_faults(Fault("close_before_first_byte", keys=("k",), count=1))
        assert await self.fetch("r3") is None
        assert self.instance.by_request["r3"] == 1
        self.set_faults(Fault("wrong_request_id"))
        assert (await self.fetch("r4")).headers["Firefly-Request-Id"] == "r2"
        self.set_faults(Fault("redirect", count=1), Fault("expectation_failed"))
        assert [(await self.fetch(each)).code for each in ("r5", "r6")] == [302, 417]
        assert "r5" not in self.instance.by_request

    @tornado.testing.gen_test
    async def test_connections_over_the_limit_serve_only_test_paths(self):
        """Guards against a router that exceeds the limit unnoticed."""
        opened = [asyncio.open_connection("127.0.0.1", int(self.base[17:])) for _ in range(30)]
        connections = await asyncio.gather(*opened)
        response = await self.fetch("r1")
        assert response.headers["Firefly-Reason"] == "connection_limit"
        executions = await self.client.fetch(self.base + "/executions")
        assert orjson.loads(executions.body)["peak_connections"] > 30
        for _, writer in connections:
            writer.close()

    @tornado.testing.gen_test
    async def test_ignored_grants_and_lying_health(self):
        """Guards against tests of a faulty upstream that run against a correct one."""
        self.set_faults(Fault("ignore_grants"), Fault("lying_health", "bad"))
        assert self.instance.hello().checks == "none"
        assert (await self.fetch("r1", Firefly_Unit="b:9")).code == 200
        health = await self.client.fetch(self.base + "/control/v1/health", raise_error=False)
        assert health.code == 503

    @tornado.testing.gen_test
    async def test_requests_after_a_drain_are_recorded(self):
        """Guards against requests executed long after a drain that no counter shows."""
        await self.client.fetch(self.base + "/control/v1/drain", method="POST", body="")
        assert self.instance.hello().draining
        await self.fetch("r1")
        assert self.instance.last_work_after_drain_s > 0


UNITS = st.lists(st.sampled_from(["b:1", "b:2", "b:3"]), unique=True)
STEPS = st.tuples(
    st.floats(0.0, 1.0),
    st.sampled_from(["g0", "g1"]),
    st.integers(1, 2),
    st.integers(1, 4),
    st.floats(0.0, 1.5),
    st.none() | UNITS,
)


@given(st.lists(STEPS, max_size=25), st.booleans())
def test_ownership_log_agrees_with_the_holder(steps, checks):
    """Guards against a log that omits a holding or reports one that did not exist."""
    holder, log, now_s, token = GrantHolder("u1", "a", checks), OwnershipLog("u1"), 0.0, "a@0.0"
    for step_s, group, term, version, length_s, units in steps:
        fences = None if units is None else tuple(UnitGrant(each, term) for each in units)
        message = GrantMessage(group, term, version, token, length_s, fences)
        now_s, until_s = now_s + step_s, float(token[2:]) + length_s if checks else None
        if holder.accept(now_s, message).accepted:
            log.on_accepted(now_s, message, until_s)
        token = holder.token(now_s)
        for at_s in (now_s, now_s + 0.3, now_s + 1.2):
            assert set(log.held_units(at_s)) == set(holder.held_units(at_s))
