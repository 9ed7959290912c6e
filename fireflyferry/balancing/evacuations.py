"""Evacuated data centres: until when their upstreams may still get requests for keys."""

from collections.abc import Iterable

import attrs

__all__ = ["SEND_MARGIN_S", "Evacuations"]

# Subtracted from the bound: 0.3 s by which an answer of a slow store may be late, and 0.5 s until
# the first bytes of a request that was sent just before have arrived.
SEND_MARGIN_S = 0.8


@attrs.define
class Evacuations:
    """Orders to evacuate data centres; times in seconds on the monotonic clock.

    Requests without a key stop at once. Those for keys may go on while keys move, until
    `SEND_MARGIN_S` before `bound_s` has passed since the earliest moment at which the store can
    have acknowledged the order.
    """

    bound_s: float = 0.0
    _keys_until_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _ended_s: dict[str, float] = attrs.field(factory=dict, init=False)

    @property
    def active(self) -> list[str]:
        """The data centres that are evacuated now."""
        return sorted(self._keys_until_s)

    def apply(
        self, now_s: float, listed: Iterable[str], not_before_s: float
    ) -> tuple[list[str], list[str]]:
        """Apply the data centres that the store lists; return the new ones and the ended ones.

        New orders were acknowledged after `not_before_s`.
        """
        names = set(listed)
        began = sorted(names - self._keys_until_s.keys())
        ended = sorted(self._keys_until_s.keys() - names)
        for name in began:
            self._keys_until_s[name] = not_before_s + self.bound_s - SEND_MARGIN_S
        for name in ended:
            del self._keys_until_s[name]
            self._ended_s[name] = now_s
        return began, ended

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether an order is in force."""
        return data_centre in self._keys_until_s

    def keys_until_s(self, data_centre: str) -> float | None:
        """Return until when requests for keys may go to a data centre; None without an order."""
        return self._keys_until_s.get(data_centre)

    def refuses_keys(self, now_s: float, data_centre: str) -> bool:
        """Return whether requests for keys may no longer go to a data centre, by an order."""
        keys_until_s = self._keys_until_s.get(data_centre)
        return keys_until_s is not None and now_s >= keys_until_s

    def ended_s(self, data_centre: str) -> float:
        """Return when the last order for a data centre ended; minus infinity if there was none."""
        return self._ended_s.get(data_centre, float("-inf"))
