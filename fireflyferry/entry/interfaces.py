"""Interfaces between the request path and the control loop of an entry VM."""

import abc

import attrs

from fireflyferry.messages import GroupId, VmIncarnation
from fireflyferry.tables import Tables
from fireflyferry.telemetry import Outcome, Reason

__all__ = [
    "GroupEvents",
    "LocalOwners",
    "Location",
    "Locator",
    "TablesSource",
    "TrafficObserver",
    "UpstreamTarget",
]


@attrs.frozen
class Location:
    """Unit, group and leader of a key, as known to this VM.

    `leader_address` is `IP:PORT` of the leader's peer port. `local` means that this VM leads the
    group.
    """

    group: GroupId
    unit: str
    leader: VmIncarnation
    leader_address: str
    term: int
    local: bool


@attrs.frozen
class UpstreamTarget:
    """The owner of a unit; `address` is `IP:PORT`.

    `fence` is the fencing token of the ownership, and `slots` the number of requests that the
    upstream executes at once. `checks` is `grants` if the upstream verifies grants and fences, and
    `none` if it verifies neither.
    """

    upstream_id: str
    address: str
    fence: int
    term: int
    slots: int
    checks: str


class TablesSource(abc.ABC):
    """Source of the applied revision of routes and pools."""

    @abc.abstractmethod
    def current(self) -> Tables | None:
        """Return the applied tables; None before the first revision."""


class Locator(abc.ABC):
    """Locates keys for the first hop."""

    @abc.abstractmethod
    def locate(self, pool: str, key: str) -> Location | Reason:
        """Return the location of a key, or the reason why it has no leader."""


class LocalOwners(abc.ABC):
    """Owners of the units in groups that this VM leads, for the last hop.

    Times are monotonic seconds.
    """

    @abc.abstractmethod
    def owner(self, now_s: float, group: GroupId, unit: str) -> UpstreamTarget | Reason:
        """Return the owner of a unit, or the reason why this VM may not forward to it.

        Returns NOT_LEADER if this VM does not lead the group at `now_s`, and NOT_OWNER if the unit
        is not part of the group; the first hop then locates the key again.
        """

    @abc.abstractmethod
    def begin_forward(
        self, now_s: float, group: GroupId, unit: str, key: str
    ) -> UpstreamTarget | Reason:
        """Return the owner as `owner` does, and count a request in flight to it.

        While a request is counted, an upstream without checks does not release the unit.
        """

    @abc.abstractmethod
    def end_forward(self, group: GroupId, upstream_id: str, unit: str, key: str) -> None:
        """Stop counting a request that `begin_forward` counted.

        Called when the request was answered, did not run, its cancellation was confirmed, or the
        upstream is gone.
        """

    @abc.abstractmethod
    def may_forward(self, now_s: float, group: GroupId) -> bool:
        """Return whether this VM leads the group at `now_s` and has loaded its owners."""


class TrafficObserver(abc.ABC):
    """Receiver of traffic observations, for hot keys and the cold-start ramp."""

    @abc.abstractmethod
    def on_request(self, pool: str, key: str, tenant: str) -> None:
        """Record a request that reached the last hop."""

    @abc.abstractmethod
    def on_result(self, upstream_id: str, outcome: Outcome, service_s: float) -> None:
        """Record the outcome of one attempt and its service time in seconds."""


class GroupEvents(abc.ABC):
    """Events of the control loop that the request path handles.

    A request-id table is complete only from the time at which this leader gained the group or
    bucket, so the control loop reports a gain before `owner` first returns a target of the term.
    A term that was not reported counts as gained when its first request arrives.
    """

    @abc.abstractmethod
    def group_gained(self, group: GroupId, term: int) -> None:
        """Start an empty request-id table for a group that was gained or regained."""

    @abc.abstractmethod
    def bucket_gained(self, group: GroupId, term: int, bucket: int) -> None:
        """Record that a bucket moved here from another group.

        `term` is the term to which the move raised this group.
        """

    @abc.abstractmethod
    def group_lost(self, group: GroupId) -> None:
        """Discard the state of a group that this VM no longer leads."""

    @abc.abstractmethod
    def upstream_gone(self, upstream_id: str) -> None:
        """Refuse the requests that wait for an upstream that is gone, and remove its queue."""

    @abc.abstractmethod
    def in_flight(self, upstream_id: str, unit: str) -> int:
        """Return the number of requests for a unit that are in flight to an upstream."""
