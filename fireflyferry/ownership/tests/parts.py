"""Upstreams, requests and scheduled events of `World`."""

import attrs

from fireflyferry.leases import GrantHolder, RequestTicket
from fireflyferry.ownership import GrantManager

__all__ = ["Node", "Request", "ScheduledCall", "ViolationError"]


class ViolationError(AssertionError):
    """An invariant does not hold."""


@attrs.define
class Node:
    """An upstream with its own clock; a restart replaces `holder`."""

    name: str
    holder: GrantHolder
    clock_rate: float
    clock_offset_s: float
    delay_s: float = 0.0
    disconnected: bool = False
    frozen: bool = False
    restarts: int = 0

    def clock_s(self, now_s):
        return self.clock_offset_s + now_s * self.clock_rate

    def restart(self):
        self.restarts += 1
        self.holder = GrantHolder(self.name, f"{self.name}-{self.restarts}", self.holder.checks)


@attrs.define(eq=False)
class Request:
    """A forwarded request; it has arrived at the upstream once `ticket` is set."""

    key: str
    unit: str
    fence: int
    node: Node
    grants: GrantManager
    ticket: RequestTicket | None = None
    node_restarts: int = 0
    held_elsewhere: bool = False


@attrs.define(eq=False)
class ScheduledCall:
    """A call to a node at a given time, or to the leader if `node` is None."""

    at_s: float
    node: Node | None
    call: object
