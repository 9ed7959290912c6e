"""Mirror of the store's objects, and the changes that followers have not seen."""

from collections.abc import Iterable, Iterator
from typing import Generic, Protocol, TypeVar

from fireflyferry.edges import StoredObject, WatchBatch

__all__ = ["Mirror", "ObjectMirror", "Versioned"]


class Versioned(Protocol):
    """An object whose newer state has a higher version."""

    @property
    def name(self) -> str:
        """Name of the object, which stays the same in all versions."""

    @property
    def version(self) -> int:
        """Version of this state."""


T = TypeVar("T", bound=Versioned)


class Mirror(Generic[T]):
    """The newest known version of each object, in the order of arrival.

    Positions are local to this mirror: a follower that changes its relay starts again at 0.
    """

    def __init__(self) -> None:
        self._objects: dict[str, T] = {}
        self._positions: dict[str, int] = {}
        self._sequence = 0

    @property
    def sequence(self) -> int:
        """Position of the newest change."""
        return self._sequence

    def get(self, name: str) -> T | None:
        """Return the newest known version of an object."""
        return self._objects.get(name)

    def apply(self, objects: Iterable[T]) -> list[T]:
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

    def newer_than(self, position: int) -> list[T]:
        """Return what changed after a position, in the order of arrival."""
        names = list(self._names_after(position))
        return [self._objects[name] for name in reversed(names)]

    def forget(self, name: str) -> None:
        """Drop an object as if it had never been known."""
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
    """Mirror of the objects of the project's own store."""

    def changes_since(self, position: int) -> WatchBatch:
        """Return what changed after a position; everything if the position is not known."""
        if position > self._sequence:
            position = 0
        return WatchBatch(self._sequence, tuple(self.newer_than(position)), reset=position == 0)
