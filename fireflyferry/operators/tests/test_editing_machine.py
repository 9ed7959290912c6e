"""Guards against accepted edits that are lost and revisions that repeat or go back.

Several operators run real commands whose store calls are interleaved by hypothesis, with calls
that fail, writes whose answer is lost, and writes that take effect late.
"""

import contextlib
from functools import partial

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from fireflyferry.edges import ObjectStore, StoreUnavailableError, VersionConflictError
from fireflyferry.messages import encode
from fireflyferry.operators.arguments import make_parser
from fireflyferry.operators.context import Context
from fireflyferry.operators.editing import TableEditor
from fireflyferry.operators.errors import ExitCode, OperatorError
from fireflyferry.operators.main import run_command
from fireflyferry.standins.platform_table import ObjectTable
from fireflyferry.tables import (
    HISTORY_PREFIX,
    TABLES_NAME,
    diff_tables,
    history_name,
    load_tables,
)

MAX_OPERATORS = 4
CHOICES = st.integers(0, MAX_OPERATORS - 1)
FAULTS = st.sampled_from(["none", "none", "refused", "lost", "late"])
ROWS = ("janela", "reserva")
PARSER = make_parser()


class Call:
    """A store call that waits until the machine carries it out."""

    def __init__(self, operation, *arguments):
        self.operation, self.arguments = operation, arguments

    def __await__(self):
        return (yield self)


class SteppedStore(ObjectStore):
    async def get(self, name):
        return await Call("get", name)

    async def put(self, name, data, expected_version):
        return await Call("put", name, data, expected_version)

    async def list(self, prefix):
        return await Call("list", prefix)

    async def watch(self, prefixes, since, timeout_s):
        raise NotImplementedError


async def stepped_pause(seconds):
    await Call("pause")


