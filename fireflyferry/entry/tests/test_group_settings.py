"""Guards against takeover settings that are not applied, and assignments without effect."""

import asyncio

import attrs
import pytest

from fireflyferry.entry.tests.fakes import GROUP, TICK_S, SimulatedWorld, entry_vm, upstream_vm
from fireflyferry.messages import GroupId
from fireflyferry.messages.control import AssignRequest
from fireflyferry.tables import Pool

ENTRIES = (
    entry_vm("e-1", "natal-1"),
    entry_vm("e-2", "natal-2"),
    *(upstream_vm(f"u-{n}", "natal-1") for n in range(6)),
    upstream_vm("u-sibling", "natal-2"),
    upstream_vm("u-other-pool", "natal-1", "reserva"),
    attrs.evolve(upstream_vm("u-far", "recife-1"), region="recife"),
)
TWO_GROUPS = Pool("janela", ("natal-1",), buckets=8, groups_per_data_centre=2)


async def settled_world(pool=TWO_GROUPS):
    world = SimulatedWorld(ENTRIES, pool)
    await world.run_until(
        lambda: world.leaders(GROUP)
        and world.owners(GROUP)
        and world.runtime(GROUP).authority.record.standby,
        10,
    )
    await world.run_for(2)
    return world


@pytest.mark.parametrize(("before", "after"), [("auto", "hold"), ("hold", "auto")])
def test_changed_takeover_setting_applies_to_groups_that_a_vm_takes_part_in(before, after):
    async def scenario():
        pool = attrs.evolve(TWO_GROUPS, takeover=before)
        world = await settled_world(pool)
        world.write_tables(2, attrs.evolve(pool, takeover=after))
        await world.run_for(TICK_S)
        world.stop(*world.leaders(GROUP))
        await world.run_for(6)
        assert bool(world.leaders(GROUP)) == (after == "auto")

    asyncio.run(scenario())


async def assign(world, upstream_id):
    leader = world.vms[world.leaders(GROUP)[0]]
    placement = leader.state.placements["janela"]
    unit = f"b:{placement.buckets_of(GROUP)[0]}"
    request = AssignRequest("janela", unit, upstream_id)
    task = asyncio.ensure_future(leader.control_loop.operator_calls.assign(request))
    while not task.done():
        await world.run_for(TICK_S)
        await asyncio.sleep(0.002)
    return unit, task.result()


def upstream_ids_of(world, index):
    owners = world.runtime(GroupId("janela", "natal-1", index)).desired_owners
    return sorted(set(owners.values()))


def test_assignment_to_an_upstream_that_the_group_cannot_use_is_refused():
    async def scenario():
        world = await settled_world()
        expected_reasons = {
            upstream_ids_of(world, 1)[0]: "upstream_not_in_group",
            "u-far": "upstream_not_in_group",
            "u-sibling": "upstream_not_in_group",
            "u-other-pool": "unknown_upstream",
            "u-none": "unknown_upstream",
        }
        for upstream_id, reason in expected_reasons.items():
            _, reply = await assign(world, upstream_id)
            assert (upstream_id, reply.accepted, reply.reason) == (upstream_id, False, reason)
            assert world.runtime(GROUP).pins == {}

    asyncio.run(scenario())


def test_assignment_to_an_upstream_of_the_group_is_put_in_place():
    async def scenario():
        world = await settled_world()
        for upstream_id in upstream_ids_of(world, 0):
            unit, reply = await assign(world, upstream_id)
            assert reply.accepted
            assert world.owners(GROUP)[unit] == upstream_id

    asyncio.run(scenario())


def test_assignment_to_a_sibling_upstream_is_accepted_while_no_upstream_at_home_answers():
    async def scenario():
        world = await settled_world(attrs.evolve(TWO_GROUPS, groups_per_data_centre=1))
        world.upstreams.unreachable.update(f"u-{n}" for n in range(6))
        await world.run_for(5)
        unit, reply = await assign(world, "u-sibling")
        assert reply.accepted
        assert world.owners(GROUP)[unit] == "u-sibling"

    asyncio.run(scenario())


def test_takeover_is_held_while_the_tables_are_unknown():
    """Guards against a takeover by a VM that joined a group before it knew the pool's setting."""

    async def scenario():
        world = await settled_world(attrs.evolve(TWO_GROUPS, takeover="hold"))
        vm = world.vms[next(iter(world.vms))]
        vm.state._tables = None
        roles = vm.control_loop._roles
        assert roles.join(GroupId("janela", "natal-1", 7), {}).authority._hold

    asyncio.run(scenario())


def test_loads_of_a_group_add_up_to_its_buckets_when_a_key_is_split():
    """Guards against buckets that move for balance because a hot key's load is counted twice."""

    async def scenario():
        world = await settled_world()
        runtime = world.runtime(GROUP)
        for number in range(100):
            runtime.hot_key_sketch.observe("hot" if number % 4 == 0 else f"cold-{number}")
        runtime.hot_key_planner.adopt(["hot"])
        leader = world.vms[world.leaders(GROUP)[0]]
        buckets = leader.state.placements["janela"].buckets_of(GROUP)
        loads = leader.control_loop._owners._placement_planner._unit_loads(
            runtime, TWO_GROUPS, buckets
        )
        assert sum(loads.values()) == pytest.approx(len(buckets))

    asyncio.run(scenario())
