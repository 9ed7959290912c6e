"""Crowds of forms from the table, alone and several at once.

`make crowds SEEDS=1-50` runs the crowds that these seeds draw.
"""

import asyncio
import os
import signal

import attrs
import pytest

from fireflyferry.platform.crowds.tests.forms import (
    MAX_BODY_BYTES,
    After,
    Asks,
    Crowd,
    Form,
    Framing,
    Head,
    Stop,
    draw_crowd,
    send_form,
)
from fireflyferry.platform.crowds.tests.world import Caller, CrowdVm, CrowdWorld, head

CROWD_S = 6.0
GRACE_PERIOD_S = 6.0  # in the settings of the VMs
ANSWER_TIMEOUT_S = 60.0  # long, since the result must not depend on how busy the machine is


def run(tmp_path, crowd: Crowd):
    """Run a crowd at each VM until an ordinary caller was answered; then check the processes."""

    async def scenario():
        world = CrowdWorld(tmp_path, MAX_BODY_BYTES)
        try:
            await world.start(crowd.vms, crowd.memory_mb)
            tasks = [asyncio.ensure_future(each) for vm in world.vms for each in members(vm, crowd)]
            try:
                await asyncio.sleep(CROWD_S)
                await answer_everywhere(world)
            finally:
                for task in tasks:
                    task.cancel()
                results = await asyncio.gather(*tasks, return_exceptions=True)
            faults = [each for each in results if isinstance(each, Exception)]
            assert not faults
            await answer_everywhere(world)
            for vm in world.vms:
                vm.sample()
                print(f"{vm.vm_id}: {vm.peak_bytes / 1e6:.1f} MB, {vm.peak_descriptors} files")
                assert vm.running
                assert vm.peak_bytes <= crowd.memory_mb * 1e6
        finally:
            world.close()

    asyncio.run(scenario())


def members(vm: CrowdVm, crowd: Crowd):
    for number in range(crowd.callers):
        form = crowd.forms[number % len(crowd.forms)]
        own, other = ("pool-0", "pool-1") if vm.vm_id == "vm-0" else ("pool-1", "pool-0")
        yield send_form(vm, form, number, other if form.far else own)


async def answer_everywhere(world: CrowdWorld) -> None:
    """Send an ordinary request to each VM again until it is answered."""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        for vm in world.vms:
            for upstream in world.upstreams:
                while vm.running and await world.ordinary(vm, upstream.pool) != 200:
                    await asyncio.sleep(0.2)


def near_and_far(form: Form) -> tuple[Form, Form]:
    """Return a form for requests that are forwarded and for those that are not."""
    return form, attrs.evolve(form, far=True)


STOPS_EARLY = Form(stop=Stop.MOST, after=After.RETURNS)
MANY_LINES = Form(stop=Stop.MOST, after=After.RESETS, head=Head.MANY_LINES)
BYTE_CHUNKS = Form(framing=Framing.BYTE_CHUNKS, stop=Stop.MOST, after=After.RETURNS)
AT_WORK = Form(asks=Asks.WORK, after=After.RETURNS)
HEADS_AT_WORK = Form(stop=Stop.NO_BODY, asks=Asks.WORK, head=Head.MANY_LINES)
HEADS_AGAIN = Form(stop=Stop.NO_BODY, asks=Asks.UNKNOWN, head=Head.MANY_LINES, after=After.RETURNS)
UNREAD = Form(stop=Stop.NO_BODY, asks=Asks.LARGE_UNREAD)
UNREAD_AGAIN = attrs.evolve(UNREAD, after=After.FOLLOWS)
STALLS = Form(framing=Framing.CHUNKS, stop=Stop.ONE_SHORT)
LONG_HEADS = Form(stop=Stop.HEAD, head=Head.LONG)
ALL_PARTS = (STOPS_EARLY, AT_WORK, UNREAD, STALLS, HEADS_AT_WORK, LONG_HEADS, MANY_LINES)

CROWDS = {
    "most_of_a_body_then_return": Crowd((STOPS_EARLY,)),
    "most_of_a_body_then_return_two_vms": Crowd(near_and_far(STOPS_EARLY), vms=2),
    "most_of_a_body_behind_many_lines": Crowd((MANY_LINES,), callers=120),
    "chunks_of_one_byte": Crowd((BYTE_CHUNKS,), callers=80),
    "heads_of_many_lines_at_work": Crowd((HEADS_AT_WORK,), callers=120),
    "heads_of_many_lines_then_return": Crowd((HEADS_AGAIN,), callers=120),
    "answers_that_nobody_reads": Crowd((UNREAD, UNREAD_AGAIN), callers=80),
    "all_parts_at_once": Crowd(ALL_PARTS, callers=84),
    "all_parts_at_once_two_vms": Crowd(
        tuple(each for form in ALL_PARTS for each in near_and_far(form)), vms=2, callers=84
    ),
}


@pytest.mark.parametrize("name", CROWDS)
def test_crowd(name, tmp_path):
    """Guards against a process that exceeds its memory, or has no time for ordinary callers."""
    run(tmp_path, CROWDS[name])


def test_vm_that_stops_beside_a_crowd_ends(tmp_path):
    """Guards against an exit that waits for bodies which wait for memory.

    The bodies begin shortly before the exit, on connections that were opened before the signal.
    """

    async def scenario():
        world = CrowdWorld(tmp_path, MAX_BODY_BYTES)
        try:
            await world.start(1, 96)
            (vm,) = world.vms
            callers = [await Caller(vm).open() for _ in range(40)]
            work = await Caller(vm).open()  # keeps the VM from an earlier exit
            await work.send(head("work", "pool-0", "X-Work-S: 20", "Content-Length: 1") + b"x")
            vm.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(GRACE_PERIOD_S - 2.0)
            for number, caller in enumerate(callers):
                length = f"Content-Length: {MAX_BODY_BYTES}"
                await caller.send(head(f"late-{number}", "pool-0", length) + b"x")
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while vm.running:
                    await asyncio.sleep(0.1)
            assert vm.process.returncode == 0
            for caller in (*callers, work):
                caller.reset()
        finally:
            world.close()

    asyncio.run(scenario())


def seeds() -> range:
    """Return the seeds that were asked for, or the one that CI runs."""
    first, _, last = os.environ.get("FIREFLYFERRY_CROWD_SEEDS", "2").partition("-")
    return range(int(first), int(last or first) + 1)


@pytest.mark.parametrize("seed", seeds())
def test_drawn_crowd(seed, tmp_path):
    """Guards against forms that together exceed what each of them is bounded by."""
    crowd = draw_crowd(seed)
    print(crowd)
    run(tmp_path, crowd)
