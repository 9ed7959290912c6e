"""Guards against cuts that let something pass, and against VMs that serve too little unseen."""

import asyncio
import contextlib
import socket
import struct
from types import SimpleNamespace

import pytest

from fireflyferry.platform import names
from fireflyferry.platform.soak.audit import Audit
from fireflyferry.platform.soak.cuts import CutPromise, vms_to_cut
from fireflyferry.platform.soak.paths import Cut, UpstreamPaths

TIMEOUT_S = 0.3
RETRANSMISSION_S = 10.0  # held bytes arrive with the next retransmission after the cut


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def outcome(awaitable, timeout_s=TIMEOUT_S):
    """Return what a call on a connection comes to."""
    try:
        async with asyncio.timeout(timeout_s):
            result = await awaitable
    except TimeoutError:
        return "hangs"
    except OSError as error:
        return type(error).__name__
    return result if isinstance(result, bytes) else "connected"


@pytest.mark.parametrize(
    ("cut", "kept", "new", "healed"),
    [
        (Cut.HANG, "hangs", "hangs", b"a"),
        (Cut.RESET, "ConnectionResetError", "ConnectionRefusedError", None),
        (Cut.REFUSE, b"a", "ConnectionRefusedError", None),
    ],
)
def test_cut_vm_does_not_reach_upstreams(cut, kept, new, healed):
    async def main():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        paths, value = UpstreamPaths(), {"spec": {"address": address}}
        first, second = (
            paths.view_of(vm_id)(names.UPSTREAM_KIND, value)["spec"]["address"].split(":")
            for vm_id in ("vm-1", "vm-2")
        )
        assert first != second and value["spec"]["address"] == address
        reader, writer = await asyncio.open_connection(*first)
        writer.write(b"b")
        assert await outcome(reader.read(100)) == b"b"
        paths.cut(["vm-1"], cut)
        writer.write(b"a")
        assert await outcome(reader.read(100)) == kept
        assert await outcome(asyncio.open_connection(*first)) == new
        assert await outcome(asyncio.open_connection(*second)) == "connected"
        paths.heal()
        assert await outcome(asyncio.open_connection(*first)) == "connected"
        if healed is not None:
            assert await outcome(reader.read(100), RETRANSMISSION_S) == healed
        paths.close()
        server.close()
        await asyncio.sleep(0.05)

    asyncio.run(main())


@pytest.mark.parametrize("resets", [True, False])
def test_held_bytes_arrive_unless_their_sender_has_reset_the_connection(resets):
    """Guards against a cut that hides bytes which arrive after their sender has closed."""

    async def main():
        received = []

        async def serve(reader, writer):
            with contextlib.suppress(ConnectionResetError):
                while data := await reader.read(100):
                    received.append(data)
            received.append("end")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        paths = UpstreamPaths()
        value = {"spec": {"address": f"127.0.0.1:{server.sockets[0].getsockname()[1]}"}}
        spec = paths.view_of("vm-1")(names.UPSTREAM_KIND, value)["spec"]
        _, writer = await asyncio.open_connection(*spec["address"].split(":"))
        writer.write(b"a")
        while received != [b"a"]:
            await asyncio.sleep(0.01)
        paths.cut(["vm-1"], Cut.HANG)
        writer.write(b"b")
        await asyncio.sleep(0.05)
        if resets:
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()
        await asyncio.sleep(0.05)
        paths.heal()
        async with asyncio.timeout(RETRANSMISSION_S):
            while received[-1] != "end":
                await asyncio.sleep(0.01)
        assert received == ([b"a", "end"] if resets else [b"a", b"b", "end"])
        paths.close()
        server.close()
        await asyncio.sleep(0.05)

    asyncio.run(main())


def make_vms():
    return [
        SimpleNamespace(
            vm_id=f"vm-{number}",
            data_centre=f"dc-{number % 2}",
            starts=1,
            disturbed=False,
            stopping=False,
        )
        for number in range(6)
    ]


@pytest.mark.parametrize(
    ("target", "cut_off"),
    [(1, ["vm-1"]), (7, ["vm-1", "vm-3"]), (13, ["vm-1", "vm-3", "vm-5"])],
)
def test_vms_of_one_data_centre_are_cut_off(target, cut_off):
    assert [vm.vm_id for vm in vms_to_cut(make_vms(), target)] == cut_off


CUT, OTHERS = (
    "VMs without a path to upstreams serve their callers",
    "VMs with a path serve while others have none",
)


# 20 requests to each VM, sent one after the other from `first_s` on. The cut begins at 10 s.
@pytest.mark.parametrize(
    ("served", "others", "first_s", "change", "only_cuts", "reported"),
    [
        (4, 20, 13.1, {}, True, {CUT}),
        (14, 20, 13.1, {}, True, set()),
        (3, 5, 13.1, {}, True, {CUT, OTHERS}),
        (4, 5, 13.1, {}, True, {OTHERS}),
        (4, 5, 13.1, {}, False, set()),
        (4, 20, 12.0, {}, True, set()),
        (4, 20, 20.0, {}, True, set()),
        (4, 20, 13.1, {"disturbed": True}, True, set()),
        (4, 20, 13.1, {"starts": 2}, True, set()),
    ],
)
def test_vm_that_serves_too_little_during_a_cut(
    served, others, first_s, change, only_cuts, reported
):
    audit, vms = Audit(), make_vms()
    promise = CutPromise(audit, lambda: True, only_cuts)
    promise.on_cut(10.0, frozenset({"vm-0"}))
    vars(vms[0]).update(change)
    for number in range(20):
        for vm, limit in ((vms[0], served), (vms[1], others)):
            now_s = first_s + number / 100
            request_id = f"{vm.vm_id}/{number}"
            promise.on_sent(now_s, request_id, vm)
            promise.on_ended(now_s, request_id, 200 if number < limit else 0)
    promise.on_healed(20.0)
    promise.finish()
    assert {each.invariant for each in audit.findings} == reported
