"""Guards against distance and load that first and last hops do not record or misread."""

import asyncio
import logging

import pytest

from fireflyferry.gateway.tests.support import (
    HEADER_NAMES,
    FakeStore,
    ScriptedUpstream,
    gateway,
    make_config,
    reply,
    request,
    run_with,
    upstream_content,
)
from fireflyferry.messages.codec import unstructure


def answer_with_load(value):
    async def answer(seen, writer):
        writer.write(reply(seen, extra_headers=f"{HEADER_NAMES.load}: {value}\r\n"))

    return answer


def queue_of(running):
    return next(iter(running.program._last_hop._queues.values()))


def metric_lines(running):
    text = running.program._metrics.text().decode()
    return [line for line in text.splitlines() if "requests_by_distance_total{" in line]


def test_reported_load_enters_the_next_forecast():
    """Guards against a last hop that sends on to an upstream which others have filled."""

    async def scenario(running, upstream, store):
        assert (await request(running.port, "/read/")).status == 200
        queue = queue_of(running)
        now_s = running.program._clock.monotonic_s()
        assert queue.forecast(now_s)[0] > queue.wait_s(now_s) == 0.0

    run_with(answer_with_load("2,900,2,100"), scenario)


@pytest.mark.parametrize("value", ["x", "-1,0,2", "1,2", "9999999999,0,2", "1,2,0", "1,2,3,x"])
def test_odd_load_header_is_logged_and_changes_nothing(value, caplog):
    """Guards against answers that are lost, or forecasts that change, by an odd header."""

    async def scenario(running, upstream, store):
        assert (await request(running.port, "/read/")).status == 200
        queue = queue_of(running)
        now_s = running.program._clock.monotonic_s()
        assert queue.forecast(now_s) == (queue.wait_s(now_s), queue.service_s)

    with caplog.at_level(logging.INFO):
        run_with(answer_with_load(value), scenario)
    logged = [each for each in caplog.records if each.getMessage() == "load_report_unreadable"]
    assert [(each.upstream, each.value) for each in logged] == [("u1", value)]


def test_requests_are_counted_by_distance_and_reason():
    async def scenario(running, upstream, store):
        assert (await request(running.port, "/read/")).status == 200
        labels = 'distance="data_centre",pool="plain",why="near"'
        assert metric_lines(running) == [f"fireflyferry_requests_by_distance_total{{{labels}}} 1.0"]

    run_with(None, scenario)


def test_request_leaves_a_data_centre_whose_upstream_does_not_answer(caplog):
    """Guards against retries at an upstream that failed, and log lines that do not say why."""

    async def break_off(seen, writer):
        return False

    async def run():
        store = FakeStore()
        async with ScriptedUpstream(break_off) as near, ScriptedUpstream() as far:
            await store.put("configs", "main", unstructure(make_config()))
            await store.put("upstreams", "u1", upstream_content("u1", near.port))
            content = upstream_content("u2", far.port, data_centre="dc-2")
            await store.put("upstreams", "u2", content)
            async with gateway(store) as running:
                assert (await request(running.port, "/read/")).status == 200
                assert (await request(running.port, "/read/", request_id="r2")).status == 200
                return metric_lines(running)

    with caplog.at_level(logging.INFO):
        lines = asyncio.run(run())
    failed = next(each for each in caplog.records if each.getMessage() == "attempt_failed")
    assert (failed.distance, failed.why) == ("data_centre", "near")
    assert any('distance="region",pool="plain",why="failing_nearer"' in line for line in lines)
