"""Table of what a caller in a crowd may send, and crowds that are drawn from it."""

import asyncio
import enum
import itertools
import random
from collections.abc import Iterator

import attrs

from fireflyferry.platform.crowds.tests.world import PIECE_BYTES, Caller, CrowdVm, head

__all__ = [
    "MAX_BODY_BYTES",
    "After",
    "Asks",
    "Crowd",
    "Form",
    "Framing",
    "Head",
    "Stop",
    "draw_crowd",
    "send_form",
]

MAX_BODY_BYTES = 4 << 20
MAX_HEADER_BYTES = 16_384
PIECE = b"x" * PIECE_BYTES
BYTE_CHUNK = b"1\r\nx\r\n"
BYTE_CHUNKS_IN_PIECE = PIECE_BYTES // len(BYTE_CHUNK)
REQUESTS_BEHIND = 2_000
WORK_S = 4.0


class Framing(enum.Enum):
    """How a body is framed and cut into writes."""

    LENGTH = "length"
    CHUNKS = "chunks"
    BYTE_CHUNKS = "byte chunks"
    BYTE_PIECES = "byte pieces"  # with a length, one byte a write


class Stop(enum.Enum):
    """Where a request stops."""

    HEAD = "in the head"
    NO_BODY = "complete without a body"
    FIRST_PART = "in the first part"
    MOST = "at three quarters"
    ONE_SHORT = "one byte short"
    COMPLETE = "complete"


class After(enum.Enum):
    """What follows once a request has stopped."""

    STAYS = "stays open"
    RESETS = "resets"
    RETURNS = "resets and returns"
    HALF_CLOSES = "half closes"
    FOLLOWS = "requests behind"


class Asks(enum.Enum):
    """What a request asks for."""

    SMALL = "small answer"
    LARGE_SLOW = "large answer, read slowly"
    LARGE_UNREAD = "large answer, not read"
    WORK = "slow work"
    UNKNOWN = "unknown route"


class Head(enum.Enum):
    """What a head consists of, inside the limit of its size."""

    SHORT = "short"
    LONG = "long"
    MANY_LINES = "many lines"
    DRIPS = "drips"  # one byte a write


@attrs.frozen
class Form:
    """One row of the table; `far` requests are forwarded where there are two VMs."""

    framing: Framing = Framing.LENGTH
    stop: Stop = Stop.COMPLETE
    after: After = After.STAYS
    asks: Asks = Asks.SMALL
    head: Head = Head.SHORT
    far: bool = False


@attrs.frozen
class Crowd:
    """Callers of several forms at once, in turn, at each of `vms` VMs of `memory_mb`."""

    forms: tuple[Form, ...]
    vms: int = 1
    memory_mb: int = 96
    callers: int = 40


def draw_crowd(seed: int) -> Crowd:
    """Return the crowd that a seed names."""
    rng = random.Random(seed)
    vms = rng.choice((1, 2))
    forms = tuple(_draw_form(rng, vms) for _ in range(rng.choice((1, 1, 2, 4))))
    return Crowd(forms, vms, rng.choice((96, 160)), rng.choice((40, 80, 120)))


def _draw_form(rng: random.Random, vms: int) -> Form:
    parts = (rng.choice(list(each)) for each in (Framing, Stop, After, Asks, Head))
    return Form(*parts, far=vms > 1 and rng.random() < 0.5)


async def send_form(vm: CrowdVm, form: Form, number: int, pool: str) -> None:
    """Send one form, again and again if it returns, until cancelled."""
    for turn in itertools.count():
        caller = await Caller(vm).open()
        try:
            await _send_parts(caller, _request(form, f"f{number}-{turn}", pool))
            await _follow(caller, form, pool)
        finally:
            caller.reset()
        if form.after is not After.RETURNS:
            return


async def _send_parts(caller: Caller, parts: Iterator[bytes]) -> None:
    for part in parts:
        if not await caller.send(part):
            return
        # Small writes would be joined by the kernel if the VM had no time to read them.
        await asyncio.sleep(0.0005 if len(part) == 1 else 0)


