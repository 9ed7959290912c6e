"""Load of the benchmark: closed loop for cost, open loop for latency and goodput."""

import asyncio
import collections
import time

import attrs

__all__ = ["LoadResult", "Shot", "closed_loop", "open_loop"]


@attrs.frozen
class Shot:
    """One request of an open loop."""

    target: str
    tenant: str = "one"
    method: str = "GET"


@attrs.define
class LoadResult:
    """Answers of one load; times are in seconds."""

    seconds: float = 0.0
    times_s: list[float] = attrs.field(factory=list)
    answered: collections.Counter[str] = attrs.field(factory=collections.Counter)
    other: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def quantile_ms(self, share: float) -> float:
        """Return a quantile of the answer times in milliseconds."""
        ordered = sorted(self.times_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000

    @property
    def rate(self) -> float:
        """Answers per second."""
        return sum(self.answered.values()) / self.seconds


class _Connection:
    """Sends requests one after the other over a connection that is kept."""

    def __init__(self, port: int):
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(self, shot: Shot, deadline_ms: int) -> str:
        """Send a request; returns `answered` or the reason of another outcome."""
        if self._writer is None:
            opened = await asyncio.open_connection("127.0.0.1", self._port)
            self._reader, self._writer = opened
        self._writer.write(
            f"{shot.method} {shot.target} HTTP/1.1\r\nHost: bench\r\nFirefly-Tenant: {shot.tenant}"
            f"\r\nFirefly-Deadline-Ms: {deadline_ms}\r\n\r\n".encode()
        )
        try:
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
            await self._reader.readexactly(int(fields.get("content-length", "0")))
        except (asyncio.IncompleteReadError, ConnectionError):
            self.close()
            return "closed"
        if fields.get("connection") == "close":
            self.close()
        status = head.split(" ", 2)[1]
        return "answered" if status == "200" else fields.get("firefly-reason", status)

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None


async def closed_loop(port: int, route: str, workers: int, seconds: float) -> LoadResult:
    """Send requests one after the other from a number of workers."""
    result = LoadResult()
    started_s = time.monotonic()

    async def work(worker: int) -> None:
        connection = _Connection(port)
        number = 0
        while time.monotonic() < started_s + seconds:
            number += 1
            sent_s = time.monotonic()
            outcome = await connection.send(Shot(f"/{route}/{worker}-{number}"), 5000)
            _note(result, "one", outcome, time.monotonic() - sent_s)
        connection.close()

    await asyncio.gather(*(work(worker) for worker in range(workers)))
    result.seconds = time.monotonic() - started_s
    return result


async def open_loop(
    port: int, shots: list[Shot], rate: float, deadline_ms: int = 5000
) -> LoadResult:
    """Send requests at fixed times; an answer's time counts from when it was due.

    An answer after the deadline counts as `late`.
    """
    result = LoadResult()
    idle: list[_Connection] = []
    started_s = time.monotonic()

    async def fire(due_s: float, shot: Shot) -> None:
        connection = idle.pop() if idle else _Connection(port)
        outcome = await connection.send(shot, deadline_ms)
        took_s = time.monotonic() - due_s
        if outcome == "answered" and took_s > deadline_ms / 1000:
            outcome = "late"
        _note(result, shot.tenant, outcome, took_s)
        idle.append(connection)

    tasks = []
    for number, shot in enumerate(shots):
        due_s = started_s + number / rate
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        tasks.append(asyncio.ensure_future(fire(due_s, shot)))
    await asyncio.gather(*tasks)
    result.seconds = len(shots) / rate
    for connection in idle:
        connection.close()
    return result


def _note(result: LoadResult, tenant: str, outcome: str, took_s: float) -> None:
    if outcome == "answered":
        result.answered[tenant] += 1
        result.times_s.append(took_s)
    else:
        result.other[outcome] += 1
