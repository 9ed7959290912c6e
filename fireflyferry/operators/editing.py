"""Edits of the tables in the store: conditional writes with a history.

A write with an unknown outcome is checked by reading the tables again.
"""

import contextlib
import datetime
import uuid
from collections.abc import Awaitable, Callable

import attrs
import orjson

from fireflyferry.edges import ObjectStore, StoreUnavailableError, VersionConflictError
from fireflyferry.messages import encode
from fireflyferry.operators.errors import ExitCode, OperatorError
from fireflyferry.tables import (
    HISTORY_PREFIX,
    TABLES_NAME,
    InvalidTablesError,
    Tables,
    diff_tables,
    history_name,
    load_tables,
    next_revision,
    unsafe_changes,
    validate,
)

__all__ = ["CurrentTables", "TableEditor"]

MAX_ATTEMPTS = 6
BACKOFF_S = 0.2
# Above this, numbers in JSON lose precision in many programs.
MAX_REVISION = 2**53


@attrs.frozen
class CurrentTables:
    """The tables as read, with the version and bytes of their store object (version 0: no object).

    `damaged` is set if the object is missing or not valid, and `tables` come from the history.
    """

    tables: Tables
    version: int
    data: bytes = b""
    damaged: bool = False


def _utc_now() -> str:
    return datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def _load(name: str, data: bytes) -> Tables:
    try:
        return load_tables(data)
    except InvalidTablesError as error:
        lines = (f"{name} in the store is not valid:", *map(str, error.findings))
        raise OperatorError("invalid_tables", ExitCode.REFUSED, *lines) from error


def _load_or_none(data: bytes) -> Tables | None:
    try:
        return load_tables(data)
    except InvalidTablesError:
        return None


