"""Checked closed-loop traffic: one worker for each key, with every answer compared."""

import asyncio
import collections
import itertools
import random
import time

import attrs
import orjson
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from fireflyferry.retries import new_request_id

__all__ = ["Attempt", "Traffic", "TrafficSummary", "longest_gap_s"]

ANSWERED = "answered"
NOT_RUN = "not-run"
PAUSE_S = 0.02
TIMEOUT_S = 4.0


@attrs.frozen
class Attempt:
    """One request as its caller saw it; times are monotonic seconds."""

    request_id: str
    key: str
    pool: str
    started_s: float
    ended_s: float
    outcome: str
    reason: str


@attrs.frozen
class TrafficSummary:
    """Counts over all requests; `crossed` are answers to another request."""

    sent: int
    answered: int
    refused: dict[str, int]
    unknown: dict[str, int]
    crossed: int


class Traffic:
    """Sends requests from one worker for each key until it is stopped."""

    def __init__(self, urls: list[str], tenants: list[str], seed: int = 1) -> None:
        self.urls = urls
        self.attempts: list[Attempt] = []
        self.crossed = 0
        self._tenants = tenants
        self._rng = random.Random(seed)
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=500)
        self._workers: list[asyncio.Task] = []
        self._stopping = False

    def start(self, pools: dict[str, int]) -> None:
        """Start workers; `pools` maps a pool, which is also its route's prefix, to its keys."""
        for pool, keys in pools.items():
            for number in range(keys):
                worker = self._work(pool, f"{pool}-key-{number}", number)
                self._workers.append(asyncio.ensure_future(worker))

    async def stop(self) -> None:
        """Let every worker finish its request."""
        self._stopping = True
        await asyncio.gather(*self._workers)
        self._client.close()

    def summary(self) -> TrafficSummary:
        """Count what the callers saw."""
        refused = collections.Counter(a.reason for a in self.attempts if a.outcome == NOT_RUN)
        unknown = collections.Counter(
            a.reason for a in self.attempts if a.outcome not in (ANSWERED, NOT_RUN)
        )
        answered = sum(1 for attempt in self.attempts if attempt.outcome == ANSWERED)
        return TrafficSummary(
            len(self.attempts), answered, dict(refused), dict(unknown), self.crossed
        )

    async def _work(self, pool: str, key: str, number: int) -> None:
        for turn in itertools.count(number):
            if self._stopping:
                return
            url = self.urls[turn % len(self.urls)]
            self.attempts.append(await self._send(url, pool, key))
            await asyncio.sleep(PAUSE_S * self._rng.uniform(0.5, 1.5))

    async def _send(self, url: str, pool: str, key: str) -> Attempt:
        request_id = make_request_id(self._rng)
        request = HTTPRequest(
            f"{url}/{pool}/{key}/item",
            method="POST",
            body=b"{}",
            headers={
                "Request-Id": request_id,
                "Firefly-Tenant": self._rng.choice(self._tenants),
                "Expect": "",
            },
            request_timeout=TIMEOUT_S,
            connect_timeout=1.0,
            follow_redirects=False,
        )
        started_s = time.monotonic()
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            outcome, reason = _connection_outcome(error)
        else:
            outcome, reason = self._outcome(response, request_id, key)
        return Attempt(request_id, key, pool, started_s, time.monotonic(), outcome, reason)

    def _outcome(self, response: HTTPResponse, request_id: str, key: str) -> tuple[str, str]:
        outcome = response.headers.get("Firefly-Outcome", "")
        if response.code == 599 or not outcome:
            return _connection_outcome(response.error)
        if outcome != ANSWERED:
            return outcome, response.headers.get("Firefly-Reason", "")
        body = orjson.loads(response.body.split(b"\n", 1)[0])
        if (body["request_id"], body["key"]) != (request_id, key):
            self.crossed += 1
            return "crossed", ""
        return outcome, ""


def _connection_outcome(error: Exception | None) -> tuple[str, str]:
    text = str(error)
    if "Connection refused" in text or "Could not connect" in text:
        return NOT_RUN, "entry_vm_refused_connection"
    return "unknown", "no_answer_from_entry_vm"


def longest_gap_s(attempts: list[Attempt], from_s: float, until_s: float) -> float:
    """Return the longest time in which some key had no good answer, in seconds.

    Only the part of a gap inside the given time counts.
    """
    by_key: dict[str, list[float]] = collections.defaultdict(list)
    for attempt in attempts:
        if attempt.outcome == ANSWERED:
            by_key[attempt.key].append(attempt.ended_s)
    return max((_longest(ends, from_s, until_s) for ends in by_key.values()), default=0.0)


def _longest(ends: list[float], from_s: float, until_s: float) -> float:
    before = [end for end in ends if end <= from_s]
    inside = [end for end in ends if from_s < end < until_s]
    points = [max(before, default=from_s), *inside, until_s]
    return max(later - earlier for earlier, later in itertools.pairwise(points))
