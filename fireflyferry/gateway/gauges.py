"""Gauges of one entry VM, computed when the metrics are read."""

from collections.abc import Callable, Mapping

from fireflyferry.gateway import documents
from fireflyferry.gateway.control import ControlLoop
from fireflyferry.gateway.edges import PlatformCodec
from fireflyferry.gateway.eras import StoreEras
from fireflyferry.gateway.first_hop import FirstHop
from fireflyferry.gateway.knowledge import DocumentSync
from fireflyferry.gateway.last_hop import LastHop
from fireflyferry.gateway.state import GatewayState
from fireflyferry.gateway.upstream_path import PathMonitor

__all__ = ["make_gauges"]


def make_gauges(
    codec: PlatformCodec,
    state: GatewayState,
    document_sync: DocumentSync,
    control_loop: ControlLoop,
    first_hop: FirstHop,
    last_hop: LastHop,
    path: PathMonitor,
    eras: StoreEras,
) -> Mapping[str, tuple[str, Callable[[], float]]]:
    """Return a description and a reader for each gauge, by name."""
    return {
        "config_version": (
            "Version of the configuration in force.",
            lambda: state.config.version if state.config else 0,
        ),
        "upstream_busy": (
            "Requests that upstreams of this last hop work on.",
            lambda: last_hop.busy,
        ),
        "upstream_waiting": (
            "Requests that wait for a slot at this last hop.",
            lambda: last_hop.waiting,
        ),
        "evacuated_data_centres": (
            "Data centres whose upstreams get no requests, by order.",
            lambda: len(state.evacuated_data_centres()),
        ),
        "cold_upstreams": (
            "Upstreams that are cold and get a limited rate.",
            state.cold_upstreams,
        ),
        "cut_off": ("Whether this VM reaches no upstream.", lambda: float(path.lost)),
        "store_era": (
            "Highest era that the store reported; -1 if it reports none.",
            lambda: -1.0 if eras.current is None else float(eras.current),
        ),
        "holds_lease": (
            "Whether this VM may grant keys.",
            lambda: float(control_loop.holds_lease),
        ),
        "unanswered_reminders": (
            "Releases that upstreams whose grants have expired have to answer.",
            lambda: float(control_loop.unanswered_reminders),
        ),
        "follows_relay": (
            "Whether this VM learns the store's documents from another VM.",
            lambda: float(document_sync.feed.relay is not None),
        ),
        "retries_left": (
            "Second sends allowed now, over all pools.",
            lambda: sum(map(first_hop.retries_left, first_hop.pools)),
        ),
        "config_age_seconds": (
            "Time since the store confirmed the configuration.",
            lambda: document_sync.age_s(codec.config_kind),
        ),
        "upstreams_age_seconds": (
            "Time since the store confirmed the list of upstreams.",
            lambda: document_sync.age_s(codec.upstream_kind),
        ),
        "owners_age_seconds": (
            "Time since the store confirmed the owners of keys.",
            lambda: document_sync.age_s(documents.OWNER_KIND),
        ),
    }
