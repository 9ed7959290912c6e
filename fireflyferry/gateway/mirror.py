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

REVISION_BITS = 64  # the codec of messages allows no larger integers

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
    """Changes after a sequence number of a mirror, in one era of the store; None if unknown.

    A snapshot holds all documents of each kind; documents that are missing in it were removed.
    """

    sequence: int
    is_snapshot: bool
    kinds: Mapping[str, KindChanges]
    era: int | None = None


class DocumentMirror:
    """Newest known revision of each document; an older revision never replaces a newer one.

    Revisions are comparable within one era of the store only, so documents are ordered by the era
    in which they were read, or by the one in which they were written if `written_era` tells it for
    their kind, and then by their revision.

    The callback in `on_change` for a kind is called with all documents of the kind whenever one of
    them changed, and after the first list of the kind, also if that list is empty.
    """

    def __init__(
        self,
        on_change: Mapping[str, OnChange],
        written_era: Mapping[str, Callable[[Document], int | None]] | None = None,
    ):
        self._on_change = dict(on_change)
        self._written_era = dict(written_era or {})
        self._era: int | None = None
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

    @property
    def era(self) -> int | None:
        """The era of the store that the positions belong to; None if the store reports none."""
        return self._era

    def begin_era(self, era: int) -> None:
        """Forget all positions, since the store came back from a copy: each kind is listed again.

        The documents stay in use until then. Followers get a snapshot.
        """
        self._era = era
        self._positions.clear()
        self._evicted_sequence = self._entries.sequence

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

    def awaits_rewrites(self, kind: str) -> bool:
        """Return whether a kind was not listed since an era began, and had documents before.

        Their writers write them again after a moment.
        """
        return self._era is not None and kind not in self._positions and bool(self.documents(kind))

    def complete_until_s(self, kind: str) -> float:
        """Return up to when the data of a kind is complete; minus infinity if it is unknown."""
        return self._complete_until_s.get(kind, float("-inf"))

    def changed_after_s(self, kind: str) -> float:
        """Return a time before which nothing that the last answer changed can have changed."""
        return self._known_before_s.get(kind, float("-inf"))

    def replace(self, kind: str, listed: DocumentBatch, keeps_missing: bool = False) -> bool:
        """Apply a list of all documents of a kind.

        Known documents that are missing from the list are removed, unless they are newer than it
        or the list `keeps_missing` ones. Returns whether anything changed.
        """
        present = {each.name for each in listed.documents}
        missing = (
            name for name in self.documents(kind) if name not in present and not keeps_missing
        )
        changes = KindChanges(listed.position, listed.documents, tuple(missing))
        return self.change(kind, changes)

    def change(self, kind: str, changes: KindChanges) -> bool:
        """Apply changes up to a position; return whether anything changed."""
        first_list = kind not in self._positions
        known = self._documents.setdefault(kind, {})
        self._positions[kind] = max(changes.position, self._positions.get(kind, 0))
        entries = [
            _Entry(kind, each.name, self._version(kind, each), each) for each in changes.documents
        ]
        # A removal overrides every revision up to the position at which it was observed.
        removed_version = _version(self._era, changes.position)
        entries += [_Entry(kind, name, removed_version, None) for name in changes.removed]
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
            if entry.kind in by_kind:  # others were not listed in this era yet
                by_kind[entry.kind].append(entry)
        kinds = {
            kind: KindChanges(
                self._positions[kind],
                tuple(each.document for each in found if each.document is not None),
                tuple(each.document_name for each in found if each.document is None),
            )
            for kind, found in by_kind.items()
        }
        return FeedChanges(self.sequence, is_snapshot, kinds, self._era)

    async def wait(self, sequence: int, timeout_s: float) -> None:
        """Wait for a change after a sequence number, for at most `timeout_s` seconds."""
        if self.sequence != sequence or timeout_s <= 0.0:
            return
        if self._changed is None:
            self._changed = asyncio.get_running_loop().create_future()
        await asyncio.wait([self._changed], timeout=timeout_s)

    def _version(self, kind: str, document: Document) -> int:
        written_era = self._written_era.get(kind)
        era = written_era(document) if written_era is not None else self._era
        return _version(era, document.revision)

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


def _version(era: int | None, revision: int) -> int:
    """Return a number that orders revisions of all eras; no era precedes era 0."""
    return ((-1 if era is None else era) << REVISION_BITS) + revision
