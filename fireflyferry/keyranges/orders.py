"""Calls of the granting VM to upstreams and to the store, and their answers."""

from enum import Enum, auto

import attrs

from fireflyferry.keyranges.table import OwnerTable, UpstreamRun

__all__ = [
    "GrantAnswer",
    "GrantCall",
    "GrantTiming",
    "ListedRun",
    "ReleaseCall",
    "SaveTable",
]


@attrs.frozen
class GrantTiming:
    """Times in seconds; `drift` bounds how much slower an upstream's clock may run."""

    hold_s: float = 5.0  # a store outage of 5 s leaves every grant running
    renew_s: float = 1.2
    retry_delay_s: float = 0.3
    call_timeout_s: float = 0.6  # upstreams answer within milliseconds, also from other regions
    release_timeout_s: float = 4.0  # the work on released keys ends before the answer
    drift: float = 0.03  # clocks of upstreams may run 2% slow
    margin_s: float = 0.5  # bytes that were on their way when a call was given up

    @property
    def runs_out_s(self) -> float:
        """Longest time from the end of a grant call until its grant has run out."""
        return self.hold_s * (1 + self.drift) + self.margin_s


class GrantAnswer(Enum):
    """Result of a grant or release call."""

    ACCEPTED = auto()
    HIGHER_FENCE = auto()
    UNKNOWN = auto()  # no answer, or one that says nothing
    NOT_SENT = auto()  # no byte of the call left this VM
    NO_LISTENER = auto()  # the port refused the connection


@attrs.frozen
class ListedRun:
    """A run that the store lists; `accepting` if it may be given keys."""

    run: UpstreamRun
    address: str
    accepting: bool


@attrs.frozen
class GrantCall:
    """Grant or renew keys."""

    run: UpstreamRun
    address: str
    first: int
    last: int
    fence: int
    hold_s: float
    handover: str


@attrs.frozen
class ReleaseCall:
    """Take keys back from a run that may hold them."""

    run: UpstreamRun
    address: str
    first: int
    last: int
    fence: int


@attrs.frozen
class SaveTable:
    """Write the table if the stored revision is the given one; 0 creates it."""

    table: OwnerTable
    revision: int
