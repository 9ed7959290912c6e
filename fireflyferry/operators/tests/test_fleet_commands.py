"""Guards against wrong reports and records of VMs and owners, and lost answers shown as success."""

import asyncio

import orjson
import pytest

from fireflyferry.messages import GroupId, GroupRecord, VmIncarnation, decode, encode
from fireflyferry.messages.control import (
    AssignReply,
    DrainReply,
    GroupStatus,
    LostVm,
    Move,
    VmStatus,
)
from fireflyferry.operators.arguments import make_parser
from fireflyferry.operators.errors import ExitCode, OperatorError
from fireflyferry.operators.fleet_commands import resolve_unit
from fireflyferry.operators.main import run_command
from fireflyferry.operators.tests.fake_fleet import (
    FakePeers,
    FakeStore,
    entry,
    make_context,
    upstream,
)
from fireflyferry.tables import Pool

GROUP = GroupId("janela", "natal-1", 0)
VMS = (entry("e-1"), entry("e-2", "natal-2"))


@pytest.fixture
def store():
    fake_store = FakeStore()
    command(fake_store, FakePeers(), "pools add janela data_centres=natal-1 buckets=64")
    return fake_store


def command(store, peers, text, vms=VMS):
    lines = []
    options = make_parser().parse_args(text.split())
    code = asyncio.run(run_command(make_context(store, vms, peers, lines=lines), options))
    return code, "\n".join(lines)


def error_of(store, peers, text):
    with pytest.raises(OperatorError) as caught:
        command(store, peers, text)
    return caught.value


def status(vm, revision=1, **fields):
    return VmStatus(VmIncarnation(vm, "a"), "natal-1", revision, **fields)


def test_assign_follows_the_redirect_to_the_leader_and_shows_the_durability(store):
    done = AssignReply(True, group=str(GROUP), fence=9, durability="standby")
    peers = FakePeers(assigns={"e-1:1": AssignReply(False, "not_leader", "e-2:1"), "e-2:1": done})
    code, text = command(store, peers, "assign janela b:17 u-1")
    assert code == ExitCode.DONE and "fence 9; saved in the standby" in text
    assert [address for address, _ in peers.calls] == ["e-1:1", "e-2:1"]
    assert peers.calls[1][1].unit == "b:17"


def test_assign_of_a_key_sends_the_unit_with_its_bucket(store):
    peers = FakePeers(assigns={"e-1:1": AssignReply(True)})
    command(store, peers, "assign janela sat-7 u-1")
    unit = peers.calls[0][1].unit
    assert unit.startswith("k:") and unit.endswith(":sat-7")
    command(store, peers, f"assign janela {unit} u-1")
    assert peers.calls[1][1].unit == unit


def test_assign_that_waits_for_a_release_is_not_reported_as_refused(store):
    peers = FakePeers(assigns={"e-1:1": AssignReply(False, "not_in_place_yet")})
    assert error_of(store, peers, "assign janela b:1 u-1").exit_code == ExitCode.UNKNOWN


def test_assign_without_an_answer_is_unknown(store):
    assert error_of(store, FakePeers(), "assign janela b:1 u-1").exit_code == ExitCode.UNKNOWN


@pytest.mark.parametrize("unit", ["b:64", "k:99:x", "a\nb", "\udcff"])
def test_assign_of_a_unit_that_does_not_exist_is_refused(store, unit):
    pool = Pool("janela", ("natal-1",), buckets=64)
    with pytest.raises(OperatorError) as caught:
        resolve_unit(pool, unit, False)
    assert caught.value.code == "no_such_unit"


def test_drain_of_a_vm_calls_only_that_vm(store):
    peers = FakePeers(drains={"e-2:1": DrainReply(True, units=3)})
    code, text = command(store, peers, "drain e-2")
    assert code == ExitCode.DONE and "1 VMs drain it, 3 units left" in text


def test_drain_of_an_upstream_calls_it_and_its_leaders(store):
    drains = {
        "u-1:2": DrainReply(True),
        "e-1:1": DrainReply(False, "unknown_upstream"),
        "e-2:1": DrainReply(True, units=4),
    }
    code, text = command(store, FakePeers(drains=drains), "drain u-1", (*VMS, upstream("u-1")))
    assert code == ExitCode.DONE and "1 VMs drain it, 4 units left" in text


def test_drain_of_an_upstream_names_what_did_not_answer(store):
    peers = FakePeers(drains={"e-2:1": DrainReply(True)})
    with pytest.raises(OperatorError) as caught:
        command(store, peers, "drain u-1", (*VMS, upstream("u-1")))
    assert caught.value.exit_code == ExitCode.PARTIAL
    assert caught.value.lines[:2] == ("u-1: u-1:2: no answer", "e-1: e-1:1: no answer")


