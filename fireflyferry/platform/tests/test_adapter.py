"""Tests of the platform adapter: decoding of documents, HTTP calls and settings."""

import asyncio
import json
import pathlib
import re

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from fireflyferry.gateway.edges import (
    Conflict,
    Document,
    HistoryLostError,
    StoreCallError,
    UnreadableDocumentError,
)
from fireflyferry.gateway.metrics import GatewayMetrics
from fireflyferry.gateway.settings import GatewaySettings
from fireflyferry.keyranges import GrantAnswer, GrantCall, GrantTiming, ReleaseCall, UpstreamRun
from fireflyferry.platform.__main__ import main
from fireflyferry.platform.decoding import Codec
from fireflyferry.platform.orders import HttpKeyOrders
from fireflyferry.platform.store import HttpMetadataStore
from fireflyferry.settings import parse_settings
from fireflyferry.transport import CurlTransport

ROOT = pathlib.Path(__file__).parents[3]
ENTRY = {
    "address": "10.1.0.2:80",
    "born": 1700000000000,
    "info": {"service": "s", "version": "v1", "zone": "z-a", "slots": 2},
    "status": {"state": "ready", "sequence": 1, "warmupLeftS": 0.5},
}
ROUTE = {
    "host": "H.example",
    "pathPrefix": "/a/",
    "kind": "safe",
    "timeoutS": 1,
    "targetLatencyS": 0.5,
    "priority": 2,
    "service": "s",
    "maxAttempts": 2,
}
SERVICE = {"healthPath": "/health", "maxConnections": 130, "sharded": True}
LIMITS = {"maxHeaderBytes": 1, "maxBodyBytes": 2, "headerTimeoutS": 3, "idleTimeoutS": 15}


def resource(kind, name, spec):
    return {"resourceKind": kind, "metadata": {"name": name} if name else {}, "spec": spec}


def config(**routes):
    resources = [resource("routes", name, spec) for name, spec in (routes or {"r": ROUTE}).items()]
    resources += [resource("services", "s", SERVICE), resource("limits", "", LIMITS)]
    return {"version": "0000001f", "resources": resources}


def read_config(content):
    return Codec().config(Document("main", 1, content))


def read_upstream(content):
    return Codec().upstream(Document("i-1", 1, content))


def test_upstream_entry():
    upstream = read_upstream(ENTRY)
    assert upstream.run == UpstreamRun("i-1", 1700000000000)
    assert (upstream.pool, upstream.data_centre, upstream.slots) == ("s", "z-a", 2)
    assert (upstream.draining, upstream.warmup_left_s) == (False, 0.5)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("address",), None),
        (("address",), "nowhere"),
        (("born",), "1700"),
        (("born",), True),
        (("born",), 1.5),
        (("born",), 2**53),
        (("address",), "10.1.0.2:0"),
        (("address",), "10.1.0.2:65536"),
        (("address",), "10.1.0.2:-1"),
        (("info", "slots"), 10**18),
        (("info",), []),
        (("info", "slots"), 0),
        (("info", "slots"), "2"),
        (("info", "service"), 7),
        (("status", "state"), "asleep"),
        (("status", "warmupLeftS"), "soon"),
        (("status", "warmupLeftS"), -1),
        (("status", "warmupLeftS"), 1e300),
    ],
)
def test_malformed_entry_is_unreadable(path, value):
    """Guards against a malformed entry of another writer that is decoded as an upstream."""
    content = json.loads(json.dumps(ENTRY))
    parent = content
    for name in path[:-1]:
        parent = parent[name]
    for change in ("other", "missing"):
        if change == "other":
            parent[path[-1]] = value
        else:
            del parent[path[-1]]
        with pytest.raises(UnreadableDocumentError):
            read_upstream(content)


# Guards against an id of another writer that splits a header or a line between VMs.
@pytest.mark.parametrize("name", ["", "a b", "a,b", "a\r\nb", "a\x7f", "\u00e9", "x" * 201])
def test_entry_whose_id_does_not_fit_into_a_header_is_unreadable(name):
    with pytest.raises(UnreadableDocumentError):
        Codec().upstream(Document(name, 1, ENTRY))


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


@given(JSON)
def test_arbitrary_document_is_unreadable(content):
    for read in (read_upstream, read_config):
        with pytest.raises(UnreadableDocumentError):
            read(content)


