"""VM list whose changes become visible with a lag."""

from fireflyferry.messages import VmEntry

__all__ = ["DelayedVmList"]


class DelayedVmList:
    """VM list whose changes become visible `lag_s` seconds later."""

    def __init__(self, vms: tuple[VmEntry, ...], lag_s: float = 0.0) -> None:
        self._visible = vms
        self._lag_s = lag_s
        self._pending: list[tuple[float, tuple[VmEntry, ...]]] = []
        self._stale: tuple[VmEntry, ...] | None = None

    def replace(self, now_s: float, vms: tuple[VmEntry, ...], lag_s: float | None = None) -> None:
        """Replace the list; `lag_s` overrides the configured lag."""
        self._pending.append((now_s + (self._lag_s if lag_s is None else lag_s), vms))

    def save_stale_list(self, now_s: float) -> None:
        """Save the visible list as the one that `visible` returns for `stale`."""
        self._stale = self.visible(now_s)

    def visible(self, now_s: float, stale: bool = False) -> tuple[VmEntry, ...]:
        """Return the visible list, or for `stale` the one that `save_stale_list` saved."""
        if stale and self._stale is not None:
            return self._stale
        due = [entry for entry in self._pending if entry[0] <= now_s]
        self._pending = [entry for entry in self._pending if entry[0] > now_s]
        if due:
            self._visible = max(due, key=lambda entry: entry[0])[1]
        return self._visible
