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
