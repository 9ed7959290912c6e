"""Clients that leave are not noticed while many bytes lie behind their request."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

CLIENTS, LEAVING, PIPELINING = 36, 10, 6  # of those that leave, PIPELINING have sent more
BEHIND, COOKIE_BYTES = 6, 14_000
WORK_S, LEAVES_AFTER_S, LATE_S = 2.2, 0.7, 0.5
DEADLINE_MS = 6000


async def scenario(record, folder, ends, trouble):
    """Let some clients leave, and return whether GONE is broken."""
    store = await standins.Store(record).listen()
    ends.append(store)
    read = standins.route("/read/", "plain", timeout_s=6.0, target_s=1.5)
    store.put("config", "main", standins.configuration(1, {"read": read}, {"plain": {}}))
    instances = [
        await standins.Instance(record, store, f"i-{n}", "plain", 16, work_s=WORK_S).start()
        for n in range(4)
    ]
    ends.extend(instances)
    vms = await standins.start_vms(folder, store, 2)
    ends.extend(vms)
    await standins.wait_ready(vms)
    await asyncio.sleep(standins.SETTLE_WINDOW_S + 1.0)

    left_s = {}
    clients = [
        send(record, vms[n % 2], f"r-{n}", trouble and n < LEAVING, n < PIPELINING, left_s)
        for n in range(CLIENTS)
    ]
    statuses = await asyncio.gather(*clients)
    await asyncio.sleep(WORK_S + 2.0)
    record.add(f"answers: { {status: statuses.count(status) for status in set(statuses)} }")
    if not left_s:
        return False
    dropped_s = {
        line.split(" drops ")[1].split(",")[0]: float(line.split()[0])
        for line in record.lines
        if " drops " in line
    }
    at_work = [name for name, at_s in left_s.items() if dropped_s.get(name, 1e9) > at_s + LATE_S]
    late = [
        name
        for instance in instances
        for at_s, name in instance.arrivals
        if at_s > left_s.get(name.partition("+")[0], 1e9) + LATE_S
    ]
    record.add(f"{len(at_work)} of {len(left_s)} requests are still at work: {at_work}")
    record.add(f"{len(late)} requests of clients that left reach an instance later: {late}")
    return len(at_work) > len(left_s) / 4


async def send(record, vm, request_id, leaves, pipelines, left_s):
    """Send a request, and others behind it; return the status, or leave before the answer."""
    reader, writer = await standins.open_client(vm)
    try:
        writer.write(standins.request_bytes(request_id, "/read/x", DEADLINE_MS))
        for number in range(BEHIND if pipelines else 0):
            request = standins.request_bytes(f"{request_id}+{number}", "/read/x", DEADLINE_MS)
            cookie = b"Cookie: " + b"c" * COOKIE_BYTES
            writer.write(request[:-2] + cookie + b"\r\n\r\n")
        if leaves:
            await asyncio.sleep(LEAVES_AFTER_S)
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
