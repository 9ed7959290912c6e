"""Table of the upstreams that this VM leads, with what they said and did."""

import attrs

from fireflyferry.messages import Hello, VmEntry

__all__ = ["UpstreamRow", "UpstreamTable"]

HELLO_INTERVAL_S = 0.5
FRESH_S = 3.0


@attrs.define
class UpstreamRow:
    """What is known about one upstream."""

    entry: VmEntry
    hello: Hello | None = None
    asked_at_s: float = float("-inf")
    answered_at_s: float = float("-inf")
    joined_at_s: float = 0.0
    draining: bool = False
    service_s: float = 0.0

    @property
    def upstream_id(self) -> str:
        """Id of the upstream's VM."""
        return self.entry.vm_id

    def is_reachable(self, now_s: float) -> bool:
        """Tell whether the upstream answered a control call lately."""
        return self.hello is not None and now_s - self.answered_at_s < FRESH_S

    def is_leaving(self) -> bool:
        """Tell whether the upstream must get no new work."""
        return self.draining or self.entry.state != "live"


class UpstreamTable:
    """Upstreams by id."""

    def __init__(self) -> None:
        self._rows: dict[str, UpstreamRow] = {}

    def get(self, upstream_id: str) -> UpstreamRow | None:
        """Return the row of an upstream."""
        return self._rows.get(upstream_id)

    def track(self, entry: VmEntry) -> UpstreamRow:
        """Return the row of a listed upstream, with the listed state and address."""
        row = self._rows.setdefault(entry.vm_id, UpstreamRow(entry))
        if row.entry != entry:
            if row.entry.address != entry.address:
                row.hello = None
            row.entry = entry
        return row

    def forget(self, upstream_id: str) -> None:
        """Drop the row of an upstream that is gone."""
        self._rows.pop(upstream_id, None)

    def take_due_for_hello(self, now_s: float, upstream_id: str) -> UpstreamRow | None:
        """Return the row unless the upstream was asked lately, and note that it is asked now."""
        row = self._rows[upstream_id]
        if now_s - row.asked_at_s < HELLO_INTERVAL_S:
            return None
        row.asked_at_s = now_s
        return row

    def on_hello(self, now_s: float, upstream_id: str, hello: Hello) -> None:
        """Record an upstream's answer to hello."""
        row = self._rows.get(upstream_id)
        if row is None:
            return
        if row.hello is None:
            row.joined_at_s = now_s
        row.hello = hello
        row.answered_at_s = now_s
        row.draining = hello.draining

    def on_answer(self, now_s: float, upstream_id: str, draining: bool) -> None:
        """Record that an upstream answered a grant message."""
        row = self._rows.get(upstream_id)
        if row is not None:
            row.answered_at_s = now_s
            row.draining = draining
