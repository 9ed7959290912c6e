"""Random schedule of faults; the same seed gives the same schedule."""

import random
from collections.abc import Iterable, Iterator
from enum import StrEnum

import attrs

__all__ = [
    "BASE_KINDS",
    "DEFAULT_GROUPS",
    "Fault",
    "FaultGroup",
    "FaultKind",
    "SoakPlan",
    "make_plan",
    "make_schedule",
]


class FaultKind(StrEnum):
    """Kind of a fault: of a VM, of its link to the store, of the store, or of an upstream.

    CONFIG_CHANGE is no fault but a new version of the configuration.
    """

    VM_KILL = "vm_kill"
    VM_PAUSE = "vm_pause"
    VM_STOP = "vm_stop"  # shut down gracefully, then started again
    VM_RELOAD = "vm_reload"
    LINK_DELAY = "link_delay"
    LINK_RESET = "link_reset"
    LINK_SILENT = "link_silent"
    LINK_NO_ANSWERS = "link_no_answers"  # calls reach the store, answers are held back
    STORE_AWAY = "store_away"
    STORE_SILENT = "store_silent"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_FORGETS = "store_forgets"  # the store drops its history of changes
    UPSTREAM_SILENT = "upstream_silent"
    UPSTREAM_RESTART = "upstream_restart"  # listed at once
    # Another process at the same address, listed seconds later.
    UPSTREAM_RESTART_UNLISTED = "upstream_restart_unlisted"
    UPSTREAM_OTHER_ID = "upstream_other_id"
    UPSTREAM_OTHER_POOL = "upstream_other_pool"
    UPSTREAM_PARTITION = "upstream_partition"  # its entry goes, it serves on
    UPSTREAM_REFUSES = "upstream_refuses"  # refuses connections, may close open ones, keeps keys
    UPSTREAM_DRAIN = "upstream_drain"
    UPSTREAM_LOSES_ANSWERS = "upstream_loses_answers"
    UPSTREAM_DELAYS_GRANTS = "upstream_delays_grants"  # carries them out without an answer
    UPSTREAM_REPEATS_ORDER_ANSWERS = "upstream_repeats_order_answers"
    UPSTREAM_REPEATS_REFUSALS = "upstream_repeats_refusals"
    UPSTREAM_BREAKS_HEADS = "upstream_breaks_heads"
    CONFIG_CHANGE = "config_change"
    ODD_ENTRY = "odd_entry"  # another writer lists an entry that names no upstream
    ODD_OVERWRITE = "odd_overwrite"  # it overwrites the entry of a live upstream
    UPSTREAM_SAYS_LEAVING = "upstream_says_leaving"  # in all answers; it reports that later, or not
    UPSTREAM_ASKS_FOR_QUIET = "upstream_asks_for_quiet"  # 503 with the time that is left
    CUT_HANG = "cut_hang"  # VMs are cut off from all upstreams: no packet passes
    CUT_RESET = "cut_reset"  # connections are reset, new ones refused
    CUT_REFUSE = "cut_refuse"  # connections live on, new ones are refused


class FaultGroup(StrEnum):
    """Kinds of faults that are drawn together; each group has a schedule of its own."""

    BASE = "base"
    ODD_ENTRIES = "odd-entries"
    LEAVING = "leaving"
    QUIET = "quiet"
    CUTS = "cuts"


GROUP_KINDS = {
    FaultGroup.ODD_ENTRIES: (FaultKind.ODD_ENTRY, FaultKind.ODD_OVERWRITE),
    FaultGroup.LEAVING: (FaultKind.UPSTREAM_SAYS_LEAVING,),
    FaultGroup.QUIET: (FaultKind.UPSTREAM_ASKS_FOR_QUIET,),
    FaultGroup.CUTS: (FaultKind.CUT_HANG, FaultKind.CUT_RESET, FaultKind.CUT_REFUSE),
}
BASE_KINDS = tuple(
    kind for kind in FaultKind if not any(kind in kinds for kinds in GROUP_KINDS.values())
)
# Groups whose checks need to know the VM of each call, hence paths of each VM of its own.
PATH_GROUPS = (FaultGroup.LEAVING, FaultGroup.QUIET, FaultGroup.CUTS)
# Groups of the command line; one with paths of each VM leaves no large fleets and no relays.
DEFAULT_GROUPS = (FaultGroup.BASE, FaultGroup.ODD_ENTRIES)


@attrs.frozen
class Fault:
    """A fault that starts `at_s` seconds into the schedule and lasts for `for_s` seconds.

    `target` is a random number that selects the VM or upstream.
    """

    at_s: float
    kind: FaultKind
    target: int
    for_s: float


