"""Guards against a load program that misses a violation or understates latency."""

import asyncio
import collections
import pathlib
import random
import uuid

import attrs
import pytest
import tornado.testing

from fireflyferry.experiments import load_main
from fireflyferry.experiments.load_check import Classification, Received, Verdict, classify_answer
from fireflyferry.experiments.load_ownership import check_ownership
from fireflyferry.experiments.load_plan import Arrival, arrivals
from fireflyferry.experiments.load_result import Executions, Generator, LoadResult
from fireflyferry.experiments.load_runner import LoadRunner
from fireflyferry.experiments.load_scenario import (
    RequestKind,
    Scenario,
    ScenarioError,
    read_scenario,
)
from fireflyferry.experiments.load_tally import Sample, Tally
from fireflyferry.messages import decode, encode
from fireflyferry.retries import new_request_id
from fireflyferry.standins.faults import Fault
from fireflyferry.standins.upstream_instance import InstanceSettings, UpstreamInstance
from fireflyferry.standins.upstream_ownership import Holding
from fireflyferry.standins.upstream_server import make_server

READ = RequestKind("read", "/x/{key}", keys=100)
WRITE = RequestKind("write", "/w/{key}", method="POST", idempotent=False, keys=5, body_bytes=9)
LINE = b'{"request_id":"r1","key":"k"}\n'
SCENARIOS = pathlib.Path(__file__).parents[1] / "scenarios"


def answer(body=LINE, status=200, **headers):
    extra_headers = {f"firefly-{name.replace('_', '-')}": value for name, value in headers.items()}
    return Received(status, extra_headers, body)


@pytest.mark.parametrize(
    ("received", "size_bytes", "verdict", "reason"),
    [
        (answer(), 0, "answered", ""),
        (answer(LINE + b"." * 10), len(LINE) + 10, "answered", ""),
        (answer(LINE + b"." * 9), len(LINE) + 10, "truncated", None),
        (answer(LINE[:-1]), 0, "truncated", None),
        (answer(b""), 0, "truncated", None),
        (answer(LINE + b".x"), 0, "malformed", "padding"),
        (answer(b"[]\n"), 0, "malformed", "first line"),
        (answer(LINE.replace(b"r1", b"r2")), 0, "crossed", "request_id"),
        (answer(LINE.replace(b"k", b"j", 9)), 0, "malformed", "first line"),
        (answer(b'{"request_id":"r1","key":"j"}\n'), 0, "crossed", "key"),
        (answer(request_id="r2", outcome="not-run"), 0, "crossed", "request_id_header"),
        (answer(b"x", 503, outcome="not-run", reason="queue_full"), 0, "refused", "queue_full"),
        (answer(b"x", 504, outcome="unknown", reason="timed_out"), 0, "unknown", "timed_out"),
        (answer(b"x", 302, outcome="answered"), 0, "other_status", "302"),
    ],
)
def test_every_answer_is_classified(received, size_bytes, verdict, reason):
    found = classify_answer(received, "r1", "k", size_bytes)
    assert found.verdict == verdict
    assert reason is None or found.reason == reason


