"""Runs a scenario with one or several senders and collects the upstreams' counts and logs."""

import asyncio
import concurrent.futures
import datetime
import multiprocessing
import time
from collections.abc import Callable

import orjson
import tornado.httpclient

from fireflyferry.experiments.load_ownership import check_ownership
from fireflyferry.experiments.load_result import Generator, LoadResult, OwnershipCheck
from fireflyferry.experiments.load_scenario import Scenario
from fireflyferry.experiments.load_sender import Sender, SenderJob, SenderResult
from fireflyferry.experiments.load_tally import Sample, Tally
from fireflyferry.messages import decode
from fireflyferry.messages.codec import MessageError
from fireflyferry.standins.upstream_ownership import Holding

__all__ = ["LoadRunner"]

# A sender process needs about 0.5 s for its imports.
PROCESS_START_S = 2.0


class LoadRunner:
    """Runs a scenario once.

    `targets` are base URLs of entry VMs; with `direct`, of upstream stand-ins, which measures
    them without the router. `upstreams` are `IP:PORT` of stand-ins from which executions and
    holdings are read. `on_sample` is called for each request when it has ended. One sender runs in
    this process; several run in processes of their own, and `on_sample` is then called at the end
    of the run.
    """

    def __init__(
        self,
        scenario: Scenario,
        targets: tuple[str, ...],
        upstreams: tuple[str, ...] = (),
        direct: bool = False,
        on_sample: Callable[[Sample], None] | None = None,
        senders: int = 1,
    ) -> None:
        self._scenario = scenario
        self._targets = targets
        self._upstreams = upstreams
        self._direct = direct
        self._on_sample = on_sample
        self._senders = senders

    async def run(self, label: str = "") -> LoadResult:
        """Run the scenario and return its result."""
        started = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
        start_s = time.monotonic() + (PROCESS_START_S if self._senders > 1 else 0.0)
        results = await self._send_all(start_s)
        elapsed_s = time.monotonic() - start_s
        await asyncio.sleep(self._scenario.settle_s)
        tally = Tally(self._scenario)
        samples = (sample for result in results for sample in result.samples)
        for sample in sorted(samples, key=lambda each: each.done_s):
            tally.add(sample)
        generator = Generator(
            senders=self._senders,
            peak_in_flight=sum(each.peak_in_flight for each in results),
            connect_failovers=sum(each.connect_failovers for each in results),
            elapsed_s=elapsed_s,
        )
        return tally.result(
            tally.executions(await _fetch_executions(self._upstreams)),
            generator,
            targets=self._targets,
            started=started,
            ownership=await _fetch_ownership(self._upstreams),
            label=label,
        )

    async def _send_all(self, start_s: float) -> list[SenderResult]:
        jobs = [
            SenderJob(self._scenario, self._targets, start_s, self._direct, each, self._senders)
            for each in range(self._senders)
        ]
        if len(jobs) == 1:
            return [await Sender(jobs[0], self._on_sample).run()]
        loop = asyncio.get_running_loop()
        context = multiprocessing.get_context("spawn")
        with concurrent.futures.ProcessPoolExecutor(len(jobs), context) as pool:
            futures = [loop.run_in_executor(pool, _run_sender, job) for job in jobs]
            results = await asyncio.gather(*futures)
        for sample in (each for result in results for each in result.samples):
            if self._on_sample is not None:
                self._on_sample(sample)
        return results


def _run_sender(job: SenderJob) -> SenderResult:
    async def run() -> SenderResult:
        return await Sender(job).run()

    return asyncio.run(run())


async def _fetch_executions(upstreams: tuple[str, ...]) -> dict[str, dict[str, int] | None]:
    counts: dict[str, dict[str, int] | None] = {}
    for address in upstreams:
        body = await _get_json(address, "executions")
        counts[address] = body.get("by_request") if body else None
    return counts


async def _fetch_ownership(upstreams: tuple[str, ...]) -> OwnershipCheck:
    holdings: list[Holding] = []
    missing = []
    for address in upstreams:
        body = await _get_json(address, "ownership")
        try:
            holdings += decode(orjson.dumps(body["holdings"]), list[Holding]) if body else []
        except (KeyError, MessageError):
            body = None
        if body is None:
            missing.append(address)
    check = check_ownership(holdings)
    return OwnershipCheck(check.holdings, check.overlaps, tuple(missing), check.examples)


async def _get_json(address: str, path: str) -> dict | None:
    client = tornado.httpclient.AsyncHTTPClient()
    try:
        answer = await client.fetch(f"http://{address}/{path}")
        return orjson.loads(answer.body)
    except (tornado.httpclient.HTTPClientError, OSError, ValueError):
        return None