async def _follow(caller: Caller, form: Form, pool: str) -> None:
    if form.after in (After.RESETS, After.RETURNS):
        return
    if form.after is After.FOLLOWS:
        behind = head("behind", pool, "Content-Length: 1") + b"x"
        await _send_parts(caller, itertools.repeat(behind, REQUESTS_BEHIND))
    if form.after is After.HALF_CLOSES:
        caller.half_close()
    if form.asks is Asks.LARGE_SLOW:
        while not caller.broken and await caller.read(4_096):
            await asyncio.sleep(0.1)
    elif form.asks is not Asks.LARGE_UNREAD:
        await caller.read_status()
    await asyncio.Event().wait()  # stays open


def _request(form: Form, request_id: str, pool: str) -> Iterator[bytes]:
    """Yield what is written of a request, up to where it stops."""
    lines = _head_bytes(form, request_id, pool)
    if form.stop is Stop.HEAD:
        lines = lines[:-3]
    yield from (_bytes_of(lines) if form.head is Head.DRIPS else iter((lines,)))
    if form.stop not in (Stop.HEAD, Stop.NO_BODY):
        yield from _body(form)


def _head_bytes(form: Form, request_id: str, pool: str) -> bytes:
    path = "nowhere" if form.asks is Asks.UNKNOWN else pool
    framing = f"Content-Length: {0 if form.stop is Stop.NO_BODY else MAX_BODY_BYTES}"
    if form.stop is not Stop.NO_BODY and form.framing in (Framing.CHUNKS, Framing.BYTE_CHUNKS):
        framing = "Transfer-Encoding: chunked"
    lines = [framing]
    if form.asks is Asks.WORK:
        lines.append(f"X-Work-S: {WORK_S}")
    if form.asks in (Asks.LARGE_SLOW, Asks.LARGE_UNREAD):
        lines.append(f"X-Answer-Bytes: {MAX_BODY_BYTES}")
    room = MAX_HEADER_BYTES - len(head(request_id, path, *lines)) - 64
    if form.head is Head.LONG:
        lines.append("X-Long: " + "h" * (room - 10))
    if form.head is Head.MANY_LINES:
        lines.extend(f"H{n:04}: " for n in range(room // 9))
    return head(request_id, path, *lines)


def _body(form: Form) -> Iterator[bytes]:
    size = {
        Stop.FIRST_PART: PIECE_BYTES // 2,
        Stop.MOST: MAX_BODY_BYTES * 3 // 4,
        Stop.ONE_SHORT: MAX_BODY_BYTES - 1,
        Stop.COMPLETE: MAX_BODY_BYTES,
    }[form.stop]
    whole, rest = divmod(size, PIECE_BYTES)
    if form.framing is Framing.LENGTH:
        yield from itertools.repeat(PIECE, whole)
        yield PIECE[:rest]
    elif form.framing is Framing.CHUNKS:
        yield from itertools.repeat(b"%x\r\n%b\r\n" % (PIECE_BYTES, PIECE), whole)
        yield b"%x\r\n%b" % (PIECE_BYTES, PIECE[:rest])
    elif form.framing is Framing.BYTE_CHUNKS:
        chunks = size // BYTE_CHUNKS_IN_PIECE
        yield from itertools.repeat(BYTE_CHUNK * BYTE_CHUNKS_IN_PIECE, chunks)
    else:
        yield from itertools.repeat(PIECE[:1], size)
    if form.stop is Stop.COMPLETE and form.framing is Framing.CHUNKS:
        yield PIECE + b"\r\n0\r\n\r\n"
    if form.stop is Stop.COMPLETE and form.framing is Framing.BYTE_CHUNKS:
        yield b"0\r\n\r\n"


def _bytes_of(data: bytes) -> Iterator[bytes]:
    return (data[n : n + 1] for n in range(len(data)))
