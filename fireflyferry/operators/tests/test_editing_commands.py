"""Guards against edits that are lost, half applied, wrongly confirmed, or undo another's edit."""

import asyncio

import pytest

from fireflyferry.operators.arguments import make_parser
from fireflyferry.operators.errors import ExitCode, OperatorError
from fireflyferry.operators.main import run_command
from fireflyferry.operators.tests.fake_fleet import FakeStore, make_context
from fireflyferry.tables import TABLES_NAME, load_tables

ADD_POOL = "pools add janela data_centres=natal-1,natal-2 buckets=64"
ADD_ROUTE = "routes add w path_prefix=/w/ pool=janela key_source=path:0"


@pytest.fixture
def store():
    fake_store = FakeStore()
    run(fake_store, ADD_POOL)
    run(fake_store, ADD_ROUTE)
    return fake_store


def run(store, command, author="ana", lines=None):
    options = make_parser().parse_args(command.split())
    return asyncio.run(run_command(make_context(store, author=author, lines=lines), options))


def error_of(store, command, author="ana"):
    with pytest.raises(OperatorError) as caught:
        run(store, command, author)
    return caught.value


def tables(store):
    return load_tables(store.table.get(TABLES_NAME).data)


def test_edits_have_consecutive_revisions_and_history(store):
    run(store, "routes set w timeout_ms=900 --note faster")
    assert (tables(store).revision, tables(store).author) == (3, "ana")
    lines = []
    run(store, "history", lines=lines)
    assert [line.split()[0] for line in lines] == ["3", "2", "1"]
    assert "faster" in lines[0]


def test_show_writes_a_file_that_apply_reads(store, tmp_path):
    lines, path = [], tmp_path / "tables.ini"
    run(store, "show", lines=lines)
    path.write_text(lines[0].replace("timeout_ms = 2000", "timeout_ms = 700"))
    assert run(store, f"apply {path} --dry-run") == ExitCode.DONE
    assert tables(store).revision == 2
    run(store, f"apply {path}")
    assert tables(store).route("w").timeout_ms == 700
    conflict = error_of(store, f"apply {path}")
    assert conflict.exit_code == ExitCode.CONFLICT
    assert "~ routes w timeout_ms: 2000 -> 700" in conflict.lines


def test_file_without_a_revision_is_not_applied_over_other_edits(store, tmp_path):
    path = tmp_path / "tables.ini"
    path.write_text("[pool janela]\ndata_centres = natal-1, natal-2\nbuckets = 64\n")
    assert error_of(store, f"apply {path}").exit_code == ExitCode.USAGE
    run(store, f"apply {path} --expect-revision 2")
    assert tables(store).routes == ()


def test_lost_race_changes_nothing_and_shows_the_other_edit(store):
    async def other_edit():
        options = make_parser().parse_args(["routes", "set", "w", "priority=7", "--note", "urgent"])
        await run_command(make_context(store, author="bia"), options)

    store.before_tables_write = other_edit
    conflict = error_of(store, "routes set w timeout_ms=1")
    assert (conflict.code, conflict.exit_code) == ("edit_conflict", ExitCode.CONFLICT)
    text = str(conflict)
    assert "by bia: urgent" in text and "~ routes w priority: 0 -> 7" in text
    assert (tables(store).route("w").timeout_ms, tables(store).revision) == (2000, 3)


@pytest.mark.parametrize("fault", ["lost", "refused", "late"])
@pytest.mark.parametrize("writes_before", [0, 1])
def test_write_without_an_answer_is_read_back_and_done_once(store, fault, writes_before):
    store.faults = ["none"] * writes_before + [fault]
    assert run(store, "routes set w timeout_ms=5") == ExitCode.DONE
    store.deliver()
    assert (tables(store).route("w").timeout_ms, tables(store).revision) == (5, 3)


def test_conflict_with_own_late_write_counts_as_done(store):
    store.faults = ["none", "late", "deliver"]
    assert run(store, "routes set w timeout_ms=5") == ExitCode.DONE
    assert (tables(store).revision, tables(store).route("w").timeout_ms) == (3, 5)


