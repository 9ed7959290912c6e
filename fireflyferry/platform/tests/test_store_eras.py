"""Guards against answers of another era of the store that pass for answers of this one."""

import logging

import pytest

from fireflyferry.gateway.edges import Conflict, DocumentBatch, StoreCallError
from fireflyferry.gateway.eras import EarlierEraError, StoreEras, read_era
from fireflyferry.keyranges import MAX_ERA
from fireflyferry.platform.names import ERA_HEADER
from fireflyferry.platform.tests.test_adapter import RecordingServer, run, stored_object


def in_era(era, content, status=200):
    return (status, content, {} if era is None else {ERA_HEADER: str(era)})


def page(*names, more=False):
    return {"items": [stored_object(name) for name in names], "hasMore": more, "asOf": 5}


def serve(server):
    """Return the eras that the store's client of a server uses."""
    server.store._eras = StoreEras()
    return server.store._eras


@pytest.mark.parametrize(
    ("text", "era"),
    [
        ("0", 0),
        ("7", 7),
        (str(MAX_ERA), MAX_ERA),
        (None, None),
        ("", None),
        ("x", None),
        ("-1", None),
        ("+1", None),
        ("1.0", None),
        ("1e3", None),
        ("1_0", None),
        (" 7", None),
        ("7, 8", None),
        ("\u0667", None),
        (str(MAX_ERA + 1), None),
        ("9" * 5_000, None),
    ],
)
def test_era_is_a_whole_number_of_bounded_size(text, era):
    assert read_era(text) == era


def test_rise_is_reported_once_and_a_fall_is_refused():
    eras, risen = StoreEras(), []
    eras.on_rise.append(risen.append)
    for era in (4, 4, 6, 6):
        eras.observe(era, "store")
    with pytest.raises(EarlierEraError):
        eras.observe(5, "store")
    assert risen == [4, 6] and eras.current == 6


def test_unusable_header_is_logged_once_and_keeps_the_era(caplog):
    eras = StoreEras()
    eras.observe(4, "store")
    with caplog.at_level(logging.WARNING):
        assert [eras.read("x"), eras.read("x"), eras.read(None), eras.read(None)] == [None] * 4
    names = [record.message for record in caplog.records]
    assert names == ["store_era_unreadable", "store_era_missing"]
    assert eras.current == 4


def test_store_without_eras_behaves_as_before():
    async def scenario():
        answers = [(200, stored_object("n", 4)), (200, stored_object("n", 5)), (200, page("a"))]
        async with RecordingServer(*answers) as server:
            eras = serve(server)
            assert (await server.store.read("k", "n")).revision == 4
            assert await server.store.write("k", "n", "c", 4) == 5
            assert len((await server.store.list("k")).documents) == 1
            assert eras.current is None

    run(scenario)


@pytest.mark.parametrize("status", [200, 404, 409, 503])
def test_answer_of_an_earlier_era_fails_whatever_its_status(status):
    """Guards against an answer in flight over a restore, which shows what the store has lost."""

    async def scenario():
        answers = [in_era(5, {}, 404), in_era(4, stored_object("n", 9), status)]
        async with RecordingServer(*answers) as server:
            eras = serve(server)
            assert await server.store.read("k", "n") is None
            with pytest.raises(StoreCallError):
                await server.store.read("k", "n")
            assert eras.current == 5

    run(scenario)


@pytest.mark.parametrize("status", [404, 409, 410, 503])
def test_any_status_raises_the_era(status):
    """Guards against a holder that goes on since the store refuses its calls in the new era."""

    async def scenario():
        async with RecordingServer(in_era(4, {}, 404), in_era(5, {}, status)) as server:
            eras = serve(server)
            await server.store.read("k", "n")
            with pytest.raises(StoreCallError):
                await server.store.watch("k", 3, 0.1)
            assert eras.current == 5

    run(scenario)


@pytest.mark.parametrize("call", ["replace", "create", "conflict", "watch"])
def test_call_that_a_later_era_answers_fails(call):
    """Guards against a revision or a position of the earlier era that stands for another now."""
    answers = {
        "replace": (200, stored_object("n", 8, "c")),
        "create": (201, stored_object("n", 8, "c")),
        "conflict": (409, {}),
        "watch": (200, {"events": [], "asOf": 9}),
    }

    async def scenario():
        status, content = answers[call]
        async with RecordingServer(in_era(4, {}, 404), in_era(5, content, status)) as server:
            eras = serve(server)
            store = server.store
            await store.read("k", "n")
            with pytest.raises(StoreCallError):
                if call == "watch":
                    await store.watch("k", 7, 0.1)
                else:
                    await store.write("k", "n", "c", 0 if call == "create" else 7)
            assert eras.current == 5

    run(scenario)


def test_watch_from_a_position_of_unknown_era_fails_when_the_first_era_is_seen():
    """Guards against a kind that counts as listed although the era began without a list."""

    async def scenario():
        async with RecordingServer(in_era(1, {"events": [], "asOf": 9})) as server:
            serve(server)
            with pytest.raises(StoreCallError):
                await server.store.watch("k", 7, 0.1)

    run(scenario)


def test_first_call_of_a_process_may_create_its_entry():
    async def scenario():
        async with RecordingServer(in_era(3, stored_object("n", 8), 201)) as server:
            serve(server)
            assert await server.store.write("k", "n", "c", 0) == 8

    run(scenario)


def test_list_whose_pages_are_of_two_eras_fails():
    """Guards against a list that lacks objects of both, which would count as removed."""

    async def scenario():
        answers = [in_era(4, page("a", more=True)), in_era(5, page("b"))]
        async with RecordingServer(*answers, in_era(5, page("a", "b"))) as server:
            serve(server)
            with pytest.raises(StoreCallError):
                await server.store.list("k")
            assert len((await server.store.list("k")).documents) == 2

    run(scenario)


@pytest.mark.parametrize("headers", [{}, {ERA_HEADER: "x"}, {ERA_HEADER: "-3"}])
def test_answer_without_a_usable_era_confirms_no_write_and_no_read(headers):
    """Guards against a lease that an answer of unknown era confirms; lists are still used."""

    async def scenario():
        answers = [
            in_era(4, stored_object("n", 6)),
            (200, stored_object("n", 8), headers),
            (200, stored_object("n", 8), headers),
            (200, page("a"), headers),
        ]
        async with RecordingServer(*answers) as server:
            eras = serve(server)
            await server.store.read("k", "n")
            with pytest.raises(StoreCallError):
                await server.store.write("k", "n", "c", 6)
            with pytest.raises(StoreCallError):
                await server.store.read("k", "n")
            assert isinstance(await server.store.list("k"), DocumentBatch)
            assert eras.current == 4

    run(scenario)


def test_conflict_of_the_current_era_returns_what_was_found():
    async def scenario():
        found = stored_object("n", 9)
        answers = [in_era(4, found), in_era(4, {}, 409), in_era(4, found)]
        async with RecordingServer(*answers) as server:
            serve(server)
            await server.store.read("k", "n")
            result = await server.store.write("k", "n", "d", 7)
            assert isinstance(result, Conflict) and result.found.revision == 9

    run(scenario)
