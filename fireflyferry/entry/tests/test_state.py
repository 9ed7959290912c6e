"""Guards against VMs that apply invalid tables, even in part, or return to an earlier revision."""

import attrs
import orjson
import pytest

from fireflyferry.edges.base import StoredObject
from fireflyferry.edges.system_clock import SystemClock
from fireflyferry.entry.state import VmState
from fireflyferry.messages import VmIncarnation, encode
from fireflyferry.tables import TABLES_NAME, Pool, Route, Tables

TABLES = Tables(2, (Route("w", "/w/", "janela", "path:0"),), (Pool("janela", ("natal-1",)),))


@pytest.fixture
def state():
    vm_state = VmState(VmIncarnation("e-1", "a"), "natal", "natal-1", SystemClock())
    vm_state.apply((StoredObject(TABLES_NAME, 1, encode(TABLES)),))
    return vm_state


def test_invalid_tables_are_rejected_as_a_whole_and_reported(state):
    raw = orjson.loads(encode(attrs.evolve(TABLES, revision=3)))
    raw["routes"][0]["priority"] = 5
    raw["pools"][0]["buckets"] = 0
    state.apply((StoredObject(TABLES_NAME, 2, orjson.dumps(raw)),))
    assert (state.current(), state.rejected_revision) == (TABLES, 3)
    assert state.rejected_reason.startswith("pools janela buckets: found 0, allowed")


@pytest.mark.parametrize("data", [b"", b"[]", b"{}", b"\xff"])
def test_object_that_is_not_a_table_changes_nothing(state, data):
    state.apply((StoredObject(TABLES_NAME, 2, data),))
    assert state.current() == TABLES


def test_earlier_revision_is_not_applied(state):
    state.apply((StoredObject(TABLES_NAME, 2, encode(attrs.evolve(TABLES, revision=1))),))
    assert state.revision == 2
