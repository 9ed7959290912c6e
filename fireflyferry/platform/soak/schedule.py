"""Schedule of faults; one seed gives one schedule."""

import random
from collections.abc import Iterator
from enum import StrEnum

import attrs

__all__ = ["Fault", "FaultKind", "make_schedule"]


class FaultKind(StrEnum):
    """What is done to a VM, to its way to the store, to the store, or to an upstream."""

    VM_KILL = "vm_kill"
    VM_PAUSE = "vm_pause"
    VM_STOP = "vm_stop"  # asked to end in good order, then started again
    VM_RELOAD = "vm_reload"
    LINK_DELAY = "link_delay"
    LINK_RESET = "link_reset"
    LINK_SILENT = "link_silent"
    LINK_NO_ANSWERS = "link_no_answers"  # calls arrive, answers do not
    STORE_AWAY = "store_away"
    STORE_SILENT = "store_silent"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_FORGETS = "store_forgets"
    UPSTREAM_SILENT = "upstream_silent"
    UPSTREAM_RESTART = "upstream_restart"
    UPSTREAM_DRAIN = "upstream_drain"
    UPSTREAM_LOSES_ANSWERS = "upstream_loses_answers"
    CONFIG_CHANGE = "config_change"


@attrs.frozen
class Fault:
    """A fault at a time for a time, in seconds; `target` is a number to choose a victim by."""

    at_s: float
    kind: FaultKind
    target: int
    for_s: float


LONGEST_PAUSE_S = 1.5
LEAST_FAULT_S, LONGEST_FAULT_S = 0.3, 4.0
SERIES_SHARE = 0.3  # of the faults strike again right after they end


def make_schedule(seed: int, length_s: float) -> list[Fault]:
    """Return faults in the order of their times."""
    return sorted(_faults(random.Random(seed), length_s), key=lambda each: each.at_s)


def _faults(rng: random.Random, length_s: float) -> Iterator[Fault]:
    at_s = 0.0
    while (at_s := at_s + LONGEST_PAUSE_S * rng.random()) < length_s:
        kind = rng.choice(list(FaultKind))
        target = rng.randrange(1 << 16)
        for_s = rng.uniform(LEAST_FAULT_S, LONGEST_FAULT_S)
        yield Fault(at_s, kind, target, for_s)
        if rng.random() < SERIES_SHARE:
            yield Fault(at_s + for_s + 0.1, kind, target, for_s / 2)
