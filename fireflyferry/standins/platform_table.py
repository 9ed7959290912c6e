"""In-memory object table with versions, conditional writes and a change log."""

import collections

import attrs

from fireflyferry.edges.base import StoredObject, VersionConflictError, WatchBatch
from fireflyferry.errors import FireflyferryError

__all__ = ["MAX_VALUE_BYTES", "ObjectTable", "ValueTooLargeError"]

MAX_VALUE_BYTES = 1_000_000  # limit of the real platform, see section 1 of the design page


class ValueTooLargeError(FireflyferryError):
    """A value is larger than the store accepts."""

    code = "value_too_large"


@attrs.define
class ObjectTable:
    """Objects by name; an object's version is the global sequence number of its last write.

    Versions are never reused, so a condition on an old version fails after an object was deleted
    and created again. The change log is limited in changes and in bytes of values; a watch from a
    position that the log no longer covers gets a full listing marked `reset`.
    """

    max_log_changes: int = 10_000
    max_log_bytes: int = 64_000_000
    max_batch_changes: int = 1_000
    max_batch_bytes: int = 8_000_000
    _objects: dict[str, StoredObject] = attrs.field(factory=dict, init=False)
    _log: collections.deque[StoredObject] = attrs.field(factory=collections.deque, init=False)
    _log_bytes: int = attrs.field(default=0, init=False)
    _sequence: int = attrs.field(default=0, init=False)
    _log_start: int = attrs.field(default=0, init=False)

    @property
    def sequence(self) -> int:
        """Sequence number of the latest change."""
        return self._sequence

    def get(self, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        return self._objects.get(name)

    def put(self, name: str, data: bytes, expected_version: int) -> int:
        """Write an object if it has the expected version (0: it does not exist).

        Returns the new version. Raises VersionConflictError or ValueTooLargeError.
        """
        if len(data) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(f"{name}: {len(data)} bytes, allowed {MAX_VALUE_BYTES}")
        self._check_version(name, expected_version)
        return self._record_change(name, data)

    def delete(self, name: str, expected_version: int | None = None) -> int | None:
        """Delete an object, if it has the expected version when that is given.

        Returns the version of the deletion, or None if the object does not exist. Raises
        VersionConflictError.
        """
        if expected_version is not None:
            self._check_version(name, expected_version)
        return self._record_change(name, None) if name in self._objects else None

    def list(self, prefix: str) -> WatchBatch:
        """List the objects under a prefix, sorted by name."""
        return self._listing((prefix,))

    def changes(self, prefixes: tuple[str, ...], since: int) -> WatchBatch:
        """Return the changes after a position, oldest first, or a full listing.

        A listing replaces the changes if the log does not cover the position. A batch that reaches
        a limit ends early; the next call continues from its `sequence`.
        """
        if since < self._log_start or since > self._sequence:
            return self._listing(prefixes)
        found: list[StoredObject] = []
        size_bytes = 0
        for change in self._changes_after(since):
            if not change.name.startswith(prefixes):
                continue
            size_bytes += len(change.data or b"")
            if found and (
                len(found) >= self.max_batch_changes or size_bytes > self.max_batch_bytes
            ):
                return WatchBatch(found[-1].version, tuple(found))
            found.append(change)
        return WatchBatch(self._sequence, tuple(found))

    def _changes_after(self, since: int):
        # The log holds consecutive sequence numbers, so the offset follows from the position.
        for offset in range(since - self._log_start, len(self._log)):
            yield self._log[offset]

    def _listing(self, prefixes: tuple[str, ...]) -> WatchBatch:
        found = (item for name, item in self._objects.items() if name.startswith(prefixes))
        return WatchBatch(
            self._sequence, tuple(sorted(found, key=lambda item: item.name)), reset=True
        )

    def _check_version(self, name: str, expected_version: int) -> None:
        current = self._objects.get(name)
        version = current.version if current else 0
        if version != expected_version:
            raise VersionConflictError(f"{name} has version {version}, not {expected_version}")

    def _record_change(self, name: str, data: bytes | None) -> int:
        self._sequence += 1
        change = StoredObject(name, self._sequence, data)
        if data is None:
            del self._objects[name]
        else:
            self._objects[name] = change
        self._log.append(change)
        self._log_bytes += len(data or b"")
        while len(self._log) > self.max_log_changes or self._log_bytes > self.max_log_bytes:
            dropped = self._log.popleft()
            self._log_bytes -= len(dropped.data or b"")
            self._log_start = dropped.version
        return self._sequence
