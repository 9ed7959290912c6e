"""Open-loop sender of a scenario's requests, or of a share of them."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable

import attrs
import pycurl
import tornado.curl_httpclient
import tornado.httpclient

from fireflyferry.experiments.load_check import (
    Classification,
    Received,
    Verdict,
    classify_answer,
    classify_error,
)
from fireflyferry.experiments.load_plan import Arrival, arrivals
from fireflyferry.experiments.load_scenario import Scenario
from fireflyferry.experiments.load_tally import Sample
from fireflyferry.retries import new_request_id

__all__ = ["Sender", "SenderJob", "SenderResult"]

# The router answers by the request's deadline; the caller gives up this long after it.
ANSWER_GRACE_S = 1.0


@attrs.frozen
class SenderJob:
    """Share of a scenario that one sender sends: every `senders`-th request, from `number` on.

    `targets` are base URLs of entry VMs; with `direct`, of upstream stand-ins. `start_s` is the
    monotonic time at which the scenario begins, the same for all senders.
    """

    scenario: Scenario
    targets: tuple[str, ...]
    start_s: float
    direct: bool = False
    number: int = 0
    senders: int = 1


@attrs.frozen
class SenderResult:
    """Results of one sender."""

    samples: tuple[Sample, ...]
    peak_in_flight: int
    connect_failovers: int


class Sender:
    """Sends requests at their intended times, independently of earlier answers.

    Targets are chosen at random, as by a load balancer that skips a VM which refuses the
    connection.
    """

    def __init__(self, job: SenderJob, on_sample: Callable[[Sample], None] | None = None) -> None:
        self._job = job
        self._on_sample = on_sample
        self._scenario = job.scenario
        self._samples: list[Sample] = []
        self._rng = random.Random()
        limit = max(1, job.scenario.max_in_flight // job.senders)
        self._client = tornado.curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=limit
        )
        self._slots = asyncio.Semaphore(limit)
        self._in_flight = 0
        self._peak_in_flight = 0
        self._connect_failovers = 0

    async def run(self) -> SenderResult:
        """Send this sender's share of the requests and wait until all have ended."""
        tasks: set[asyncio.Task] = set()
        job = self._job
        for arrival in itertools.islice(arrivals(self._scenario), job.number, None, job.senders):
            # Sleeps for 0 s when late, so that answers are read and the sender can catch up.
            await asyncio.sleep(max(0.0, arrival.at_s - self._now_s()))
            task = asyncio.create_task(self._send(arrival))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(set(tasks))
        self._client.close()
        return SenderResult(tuple(self._samples), self._peak_in_flight, self._connect_failovers)

    def _now_s(self) -> float:
        return time.monotonic() - self._job.start_s

    async def _send(self, arrival: Arrival) -> None:
        async with self._slots:
            self._in_flight += 1
            self._peak_in_flight = max(self._peak_in_flight, self._in_flight)
            request_id = new_request_id(time.time(), self._rng)
            sent_s = self._now_s()
            classification = await self._try_targets(arrival, request_id)
            self._in_flight -= 1
            sample = Sample(arrival, request_id, sent_s, self._now_s(), classification)
            self._samples.append(sample)
            if self._on_sample is not None:
                self._on_sample(sample)

    async def _try_targets(self, arrival: Arrival, request_id: str) -> Classification:
        classification = Classification(Verdict.REFUSED, "client_connect_failed")
        targets = self._job.targets
        for position, target in enumerate(self._rng.sample(targets, len(targets))):
            self._connect_failovers += position > 0
            classification = await self._fetch(target, arrival, request_id)
            if classification.reason != "client_connect_failed":
                break
        return classification

    async def _fetch(self, target: str, arrival: Arrival, request_id: str) -> Classification:
        try:
            response = await self._client.fetch(
                self._request(target, arrival, request_id), raise_error=False
            )
        except tornado.httpclient.HTTPClientError as error:
            return classify_error(getattr(error, "errno", None))
        headers = {name.lower(): value for name, value in response.headers.get_all()}
        received = Received(response.code, headers, response.body)
        return classify_answer(received, request_id, arrival.key, arrival.kind.size_bytes)

    def _request(
        self, target: str, arrival: Arrival, request_id: str
    ) -> tornado.httpclient.HTTPRequest:
        kind = arrival.kind
        headers = {
            "Request-Id": request_id,
            "Firefly-Deadline-Ms": str(self._scenario.timeout_ms),
        }
        if arrival.tenant:
            headers["Firefly-Tenant"] = arrival.tenant
        if self._job.direct:
            headers |= {"Firefly-Request-Id": request_id, "Firefly-Key": arrival.key}
        body = b"." * kind.body_bytes if kind.method in ("PUT", "POST") else None
        timeout_s = self._scenario.timeout_ms / 1000 + ANSWER_GRACE_S
        return tornado.httpclient.HTTPRequest(
            target.rstrip("/") + _path(arrival),
            method=kind.method,
            headers=headers,
            body=body,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=_connection_options(fresh_connection=not kind.idempotent),
        )


def _path(arrival: Arrival) -> str:
    kind = arrival.kind
    path = kind.path.format(key=arrival.key, tenant=arrival.tenant)
    options = {"size_bytes": kind.size_bytes, "service_ms": kind.service_ms}
    query = "&".join(f"{name}={value}" for name, value in options.items() if value)
    separator = "&" if "?" in path else "?"
    return f"{path}{separator}{query}" if query else path


def _connection_options(fresh_connection: bool):
    def prepare(curl: pycurl.Curl) -> None:
        # When a reused connection closes early, libcurl retries the request. The upstream would
        # then count two executions although the router sent the request once.
        curl.setopt(pycurl.FRESH_CONNECT, int(fresh_connection))
        curl.setopt(pycurl.FORBID_REUSE, int(fresh_connection))
        curl.setopt(pycurl.NOPROXY, "*")

    return prepare
