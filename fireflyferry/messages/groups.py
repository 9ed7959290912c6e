"""Messages about groups: leader, standby, pledges and saved owners."""

import attrs

__all__ = [
    "GroupId",
    "GroupRecord",
    "Heartbeat",
    "HeartbeatReply",
    "OwnerSet",
    "VmIncarnation",
    "parse_group_id",
]


@attrs.frozen(order=True)
class VmIncarnation:
    """One run of the entry program on a VM."""

    vm_id: str
    incarnation: str


@attrs.frozen(order=True)
class GroupId:
    """A group of buckets of one pool with a home data centre."""

    pool: str
    data_centre: str
    index: int

    def __str__(self) -> str:
        return f"{self.pool}/{self.data_centre}/{self.index}"


def parse_group_id(text: str) -> GroupId:
    """Parse `pool/data_centre/index`.

    Raises ValueError for any other form.
    """
    pool, data_centre, index = text.split("/")
    return GroupId(pool, data_centre, int(index))


@attrs.frozen
class GroupRecord:
    """The store's record of a group; changed by conditional update only.

    `session_s` is the session that the leader counts, for standbys with other settings.
    """

    group: GroupId
    term: int
    leader: VmIncarnation
    standby: VmIncarnation | None = None
    session: int = 0
    resigned: bool = False
    write_id: str = ""
    session_s: float = 0.0


@attrs.frozen
class OwnerSet:
    """Owners of a group's units, ordered by (term, sequence).

    `releasing` lists upstreams besides the owner that may still hold a unit. `unchecked` lists
    upstreams that check neither grants nor fences. A new leader needs both, because an owner is
    saved before the earlier one has released the unit. `leaders` lists the run that saved the
    owners and earlier leaders that are not known to have stopped. `pins` holds the assignments that
    operators made.
    """

    group: GroupId
    term: int
    sequence: int
    owners: dict[str, str]
    releasing: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    unchecked: tuple[str, ...] = ()
    leaders: tuple[VmIncarnation, ...] = ()
    pins: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Heartbeat:
    """The leader's request for a pledge, with owners to replicate if they changed."""

    group: GroupId
    term: int
    leader: VmIncarnation
    standby: VmIncarnation
    owners: OwnerSet | None = None


@attrs.frozen
class HeartbeatReply:
    """The standby's answer; `pledge_s` is 0 when it gives none.

    `stopped` says that the standby knows the term's record, does not lead the group and has no
    forwards of it under way to upstreams that check nothing.
    """

    group: GroupId
    term: int
    standby: VmIncarnation
    pledge_s: float
    unlimited: bool = False
    owners_term: int = 0
    owners_sequence: int = 0
    stopped: bool = False
