"""Event loop that skips polls: I/O is neither lost nor held back."""

import asyncio
import socket

from fireflyferry.transport.event_loop import MAX_ROUNDS_WITHOUT_POLL, ReadyFirstSelector


def run(coroutine):
    selector = CountingSelector()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        return runner.run(coroutine), selector


class CountingSelector(ReadyFirstSelector):
    """Counts the rounds and the polls that reached the kernel."""

    def __init__(self):
        super().__init__()
        self.rounds = self.polls = 0

    def select(self, timeout=None):
        self.rounds += 1
        before = self._skipped
        ready = super().select(timeout)
        self.polls += self._skipped <= before
        return ready


def test_rounds_of_callbacks_do_not_poll():
    """Guards against a system call for each step of a task.

    Load pattern: many requests, each of which takes several rounds of callbacks.
    """

    async def steps():
        for _ in range(160):
            await asyncio.sleep(0)

    _, selector = run(steps())
    assert selector.rounds >= 160
    assert selector.polls <= 160 / MAX_ROUNDS_WITHOUT_POLL + 5


def test_callbacks_that_never_end_do_not_hold_back_sockets():
    """Guards against starvation of connections by tasks that always have more to do."""

    async def read_beside_endless_callbacks():
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        received = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().add_reader(
            reader, lambda: received.done() or received.set_result(reader.recv(1))
        )
        writer.send(b"x")
        rounds = 0
        while not received.done():
            rounds += 1
            await asyncio.sleep(0)
        asyncio.get_running_loop().remove_reader(reader)
        reader.close()
        writer.close()
        return rounds, received.result()

    (rounds, data), _ = run(read_beside_endless_callbacks())
    assert data == b"x" and rounds <= MAX_ROUNDS_WITHOUT_POLL + 2


def test_timers_fire_while_nothing_is_ready():
    async def sleep_shortly():
        await asyncio.wait_for(asyncio.sleep(0.01), 5)
        return True

    assert run(sleep_shortly())[0]
