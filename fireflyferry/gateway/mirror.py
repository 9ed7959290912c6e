"""Local replica of the store's documents, which also provides the changes for followers."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

import attrs

from fireflyferry.gateway.edges import Document, DocumentBatch
from fireflyferry.membership import Mirror

__all__ = ["DocumentMirror", "FeedChanges", "KindChanges"]

# Number of removals that are remembered, to send them to followers and to keep an older list from
# restoring a removed document.
MAX_REMOVED = 2_000

# A longer time without an answer means one of two things: the store is down and so acknowledges no
# change, or this VM is cut off from it and no limit on the age of data applies to this VM.
MAX_UNOBSERVED_S = 1.5

OnChange = Callable[[Mapping[str, Document]], None]


@attrs.frozen
class _Entry:
    """Newest state of one document; `document` is None after a removal."""

    kind: str
    document_name: str
    version: int
    document: Document | None

    @property
    def name(self) -> str:
        return f"{self.kind}/{self.document_name}"


@attrs.frozen
class KindChanges:
    """Changes of one kind, complete up to `position` in the store's history."""

    position: int
    documents: tuple[Document, ...] = ()
    removed: tuple[str, ...] = ()


@attrs.frozen
class FeedChanges:
    """Changes after a sequence number of a mirror.

    A snapshot holds all documents of each kind; documents that are missing in it were removed.
    """

    sequence: int
    is_snapshot: bool
    kinds: Mapping[str, KindChanges]


class DocumentMirror:
    """Newest known revision of each document; an older revision never replaces a newer one.

    The callback in `on_change` for a kind is called with all documents of the kind whenever one of
    them changed, and after the first list of the kind, also if that list is empty.
    """

    def __init__(self, on_change: Mapping[str, OnChange]):
        self._on_change = dict(on_change)
        self._entries: Mirror[_Entry] = Mirror()
        self._documents: dict[str, dict[str, Document]] = {}
        self._positions: dict[str, int] = {}
        self._known_before_s: dict[str, float] = {}
        self._complete_until_s: dict[str, float] = {}
        self._unobserved_s: dict[str, float] = {}
        self._removed: dict[str, None] = {}
        self._evicted_sequence = 0
        self._changed: asyncio.Future[None] | None = None

    @property
    def sequence(self) -> int:
        """Sequence number of the newest change."""
        return self._entries.sequence

    def position(self, kind: str) -> int | None:
        """Return the store's position up to which a kind is complete; None before a first list."""
        return self._positions.get(kind)

    def has_listed(self, kinds: Iterable[str]) -> bool:
        """Return whether all of these kinds were listed."""
        return all(kind in self._positions for kind in kinds)

    def documents(self, kind: str) -> Mapping[str, Document]:
        """Return the documents of a kind by name."""
        return self._documents.get(kind, {})

    def unobserved_s(self, kind: str) -> float:
        """Return for how many seconds a change of a kind may have gone unobserved.

        It is the time from the point up to which the previous answer was complete to the start of
        the last request, at most `MAX_UNOBSERVED_S`.
        """
        return self._unobserved_s.get(kind, 0.0)

    def on_answer(self, kind: str, requested_s: float, complete_s: float) -> None:
        """Record an answer to a request made at `requested_s`; it is complete up to `complete_s`.

        A watch reports each change at once, so only the time between two requests can hide one.
        Times are in seconds on the monotonic clock.
        """
        self._known_before_s[kind] = self.complete_until_s(kind)
        before_s = self._complete_until_s.get(kind, requested_s)
        self._unobserved_s[kind] = min(MAX_UNOBSERVED_S, max(0.0, requested_s - before_s))
        self._complete_until_s[kind] = complete_s

    def complete_until_s(self, kind: str) -> float:
        """Return up to when the data of a kind is complete; minus infinity if it is unknown."""
        return self._complete_until_s.get(kind, float("-inf"))

    def changed_after_s(self, kind: str) -> float:
        """Return a time before which nothing that the last answer changed can have changed."""
        return self._known_before_s.get(kind, float("-inf"))

    def replace(self, kind: str, listed: DocumentBatch) -> bool:
        """Apply a list of all documents of a kind.

        Known documents that are missing from the list are removed, unless they are newer than it.
        Returns whether anything changed.
        """
        present = {each.name for each in listed.documents}
        missing = (name for name in self.documents(kind) if name not in present)
        changes = KindChanges(listed.position, listed.documents, tuple(missing))
        return self.change(kind, changes)

    def change(self, kind: str, changes: KindChanges) -> bool:
        """Apply changes up to a position; return whether anything changed."""
        first_list = kind not in self._positions
        known = self._documents.setdefault(kind, {})
        self._positions[kind] = max(changes.position, self._positions.get(kind, 0))
        entries = [_Entry(kind, each.name, each.revision, each) for each in changes.documents]
        # A removal overrides every revision up to the position at which it was observed.
        entries += [_Entry(kind, name, changes.position, None) for name in changes.removed]
        applied = self._entries.apply(entries)
        for entry in applied:
            self._removed.pop(entry.name, None)
            if entry.document is not None:
                known[entry.document_name] = entry.document
            else:
                known.pop(entry.document_name, None)
                self._removed[entry.name] = None
        self._evict_removals()
        if applied or first_list:
            self._notify(kind)
        return bool(applied) or first_list

    def put(self, kind: str, document: Document) -> None:
        """Apply one document that came neither from a list nor from a watch."""
        self.change(kind, KindChanges(self._positions.get(kind, 0), (document,)))

    def changes_since(self, sequence: int) -> FeedChanges:
        """Return the changes after a sequence number.

        Returns a snapshot if the number is unknown, or if later removals were evicted.
        """
        is_snapshot = not self._evicted_sequence <= sequence <= self.sequence or sequence == 0
        entries = self._entries.newer_than(0 if is_snapshot else sequence)
        by_kind: dict[str, list[_Entry]] = {kind: [] for kind in self._positions}
        for entry in entries:
            by_kind[entry.kind].append(entry)
        kinds = {
            kind: KindChanges(
                self._positions[kind],
                tuple(each.document for each in found if each.document is not None),
                tuple(each.document_name for each in found if each.document is None),
            )
            for kind, found in by_kind.items()
        }
        return FeedChanges(self.sequence, is_snapshot, kinds)

    async def wait(self, sequence: int, timeout_s: float) -> None:
        """Wait for a change after a sequence number, for at most `timeout_s` seconds."""
        if self.sequence != sequence or timeout_s <= 0.0:
            return
        if self._changed is None:
            self._changed = asyncio.get_running_loop().create_future()
        await asyncio.wait([self._changed], timeout=timeout_s)

    def _notify(self, kind: str) -> None:
        changed, self._changed = self._changed, None
        if changed is not None:
            changed.set_result(None)
        on_change = self._on_change.get(kind)
        if on_change is not None:
            on_change(self.documents(kind))

    def _evict_removals(self) -> None:
        while len(self._removed) > MAX_REMOVED:
            name = next(iter(self._removed))
            del self._removed[name]
            self._entries.forget(name)
            self._evicted_sequence = self.sequence
