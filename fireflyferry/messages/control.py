"""Messages between operators and entry VMs, and the operators' word that a VM is lost."""

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
    """A unit on its way to another upstream; `waits_for` says what holds it up."""

    unit: str
    source: str
    target: str
    waits_for: str = ""


@attrs.frozen
class GroupStatus:
    """A group as its leader sees it.

    `units` counts units by upstream, `keys` maps units of single keys to their upstream, and
    `held` lists units without an owner that are waiting for a release.
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

    `groups` are those that the VM leads. `rejected_revision` is the latest revision that the VM
    refused, with the finding. `feed_age_s` is the time since the last answer of the feed's source,
    which is `store` or the id of a relay. Counters start at 0 with the process.
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
    """Body of `POST /peer/v1/assign`: place a unit on an upstream."""

    pool: str
    unit: str
    upstream_id: str
    author: str = ""


@attrs.frozen
class AssignReply:
    """The leader's answer; a VM that does not lead the group names the leader's peer address.

    `durability` is `store` or `standby` once the new owner is saved.
    """

    accepted: bool
    reason: str = ""
    leader_address: str = ""
    group: str = ""
    fence: int = 0
    durability: str = ""


@attrs.frozen
class DrainRequest:
    """Body of `POST /peer/v1/drain`: an upstream, or the receiving VM itself."""

    target: str
    author: str = ""


@attrs.frozen
class DrainReply:
    """`units` counts the units that still have to leave the target."""

    accepted: bool
    reason: str = ""
    units: int = 0


@attrs.frozen
class LostVm:
    """The operator's word that runs of a VM have ended, kept in `config/lost/VM`.

    `incarnations` are those found in group records when the word was given; a later run of the
    same VM is not covered. It is empty for a VM that is in no group record, such as an upstream;
    the word then holds until it is withdrawn.
    """

    vm_id: str
    incarnations: tuple[str, ...] = ()
    author: str = ""
    note: str = ""
    declared_at: str = ""
    withdrawn: bool = False
