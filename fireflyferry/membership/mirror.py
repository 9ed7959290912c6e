"""Mirror of the store's objects, and the changes that followers have not seen."""

from collections.abc import Iterator

from fireflyferry.edges import StoredObject, WatchBatch

__all__ = ["Mirror"]


class Mirror:
    """The newest known version of each object, in the order of arrival.

    Positions are local to this mirror: a follower that changes its relay starts again at 0.
    """

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._positions: dict[str, int] = {}
        self._sequence = 0

    @property
    def sequence(self) -> int:
        """Position of the newest change."""
        return self._sequence

    def get(self, name: str) -> StoredObject | None:
        """Return the newest known version of an object."""
        return self._objects.get(name)

    def apply(self, objects: tuple[StoredObject, ...]) -> list[StoredObject]:
        """Keep the objects that are newer than what is known, and return them.

        An older version never replaces a newer one, whichever relay it came from.
        """
        newer = [item for item in objects if self._is_newer(item)]
        for item in newer:
            self._sequence += 1
            self._objects[item.name] = item
            self._positions.pop(item.name, None)
            self._positions[item.name] = self._sequence
        return newer

    def changes_since(self, position: int) -> WatchBatch:
        """Return what changed after a position; everything if the position is not known."""
        if position > self._sequence:
            position = 0
        names = list(self._names_after(position))
        changes = tuple(self._objects[name] for name in reversed(names))
        return WatchBatch(self._sequence, changes, reset=position == 0)

    def _names_after(self, position: int) -> Iterator[str]:
        for name in reversed(self._positions):
            if self._positions[name] <= position:
                return
            yield name

    def _is_newer(self, item: StoredObject) -> bool:
        known = self._objects.get(item.name)
        return known is None or item.version > known.version
