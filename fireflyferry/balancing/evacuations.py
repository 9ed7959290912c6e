"""Evacuated data centres: until when their upstreams may still get requests for keys."""

from collections.abc import Iterable

import attrs

__all__ = ["SEND_MARGIN_S", "Evacuations"]

# Subtracted from the bound: 0.3 s by which an answer of a slow store may be late, and 0.5 s until
# the first bytes of a request that was sent just before have arrived.
SEND_MARGIN_S = 0.8


@attrs.define
class _Order:
    """An order to evacuate; `ends_s` is set once it is no longer listed but kept in force."""

    keys_until_s: float
    ends_s: float | None = None


@attrs.define
class Evacuations:
    """Orders to evacuate data centres; times in seconds on the monotonic clock.

    Requests without a key stop at once. Those for keys may go on while keys move, until
    `SEND_MARGIN_S` before `bound_s` has passed since the earliest moment at which the store can
    have acknowledged the order.
    """

    bound_s: float = 0.0
    _orders: dict[str, _Order] = attrs.field(factory=dict, init=False)
    _ended_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def apply(
        self, now_s: float, listed: Iterable[str], not_before_s: float
    ) -> tuple[list[str], list[str]]:
        """Apply the data centres that the store lists; return the new ones and the ended ones.

        New orders were acknowledged after `not_before_s`.
        """
        names = set(listed)
        ended = self._remove_ended(now_s)
        began = sorted(names - self._orders.keys())
        for name in began:
            self._orders[name] = _Order(not_before_s + self.bound_s - SEND_MARGIN_S)
        for name, order in self._orders.items():
            if name in names:
                order.ends_s = None
            elif order.ends_s is None:
                order.ends_s = now_s
        return began, ended + self._remove_ended(now_s)

    def is_evacuated(self, now_s: float, data_centre: str) -> bool:
        """Return whether an order is in force."""
        order = self._orders.get(data_centre)
        return order is not None and (order.ends_s is None or now_s < order.ends_s)

    def keys_until_s(self, now_s: float, data_centre: str) -> float | None:
        """Return until when requests for keys may go to a data centre; None without an order."""
        if not self.is_evacuated(now_s, data_centre):
            return None
        return self._orders[data_centre].keys_until_s

    def ended_s(self, now_s: float, data_centre: str) -> float:
        """Return when the last order for a data centre ended; minus infinity if there was none."""
        order = self._orders.get(data_centre)
        if order is not None and order.ends_s is not None and now_s >= order.ends_s:
            return order.ends_s
        return self._ended_s.get(data_centre, float("-inf"))

    def active(self, now_s: float) -> list[str]:
        """Return the data centres that are evacuated now."""
        return sorted(name for name in self._orders if self.is_evacuated(now_s, name))

    def _remove_ended(self, now_s: float) -> list[str]:
        ended = sorted(
            name
            for name, order in self._orders.items()
            if order.ends_s is not None and order.ends_s <= now_s
        )
        for name in ended:
            self._ended_s[name] = self._orders.pop(name).ends_s or now_s
        return ended
