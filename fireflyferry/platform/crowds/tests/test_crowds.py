"""Crowds of callers whose requests are of legal size each.

They check that a process lives, that its memory and descriptors stay under bounds which follow from
the machine that its settings name, and that one ordinary request is answered afterwards.
"""

import asyncio

import pytest

from fireflyferry.platform.crowds.tests.world import PIECE_BYTES, Caller, CrowdVm, CrowdWorld, head

MEMORY_MB = 96  # a process without requests takes about 40 MB
MAX_BODY_BYTES = 4 << 20
CROWD = 40  # bodies of the whole crowd: 168 MB
PIECE = b"x" * PIECE_BYTES
PIECES = MAX_BODY_BYTES // PIECE_BYTES
# The crowd has sent what the VM reads after this time; whoever is still sending is held back.
SENDING_S = 6.0
SMALLEST_MACHINE_MB = 160
LONGEST_BODY_BYTES = 67_108_864
# 200 of the descriptors of a machine are reserved for files.
DESCRIPTORS, FILES = 400, 200


def run(tmp_path, crowd, vms=1, memory_mb=MEMORY_MB, max_body=MAX_BODY_BYTES, descriptors=None):
    """Run a crowd at each VM at the same time, then check what must hold of each."""

    async def scenario():
        world = CrowdWorld(tmp_path, max_body)
        try:
            await world.start(vms, memory_mb, descriptors)
            await asyncio.gather(*(crowd(world, vm) for vm in world.vms))
            for vm in world.vms:
                assert vm.running
                for upstream in world.upstreams:
                    await ordinary_answer(world, vm, upstream.pool)
            for vm in world.vms:
                vm.sample()
                print(f"{vm.vm_id}: {vm.peak_bytes / 1e6:.1f} MB, {vm.peak_descriptors} files")
                assert vm.running
                assert vm.peak_bytes <= memory_mb * 1e6
                if descriptors is not None:
                    assert vm.peak_descriptors <= descriptors - FILES
        finally:
            world.close()

    asyncio.run(scenario())


async def ordinary_answer(world: CrowdWorld, vm: CrowdVm, pool: str) -> None:
    """Send an ordinary request again until it is answered, as callers do after a refusal."""
    async with asyncio.timeout(60):
        while await world.ordinary(vm, pool) != 200:
            await asyncio.sleep(0.2)


async def gather_crowd(vm: CrowdVm, member, size: int = CROWD) -> None:
    """Run `member(caller, number)` for each of a crowd, for a limited time; then all leave."""
    callers = [await Caller(vm).open() for _ in range(size)]
    tasks = [asyncio.ensure_future(member(each, n)) for n, each in enumerate(callers)]
    await asyncio.wait(tasks, timeout=SENDING_S)
    for task in tasks:
        task.cancel()
    for caller in callers:
        caller.close()


def far_pool(vm: CrowdVm) -> str:
    """Return the pool whose last hop is the other VM, if there are two."""
    return "pool-1" if vm.vm_id == "vm-0" else "pool-0"


async def send_whole(caller: Caller, number: int, pool: str) -> None:
    await caller.send(head(f"w{number}", pool, f"Content-Length: {MAX_BODY_BYTES}"))
    await caller.send(PIECE, PIECES)
    await caller.read_status()


async def send_in_pieces(caller: Caller, number: int, pool: str) -> None:
    await caller.send(head(f"p{number}", pool, f"Content-Length: {MAX_BODY_BYTES}"))
    for _ in range(PIECES):
        if not await caller.send(PIECE[:1]) or not await caller.send(PIECE[1:]):
            break
        await asyncio.sleep(0.001)
    await caller.read_status()


async def stall_with_length(caller: Caller, number: int, pool: str) -> None:
    await caller.send(head(f"s{number}", pool, f"Content-Length: {MAX_BODY_BYTES}"))
    await caller.send(PIECE, PIECES - 1)
    await caller.send(PIECE[:-1])
    await caller.read_status()


