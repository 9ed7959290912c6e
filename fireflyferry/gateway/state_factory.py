"""Creates the routing state of an entry VM from its settings."""

from collections.abc import Callable

from fireflyferry.balancing import EntryVm, Evacuations, UpstreamDirectory, VmDirectory
from fireflyferry.balancing.cold_limits import ColdRules, ColdUpstreams
from fireflyferry.edges import Clock
from fireflyferry.gateway.edges import PlatformCodec
from fireflyferry.gateway.mirror import DocumentMirror
from fireflyferry.gateway.program_rules import ProgramRules
from fireflyferry.gateway.settings import GatewaySettings
from fireflyferry.gateway.state import GatewayState
from fireflyferry.gateway.watching import StoreHealth

__all__ = ["make_state"]


def make_state(
    clock: Clock,
    codec: PlatformCodec,
    settings: GatewaySettings,
    this_vm: EntryVm,
    rules: ProgramRules,
    health: StoreHealth,
    mirror: Callable[[], DocumentMirror],
) -> GatewayState:
    """Return the state; `mirror` returns the documents that it is derived from."""
    bounds = settings.bounds
    leaving_grace_s = max(0.0, bounds.drain_timeout_s - rules.leaving_margin_s)

    def evacuations_not_before_s() -> float:
        return mirror().changed_after_s(codec.evacuation_kind)

    return GatewayState(
        clock,
        codec,
        UpstreamDirectory(
            leaving_grace_s,
            lapse_grace_s=max(0.0, leaving_grace_s - 0.2),
            evacuations=Evacuations(bounds.evacuate_s or 0.0),
        ),
        VmDirectory(this_vm, settings.regions.by_data_centre()),
        health.failed_recently,
        lambda: mirror().unobserved_s(codec.upstream_kind),
        evacuations_not_before_s if bounds.evacuate_s is not None else None,
        ColdUpstreams(ColdRules(bounds.warmup_overshoot, bounds.warmup_tolerance)),
    )
