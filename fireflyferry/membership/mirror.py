"""In-memory copy of the store's objects, and the changes that a follower has not received."""

from collections.abc import Iterable, Iterator
from typing import Generic, Protocol, TypeVar

from fireflyferry.edges import StoredObject, WatchBatch

__all__ = ["Mirror", "ObjectMirror", "Versioned"]


class Versioned(Protocol):
    """A named object with a version that increases with each change."""

    @property
    def name(self) -> str:
        """Name of the object, the same in all versions."""

    @property
    def version(self) -> int:
        """Version of the object."""


T = TypeVar("T", bound=Versioned)


class Mirror(Generic[T]):
    """The newest known version of each object, in the order of arrival.

    Each change gets a position in this order. Positions are valid for this mirror only: a
    follower, which polls another VM (its relay) for changes, starts again at 0 when it changes
    its relay. Positions count from `first_position`; if that is random, a position in the mirror
    of an earlier process is unknown or before all objects, so that the follower gets all of them.
    """

    def __init__(self, first_position: int = 0) -> None:
        self._objects: dict[str, T] = {}
        self._positions: dict[str, int] = {}
        self._sequence = first_position

    @property
    def sequence(self) -> int:
        """Position of the newest change."""
        return self._sequence

    def get(self, name: str) -> T | None:
        """Return the newest known version of an object."""
        return self._objects.get(name)

    def apply(self, objects: Iterable[T]) -> list[T]:
        """Store the objects that are newer than the known ones, and return them.

        An older version never replaces a newer one, whichever relay sent it.
        """
        newer = [item for item in objects if self._is_newer(item)]
        for item in newer:
            self._sequence += 1
            self._objects[item.name] = item
            self._positions.pop(item.name, None)
            self._positions[item.name] = self._sequence
        return newer

    def newer_than(self, position: int) -> list[T]:
        """Return the objects that changed after a position, in the order of arrival."""
        names = list(self._names_after(position))
        return [self._objects[name] for name in reversed(names)]

    def forget(self, name: str) -> None:
        """Remove an object as if it had never arrived.

        Raises KeyError if the object is unknown.
        """
        del self._objects[name]
        del self._positions[name]

    def _is_newer(self, item: T) -> bool:
        known = self._objects.get(item.name)
        return known is None or item.version > known.version

    def _names_after(self, position: int) -> Iterator[str]:
        for name in reversed(self._positions):
            if self._positions[name] <= position:
                return
            yield name


class ObjectMirror(Mirror[StoredObject]):
    """Mirror of the objects in the project's own store."""

    def changes_since(self, position: int) -> WatchBatch:
        """Return the changes after a position; all objects for 0 or an unknown position."""
        if position > self._sequence:
            position = 0
        return WatchBatch(self._sequence, tuple(self.newer_than(position)), reset=position == 0)
