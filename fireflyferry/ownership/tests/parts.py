"""Upstreams, requests and timed events of the test world."""

import attrs

from fireflyferry.leases import GrantHolder, RequestTicket
from fireflyferry.ownership import GrantManager

__all__ = ["Node", "Request", "Timed", "ViolationError"]


class ViolationError(AssertionError):
    """An invariant does not hold."""


@attrs.define
class Node:
    """An upstream with its own clock; `holder` is replaced at a restart."""

    name: str
    holder: GrantHolder
    rate: float
    offset_s: float
    delay_s: float = 0.0
    cut: bool = False
    frozen: bool = False
    runs: int = 0

    def clock_s(self, now_s):
        return self.offset_s + now_s * self.rate

    def restart(self):
        self.runs += 1
        self.holder = GrantHolder(self.name, f"{self.name}-{self.runs}", self.holder.checks)


@attrs.define(eq=False)
class Request:
    """A forwarded request; it is on its way until `ticket` is set."""

    key: str
    unit: str
    fence: int
    node: Node
    book: GrantManager
    ticket: RequestTicket | None = None
    run: int = 0
    shared: bool = False


@attrs.define(eq=False)
class Timed:
    """Something that happens at a time, to a node or (None) to the leader."""

    at_s: float
    node: Node | None
    call: object
