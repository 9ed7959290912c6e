"""Typed messages between processes and their JSON codec."""

from fireflyferry.messages.codec import decode, encode
from fireflyferry.messages.grants import GrantMessage, GrantReply, Hello, UnitGrant
from fireflyferry.messages.groups import (
    GroupId,
    GroupRecord,
    Heartbeat,
    HeartbeatReply,
    OwnerSet,
    VmIncarnation,
    parse_group_id,
)
from fireflyferry.messages.partial import decode_readable_parts, is_nested_deeper
from fireflyferry.messages.vms import VmEntry

__all__ = [
    "GrantMessage",
    "GrantReply",
    "GroupId",
    "GroupRecord",
    "Heartbeat",
    "HeartbeatReply",
    "Hello",
    "OwnerSet",
    "UnitGrant",
    "VmEntry",
    "VmIncarnation",
    "decode",
    "decode_readable_parts",
    "encode",
    "is_nested_deeper",
    "parse_group_id",
]
