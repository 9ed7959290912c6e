"""Guards against an upstream stand-in whose counts or refusals cannot be trusted."""

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

HELD = {"Firefly-Unit": "b:1", "Firefly-Fence": "7", "Firefly-Key": "k"}
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
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        try:
            return await self.client.fetch(
                self.base + path,
                headers={**HELD, "Firefly-Request-Id": request_id, **named},
                raise_error=False,
                follow_redirects=False,
            )
        except (tornado.httpclient.HTTPClientError, OSError):
            return None  # no complete answer

    def fault(self, *faults):
        self.instance.faults.replace(tuple(faults))
        self.instance.changed.notify()

    async def running(self, request_id):
        while request_id not in self.instance.running:
            await asyncio.sleep(0.005)

    @tornado.testing.gen_test
    async def test_refusals_have_not_run(self):
        """Guards against a refusal of a request that was executed."""
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
    async def test_slots_bound_what_runs_and_deadlines_count_while_waiting(self):
        """Guards against more than two runs at once and runs past their deadline."""
        first = [self.fetch(f"r{n}", "/x?service_ms=20000") for n in range(2)]
        first = [asyncio.ensure_future(it) for it in first]
        await self.running("r0")
        await self.running("r1")
        late = asyncio.ensure_future(self.fetch("late", Firefly_Deadline_Ms="20"))
        while not self.instance.slots.waiting:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.03)
        await self.instance.cancel("r0")
        assert (await late).headers["Firefly-Reason"] == "deadline_passed_in_queue"
        assert (self.instance.by_request["late"], self.instance.slots.peak_offered) == (0, 3)
        await self.instance.cancel("r1")
        assert [it.code for it in await asyncio.gather(*first)] == [503, 503]

    @tornado.testing.gen_test
    async def test_encoded_units_and_keys_match_grants(self):
        """Guards against refusals of keys that cannot stand in a header as they are."""
        self.grant(30.0, (UnitGrant("k:1:a é%", 8),), set_version=2)
        named = {"Firefly_Unit": "k:1:a%20%C3%A9%25", "Firefly_Fence": "8"}
        assert (await self.fetch("r1", Firefly_Key="a%20%C3%A9%25", **named)).code == 200
        assert (await self.fetch("r2", Firefly_Key="a", **named)).code == 503

    @tornado.testing.gen_test
    async def test_cancel_returns_when_nothing_runs_and_refuses_late_arrivals(self):
        """Guards against a cancelled request that runs later."""
        running = asyncio.ensure_future(self.fetch("r1", "/x?service_ms=20000"))
        await self.running("r1")
        assert await self.instance.cancel("r1") == "stopped"
        assert "r1" not in self.instance.running
        assert (await running).headers["Firefly-Outcome"] == "unknown"
        again = await self.fetch("r1")
        assert (again.code, self.instance.by_request["r1"]) == (503, 1)

    @tornado.testing.gen_test
    async def test_frozen_upstream_returns_and_notices_that_it_lost_its_units(self):
        """Guards against a frozen run that is reported as held, or a late request that runs."""
        running = asyncio.ensure_future(self.fetch("r1", "/x?service_ms=50"))
        await self.running("r1")
        self.fault(Fault("freeze", operations=("data",)))
        waiting = asyncio.ensure_future(self.fetch("r2"))
        busy = self.grant(1.0, units=(), set_version=2).busy
        self.fault()
        assert busy == ("b:1",)
        assert (await running).headers["Firefly-Ownership"] == "lapsed"
        assert (await waiting).headers["Firefly-Reason"] == "not_owner"
        assert dict(self.instance.by_request) == {"r1": 1}

    @tornado.testing.gen_test
    async def test_answers_are_whole_unless_a_fault_says_otherwise(self):
        """Guards against faults that do not show up at the caller."""
        for path in ("/x?size_bytes=200000", "/x?size_bytes=200000&chunked=1"):
            self.fault()
            whole = await self.fetch("r1", path)
            assert (whole.code, len(whole.body)) == (200, 200_000)
            assert whole.headers["Firefly-Ownership"] == "held"
            line = orjson.loads(whole.body.split(b"\n", 1)[0])
            assert (line["request_id"], line["key"]) == ("r1", "k")
            self.fault(Fault("truncated_body", count=1))
            assert await self.fetch("r2", path) is None
        self.fault(Fault("close_before_first_byte", keys=("k",), count=1))
        assert await self.fetch("r3") is None
        assert self.instance.by_request["r3"] == 1
        self.fault(Fault("wrong_request_id"))
        assert (await self.fetch("r4")).headers["Firefly-Request-Id"] == "r2"
        self.fault(Fault("redirect", count=1), Fault("expectation_failed"))
        assert [(await self.fetch(it)).code for it in ("r5", "r6")] == [302, 417]
        assert "r5" not in self.instance.by_request

    @tornado.testing.gen_test
    async def test_connections_past_the_limit_serve_only_test_paths(self):
        """Guards against a router that exceeds the limit without being noticed."""
        opened = [asyncio.open_connection("127.0.0.1", int(self.base[17:])) for _ in range(30)]
        held = await asyncio.gather(*opened)
        response = await self.fetch("r1")
        assert response.headers["Firefly-Reason"] == "connection_limit"
        executions = await self.client.fetch(self.base + "/executions")
        assert orjson.loads(executions.body)["peak_connections"] > 30
        for _, writer in held:
            writer.close()

    @tornado.testing.gen_test
    async def test_ignored_grants_and_lying_health(self):
        """Guards against tests of a bad upstream that run against a good one."""
        self.fault(Fault("ignore_grants"), Fault("lying_health", "bad"))
        assert self.instance.hello().checks == "none"
        assert (await self.fetch("r1", Firefly_Unit="b:9")).code == 200
        health = await self.client.fetch(self.base + "/control/v1/health", raise_error=False)
        assert health.code == 503

    @tornado.testing.gen_test
    async def test_work_after_drain_is_noted(self):
        """Guards against new work long after a drain that no count shows."""
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
    """Guards against a log that hides or invents a holding."""
    holder, log, now_s, token = GrantHolder("u1", "a", checks), OwnershipLog("u1"), 0.0, "a@0.0"
    for step_s, group, term, version, length_s, units in steps:
        fences = None if units is None else tuple(UnitGrant(it, term) for it in units)
        message = GrantMessage(group, term, version, token, length_s, fences)
        now_s, until_s = now_s + step_s, float(token[2:]) + length_s if checks else None
        if holder.accept(now_s, message).accepted:
            log.on_accepted(now_s, message, until_s)
        token = holder.token(now_s)
        for at_s in (now_s, now_s + 0.3, now_s + 1.2):
            assert set(log.held_units(at_s)) == set(holder.held_units(at_s))
