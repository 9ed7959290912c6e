"""Messages between operators and entry VMs, and the declaration that a VM is lost."""

import attrs

from fireflyferry.messages.groups import GroupId, VmIncarnation

__all__ = [
    "LOST_PREFIX",
    "AssignReply",
    "AssignRequest",
    "DrainReply",
    "DrainRequest",
    "GroupStatus",
    "LostVm",
    "Move",
    "VmStatus",
]

LOST_PREFIX = "config/lost/"


@attrs.frozen
class Move:
    """A unit that moves to another upstream; `waits_for` is the reason for a delay, or empty."""

    unit: str
    source: str
    target: str
    waits_for: str = ""


@attrs.frozen
class GroupStatus:
    """State of a group as reported by its leader.

    `authority_s` is the time in seconds for which the leader may still grant and forward. `units`
    counts units by upstream, and `keys` maps single-key units to their upstream. `held` lists
    units without an owner that an upstream without checks has not released yet.
    """

    group: GroupId
    term: int
    leader: VmIncarnation
    standby: VmIncarnation | None = None
    authority_s: float = 0.0
    units: dict[str, int] = attrs.field(factory=dict)
    keys: dict[str, str] = attrs.field(factory=dict)
    moves: tuple[Move, ...] = ()
    held: tuple[str, ...] = ()


@attrs.frozen
class VmStatus:
    """Answer to `GET /peer/v1/status`.

    `revision` is that of the tables in use. `rejected_revision` is the latest revision that the VM
    refused, and `rejected_reason` lists the faults found in it. `feed_source` is `store` or the id
    of a relay, and `feed_age_s` the seconds since its last answer. `groups` are those that the VM
    leads. `refusals` counts requests that were refused or have an unknown outcome, and `retries`
    counts retries, both by reason since the process started.
    """

    vm: VmIncarnation
    data_centre: str
    revision: int
    rejected_revision: int = 0
    rejected_reason: str = ""
    feed_source: str = ""
    feed_age_s: float = 0.0
    draining: bool = False
    groups: tuple[GroupStatus, ...] = ()
    refusals: dict[str, int] = attrs.field(factory=dict)
    retries: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class AssignRequest:
    """Body of `POST /peer/v1/assign`, which places a unit on an upstream."""

    pool: str
    unit: str
    upstream_id: str
    author: str = ""


@attrs.frozen
class AssignReply:
    """Answer to an assign request.

    `leader_address` is the peer address of the group's leader, if the answering VM does not lead
    the group. `durability` is the place where the new owner is saved: `store` or `standby`.
    """

    accepted: bool
    reason: str = ""
    leader_address: str = ""
    group: str = ""
    fence: int = 0
    durability: str = ""


@attrs.frozen
class DrainRequest:
    """Body of `POST /peer/v1/drain`; `target` is the id of an upstream or of the receiving VM."""

    target: str
    author: str = ""


@attrs.frozen
class DrainReply:
    """Answer to a drain request; `units` counts the units that must still move from the target."""

    accepted: bool
    reason: str = ""
    units: int = 0


@attrs.frozen
class LostVm:
    """An operator's declaration that incarnations of a VM have ended, stored in `config/lost/VM`.

    `incarnations` are those that group records named at the time of the declaration; later
    incarnations of the same VM are not covered. It is empty for a VM that no group record names,
    such as an upstream; the declaration then covers every incarnation until it is withdrawn.
    """

    vm_id: str
    incarnations: tuple[str, ...] = ()
    author: str = ""
    note: str = ""
    declared_at: str = ""
    withdrawn: bool = False
