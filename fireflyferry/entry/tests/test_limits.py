"""Effect of the `[limits]` section of the settings on the request path."""

import asyncio
from pathlib import Path

import attrs
import pytest

from fireflyferry.entry.limits import limits_from_settings
from fireflyferry.entry.main import EntryProgram
from fireflyferry.entry.tests.support import ScriptedUpstream, answer, entry_vms, send_request
from fireflyferry.settings import EntrySettings, read_settings
from fireflyferry.settings.model import LimitSettings

LIMITS = LimitSettings(
    max_body_bytes=9_000, max_header_bytes=1024, queue_length=1, streaming_window_bytes=4096
)


def run_with(requests, script=None):
    async def run():
        async with (
            ScriptedUpstream(script) as upstream,
            entry_vms(upstream.port, slots=1, limits=limits_from_settings(LIMITS)) as cluster,
        ):
            await requests(cluster, upstream)

    asyncio.run(run())


@pytest.mark.parametrize(
    ("refused", "status", "reason"),
    [
        ({"body": b"x" * 9_001}, 413, "body_too_large"),
        ({"headers": [("X-Long", "x" * 1024)]}, 431, "header_too_large"),
        ({"target": "/write/" + "k" * 1024}, 431, "header_too_large"),
    ],
)
def test_request_above_a_limit_is_refused_and_has_not_run(refused, status, reason):
    """Guards against limits that do not refuse, or that close a connection without an answer."""

    async def requests(cluster, upstream):
        given = {"target": "/write/key", "method": "POST"} | refused
        reply = await send_request(cluster.public_ports[0], **given)
        assert (reply.status, reply.outcome, reply.reason) == (status, "not-run", reason)
        assert upstream.received == []

    run_with(requests)


@pytest.mark.parametrize("first_hop", [0, 1])
@pytest.mark.parametrize("size", [4_096, 5_000, 9_000])
def test_request_at_the_limits_is_answered(first_hop, size):
    """Guards against a body that is never read, and a forwarded head above the limit."""

    async def requests(cluster, upstream):
        target = "/write/" + "%e9" * 300
        reply = await send_request(
            cluster.public_ports[first_hop], target, "POST", body=b"x" * size
        )
        assert (reply.status, reply.outcome) == (200, "answered")
        assert [len(request.body) for request in upstream.received] == [size]

    run_with(requests)


def test_queue_length_of_the_vm_is_applied():
    """Guards against a VM with more waiting requests than its settings allow."""

    async def requests(cluster, upstream):
        release = asyncio.Event()

        async def script(request, writer):
            await release.wait()
            writer.write(answer(request))

        upstream.script = script
        pending = [asyncio.ensure_future(send_request(cluster.public_ports[0])) for _ in range(3)]
        done, _ = await asyncio.wait(pending, timeout=0.4, return_when=asyncio.FIRST_COMPLETED)
        assert [(task.result().status, task.result().reason) for task in done] == [
            (503, "queue_full")
        ]
        release.set()
        replies = await asyncio.gather(*pending)
        assert sorted(reply.status for reply in replies) == [200, 200, 503]

    run_with(requests)


def test_program_applies_its_limits():
    """Guards against a program that reads `[limits]` but uses the defaults."""
    example = Path(__file__).parents[3] / "examples/caatinga/entry.ini"
    settings = attrs.evolve(read_settings(str(example), EntrySettings), limits=LIMITS)

    async def run():
        request_path = EntryProgram(settings)._request_path
        assert request_path._services.limits == limits_from_settings(LIMITS)
        assert request_path.server_options()["max_header_size"] == 8 * 1024 + 4096
        request_path.close()

    asyncio.run(run())
