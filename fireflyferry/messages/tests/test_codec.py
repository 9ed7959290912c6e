"""Guards against fields that change in encoding and against malformed bodies that are accepted."""

import orjson
import pytest

from fireflyferry.messages import GroupId, Heartbeat, VmIncarnation, decode, encode
from fireflyferry.messages.codec import MessageError, read_each, structure, unstructure
from fireflyferry.routing.hosts import HostRoute, PoolShare


def test_round_trip_keeps_a_message():
    heartbeat = Heartbeat(
        GroupId("janela", "natal-1", 0), 3, VmIncarnation("vm-1", "a"), VmIncarnation("vm-2", "b")
    )
    assert decode(encode(heartbeat), Heartbeat) == heartbeat


@pytest.mark.parametrize("body", [b"", b"[]", b'{"group": 1}', b"not json"])
def test_malformed_body_is_refused(body):
    with pytest.raises(MessageError):
        decode(body, Heartbeat)


def nested(levels):
    return orjson.loads("[" * levels + "]" * levels)


# Guards against a record of wrong types that is converted and used, such as "false" as True.
@pytest.mark.parametrize(
    ("message_type", "value"),
    [
        *((str, odd) for odd in (5, None, ["a"], {}, nested(300), nested(900))),
        *((int, odd) for odd in ("5", 5.0, True, None, 2.0**64, 2**63, float("inf"))),
        *((float, odd) for odd in ("1", "nan", True, None, float("nan"), float("inf"), [])),
        *((bool, odd) for odd in ("false", 0, 1, None, [])),
        (dict[str, int], [1]),
        (tuple[int, ...], 5),
        (VmIncarnation, nested(900)),
        (VmIncarnation, {"vm_id": nested(900), "incarnation": "a"}),
    ],
    ids=lambda each: ascii(each)[:24] if not isinstance(each, list) else "list",
)
def test_value_of_another_type_is_rejected_instead_of_converted(message_type, value):
    with pytest.raises(MessageError):
        structure(value, message_type)


# Guards against one odd record that costs the other records of its list.
def test_records_beside_an_odd_one_are_kept(caplog):
    values = [1, "two", 3, nested(900), None, 6]
    kept = list(read_each(values, lambda value: structure(value, int), "numbers"))
    assert kept == [1, 3, 6]
    (record,) = caplog.records
    assert (record.getMessage(), record.source, record.skipped) == ("records_skipped", "numbers", 3)


def test_sets_of_names_are_written_as_lists_in_order():
    """Guards against a configuration that a relay cannot encode, so that no follower gets it."""
    share = PoolShare("plain", 1.0)
    route = HostRoute("r", "h", "/", True, 2.0, 1.0, 0, 1, (share,), frozenset({"tartu", "harju"}))
    written = unstructure(route)
    assert written["allowed_regions"] == ["harju", "tartu"]
    assert decode(encode(route), HostRoute) == structure(written, HostRoute) == route
