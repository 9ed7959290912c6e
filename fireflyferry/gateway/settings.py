"""Settings of the entry VM on a platform."""

import attrs

from fireflyferry.settings.model import LogSettings
from fireflyferry.settings.values import Endpoint, Integer, IpAddress, Number, Text, TextList, field

__all__ = ["GatewaySettings"]

NAME = Text(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", "1 to 64 letters, digits and ._-")
DATA_CENTRE_REGION = Text(
    r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}:[A-Za-z0-9][A-Za-z0-9._-]{0,63}", "DATA_CENTRE:REGION"
)
SECONDS = Number(0.0, 3600.0)


@attrs.frozen
class GatewayVmSettings:
    """Id and data centre of the VM, where it listens, its processing power and its memory."""

    vm_id: str = field(NAME)
    data_centre: str = field(NAME)
    address: str = field(IpAddress())
    callers: str = field(Endpoint())
    readiness: str = field(Endpoint())
    peer_port: int = field(Integer(1, 65535))
    metrics_port: int = field(Integer(1, 65535))
    processor_share: float = field(Number(0.0, 1024.0), default=1.0)
    processor_speed: float = field(Number(0.0, 1024.0), default=1.0)
    memory_mb: float = field(Number(16.0, 1e7), default=256.0)

    @property
    def capacity(self) -> float:
        """Processing power of this VM, in cores of a standard speed."""
        return self.processor_share * self.processor_speed


@attrs.frozen
class RegionSettings:
    """Region of each data centre."""

    data_centres: tuple[str, ...] = field(TextList(DATA_CENTRE_REGION, 1, 1000))

    def by_data_centre(self) -> dict[str, str]:
        """Return the region of each data centre."""
        return dict(pair.split(":") for pair in self.data_centres)


@attrs.frozen
class GatewayStoreSettings:
    """The platform's store."""

    address: str = field(Endpoint())


@attrs.frozen
class BoundSettings:
    """Limits that the platform prescribes; times in seconds.

    A leaving upstream may get requests for `drain_timeout_s`. A VM has to exit within
    `grace_period_s` after the termination signal. A grant is valid for at most `max_hold_s`. All
    VMs together may send retries for `retry_share` of the requests in `retry_window_s`, and
    `retry_least` more. A VM has to serve by the store's current data `settle_window_s` after its
    connections, or the store, were disturbed. An evacuated data centre gets no requests later than
    `evacuate_s` after the order; without it, orders are not followed. A cold upstream gets, from
    all VMs together in one second, at most `warmup_overshoot` times the rate that its pool
    tolerates, and `warmup_tolerance` requests more.
    """

    drain_timeout_s: float = field(SECONDS)
    grace_period_s: float = field(SECONDS)
    max_hold_s: float = field(SECONDS)
    retry_share: float = field(Number(0.0, 1.0))
    retry_window_s: float = field(SECONDS)
    retry_least: float = field(Number(0.0, 1e6))
    settle_window_s: float = field(SECONDS, default=3.0)
    evacuate_s: float | None = field(SECONDS, default=None)
    warmup_overshoot: float = field(Number(0.0, 1000.0), default=1.5)
    warmup_tolerance: float = field(Number(0.0, 1e6), default=8.0)


@attrs.frozen
class GatewaySettings:
    """Settings of `python3 -m fireflyferry.platform`."""

    vm: GatewayVmSettings
    regions: RegionSettings
    store: GatewayStoreSettings
    bounds: BoundSettings
    log: LogSettings
