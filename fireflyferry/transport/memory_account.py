"""Account of the memory of one VM: which request bodies wait, are refused or give way.

It has no sockets and no clock; times are seconds on the caller's clock.
"""

import enum
from collections.abc import Iterator

import attrs

from fireflyferry.transport.answer_memory import ANSWER_SHARE, TOTAL_SHARE
from fireflyferry.transport.read_turns import FREE_HEAD_LINES

__all__ = [
    "Admission",
    "BodyClaim",
    "MemoryAccount",
    "MemoryLimits",
    "MemoryRules",
    "SizeClass",
    "Verdict",
    "head_memory_bytes",
]

# A process without requests has about 40 MB; the rest is room for configurations and owner tables.
PROCESS_BYTES = 48_000_000
READER_SHARE = 1 / 8  # for answers that their readers have not taken yet; part of the former
CONNECTION_SHARE = 1 / 4  # upper bound for the buffers of connections of callers
# Kept free for what has no account: buffers of reads, objects that wait for a callback, the copy of
# an answer when it is complete, and the inaccuracy of the resident memory that the kernel tells.
MARGIN_SHARE = 1 / 8
LEAST_SHARE = 1 / 16  # for bodies on a machine that is too small for the other shares
LONG_SHARE = 7 / 8  # of the memory for bodies, so that long ones leave room for short ones
# `maxBodyBytes` of the platform and the head of an envelope. A VM with room for one such body
# serves it.
LONGEST_BODY_BYTES = 67_108_864 + (1 << 18)
SHORT_BODY_BYTES = 1 << 20
SMALL_BODY_BYTES = 1 << 16
GROWTH_BYTES = 1 << 18  # step of a body whose length is not known
# Buffers of the kernel and of this process for one connection.
CONNECTION_BYTES = 1 << 17
FREE_CONNECTIONS = 64  # their buffers are part of `PROCESS_BYTES`

# A line of a head takes some objects of Python, and more when it is sent on: 350 bytes for a line
# of 9 bytes. Ordinary heads are below the free part.
FREE_HEAD_BYTES = 8_192
HEAD_LINE_BYTES = 400


class Verdict(enum.Enum):
    """Why a body is refused."""

    WAITED = "waited"  # no room in time
    STALLED = "stalled"  # it did not move while others waited, or for too long


class Admission(enum.Enum):
    """Answer to a claim: memory is reserved, has to be waited for, is short, or never suffices."""

    GRANTED = "granted"
    WAITS = "waits"
    REFUSED = "refused"
    TOO_LARGE = "too_large"


class SizeClass(enum.IntEnum):
    """Sizes of bodies, in the order in which those that wait get memory."""

    SMALL = 0
    SHORT = 1
    LONG = 2

    @classmethod
    def of(cls, size_bytes: int) -> "SizeClass":
        """Return the class of a size."""
        if size_bytes <= SMALL_BODY_BYTES:
            return cls.SMALL
        return cls.SHORT if size_bytes <= SHORT_BODY_BYTES else cls.LONG


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
    """Bytes of all bodies, of those above SHORT_BODY_BYTES, and of unread answers; connections.

    The whole process stays below `max_resident_bytes`. Of these, `max_answers_bytes` are for all
    answers and `max_answer_bytes` for one of them.
    """

    max_body_bytes: int
    max_long_bytes: int
    max_reader_bytes: int
    max_connections: int
    max_resident_bytes: int = 1 << 62
    max_answers_bytes: int = 0
    max_answer_bytes: int = 0

    @classmethod
    def of_vm(cls, memory_mb: float) -> "MemoryLimits":
        """Return the limits of a VM with `memory_mb` megabytes."""
        memory_bytes = memory_mb * 1e6
        bodies = memory_bytes - PROCESS_BYTES - TOTAL_SHARE * memory_bytes
        bodies = int(max(bodies, LEAST_SHARE * memory_bytes))
        long = int(LONG_SHARE * bodies)
        if bodies >= LONGEST_BODY_BYTES:
            long = max(long, LONGEST_BODY_BYTES)
        connections = int(CONNECTION_SHARE * memory_bytes / CONNECTION_BYTES)
        return cls(
            bodies,
            long,
            int(READER_SHARE * memory_bytes),
            max(1, connections),
            int((1 - MARGIN_SHARE) * memory_bytes),
            int(TOTAL_SHARE * memory_bytes),
            int(ANSWER_SHARE * memory_bytes),
        )


def head_memory_bytes(lines: int, size_bytes: int) -> int:
    """Return the memory of a head beyond that of an ordinary one; sizes in bytes."""
    excess_lines = max(0, lines - FREE_HEAD_LINES)
    return HEAD_LINE_BYTES * excess_lines + 2 * max(0, size_bytes - FREE_HEAD_BYTES)


