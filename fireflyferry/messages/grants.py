"""Messages between a leader and an upstream."""

import attrs

__all__ = ["GrantMessage", "GrantReply", "Hello", "UnitGrant"]


@attrs.frozen
class UnitGrant:
    """A unit with its fence; `excluded` lists keys owned apart from the bucket."""

    unit: str
    fence: int
    excluded: tuple[str, ...] = ()


@attrs.frozen
class GrantMessage:
    """A renewal (`units` is None) or a full set of units for one group on one upstream."""

    group: str
    term: int
    set_version: int
    token: str
    length_s: float
    units: tuple[UnitGrant, ...] | None = None


@attrs.frozen
class GrantReply:
    """The upstream's answer; `reason` is empty when the message was accepted."""

    upstream_id: str
    token: str
    accepted: bool
    term: int = 0
    set_version: int = 0
    busy: tuple[str, ...] = ()
    draining: bool = False
    reason: str = ""


@attrs.frozen
class Hello:
    """What an upstream says about itself when first contacted."""

    upstream_id: str
    pool: str
    slots: int
    connections: int
    checks: str
    token: str
    draining: bool = False
    cold: bool = False