def _raw_revision(data: bytes) -> int:
    """Return the revision in tables that are not valid; 0 if it cannot be read."""
    try:
        revision = orjson.loads(data)["revision"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return 0
    return revision if type(revision) is int and 0 <= revision < MAX_REVISION else 0


class TableEditor:
    """Reads and edits the tables for one operator.

    Each edit is one update of `config/tables`, conditional on the version that was read. The
    revision that it replaces is first saved under `config/history/`, so a revision that is no
    longer in force can always be found there. The new revision is saved there too if the store
    answers.
    """

    def __init__(
        self,
        store: ObjectStore,
        pause: Callable[[float], Awaitable[None]],
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
        now: Callable[[], str] = _utc_now,
    ):
        self._store = store
        self._pause = pause
        self._new_id = new_id
        self._now = now

    async def read(self, restoring: bool = False) -> CurrentTables:
        """Read the tables in force.

        With `restoring`, tables that are missing or not valid are replaced by the rows of the
        latest valid revision in the history, and the result is marked `damaged`. Its revision
        number follows the latest in the history, or is that of the damaged tables if that is
        higher. Without `restoring`, such tables are an error.

        Raises StoreUnavailableError or OperatorError.
        """
        stored = await self._store.get(TABLES_NAME)
        if stored is not None and stored.data is not None:
            try:
                return CurrentTables(_load(TABLES_NAME, stored.data), stored.version, stored.data)
            except OperatorError:
                if not restoring:
                    raise
                return await self._read_from_history(stored.version, stored.data)
        current = await self._read_from_history(0, b"")
        latest = current.tables.revision - 1
        if latest > 0 and not restoring:
            raise OperatorError(
                "tables_missing",
                ExitCode.REFUSED,
                f"{TABLES_NAME} is missing, but revisions up to {latest} are in the history.",
                f"Restore one of them with: fireflyferryctl undo {latest}",
            )
        return current if latest > 0 else CurrentTables(Tables(), 0)

    async def _read_from_history(self, version: int, data: bytes) -> CurrentTables:
        history: dict[int, Tables | None] = {}
        for item in (await self._store.list(HISTORY_PREFIX)).changes:
            suffix = item.name.removeprefix(HISTORY_PREFIX)
            if suffix.isdecimal() and item.data is not None:
                history[int(suffix)] = _load_or_none(item.data)
        valid = [revision for revision, tables in history.items() if tables is not None]
        base = history[max(valid)] if valid else Tables()
        # The lost revision may be later than the latest one in the history, and its number must not
        # be used again.
        revision = max(max(history, default=0) + 1, _raw_revision(data))
        return CurrentTables(attrs.evolve(base, revision=revision), version, data, damaged=True)

    async def read_revision(self, current: CurrentTables, revision: int) -> Tables | None:
        """Return the revision in force or one from the history; None if it is in neither.

        Raises StoreUnavailableError, or OperatorError if the saved revision is not valid.
        """
        if current.version and not current.damaged and current.tables.revision == revision:
            return current.tables
        stored = await self._store.get(history_name(revision))
        if stored is None or stored.data is None:
            return None
        return _load(stored.name, stored.data)

    def prepare(
        self, current: CurrentTables, edited: Tables, author: str, note: str, confirmed: bool
    ) -> Tables:
        """Return the next revision after checking it.

        Raises OperatorError when it is not valid, or has unsafe changes that are not `confirmed` or
        cannot be confirmed.
        """
        new = next_revision(current.tables, edited, author, note)
        new = attrs.evolve(new, edit_id=self._new_id(), edited_at=self._now())
        if findings := validate(new):
            lines = ("The edit is not valid; nothing was changed:", *map(str, findings))
            raise OperatorError("invalid_tables", ExitCode.REFUSED, *lines)
        unsafe = unsafe_changes(current.tables, new)
        blocking = [each for each in unsafe if not (confirmed and each.confirmable)]
        if blocking:
            lines = ["The edit is unsafe while requests are served; nothing was changed:"]
            lines.extend(map(str, blocking))
            if all(each.confirmable for each in blocking):
                lines.append("Repeat with --confirm-unsafe to accept the consequences.")
            raise OperatorError("unsafe_edit", ExitCode.REFUSED, *lines)
        return new

    async def commit(self, current: CurrentTables, new: Tables) -> None:
        """Write a revision made by `prepare`.

        Raises OperatorError for an edit conflict, an unavailable store or an unknown outcome.
        """
        await self._save_history(current)
        data = encode(new)
        await self._write(current, new, data)
        # The next edit would save this revision too. Saving it now keeps a copy in case the tables
        # object is lost or overwritten by another program before that.
        with contextlib.suppress(StoreUnavailableError, VersionConflictError):
            await self._store.put(history_name(new.revision), data, 0)

    async def _write(self, current: CurrentTables, new: Tables, data: bytes) -> None:
        sent = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self._pause(BACKOFF_S * 2**attempt)
            try:
                # Sending the same conditional write again is safe: at most one of them takes
                # effect. Reading the old version does not prove that an earlier write is lost,
                # because it may still take effect later.
                if sent and await self._took_effect(current, new):
                    return
                sent = True
                await self._store.put(TABLES_NAME, data, current.version)
                return
            except VersionConflictError:
                if await self._resolve_conflict(current, new):
                    return
            except StoreUnavailableError:
                continue
        raise self._outcome_unknown_error(new)

    async def _save_history(self, current: CurrentTables) -> None:
        """Save the revision in force in the history; concurrent edits write the same bytes."""
        if not current.version:
            return
        name = history_name(current.tables.revision)
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self._pause(BACKOFF_S * 2**attempt)
            try:
                await self._store.put(name, current.data, 0)
                return
            except VersionConflictError:
                if await self._check_history(name, current.data):
                    return
            except StoreUnavailableError:
                continue
        raise OperatorError(
            "store_unavailable",
            ExitCode.UNAVAILABLE,
            f"The store did not confirm {name}; the tables were not changed.",
        )

    async def _check_history(self, name: str, data: bytes) -> bool:
        try:
            stored = await self._store.get(name)
        except StoreUnavailableError:
            return False
        if stored is not None and stored.data != data:
            raise OperatorError(
                "history_differs",
                ExitCode.REFUSED,
                f"{name} in the store differs from the revision in force; nothing was changed.",
            )
        return stored is not None

    async def _resolve_conflict(self, current: CurrentTables, new: Tables) -> bool:
        """Return whether the edit took effect although a write met a version conflict.

        Raises OperatorError when another edit was accepted instead or the outcome is unknown.
        """
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self._pause(BACKOFF_S * 2**attempt)
            try:
                return await self._took_effect(current, new)
            except StoreUnavailableError:
                continue
        raise self._outcome_unknown_error(new)

    async def _took_effect(self, current: CurrentTables, new: Tables) -> bool:
        """Return whether the edit took effect; False while the store has the version that was read.

        Raises OperatorError when another edit was accepted instead or the outcome is unknown.
        """
        stored = await self._store.get(TABLES_NAME)
        if (stored.version if stored else 0) == current.version:
            return False
        if stored is None or stored.data is None:
            raise self._outcome_unknown_error(new)
        latest = _load_or_none(stored.data)
        if latest is None:
            raise self._outcome_unknown_error(new)
        accepted: Tables | None = latest
        if latest.revision != new.revision:
            accepted = await self.read_revision(CurrentTables(latest, stored.version), new.revision)
        if accepted is None:
            raise self._outcome_unknown_error(new)
        if accepted.edit_id == new.edit_id:
            return True
        raise self._edit_conflict_error(current.tables, latest)

    def _edit_conflict_error(self, base: Tables, other: Tables) -> OperatorError:
        changes = [str(change) for change in diff_tables(base, other)] or ["no row differs"]
        return OperatorError(
            "edit_conflict",
            ExitCode.CONFLICT,
            f"Another edit was accepted first; yours changed nothing. Revision {other.revision} "
            f"by {other.author or 'unknown'}: {other.note or 'no note'}",
            f"Changes from revision {base.revision} to {other.revision}:",
            *changes,
            "Review them, then repeat your edit.",
        )

    def _outcome_unknown_error(self, new: Tables) -> OperatorError:
        return OperatorError(
            "outcome_unknown",
            ExitCode.UNKNOWN,
            f"The store did not confirm revision {new.revision}; it may have been written, or may "
            "still take effect.",
            f"Look for edit id {new.edit_id} with: fireflyferryctl history",
        )
