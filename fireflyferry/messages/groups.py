"""Messages about groups: leader and standby, heartbeats with pledges, and owners of units."""

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
    """One incarnation of the entry program on a VM: a run of its process from start to end."""

    vm_id: str
    incarnation: str


@attrs.frozen(order=True)
class GroupId:
    """Id of a group: buckets (hash slots of keys) of one pool that one leader assigns to upstreams.

    `data_centre` is the group's home, whose upstreams and entry VMs are preferred. `index`
    distinguishes the pool's groups with the same home.
    """

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
    """The store's record of a group's leader and standby; changed by conditional update only.

    The leader grants the group's units to upstreams, and the standby takes over if it fails.
    `term` numbers the periods of leadership and rises with each takeover. `session` counts the
    writes. Each write that the store confirms starts a session, which is the leader's lease on the
    group for `session_s` seconds. The length is stored because the standby's settings may differ.
    `resigned` is true once the leader has resigned; the standby then takes over at once.
    `write_id` identifies the write, so that a VM recognises its own.
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
    """Owners of a group's units, as saved in the store and replicated to the standby.

    The set with the highest (term, sequence) is the newest. `owners` maps units to upstreams.
    `releasing` lists, for a unit, upstreams other than the owner that may still hold it.
    `unchecked` lists upstreams that verify neither grants nor fences. A new leader needs both
    lists, because an owner is saved before the earlier one has released the unit. `leaders` lists
    the VM incarnation that saved the owners and earlier leaders that may not have stopped yet.
    `pins` maps units to the upstreams that operators assigned them to.
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
    """The leader's request for a pledge.

    `owners` are the newest owners, for the standby to replicate, until it has acknowledged them.
    """

    group: GroupId
    term: int
    leader: VmIncarnation
    standby: VmIncarnation
    owners: OwnerSet | None = None


@attrs.frozen
class HeartbeatReply:
    """The standby's answer to a heartbeat, usually with a pledge.

    A pledge is a promise not to take over for `pledge_s` seconds; 0 means that there is none.
    An `unlimited` pledge lasts for the whole term, because the standby is shutting down.
    `owners_term` and `owners_sequence` identify the newest owners that the standby has.
    `stopped` confirms that the standby no longer acts as the leader of an earlier term: it has read
    the record of this term, does not lead the group, and has no running request that it forwarded
    for the group to an upstream without checks.
    """

    group: GroupId
    term: int
    standby: VmIncarnation
    pledge_s: float
    unlimited: bool = False
    owners_term: int = 0
    owners_sequence: int = 0
    stopped: bool = False