@attrs.define(eq=False)
class BodyClaim:
    """Memory of one request; `wanted_bytes` is above `held_bytes` while its body waits.

    `head_bytes` is held in addition, from the start.
    """

    opened_s: float
    length: int | None = None
    head_bytes: int = 0
    held_bytes: int = 0
    wanted_bytes: int = 0
    received_bytes: int = 0
    waits_since_s: float | None = None
    complete: bool = False
    moved_s: float = 0.0
    last_byte_s: float = 0.0
    counted_bytes: int = 0  # received when `moved_s` was set

    @property
    def size_class(self) -> SizeClass:
        """Whether the body is small, short or long."""
        return SizeClass.of(max(self.held_bytes, self.wanted_bytes))


@attrs.define(eq=False)
class MemoryAccount:
    """Reserves memory for request bodies, in the order in which they ask, smaller ones first.

    What the process holds beside the bodies is not known from counts alone: the allocator keeps
    memory, and objects wait for callbacks. So a body must also fit beside the resident memory of
    the process, as `observe` was last told, and beside what is still to arrive of other bodies.

    Beside long bodies and long heads, all memory for answers is kept free, since a request that
    was executed should not lose its answer. Short bodies may use a part of it, small ones all of
    it, and a body that is alone all but that of one answer.
    """

    limits: MemoryLimits
    rules: MemoryRules = attrs.field(factory=MemoryRules)
    connections: int = 0
    _claims: dict[BodyClaim, None] = attrs.field(factory=dict, init=False)
    _waiting: dict[BodyClaim, None] = attrs.field(factory=dict, init=False)
    _held_bytes: int = attrs.field(default=0, init=False)
    _long_bytes: int = attrs.field(default=0, init=False)
    _heads_bytes: int = attrs.field(default=0, init=False)
    _arrived_bytes: int = attrs.field(default=0, init=False)
    _resident_bytes: int = attrs.field(default=0, init=False)
    _answers_bytes: int = attrs.field(default=0, init=False)

    @property
    def held_bytes(self) -> int:
        """Bytes reserved for bodies."""
        return self._held_bytes

    @property
    def long_bytes(self) -> int:
        """Bytes reserved for long bodies."""
        return self._long_bytes

    @property
    def heads_bytes(self) -> int:
        """Bytes held by heads beyond those of ordinary ones."""
        return self._heads_bytes

    @property
    def due_bytes(self) -> int:
        """Bytes reserved for parts of bodies that have not arrived."""
        return max(0, self._held_bytes - self._arrived_bytes)

    @property
    def waiting(self) -> int:
        """Bodies that wait for memory."""
        return len(self._waiting)

    @property
    def incomplete_bytes(self) -> int:
        """Bytes reserved for bodies that have not been received completely."""
        return sum(claim.held_bytes for claim in self._claims if not claim.complete)

    @property
    def excess_bytes(self) -> int:
        """Bytes by which the process will exceed its limit once all reserved bytes have arrived."""
        return self._resident_bytes + self.due_bytes - self.limits.max_resident_bytes

    @property
    def _free_answers_bytes(self) -> int:
        return max(0, self.limits.max_answers_bytes - self._answers_bytes)

    def observe(self, resident_bytes: int, answers_bytes: int) -> None:
        """Note the resident memory of the process, 0 if unknown, and how much of it is answers."""
        self._resident_bytes, self._answers_bytes = resident_bytes, answers_bytes

    def open(
        self, now_s: float, length: int | None, head_bytes: int = 0
    ) -> tuple[BodyClaim, Admission]:
        """Claim memory for a body; `length` is None if it is not known.

        A body of known length gets all of its memory at once, so that bodies which have been
        received in part never wait for each other. A head that does not fit is REFUSED: it is in
        memory already, so its request cannot wait.
        """
        claim = BodyClaim(now_s, length, moved_s=now_s, last_byte_s=now_s)
        self._claims[claim] = None
        if head_bytes and not self._has_room(claim, head_bytes, self._free_answers_bytes):
            return claim, Admission.REFUSED
        claim.head_bytes = head_bytes
        self._heads_bytes += head_bytes
        if length == 0:
            claim.complete = True
            return claim, Admission.GRANTED
        wanted = GROWTH_BYTES if length is None else length
        return claim, self._reserve(now_s, claim, wanted)

    def receive(self, now_s: float, claim: BodyClaim, size_bytes: int) -> Admission:
        """Count bytes that have arrived, and reserve more if the claim does not cover the next."""
        claim.received_bytes += size_bytes
        self._arrived_bytes += size_bytes
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
        self._end_wait(claim)
        self._hold(claim, claim.received_bytes)

    def close(self, claim: BodyClaim) -> None:
        """Release the memory of a body."""
        if claim in self._claims:
            self._end_wait(claim)
            self._hold(claim, 0)
            self._heads_bytes -= claim.head_bytes
            self._arrived_bytes -= claim.received_bytes
            del self._claims[claim]

    def granted(self, now_s: float) -> Iterator[BodyClaim]:
        """Reserve memory for those that wait, as far as there is room, and yield them."""
        for size_class in SizeClass:
            for claim in self._in_line(size_class):
                if not self._fits(claim, claim.wanted_bytes):
                    break
                self._hold(claim, claim.wanted_bytes)
                self._end_wait(claim)
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
        for claim in list(self._waiting):
            if now_s - claim.waits_since_s >= rules.max_wait_s:
                yield claim, Verdict.WAITED
        yield from self._in_excess()
        first = min(self._waiting, key=lambda claim: claim.size_class, default=None)
        if first is None:
            return
        for claim, verdict in self._give_way(now_s, first):
            if self._fits(first, first.wanted_bytes):
                return
            yield claim, verdict

    def _in_excess(self) -> Iterator[tuple[BodyClaim, Verdict]]:
        """Yield incomplete bodies, long ones and the youngest first, while there is an excess."""
        incomplete = [each for each in self._claims if each.held_bytes and not each.complete]
        incomplete.sort(key=lambda claim: (-claim.size_class, -claim.opened_s))
        freed_bytes = 0  # resident until the next observation
        for claim in incomplete:
            if self.excess_bytes <= freed_bytes:
                return
            freed_bytes += claim.received_bytes
            yield claim, Verdict.WAITED

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

    def _in_line(self, size_class: SizeClass) -> list[BodyClaim]:
        return [claim for claim in self._waiting if claim.size_class is size_class]

    def _reserve(self, now_s: float, claim: BodyClaim, wanted_bytes: int) -> Admission:
        long_too = wanted_bytes > SHORT_BODY_BYTES
        limit = self.limits.max_long_bytes if long_too else self.limits.max_body_bytes
        if claim.held_bytes >= limit or (wanted_bytes > limit and not claim.held_bytes):
            return Admission.TOO_LARGE
        claim.wanted_bytes = min(wanted_bytes, limit)
        overtakes = any(self._in_line(claim.size_class))
        if not overtakes and self._fits(claim, claim.wanted_bytes):
            self._hold(claim, claim.wanted_bytes)
            return Admission.GRANTED
        claim.waits_since_s = now_s
        self._waiting[claim] = None
        return Admission.WAITS

    def _end_wait(self, claim: BodyClaim) -> None:
        claim.waits_since_s = None
        self._waiting.pop(claim, None)

    def _fits(self, claim: BodyClaim, size_bytes: int) -> bool:
        reserve_bytes = self._reserve_bytes(size_bytes)
        if not self._has_room(claim, size_bytes - claim.held_bytes, reserve_bytes):
            return False
        held_long = claim.held_bytes if claim.held_bytes > SHORT_BODY_BYTES else 0
        long = self._long_bytes - held_long + size_bytes
        return size_bytes <= SHORT_BODY_BYTES or long <= self.limits.max_long_bytes

    def _has_room(self, claim: BodyClaim, more_bytes: int, reserve_bytes: int) -> bool:
        """Return whether a request may hold more bytes and leave the reserve to answers."""
        limits = self.limits
        all_bytes = self._held_bytes + self._heads_bytes
        is_alone = all_bytes == claim.held_bytes + claim.head_bytes
        connections = max(0, self.connections - FREE_CONNECTIONS) * CONNECTION_BYTES
        # One body always fits, so that connections alone cannot stop all requests.
        if not is_alone and all_bytes + more_bytes > limits.max_body_bytes - connections:
            return False
        if not self._resident_bytes:
            return True
        if is_alone:
            if SizeClass.of(claim.held_bytes + more_bytes) is SizeClass.SMALL:
                return True
            reserve_bytes = min(reserve_bytes, limits.max_answer_bytes)
        return self.excess_bytes + more_bytes + reserve_bytes <= 0

    def _reserve_bytes(self, size_bytes: int) -> int:
        """Return how much memory a body of this size leaves to answers."""
        match SizeClass.of(size_bytes):
            case SizeClass.SMALL:
                return 0
            case SizeClass.SHORT:
                return max(0, self._free_answers_bytes - self.limits.max_answer_bytes)
            case SizeClass.LONG:
                return self._free_answers_bytes

    def _hold(self, claim: BodyClaim, size_bytes: int) -> None:
        for sign, size in ((-1, claim.held_bytes), (1, size_bytes)):
            self._held_bytes += sign * size
            if size > SHORT_BODY_BYTES:
                self._long_bytes += sign * size
        claim.held_bytes = claim.wanted_bytes = size_bytes