def test_config():
    split = {**ROUTE, "pathPrefix": "/b/"}
    del split["service"]
    split["trafficSplit"] = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
    unsafe = {**ROUTE, "kind": "unsafe", "pathPrefix": "/c/"}
    decoded = read_config(config(r=ROUTE, q=split, u=unsafe))
    assert decoded.version == 31
    single, several, writes = decoded.routes
    assert single.host == "h.example" and single.idempotent
    assert [(each.pool, each.weight) for each in single.shares] == [("s", 1.0)]
    assert [(each.pool, each.weight) for each in several.shares] == [("s", 90.0), ("t", 10.0)]
    assert not writes.idempotent
    assert decoded.pools["s"].keyed and decoded.pools["s"].max_connections == 130
    assert decoded.limits.idle_timeout_s == 15.0


def test_config_with_regions_and_warmup():
    """Guards against a limit that is lost while the configuration is decoded."""
    limited = {**ROUTE, "pathPrefix": "/b/", "allowedRegions": ["r1", "r2"]}
    open_route = {**ROUTE, "allowedRegions": []}
    content = config(q=limited, r=open_route)
    cold = {"sharded": False, "warmupS": 3.0, "warmupPerS": 3.4}
    content["resources"].append(resource("services", "cold", cold))
    decoded = read_config(content)
    assert [each.allowed_regions for each in decoded.routes] == [{"r1", "r2"}, frozenset()]
    assert (decoded.pools["cold"].warmup_s, decoded.pools["cold"].warmup_per_s) == (3.0, 3.4)
    assert decoded.pools["s"].warmup_per_s == 0.0


@pytest.mark.parametrize(
    "change",
    [
        {"version": "soon"},
        {"version": 31},
        {"resources": None},
        {"resources": config()["resources"][:1]},
        {"resources": [*config()["resources"], resource("routes", "x", {**ROUTE, "host": None})]},
        {
            "resources": [
                *config()["resources"],
                resource("routes", "x", {**ROUTE, "timeoutS": "1"}),
            ]
        },
        {
            "resources": [
                *config()["resources"],
                resource("routes", "x", {**ROUTE, "trafficSplit": []}),
            ]
        },
        *(
            {
                "resources": [
                    *config()["resources"],
                    resource("routes", "x", {**ROUTE, "allowedRegions": regions}),
                ]
            }
            for regions in ("r", None, {}, [1], [""], ["r", None])
        ),
        *(
            {"resources": [*config()["resources"], resource("services", "x", {name: value})]}
            for name in ("warmupS", "warmupPerS")
            for value in (-1, "3", None, True, 1e300)
        ),
    ],
)
def test_malformed_config_is_unreadable(change):
    with pytest.raises(UnreadableDocumentError):
        read_config({**config(), **change})


# Calls, against a server on loopback


