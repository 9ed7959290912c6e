"""Guards against one answer that takes the processor or the memory from all others."""

import pytest

from fireflyferry.transport.answer_cost import AnswerCost
from fireflyferry.transport.answer_memory import SHORT_BYTES, AnswerMemory


def count_until_refused(add, most=1_000_000):
    return next((number for number in range(most) if not add(number)), most)


def cost():
    return AnswerCost(0.0)


def test_heads_are_bounded_in_lines_bytes_and_number():
    one, other, third = cost(), cost(), cost()
    assert count_until_refused(lambda _: one.add_line(10)) == 256
    assert count_until_refused(lambda _: other.add_line(1_000)) == 65
    assert count_until_refused(lambda _: third.add_interim_head()) == 10


@pytest.mark.parametrize(
    ("piece_bytes", "most"), [(1, 2_050), (512, 2_400), (3_000, 8_000), (4_096, 10**6)]
)
def test_pieces_that_arrive_at_once_are_bounded_unless_they_are_large(piece_bytes, most):
    one = cost()
    assert count_until_refused(lambda _: one.add_piece(piece_bytes, 0.0)) <= most


def test_steps_that_transfer_nothing_or_little_are_bounded():
    one, other = cost(), cost()
    assert count_until_refused(lambda _: one.add_step(0, 0.0)) == 32
    assert count_until_refused(lambda number: other.add_step(number + 1, 0.0)) == 256


@pytest.mark.parametrize("events_per_s", [1, 50, 900])
def test_slow_stream_of_small_pieces_is_within_the_limits(events_per_s):
    """Guards against limits that end an answer which only lasts long."""
    one = cost()
    for number in range(1, 20_000):
        now_s = number / events_per_s
        assert one.add_piece(20, now_s) and one.add_step(20 * number, now_s)


def test_bytes_between_those_of_the_body_are_bounded_at_any_speed():
    """Guards against chunk extensions that a slow machine reads for as long as the deadline allows.

    Each chunk has one byte and an extension of 8,000; calls are counted elsewhere.
    """
    one, other = cost(), cost()

    def add(number):
        one.add_piece(1, 3600.0 * number)
        return one.allows_read(8_007 * number, number)

    assert count_until_refused(add) == 33
    assert not other.allows_read(300_000, 1)
    for number in range(1, 10_000):  # the smallest chunks, and long bodies
        assert other.add_piece(1, float(number)) and other.allows_read(6 * number, number)
    assert other.add_piece(8 << 20, 1e4) and other.allows_read(60_000 + (8 << 20), 8 << 20)


def test_slow_receiver_is_within_the_limits():
    """Guards against limits that end an answer which is held back after each piece."""
    one = cost()
    for number in range(1, 10_000):
        assert all(one.add_step(16_384 * number, number / 1e4) for _ in range(4))


@pytest.mark.parametrize("piece_bytes", [1_400, 16_384])
def test_long_answer_in_pieces_of_a_packet_or_a_read_is_within_the_limits(piece_bytes):
    one = cost()
    for number in range(1, (2 << 20) // piece_bytes):
        assert one.add_piece(piece_bytes, 0.0) and one.add_step(piece_bytes * number, 0.0)


def test_long_answers_leave_memory_for_short_ones():
    """Guards against a few endless answers that make the short answers of sound upstreams fail."""
    memory = AnswerMemory.of_vm(300.0)
    sizes = [0] * 8

    def grow(_number):
        taken = False
        for index, size in enumerate(sizes):
            if memory.take(size, 16_384):
                sizes[index] += 16_384
                taken = True
        return taken

    count_until_refused(grow)
    assert max(sizes) > SHORT_BYTES
    assert sum(memory.take(0, SHORT_BYTES) for _ in range(30)) == 30
    for size in (*sizes, *([SHORT_BYTES] * 30)):
        memory.give_back(size)
    assert (memory.used_bytes, memory._long_bytes) == (0, 0)
