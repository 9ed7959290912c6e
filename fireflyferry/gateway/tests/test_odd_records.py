"""Guards against one odd record that costs the others of its message, or ends what reads it."""

import zlib

import attrs
import orjson
import pytest

from fireflyferry.balancing import EntryVm, UpstreamDirectory, VmDirectory
from fireflyferry.edges.system_clock import BootClock
from fireflyferry.gateway import peer_messages
from fireflyferry.gateway.calls import Call, not_run
from fireflyferry.gateway.edges import Document, DocumentBatch
from fireflyferry.gateway.feed import FeedAnswer
from fireflyferry.gateway.mirror import DocumentMirror, FeedChanges, KindChanges
from fireflyferry.gateway.sampling import LoadReport, PoolSample
from fireflyferry.gateway.state import GatewayState
from fireflyferry.gateway.tests.support import FakeCodec, make_config, upstream_content
from fireflyferry.messages.codec import MessageError, unstructure
from fireflyferry.telemetry import Reason


def nested(levels):
    return orjson.loads("[" * levels + "]" * levels)


def label(value):
    return ascii(value)[:20] if not isinstance(value, list | dict) else type(value).__name__


GOOD = (Document("a", 1, {"x": 1}), Document("b", 2, {"x": 2}))
BODY = zlib.compress(orjson.dumps([1, True, {}]))


# Guards against a relay whose followers get no answer because of one deeply nested document.
@pytest.mark.parametrize("content", [nested(300), nested(900), {"port": 2**70}, float("nan")])
def test_relay_answers_beside_a_document_that_cannot_be_encoded(content):
    odd = Document("odd", 3, content)
    changes = FeedChanges(9, True, {"k": KindChanges(4, (*GOOD, odd), ("gone",))})
    header = peer_messages.write_feed_header(FeedAnswer("i1", 0.2, 3.0, changes))
    read = peer_messages.read_feed(header, peer_messages.write_feed_body(changes)).changes
    without_content = attrs.evolve(odd, content=None)
    assert read.kinds["k"] == KindChanges(4, (*GOOD, without_content), ("gone",))


# Guards against a follower that loses all documents because of one odd row of its relay.
@pytest.mark.parametrize(
    "row", [None, 5, [], ["odd"], [["odd"], 3, 1], ["odd", "3", 1], ["odd", 2.0**70, 1], {"a": 1}]
)
def test_follower_keeps_the_rows_beside_an_odd_one(row):
    rows = [["a", 1, {"x": 1}], row, ["b", 2, {"x": 2}]]
    body = zlib.compress(orjson.dumps([9, False, {"k": [4, rows, ["gone", row]]}]))
    changes = peer_messages.read_feed("i1 1 1", body).changes
    assert changes.kinds["k"] == KindChanges(4, GOOD, ("gone",))


# Guards against an unexpected error that ends the loop which follows a relay, or a request.
@pytest.mark.parametrize(
    ("read", "arguments"),
    [
        (peer_messages.read_feed, ("i1 1 1", zlib.compress(b"[" * 5000 + b"]" * 5000))),
        (peer_messages.read_feed, ("i1 1 1", zlib.compress(orjson.dumps(["9", True, {}])))),
        (peer_messages.read_feed, ("i1 1 1", zlib.compress(orjson.dumps([9, True, []])))),
        (peer_messages.read_feed, ("i1 1 1", zlib.compress(b'["\xff", true, {}]'))),
        (peer_messages.read_feed, (f"i1 {'9' * 400} 1", BODY)),
        (peer_messages.read_feed, ("i1 1 1", BODY[:-6])),
        (peer_messages.read_feed_request, (orjson.dumps(["i1", 1.5e300, []]),)),
        (peer_messages.read_feed_request, (b"[%s, 1, []]" % (b"[" * 1000 + b"]" * 1000),)),
        (peer_messages.read_owners, (zlib.compress(b'[["p"], 1, {}]'),)),
        (peer_messages.read_owners, (zlib.compress(b'["p", "1", {}]'),)),
        (peer_messages.read_loads, (b"[]",)),
        (peer_messages.read_loads, (b'{"samples": 5, "service_s": {}}',)),
        (peer_messages.read_call, (f"u1 1 p 1 1 1 1 0 - {'9' * 400} 1 1",)),
        (peer_messages.read_result, (f"n - 0 {'9' * 400} -1 0 -", None, "u1")),
    ],
    ids=lambda each: each.__name__ if callable(each) else ascii(each)[:24],
)
def test_odd_message_is_rejected_as_unreadable(read, arguments):
    with pytest.raises(peer_messages.PeerMessageError):
        read(*arguments)


