"""State of a group's units and upstreams, and the actions that GrantManager returns."""

import math

import attrs

from fireflyferry.messages import GrantMessage, OwnerSet, UnitGrant

__all__ = [
    "GrantAction",
    "Owner",
    "PendingRelease",
    "SaveOwners",
    "SendGrant",
    "UnitRow",
    "UpstreamRow",
]


@attrs.frozen
class Owner:
    """The upstream that a unit's requests may be forwarded to, and the fence to send with them.

    The fence is a fencing token: it rises with every grant of the unit.
    """

    upstream_id: str
    fence: int


@attrs.frozen
class SendGrant:
    """Send a message to an upstream and pass the reply to `on_grant_reply`.

    The send time in that call is the time of the tick that returned this action.
    """

    upstream_id: str
    message: GrantMessage


@attrs.frozen
class SaveOwners:
    """Save owners in the store or on the standby, then pass the save id to `on_owners_saved`.

    The write must be conditional, so that it fails once a later save was written. If it fails
    because another leader wrote first, read the owners again and repeat `begin_term`.
    """

    save_id: int
    owners: OwnerSet


GrantAction = SendGrant | SaveOwners


@attrs.frozen
class PendingRelease:
    """A release that is not confirmed yet, so that the upstream may still hold the unit.

    The upstream confirms it by acknowledging set `version`. If the upstream checks grants, its
    grant has expired by `until_s` in any case.
    """

    version: int
    until_s: float


@attrs.define
class UnitRow:
    """State of a unit, which is a bucket of keys or a single key that is separate from its bucket.

    `target` is the desired owner, and `holder` the upstream whose current set includes the unit.
    `target_save_id` is the first save that includes the target, and None before that save.
    `split` is true once a key is excluded from its bucket's grant, and always for a bucket.
    `grant` is the unit's entry in the holder's set, cached because full sets are built often.
    `acked_fence` is the fence of that entry once the holder has acknowledged it.
    """

    bucket: str
    key: str | None = None
    target: str | None = None
    target_save_id: int | None = None
    holder: str | None = None
    grant: UnitGrant | None = None
    acked_fence: int | None = None
    split: bool = True


@attrs.frozen
class SentGrant:
    """A grant message that was sent, as far as it is needed to process the reply."""

    version: int
    full: bool
    token: str
    token_after_s: float
    length_s: float


@attrs.define
class UpstreamRow:
    """An upstream: its current set of units, what it acknowledged, and when its grants expire.

    `checks` is false if it accepts requests without checking grants. `earlier_leader_may_forward`
    is true while an earlier leader may still send it requests. The upstream read its clock for
    `token` between `token_after_s` and `token_before_s`. `until_s` is the latest end of any grant
    sent to it, `usable_until_s` the earliest end of the acknowledged one. `changed` is true if set
    `version` is still to be sent, and `refused` if the last reply was a refusal.
    `may_have_restarted` is true if the process that answered may not be the one with the fences.
    `unanswered_since_s` is when the first message without any later reply was sent. `units` lists
    the units of the current set, and `unacked` the set version that grants each unacknowledged
    one. `busy` lists released units with running requests, as reported in the reply to a message
    sent at `busy_at_s`; a report from before `busy_valid_from_s`, the time at which the earlier
    leader was reported as stopped, may lack that leader's last requests. `sent` holds messages by
    send time.
    """

    upstream_id: str
    checks: bool = True
    earlier_leader_may_forward: bool = False
    draining: bool = False
    token: str = ""
    token_after_s: float = -math.inf
    token_before_s: float = -math.inf
    until_s: float = -math.inf
    usable_until_s: float = -math.inf
    version: int = 0
    acked_version: int = 0
    changed: bool = True
    refused: bool = False
    may_have_restarted: bool = False
    unanswered_since_s: float | None = None
    next_send_s: float = -math.inf
    units: dict[str, None] = attrs.Factory(dict)
    unacked: dict[str, int] = attrs.Factory(dict)
    busy: frozenset[str] = frozenset()
    busy_at_s: float = -math.inf
    busy_valid_from_s: float = -math.inf
    sent: dict[float, SentGrant] = attrs.Factory(dict)
