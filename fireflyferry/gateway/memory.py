"""Applies the memory account to exchanges: bodies wait unread, are refused, or give way."""

import asyncio
import logging
import resource
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

from fireflyferry.edges import Clock
from fireflyferry.gateway.metrics import GatewayMetrics
from fireflyferry.telemetry import Reason
from fireflyferry.transport.answer_memory import AnswerMemory
from fireflyferry.transport.memory_account import (
    SMALL_BODY_BYTES,
    Admission,
    BodyClaim,
    MemoryAccount,
    MemoryLimits,
    Verdict,
)
from fireflyferry.transport.process_memory import (
    ProcessMemory,
    UnknownProcessMemory,
    make_process_memory,
)
from fireflyferry.transport.request_server import RequestServer

__all__ = ["Holder", "RequestMemory", "max_connections"]

_LOG = logging.getLogger(__name__)

TICK_S = 0.1
LOG_INTERVAL_S = 1.0
RETRY_AFTER_S = 1.0  # a body that does not move gives way within this time
TRIM_INTERVAL_S = 0.1  # returning memory to the kernel takes some milliseconds
COLLECT_INTERVAL_S = 1.0  # a collection takes some tens of milliseconds
FILE_DESCRIPTORS = 200  # of the process, reserved for files
CALLER_SHARE = 0.5  # of the others; the rest is for upstreams, VMs and the store

REFUSALS = {
    Admission.REFUSED: Reason.MEMORY_SHORT,
    Admission.TOO_LARGE: Reason.BODY_TOO_LARGE,
}
REASONS = {Verdict.WAITED: Reason.MEMORY_SHORT, Verdict.STALLED: Reason.BODY_STALLED}


class Holder(Protocol):
    """Exchange that holds memory for its body or its answer."""

    @property
    def peer_name(self) -> str:
        """Address of the sender."""

    @property
    def written_bytes(self) -> int:
        """Bytes that its connection has passed to the kernel so far."""

    @property
    def has_left(self) -> bool:
        """Whether the sender has reset its connection."""

    def refuse_body(self, reason: Reason, retry_after_s: float) -> None:
        """Refuse the request as not run."""

    def disconnect(self) -> None:
        """Close the connection."""


@attrs.define(eq=False)
class _Reader:
    """An answer that its reader has not taken completely."""

    size_bytes: int
    written_bytes: int
    moved_s: float


def max_connections(descriptors: int, memory_connections: int) -> int:
    """Return how many connections callers may open, by descriptors and by memory."""
    return max(1, min(int((descriptors - FILE_DESCRIPTORS) * CALLER_SHARE), memory_connections))


