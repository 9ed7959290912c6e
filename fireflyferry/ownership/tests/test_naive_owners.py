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


class NaiveRouter:
    """One process and one dict; every decision takes effect at once."""

    def __init__(self):
        self.owners = {}

    def place(self, live, loads):
        upstreams = [UpstreamCapacity(name) for name in sorted(live)]
        self.owners = assign(loads, upstreams, self.owners, WEIGHTS)


class PlacedWorld(World):
    """A world whose owners are chosen by placement from what the leader sees.

    `decisions` lists the live upstreams and loads that each choice was made from.
    """

    def __init__(self, seed):
        self.loads = {bucket_unit(bucket): 1.0 for bucket in range(BUCKETS)}
        self.live = frozenset()
        self.away = set()
        self.decisions = []
        super().__init__(seed)
        self.naive = {}

    def _hello(self, node):
        if node.name not in self.away:
            super()._hello(node)

    def _advance(self, authority_until_s):
        super()._advance(authority_until_s)
        now_s, book = self.leader_s, self.book
        gone = {n for n in self.nodes if book.is_lost(now_s, n) or book.is_draining(n)}
        if self.live != self.nodes.keys() - gone:
            self.live = frozenset(self.nodes.keys() - gone)
            self.place()

    def place(self):
        upstreams = [UpstreamCapacity(name) for name in sorted(self.live)]
        self.decisions.append((self.live, dict(self.loads)))
        self.naive = assign(self.loads, upstreams, self.naive, WEIGHTS)
        self._desire()

    def change(self, chooser):
        """Split or merge a key, or let an upstream join, leave or drain."""
        name = chooser.choice(sorted(self.nodes))
        bucket = chooser.randrange(BUCKETS)
        unit = key_unit(bucket, f"x{bucket}")
        if chooser.random() < 0.4:
            if self.loads.pop(unit, None) is None:
                self.loads[unit] = 1.0
            self.place()
        elif name in self.away:
            self.away.discard(name)
            self.replace(name)
        elif len(self.away) < len(self.nodes) - 1:
            self.away.add(name)
            if chooser.random() < 0.5:
                self.replace(name)
            else:
                self.nodes[name].holder.drain()


def _disturb(world, chooser):
    """Disturb messages, the store and one upstream for a short time."""
    world.loss = 0.05
    for node in world.nodes.values():
        node.delay_s = 0.2 * chooser.random()
    world.store_up = chooser.random() < 0.7
    frozen = world.nodes[chooser.choice(sorted(world.nodes))]
    frozen.frozen = True
    world.run(0.3)
    frozen.frozen = False
    for key in ("x0", "y1"):
        world.request(key)
    world.run(1.0)


@pytest.mark.parametrize("seed", range(12))
def test_owners_equal_the_naive_router_once_quiet(seed):
    """Guards against decisions of placement that the grants lose, alter or never reach."""
    world, naive, chooser = PlacedWorld(seed), NaiveRouter(), random.Random(f"changes-{seed}")
    world.run(1.0)
    for _ in range(6):
        world.change(chooser)
        _disturb(world, chooser)
        world.settle()
        assert world.live == world.nodes.keys() - world.away
        for live, loads in world.decisions:
            naive.place(live, loads)
        world.decisions = []
        owners = {}
        for unit in naive.owners:
            owner = world.book.owner(world.leader_s, unit)
            owners[unit] = getattr(owner, "upstream_id", owner)
        assert owners == naive.owners
        if chooser.random() < 0.5:
            world.takeover(resign=chooser.random() < 0.5)
            world.run(1.0)
