"""Time of GrantManager ticks and sizes of its messages, used by `fireflyferry.placement.bench`."""

import statistics
import time
from collections.abc import Iterator

from fireflyferry.leases import GrantHolder, LeaseTiming
from fireflyferry.messages import GroupId, Hello, encode
from fireflyferry.ownership.book import GrantManager
from fireflyferry.ownership.rows import SendGrant
from fireflyferry.placement.units import bucket_unit, key_unit

__all__ = ["measure"]

# 16,384 buckets of a pool over six data centres.
UNITS = 2_731
TICK_S = 0.05


class _Run:
    """A book with real holders that answer within the tick."""

    def __init__(self, upstreams: int) -> None:
        timing = LeaseTiming()
        self.now_s = 0.0
        self.names = [f"i{index:03}" for index in range(upstreams)]
        self.holders = {name: GrantHolder(name, name) for name in self.names}
        self.book = GrantManager(GroupId("janela", "natal-1", 0), timing)
        self.book.begin_term(0.0, 1, None)
        for name, holder in self.holders.items():
            hello = Hello(name, "janela", 2, 130, "grants", holder.token(0.0))
            self.book.on_hello(0.0, 0.0, hello)
        self.owners = {bucket_unit(b): self.names[b % upstreams] for b in range(UNITS)}
        self.owners.update({key_unit(b, f"key{b}"): self.names[-1] for b in range(10)})
        self.sizes: list[int] = []
        self.full_sizes: list[int] = []
        self.save_sizes: list[int] = []

    def ticks(self, duration_s: float) -> list[float]:
        """Run for a time and return the durations of the ticks, replies included, in ms."""
        end_s = self.now_s + duration_s
        durations = []
        while self.now_s < end_s:
            self.now_s += TICK_S
            start_s = time.perf_counter()
            actions = self.book.tick(self.now_s, self.now_s + 1.2)
            elapsed_s = time.perf_counter() - start_s
            for action in actions:
                elapsed_s += self._perform(action)
            durations.append(elapsed_s * 1e3)
        return durations

    def _perform(self, action: object) -> float:
        if not isinstance(action, SendGrant):
            self.save_sizes.append(len(encode(action.owners)))
            self.book.on_owners_saved(self.now_s, action.save_id)
            return 0.0
        message = action.message
        (self.sizes if message.units is None else self.full_sizes).append(len(encode(message)))
        reply = self.holders[action.upstream_id].accept(self.now_s, message)
        start_s = time.perf_counter()
        self.book.on_grant_reply(self.now_s, action.upstream_id, self.now_s, reply)
        return time.perf_counter() - start_s


def measure(upstreams: int) -> Iterator[tuple[str, float]]:
    """Yield tick times in ms and message sizes in bytes for one group."""
    run = _Run(upstreams)
    run.book.set_desired(0.0, run.owners)
    first = run.ticks(1.0)
    run.ticks(5.0)
    run.sizes.clear()
    quiet = run.ticks(20.0)
    label = f"GrantManager, {UNITS} buckets, {upstreams} upstreams"
    yield f"{label}: quiet tick, mean ms", statistics.mean(quiet)
    yield f"{label}: quiet tick, worst ms", max(quiet)
    yield f"{label}: renewal, bytes", statistics.mean(run.sizes)
    yield f"{label}: renewals sent, bytes a second", sum(run.sizes) / 20.0
    yield f"{label}: first grant of all units, worst tick ms", max(first)
    yield f"{label}: full set, largest, bytes", max(run.full_sizes)
    yield f"{label}: saved owners, bytes", run.save_sizes[-1]
    units = list(run.owners) * 20
    start_s = time.perf_counter()
    for unit in units:
        run.book.owner(run.now_s, unit)
    yield f"{label}: owner(), us", (time.perf_counter() - start_s) * 1e6 / len(units)
    drained = {
        unit: run.names[(index + 1) % (upstreams - 1)] if owner == run.names[-1] else owner
        for index, (unit, owner) in enumerate(run.owners.items())
    }
    start_s = time.perf_counter()
    run.book.set_desired(run.now_s, drained)
    yield f"{label}: set_desired for a drain, ms", (time.perf_counter() - start_s) * 1e3
    yield f"{label}: drain of one upstream, worst tick ms", max(run.ticks(3.0))
