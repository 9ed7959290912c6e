"""Guards against answers of the store that belong to another call than the one made."""

import pytest

from fireflyferry.gateway.edges import StoreCallError
from fireflyferry.platform.tests.test_adapter import RecordingServer, run, stored_object


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