class EditingMachine(RuleBasedStateMachine):
    editor_class = TableEditor

    def __init__(self):
        super().__init__()
        self.table = ObjectTable()
        self.running = {}
        self.late = []
        self.accepted = []
        self.results = {}
        self.count = 0
        for name in ROWS:
            self.command(f"setup-{name}", f"pools add {name} data_centres=natal-1")
            self.run_to_end(0)

    def command(self, author, text):
        options = PARSER.parse_args(text.split())
        context = Context(SteppedStore(), None, None, author, len, stepped_pause, self.editor_class)
        coroutine = run_command(context, options)
        self.running[author] = (coroutine, coroutine.send(None))

    @precondition(lambda self: len(self.running) < MAX_OPERATORS)
    @rule(row=st.sampled_from(ROWS))
    def start_edit(self, row):
        self.count += 1
        self.command(f"edit-{self.count}", f"pools set {row} queue_length={self.count}")

    @precondition(lambda self: len(self.running) < MAX_OPERATORS)
    @rule(back=st.integers(1, 3))
    def start_undo(self, back):
        revision = load_tables(self.table.get(TABLES_NAME).data).revision - back
        if revision > 1:
            self.count += 1
            self.command(f"undo-{self.count}", f"undo {revision}")

    @precondition(lambda self: self.running)
    @rule(choice=CHOICES, fault=FAULTS)
    def step(self, choice, fault):
        author = sorted(self.running)[choice % len(self.running)]
        coroutine, call = self.running.pop(author)
        try:
            result = self.perform(call, fault)
        except (StoreUnavailableError, VersionConflictError) as error:
            self.resume(author, coroutine, partial(coroutine.throw, error))
        else:
            self.resume(author, coroutine, partial(coroutine.send, result))

    @precondition(lambda self: self.running)
    @rule(choice=CHOICES, faults=st.lists(FAULTS, max_size=10))
    def run_to_end(self, choice, faults=()):
        """Run one operator alone, with faults of its next writes."""
        remaining = list(faults)
        author = sorted(self.running)[choice % len(self.running)]
        while author in self.running:
            is_write = self.running[author][1].operation == "put"
            fault = remaining.pop(0) if is_write and remaining else "none"
            self.step(sorted(self.running).index(author), fault)

    @rule()
    def deliver_late_write(self):
        if self.late:
            with contextlib.suppress(VersionConflictError):
                self.write(*self.late.pop(0))

    def perform(self, call, fault):
        if call.operation == "pause":
            return None
        if fault == "refused":
            raise StoreUnavailableError(fault)
        if call.operation != "put":
            return getattr(self.table, call.operation)(*call.arguments)
        if fault == "late":
            self.late.append(call.arguments)
            raise StoreUnavailableError(fault)
        version = self.write(*call.arguments)
        if fault == "lost":
            raise StoreUnavailableError(fault)
        return version

    def write(self, name, data, expected_version):
        version = self.table.put(name, data, expected_version)
        if name == TABLES_NAME:
            self.accepted.append((load_tables(data), data))
        return version

    def resume(self, author, coroutine, action):
        try:
            self.running[author] = (coroutine, action())
        except StopIteration as stop:
            self.results[author] = ExitCode(stop.value)
        except OperatorError as error:
            self.results[author] = error.exit_code

    @invariant()
    def revisions_are_consecutive(self):
        revisions = [tables.revision for tables, _ in self.accepted]
        assert revisions == list(range(1, len(revisions) + 1))

    @invariant()
    def each_edit_keeps_the_edits_before_it(self):
        for (before, _), (after, _) in zip(self.accepted, self.accepted[1:], strict=False):
            if after.author.startswith("edit-"):
                changes = diff_tables(before, after)
                assert [change.after for change in changes] == [after.author[5:]]

    @invariant()
    def results_are_true(self):
        authors = {tables.author for tables, _ in self.accepted}
        for author, result in self.results.items():
            if result == ExitCode.DONE and author.startswith("edit-"):
                assert author in authors
            if result in (ExitCode.CONFLICT, ExitCode.UNAVAILABLE, ExitCode.REFUSED):
                assert author not in authors

    @invariant()
    def history_has_only_accepted_revisions(self):
        accepted = {history_name(tables.revision): data for tables, data in self.accepted}
        for kept in self.table.list(HISTORY_PREFIX).changes:
            assert accepted.get(kept.name) == kept.data

    @invariant()
    def replaced_revisions_are_in_the_history(self):
        for tables, data in self.accepted[:-1]:
            kept = self.table.get(history_name(tables.revision))
            assert kept is not None and kept.data == data

    def teardown(self):
        while self.running:
            self.run_to_end(0)
        while self.late:
            self.deliver_late_write()
        self.revisions_are_consecutive()
        self.each_edit_keeps_the_edits_before_it()
        self.results_are_true()
        self.history_has_only_accepted_revisions()
        self.replaced_revisions_are_in_the_history()


TestEditingMachine = EditingMachine.TestCase


class AssumesUnknownIsLost(TableEditor):
    async def _took_effect(self, current, new):
        raise OperatorError("store_unavailable", ExitCode.UNAVAILABLE)


class AssumesUnknownIsDone(TableEditor):
    async def _took_effect(self, current, new):
        return True


class SavesNoHistory(TableEditor):
    async def _save_history(self, current):
        pass


class IgnoresTheVersionRead(TableEditor):
    async def commit(self, current, new):
        stored = await self._store.get(TABLES_NAME)
        with contextlib.suppress(VersionConflictError):
            await self._store.put(TABLES_NAME, encode(new), stored.version if stored else 0)
            return
        raise self._outcome_unknown_error(new)


@pytest.mark.parametrize(
    "broken",
    [
        AssumesUnknownIsLost,
        AssumesUnknownIsDone,
        SavesNoHistory,
        IgnoresTheVersionRead,
    ],
)
def test_machine_finds_a_removed_guard(broken):
    machine = type("Broken", (EditingMachine,), {"editor_class": broken})
    options = settings(max_examples=300, phases=(Phase.generate,))
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=options)
