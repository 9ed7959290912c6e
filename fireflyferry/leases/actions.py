"""Actions that a GroupAuthority requests, and outcomes of writes and takeovers."""

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
    """Send a heartbeat to the standby that it names; pass the reply to `on_heartbeat_reply`."""

    heartbeat: Heartbeat


@attrs.frozen
class ReadRecord:
    """Read the group's record from the store; pass the result to `observe_record`."""

    group: GroupId


@attrs.frozen
class WriteRecord:
    """Write the record if the stored version is the expected one (0: no record exists).

    Pass the result to `on_write_result`, with the time just before this write was sent.
    """

    record: GroupRecord
    expected_version: int


Action = SendHeartbeat | ReadRecord | WriteRecord


class WriteOutcome(enum.StrEnum):
    """Result of a conditional write; an unknown one may still take effect later."""

    STORED = "stored"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class TakeoverCause(enum.StrEnum):
    """Reason why a VM became the leader of a new term."""

    CREATED = "created"
    EXPIRED = "expired"
    RESIGNED = "resigned"
    DECLARED_LOST = "declared_lost"
    TERM_RAISED = "term_raised"