def test_plan_is_reproducible_and_has_the_configured_rate_and_shares():
    """Guards against runs that cannot be compared because their requests differ."""
    kind = attrs.evolve(READ, distribution="zipf", share=3.0, hot_shift_s=50.0)
    scenario = Scenario(200.0, 100.0, kinds=(kind, WRITE), tenants={"a": 1.0, "b": 3.0})
    plan = list(arrivals(scenario))
    assert plan == list(arrivals(scenario))
    assert len(plan) == pytest.approx(20_000, rel=0.05)
    tenants = collections.Counter(each.tenant for each in plan)
    assert tenants["b"] / tenants["a"] == pytest.approx(3.0, rel=0.1)
    reads = [each for each in plan if each.kind is kind]
    assert len(reads) / len(plan) == pytest.approx(0.75, rel=0.05)
    for number, hottest in enumerate(("read-0", f"read-{99_991 % 100}")):
        half = [each.key for each in reads if each.at_s // 50 == number]
        # 1 / (1 + 1/2 + ... + 1/100) of the requests go to the most popular key.
        assert half.count(hottest) / len(half) == pytest.approx(0.193, rel=0.1)


def test_request_ids_contain_the_time_of_issue():
    """Guards against ids that the router refuses or considers old."""
    made = uuid.UUID(new_request_id(1_700_000_000.123, random.Random(1)))
    assert (made.version, made.variant) == (7, uuid.RFC_4122)
    assert made.int >> 80 == 1_700_000_000_123


def add_sample(tally, request_id, verdict, kind=READ, at_s=0.0, done_s=0.1, key="k"):
    found = Classification(Verdict(verdict), "some_reason")
    tally.add(Sample(Arrival(at_s, kind, key, ""), request_id, at_s, done_s, found))


def finish(tally, counts):
    other_fields = {"targets": (), "started": ""}
    return tally.result(tally.executions(counts), Generator(elapsed_s=20.0), **other_fields)


def test_executions_reveal_what_callers_cannot_detect():
    """Guards against an undetected request that ran twice, was lost or ran although refused."""
    tally = Tally(Scenario(kinds=(READ, WRITE)))
    for name, verdict, kind in (
        ("good", "answered", WRITE),
        ("twice", "unknown", WRITE),
        ("lost", "answered", WRITE),
        ("ran", "refused", WRITE),
        ("repeated", "answered", READ),
        ("refused", "refused", READ),
    ):
        add_sample(tally, name, verdict, kind)
    counts = {"u1": {"good": 1, "twice": 1, "ran": 1}, "u2": {"twice": 1, "repeated": 2}}
    found = finish(tally, counts).violations()
    assert {name: count for name, count in found.items() if count} == {
        "ran_twice": 1,
        "lost": 1,
        "false_refusals": 1,
    }
    partial = tally.executions({**counts, "u3": None})
    assert (partial.missing, partial.lost, partial.ran_twice) == (("u3",), 0, 1)


def test_unavailable_time_is_the_time_between_good_answers_around_failures():
    """Guards against unavailable time that includes idle keys.

    It must also cover a key whose last requests failed.
    """
    tally = Tally(Scenario(kinds=(READ,)))
    for name, at_s, verdict, key in (
        ("a", 0.0, "answered", "quiet"),
        ("b", 9.0, "answered", "quiet"),
        ("c", 0.0, "answered", "failed"),
        ("d", 1.0, "refused", "failed"),
        ("e", 4.0, "answered", "failed"),
        ("f", 5.0, "unknown", "never"),
    ):
        add_sample(tally, name, verdict, at_s=at_s, done_s=at_s, key=key)
    gaps = finish(tally, {}).key_gaps
    assert [(each.key, each.gap_s) for each in gaps.worst] == [("never", 15.0), ("failed", 4.0)]
    assert (gaps.keys, gaps.keys_with_failures, gaps.longest_quiet_gap_s) == (3, 2, 15.0)


def make_holding(upstream_id, unit, from_s, until_s, group="p/a/0", excluded=()):
    return Holding(upstream_id, group, 1, unit, 1, excluded, from_s, until_s)


@pytest.mark.parametrize(
    ("second", "overlaps"),
    [
        (make_holding("u2", "b:1", 4.9, 6.0), 1),
        (make_holding("u2", "b:1", 5.0, 6.0), 0),
        (make_holding("u2", "b:1", 0.0, None, "p/b/0"), 1),
        (make_holding("u2", "b:1", 0.0, 6.0, "q/a/0"), 0),
        (make_holding("u2", "b:2", 0.0, 6.0), 0),
        (make_holding("u1", "b:1", 0.0, 6.0, "p/b/0"), 0),
        (make_holding("u2", "k:1:in", 0.0, 6.0), 1),
        (make_holding("u2", "k:1:out", 0.0, 6.0), 0),
        (make_holding("u2", "k:2:in", 0.0, 6.0), 0),
        (make_holding("u2", "b:1", 3.0, 2.0), 0),
    ],
)
def test_two_owners_of_a_key_at_once_are_found(second, overlaps):
    """Guards against two owners at once that are missed because no request reached both."""
    first = make_holding("u1", "b:1", 1.0, 5.0, excluded=("out",))
    assert check_ownership([first, second]).overlaps == overlaps
    assert check_ownership([second, first]).overlaps == overlaps


class RunnerTest(tornado.testing.AsyncTestCase):
    def setUp(self):
        super().setUp()
        settings = InstanceSettings("u1", "p", slots=50, waiting=900, checks="none")
        self.instance = UpstreamInstance(settings)
        sock, port = tornado.testing.bind_unused_port()
        make_server(self.instance).add_socket(sock)
        self.address = f"127.0.0.1:{port}"

    async def run_load(self, senders=1, **changed):
        scenario = Scenario(100.0, 0.8, settle_s=0.0, timeout_ms=30_000, kinds=(READ, WRITE))
        scenario = attrs.evolve(scenario, **changed)
        targets = f"http://{self.address}", "http://127.0.0.1:1"
        return await LoadRunner(scenario, targets, (self.address,), True, senders=senders).run()

    @tornado.testing.gen_test
    async def test_run_against_a_stand_in_skips_dead_targets(self):
        """Guards against results that differ from what the upstream counted."""
        result = await self.run_load()
        assert not any(result.violations().values())
        assert result.answered == result.sent == result.executions.runs > 50
        assert result.generator.connect_failovers > 0
        assert decode(encode(result), LoadResult) == result

    @tornado.testing.gen_test
    async def test_several_senders_share_one_plan(self):
        """Guards against a rate or requests that depend on the number of senders."""
        single = [each.key for each in arrivals(Scenario(100.0, 0.8, kinds=(READ, WRITE)))]
        result = await self.run_load(senders=2)
        assert result.answered == result.sent == len(single)
        assert sum(self.instance.by_key.values()) == len(single)
        assert self.instance.by_key == collections.Counter(single)

    @tornado.testing.gen_test
    async def test_a_stall_raises_the_latency_of_all_requests_due_during_it(self):
        """Guards against coordinated omission, where a stall delays later requests unnoticed."""
        self.instance.faults.replace((Fault("freeze"),))

        async def end_freeze():
            while not self.instance.changed.waiting:
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.5)
            self.instance.faults.replace(())
            self.instance.changed.notify()

        unfreezing = asyncio.ensure_future(end_freeze())
        result = await self.run_load(arrivals="uniform", max_in_flight=2)
        await unfreezing
        slow = [second.max_ms for second in result.seconds]
        assert max(slow) >= 450
        # About 50 requests were due in 0.5 s, and half of them waited for more than 0.25 s.
        assert result.latency["all"].p50_ms >= 100
        assert result.answered == result.sent

    @tornado.testing.gen_test
    async def test_non_idempotent_requests_are_sent_once(self):
        """Guards against a retry of libcurl, which would be counted as a second execution."""
        keys = tuple(f"write-{number}" for number in range(WRITE.keys))
        fault = Fault("close_before_first_byte", keys=keys, count=3)

        async def inject_fault_later():
            while len(self.instance.by_request) < 10:  # until connections can be reused
                await asyncio.sleep(0.005)
            self.instance.faults.replace((fault,))

        injection = asyncio.ensure_future(inject_fault_later())
        result = await self.run_load()
        await injection
        assert result.unknown == {"client_connection_lost": 3}
        assert result.executions.ran_twice == 0

    @tornado.testing.gen_test
    async def test_faults_of_the_upstream_are_reported(self):
        """Guards against a fault of an upstream that is missing in the result.

        The load program would then end with exit code 0 although a guarantee was violated.
        """
        for kind, found in (
            ("wrong_request_id", ("wrong", {"crossed:request_id_header": 2})),
            ("truncated_body", ("unknown", {"client_body_cut": 2})),
            ("shed", ("refused", {"upstream_shed": 2})),
            ("redirect", ("wrong", {"other_status:302": 2})),
        ):
            self.instance.faults.replace((Fault(kind, count=2),))
            result = await self.run_load(duration_s=0.2)
            assert (kind, getattr(result, found[0])) == (kind, found[1])
            assert result.answered == result.sent - 2
            assert result.violations()["crossed"] == (2 if kind == "wrong_request_id" else 0)