@attrs.frozen
class SoakPlan:
    """Size and length of a run; a data centre with at least four VMs has a relay.

    With `vm_paths`, each VM has its own path to each upstream; then there must be no relay.

    The schedule of the faults is that of the seed and the groups, unless `faults` has another one.
    """

    seed: int
    length_s: float = 12.0
    vms: int = 8
    upstreams: int = 4
    callers: int = 8
    groups: tuple[FaultGroup, ...] = (FaultGroup.BASE,)
    vm_paths: bool = False
    faults: tuple[Fault, ...] | None = None


MAX_INTERVAL_S = 1.5
MAX_GROUP_INTERVAL_S = 3.0  # in the schedules of the other groups
MIN_FAULT_S, MAX_FAULT_S = 0.3, 4.0
MIN_CUT_S, MAX_CUT_S = 5.0, 8.0  # longer than VMs may take to react
MAX_PAUSE_S = 3.0  # between two cuts
OVERLAP_PROBABILITY = 0.3  # probability that an upstream gets another fault in the same time
REPEAT_PROBABILITY = 0.3  # probability that a fault is injected again right after it ended

PATH_VMS = 6
PATH_CALLERS = 16
LARGE_FLEET_PROBABILITY = 0.04
LARGE_FLEET_VMS = 60  # with the runner within the limit of a few hundred processes


def make_plan(
    seed: int, length_s: float, groups: tuple[FaultGroup, ...] = (FaultGroup.BASE,)
) -> SoakPlan:
    """Return the plan of a seed; a few seeds have as many VMs as a machine may run."""
    plan = SoakPlan(seed, length_s, groups=groups)
    if not set(PATH_GROUPS).isdisjoint(groups):
        return attrs.evolve(plan, vms=PATH_VMS, callers=PATH_CALLERS, vm_paths=True)
    is_large = random.Random(f"plan/{seed}").random() < LARGE_FLEET_PROBABILITY
    return attrs.evolve(plan, vms=LARGE_FLEET_VMS) if is_large else plan


def make_schedule(
    seed: int, length_s: float, groups: Iterable[FaultGroup] = (FaultGroup.BASE,)
) -> list[Fault]:
    """Return the random faults of a seed, in the order of their start times."""
    faults = (fault for group in groups for fault in _group_faults(group, seed, length_s))
    return sorted(faults, key=lambda each: each.at_s)


def _group_faults(group: FaultGroup, seed: int, length_s: float) -> Iterator[Fault]:
    if group is FaultGroup.BASE:
        return _base_faults(random.Random(seed), length_s)
    rng = random.Random(f"{group}/{seed}")
    if group is FaultGroup.CUTS:
        return _cuts(rng, length_s)
    return _faults(rng, length_s, GROUP_KINDS[group])


def _base_faults(rng: random.Random, length_s: float) -> Iterator[Fault]:
    others = [kind for kind in BASE_KINDS if kind.startswith("upstream_")]
    at_s = 0.0
    while (at_s := at_s + MAX_INTERVAL_S * rng.random()) < length_s:
        kind = rng.choice(BASE_KINDS)
        target = rng.randrange(1 << 16)
        for_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        yield Fault(at_s, kind, target, for_s)
        if kind in others and rng.random() < OVERLAP_PROBABILITY:
            yield Fault(at_s + for_s * rng.random(), rng.choice(others), target, for_s)
        if rng.random() < REPEAT_PROBABILITY:
            yield Fault(at_s + for_s + 0.1, kind, target, for_s / 2)


def _faults(rng: random.Random, length_s: float, kinds: tuple[FaultKind, ...]) -> Iterator[Fault]:
    at_s = 0.0
    while (at_s := at_s + MAX_GROUP_INTERVAL_S * rng.random()) < length_s:
        for_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        yield Fault(at_s, rng.choice(kinds), rng.randrange(1 << 16), for_s)


def _cuts(rng: random.Random, length_s: float) -> Iterator[Fault]:
    """Yield cuts one after the other, each of which ends before the end of the schedule."""
    at_s = rng.uniform(0.0, 1.0)
    while at_s + (for_s := rng.uniform(MIN_CUT_S, MAX_CUT_S)) < length_s:
        kind = rng.choice(GROUP_KINDS[FaultGroup.CUTS])
        yield Fault(at_s, kind, rng.randrange(1 << 16), for_s)
        at_s += for_s + rng.uniform(0.5, MAX_PAUSE_S)
