"""Random faults and changes for `World`."""

import random

from fireflyferry.ownership.tests.world import BUCKETS, KEYS, World
from fireflyferry.placement import bucket_unit, key_unit

__all__ = ["FAULTS", "REQUEST_FAULTS", "TAKEOVER_FAULTS", "apply", "run_random"]

FAULTS = (
    "move", "move", "split", "merge", "freeze", "thaw", "cut", "heal", "slow", "loss", "store",
    "restart", "replace", "drain", "takeover", "resign", "raise", "stopped", "pause",
    "request", "request", "request", "run", "run", "run",
)  # fmt: skip


def apply(world, fault, name, bucket, amount):
    """Apply one fault or change; `amount` is in 0..1."""
    node = world.nodes[name]
    unit = (key_unit(bucket, f"x{bucket}"), bucket_unit(bucket))[amount < 0.7]
    changes = {
        "move": lambda: world.move(unit, name),
        "split": lambda: world.split(bucket, name),
        "merge": lambda: world.merge(bucket),
        "freeze": lambda: setattr(node, "frozen", True),
        "thaw": lambda: setattr(node, "frozen", False),
        "cut": lambda: setattr(node, "cut", True),
        "heal": lambda: setattr(node, "cut", False),
        "slow": lambda: setattr(node, "delay_s", 3.0 * amount * (amount > 0.3)),
        "loss": lambda: setattr(world, "loss", 0.5 * amount * (amount > 0.5)),
        "store": lambda: setattr(world, "store_up", not world.store_up),
        "restart": lambda: world.restart(name),
        "replace": lambda: world.replace(name),
        "drain": lambda: world.drain(name),
        "takeover": lambda: world.takeover(False),
        "resign": lambda: world.takeover(True),
        "raise": world.raise_term,
        "stopped": world.earlier_leaders_stopped,
        "pause": lambda: world.run(amount, leader_paused=True),
        "request": lambda: [world.request(key) for key in KEYS],
        "run": lambda: world.run(2.0 * amount),
    }
    changes[fault]()


# Upstreams that do not hear of their release when the leader changes.
TAKEOVER_FAULTS = ("move", "move", "cut", "heal", "run", "takeover")
REQUEST_FAULTS = ("request", "request", "move", "split", "merge", "takeover", "stopped", "run")


def run_random(seed, steps=60, faults=FAULTS, **options):
    """Run random faults from a seed, then a quiet time."""
    world = World(seed, **options)
    chooser = random.Random(f"faults-{seed}")
    world.run(1.0)
    for _ in range(steps):
        fault = chooser.choice(faults)
        name, bucket = chooser.choice(sorted(world.nodes)), chooser.randrange(BUCKETS)
        apply(world, fault, name, bucket, chooser.random())
    world.settle()
    return world
