"""Calls from the granting VM to upstreams and to the store, and their results."""

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
    """Times in seconds; `drift` bounds the share by which an upstream's clock may run slower."""

    hold_s: float = 5.0  # all grants stay valid during a store outage of 5 s
    renew_s: float = 1.2
    retry_delay_s: float = 0.3
    call_timeout_s: float = 0.6  # upstreams answer within milliseconds, even from other regions
    release_timeout_s: float = 4.0  # an upstream first ends its requests for the released keys
    drift: float = 0.03  # clocks of upstreams may run up to 2% slow
    margin_s: float = 0.5  # for bytes still in transit when a call times out

    @property
    def max_validity_s(self) -> float:
        """Longest time from the end of a grant call until its grant has expired."""
        return self.hold_s * (1 + self.drift) + self.margin_s


class GrantAnswer(Enum):
    """Result of a grant or release call."""

    ACCEPTED = auto()
    HIGHER_FENCE = auto()
    UNKNOWN = auto()  # no answer, or one without a usable result
    NOT_SENT = auto()  # no byte of the call left this VM
    NO_LISTENER = auto()  # the port refused the connection


@attrs.frozen
class ListedRun:
    """An incarnation of an upstream that the store lists; `accepting` if it may be granted keys."""

    run: UpstreamRun
    address: str
    accepting: bool


@attrs.frozen
class GrantCall:
    """Grant of keys `first` to `last` to an upstream for `hold_s` seconds, or its renewal.

    `handover` is what the earlier holder returned when it released the keys; empty if nothing.
    """

    run: UpstreamRun
    address: str
    first: int
    last: int
    fence: int
    hold_s: float
    handover: str


@attrs.frozen
class ReleaseCall:
    """Release of keys `first` to `last` by an upstream that may hold them."""

    run: UpstreamRun
    address: str
    first: int
    last: int
    fence: int


@attrs.frozen
class SaveTable:
    """Conditional write of the table: only over the given revision; 0 creates it."""

    table: OwnerTable
    revision: int
