"""Guards against callers that miss a request which a VM cuts."""

import asyncio
import contextlib
from types import SimpleNamespace

import pytest

from fireflyferry.platform.soak import callers as callers_module
from fireflyferry.platform.soak.audit import Audit
from fireflyferry.platform.soak.callers import Callers


async def requests_until_closed(audit, answer):
    """Keep connections to a VM that shuts down and handles each request with `answer`."""

    async def on_connection(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            request_id = head.lower().partition("request-id: ")[2].partition("\r\n")[0]
            writer.write(answer(request_id))
        writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    vm = SimpleNamespace(vm_id="vm-0", callers_port=port, starts=1, stopping=True, disturbed=False)
    task = asyncio.create_task(Callers(1, [vm], audit, None).keep_connections(0))
    await asyncio.sleep(0.2)
    task.cancel()
    await asyncio.wait([task])
    server.close()
    await server.wait_closed()
    await asyncio.sleep(0.01)


@pytest.mark.parametrize("executed", [True, False])
def test_request_that_is_cut_after_it_was_executed_is_reported(executed):
    """Guards against a planned stop that cuts requests which came late on kept connections."""
    audit = Audit()

    def cut(request_id):
        if executed:
            audit.record_execution(request_id, "i-1")
        return b""

    asyncio.run(requests_until_closed(audit, cut))
    expected = {"a graceful shutdown cuts no request"} if executed else set()
    assert {each.invariant for each in audit.findings} == expected


def test_answers_on_kept_connections_are_checked(monkeypatch):
    audit = Audit()
    monkeypatch.setattr(callers_module, "MAX_PAUSES_S", (0.0,))

    def answer(request_id):
        audit.record_execution(request_id, "i-1")
        return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

    asyncio.run(requests_until_closed(audit, answer))
    assert {each.invariant for each in audit.findings} == {"whole answer to its own request"}
    assert audit.statuses.keys() <= {200}
