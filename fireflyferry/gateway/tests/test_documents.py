"""Documents in the store: what was written is read, and damaged ones are turned down."""

import copy

import orjson
import pytest

from fireflyferry.balancing import EntryVm, UpstreamDirectory, VmDirectory
from fireflyferry.edges.system_clock import BootClock
from fireflyferry.gateway import documents
from fireflyferry.gateway.edges import Document, UnreadableDocumentError
from fireflyferry.gateway.state import GatewayState
from fireflyferry.gateway.tests.support import FakeCodec, make_config, upstream_content
from fireflyferry.keyranges import OwnedRange, OwnerTable, UpstreamRun
from fireflyferry.messages.codec import unstructure
from fireflyferry.routing.hosts import PoolSpec

A, B = UpstreamRun("a", 1), UpstreamRun("b", 2)
TABLE = OwnerTable(
    "pool", 3, 9, (OwnedRange(0, 99, A, 4, (B,)), OwnedRange(100, 65_535, B, 9, (), True))
)


def read(content):
    return documents.read_table(Document("pool", 7, content))


def test_stored_table_is_read_back():
    assert read(documents.table_content(TABLE)) == TABLE


@pytest.mark.parametrize(
    ("position", "value"),
    [
        (0, "0"),
        (0, 1),
        (0, True),
        (1, 2),
        (1, -1),
        (1, None),
        (2, 10),
        (2, 1.5),
        (3, 1),
        (4, [5]),
        (4, [-1]),
        (4, "b"),
    ],
)
def test_damaged_range_is_turned_down(position, value):
    """Guards against keys without an owner, or an unexpected error, after a damaged write."""
    content = copy.deepcopy(documents.table_content(TABLE))
    rows = [list(row) for row in content["ranges"]]
    rows[0][position] = value
    with pytest.raises(UnreadableDocumentError):
        read({**content, "ranges": rows})


@pytest.mark.parametrize("rows", [[], [[]], ["x"], [None], [[0, 0, 1, True, [], 1]], None])
def test_damaged_list_of_ranges_is_turned_down(rows):
    content = documents.table_content(TABLE)
    with pytest.raises(UnreadableDocumentError):
        read({**content, "ranges": rows})


# Guards against an entry with too many slots that draws most keys and requests of its pool.
@pytest.mark.parametrize(("slots", "used"), [(2, True), (130, True), (131, False), (10**6, False)])
def test_upstream_has_no_more_slots_than_connections(slots, used):
    vms = VmDirectory(EntryVm("vm-1", "i1", "127.0.0.1:1", "dc-1"), {})
    state = GatewayState(
        BootClock(), FakeCodec(), UpstreamDirectory(2.0), vms, lambda: False, lambda: 0.0
    )
    config = make_config(pools={"plain": PoolSpec("plain", False, max_connections=130)})
    state.apply_config({"main": Document("main", 1, unstructure(config))})
    contents = {"a": upstream_content("a", 80), "b": upstream_content("b", 81, slots=slots)}
    state.apply_upstreams({name: Document(name, 1, each) for name, each in contents.items()})
    assert {each.run.upstream_id for each in state.upstreams} == ({"a", "b"} if used else {"a"})


VM = EntryVm("vm-1", "i1", "10.0.0.1:80", "dc-1", False, 2.0)
NESTED = orjson.loads("[" * 1000 + "]" * 1000)


def test_stored_vm_entry_is_read_back():
    assert documents.read_vm(Document("vm-1", 1, documents.vm_content(VM))) == VM


# Guards against a VM that forwards to an address that does not exist, or orders VMs by NaN.
@pytest.mark.parametrize(
    ("field", "value"),
    [
        *(
            ("address", f"10.0.0.1:{port}")
            for port in (0, 65_536, -1, "", "80\r\n", "\uff18\uff10")
        ),
        *(("address", odd) for odd in ("", ":80", "雪:80", None, 80, NESTED)),
        *(("capacity", odd) for odd in (0, -1.0, float("nan"), float("inf"), "1", True, None)),
        *(("leaving", odd) for odd in ("false", 0, None)),
        *(("vm_id", odd) for odd in ("", "vm-2", 1, NESTED)),
        *(("incarnation", odd) for odd in (None, 5, NESTED)),
    ],
    ids=lambda each: type(each).__name__ if isinstance(each, list) else ascii(each),
)
def test_vm_entry_with_an_odd_field_is_rejected(field, value):
    content = {**documents.vm_content(VM), field: value}
    with pytest.raises(UnreadableDocumentError):
        documents.read_vm(Document("vm-1", 1, content))


# Guards against an unexpected error while the message about an odd owner table is written.
@pytest.mark.parametrize("row", [NESTED, [0, 0, NESTED, True, []], [0, 0, 1, True, NESTED]])
def test_deeply_nested_owner_table_is_rejected(row):
    content = documents.table_content(TABLE)
    with pytest.raises(UnreadableDocumentError):
        read({**content, "ranges": [row]})


# Guards against an odd object that replaces the owner table of another pool.
def test_owner_table_under_the_name_of_another_pool_is_rejected():
    with pytest.raises(UnreadableDocumentError):
        documents.read_table(Document("other", 9, documents.table_content(TABLE)))
