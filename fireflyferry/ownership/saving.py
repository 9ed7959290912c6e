"""Rate limit for saves of the owners, and the record of durable saves."""

import math

import attrs

__all__ = ["SaveScheduler"]

# The store accepts about one write a second from a group on average. With a short burst, the
# units of a lost upstream move right after another save instead of a second later.
_BURST_SAVES = 3
_SAVE_RETRY_S = 2.0


@attrs.define
class SaveScheduler:
    """Token bucket that starts one save a second on average, and one at a time.

    Save ids increase. A save that is not confirmed within 2 s is retried under a new id with the
    newest owners. `dirty` is set when there is something to save; `unsaved_units` lists units
    whose target is in no save yet.
    """

    last_id: int = 0
    confirmed_id: int = 0
    dirty: bool = False
    unsaved_units: dict[str, None] = attrs.Factory(dict)
    _last_start_s: float = attrs.field(default=-math.inf, init=False)
    _credit: float = attrs.field(default=_BURST_SAVES, init=False)

    def begin_term(self) -> None:
        """Begin a term: count loaded owners as saved, but save them again under the term."""
        self.confirmed_id, self.dirty, self.unsaved_units = self.last_id, True, {}
        self._last_start_s, self._credit = -math.inf, _BURST_SAVES

    def start_if_due(self, now_s: float) -> int | None:
        """Return the id of a save that is due now, or None."""
        in_flight = self.confirmed_id < self.last_id
        since_s = now_s - self._last_start_s
        if (in_flight and since_s < _SAVE_RETRY_S) or not (in_flight or self.dirty):
            return None
        credit = min(_BURST_SAVES, self._credit + since_s)
        # A save in which only releases changed leaves credit for a save of changed owners.
        if credit < (1 if self.unsaved_units else 2):
            return None
        self.last_id += 1
        self._last_start_s, self._credit, self.dirty = now_s, credit - 1, False
        return self.last_id

    def confirm(self, save_id: int) -> None:
        """Record that a save is durable."""
        if save_id <= self.last_id:
            self.confirmed_id = max(self.confirmed_id, save_id)
