"""Rows and actions of a group's grant book."""

import math

import attrs

from fireflyferry.messages import GrantMessage, OwnerSet, UnitGrant

__all__ = ["Claim", "GrantAction", "Owner", "SaveOwners", "SendGrant", "UnitRow", "UpstreamRow"]


@attrs.frozen
class Owner:
    """The upstream that a unit's requests may be forwarded to, and the fence to send."""

    upstream_id: str
    fence: int


@attrs.frozen
class SendGrant:
    """Send a message to an upstream; report the reply with the time of the issuing tick."""

    upstream_id: str
    message: GrantMessage


@attrs.frozen
class SaveOwners:
    """Save owners in the store or at the standby, then report the save id.

    The write must be conditional, so that it fails after a write of a later save. If another
    leader's write came first, read the owners again and repeat `begin_term`.
    """

    save_id: int
    owners: OwnerSet


GrantAction = SendGrant | SaveOwners


@attrs.frozen
class Claim:
    """An upstream that was told to release a unit and may still hold it.

    It has released the unit once it acknowledged set `version`; its grant ends at `until_s`.
    """

    version: int
    until_s: float


@attrs.define
class UnitRow:
    """A unit: `target` is the wanted owner, `holder` the upstream whose set includes it.

    `target_save` is the first save that has the target, and None before there is one. A key unit
    takes its key from the bucket when `split` becomes true; a bucket is always split. `grant` is
    the holder's entry, kept because full sets are built often.
    """

    bucket: str
    key: str | None = None
    target: str | None = None
    target_save: int | None = None
    holder: str | None = None
    grant: UnitGrant | None = None
    acked_fence: int | None = None
    split: bool = True


@attrs.frozen
class SentGrant:
    """What is needed to use the reply to a message."""

    version: int
    full: bool
    token: str
    token_after_s: float
    length_s: float


@attrs.define
class UpstreamRow:
    """An upstream: its current set, what it acknowledged, and when its grants end.

    `until_s` is the latest end of any grant sent to it, `usable_until_s` the earliest end of the
    acknowledged one. The token's clock reading was taken after `token_after_s` and before
    `token_before_s`. `unanswered_since_s` is when the first message without any later answer was
    sent. `busy` was reported by the answer to a message sent at `busy_at_s`; a report from before
    `busy_needed_s`, when the earlier leader had stopped, may miss its last requests.
    """

    upstream_id: str
    checks: bool = True
    pinned: bool = False
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
    unanswered_since_s: float | None = None
    next_send_s: float = -math.inf
    units: dict[str, None] = attrs.Factory(dict)
    unacked: dict[str, int] = attrs.Factory(dict)
    busy: frozenset[str] = frozenset()
    busy_at_s: float = -math.inf
    busy_needed_s: float = -math.inf
    sent: dict[float, SentGrant] = attrs.Factory(dict)
