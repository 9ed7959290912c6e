"""When owners are saved, and which saves are durable."""

import math

import attrs

__all__ = ["SaveQueue"]

# The store takes about one write a second from a group on average. A short burst lets a lost
# upstream's units move at once after another save, instead of a second later.
_BURST_SAVES = 3
_SAVE_RETRY_S = 2.0


@attrs.define
class SaveQueue:
    """Save ids in rising order, one save a second on average, and one at a time.

    A save that was not confirmed is repeated with the newest owners under a new id.
    """

    last: int = 0
    confirmed: int = 0
    dirty: bool = False
    unsaved: dict[str, None] = attrs.Factory(dict)
    _started_at_s: float = attrs.field(default=-math.inf, init=False)
    _credit: float = attrs.field(default=_BURST_SAVES, init=False)

    def restart(self) -> None:
        """Start a term: everything loaded is saved, and is to be saved again under the term."""
        self.confirmed, self.dirty, self.unsaved = self.last, True, {}
        self._started_at_s, self._credit = -math.inf, _BURST_SAVES

    def start(self, now_s: float) -> int | None:
        """Return the id of a save that is due now, or None."""
        in_flight = self.confirmed < self.last
        since_s = now_s - self._started_at_s
        if (in_flight and since_s < _SAVE_RETRY_S) or not (in_flight or self.dirty):
            return None
        credit = min(_BURST_SAVES, self._credit + since_s)
        # Saves that only drop released upstreams leave a write for changed owners.
        if credit < (1 if self.unsaved else 2):
            return None
        self.last += 1
        self._started_at_s, self._credit, self.dirty = now_s, credit - 1, False
        return self.last

    def confirm(self, save_id: int) -> None:
        """Record that a save is durable."""
        if save_id <= self.last:
            self.confirmed = max(self.confirmed, save_id)
