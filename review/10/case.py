"""Requests that may run once are sent to instances long after their clients have left."""

import asyncio
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

WAVES, CLIENTS, PAUSE_S = 4, 36, 5.0
LEAVING_SHARE = 0.3  # the largest share of clients that leave in the site's days
LEAVES_AFTER_S = 0.4
DEADLINE_MS = 4309
LATE_S = 0.5
A_FEW = 5


async def scenario(record, folder, ends, trouble):
    """Send waves of requests, and return whether GONE is broken."""
    store = await standins.Store(record).listen()
    ends.append(store)
    dock = standins.route("/upload/", "dock", kind="unsafe", timeout_s=5.0, target_s=3.263)
    store.put("config", "main", standins.configuration(1, {"upload": dock}, {"dock": {}}))
    instances = [
        await standins.Instance(record, store, name, "dock", 3, work_s=0.3).start()
        for name in ("i-a", "i-b")
    ]
    ends.extend(instances)
    vms = await standins.start_vms(folder, store, 2)
    ends.extend(vms)
    await standins.wait_ready(vms)
    for number in range(4):
        status, _, _ = await standins.call(
            vms[number % 2], f"calm-{number}", "/upload/calm", DEADLINE_MS, method="POST", body=b"x"
        )
        if status != 200:
            raise RuntimeError(f"a calm request got {status}")
    await asyncio.sleep(standins.SETTLE_WINDOW_S + 1.0)

    rng = random.Random(7)
    left_s = {}
    statuses = []
    for wave in range(WAVES):
        leaving = set(rng.sample(range(CLIENTS), int(LEAVING_SHARE * CLIENTS)))
        tasks = [
            send(record, vms[n % 2], f"w{wave}-{n}", trouble and n in leaving, left_s)
            for n in range(CLIENTS)
        ]
        statuses += await asyncio.gather(*tasks)
        await asyncio.sleep(PAUSE_S - 1.0)
    record.add(f"answers: { {status: statuses.count(status) for status in set(statuses)} }")
    arrivals = [each for instance in instances for each in instance.arrivals]
    late = [
        (arrived_s - left_s[request_id], request_id)
        for arrived_s, request_id in arrivals
        if request_id in left_s and arrived_s - left_s[request_id] > LATE_S
    ]
    for waited_s, request_id in sorted(late):
        record.add(f"{request_id} reaches an instance {waited_s:.2f} s after its client has left")
    record.add(f"{len(left_s)} clients left, {len(late)} of their requests came later than 0.5 s")
    return len(late) > A_FEW


async def send(record, vm, request_id, leaves, left_s):
    """Send a request and return the status of its answer, or leave before it."""
    reader, writer = await standins.open_client(vm)
    try:
        writer.write(
            standins.request_bytes(
                request_id, "/upload/x", DEADLINE_MS, method="POST", body=b"x" * 2000
            )
        )
        record.add(f"client sends {request_id} to {vm.name}")
        if leaves:
            done = asyncio.ensure_future(standins.read_answer(reader))
            await asyncio.wait([done], timeout=LEAVES_AFTER_S)
            if done.done() and done.exception() is None:
                return done.result()[0]
            done.cancel()
            left_s[request_id] = record.now()
            record.add(f"client of {request_id} closes its connection")
            return "left"
        status, _, _ = await standins.read_answer(reader)
        record.add(f"client gets {status} for {request_id}")
        return status
    except (OSError, EOFError):
        return 0
    finally:
        writer.close()


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, scenario, trouble=os.environ.get("TROUBLE", "1") != "0"))
