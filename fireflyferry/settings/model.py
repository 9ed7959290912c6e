"""Settings of the entry program and the operator program."""

from collections.abc import Iterator

import attrs

from fireflyferry.settings.values import (
    Choice,
    Endpoint,
    Flag,
    Integer,
    IpAddress,
    Number,
    Secret,
    Text,
    TextList,
    field,
)

__all__ = [
    "PROGRAMS",
    "CtlSettings",
    "DrainSettings",
    "EntrySettings",
    "LeaseSettings",
    "LimitSettings",
    "LogSettings",
    "OperatorSettings",
    "PeerSettings",
    "SecretSettings",
    "StatsdSettings",
    "StoreSettings",
    "TestingSettings",
    "VmSettings",
]

NAME = Text(
    r"[a-z][a-z0-9-]{0,39}",
    "1 to 40 lower-case letters, digits and hyphens, starting with a letter",
)
VM_ID = Text(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", "1 to 64 letters, digits and ._-")
PORT = Integer(0, 65535)
LEASE_S = Number(0.1, 60)
# Session writes start when half of a pledge is left. Two heartbeats must fit into the first half,
# or each lost heartbeat causes a write to the store.
MIN_HEARTBEATS_PER_PLEDGE = 4
MIN_RENEWALS_PER_GRANT = 2


@attrs.frozen
class VmSettings:
    """Id, location, address and ports of the VM; for port 0, the kernel chooses a free port."""

    vm_id: str = field(VM_ID)
    region: str = field(NAME)
    data_centre: str = field(NAME)
    address: str = field(IpAddress())
    public_port: int = field(PORT, 8080)
    peer_port: int = field(PORT, 8081)


@attrs.frozen
class StoreSettings:
    """The platform's object store."""

    address: str = field(Endpoint())
    timeout_ms: int = field(Integer(50, 60_000), 2000)


@attrs.frozen
class LeaseSettings:
    """Durations of leases and the intervals at which they are renewed, in seconds.

    A leader leads a group while a pledge of its standby or its session in the store is valid. A
    heartbeat every `heartbeat_s` renews the pledge. A grant is an upstream's lease on units, which
    the leader renews every `renew_s`. `drift` is the largest difference between the rates of any
    two clocks, as a fraction.
    """

    pledge_s: float = field(LEASE_S, 1.6)
    session_s: float = field(LEASE_S, 1.6)
    grant_s: float = field(LEASE_S, 1.6)
    heartbeat_s: float = field(Number(0.01, 20), 0.4)
    renew_s: float = field(Number(0.01, 20), 0.6)
    drift: float = field(Number(0.0001, 0.1), 0.01)

    def cross_key_faults(self) -> Iterator[tuple[str, str, str]]:
        """Yield the key, the value found and what is allowed, for each rule that is violated."""
        if self.session_s < self.pledge_s:
            # A new standby waits only for the end of the session, and a pledge of the previous
            # standby may be valid for pledge_s after the standby was replaced.
            yield "session_s", f"{self.session_s:g}", f"at least pledge_s, {self.pledge_s:g}"
        max_interval_s = self.pledge_s / MIN_HEARTBEATS_PER_PLEDGE
        if self.heartbeat_s > max_interval_s:
            allowed = f"at most a quarter of pledge_s, {max_interval_s:g}"
            yield "heartbeat_s", f"{self.heartbeat_s:g}", allowed
        max_interval_s = self.grant_s / MIN_RENEWALS_PER_GRANT
        if self.renew_s > max_interval_s:
            yield "renew_s", f"{self.renew_s:g}", f"at most half of grant_s, {max_interval_s:g}"


@attrs.frozen
class LimitSettings:
    """Limits on the requests that one VM accepts and buffers."""

    max_body_bytes: int = field(Integer(0, 1_073_741_824), 16_777_216)
    max_header_bytes: int = field(Integer(1024, 1_048_576), 65_536)
    queue_length: int = field(Integer(0, 100_000), 4096)
    streaming_window_bytes: int = field(Integer(4096, 16_777_216), 262_144)


@attrs.frozen
class StatsdSettings:
    """StatsD server that receives the counters; none if the address is empty."""

    address: str = field(Endpoint(optional=True), "")
    prefix: str = field(
        Text(r"[A-Za-z0-9._-]{0,64}", "0 to 64 letters, digits and ._-"), "fireflyferry"
    )


@attrs.frozen
class LogSettings:
    """Format of the log and the lowest level that is logged."""

    format: str = field(Choice(("keyvalue", "json")), "keyvalue")
    level: str = field(Choice(("debug", "info", "warning", "error")), "info")


@attrs.frozen
class SecretSettings:
    """Secrets shared by entry VMs: `current` signs messages, and both are accepted."""

    current: str = field(Secret(), repr=False)
    previous: str = field(Secret(optional=True), "", repr=False)

    def cross_key_faults(self) -> Iterator[tuple[str, str, str]]:
        """Yield the key, the value found and what is allowed, for each rule that is violated."""
        if self.previous == self.current:
            yield "previous", "the same value as current", "another value, or empty"


@attrs.frozen
class DrainSettings:
    """Graceful shutdown: the longest time to wait for requests in flight, in seconds."""

    time_s: float = field(Number(0, 3600), 30.0)


@attrs.frozen
class PeerSettings:
    """Peers that provide tables and groups if the store does not answer at startup."""

    addresses: tuple[str, ...] = field(TextList(Endpoint(), 0, 16), ())


@attrs.frozen
class TestingSettings:
    """Fault injection on the peer port, for experiments only."""

    fault_injection: bool = field(Flag(), False)


@attrs.frozen
class EntrySettings:
    """Settings of `fireflyferry-entry`."""

    vm: VmSettings
    store: StoreSettings
    secrets: SecretSettings
    leases: LeaseSettings
    limits: LimitSettings
    statsd: StatsdSettings
    log: LogSettings
    drain: DrainSettings
    peers: PeerSettings
    testing: TestingSettings


@attrs.frozen
class OperatorSettings:
    """Author that is recorded with edits if `--author` is not given."""

    author: str = field(Text(r"[\w.@+-]{0,64}", "0 to 64 letters, digits and ._@+-"), "")


@attrs.frozen
class CtlSettings:
    """Settings of `fireflyferryctl`."""

    store: StoreSettings
    secrets: SecretSettings
    operator: OperatorSettings


PROGRAMS: dict[str, type] = {
    "entry": EntrySettings,
    "ctl": CtlSettings,
}
