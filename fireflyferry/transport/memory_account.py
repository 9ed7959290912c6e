"""Account of the memory of one VM: which request bodies wait, are refused or give way.

It has no sockets and no clock; times are seconds on the caller's clock.
"""

import enum
from collections.abc import Iterator

import attrs

__all__ = ["Admission", "BodyClaim", "MemoryAccount", "MemoryLimits", "MemoryRules", "Verdict"]

# A process without requests has about 40 MB; the rest is room for configurations and owner tables.
PROCESS_BYTES = 48_000_000
ANSWER_SHARE = 1 / 4  # of the VM's memory, for answers; see `answer_memory`
READER_SHARE = 1 / 8  # for answers that their readers have not taken yet; part of the former
CONNECTION_SHARE = 1 / 4  # upper bound for the buffers of connections of callers
LEAST_SHARE = 1 / 16  # for bodies on a machine that is too small for the other shares
LONG_SHARE = 7 / 8  # of the memory for bodies, so that long ones leave room for short ones
# `maxBodyBytes` of the platform and the head of an envelope. A VM with room for one such body
# serves it.
LONGEST_BODY_BYTES = 67_108_864 + (1 << 18)
SHORT_BODY_BYTES = 1 << 20
GROWTH_BYTES = 1 << 18  # step of a body whose length is not known
# Buffers of the kernel and of this process for one connection.
CONNECTION_BYTES = 1 << 17
FREE_CONNECTIONS = 64  # their buffers are part of `PROCESS_BYTES`


class Verdict(enum.Enum):
    """Why a body is refused."""

    WAITED = "waited"  # no room in time
    STALLED = "stalled"  # it did not move while others waited, or for too long


class Admission(enum.Enum):
    """Answer to a claim: memory is reserved, has to be waited for, or never suffices."""

    GRANTED = "granted"
    WAITS = "waits"
    TOO_LARGE = "too_large"


@attrs.frozen
class MemoryRules:
    """Times in seconds, and the progress that a body needs in `stall_s` in order not to be stalled.

    A caller at 5 Mbit/s sends 625,000 bytes a second; `progress_bytes` is a fortieth of that.
    """

    stall_s: float = 1.0
    max_wait_s: float = 2.5  # above `stall_s`, so that a stalled body gives way first
    idle_s: float = 15.0  # `idleTimeoutS`; also without others that wait
    progress_bytes: int = 16_384


@attrs.frozen
class MemoryLimits:
    """Bytes of all bodies, of those above SHORT_BODY_BYTES, and of unread answers; connections."""

    max_body_bytes: int
    max_long_bytes: int
    max_reader_bytes: int
    max_connections: int

    @classmethod
    def of_vm(cls, memory_mb: float) -> "MemoryLimits":
        """Return the limits of a VM with `memory_mb` megabytes."""
        memory_bytes = memory_mb * 1e6
        bodies = memory_bytes - PROCESS_BYTES - ANSWER_SHARE * memory_bytes
        bodies = int(max(bodies, LEAST_SHARE * memory_bytes))
        long = int(LONG_SHARE * bodies)
        if bodies >= LONGEST_BODY_BYTES:
            long = max(long, LONGEST_BODY_BYTES)
        connections = int(CONNECTION_SHARE * memory_bytes / CONNECTION_BYTES)
        return cls(bodies, long, int(READER_SHARE * memory_bytes), max(1, connections))


@attrs.define(eq=False)
class BodyClaim:
    """Memory of one request body; `wanted_bytes` is above `held_bytes` while it waits."""

    opened_s: float
    length: int | None = None
    held_bytes: int = 0
    wanted_bytes: int = 0
    received_bytes: int = 0
    waits_since_s: float | None = None
    complete: bool = False
    moved_s: float = 0.0
    last_byte_s: float = 0.0
    counted_bytes: int = 0  # received when `moved_s` was set

    @property
    def is_long(self) -> bool:
        """Whether the body counts as long."""
        return max(self.held_bytes, self.wanted_bytes) > SHORT_BODY_BYTES


