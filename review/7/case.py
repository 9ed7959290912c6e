"""A VM that was frozen for a moment never learns of a later configuration."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

ZONES = dict.fromkeys(("zone-a", "zone-b", "zone-c", "zone-d"), "region-1")  # one VM in each
INSTANCES, SLOTS, WORK_S = 6, 12, 1.4
CLIENTS = 70
FREEZE_S = 1.5
WATCH_S = 1.6  # how long a watch of the configuration waits with a settleWindowS of 3 s
ANSWERED_AFTER_S = 1.0  # from the begin of the freeze to the answer of that watch
CONFIG_APPLY_S = 2.0
SLACK_S = 0.2
LATER_S = 10.0  # until the second look at a stale VM
ROUNDS, FREEZES = 5, 3  # at most; the script ends once the VM is stale


async def scenario(record, folder, ends, trouble):
    """Freeze a VM some times, then change the configuration; return whether the VM is stale."""
    store = await standins.Store(record).listen()
    ends.append(store)
    store.put("config", "main", configuration(1))
    for number in range(INSTANCES):
        name = f"look-{number}"
        instance = standins.Instance(record, store, name, "look", SLOTS, work_s=WORK_S)
        ends.append(await instance.start())
    for name in ("ledger-0", "ledger-1"):
        ends.append(await standins.Instance(record, store, name, name, 4, work_s=0.05).start())
    links = [await standins.StoreLink(record, store.port).start() for _ in ZONES]
    ends.extend(links)
    vms = await standins.start_vms(folder, store, len(ZONES), ZONES, links)
    ends.extend(vms)
    await standins.wait_ready(vms)
    await asyncio.sleep(standins.SETTLE_WINDOW_S + 1.0)
    frozen = set()
    clients = [asyncio.ensure_future(look(vms, frozen, number)) for number in range(CLIENTS)]
    try:
        for version in range(2, ROUNDS + 2):
            for _ in range(FREEZES):
                await freeze(record, vms[0], links[0], frozen, trouble)
            await asyncio.sleep(standins.SETTLE_WINDOW_S + 0.1)
            store.put("config", "main", configuration(version))
            acknowledged_s = record.now()
            ledger = f"ledger-{version % 2}"
            record.add(f"the store acknowledges version {version}: /book/ goes to {ledger}")
            await asyncio.sleep(CONFIG_APPLY_S + SLACK_S)
            if await find_stale(record, vms, version, acknowledged_s):
                await asyncio.sleep(LATER_S)
                await find_stale(record, vms, version, acknowledged_s)
                return True
        return False
    finally:
        for each in clients:
            each.cancel()
        await asyncio.gather(*clients, return_exceptions=True)


def configuration(version):
    """Return a configuration; each version moves the bookings to the other ledger."""
    ledger = f"ledger-{version % 2}"
    routes = {
        "look": standins.route("/look/", "look", timeout_s=6.0),
        "book": standins.route("/book/", ledger, kind="unsafe"),
    }
    return standins.configuration(version, routes, {"look": {}, "ledger-0": {}, "ledger-1": {}})


async def freeze(record, vm, link, frozen, trouble):
    """Freeze a VM so that its watch of the configuration is answered meanwhile."""
    earlier_s = link.watched_s.get("config")

    def watch_has_begun():
        return link.watched_s.get("config") != earlier_s

    with contextlib.suppress(RuntimeError):  # none begins once the VM is stale
        await standins.wait_until(watch_has_begun, 3.0, "a watch of the configuration")
    begun_s = link.watched_s["config"]
    await asyncio.sleep(max(0.0, begun_s + WATCH_S - ANSWERED_AFTER_S - record.now()))
    if trouble:
        record.add(f"{vm.name} freezes")
        vm.send(signal.SIGSTOP)
        frozen.add(vm)
    await asyncio.sleep(FREEZE_S)
    if trouble:
        vm.send(signal.SIGCONT)
        frozen.discard(vm)
        record.add(f"{vm.name} wakes")


async def look(vms, frozen, number):
    """Send safe requests, one after the other, to VMs that are not frozen."""
    for turn in range(number, 1_000_000):
        awake = [vm for vm in vms if vm not in frozen]
        await standins.call(awake[turn % len(awake)], f"r-{number}-{turn}", "/look/x", 5000)
        await asyncio.sleep(random.uniform(0.0, 0.1))


async def find_stale(record, vms, version, acknowledged_s):
    """Book at all VMs; return whether one follows an older version."""
    found = False
    for vm in vms:
        sent_s = record.now()
        name = f"book-{version}-{vm.name}-{sent_s:.0f}"
        options = {"method": "POST", "body": b"x"}
        status, _, body = await standins.call(vm, name, "/book/x", 2000, **options)
        ran_at = body.decode("latin-1").partition(" ")[0]
        record.add(f"{vm.name} answers {name} with {status}, run by {ran_at}")
        if status == 200 and ran_at != f"ledger-{version % 2}":
            found = True
            after_s = sent_s - acknowledged_s
            record.add(f"BROKEN: sent {after_s:.2f} s after version {version} was acknowledged")
    return found


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, scenario, trouble=os.environ.get("TROUBLE", "1") != "0"))
