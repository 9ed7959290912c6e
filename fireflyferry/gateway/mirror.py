"""Documents of the store as one VM knows them, kept in order for the VMs that follow it."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

import attrs

from fireflyferry.gateway.edges import Document, DocumentBatch
from fireflyferry.membership import Mirror

__all__ = ["DocumentMirror", "FeedChanges", "KindChanges"]

# Removed documents that are remembered, so that followers and older lists learn of the removal.
MAX_REMOVED = 2_000

# Longer silence is an outage of the store, in which it acknowledges no change; or this VM is cut
# off, and no bound holds for it.
MAX_UNOBSERVED_S = 1.5

OnChange = Callable[[Mapping[str, Document]], None]


@attrs.frozen
class _Entry:
    """One document; `document` is None once it was removed."""

    kind: str
    document_name: str
    version: int
    document: Document | None

    @property
    def name(self) -> str:
        return f"{self.kind}/{self.document_name}"


@attrs.frozen
class KindChanges:
    """Changes of one kind; `position` is that of the store up to which they are complete."""

    position: int
    documents: tuple[Document, ...] = ()
    removed: tuple[str, ...] = ()


@attrs.frozen
class FeedChanges:
    """Changes after a sequence number of a mirror; `whole` if they are all that it knows."""

    sequence: int
    is_snapshot: bool
    kinds: Mapping[str, KindChanges]


class DocumentMirror:
    """Newest known documents of each kind; a newer revision never gives way to an older one.

    `on_change` is called with all documents of a kind when one of them changed, and when the
    kind is known for the first time.
    """

    def __init__(self, on_change: Mapping[str, OnChange]):
        self._on_change = dict(on_change)
        self._entries: Mirror[_Entry] = Mirror()
        self._documents: dict[str, dict[str, Document]] = {}
        self._positions: dict[str, int] = {}
        self._complete_until_s: dict[str, float] = {}
        self._unobserved_s: dict[str, float] = {}
        self._removed: dict[str, None] = {}
        self._evicted_sequence = 0
        self._changed: asyncio.Future[None] | None = None

    @property
    def sequence(self) -> int:
        """Number of the newest change."""
        return self._entries.sequence

    def position(self, kind: str) -> int | None:
        """Return the store's position up to which a kind is known; None before its first list."""
        return self._positions.get(kind)

    def has_listed(self, kinds: Iterable[str]) -> bool:
        """Tell whether all of these kinds were listed."""
        return all(kind in self._positions for kind in kinds)

    def documents(self, kind: str) -> Mapping[str, Document]:
        """Return the documents of a kind by name."""
        return self._documents.get(kind, {})

    def unobserved_s(self, kind: str) -> float:
        """Return for how many seconds before its last change a kind may have changed unseen."""
        return self._unobserved_s.get(kind, 0.0)

    def on_answer(self, kind: str, requested_s: float, complete_s: float) -> None:
        """Note an answer to a question asked at `asked_s`, complete up to `complete_s`.

        A question that waits shows each change at once, so only the time before it counts.
        """
        before_s = self._complete_until_s.get(kind, requested_s)
        self._unobserved_s[kind] = min(MAX_UNOBSERVED_S, max(0.0, requested_s - before_s))
        self._complete_until_s[kind] = complete_s

    def replace(self, kind: str, listed: DocumentBatch) -> bool:
        """Take a list of all documents; those that it lacks and that are older are removed.

        Returns whether anything changed.
        """
        present = {each.name for each in listed.documents}
        missing = (name for name in self.documents(kind) if name not in present)
        changes = KindChanges(listed.position, listed.documents, tuple(missing))
        return self.change(kind, changes)

    def change(self, kind: str, changes: KindChanges) -> bool:
        """Take changes up to a position; returns whether anything changed."""
        first_list = kind not in self._positions
        known = self._documents.setdefault(kind, {})
        self._positions[kind] = max(changes.position, self._positions.get(kind, 0))
        entries = [_Entry(kind, each.name, each.revision, each) for each in changes.documents]
        # A removal is newer than every revision up to the position at which it was seen.
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
        """Take one document that was learned otherwise than from a list or a watch."""
        self.change(kind, KindChanges(self._positions.get(kind, 0), (document,)))

    def changes_since(self, sequence: int) -> FeedChanges:
        """Return what changed after a sequence number; everything if that is not known."""
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
        """Wait until there is a change after a sequence number, at most for a time in seconds."""
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