async def stall_in_chunks(caller: Caller, number: int, pool: str) -> None:
    await caller.send(head(f"c{number}", pool, "Transfer-Encoding: chunked"))
    await caller.send(b"10000\r\n" + PIECE + b"\r\n", PIECES - 1)
    await caller.send(b"10000\r\n" + PIECE[:-1])
    await caller.read_status()


async def send_in_chunks(caller: Caller, number: int, pool: str) -> None:
    await caller.send(head(f"c{number}", pool, "Transfer-Encoding: chunked"))
    await caller.send(b"10000\r\n" + PIECE + b"\r\n", PIECES)
    await caller.send(b"0\r\n\r\n")
    await caller.read_status()


async def pipeline(caller: Caller, number: int, pool: str) -> None:
    work = head(f"r{number}", pool, "X-Work-S: 8", "Content-Length: 1") + b"x"
    await caller.send(work)
    behind = head(f"b{number}", pool, "Content-Length: 1") + b"x"
    await caller.send(behind * 100, 200)


async def read_slowly(caller: Caller, number: int, pool: str) -> None:
    # One after the other, since answers that are collected at the same time have a bound already.
    await asyncio.sleep(number * SENDING_S / CROWD / 2)
    lines = (f"X-Answer-Bytes: {MAX_BODY_BYTES}", "Content-Length: 1")
    await caller.send(head(f"l{number}", pool, *lines) + b"x")
    await caller.read_status(drop_body=False)
    await asyncio.sleep(SENDING_S)


FORMS = pytest.mark.parametrize(
    "form",
    [
        send_whole,
        send_in_pieces,
        stall_with_length,
        send_in_chunks,
        stall_in_chunks,
        pipeline,
        read_slowly,
    ],
)


@FORMS
def test_crowd_at_one_vm(form, tmp_path):
    """Guards against a process that is killed for its memory, with all that it has at work."""

    async def crowd(world, vm):
        await gather_crowd(vm, lambda caller, number: form(caller, number, "pool-0"))

    run(tmp_path, crowd)


@FORMS
def test_crowds_at_two_vms_that_forward_to_each_other(form, tmp_path):
    """Guards against memory for forwarded requests, and against VMs that wait for each other."""

    async def crowd(world, vm):
        await gather_crowd(vm, lambda caller, number: form(caller, number, far_pool(vm)), CROWD)

    run(tmp_path, crowd, vms=2)


def test_crowd_of_idle_connections_leaves_descriptors(tmp_path):
    """Guards against callers that take the descriptors which upstreams and the store need."""

    async def crowd(world, vm):
        async def wait(caller, number):
            await asyncio.sleep(SENDING_S)

        await gather_crowd(vm, wait, 260)

    run(tmp_path, crowd, descriptors=DESCRIPTORS)


@pytest.mark.parametrize("vms", [1, 2])
@pytest.mark.parametrize("chunked", [False, True])
def test_longest_body_is_served_on_the_smallest_machine(vms, chunked, tmp_path):
    """Guards against copies of a body: 67 MB beside a process of 40 MB leave room for one."""
    pieces = LONGEST_BODY_BYTES // PIECE_BYTES

    async def crowd(world, vm):
        if vm is not world.vms[0]:
            return
        caller = await Caller(vm).open()
        pool = far_pool(vm) if vms > 1 else "pool-0"
        if chunked:
            await caller.send(head("long", pool, "Transfer-Encoding: chunked"))
            await caller.send(b"10000\r\n" + PIECE + b"\r\n", pieces)
            await caller.send(b"0\r\n\r\n")
        else:
            await caller.send(head("long", pool, f"Content-Length: {LONGEST_BODY_BYTES}"))
            await caller.send(PIECE, pieces)
        assert await caller.read_status() == 200
        sizes = [each.received.get("long", 0) for each in world.upstreams]
        assert max(sizes) == LONGEST_BODY_BYTES
        caller.close()

    run(tmp_path, crowd, vms, SMALLEST_MACHINE_MB, LONGEST_BODY_BYTES)
