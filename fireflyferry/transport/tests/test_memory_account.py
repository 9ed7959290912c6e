"""Decisions of the memory account: who waits, who is refused, which body gives way."""

import pytest

from fireflyferry.transport.memory_account import (
    CONNECTION_BYTES,
    FREE_CONNECTIONS,
    GROWTH_BYTES,
    Admission,
    MemoryAccount,
    MemoryLimits,
    MemoryRules,
    Verdict,
    head_memory_bytes,
)

MB = 1_000_000
RULES = MemoryRules()


def make_account(bodies=10 * MB, long=8 * MB):
    return MemoryAccount(MemoryLimits(bodies, long, MB, 10))


@pytest.mark.parametrize("memory_mb", [160, 200, 300, 552])
def test_longest_body_fits_each_machine(memory_mb):
    """Guards against a limit that refuses a legal body when load is calm."""
    account = MemoryAccount(MemoryLimits.of_vm(memory_mb))
    for _ in range(20):
        assert account.open(0.0, 360_000 // 4)[1] is Admission.GRANTED
    assert account.open(0.0, 67_108_864)[1] is Admission.GRANTED


def test_ordinary_uploads_never_wait():
    """Guards against a limit that ordinary load meets: 100 uploads a second of 60 to 360 KB."""
    account = MemoryAccount(MemoryLimits.of_vm(200))
    for number in range(230):  # in flight for 2.3 s each
        assert account.open(number / 100, 360_000)[1] is Admission.GRANTED


def test_body_that_does_not_fit_waits_and_is_granted_in_order():
    account = make_account()
    first, _ = account.open(0.0, 6 * MB)
    second, admission = account.open(0.1, 6 * MB)
    third, other = account.open(0.2, 2 * MB)
    assert admission is other is Admission.WAITS  # the third does not overtake the second
    account.close(first)
    assert list(account.granted(1.0)) == [second, third]


def test_short_body_is_not_held_up_by_long_ones_that_wait():
    """Guards against ordinary callers that wait behind a crowd of long bodies."""
    account = make_account()
    account.open(0.0, 6 * MB)
    assert account.open(0.1, 6 * MB)[1] is Admission.WAITS
    assert account.open(0.2, 60_000)[1] is Admission.GRANTED


def test_stalled_body_gives_way_only_to_one_that_waits():
    account = make_account()
    stalled, _ = account.open(0.0, 6 * MB)
    account.receive(0.5, stalled, 6 * MB - 1)
    assert not list(account.refused(2.0))
    waiting, _ = account.open(2.0, 6 * MB)
    assert list(account.refused(2.1)) == [(stalled, Verdict.STALLED)]
    account.close(stalled)
    assert list(account.granted(2.1)) == [waiting]


def test_drip_of_bytes_is_no_progress():
    """Guards against a crowd that keeps its memory by a few bytes a second."""
    account = make_account()
    slow, _ = account.open(0.0, 6 * MB)
    account.receive(0.0, slow, 5 * MB)
    for step in range(1, 20):
        account.receive(step / 10, slow, 10)
    account.open(1.5, 6 * MB)
    assert (slow, Verdict.STALLED) in list(account.refused(1.9))


def test_body_that_moves_keeps_its_memory_and_the_other_is_refused_in_time():
    account = make_account()
    moving, _ = account.open(0.0, 6 * MB)
    waiting, _ = account.open(0.0, 6 * MB)
    for step in range(1, 26):
        account.receive(step / 10, moving, 60_000)
        refused = list(account.refused(step / 10))
        assert refused == ([(waiting, Verdict.WAITED)] if step == 25 else [])


def test_complete_body_never_gives_way():
    """Guards against a non-idempotent request at work that is lost for its memory."""
    account = make_account()
    work, _ = account.open(0.0, 6 * MB)
    account.receive(0.0, work, 6 * MB)
    account.complete(work)
    waiting, _ = account.open(0.0, 6 * MB)
    verdicts = [pair for second in range(100) for pair in account.refused(float(second))]
    assert {claim for claim, _ in verdicts} == {waiting}


def test_body_without_a_byte_for_the_idle_time_is_refused():
    account = make_account()
    claim, _ = account.open(0.0, 100)
    assert not list(account.refused(RULES.idle_s - 0.1))
    assert list(account.refused(RULES.idle_s)) == [(claim, Verdict.STALLED)]


def test_bodies_of_unknown_length_that_wait_for_each_other_give_way():
    """Guards against a deadlock of bodies in chunks that all hold a part."""
    account = make_account(bodies=4 * GROWTH_BYTES, long=4 * GROWTH_BYTES)
    claims = [account.open(number / 100, None)[0] for number in range(4)]
    for claim in claims:
        assert account.receive(0.1, claim, GROWTH_BYTES) is Admission.WAITS
    refused = list(account.refused(0.1 + RULES.stall_s / 2))
    assert refused[0] == (claims[3], Verdict.WAITED)
    account.close(claims[3])
    assert claims[0] in list(account.granted(1.0))


def test_known_length_reserves_no_more_than_the_body():
    account = make_account()
    claim, _ = account.open(0.0, 1000)
    assert account.receive(0.0, claim, 1000) is Admission.GRANTED
    assert account.held_bytes == 1000


def test_body_above_the_limit_never_waits():
    account = make_account()
    assert account.open(0.0, 9 * MB)[1] is Admission.TOO_LARGE
    claim, _ = account.open(0.0, None)
    account.receive(0.0, claim, 8 * MB - 1)
    assert account.receive(0.0, claim, 1) is Admission.TOO_LARGE


def test_connections_draw_on_the_same_memory():
    account = make_account()
    account.connections = FREE_CONNECTIONS + 40
    account.open(0.0, 100)
    assert account.open(0.0, 10 * MB - 40 * CONNECTION_BYTES)[1] is Admission.WAITS


def make_process(resident, answers=0, memory_mb=96):
    """Return the account of a VM whose process holds so many megabytes, some of them answers."""
    account = MemoryAccount(MemoryLimits.of_vm(memory_mb))
    account.observe(resident * MB, answers * MB)
    return account


def close_refused(account, now_s):
    """Close the bodies that are refused, as the caller of the account does; return them."""
    refused = []
    for claim, verdict in account.refused(now_s):
        refused.append((claim, verdict))
        account.close(claim)
    return refused


def test_long_body_fits_only_beside_what_the_process_holds():
    """Guards against memory that no account counts: 96 MB less an eighth less answers leave 60."""
    assert make_process(54).open(0.0, 4 * MB)[1] is Admission.GRANTED
    busy = make_process(54)
    busy.open(0.0, 4 * MB)
    assert busy.open(0.0, 4 * MB)[1] is Admission.WAITS
    busy.observe(50 * MB, 0)  # 4 MB of it are still to arrive
    assert len(list(busy.granted(0.1))) == 1


def test_parts_that_are_all_full_stay_below_the_memory_of_the_vm():
    """Guards against parts that have a bound each and exceed the machine together."""
    for memory_mb in (96, 160, 300, 1000):
        account = make_process(55, memory_mb=memory_mb)
        resident = 55 * MB
        for size in (4 * MB, 1_000_000, 60_000):
            for _ in range(10_000):
                claim, admission = account.open(0.0, size)
                if admission is not Admission.GRANTED:
                    account.close(claim)
                    break
                account.receive(0.0, claim, size)
                account.complete(claim)
                resident += size
                account.observe(resident, 0)
        assert resident <= (1 - 1 / 8) * memory_mb * MB
        answers = account.limits.max_answers_bytes
        long_only = 55 * MB + account.long_bytes + answers
        assert long_only <= (1 - 1 / 8) * memory_mb * MB


def test_small_body_is_admitted_while_long_ones_wait_for_the_process():
    """Guards against ordinary callers that are refused for the memory that answers may take."""
    account = make_process(70)
    account.open(0.0, 4 * MB)
    assert account.open(0.0, 4 * MB)[1] is Admission.WAITS
    assert account.open(0.0, 300_000)[1] is Admission.WAITS
    assert account.open(0.0, 1_000)[1] is Admission.GRANTED


def test_longest_body_alone_is_served_beside_the_process_of_the_smallest_machine():
    assert make_process(60, memory_mb=160).open(0.0, 67_108_864)[1] is Admission.GRANTED


def test_incomplete_bodies_give_way_while_the_process_is_above_its_limit():
    """Guards against growth after bodies were admitted: the youngest long one goes first."""
    account = make_process(50, answers=24)
    claims = [account.open(number / 10, size)[0] for number, size in enumerate((4 * MB, 4 * MB))]
    small, _ = account.open(0.3, 1_000)
    work, _ = account.open(0.4, 2 * MB)
    account.receive(0.5, work, 2 * MB)
    account.complete(work)
    account.observe(78 * MB, 24 * MB)
    assert close_refused(account, 0.5) == [(claims[1], Verdict.WAITED)]
    assert not close_refused(account, 0.5)
    account.observe(90 * MB, 24 * MB)
    assert [claim for claim, _ in close_refused(account, 0.5)] == [claims[0], small]


def test_long_heads_have_a_bound_and_ordinary_ones_are_free():
    """Guards against heads of many lines, which take many times their size at work."""
    assert head_memory_bytes(30, 2_000) == 0
    heavy = head_memory_bytes(1_780, 16_000)
    assert 1_780 * 350 <= heavy <= 1_000_000
    account = make_process(55)
    admissions = [account.open(0.0, 0, heavy)[1] for _ in range(60)]
    assert admissions[0] is Admission.GRANTED and admissions[-1] is Admission.REFUSED
    assert account.heads_bytes <= 24 * MB
    assert account.open(0.0, 1_000)[1] is Admission.GRANTED


def test_head_is_held_until_its_request_has_ended():
    account = make_process(50)
    claim, _ = account.open(0.0, 1_000, 500_000)
    account.receive(0.0, claim, 1_000)
    account.complete(claim)
    assert (account.held_bytes, account.heads_bytes) == (1_000, 500_000)
    account.close(claim)
    assert (account.held_bytes, account.heads_bytes, account.due_bytes) == (0, 0, 0)


def test_waiting_body_that_is_closed_waits_no_longer():
    account = make_account()
    first, _ = account.open(0.0, 6 * MB)
    second, _ = account.open(0.0, 6 * MB)
    assert account.waiting == 1
    account.close(second)
    account.close(first)
    assert account.waiting == 0 and not list(account.granted(1.0))
