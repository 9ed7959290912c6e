"""Open-loop sender of (a share of) a scenario's requests."""

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
    Judgement,
    Received,
    Verdict,
    judge,
    judge_error,
)
from fireflyferry.experiments.load_plan import Arrival, arrivals
from fireflyferry.experiments.load_scenario import Scenario
from fireflyferry.experiments.load_tally import Sample
from fireflyferry.retries import new_request_id

__all__ = ["Order", "Sender", "SenderResult"]

# The router answers by the deadline that it was given; past this grace the caller gives up.
ANSWER_GRACE_S = 1.0


@attrs.frozen
class Order:
    """What one of several senders is to send.

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
    """What one sender saw."""

    samples: tuple[Sample, ...]
    peak_in_flight: int
    connect_failovers: int


class Sender:
    """Sends requests at their intended times, whatever came back before.

    Targets are chosen at random as by a balancer that passes over a VM which refuses the
    connection.
    """

    def __init__(self, order: Order, on_sample: Callable[[Sample], None] | None = None) -> None:
        self._order = order
        self._on_sample = on_sample
        self._scenario = order.scenario
        self._samples: list[Sample] = []
        self._rng = random.Random()
        limit = max(1, order.scenario.max_in_flight // order.senders)
        self._client = tornado.curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=limit
        )
        self._slots = asyncio.Semaphore(limit)
        self._in_flight = 0
        self._peak_in_flight = 0
        self._failovers = 0

    async def run(self) -> SenderResult:
        """Send this sender's share of the requests and wait for their ends."""
        tasks: set[asyncio.Task] = set()
        order = self._order
        for arrival in itertools.islice(
            arrivals(self._scenario), order.number, None, order.senders
        ):
            # Yielding also when late lets answers be read, so that a late sender recovers.
            await asyncio.sleep(max(0.0, arrival.at_s - self._now_s()))
            task = asyncio.create_task(self._send(arrival))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(set(tasks))
        self._client.close()
        return SenderResult(tuple(self._samples), self._peak_in_flight, self._failovers)

    def _now_s(self) -> float:
        return time.monotonic() - self._order.start_s

    async def _send(self, arrival: Arrival) -> None:
        async with self._slots:
            self._in_flight += 1
            self._peak_in_flight = max(self._peak_in_flight, self._in_flight)
            request_id = new_request_id(time.time(), self._rng)
            sent_s = self._now_s()
            judgement = await self._try_targets(arrival, request_id)
            self._in_flight -= 1
            sample = Sample(arrival, request_id, sent_s, self._now_s(), judgement)
            self._samples.append(sample)
            if self._on_sample is not None:
                self._on_sample(sample)

    async def _try_targets(self, arrival: Arrival, request_id: str) -> Judgement:
        judgement = Judgement(Verdict.REFUSED, "client_connect_failed")
        targets = self._order.targets
        for position, target in enumerate(self._rng.sample(targets, len(targets))):
            self._failovers += position > 0
            judgement = await self._fetch(target, arrival, request_id)
            if judgement.reason != "client_connect_failed":
                break
        return judgement

    async def _fetch(self, target: str, arrival: Arrival, request_id: str) -> Judgement:
        try:
            response = await self._client.fetch(
                self._request(target, arrival, request_id), raise_error=False
            )
        except tornado.httpclient.HTTPClientError as error:
            return judge_error(getattr(error, "errno", None))
        headers = {name.lower(): value for name, value in response.headers.get_all()}
        received = Received(response.code, headers, response.body)
        return judge(received, request_id, arrival.key, arrival.kind.size_bytes)

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
        if self._order.direct:
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
            prepare_curl_callback=_connection_options(fresh=not kind.idempotent),
        )


def _path(arrival: Arrival) -> str:
    kind = arrival.kind
    path = kind.path.format(key=arrival.key, tenant=arrival.tenant)
    options = {"size_bytes": kind.size_bytes, "service_ms": kind.service_ms}
    query = "&".join(f"{name}={value}" for name, value in options.items() if value)
    separator = "&" if "?" in path else "?"
    return f"{path}{separator}{query}" if query else path


def _connection_options(fresh: bool):
    def prepare(curl: pycurl.Curl) -> None:
        # On a reused connection that closes early, libcurl sends a request a second time. That
        # would count as a request that ran twice although the router sent it once.
        curl.setopt(pycurl.FRESH_CONNECT, int(fresh))
        curl.setopt(pycurl.FORBID_REUSE, int(fresh))
        curl.setopt(pycurl.NOPROXY, "*")

    return prepare