class RecordingServer:
    """Server that answers each call with the next of the given answers and records the calls."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def __aenter__(self):
        recorder = self

        class Handler(RequestHandler):
            def prepare(self):
                body = self.request.body
                recorder.calls.append(
                    (self.request.method, self.request.uri, json.loads(body) if body else None)
                )
                status, content, headers = (*recorder.answers.pop(0), {}, {})[:3]
                self.set_status(status)
                for name, value in headers.items():
                    self.set_header(name, value)
                self.finish(content if isinstance(content, bytes) else json.dumps(content))

        self._server = HTTPServer(Application([(".*", Handler)], log_function=lambda _: None))
        sock, port = bind_unused_port()
        self._server.add_socket(sock)
        self.address = f"127.0.0.1:{port}"
        self.transport = CurlTransport(force_instance=True)
        self.store = HttpMetadataStore(self.address, self.transport, GatewayMetrics())
        self.orders = HttpKeyOrders(self.transport, GrantTiming())
        return self

    async def __aexit__(self, *_):
        self.transport.close()
        self._server.stop()
        await self._server.close_all_connections()


def stored_object(name, revision=1, content="c"):
    return {"metadata": {"name": name, "revision": revision}, "spec": content, "status": None}


def run(scenario):
    asyncio.run(scenario())


def test_list_reads_all_pages_and_returns_the_position_of_the_first():
    async def scenario():
        first = {"items": [stored_object("a")], "hasMore": True, "asOf": 5}
        second = {"items": [stored_object("b")], "hasMore": False, "asOf": 9}
        async with RecordingServer((200, first), (200, second)) as server:
            listed = await server.store.list("k", stale=True)
            assert [each.name for each in listed.documents] == ["a", "b"]
            assert listed.position == 5
            assert [call[1] for call in server.calls] == [
                "/objects/k?serializable=1",
                "/objects/k?serializable=1&after=a",
            ]

    run(scenario)


def test_watch_keeps_the_last_event_of_each_object():
    async def scenario():
        events = [
            {"removed": False, "object": stored_object("a", 6)},
            {"removed": True, "object": stored_object("a", 7)},
            {"removed": True, "object": stored_object("b", 8)},
            {"removed": False, "object": stored_object("b", 9)},
        ]
        async with RecordingServer((200, {"events": events, "asOf": 9})) as server:
            changes = await server.store.watch("k", 5, 2.5)
            assert server.calls[0][1] == "/objects/k?watch=5&waitMs=2500"
            assert changes.removed == ("a",) and [d.name for d in changes.documents] == ["b"]

    run(scenario)


@pytest.mark.parametrize("status", [429, 503, 500])
def test_refused_call_is_an_error(status):
    async def scenario():
        async with RecordingServer((status, {})) as server:
            with pytest.raises(StoreCallError):
                await server.store.read("k", "n")

    run(scenario)


def test_lost_history_is_a_separate_error():
    async def scenario():
        async with RecordingServer((410, {})) as server:
            with pytest.raises(HistoryLostError):
                await server.store.watch("k", 5, 1.0)

    run(scenario)


def test_write_creates_or_replaces_if_the_revision_is_unchanged():
    async def scenario():
        answers = [
            (201, stored_object("n", 3)),
            (200, stored_object("n", 4)),
            (409, {}),
            (200, stored_object("n", 8, "x")),
        ]
        async with RecordingServer(*answers) as server:
            assert await server.store.write("k", "n", "c", 0) == 3
            assert await server.store.write("k", "n", "d", 3) == 4
            assert await server.store.write("k", "n", "e", 4) == Conflict(Document("n", 8, "x"))
            create, replace, _, _ = server.calls
            assert create == ("POST", "/objects/k", {"metadata": {"name": "n"}, "spec": "c"})
            metadata = {"name": "n", "revision": 3}
            assert replace == ("PUT", "/objects/k/n", {"metadata": metadata, "spec": "d"})

    run(scenario)


def test_grant_and_release():
    async def scenario():
        async with RecordingServer(
            (200, {}), (409, {}), (200, {}, {"Fireflyferry-Handover": "t"}), (400, {})
        ) as server:
            owner = UpstreamRun("i-1", 1)
            grant = GrantCall(owner, server.address, 1, 9, 12, 4.0, "h")
            assert (await server.orders.grant(grant, lambda: True)).answer is GrantAnswer.ACCEPTED
            assert (
                await server.orders.grant(grant, lambda: True)
            ).answer is GrantAnswer.HIGHER_FENCE
            release = ReleaseCall(owner, server.address, 1, 9, 13)
            assert await server.orders.release(release, lambda: True) == (GrantAnswer.ACCEPTED, "t")
            assert (await server.orders.grant(grant, lambda: True)).answer is GrantAnswer.UNKNOWN
            body = {"from": 1, "target": 9, "fence": 12, "holdS": 4.0, "handover": "h"}
            assert server.calls[0] == ("POST", "/grant", body)

    run(scenario)


def test_grant_is_not_sent_without_authority():
    """Guards against a grant that a paused VM sends when it resumes after its lease has expired."""

    async def scenario():
        async with RecordingServer() as server:
            grant = GrantCall(UpstreamRun("i-1", 1), server.address, 1, 9, 12, 4.0, "")
            assert (await server.orders.grant(grant, lambda: False)).answer is GrantAnswer.NOT_SENT
            assert not server.calls

    run(scenario)


def test_refused_connection_is_reported_as_no_listener():
    async def scenario():
        async with RecordingServer() as server:
            sock, port = bind_unused_port()
            sock.close()
            grant = GrantCall(UpstreamRun("i-1", 1), f"127.0.0.1:{port}", 1, 9, 12, 4.0, "")
            assert (
                await server.orders.grant(grant, lambda: True)
            ).answer is GrantAnswer.NO_LISTENER

    run(scenario)


# Settings


def filled_template(**bounds):
    text = (ROOT / "deploy" / "entry.ini").read_text()
    text = re.sub(r"\{\{#zones\}\}.*\{\{/zones\}\}", "z-a:r,z-b:r", text)
    values = {
        "nodeName": "edge-z-a-1",
        "zone": "z-a",
        "ip": "10.1.0.2",
        "listen.front": "10.1.0.2:8000",
        "listen.readyAddress": "10.1.0.2:8001",
        "internalPortRange.0": "7000",
        "platform.address": "10.2.0.1:80",
        "limits.cpuShare": "0.717",
        "limits.cpuCores": "3",
        "limits.memoryMb": "300",
        "bounds.drainTimeoutS": "2",
        "bounds.gracePeriodS": "6",
        "bounds.maxHoldS": "10",
        "bounds.retryBudgetRatio": "0.2",
        "bounds.retryWindowS": "10",
        "bounds.retryBudgetMin": "64",
        "bounds.settleWindowS": "4",
        **bounds,
    }
    # A section is rendered if its field has a value.
    sections = r"\{\{#(bounds\.\w+)\}\}(.*?)\{\{/\1\}\}"
    text = re.sub(sections, lambda match: match[2] if match[1] in values else "", text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: values[match[1]], text)


def test_template_gives_valid_settings():
    settings = parse_settings(filled_template(), GatewaySettings)
    assert settings.vm.vm_id == "edge-z-a-1"
    assert settings.vm.capacity == pytest.approx(2.151)
    assert settings.regions.by_data_centre() == {"z-a": "r", "z-b": "r"}
    assert settings.bounds.settle_window_s == 4.0


def test_template_leaves_out_bounds_that_the_deployment_does_not_have():
    """Guards against settings files that are refused because a field of the platform is missing."""
    defaults = parse_settings(filled_template(), GatewaySettings).bounds
    assert (defaults.evacuate_s, defaults.warmup_overshoot, defaults.warmup_tolerance) == (
        None,
        1.5,
        8,
    )
    given = {"bounds.evacuateS": "7", "bounds.warmupOvershoot": "2", "bounds.warmupTolerance": "3"}
    bounds = parse_settings(filled_template(**given), GatewaySettings).bounds
    assert (bounds.evacuate_s, bounds.warmup_overshoot, bounds.warmup_tolerance) == (7, 2, 3)


def test_missing_setting_is_named_and_sets_the_exit_code(tmp_path, capsys):
    path = tmp_path / "entry.ini"
    path.write_text(filled_template().replace("data_centre = z-a", "data_centre ="))
    assert main(["--settings", str(path)]) == 2
    assert "[vm] data_centre: found ''" in capsys.readouterr().err


@pytest.mark.parametrize("option", ["--help", "--version"])
def test_help_and_version_exit_with_code_0(option, capsys):
    with pytest.raises(SystemExit) as ended:
        main([option])
    assert ended.value.code == 0 and capsys.readouterr().out


def test_page_names_every_settings_key():
    page = (ROOT / "docs" / "configuration.md").read_text()
    part = page[page.index("## Settings of the program on the users' platform") :]
    named = set(re.findall(r"`(\w+)`", part))
    sections = attrs.fields(GatewaySettings)
    keys = {key.name for section in sections for key in attrs.fields(section.type)}
    assert keys <= named


@pytest.mark.parametrize(
    "answer",
    [
        {},
        [],
        None,
        "text",
        {"items": None, "asOf": 1},
        {"items": [], "asOf": "1"},
        {"items": [], "asOf": True},
        {"items": [{}], "asOf": 1},
        {"items": [{"metadata": {"name": 1, "revision": 1}}], "asOf": 1},
        {"items": [{"metadata": {"name": "a", "revision": None}}], "asOf": 1},
        {"items": ["a"], "asOf": 1},
        {"events": {}, "asOf": 1},
    ],
)
def test_malformed_answer_of_the_store_is_an_error_of_the_call(answer):
    """Guards against a watch that ends for good because of one malformed answer."""

    async def scenario():
        async with RecordingServer((200, answer), (200, answer)) as server:
            with pytest.raises(StoreCallError):
                await server.store.list("k")
            with pytest.raises(StoreCallError):
                await server.store.watch("k", 1, 0.1)

    run(scenario)
