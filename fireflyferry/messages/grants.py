"""Messages between a group's leader and an upstream."""

import attrs

__all__ = ["GrantMessage", "GrantReply", "Hello", "UnitGrant"]


@attrs.frozen
class UnitGrant:
    """A unit in a grant: a bucket of keys, or a single key that is separate from its bucket.

    A unit is a shard, which has one owner. `fence` is the fencing token of the grant, which rises
    with every grant of the unit. `excluded` lists the keys of a bucket that are separate units.
    """

    unit: str
    fence: int
    excluded: tuple[str, ...] = ()


@attrs.frozen
class GrantMessage:
    """A grant: the upstream's lease on the units of one group that it owns.

    `units` is the full set with the number `set_version`; None renews that set. The lease ends
    `length_s` seconds after the reading of the upstream's clock that `token` contains.
    """

    group: str
    term: int
    set_version: int
    token: str
    length_s: float
    units: tuple[UnitGrant, ...] | None = None


@attrs.frozen
class GrantReply:
    """The upstream's answer to a grant message.

    `token` is for the leader's next grant. `term` and `set_version` identify the newest set that
    the upstream has accepted. `busy` lists units outside of that set that still have running
    requests. `draining` is true if all its units are to be moved to other upstreams. `reason` is
    empty if the message was accepted.
    """

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
    """An upstream's answer to a hello, a leader's request for its capacity and state.

    `slots` is the number of requests that it runs at once, and `connections` its limit of
    connections. `checks` is `grants` if it verifies grants and fences, and `none` otherwise.
    `token` is for the leader's next grant. `cold` is true if the upstream has just started and
    needs a load that rises in steps.
    """

    upstream_id: str
    pool: str
    slots: int
    connections: int
    checks: str
    token: str
    draining: bool = False
    cold: bool = False
