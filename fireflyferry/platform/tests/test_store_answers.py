"""Guards against answers of the store that belong to another call, or have unreadable parts."""

import json

import pytest

from fireflyferry.gateway.edges import DocumentBatch, StoreCallError, UnreadableDocumentError
from fireflyferry.gateway.mirror import FeedChanges, KindChanges
from fireflyferry.gateway.peer_messages import write_feed_body
from fireflyferry.platform.decoding import Codec
from fireflyferry.platform.tests.test_adapter import ENTRY, RecordingServer, run, stored_object


@pytest.mark.parametrize(
    "answers",
    [
        [(200, stored_object("n", 4, "c"))],
        [(200, stored_object("other", 9, "d"))],
        [(409, {}), (200, stored_object("n", 4, "c"))],
    ],
    ids=["earlier write", "other write", "earlier conflict"],
)
def test_write_is_not_decided_by_the_answer_to_another_call(answers):
    """Guards against an earlier answer, sent once more, that confirms or denies a write.

    A lease or an owner table would count as stored although the store does not have it.
    """

    async def scenario():
        async with RecordingServer(*answers) as server:
            with pytest.raises(StoreCallError):
                await server.store.write("k", "n", "d", 4)

    run(scenario)


def test_write_that_changes_nothing_is_confirmed_with_the_same_revision():
    async def scenario():
        async with RecordingServer((200, stored_object("n", 4, {"a": [1]}))) as server:
            assert await server.store.write("k", "n", {"a": (1,)}, 4) == 4

    run(scenario)


def test_read_does_not_return_another_object():
    """Guards against an earlier answer, sent once more, that passes for the object asked for."""

    async def scenario():
        async with RecordingServer((200, stored_object("other", 4))) as server:
            with pytest.raises(StoreCallError):
                await server.store.read("k", "n")

    run(scenario)


DEEP = b"[" * 5_000 + b"]" * 5_000
ODD_VALUES = [
    pytest.param(DEEP, id="nested 5,000 levels"),
    pytest.param(b"[" * 900 + b"]" * 900, id="nested 900 levels"),
    pytest.param(b'{"a":' * 300 + b"0" + b"}" * 300, id="nested 300 levels"),
    pytest.param(b"1e999", id="infinite"),
    pytest.param(b"-1e999", id="negative infinite"),
    pytest.param(b"9" * 30, id="30 digits"),
    pytest.param(b"9" * 400, id="400 digits"),
    pytest.param(b"NaN", id="not a number"),
    pytest.param(b'"\xff,]}"', id="bytes that are not UTF-8"),
    pytest.param(b'"\\ud800"', id="half of a surrogate pair"),
    pytest.param(b"null", id="nothing"),
]


ODD_OBJECTS = {
    "content": b'{"metadata": {"name": "b", "revision": 6}, "spec": %s, "status": null}',
    "field": b'{"metadata": {"name": "b", "revision": 6}, "spec": {"born": %s}, "status": null}',
    "revision": b'{"metadata": {"name": "b", "revision": %s}, "spec": {}}',
    "name": b'{"metadata": {"name": [%s], "revision": 6}, "spec": {}}',
    "metadata": b'{"spec": {}, "metadata": %s}',
    "object": b"%s",
}
EVENT = b'{"removed": false, "object": %s}'


def _good(name):
    return json.dumps(stored_object(name, 6, ENTRY)).encode()


# Guards against an odd entry of another writer that makes VMs miss all entries listed with it.
@pytest.mark.parametrize("place", ODD_OBJECTS)
@pytest.mark.parametrize("value", ODD_VALUES)
def test_odd_entry_does_not_hide_the_others(place, value):
    odd = ODD_OBJECTS[place].replace(b"%s", value)
    objects = [_good("a"), odd, _good("c")]
    listed = b'{"items": [%s], "asOf": 9, "hasMore": false}' % b", ".join(objects)
    events = b", ".join(EVENT.replace(b"%s", each) for each in objects)
    watched = b'{"asOf": 9, "events": [%s]}' % events

    async def scenario():
        async with RecordingServer((200, listed), (200, watched)) as server:
            batches = [await server.store.list("k"), await server.store.watch("k", 5, 1.0)]
        for batch in batches:
            known = {each.name: each for each in batch.documents}
            assert batch.position == 9 and {"a", "c"} <= known.keys() <= {"a", "b", "c"}
            assert {_decodes(known[name]) for name in "ac"} == {True}
            assert "b" not in known or not _decodes(known["b"])
            write_feed_body(FeedChanges(1, True, {"k": KindChanges(9, batch.documents)}))

    run(scenario)


def _decodes(document):
    try:
        Codec().upstream(document)
    except UnreadableDocumentError as error:
        assert len(str(error)) < 500
        return False
    return True


# Guards against a watch that stays at its position because of an event that names no object.
@pytest.mark.parametrize("event", [{}, {"object": None}, "a", [], 1])
def test_watch_goes_on_behind_an_event_without_a_readable_name(event):
    answer = {"events": [event], "asOf": 7}

    async def scenario():
        async with RecordingServer((200, answer), (200, answer)) as server:
            assert await server.store.watch("k", 1, 0.1) == DocumentBatch(7, ())
            with pytest.raises(StoreCallError):
                await server.store.list("k")

    run(scenario)


# Guards against a list that counts as empty, so that all upstreams are removed, or that is read
# for ever from the same page.
@pytest.mark.parametrize("has_more", [False, True])
def test_list_without_a_readable_object_is_an_error(has_more):
    page = {"items": [{"metadata": {}}, None], "asOf": 7, "hasMore": has_more}

    async def scenario():
        async with RecordingServer((200, page)) as server:
            with pytest.raises(StoreCallError):
                await server.store.list("k")

    run(scenario)


# Guards against an answer with unmatched brackets of which a part passes for the whole list.
@pytest.mark.parametrize("entry", [b'{"a": [}', b"[[]", b'"a', b"]", b"{}}"])
def test_list_with_unmatched_brackets_is_an_error(entry):
    listed = b'{"items": [%s, %s, %s], "asOf": 9}' % (_good("a"), entry, _good("c"))

    async def scenario():
        async with RecordingServer((200, listed)) as server:
            with pytest.raises(StoreCallError):
                await server.store.list("k")

    run(scenario)
