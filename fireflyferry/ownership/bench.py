"""Duration of GrantManager ticks and sizes of its messages, for `fireflyferry.placement.bench`."""

import statistics
import time
from collections.abc import Iterator

from fireflyferry.leases import GrantHolder, LeaseTiming
from fireflyferry.messages import GroupId, Hello, encode
from fireflyferry.ownership.book import GrantManager
from fireflyferry.ownership.rows import SendGrant
from fireflyferry.placement.units import bucket_unit, key_unit

__all__ = ["measure"]

# One group's part of 16,384 buckets in a pool with one group in each of six data centres.
BUCKETS = 2_731
TICK_S = 0.05


class _SimulatedGroup:
    """A GrantManager and GrantHolders that reply within the same tick."""

    def __init__(self, upstreams: int) -> None:
        timing = LeaseTiming()
        self.now_s = 0.0
        self.upstream_ids = [f"i{index:03}" for index in range(upstreams)]
        self.holders = {name: GrantHolder(name, name) for name in self.upstream_ids}
        self.grants = GrantManager(GroupId("janela", "natal-1", 0), timing)
        self.grants.begin_term(0.0, 1, None)
        for name, holder in self.holders.items():
            hello = Hello(name, "janela", 2, 130, "grants", holder.token(0.0))
            self.grants.on_hello(0.0, 0.0, hello)
        self.owners = {bucket_unit(b): self.upstream_ids[b % upstreams] for b in range(BUCKETS)}
        self.owners.update({key_unit(b, f"key{b}"): self.upstream_ids[-1] for b in range(10)})
        self.renewal_bytes: list[int] = []
        self.full_set_bytes: list[int] = []
        self.save_bytes: list[int] = []

    def run_ticks(self, duration_s: float) -> list[float]:
        """Run for a time and return the duration of each tick with its replies, in ms."""
        end_s = self.now_s + duration_s
        durations_ms = []
        while self.now_s < end_s:
            self.now_s += TICK_S
            start_s = time.perf_counter()
            actions = self.grants.tick(self.now_s, self.now_s + 1.2)
            elapsed_s = time.perf_counter() - start_s
            for action in actions:
                elapsed_s += self._perform(action)
            durations_ms.append(elapsed_s * 1e3)
        return durations_ms

    def _perform(self, action: object) -> float:
        if not isinstance(action, SendGrant):
            self.save_bytes.append(len(encode(action.owners)))
            self.grants.on_owners_saved(self.now_s, action.save_id)
            return 0.0
        message = action.message
        (self.renewal_bytes if message.units is None else self.full_set_bytes).append(
            len(encode(message))
        )
        reply = self.holders[action.upstream_id].accept(self.now_s, message)
        start_s = time.perf_counter()
        self.grants.on_grant_reply(self.now_s, action.upstream_id, self.now_s, reply)
        return time.perf_counter() - start_s


def measure(upstreams: int) -> Iterator[tuple[str, float]]:
    """Yield label and value of tick durations and message sizes of one group."""
    group = _SimulatedGroup(upstreams)
    group.grants.set_desired(0.0, group.owners)
    first_ms = group.run_ticks(1.0)
    group.run_ticks(5.0)
    group.renewal_bytes.clear()
    quiet_ms = group.run_ticks(20.0)
    label = f"GrantManager, {BUCKETS} buckets, {upstreams} upstreams"
    yield f"{label}: quiet tick, mean ms", statistics.mean(quiet_ms)
    yield f"{label}: quiet tick, worst ms", max(quiet_ms)
    yield f"{label}: renewal, bytes", statistics.mean(group.renewal_bytes)
    yield f"{label}: renewals sent, bytes a second", sum(group.renewal_bytes) / 20.0
    yield f"{label}: first grant of all units, worst tick ms", max(first_ms)
    yield f"{label}: full set, largest, bytes", max(group.full_set_bytes)
    yield f"{label}: saved owners, bytes", group.save_bytes[-1]
    units = list(group.owners) * 20
    start_s = time.perf_counter()
    for unit in units:
        group.grants.owner(group.now_s, unit)
    yield f"{label}: owner(), us", (time.perf_counter() - start_s) * 1e6 / len(units)
    owners_after_drain = {
        unit: (
            group.upstream_ids[(index + 1) % (upstreams - 1)]
            if owner == group.upstream_ids[-1]
            else owner
        )
        for index, (unit, owner) in enumerate(group.owners.items())
    }
    start_s = time.perf_counter()
    group.grants.set_desired(group.now_s, owners_after_drain)
    yield f"{label}: set_desired for a drain, ms", (time.perf_counter() - start_s) * 1e3
    yield f"{label}: drain of one upstream, worst tick ms", max(group.run_ticks(3.0))