def test_edit_that_took_effect_and_was_replaced_counts_as_done(store):
    async def other_edit():
        options = make_parser().parse_args(["routes", "set", "w", "priority=3"])
        await run_command(make_context(store, author="bia"), options)

    store.faults = ["none", other_edit]
    assert run(store, "routes set w timeout_ms=5") == ExitCode.DONE
    assert (tables(store).revision, tables(store).author) == (4, "bia")
    assert tables(store).route("w").timeout_ms == 5


def test_write_that_is_never_confirmed_is_reported_as_unknown(store):
    store.faults = ["none"] + ["late"] * 20
    unknown = error_of(store, "routes set w timeout_ms=5")
    assert unknown.exit_code == ExitCode.UNKNOWN
    edit_id = unknown.lines[1].split("edit id ")[1].split()[0]
    store.deliver()
    assert tables(store).edit_id == edit_id


def test_history_that_cannot_be_saved_stops_the_edit(store):
    store.faults = ["refused"] * 20
    assert error_of(store, "routes set w timeout_ms=5").exit_code == ExitCode.UNAVAILABLE
    assert tables(store).revision == 2


def test_unavailable_store_is_reported(store):
    store.down = True
    assert error_of(store, "routes show").exit_code == ExitCode.UNAVAILABLE


@pytest.mark.parametrize(
    "command, expected_text",
    [
        ("routes add x path_prefix=/x pool=none key_source=path:0", "a pool of the pools table"),
        ("routes set w timeout_ms=0", "a whole number from 1"),
        ("routes set w timeout_ms", "COLUMN=VALUE"),
        ("routes set w name=x", "not the name"),
        ("routes set x timeout_ms=1", "no such row; rows: w"),
        ("pools set janela buckets=128 --confirm-unsafe", "never accepted"),
        ("pools set janela data_centres=natal-1", "--confirm-unsafe"),
        ("pools remove janela --confirm-unsafe", "a pool of the pools table"),
        ("undo 9", "not in the history"),
    ],
)
def test_refused_edit_changes_nothing(store, command, expected_text):
    error = error_of(store, command)
    assert error.exit_code == ExitCode.REFUSED and expected_text in str(error)
    assert tables(store).revision == 2


def test_undo_is_a_new_revision_with_earlier_rows(store):
    run(store, "routes set w timeout_ms=5")
    run(store, "undo 2")
    assert (tables(store).revision, tables(store).route("w").timeout_ms) == (4, 2000)
    assert tables(store).note == "undo to revision 2"


def test_revisions_do_not_start_again_after_the_tables_object_is_lost(store):
    run(store, "routes set w timeout_ms=5")
    store.table.delete(TABLES_NAME)
    assert error_of(store, ADD_POOL).code == "tables_missing"
    run(store, "undo 3")
    assert (tables(store).revision, tables(store).route("w").timeout_ms) == (5, 5)


@pytest.mark.parametrize(
    "data, next_revision", [(b'{"revision": 9}', 10), (b"garbage", 5), (b'{"revision": 1}', 5)]
)
def test_corrupt_tables_are_replaced_by_an_earlier_revision(store, data, next_revision):
    run(store, "routes set w timeout_ms=5")
    store.table.put(TABLES_NAME, data, store.table.get(TABLES_NAME).version)
    lines = []
    assert run(store, "history", lines=lines) == ExitCode.DONE
    assert "missing or not valid" in lines[0]
    run(store, "undo 2")
    assert tables(store).revision == next_revision
    assert tables(store).route("w").timeout_ms == 2000


def test_unsafe_change_is_accepted_when_confirmed(store):
    run(store, "pools set janela data_centres=natal-1 --confirm-unsafe")
    assert tables(store).pool("janela").data_centres == ("natal-1",)


def test_corrupt_tables_are_reported_with_findings(store):
    current = store.table.get(TABLES_NAME)
    store.table.put(TABLES_NAME, b'{"revision": 3, "routes": 1}', current.version)
    error = error_of(store, "routes show")
    assert error.exit_code == ExitCode.REFUSED and "a list of rows" in str(error)
