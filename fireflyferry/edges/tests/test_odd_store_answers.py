"""Guards against one odd record that costs the others of an answer."""

import asyncio
import base64

import attrs
import orjson
import pytest

from fireflyferry.edges.base import StoredObject
from fireflyferry.edges.http_client import HttpClient
from fireflyferry.edges.http_peer import HttpPeerLink
from fireflyferry.edges.http_store import HttpVmList
from fireflyferry.edges.tests.test_unusable_answers import Server
from fireflyferry.edges.wire import decode_batch
from fireflyferry.messages import GroupId, HeartbeatReply, VmEntry, VmIncarnation, encode

GOOD = (
    VmEntry("e-1", "entry", "natal", "natal-1", "10.0.0.1:80", "10.0.0.1:81"),
    VmEntry("u-1", "upstream", "natal", "natal-1", "10.0.0.2:80", pool="janela"),
)
ODD_ENTRY = attrs.asdict(attrs.evolve(GOOD[0], vm_id="odd"))
REPLY = HeartbeatReply(GroupId("janela", "natal-1", 0), 1, VmIncarnation("e-1", "a"), 0.5)
NESTED = b"[" * 900 + b"]" * 900


def call_with_answer(body, call):
    """Return the result of a call to a server that answers with the body."""

    async def run():
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        async with Server(head + body) as server:
            client = HttpClient("vm-1")
            try:
                return await call(client, server.address)
            finally:
                client.close()

    return asyncio.run(run())


# Guards against a VM list that is no longer followed because of one entry of another writer.
@pytest.mark.parametrize(
    "odd",
    [
        None,
        {"vm_id": "odd"},
        {**ODD_ENTRY, "vm_id": ""},
        {**ODD_ENTRY, "vm_id": 5},
        {**ODD_ENTRY, "state": None},
        {**ODD_ENTRY, "role": []},
        *({**ODD_ENTRY, "address": f"10.0.0.3:{port}"} for port in (0, 65_536, -1, "80 ")),
        *({**ODD_ENTRY, "peer_address": odd} for odd in ("10.0.0.3:65536", "雪:80", 80)),
    ],
    ids=lambda odd: ascii(odd)[:24],
)
def test_vm_list_keeps_the_entries_beside_an_odd_one(odd):
    body = encode({"vms": [GOOD[0], odd, GOOD[1]]})
    entries = call_with_answer(body, lambda client, address: HttpVmList(address, client).fetch())
    assert entries == GOOD


# Guards against pledges of all groups that are lost because of one group's reply.
@pytest.mark.parametrize("odd", [b"null", b"{}", b'{"group": 1, "term": 1e300}', NESTED])
def test_replies_beside_an_odd_one_are_kept(odd):
    body = b"[%s, %s, %s]" % (encode(REPLY), odd, encode(REPLY))
    replies = call_with_answer(
        body, lambda client, address: HttpPeerLink(client).heartbeat(address, ())
    )
    assert replies == (REPLY, REPLY)


def base64_object(name, data):
    return {"name": name, "version": 1, "data": base64.b64encode(data).decode()}


# Guards against a list or watch of objects that fails as a whole because of one object.
@pytest.mark.parametrize(
    "odd",
    [
        None,
        [],
        "odd",
        {"name": "odd", "version": 1},
        {"name": "odd", "version": "1", "data": None},
        {"name": "odd", "version": 1e300, "data": None},
        {"name": ["odd"], "version": 1, "data": None},
        {"name": "odd", "version": 1, "data": "not base64!"},
        {"name": "odd", "version": 1, "data": "雪"},
        {"name": "odd", "version": 1, "data": orjson.loads(NESTED)},
    ],
    ids=lambda each: ascii(each)[:40] if "[[" not in str(each) else "nested",
)
def test_batch_keeps_the_objects_beside_an_odd_one(odd):
    changes = [base64_object("a", b"1"), odd, base64_object("b", b"2")]
    batch = str({"sequence": 9, "changes": changes}).replace("None", "null").replace("'", '"')
    read = decode_batch(batch.encode())
    assert read.changes == (StoredObject("a", 1, b"1"), StoredObject("b", 1, b"2"))
    assert read.sequence == 9