# Guards against a short message that fills the memory of a VM.
def test_message_that_expands_without_end_is_rejected(monkeypatch):
    monkeypatch.setattr(peer_messages, "MAX_BODY_BYTES", 1 << 20, raising=False)
    rows = [["a" * (2 << 20), 1, {}]]
    body = zlib.compress(orjson.dumps([1, True, {"k": [1, rows, []]}]))
    with pytest.raises(peer_messages.PeerMessageError):
        peer_messages.read_feed("i1 1 1", body)


# Guards against load of many upstreams and VMs that is lost, or plans that use odd numbers.
@pytest.mark.parametrize(
    "sample",
    [
        None,
        nested(900),
        {"pool": "p", "weight": 1.0},
        {"pool": "", "weight": "nan", "keys": [1]},
        {"pool": "p", "weight": -1.0, "keys": [1]},
        {"pool": "p", "weight": 0, "keys": [1]},
        {"pool": "p", "weight": 1.0, "keys": [65_536]},
        {"pool": "p", "weight": 1.0, "keys": [-1]},
        {"pool": "p", "weight": 1.0, "keys": [2.0**70]},
    ],
    ids=label,
)
@pytest.mark.parametrize("service_s", [None, "1", -1.0, nested(900), True], ids=label)
def test_load_report_keeps_what_stands_beside_odd_values(sample, service_s):
    good = {"pool": "p", "weight": 2, "keys": [0, 65_535]}
    content = {"samples": [sample, good], "service_s": {"odd": service_s, "u1": 0.5}}
    data = str(content).replace("None", "null").replace("True", "true").replace("'", '"')
    report = peer_messages.read_loads(data.encode())
    assert report == LoadReport((PoolSample("p", 2.0, (0, 65_535)),), {"u1": 0.5})


# Guards against a forwarded request that its last hop cannot read because of an upstream's id.
@pytest.mark.parametrize(
    "name", ["u 1", "a,b", "-", "a\r\nb", "\t", "ü", "雪", "%2C", "i-4cd83938ef", "x" * 5_000]
)
def test_any_id_survives_in_the_lines_of_a_forwarded_request(name):
    call = peer_messages.PeerCall(name, 1, name, 2, 1, 2, 2, 0, "-", 208, 22, 800)
    line = call.line()
    assert line.isascii() and line.isprintable()
    assert peer_messages.read_call(line) == call
    attempt = attrs.evolve(not_run(Reason.UPSTREAM_SHED), upstream_id=name)
    result = peer_messages.write_result(attempt, "u1")
    assert result.isascii() and result.isprintable()
    assert peer_messages.read_result(result, None, "u1").upstream_id == name


# Guards against a request that is tried again at an upstream that has already had it.
def test_ids_of_tried_upstreams_survive_in_the_line():
    tried = frozenset({"a,b", "-", "c d"})
    call = Call("r1", "GET", "/", [], b"", "p", None, True, 1, 1, 0.0, 1.0, 1.0, tried=tried)
    line = peer_messages.write_call(call, "u1", 1, 0.0)
    assert peer_messages.read_call(line).tried_upstreams == tried


class RaisingCodec(FakeCodec):
    """Codec whose decoder fails in an unexpected way on the document `odd`."""

    def __init__(self, error):
        self._error = error

    def upstream(self, document):
        if document.name == "odd":
            raise self._error
        return super().upstream(document)


# Guards against a list of upstreams that no VM can apply any more, and a watch that ends with it.
@pytest.mark.parametrize(
    "error", [RecursionError(), OverflowError(), KeyError("x"), MemoryError(), MessageError("x")]
)
def test_state_keeps_the_upstreams_beside_an_odd_one(error):
    codec = RaisingCodec(error)
    this_vm = EntryVm("vm-1", "i1", "127.0.0.1:1", "dc-1")
    directory = UpstreamDirectory(1.5)
    vms = VmDirectory(this_vm, {})
    state = GatewayState(BootClock(), codec, directory, vms, lambda: False, lambda: 0.0)
    config = Document("main", 1, unstructure(make_config()))
    mirror = DocumentMirror(
        {codec.config_kind: state.apply_config, codec.upstream_kind: state.apply_upstreams}
    )
    mirror.put(codec.config_kind, config)
    good = tuple(Document(name, 1, upstream_content(name, 80)) for name in ("u1", "u2"))
    odd = Document("odd", 1, None)
    mirror.replace(codec.upstream_kind, DocumentBatch(2, (good[0], odd, good[1])))
    assert {each.run.upstream_id for each in directory} == {"u1", "u2"}
