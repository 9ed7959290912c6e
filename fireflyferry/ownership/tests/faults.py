"""Random faults and changes of owners for `World`."""

import random

from fireflyferry.ownership.tests.world import BUCKETS, KEYS, World
from fireflyferry.placement import bucket_unit, key_unit

__all__ = ["FAULTS", "REQUEST_FAULTS", "TAKEOVER_FAULTS", "apply_fault", "run_random_faults"]

FAULTS = (
    "move", "move", "split", "merge", "freeze", "thaw", "disconnect", "reconnect", "delay",
    "lose_messages", "toggle_store", "restart", "replace", "drain", "takeover", "resign",
    "raise_term", "stop_earlier_leaders", "pause_leader",
    "request", "request", "request", "run", "run", "run",
)  # fmt: skip


def apply_fault(world, fault, name, bucket, amount):
    """Apply one fault or change by name; `amount` in 0..1 sets its strength or duration."""
    node = world.nodes[name]
    unit = (key_unit(bucket, f"x{bucket}"), bucket_unit(bucket))[amount < 0.7]
    changes = {
        "move": lambda: world.move(unit, name),
        "split": lambda: world.split(bucket, name),
        "merge": lambda: world.merge(bucket),
        "freeze": lambda: setattr(node, "frozen", True),
        "thaw": lambda: setattr(node, "frozen", False),
        "disconnect": lambda: setattr(node, "disconnected", True),
        "reconnect": lambda: setattr(node, "disconnected", False),
        "delay": lambda: setattr(node, "delay_s", 3.0 * amount * (amount > 0.3)),
        "lose_messages": lambda: setattr(world, "loss_probability", 0.5 * amount * (amount > 0.5)),
        "toggle_store": lambda: setattr(world, "store_available", not world.store_available),
        "restart": lambda: world.restart(name),
        "replace": lambda: world.replace(name),
        "drain": lambda: world.drain(name),
        "takeover": lambda: world.takeover(False),
        "resign": lambda: world.takeover(True),
        "raise_term": world.raise_term,
        "stop_earlier_leaders": world.stop_earlier_leaders,
        "pause_leader": lambda: world.run(amount, leader_paused=True),
        "request": lambda: [world.request(key) for key in KEYS],
        "run": lambda: world.run(2.0 * amount),
    }
    changes[fault]()


# For leader changes before upstreams have received the messages that release their units.
TAKEOVER_FAULTS = ("move", "move", "disconnect", "reconnect", "run", "takeover")
REQUEST_FAULTS = (
    "request",
    "request",
    "move",
    "split",
    "merge",
    "takeover",
    "stop_earlier_leaders",
    "run",
)


def run_random_faults(seed, steps=60, faults=FAULTS, **options):
    """Run random faults from a seed, then end all faults and check the owners."""
    world = World(seed, **options)
    rng = random.Random(f"faults-{seed}")
    world.run(1.0)
    for _ in range(steps):
        fault = rng.choice(faults)
        name, bucket = rng.choice(sorted(world.nodes)), rng.randrange(BUCKETS)
        apply_fault(world, fault, name, bucket, rng.random())
    world.settle()
    return world
