"""Guards against accepted edits that are lost and revisions that repeat or go back.

Several operators run the program's commands at the same time, and hypothesis chooses the order of
their store calls. Calls fail, answers to writes are lost, and writes take effect late.
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
OPERATOR_INDEXES = st.integers(0, MAX_OPERATORS - 1)
FAULTS = st.sampled_from(["none", "none", "refused", "lost", "late"])
ROWS = ("janela", "reserva")
PARSER = make_parser()


class Call:
    """A store call that waits until the state machine carries it out."""

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
        self.late_writes = []
        self.accepted_writes = []
        self.exit_codes = {}
        self.edit_count = 0
        for name in ROWS:
            self.start_command(f"setup-{name}", f"pools add {name} data_centres=natal-1")
            self.run_to_end(0)

    def start_command(self, author, text):
        options = PARSER.parse_args(text.split())
        context = Context(SteppedStore(), None, None, author, len, stepped_pause, self.editor_class)
        coroutine = run_command(context, options)
        self.running[author] = (coroutine, coroutine.send(None))

    @precondition(lambda self: len(self.running) < MAX_OPERATORS)
    @rule(row=st.sampled_from(ROWS))
    def start_edit(self, row):
        self.edit_count += 1
        self.start_command(
            f"edit-{self.edit_count}", f"pools set {row} queue_length={self.edit_count}"
        )

    @precondition(lambda self: len(self.running) < MAX_OPERATORS)
    @rule(back=st.integers(1, 3))
    def start_undo(self, back):
        revision = load_tables(self.table.get(TABLES_NAME).data).revision - back
        if revision > 1:
            self.edit_count += 1
            self.start_command(f"undo-{self.edit_count}", f"undo {revision}")

    @precondition(lambda self: self.running)
    @rule(choice=OPERATOR_INDEXES, fault=FAULTS)
    def step(self, choice, fault):
        author = sorted(self.running)[choice % len(self.running)]
        coroutine, call = self.running.pop(author)
        try:
            result = self.perform_call(call, fault)
        except (StoreUnavailableError, VersionConflictError) as error:
            self.resume_command(author, coroutine, partial(coroutine.throw, error))
        else:
            self.resume_command(author, coroutine, partial(coroutine.send, result))

    @precondition(lambda self: self.running)
    @rule(choice=OPERATOR_INDEXES, faults=st.lists(FAULTS, max_size=10))
    def run_to_end(self, choice, faults=()):
        """Run one operator's command to its end, with faults in its next writes."""
        remaining = list(faults)
        author = sorted(self.running)[choice % len(self.running)]
        while author in self.running:
            is_write = self.running[author][1].operation == "put"
            fault = remaining.pop(0) if is_write and remaining else "none"
            self.step(sorted(self.running).index(author), fault)

    @rule()
    def deliver_late_write(self):
        if self.late_writes:
            with contextlib.suppress(VersionConflictError):
                self.write(*self.late_writes.pop(0))

    def perform_call(self, call, fault):
        if call.operation == "pause":
            return None
        if fault == "refused":
            raise StoreUnavailableError(fault)
        if call.operation != "put":
            return getattr(self.table, call.operation)(*call.arguments)
        if fault == "late":
            self.late_writes.append(call.arguments)
            raise StoreUnavailableError(fault)
        version = self.write(*call.arguments)
        if fault == "lost":
            raise StoreUnavailableError(fault)
        return version

    def write(self, name, data, expected_version):
        version = self.table.put(name, data, expected_version)
        if name == TABLES_NAME:
            self.accepted_writes.append((load_tables(data), data))
        return version

    def resume_command(self, author, coroutine, action):
        try:
            self.running[author] = (coroutine, action())
        except StopIteration as stop:
            self.exit_codes[author] = ExitCode(stop.value)
        except OperatorError as error:
            self.exit_codes[author] = error.exit_code

    @invariant()
    def revisions_are_consecutive(self):
        revisions = [tables.revision for tables, _ in self.accepted_writes]
        assert revisions == list(range(1, len(revisions) + 1))

    @invariant()
    def each_edit_keeps_the_edits_before_it(self):
        for (before, _), (after, _) in zip(
            self.accepted_writes, self.accepted_writes[1:], strict=False
        ):
            if after.author.startswith("edit-"):
                changes = diff_tables(before, after)
                assert [change.after for change in changes] == [after.author[5:]]

    @invariant()
    def exit_codes_agree_with_accepted_edits(self):
        authors = {tables.author for tables, _ in self.accepted_writes}
        for author, result in self.exit_codes.items():
            if result == ExitCode.DONE and author.startswith("edit-"):
                assert author in authors
            if result in (ExitCode.CONFLICT, ExitCode.UNAVAILABLE, ExitCode.REFUSED):
                assert author not in authors

    @invariant()
    def history_has_only_accepted_revisions(self):
        accepted = {history_name(tables.revision): data for tables, data in self.accepted_writes}
        for saved in self.table.list(HISTORY_PREFIX).changes:
            assert accepted.get(saved.name) == saved.data

    @invariant()
    def replaced_revisions_are_in_the_history(self):
        for tables, data in self.accepted_writes[:-1]:
            saved = self.table.get(history_name(tables.revision))
            assert saved is not None and saved.data == data

    def teardown(self):
        while self.running:
            self.run_to_end(0)
        while self.late_writes:
            self.deliver_late_write()
        self.revisions_are_consecutive()
        self.each_edit_keeps_the_edits_before_it()
        self.exit_codes_agree_with_accepted_edits()
        self.history_has_only_accepted_revisions()
        self.replaced_revisions_are_in_the_history()


TestEditingMachine = EditingMachine.TestCase


class AssumesUnknownOutcomeFailed(TableEditor):
    async def _took_effect(self, current, new):
        raise OperatorError("store_unavailable", ExitCode.UNAVAILABLE)


class AssumesUnknownOutcomeSucceeded(TableEditor):
    async def _took_effect(self, current, new):
        return True


class SavesNoHistory(TableEditor):
    async def _save_history(self, current):
        pass


class IgnoresReadVersion(TableEditor):
    async def commit(self, current, new):
        stored = await self._store.get(TABLES_NAME)
        with contextlib.suppress(VersionConflictError):
            await self._store.put(TABLES_NAME, encode(new), stored.version if stored else 0)
            return
        raise self._outcome_unknown_error(new)


@pytest.mark.parametrize(
    "broken",
    [
        AssumesUnknownOutcomeFailed,
        AssumesUnknownOutcomeSucceeded,
        SavesNoHistory,
        IgnoresReadVersion,
    ],
)
def test_machine_detects_a_broken_editor(broken):
    machine = type("Broken", (EditingMachine,), {"editor_class": broken})
    options = settings(max_examples=300, phases=(Phase.generate,))
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=options)
