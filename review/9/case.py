"""An instance whose entry is removed while connections are silent gets requests for too long."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

REMOVED_AFTER_S = 0.2
SERVES_ON_S = 3.1  # drainTimeoutS and "a little longer (at times many seconds)"
WORK_S = 0.3
RATE_PER_S = 30  # until shortly before the connections fall silent; then nobody books until
BOOKED_AFTER_S = standins.SETTLE_WINDOW_S + 0.1
BOOKINGS = 32  # at once, over all VMs: twice as many as there are slots
SLACK_S = 0.05  # for the scheduling of this process


async def scenario(record, folder, ends, trouble):
    """Let connections to the store fall silent, remove an entry; return whether DRAIN is broken."""
    store = await standins.Store(record).listen()
    ends.append(store)
    routes = {"book": standins.route("/book/", "plain", kind="unsafe")}
    store.put("config", "main", standins.configuration(1, routes, {"plain": {}}))
    instances = [
        await standins.Instance(record, store, name, "plain", 4, work_s=WORK_S).start()
        for name in ("i-a", "i-b", "i-c", "i-d")
    ]
    ends.extend(instances)
    links = [await standins.StoreLink(record, store.port).start() for _ in range(2)]
    ends.extend(links)
    vms = await standins.start_vms(folder, store, 2, store_links=links)
    ends.extend(vms)
    await standins.wait_ready(vms)
    calls, sent_s = [], {}

    def book():
        number = len(calls)
        vm, request_id = vms[number % len(vms)], f"r-{number}"
        options = {"method": "POST", "body": b"x"}
        sent_s[request_id] = record.now()
        calls.append(
            asyncio.ensure_future(standins.call(vm, request_id, "/book/x", 2000, **options))
        )

    load = asyncio.ensure_future(send_load(book))
    await asyncio.sleep(standins.SETTLE_WINDOW_S + 4.0)

    def watch_has_begun():
        return record.now() - links[0].watched_s.get("servers", 0.0) < 0.05

    load.cancel()
    await asyncio.gather(*calls)
    await standins.wait_until(watch_has_begun, 5.0, "a watch of the instances begins")
    silent_s = record.now()
    if trouble:
        for link in links:
            link.silence()
        record.add("all open connections to the store fall silent; new ones work")
    await asyncio.sleep(REMOVED_AFTER_S)
    leaver = instances[0]
    leaver.reports, leaver.leaves = False, True
    store.remove("servers", leaver.name)
    removed_s = record.now()
    record.add(f"the entry of {leaver.name} is removed; it exits {SERVES_ON_S} s later")
    await asyncio.sleep(silent_s + BOOKED_AFTER_S - record.now())
    for _ in range(BOOKINGS):
        book()
    await asyncio.sleep(removed_s + SERVES_ON_S - record.now())
    leaver.end()
    record.add(f"{leaver.name} exits")
    statuses = [status for status, _, _ in await asyncio.gather(*calls)]
    record.add(f"answers: { {status: statuses.count(status) for status in set(statuses)} }")
    in_touch_s = silent_s + standins.SETTLE_WINDOW_S if trouble else 0.0
    due_s = max(in_touch_s, removed_s + standins.DRAIN_TIMEOUT_S) + SLACK_S
    late = [
        (at_s, request_id)
        for at_s, request_id in leaver.arrivals
        if at_s > due_s and sent_s[request_id] > in_touch_s
    ]
    for at_s, request_id in late:
        record.add(
            f"{request_id} reached {leaver.name} {at_s - removed_s:.2f} s after its entry was "
            f"removed, {at_s - silent_s:.2f} s after the connections fell silent; "
            f"its client gets {statuses[int(request_id[2:])]}"
        )
    record.add(f"{len(late)} requests reached {leaver.name} too late, from VMs in touch")
    return bool(late)


async def send_load(book):
    """Book at a steady rate, until cancelled."""
    while True:
        book()
        await asyncio.sleep(1 / RATE_PER_S)


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, scenario, trouble=os.environ.get("TROUBLE", "1") != "0"))
