"""State of one upstream instance: grants, slots, executions and faults."""

import asyncio
import collections
import os
import random
import secrets
import time

import attrs

from fireflyferry.leases import GrantHolder
from fireflyferry.messages import GrantMessage, GrantReply, Hello
from fireflyferry.standins.faults import FaultTable
from fireflyferry.standins.http_base import Broadcast
from fireflyferry.standins.upstream_ownership import OwnershipLog
from fireflyferry.standins.upstream_slots import Slots

__all__ = ["FAULT_MODES", "Execution", "InstanceSettings", "UpstreamInstance"]

FAULT_MODES = {
    "freeze": ("",),
    "outage": ("refuse", "hang"),
    "shed": ("",),
    "slow": ("",),
    "lying_health": ("good", "bad"),
    "ignore_grants": ("",),
    "close_before_first_byte": ("",),
    "truncated_body": ("",),
    "late_answer": ("",),
    "wrong_request_id": ("",),
    "redirect": ("",),
    "expectation_failed": ("",),
}
MAX_CANCELLED_IDS = 10_000
MAX_EXECUTIONS = 200_000


@attrs.frozen
class InstanceSettings:
    """Settings of an instance.

    `service_ms` is the mean service time, `jitter` the share by which it varies. For `cold_s`
    seconds after the start, the service time is `cold_factor` times as long.
    """

    upstream_id: str
    pool: str
    journal: str = ""
    slots: int = 2
    connections: int = 130
    waiting: int = 16
    checks: str = "grants"
    service_ms: float = 5.0
    jitter: float = 0.2
    cold_s: float = 0.0
    cold_factor: float = 5.0
    seed: int = 1


@attrs.define
class Execution:
    """One execution of a request; times are monotonic seconds.

    While it runs, `end_s` is None and `ownership` is empty; then `ownership` is `held` or `lapsed`.
    """

    request_id: str
    key: str
    unit: str
    fence: int
    start_s: float
    end_s: float | None = None
    ownership: str = ""


class UpstreamInstance:
    """State of one upstream stand-in, which belongs to one pool."""

    def __init__(self, settings: InstanceSettings) -> None:
        self.settings = settings
        checks = settings.checks == "grants"
        self.holder = GrantHolder(settings.upstream_id, secrets.token_hex(6), checks)
        self.ownership = OwnershipLog(settings.upstream_id)
        self.slots = Slots(settings.slots, settings.waiting)
        self.faults = FaultTable(FAULT_MODES)
        self.changed = Broadcast()
        self.by_request: collections.Counter[str] = collections.Counter()
        self.by_key: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.executions: collections.deque[Execution] = collections.deque(maxlen=MAX_EXECUTIONS)
        self.running: dict[str, list[asyncio.Event]] = {}
        self.last_ids = ("other", "other")  # request and attempt id that `wrong_request_id` sends
        self.last_work_after_drain_s: float | None = None
        self._cancelled: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._started_s = time.monotonic()
        self._draining_since_s: float | None = None
        self._random = random.Random(f"{settings.seed}:{settings.upstream_id}")
        # Unbuffered, so that no execution is missing from the journal if this process is killed.
        flags = os.O_APPEND | os.O_CREAT | os.O_WRONLY
        self._journal = os.open(settings.journal, flags) if settings.journal else None

    @property
    def cold(self) -> bool:
        """Whether the instance is still slow because it started recently."""
        return time.monotonic() - self._started_s < self.settings.cold_s

    @property
    def draining(self) -> bool:
        """Whether the instance is draining."""
        return self.holder.draining

    def checks_grants(self, caller: str = "") -> bool:
        """Return whether grants and fences are checked for a caller."""
        return self.holder.checks and not self.faults.find("ignore_grants", caller, "data")

    def hello(self) -> Hello:
        """Return the answer to a hello request."""
        settings = self.settings
        return Hello(
            settings.upstream_id,
            settings.pool,
            settings.slots,
            settings.connections,
            "grants" if self.checks_grants() else "none",
            self.holder.token(time.monotonic()),
            self.draining,
            self.cold,
        )

    def accept(self, message: GrantMessage) -> GrantReply:
        """Apply a grant message and add its changes to the ownership log."""
        now_s = time.monotonic()
        reply = self.holder.accept(now_s, message)
        if reply.accepted:
            until_s = None
            if self.holder.checks:
                until_s = _token_time_s(message.token) + message.length_s
            self.ownership.on_accepted(now_s, message, until_s)
        return reply

    def drain(self) -> None:
        """Start draining: leaders move the units elsewhere; requests are still accepted."""
        self.holder.drain()
        if self._draining_since_s is None:
            self._draining_since_s = time.monotonic()

    def start_execution(self, request_id: str, key: str, unit: str, fence: int) -> Execution:
        """Record the start of an execution."""
        execution = Execution(request_id, key, unit, fence, time.monotonic())
        if self._draining_since_s is not None:
            self.last_work_after_drain_s = execution.start_s - self._draining_since_s
        self.by_request[request_id] += 1
        self.by_key[key] += 1
        self.executions.append(execution)
        if self._journal is not None:
            line = f"{self.settings.upstream_id} {request_id} {key}\n"
            os.write(self._journal, line.encode())
        return execution

    def service_s(self, requested_ms: float | None, caller: str, key: str) -> float:
        """Draw the service time of a request in seconds."""
        settings = self.settings
        mean_ms = settings.service_ms if requested_ms is None else requested_ms
        drawn_ms = mean_ms * self._random.uniform(1 - settings.jitter, 1 + settings.jitter)
        slow = self.faults.consume("slow", caller, "data", key)
        added_s = slow.delay_s if slow else 0.0
        return drawn_ms / 1000 * (settings.cold_factor if self.cold else 1.0) + added_s

    def is_cancelled(self, request_id: str) -> bool:
        """Return whether a request was cancelled, also if that was before it arrived."""
        return request_id in self._cancelled

    async def cancel(self, request_id: str) -> str:
        """Cancel a request and return `stopped` or `not_found` once it no longer runs.

        The id is remembered, so that the request is refused if it arrives later.
        """
        self._cancelled[request_id] = None
        while len(self._cancelled) > MAX_CANCELLED_IDS:
            self._cancelled.popitem(last=False)
        state = "stopped" if request_id in self.running else "not_found"
        for event in self.running.get(request_id, ()):
            event.set()
        while request_id in self.running:
            await self.changed.wait(1.0)
        return state

    async def wait_while_frozen(self, caller: str, operation: str) -> None:
        """Wait while a `freeze` fault matches."""
        while self.faults.find("freeze", caller, operation):
            await self.changed.wait()


def _token_time_s(token: str) -> float:
    # A token of GrantHolder ends in the clock reading at which it was issued. The ownership log
    # uses nothing else of the holder, so that it can be used to check the holder.
    return float(token.rpartition("@")[2])
