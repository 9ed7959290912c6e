"""Guards against cut or earlier answers that an edge takes for the answer to its call."""

import asyncio
import contextlib

import pytest

from fireflyferry.edges.base import (
    PeerUnavailableError,
    StoreUnavailableError,
    UpstreamUnavailableError,
)
from fireflyferry.edges.http_client import HttpClient
from fireflyferry.edges.http_peer import HttpPeerLink
from fireflyferry.edges.http_store import HttpObjectStore, HttpVmList
from fireflyferry.edges.http_upstream import HttpUpstreamControl

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CUT = pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
        b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n",
        b"HTTP/1.1 412 Precondition Failed\r\n",
        WHOLE[:-1],
    ],
)
CALLS = {
    "cancel": lambda client, address: HttpUpstreamControl(client).cancel(address, "r1"),
    "hello": lambda client, address: HttpUpstreamControl(client).hello(address),
    "heartbeat": lambda client, address: HttpPeerLink(client).heartbeat(address, ()),
    "get": lambda client, address: HttpObjectStore(address, client).get("a"),
    "put": lambda client, address: HttpObjectStore(address, client).put("a", b"1", 1),
    "list": lambda client, address: HttpObjectStore(address, client).list("a"),
    "vms": lambda client, address: HttpVmList(address, client).fetch(),
}


class Server:
    """Serves the given answers in turn, and closes the connection of one that is cut."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.connections = 0
        self.paths = []
        self._tasks = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self.connections += 1
        self._tasks.append(asyncio.current_task())
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lengths = [
                    line.partition(":")[2]
                    for line in head.lower().split("\r\n")
                    if line.startswith("content-length")
                ]
                await reader.readexactly(int(lengths[0]) if lengths else 0)
                self.paths.append(head.split()[1])
                answer = self._answers.pop(0)
                writer.write(answer)
                if not answer.endswith(b"}"):
                    break


@CUT
@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
def test_cut_answer_is_no_answer(call, answer):
    """Guards against a cut answer that confirms a call, for example a cancellation."""

    async def scenario():
        client = HttpClient("vm-1", connect_timeout_s=30.0, timeout_s=30.0)
        async with Server(answer) as server:
            with pytest.raises(
                (PeerUnavailableError, StoreUnavailableError, UpstreamUnavailableError),
                match="curl error",
            ):
                await call(client, server.address)
            assert len(server.paths) == 1
            client.close()

    asyncio.run(scenario())


def test_cancellation_is_not_confirmed_by_an_earlier_answer():
    """Guards against an earlier answer, written once more, that frees the slot of a request."""

    def cancelled(request_id):
        body = f'{{"request_id": "{request_id}", "state": "stopped"}}'
        return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()

    async def scenario():
        client = HttpClient("vm-1", connect_timeout_s=30.0, timeout_s=30.0)
        control = HttpUpstreamControl(client)
        answers = (WHOLE, cancelled("a"), cancelled("a"), cancelled("b"))
        async with Server(*answers) as server:
            with pytest.raises(UpstreamUnavailableError):
                await control.cancel(server.address, "a")
            await control.cancel(server.address, "a")
            with pytest.raises(UpstreamUnavailableError):
                await control.cancel(server.address, "b")
            await control.cancel(server.address, "b")
            client.close()

    asyncio.run(scenario())
