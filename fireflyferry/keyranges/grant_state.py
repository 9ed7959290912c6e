"""State of the grants, releases and table changes of one granting VM."""

import attrs

from fireflyferry.keyranges.table import OwnedRange, UpstreamRun

__all__ = ["Grant", "Release", "TableChanges", "is_replaced_by"]


@attrs.define
class Grant:
    """Grant of one range to its owner in the current term.

    `higher_fence_seen` means that the owner refused the grant, and `needs_new_fence` that it
    cannot be renewed, since the process that has the fence may have ended.
    """

    fence: int
    acknowledged: bool = False
    call_in_flight: bool = False
    higher_fence_seen: bool = False
    needs_new_fence: bool = False
    next_call_s: float = 0.0


@attrs.define
class Release:
    """Release of one range by an earlier holder.

    `grant_expiry_s` is None while grant calls to the holder are in flight. `called_fence` is the
    fence of the last call.
    """

    grant_expiry_s: float | None
    done: bool = False
    call_in_flight: bool = False
    called_fence: int = 0
    next_call_s: float = 0.0

    def has_expired(self, now_s: float) -> bool:
        """Return whether the grants of the earlier holder have expired; time in seconds."""
        return self.grant_expiry_s is not None and now_s >= self.grant_expiry_s


@attrs.define
class TableChanges:
    """Ranges of the next table."""

    last_fence: int
    has_changes: bool = False
    ranges: list[OwnedRange] = attrs.field(factory=list)

    def next_fence(self) -> int:
        """Return a fence above all earlier ones."""
        self.last_fence += 1
        return self.last_fence


def is_replaced_by(run: UpstreamRun, owner: UpstreamRun) -> bool:
    """Return whether an owner is the same incarnation or a later one under the same id."""
    return run.upstream_id == owner.upstream_id and run.born <= owner.born
