"""Guards against an object store that loses, reorders or wrongly accepts changes."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fireflyferry.edges.base import VersionConflictError
from fireflyferry.messages import VmEntry
from fireflyferry.standins.platform_table import MAX_VALUE_BYTES, ObjectTable, ValueTooLargeError
from fireflyferry.standins.platform_vms import DelayedVmList

NAMES = st.sampled_from(["config/a", "config/b", "groups/a", "groups/b", "other"])
PREFIXES = ("config/", "groups/")


class ObjectTableMachine(RuleBasedStateMachine):
    """Compares the table with a plain list of changes and with a reader that uses watches."""

    def __init__(self):
        super().__init__()
        self.table = ObjectTable(max_log_changes=3, max_batch_changes=2)
        self.changes = []
        self.latest = {}
        self.reader = {}
        self.position = 0

    def record(self, name, version, data):
        assert version == len(self.changes) + 1
        self.changes.append((name, version, data))
        self.latest[name] = (version, data)

    def expected_version(self, name, offset):
        version, data = self.latest.get(name, (0, None))
        return max(0, (0 if data is None else version) + offset)

    @rule(name=NAMES, offset=st.sampled_from([0, 0, -1, 1]), data=st.binary(max_size=3))
    def put(self, name, offset, data):
        expected = self.expected_version(name, offset)
        if expected == self.expected_version(name, 0):
            self.record(name, self.table.put(name, data, expected), data)
        else:
            with pytest.raises(VersionConflictError):
                self.table.put(name, data, expected)

    @rule(name=NAMES, conditional=st.booleans())
    def delete(self, name, conditional):
        current = self.expected_version(name, 0)
        if conditional:
            with pytest.raises(VersionConflictError):
                self.table.delete(name, current + 1)
        version = self.table.delete(name, current if conditional and current else None)
        assert (version is None) == (current == 0)
        if version is not None:
            self.record(name, version, None)

    @rule()
    def watch(self):
        batch = self.table.changes(PREFIXES, self.position)
        found = [(each.name, each.version, each.data) for each in batch.changes]
        if batch.reset:
            self.reader = {name: (version, data) for name, version, data in found}
        else:
            due = [each for each in self.changes[self.position :] if each[0].startswith(PREFIXES)]
            assert found == due[:2]
            self.reader |= {name: (version, data) for name, version, data in found}
        self.position = batch.sequence

    @invariant()
    def up_to_date_reader_has_current_objects(self):
        if self.position == len(self.changes):
            wanted = {n: v for n, v in self.latest.items() if n.startswith(PREFIXES)}
            live = {n: v for n, v in self.reader.items() if v[1] is not None}
            assert live == {n: v for n, v in wanted.items() if v[1] is not None}


TestObjectTableMachine = ObjectTableMachine.TestCase


def test_position_of_another_store_gets_a_listing():
    """Guards against a reader that misses all changes after the store was replaced.

    The reader's position is then higher than every sequence number of the new store.
    """
    table = ObjectTable()
    table.put("config/a", b"x", 0)
    assert table.changes(("config/",), 50).reset


def test_value_over_the_limit_is_refused():
    """Guards against values that the real store would refuse."""
    with pytest.raises(ValueTooLargeError):
        ObjectTable().put("a", b"x" * (MAX_VALUE_BYTES + 1), 0)


def test_vm_list_lags():
    """Guards against a list that is always current; the real platform's list lags."""
    vm = VmEntry("vm-1", "entry", "natal", "natal-1", "127.0.0.1:1")
    table = DelayedVmList((), lag_s=2.0)
    table.replace(10.0, (vm,))
    assert (table.visible(11.9), table.visible(12.0)) == ((), (vm,))
