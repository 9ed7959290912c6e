"""Edits of the tables in the store: one conditional update, with history and read-back."""

import datetime
import uuid
from collections.abc import Awaitable, Callable

import attrs

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

__all__ = ["Current", "TableEditor"]

ATTEMPTS = 6
PAUSE_S = 0.2


@attrs.frozen
class Current:
    """The tables as read, with the version and bytes of their object (version 0: none)."""

    tables: Tables
    version: int
    data: bytes = b""


def _utc_now() -> str:
    return datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def _load(name: str, data: bytes) -> Tables:
    try:
        return load_tables(data)
    except InvalidTablesError as error:
        lines = (f"{name} in the store is not valid:", *map(str, error.findings))
        raise OperatorError("invalid_tables", ExitCode.REFUSED, *lines) from error


class TableEditor:
    """Reads and edits the tables for one operator.

    Each edit is one update of `config/tables`, conditional on the version that was read. The
    revision that it replaces is first saved under `config/history/`, so a revision that is no
    longer in force can always be found there.
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

    async def read(self, restoring: bool = False) -> Current:
        """Read the tables in force.

        Raises StoreUnavailableError, or OperatorError when they are not valid, or missing although
        there is history; with `restoring`, missing tables count as empty.
        """
        stored = await self._store.get(TABLES_NAME)
        if stored is not None and stored.data is not None:
            return Current(_load(TABLES_NAME, stored.data), stored.version, stored.data)
        batch = await self._store.list(HISTORY_PREFIX)
        suffixes = (change.name.removeprefix(HISTORY_PREFIX) for change in batch.changes)
        latest = max((int(text) for text in suffixes if text.isdecimal()), default=0)
        if latest and not restoring:
            raise OperatorError(
                "tables_missing",
                ExitCode.REFUSED,
                f"{TABLES_NAME} is missing, but revisions up to {latest} are in the history.",
                f"Restore one of them with: fireflyferryctl undo {latest}",
            )
        # The lost revision was the one after the latest in the history, and must not be reused.
        return Current(Tables(revision=latest + 1 if latest else 0), 0)

    async def read_revision(self, current: Current, revision: int) -> Tables | None:
        """Read a revision from the history, or the one in force; None if there is none."""
        if current.version and current.tables.revision == revision:
            return current.tables
        stored = await self._store.get(history_name(revision))
        if stored is None or stored.data is None:
            return None
        return _load(stored.name, stored.data)

    def prepare(
        self, current: Current, edited: Tables, author: str, note: str, confirmed: bool
    ) -> Tables:
        """Return the next revision after checking it.

        Raises OperatorError when it is not valid or is unsafe and not confirmed.
        """
        new = next_revision(current.tables, edited, author, note)
        new = attrs.evolve(new, edit_id=self._new_id(), edited_at=self._now())
        if findings := validate(new):
            lines = ("The edit is not valid; nothing was changed:", *map(str, findings))
            raise OperatorError("invalid_tables", ExitCode.REFUSED, *lines)
        unsafe = unsafe_changes(current.tables, new)
        blocking = [each for each in unsafe if not (confirmed and each.confirmable)]
        if blocking:
            lines = ["The edit is unsafe while requests flow; nothing was changed:"]
            lines.extend(map(str, blocking))
            if all(each.confirmable for each in blocking):
                lines.append("Repeat with --confirm-unsafe to accept the consequences.")
            raise OperatorError("unsafe_edit", ExitCode.REFUSED, *lines)
        return new

    async def commit(self, current: Current, new: Tables) -> None:
        """Write a revision made by `prepare`.

        Raises OperatorError for a lost race, an unavailable store or an unknown outcome.
        """
        await self._save_history(current)
        data, sent = encode(new), False
        for attempt in range(ATTEMPTS):
            if attempt:
                await self._pause(PAUSE_S * 2**attempt)
            try:
                # The same conditional write may be sent again: at most one of them takes effect,
                # and reading the old version does not prove that the first one never arrives.
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
        raise self._unknown(new)

    async def _save_history(self, current: Current) -> None:
        """Save the revision in force; every author writes the same bytes."""
        if not current.version:
            return
        name = history_name(current.tables.revision)
        for attempt in range(ATTEMPTS):
            if attempt:
                await self._pause(PAUSE_S * 2**attempt)
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
                f"{name} in the store is not the revision in force; the tables were not changed.",
            )
        return stored is not None

    async def _resolve_conflict(self, current: Current, new: Tables) -> bool:
        """Return whether the edit took effect earlier; raises OperatorError if it lost a race."""
        for attempt in range(ATTEMPTS):
            if attempt:
                await self._pause(PAUSE_S * 2**attempt)
            try:
                return await self._took_effect(current, new)
            except StoreUnavailableError:
                continue
        raise self._unknown(new)

    async def _took_effect(self, current: Current, new: Tables) -> bool:
        """Return whether the edit is in force or was; False if nothing has been written yet.

        Raises OperatorError when another edit was accepted instead.
        """
        stored = await self._store.get(TABLES_NAME)
        if (stored.version if stored else 0) == current.version:
            return False
        if stored is None or stored.data is None:
            raise self._unknown(new)
        latest = _load(TABLES_NAME, stored.data)
        accepted: Tables | None = latest
        if latest.revision != new.revision:
            accepted = await self.read_revision(Current(latest, stored.version), new.revision)
        if accepted is None:
            raise self._unknown(new)
        if accepted.edit_id == new.edit_id:
            return True
        raise self._conflict(current.tables, latest)

    def _conflict(self, base: Tables, other: Tables) -> OperatorError:
        changes = [str(change) for change in diff_tables(base, other)] or ["no row differs"]
        return OperatorError(
            "edit_conflict",
            ExitCode.CONFLICT,
            f"Another edit was accepted first; yours changed nothing. Revision {other.revision} "
            f"by {other.author or 'unknown'}: {other.note or 'no note'}",
            f"Changes from revision {base.revision} to {other.revision}:",
            *changes,
            "Look at them and repeat your edit.",
        )

    def _unknown(self, new: Tables) -> OperatorError:
        return OperatorError(
            "outcome_unknown",
            ExitCode.UNKNOWN,
            f"The store did not say whether revision {new.revision} was written, and it may still "
            "take effect.",
            f"Look for edit id {new.edit_id} with: fireflyferryctl history",
        )
