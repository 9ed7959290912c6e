"""Calls from the granting VM to upstreams and to the store, and their results."""

from enum import Enum, auto

import attrs

from fireflyferry.keyranges.table import OwnerTable, UpstreamRun

__all__ = [
    "Clearance",
    "GrantAnswer",
    "GrantCall",
    "GrantResult",
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
    # Between releases to an earlier holder whose grants have expired, until it answers one.
    reminder_delay_s: float = 0.5
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
    NO_LISTENER = auto()  # the port refused the connection; a live process may be behind it
    OTHER_UPSTREAM = auto()  # another upstream has the address, so the one that was meant has ended
    CONNECTION_TOO_NEW = auto()  # not sent, since the process at the address may be another one


@attrs.frozen
class GrantResult:
    """Result of a grant call.

    `opened_connections` is how many connections this VM had opened when the call was sent; None if
    it was not sent.
    """

    answer: GrantAnswer
    opened_connections: int | None = None


class Clearance(Enum):
    """Proof that an earlier holder of a range holds it no longer."""

    RELEASED = auto()  # it has acknowledged the release
    ENDED = auto()  # another upstream has its address
    RESTARTED = auto()  # the owner is a later incarnation of it
    EXPIRED = auto()  # its grants have expired


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
    A renewal goes only over a connection whose number is at most `max_connection`. `cleared` says
    for each earlier holder why it holds the keys no longer.
    """

    run: UpstreamRun
    address: str
    first: int
    last: int
    fence: int
    hold_s: float
    handover: str = ""
    max_connection: int | None = None
    cleared: tuple[tuple[UpstreamRun, Clearance], ...] = ()


@attrs.frozen
class ReleaseCall:
    """Release of keys `first` to `last` by an upstream that may hold them.

    A reminder goes to an upstream whose grants have expired, so that it refuses one that was held
    up on its way.
    """

    run: UpstreamRun
    address: str
    first: int
    last: int
    fence: int
    is_reminder: bool = False


@attrs.frozen
class SaveTable:
    """Conditional write of the table: only over the given revision; 0 creates it."""

    table: OwnerTable
    revision: int
