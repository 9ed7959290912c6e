"""Open-loop execution of a scenario against entry VMs."""

import asyncio
import datetime
import random
import time
from collections.abc import Callable

import orjson
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
from fireflyferry.experiments.load_plan import Arrival, arrivals, make_request_id
from fireflyferry.experiments.load_result import Generator, LoadResult
from fireflyferry.experiments.load_scenario import Scenario
from fireflyferry.experiments.load_tally import Sample, Tally

__all__ = ["LoadRunner"]

# The router answers by the deadline that it was given; past this grace the caller gives up.
ANSWER_GRACE_S = 1.0


class LoadRunner:
    """Sends the requests of a scenario at their intended times, whatever came back before.

    `targets` are base URLs of entry VMs, chosen at random as by a balancer that passes over a VM
    which refuses the connection; `upstreams` are `IP:PORT` of stand-ins to ask for executions.
    `on_sample` gets each request's end. With `direct`, targets are upstream stand-ins, which
    measures them without the router.
    """

    def __init__(
        self,
        scenario: Scenario,
        targets: tuple[str, ...],
        upstreams: tuple[str, ...] = (),
        direct: bool = False,
        on_sample: Callable[[Sample], None] | None = None,
    ) -> None:
        self._direct = direct
        self._on_sample = on_sample
        self._scenario = scenario
        self._targets = targets
        self._upstreams = upstreams
        self._tally = Tally(scenario)
        self._rng = random.Random()
        self._client = tornado.curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=scenario.max_in_flight
        )
        self._slots = asyncio.Semaphore(scenario.max_in_flight)
        self._in_flight = 0
        self._peak_in_flight = 0
        self._failovers = 0
        self._start_s = 0.0

    async def run(self, label: str = "") -> LoadResult:
        """Run the scenario and return its result."""
        started = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
        self._start_s = time.monotonic()
        tasks: set[asyncio.Task] = set()
        for arrival in arrivals(self._scenario):
            delay_s = arrival.at_s - self._now_s()
            # Yielding also when late lets answers be read, so that a late generator recovers.
            await asyncio.sleep(max(0.0, delay_s))
            task = asyncio.create_task(self._send(arrival))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(set(tasks))
        elapsed_s = self._now_s()
        await asyncio.sleep(self._scenario.settle_s)
        executions = self._tally.executions(await self._executions())
        self._client.close()
        generator = Generator(
            peak_in_flight=self._peak_in_flight,
            connect_failovers=self._failovers,
            elapsed_s=elapsed_s,
        )
        return self._tally.result(self._targets, started, executions, generator, label)

    def _now_s(self) -> float:
        return time.monotonic() - self._start_s

    async def _send(self, arrival: Arrival) -> None:
        async with self._slots:
            self._in_flight += 1
            self._peak_in_flight = max(self._peak_in_flight, self._in_flight)
            request_id = make_request_id(time.time(), self._rng)
            sent_s = self._now_s()
            self._tally.sent(sent_s - arrival.at_s)
            judgement = await self._try_targets(arrival, request_id)
            self._in_flight -= 1
            sample = Sample(arrival, request_id, sent_s, self._now_s(), judgement)
            self._tally.add(sample)
            if self._on_sample is not None:
                self._on_sample(sample)

    async def _try_targets(self, arrival: Arrival, request_id: str) -> Judgement:
        judgement = Judgement(Verdict.REFUSED, "client_connect_failed")
        for position, target in enumerate(self._rng.sample(self._targets, len(self._targets))):
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
        if self._direct:
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

    async def _executions(self) -> dict[str, dict[str, int] | None]:
        counts: dict[str, dict[str, int] | None] = {}
        for address in self._upstreams:
            try:
                answer = await self._client.fetch(f"http://{address}/executions")
                counts[address] = orjson.loads(answer.body)["by_request"]
            except (tornado.httpclient.HTTPClientError, OSError, ValueError, KeyError):
                counts[address] = None
        return counts


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
