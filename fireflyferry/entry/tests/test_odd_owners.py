"""Guards against a group without owners for a whole term because of one odd record of owners."""

import orjson
import pytest

from fireflyferry.entry import owner_system
from fireflyferry.entry.owner_system import ASSIGNMENTS_PREFIX
from fireflyferry.entry.state import GROUPS_PREFIX
from fireflyferry.entry.tests.fakes import GROUP
from fireflyferry.entry.tests.test_control import record_of, run

NAME = f"{ASSIGNMENTS_PREFIX}{GROUP}"


def replace_stored(world, data):
    world.store.table.put(NAME, data, world.store.table.get(NAME).version)


# Guards against owners that are read once at the start of a term, and never again if unreadable.
@pytest.mark.parametrize("odd", [b"", b"[]", b"\xff", b"[" * 900 + b"]" * 900, b"other group"])
def test_owners_are_loaded_once_their_record_is_readable_again(monkeypatch, odd):
    monkeypatch.setattr(owner_system, "LOAD_RETRY_DELAY_S", 0.0)

    async def scenario(world):
        good, owners = world.store.table.get(NAME).data, world.owners(GROUP)
        other = good.replace(b'"index":0', b'"index":1')
        replace_stored(world, other if odd == b"other group" else odd)
        world.stop(record_of(world).leader.vm_id)
        await world.run_for(10)
        assert not world.owners(GROUP)
        replace_stored(world, good)
        await world.run_until(lambda: world.owners(GROUP) == owners, 5)

    run(scenario)


# Guards against a term that never begins, or loses the owners of all units, for one odd unit.
@pytest.mark.parametrize("odd", ["", "b:", "b:x", "k:1", "odd", "b:" + "9" * 5000, "雪\r\n,"])
@pytest.mark.parametrize("field", ["owners", "releasing", "pins"])
def test_owners_beside_an_odd_unit_are_kept(field, odd):
    async def scenario(world):
        owners = world.owners(GROUP)
        content = orjson.loads(world.store.table.get(NAME).data)
        content[field][odd] = ["u-1"] if field == "releasing" else "u-1"
        # Newer than the copy of the standby.
        content["sequence"] += 1
        replace_stored(world, orjson.dumps(content))
        world.stop(record_of(world).leader.vm_id)
        await world.run_until(lambda: world.owners(GROUP) == owners, 10)

    run(scenario)


# Guards against a failed task at every read of a record, and a group led by another's record.
@pytest.mark.parametrize("odd", [b"", b"[]", b"\xff", b"[" * 900 + b"]" * 900, b"other group"])
def test_group_outlasts_a_record_that_is_not_its_own(caplog, odd):
    async def scenario(world):
        name = f"{GROUPS_PREFIX}{GROUP}"
        good, owners = world.store.table.get(name), world.owners(GROUP)
        other = good.data.replace(b'"index":0', b'"index":1').replace(b'"term":1', b'"term":9')
        odd_data = other if odd == b"other group" else odd
        leader = record_of(world).leader.vm_id
        version = world.store.table.put(name, odd_data, good.version)
        world.stop(leader)
        await world.run_for(5)
        assert "task_failed" not in caplog.text
        assert all(vm.state.records[GROUP].record.term < 9 for vm in world.vms.values())
        world.store.table.put(name, good.data, version)
        await world.run_until(lambda: world.owners(GROUP) == owners, 15)

    run(scenario)