def test_drain_of_an_unlisted_name_is_refused(store):
    assert error_of(store, FakePeers(), "drain u-9").code == "no_such_vm"


def write_group_record(store):
    leader, standby = VmIncarnation("e-1", "run-a"), VmIncarnation("e-2", "run-b")
    store.table.put(f"groups/{GROUP}", encode(GroupRecord(GROUP, 4, leader, standby)), 0)


def test_declaration_names_the_recorded_incarnations_and_needs_confirmation(store):
    write_group_record(store)
    assert error_of(store, FakePeers(), "declare-lost e-1").code == "not_confirmed"
    assert store.table.get("config/lost/e-1") is None
    store.faults = ["lost"]
    command(store, FakePeers(), "declare-lost e-1 --yes")
    declaration = decode(store.table.get("config/lost/e-1").data, LostVm)
    assert (declaration.incarnations, declaration.author) == (("run-a",), "ana")


def test_declaration_is_withdrawn_for_a_later_incarnation(store):
    assert error_of(store, FakePeers(), "declare-lost u-1 --withdraw").code == "not_declared"
    command(store, FakePeers(), "declare-lost u-1 --yes")
    assert not decode(store.table.get("config/lost/u-1").data, LostVm).withdrawn
    command(store, FakePeers(), "declare-lost u-1 --withdraw")
    assert decode(store.table.get("config/lost/u-1").data, LostVm).withdrawn


def test_vm_that_answers_cannot_be_declared_lost(store):
    peers = FakePeers({"e-1:1": status("e-1")})
    assert error_of(store, peers, "declare-lost e-1 --yes").code == "vm_answers"
    assert store.table.get("config/lost/e-1") is None


def test_status_shows_owners_moves_terms_and_why_a_vm_lags(store):
    leader = VmIncarnation("e-1", "a")
    old = GroupStatus(GROUP, 3, VmIncarnation("e-0", "a"))
    group = GroupStatus(
        GROUP, 4, leader, None, 1.1, {"u-1": 60}, {"k:1:hot": "u-2"}, (Move("b:2", "u-1", "u-2"),)
    )
    peers = FakePeers(
        {
            "e-1:1": status("e-1", groups=(group,), refusals={"queue_full": 2}),
            "e-2:1": status("e-2", 0, groups=(old,), refusals={"queue_full": 3}, feed_age_s=90.0),
            "e-3:1": status("e-3", 0, rejected_revision=1, rejected_reason="routes: bad\nline"),
        }
    )
    vms = (*VMS, entry("e-3"), entry("e-4"))
    code, text = command(store, peers, "status", vms)
    assert code == ExitCode.PARTIAL
    for part in (
        "Revision in the store: 1",
        "janela/natal-1/0 term 4 leader e-1 standby none",
        "units by owner: u-1: 60",
        "k:1:hot owner u-2",
        "move b:2 from u-1 to u-2",
        "more than one VM reports to lead it",
        "feed (no source yet) last answered 90.0 s ago",
        "rejected revision 1: routes: bad\\nline",
        "e-4 natal-1 live revision - lag: does not answer",
        "Refusals by reason: queue_full 5",
    ):
        assert part in text
    _, text = command(store, peers, "status --json", vms)
    assert orjson.loads(text)["groups"][0]["term"] == 4


def test_status_of_given_peers_needs_no_store(store):
    store.down = True
    peers = FakePeers({"127.0.0.1:9": status("e-1")})
    code, text = command(store, peers, "status --peer 127.0.0.1:9", None)
    assert code == ExitCode.PARTIAL
    assert "unknown, the store does not answer" in text and "revision 1" in text


def test_status_reports_tables_that_are_not_valid(store):
    current = store.table.get("config/tables")
    store.table.put("config/tables", b'{"revision": 2}', current.version)
    rejected = status("e-1", rejected_revision=2, rejected_reason="routes: found None")
    code, text = command(store, FakePeers({"e-1:1": rejected}), "status", VMS[:1])
    assert code == ExitCode.PARTIAL and "2, but the tables are missing or not valid" in text
    assert "lag: rejected revision 2: routes: found None" in text


def test_status_of_an_up_to_date_fleet_succeeds(store):
    peers = FakePeers({"e-1:1": status("e-1")})
    assert command(store, peers, "status", VMS[:1])[0] == ExitCode.DONE
