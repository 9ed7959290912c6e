"""Load generators of the benchmark: closed loop for cost, open loop for latency and goodput."""

import asyncio
import collections
import time

import attrs

__all__ = ["BenchRequest", "LoadResult", "closed_loop", "open_loop"]


@attrs.frozen
class BenchRequest:
    """One request of an open loop."""

    target: str
    tenant: str = "one"
    method: str = "GET"


@attrs.define
class LoadResult:
    """Result of one load; `answered` counts answers by tenant, and `other` the rest by outcome.

    `seconds` is the length of the load, and `times_s` holds the time of each answer in seconds.
    """

    seconds: float = 0.0
    times_s: list[float] = attrs.field(factory=list)
    answered: collections.Counter[str] = attrs.field(factory=collections.Counter)
    other: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the answer times in milliseconds."""
        ordered = sorted(self.times_s)
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] * 1000

    @property
    def rate(self) -> float:
        """Answers per second."""
        return sum(self.answered.values()) / self.seconds


class _Connection:
    """Sends requests one after the other on a kept connection."""

    def __init__(self, port: int):
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(self, request: BenchRequest, deadline_ms: int) -> str:
        """Send a request; return `answered` or the reason of another outcome."""
        if self._writer is None:
            opened = await asyncio.open_connection("127.0.0.1", self._port)
            self._reader, self._writer = opened
        self._writer.write(
            f"{request.method} {request.target} HTTP/1.1\r\nHost: bench"
            f"\r\nFirefly-Tenant: {request.tenant}"
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
    """Run workers for some seconds; each sends its requests one after the other."""
    result = LoadResult()
    started_s = time.monotonic()

    async def run_worker(worker: int) -> None:
        connection = _Connection(port)
        number = 0
        while time.monotonic() < started_s + seconds:
            number += 1
            sent_s = time.monotonic()
            outcome = await connection.send(BenchRequest(f"/{route}/{worker}-{number}"), 5000)
            _record(result, "one", outcome, time.monotonic() - sent_s)
        connection.close()

    await asyncio.gather(*(run_worker(worker) for worker in range(workers)))
    result.seconds = time.monotonic() - started_s
    return result


async def open_loop(
    port: int, requests: list[BenchRequest], rate: float, deadline_ms: int = 5000
) -> LoadResult:
    """Send requests at a fixed rate per second; answer times count from when each was due.

    An answer after the deadline counts as `late`.
    """
    result = LoadResult()
    idle: list[_Connection] = []
    started_s = time.monotonic()

    async def send_when_due(due_s: float, request: BenchRequest) -> None:
        connection = idle.pop() if idle else _Connection(port)
        outcome = await connection.send(request, deadline_ms)
        took_s = time.monotonic() - due_s
        if outcome == "answered" and took_s > deadline_ms / 1000:
            outcome = "late"
        _record(result, request.tenant, outcome, took_s)
        idle.append(connection)

    tasks = []
    for number, request in enumerate(requests):
        due_s = started_s + number / rate
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        tasks.append(asyncio.ensure_future(send_when_due(due_s, request)))
    await asyncio.gather(*tasks)
    result.seconds = len(requests) / rate
    for connection in idle:
        connection.close()
    return result


def _record(result: LoadResult, tenant: str, outcome: str, took_s: float) -> None:
    if outcome == "answered":
        result.answered[tenant] += 1
        result.times_s.append(took_s)
    else:
        result.other[outcome] += 1