@pytest.mark.parametrize(
    ("text", "shown"),
    [
        ("", "no section [request:NAME]"),
        ("[load]\nrate_per_s = 0\n", "[load] rate_per_s = '0': allowed is a number above 0"),
        ("[load]\nspeed = 1\n", "[load] speed: unknown key; allowed are rate_per_s"),
        ("[loads]\n", "[loads]: allowed are [load]"),
        ("[request:x]\nshare = 1\n", "[request:x] path: missing"),
        ("[request:x]\npath = /{id}\n", "[request:x] path = '/{id}'"),
        ("[request:x]\npath = /\nidempotent = maybe\n", "idempotent = 'maybe': allowed are true"),
        ("[request:x]\npath = /\nkeys = 1e9\n", "keys = '1e9'"),
        ("[request:x]\npath = /\ndistribution = even\n", "allowed are uniform, zipf"),
        ("rate = 1\n", "no section headers"),
    ],
)
def test_scenario_errors_name_the_place_and_the_allowed_values(tmp_path, capsys, text, shown):
    path = tmp_path / "scenario.ini"
    path.write_text(text)
    with pytest.raises(ScenarioError) as caught:
        read_scenario(str(path))
    assert str(path) in str(caught.value)
    assert shown in str(caught.value)
    assert load_main.main(["run", str(path), "--target", "http://127.0.0.1:1"]) == 2
    assert shown in capsys.readouterr().err


@pytest.mark.parametrize("path", sorted(SCENARIOS.glob("*.ini")), ids=lambda path: path.name)
def test_shipped_scenarios_are_valid(path):
    assert read_scenario(str(path)).kinds


def test_report_compare_and_plots_from_files(tmp_path, capsys):
    """Guards against result files that the program cannot read itself."""
    tally = Tally(Scenario(kinds=(READ,)))
    add_sample(tally, "a", "answered")
    executions = Executions(upstreams=1, ran_twice=3)
    result = tally.result(executions, Generator(), targets=(), started="", label="first")
    path, png = tmp_path / "a.json", tmp_path / "a.png"
    path.write_bytes(encode(result))
    assert load_main.main(["report", str(path)]) == 0
    assert "violations: ran_twice 3" in capsys.readouterr().out
    assert load_main.main(["compare", str(path), str(path), "--png", str(png)]) == 0
    assert png.read_bytes().startswith(b"\x89PNG")
    path.write_bytes(b"{}")
    assert load_main.main(["report", str(path)]) == 2
    assert "not a result file" in capsys.readouterr().err
