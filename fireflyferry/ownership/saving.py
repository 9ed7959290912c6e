"""When owners are saved, and which saves are durable."""

import attrs

__all__ = ["SaveQueue"]

_SAVE_INTERVAL_S = 1.0
_SAVE_RETRY_S = 2.0


@attrs.define
class SaveQueue:
    """Save ids in rising order, at most one save a second.

    A save that was not confirmed is repeated with the newest owners under a new id.
    """

    last: int = 0
    confirmed: int = 0
    dirty: bool = False
    unsaved: dict[str, None] = attrs.Factory(dict)
    _saved_at_s: float = attrs.field(default=float("-inf"), init=False)

    def restart(self) -> None:
        """Start a term: everything loaded is saved, and is to be saved again under the term."""
        self.confirmed, self.dirty, self.unsaved = self.last, True, {}
        self._saved_at_s = float("-inf")

    def start(self, now_s: float) -> int | None:
        """Return the id of a save that is due now, or None."""
        wait_s = _SAVE_INTERVAL_S if self.confirmed == self.last else _SAVE_RETRY_S
        due = self.dirty or self.confirmed < self.last
        if not due or now_s - self._saved_at_s < wait_s:
            return None
        self.last += 1
        self._saved_at_s, self.dirty = now_s, False
        return self.last

    def confirm(self, save_id: int) -> None:
        """Record that a save is durable."""
        if save_id <= self.last:
            self.confirmed = max(self.confirmed, save_id)
