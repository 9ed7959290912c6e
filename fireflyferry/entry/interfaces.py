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
    """Where a key is served, as this VM sees it; `leader_address` is `IP:PORT` of a peer port."""

    group: GroupId
    unit: str
    leader: VmIncarnation
    leader_address: str
    term: int
    local: bool


@attrs.frozen
class UpstreamTarget:
    """The owner of a unit; `address` is `IP:PORT`, `checks` is `grants` or `none`."""

    upstream_id: str
    address: str
    fence: int
    term: int
    slots: int
    checks: str


class TablesSource(abc.ABC):
    """Holder of the applied revision of routes and pools."""

    @abc.abstractmethod
    def current(self) -> Tables | None:
        """Return the applied tables; None before the first revision."""


class Locator(abc.ABC):
    """First-hop view: unit, group and leader of a key."""

    @abc.abstractmethod
    def locate(self, pool: str, key: str) -> Location | Reason:
        """Find the leader of a key, or say why there is none."""


class LocalOwners(abc.ABC):
    """Last-hop view: authority and owners of the groups that this VM leads."""

    @abc.abstractmethod
    def owner(self, now_s: float, group: GroupId, unit: str) -> UpstreamTarget | Reason:
        """Return the owner of a unit, or say why this VM may not forward to one.

        Returns NOT_LEADER for a group that this VM does not lead at `now_s`, and NOT_OWNER for a
        unit that is not one of the group's, so that the first hop locates the key again.
        """

    @abc.abstractmethod
    def begin_forward(
        self, now_s: float, group: GroupId, unit: str, key: str
    ) -> UpstreamTarget | Reason:
        """Return the owner as `owner` does, and count a request on its way to it.

        A unit is not released by an upstream that checks nothing while a request is counted.
        """

    @abc.abstractmethod
    def end_forward(self, group: GroupId, upstream_id: str, unit: str, key: str) -> None:
        """End a request that was answered, not run or acknowledged as cancelled.

        Also ends a request to an upstream that is gone.
        """

    @abc.abstractmethod
    def may_forward(self, now_s: float, group: GroupId) -> bool:
        """Tell whether authority over the group holds at `now_s`."""


class TrafficObserver(abc.ABC):
    """Receiver of traffic observations: hot-key sketch, cold-start ramp."""

    @abc.abstractmethod
    def on_request(self, pool: str, key: str, tenant: str) -> None:
        """Note a request that reached the last hop."""

    @abc.abstractmethod
    def on_result(self, upstream_id: str, outcome: Outcome, service_s: float) -> None:
        """Note the outcome of one attempt and its time at the upstream in seconds."""


class GroupEvents(abc.ABC):
    """What the control loop tells the request path; implemented by the request path.

    A request-id table is complete only from the moment at which its group or bucket came to this
    leader, so the control loop calls these before `owner` first returns a target under the term.
    A term that was never announced counts as gained when the first request under it arrives.
    """

    @abc.abstractmethod
    def group_gained(self, group: GroupId, term: int) -> None:
        """Start an empty request-id table for a group; also called when it is regained."""

    @abc.abstractmethod
    def bucket_gained(self, group: GroupId, term: int, bucket: int) -> None:
        """Note that a bucket arrived from another group, under the raised term."""

    @abc.abstractmethod
    def group_lost(self, group: GroupId) -> None:
        """Drop what is kept for a group that this VM no longer leads."""

    @abc.abstractmethod
    def upstream_gone(self, upstream_id: str) -> None:
        """Refuse what waits for an upstream that is gone, and drop its queue."""

    @abc.abstractmethod
    def in_flight(self, upstream_id: str, unit: str) -> int:
        """Count requests for a unit that were sent to an upstream and have not ended."""
