"""Differential test: placement and GrantManager under faults against one dict without faults."""

import random

import pytest

from fireflyferry.ownership.tests.world import BUCKETS, World
from fireflyferry.placement import (
    PlacementWeights,
    UpstreamCapacity,
    assign,
    bucket_unit,
    key_unit,
)

WEIGHTS = PlacementWeights(unavailable=0.0)


class ReferenceRouter:
    """Reference model: one process with one dict, in which each decision takes effect at once."""

    def __init__(self):
        self.owners = {}

    def place(self, live, loads):
        upstreams = [UpstreamCapacity(name) for name in sorted(live)]
        self.owners = assign(loads, upstreams, self.owners, WEIGHTS)


class PlacedWorld(World):
    """A `World` whose owners are chosen by placement from the upstreams that count as live.

    `decisions` lists the live upstreams and the unit loads of each placement.
    """

    def __init__(self, seed):
        self.loads = {bucket_unit(bucket): 1.0 for bucket in range(BUCKETS)}
        self.live = frozenset()
        self.departed = set()
        self.decisions = []
        super().__init__(seed)
        self.desired_owners = {}

    def _send_hello(self, node):
        if node.name not in self.departed:
            super()._send_hello(node)

    def _advance_time(self, authority_until_s):
        super()._advance_time(authority_until_s)
        now_s, grants = self.leader_now_s, self.grants
        gone = {n for n in self.nodes if grants.is_lost(now_s, n) or grants.is_draining(n)}
        if self.live != self.nodes.keys() - gone:
            self.live = frozenset(self.nodes.keys() - gone)
            self.place()

    def place(self):
        upstreams = [UpstreamCapacity(name) for name in sorted(self.live)]
        self.decisions.append((self.live, dict(self.loads)))
        self.desired_owners = assign(self.loads, upstreams, self.desired_owners, WEIGHTS)
        self._set_desired_owners()

    def change(self, rng):
        """Split or merge a key, or let an upstream join, leave or drain."""
        name = rng.choice(sorted(self.nodes))
        bucket = rng.randrange(BUCKETS)
        unit = key_unit(bucket, f"x{bucket}")
        if rng.random() < 0.4:
            if self.loads.pop(unit, None) is None:
                self.loads[unit] = 1.0
            self.place()
        elif name in self.departed:
            self.departed.discard(name)
            self.replace(name)
        elif len(self.departed) < len(self.nodes) - 1:
            self.departed.add(name)
            if rng.random() < 0.5:
                self.replace(name)
            else:
                self.nodes[name].holder.drain()


def _disturb(world, rng):
    """Lose and delay messages, sometimes disable the store, and freeze one upstream for 0.3 s."""
    world.loss_probability = 0.05
    for node in world.nodes.values():
        node.delay_s = 0.2 * rng.random()
    world.store_available = rng.random() < 0.7
    frozen_node = world.nodes[rng.choice(sorted(world.nodes))]
    frozen_node.frozen = True
    world.run(0.3)
    frozen_node.frozen = False
    for key in ("x0", "y1"):
        world.request(key)
    world.run(1.0)


@pytest.mark.parametrize("seed", range(12))
def test_owners_equal_the_reference_router_after_settling(seed):
    """Guards against placement decisions that are lost, changed or never granted."""
    world, reference, rng = PlacedWorld(seed), ReferenceRouter(), random.Random(f"changes-{seed}")
    world.run(1.0)
    for _ in range(6):
        world.change(rng)
        _disturb(world, rng)
        world.settle()
        assert world.live == world.nodes.keys() - world.departed
        for live, loads in world.decisions:
            reference.place(live, loads)
        world.decisions = []
        owners = {}
        for unit in reference.owners:
            owner = world.grants.owner(world.leader_now_s, unit)
            owners[unit] = getattr(owner, "upstream_id", owner)
        assert owners == reference.owners
        if rng.random() < 0.5:
            world.takeover(resign=rng.random() < 0.5)
            world.run(1.0)
