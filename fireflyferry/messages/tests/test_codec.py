"""Guards against fields that change in encoding and against malformed bodies that are accepted."""

import pytest

from fireflyferry.messages import GroupId, Heartbeat, VmIncarnation, decode, encode
from fireflyferry.messages.codec import MessageError


def test_round_trip_keeps_a_message():
    heartbeat = Heartbeat(
        GroupId("janela", "natal-1", 0), 3, VmIncarnation("vm-1", "a"), VmIncarnation("vm-2", "b")
    )
    assert decode(encode(heartbeat), Heartbeat) == heartbeat


@pytest.mark.parametrize("body", [b"", b"[]", b'{"group": 1}', b"not json"])
def test_malformed_body_is_refused(body):
    with pytest.raises(MessageError):
        decode(body, Heartbeat)