@attrs.define(eq=False)
class MemoryAccount:
    """Reserves memory for request bodies, in the order in which they ask, short ones first."""

    limits: MemoryLimits
    rules: MemoryRules = attrs.field(factory=MemoryRules)
    connections: int = 0
    _claims: dict[BodyClaim, None] = attrs.field(factory=dict, init=False)
    _held_bytes: int = attrs.field(default=0, init=False)
    _long_bytes: int = attrs.field(default=0, init=False)

    @property
    def held_bytes(self) -> int:
        """Bytes reserved for bodies."""
        return self._held_bytes

    @property
    def long_bytes(self) -> int:
        """Bytes reserved for long bodies."""
        return self._long_bytes

    @property
    def waiting(self) -> int:
        """Bodies that wait for memory."""
        return sum(claim.waits_since_s is not None for claim in self._claims)

    @property
    def incomplete_bytes(self) -> int:
        """Bytes reserved for bodies that have not been received completely."""
        return sum(claim.held_bytes for claim in self._claims if not claim.complete)

    def open(self, now_s: float, length: int | None) -> tuple[BodyClaim, Admission]:
        """Claim memory for a body; `length` is None if it is not known.

        A body of known length gets all of its memory at once, so that bodies which have been
        received in part never wait for each other.
        """
        claim = BodyClaim(now_s, length, moved_s=now_s, last_byte_s=now_s)
        self._claims[claim] = None
        wanted = GROWTH_BYTES if length is None else length
        return claim, self._reserve(now_s, claim, wanted)

    def receive(self, now_s: float, claim: BodyClaim, size_bytes: int) -> Admission:
        """Count bytes that have arrived, and reserve more if the claim does not cover the next."""
        claim.received_bytes += size_bytes
        claim.last_byte_s = now_s
        if claim.received_bytes - claim.counted_bytes >= self.rules.progress_bytes:
            claim.moved_s, claim.counted_bytes = now_s, claim.received_bytes
        grows = claim.length is None and not claim.complete
        if not grows or claim.received_bytes < claim.held_bytes:
            return Admission.GRANTED
        return self._reserve(now_s, claim, claim.received_bytes + GROWTH_BYTES)

    def complete(self, claim: BodyClaim) -> None:
        """Note that a body has been received; it is held until `close` and never gives way."""
        claim.complete = True
        claim.waits_since_s = None
        self._hold(claim, claim.received_bytes)

    def close(self, claim: BodyClaim) -> None:
        """Release the memory of a body."""
        if claim in self._claims:
            self._hold(claim, 0)
            del self._claims[claim]

    def granted(self, now_s: float) -> Iterator[BodyClaim]:
        """Reserve memory for those that wait, as far as there is room, and yield them."""
        for is_long in (False, True):
            for claim in self._in_line(is_long):
                if not self._fits(claim, claim.wanted_bytes):
                    break
                self._hold(claim, claim.wanted_bytes)
                claim.waits_since_s = None
                claim.moved_s = claim.last_byte_s = now_s
                yield claim

    def refused(self, now_s: float) -> Iterator[tuple[BodyClaim, Verdict]]:
        """Yield the bodies to refuse now; the caller closes each of them.

        Bodies that do not move give way to those that wait, and so does the youngest of those that
        wait with a part of their body held, since they may wait for each other.
        """
        rules = self.rules
        for claim in list(self._claims):
            arrives = not claim.complete and claim.waits_since_s is None
            if arrives and now_s - claim.last_byte_s >= rules.idle_s:
                yield claim, Verdict.STALLED
        for claim in list(self._claims):
            if claim.waits_since_s is not None and now_s - claim.waits_since_s >= rules.max_wait_s:
                yield claim, Verdict.WAITED
        first = next(iter([*self._in_line(False), *self._in_line(True)]), None)
        if first is None:
            return
        for claim, verdict in self._give_way(now_s, first):
            if self._fits(first, first.wanted_bytes):
                return
            yield claim, verdict

    def _give_way(self, now_s: float, first: BodyClaim) -> list[tuple[BodyClaim, Verdict]]:
        """Return the bodies that give way to the first that waits, in order."""
        stalled, waiting = [], []
        for claim in self._claims:
            if claim.complete or not claim.held_bytes or claim is first:
                continue
            if claim.waits_since_s is None:
                if now_s - claim.moved_s >= self.rules.stall_s:
                    stalled.append(claim)
            elif now_s - claim.waits_since_s >= self.rules.stall_s / 2:
                waiting.append(claim)
        stalled.sort(key=lambda claim: claim.moved_s)
        waiting.sort(key=lambda claim: -claim.opened_s)
        return [(c, Verdict.STALLED) for c in stalled] + [(c, Verdict.WAITED) for c in waiting]

    def _in_line(self, is_long: bool) -> list[BodyClaim]:
        return [
            claim
            for claim in self._claims
            if claim.waits_since_s is not None and claim.is_long == is_long
        ]

    def _reserve(self, now_s: float, claim: BodyClaim, wanted_bytes: int) -> Admission:
        long_too = wanted_bytes > SHORT_BODY_BYTES
        limit = self.limits.max_long_bytes if long_too else self.limits.max_body_bytes
        if claim.held_bytes >= limit or (wanted_bytes > limit and not claim.held_bytes):
            return Admission.TOO_LARGE
        claim.wanted_bytes = min(wanted_bytes, limit)
        overtakes = any(self._in_line(claim.is_long))
        if not overtakes and self._fits(claim, claim.wanted_bytes):
            self._hold(claim, claim.wanted_bytes)
            return Admission.GRANTED
        claim.waits_since_s = now_s
        return Admission.WAITS

    def _fits(self, claim: BodyClaim, size_bytes: int) -> bool:
        connections = max(0, self.connections - FREE_CONNECTIONS) * CONNECTION_BYTES
        used = self._held_bytes - claim.held_bytes + size_bytes
        # One body always fits, so that connections alone cannot stop all requests.
        if used > self.limits.max_body_bytes - connections and used > size_bytes:
            return False
        held_long = claim.held_bytes if claim.held_bytes > SHORT_BODY_BYTES else 0
        long = self._long_bytes - held_long + size_bytes
        return size_bytes <= SHORT_BODY_BYTES or long <= self.limits.max_long_bytes

    def _hold(self, claim: BodyClaim, size_bytes: int) -> None:
        for sign, size in ((-1, claim.held_bytes), (1, size_bytes)):
            self._held_bytes += sign * size
            if size > SHORT_BODY_BYTES:
                self._long_bytes += sign * size
        claim.held_bytes = claim.wanted_bytes = size_bytes
