"""Actions that a GroupAuthority asks for, and the results that it is told."""

import enum

import attrs

from fireflyferry.messages import GroupId, GroupRecord, Heartbeat

__all__ = [
    "Action",
    "ReadRecord",
    "SendHeartbeat",
    "TakeoverCause",
    "WriteOutcome",
    "WriteRecord",
]


@attrs.frozen
class SendHeartbeat:
    """Send a heartbeat to its standby; the reply goes to `on_heartbeat_reply`."""

    heartbeat: Heartbeat


@attrs.frozen
class ReadRecord:
    """Read the group's record from the store; the result goes to `observe_record`."""

    group: GroupId


@attrs.frozen
class WriteRecord:
    """Write the record if its version is the expected one (0: it does not exist).

    The result goes to `on_write_result`, with the time before this write was sent.
    """

    record: GroupRecord
    expected_version: int


Action = SendHeartbeat | ReadRecord | WriteRecord


class WriteOutcome(enum.StrEnum):
    """What is known about a write; an unknown one may still take effect later."""

    STORED = "stored"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class TakeoverCause(enum.StrEnum):
    """How a VM became the leader of its current term."""

    CREATED = "created"
    EXPIRED = "expired"
    RESIGNED = "resigned"
    DECLARED_LOST = "declared_lost"
    TERM_RAISED = "term_raised"