class RequestMemory:
    """Memory of the requests and unread answers of one VM."""

    def __init__(
        self,
        clock: Clock,
        account: MemoryAccount,
        answers: AnswerMemory,
        metrics: GatewayMetrics,
        process: ProcessMemory | None = None,
    ):
        self._clock = clock
        self._account = account
        self._answers = answers
        self._metrics = metrics
        self._process = process or UnknownProcessMemory()
        self._trimmed_s = -TRIM_INTERVAL_S
        self._collected_s = -COLLECT_INTERVAL_S
        self._closed = False
        self._holders: dict[BodyClaim, Holder] = {}
        self._waits: dict[BodyClaim, asyncio.Future[None]] = {}
        self._readers: dict[Holder, _Reader] = {}
        self._refused = 0
        self._logged_s = 0.0
        answers.make_room = self._make_room
        answers.fits_process = self._answer_fits

    @classmethod
    def of_vm(
        cls, clock: Clock, memory_mb: float, answers: AnswerMemory, metrics: GatewayMetrics
    ) -> "RequestMemory":
        """Return the memory of a VM with `memory_mb` megabytes."""
        account = MemoryAccount(MemoryLimits.of_vm(memory_mb))
        return cls(clock, account, answers, metrics, make_process_memory())

    def gauges(self) -> Mapping[str, tuple[str, Callable[[], float]]]:
        """Return a description and a reader for each gauge, by name."""
        account, answers = self._account, self._answers
        return {
            "memory_bodies_bytes": ("Held by request bodies.", lambda: account.held_bytes),
            "memory_incomplete_bytes": (
                "Held by bodies that have not been received completely.",
                lambda: account.incomplete_bytes,
            ),
            "memory_heads_bytes": ("Held by long heads.", lambda: account.heads_bytes),
            "memory_resident_bytes": ("Held by the process.", self._process.resident_bytes),
            "memory_answers_bytes": ("Held by incomplete answers.", lambda: answers.used_bytes),
            "memory_readers_bytes": (
                "Held by answers that readers have not taken.",
                lambda: answers.unread_bytes,
            ),
            "memory_waiting": ("Bodies that wait unread.", lambda: account.waiting),
            "caller_connections": ("Connections of callers.", lambda: account.connections),
        }

    def bound_connections(self, server: RequestServer) -> None:
        """Bound the connections of callers."""
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if descriptors == resource.RLIM_INFINITY:
            descriptors = 1 << 20
        server.max_connections = max_connections(descriptors, self._account.limits.max_connections)
        server.on_connections = self._on_connections
        server.is_full = lambda: self._account.excess_bytes > 0
        _LOG.info(
            "memory_limits",
            extra={
                "bodies_bytes": self._account.limits.max_body_bytes,
                "long_bodies_bytes": self._account.limits.max_long_bytes,
                "readers_bytes": self._account.limits.max_reader_bytes,
                "connections": server.max_connections,
                "resident_bytes": self._account.limits.max_resident_bytes,
            },
        )

    def open(
        self, holder: Holder, length: int | None, head_bytes: int = 0
    ) -> tuple[BodyClaim, "asyncio.Future[None] | None"]:
        """Claim memory for a request; a future that is returned is done when it may be read."""
        # Small bodies are admitted by the resident memory of the last observation.
        if head_bytes or length is None or length > SMALL_BODY_BYTES:
            self._observe()
        claim, admission = self._account.open(self._clock.monotonic_s(), length, head_bytes)
        self._holders[claim] = holder
        return claim, self._follow(holder, claim, admission)

    def receive(
        self, holder: Holder, claim: BodyClaim, size_bytes: int
    ) -> "asyncio.Future[None] | None":
        """Count a part of a body; a future that is returned is done when the next may be read."""
        if claim.length is None:
            self._observe()
        admission = self._account.receive(self._clock.monotonic_s(), claim, size_bytes)
        return self._follow(holder, claim, admission)

    def complete(self, claim: BodyClaim) -> None:
        """Note that a body has been received; it is held until it is closed."""
        self._account.complete(claim)
        self._grant()

    def close(self, claim: BodyClaim) -> None:
        """Release the memory of a body."""
        self._account.close(claim)
        self._holders.pop(claim, None)
        self._end_wait(claim)
        self._grant()

    def add_reader(self, holder: Holder, written: "asyncio.Future[None]", size_bytes: int) -> None:
        """Hold memory for an answer until it has been written."""
        self._readers[holder] = _Reader(size_bytes, holder.written_bytes, self._clock.monotonic_s())
        self._answers.unread_bytes += size_bytes
        written.add_done_callback(lambda _: self._remove_reader(holder))
        excess = self._answers.unread_bytes - self._account.limits.max_reader_bytes
        if excess > 0:
            self._make_room(excess)

    async def run(self) -> None:
        """Refuse bodies and close connections that give way, until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Refuse bodies and close connections that give way now."""
        now_s = self._clock.monotonic_s()
        for claim in [each for each in self._waits if self._holders[each].has_left]:
            self._holders[claim].disconnect()
            self.close(claim)
        self._observe()
        if self._waits or self._account.excess_bytes > 0:
            self._trim()
            self._grant()
        for claim, verdict in self._account.refused(now_s):
            self._refuse(self._holders[claim], claim, REASONS[verdict])
        for holder, reader in list(self._readers.items()):
            if holder.written_bytes != reader.written_bytes:
                reader.written_bytes, reader.moved_s = holder.written_bytes, now_s
            elif now_s - reader.moved_s >= self._account.rules.idle_s:
                self._close_reader(holder)
        self._log(now_s)

    def close_all(self) -> None:
        """Refuse all requests that have not been received completely, now and from now on."""
        self._closed = True
        for claim, holder in list(self._holders.items()):
            if not claim.complete:
                self._refuse(holder, claim, Reason.SHUTTING_DOWN)

    def _observe(self) -> None:
        answers = self._answers
        self._account.observe(
            self._process.resident_bytes(), answers.used_bytes + answers.unread_bytes
        )

    def _answer_fits(self, size_bytes: int) -> bool:
        """Return whether the process may take so many bytes more of an answer."""
        limit_bytes = self._account.limits.max_resident_bytes - size_bytes
        if self._process.resident_bytes() <= limit_bytes:
            return True
        self._trim()
        return self._process.resident_bytes() <= limit_bytes

    def _trim(self) -> None:
        """Return free memory to the kernel, unless that was done just now."""
        now_s = self._clock.monotonic_s()
        if now_s - self._trimmed_s >= TRIM_INTERVAL_S:
            self._trimmed_s = now_s
            if self._account.excess_bytes > 0 and now_s - self._collected_s >= COLLECT_INTERVAL_S:
                self._collected_s = now_s
                self._process.collect()
            self._process.trim()
            self._observe()

    def _follow(
        self, holder: Holder, claim: BodyClaim, admission: Admission
    ) -> "asyncio.Future[None] | None":
        if self._closed:
            self._refuse(holder, claim, Reason.SHUTTING_DOWN)
            return None
        if admission is Admission.GRANTED:
            return None
        if admission in REFUSALS:
            self._refuse(holder, claim, REFUSALS[admission])
            return None
        self._waits[claim] = wait = asyncio.get_running_loop().create_future()
        return wait

    def _grant(self) -> None:
        if self._waits:
            self._observe()
            for claim in self._account.granted(self._clock.monotonic_s()):
                self._end_wait(claim)

    def _end_wait(self, claim: BodyClaim) -> None:
        wait = self._waits.pop(claim, None)
        if wait is not None and not wait.done():
            wait.set_result(None)

    def _refuse(self, holder: Holder, claim: BodyClaim, reason: Reason) -> None:
        _LOG.warning(
            "body_refused",
            extra={
                "caller": holder.peer_name,
                "reason": str(reason),
                "held_bytes": claim.held_bytes,
                "received_bytes": claim.received_bytes,
            },
        )
        self._count(str(reason))
        holder.refuse_body(reason, RETRY_AFTER_S)
        self.close(claim)

    def _make_room(self, size_bytes: int) -> None:
        """Close connections whose readers take the least, until so many bytes are free."""
        until_bytes = self._answers.unread_bytes - size_bytes
        for holder in sorted(self._readers, key=lambda each: self._readers[each].moved_s):
            if self._answers.unread_bytes <= until_bytes:
                return
            self._close_reader(holder)

    def _close_reader(self, holder: Holder) -> None:
        reader = self._readers[holder]
        _LOG.warning(
            "reader_closed", extra={"caller": holder.peer_name, "held_bytes": reader.size_bytes}
        )
        self._count("slow_reader")
        self._remove_reader(holder)
        holder.disconnect()

    def _remove_reader(self, holder: Holder) -> None:
        reader = self._readers.pop(holder, None)
        if reader is not None:
            self._answers.unread_bytes -= reader.size_bytes

    def _on_connections(self, number: int, closed_one: bool) -> None:
        self._account.connections = number
        if closed_one:
            self._count("connections")

    def _count(self, reason: str) -> None:
        self._refused += 1
        self._metrics.memory_refusal(reason)

    def _log(self, now_s: float) -> None:
        """Say what holds the memory while bodies wait or something was refused."""
        account = self._account
        if now_s - self._logged_s < LOG_INTERVAL_S or not (self._refused or account.waiting):
            return
        _LOG.warning(
            "memory_held",
            extra={
                "bodies_bytes": account.held_bytes,
                "long_bodies_bytes": account.long_bytes,
                "incomplete_bytes": account.incomplete_bytes,
                "heads_bytes": account.heads_bytes,
                "resident_bytes": self._process.resident_bytes(),
                "answers_bytes": self._answers.used_bytes,
                "readers_bytes": self._answers.unread_bytes,
                "connections": account.connections,
                "waiting": account.waiting,
                "refused": self._refused,
            },
        )
        self._logged_s, self._refused = now_s, 0
