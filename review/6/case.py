"""A grant that a cut link held up reaches its instance after the keys have gone to another one."""

import asyncio
import itertools
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

CUT_S = 9.0  # the site's longest cut of this kind is 12 s
BOOKS_AFTER_S, BOOKINGS = 1.4, 4
DRAINS_AFTER_S = 2.0
SERVES_ON_S = 18.0  # of the instance that leaves; "at times many seconds"


async def scenario(record, folder, ends, trouble):
    """Cut an instance off, let it leave, and return whether OWNER is broken."""
    store = await standins.Store(record).listen()
    ends.append(store)
    store.put(
        "config",
        "main",
        standins.configuration(
            1,
            {
                "read": standins.route("/read/", "keys"),
                "book": standins.route("/book/", "keys", kind="unsafe"),
            },
            {"keys": {"sharded": True}},
        ),
    )
    instances = [
        standins.Instance(record, store, name, "keys", 4, work_s=0.05, sharded=True)
        for name in ("i-a", "i-b", "i-c", "i-d")
    ]
    leaver = instances[0]
    await leaver.listen()
    link = await standins.Link(record, leaver.port).start()
    ends.append(link)
    leaver.address = f"127.0.0.1:{link.port}"
    leaver._heartbeats = asyncio.get_running_loop().create_task(leaver._report())
    for each in instances[1:]:
        await each.start()
    ends.extend(instances)
    vms = await standins.start_vms(folder, store, 2)
    ends.extend(vms)
    await standins.wait_ready(vms)

    def all_keys_held():
        now_s = record.now()
        held = [each for instance in instances for each in instance.held if now_s < each[3]]
        return sum(last - first + 1 for first, last, _, _ in held) == 65_536

    await standins.wait_until(all_keys_held, 20.0, "all keys are held")
    statuses = [await call(record, vms, number) for number in range(12)]
    if statuses.count(200) < 10:
        raise RuntimeError(f"calm requests got {statuses}")
    await asyncio.sleep(standins.SETTLE_WINDOW_S + 1.0)
    await book(record, vms, "calm", leaver)

    if trouble:
        await link.cut()
    began_s = time.monotonic()
    # By now the grant has been renewed once, and the bookings arrive after it.
    await asyncio.sleep(BOOKS_AFTER_S)
    bookings = asyncio.ensure_future(book(record, vms, "cut", leaver))
    await asyncio.sleep(DRAINS_AFTER_S - BOOKS_AFTER_S)
    left_keys = [(first, last) for first, last, _, _ in leaver.held]
    leaver.state = "draining"
    leaver.write_entry()
    record.add(f"{leaver.name} reports draining; its keys: {left_keys}")
    await asyncio.sleep(max(0.0, began_s + CUT_S - time.monotonic()))
    healed_s = record.now()
    if trouble:
        link.heal()
    statuses = []
    number = 12
    while time.monotonic() < began_s + DRAINS_AFTER_S + SERVES_ON_S:
        statuses.append(await call(record, vms, number))
        number += 1
        await asyncio.sleep(0.25)
    await bookings
    record.add(f"answers after the cut: {statuses.count(200)} of {len(statuses)} are 200")
    healed_s = healed_s if trouble else float("-inf")
    takes = breaks_token_order(record, instances, healed_s)
    begin = both_begin(record, instances, healed_s)
    return takes or begin


async def book(record, vms, label, owner):
    """Send bookings for keys of an owner at the same time, over all VMs."""
    first, last = owner.held[0][:2]

    async def send(vm, number):
        key = first + (last - first) * number // (BOOKINGS * len(vms))
        name = f"{label}-{number}"
        options = {"method": "POST", "body": b"x", "key": key}
        status, _, _ = await standins.call(vm, name, "/book/x", 2000, **options)
        record.add(f"client gets {status} for booking {name}, key {key}, from {vm.name}")

    numbers = range(BOOKINGS * len(vms))
    await asyncio.gather(*(send(vms[number % len(vms)], number) for number in numbers))


async def call(record, vms, number):
    """Send a request for a key and return the status of its answer."""
    key = number * 7919 % 65_536
    vm = vms[number % len(vms)]
    status, _, _ = await standins.call(vm, f"r-{number}", f"/read/{number}", 2000, key=key)
    record.add(f"client gets {status} for r-{number}, key {key}, from {vm.name}")
    return status


def both_begin(record, instances, healed_s):
    """OWNER: two instances hold a key at the same time, and both begin requests in that time."""
    broken = False
    for one, other in itertools.permutations(instances, 2):
        for from_s, first, last, fence, until in one.grants:
            if healed_s <= from_s <= healed_s + standins.THAW_SLACK_S:
                continue
            for other_s, a, b, token, other_until in other.grants:
                low, high = max(first, a), min(last, b)
                since_s, to_s = max(from_s, other_s), min(until, other_until)
                if low > high or since_s >= to_s or fence >= token:
                    continue
                begun = [
                    [
                        each
                        for each in it.begun
                        if since_s <= each[0] < to_s and low <= each[2] <= high
                    ]
                    for it in (one, other)
                ]
                if all(begun):
                    broken = True
                    names = [[request_id for _, request_id, _ in each] for each in begun]
                    record.add(
                        f"BROKEN: from {since_s:.3f} to {to_s:.3f} {one.name} (fence {fence}) and "
                        f"{other.name} (fence {token}) hold {low}-{high}; they begin {names[0]} "
                        f"and {names[1]}"
                    )
    return broken


def breaks_token_order(record, instances, healed_s):
    """OWNER: a key is taken with a token that isn't above all with which others had it."""
    broken = False
    for instance in instances:
        for taken_s, first, last, fence, until in instance.grants:
            if healed_s <= taken_s <= healed_s + standins.THAW_SLACK_S:
                continue  # "grants that arrive within thawSlackS after a link healed don't count"
            for other in instances:
                earlier = [
                    each
                    for each in other.grants
                    if each[0] < taken_s and each[1] <= last and first <= each[2]
                ]
                higher = [each for each in earlier if each[3] >= fence]
                if other is instance or not higher:
                    continue
                broken = True
                since_s, a, b, token, _ = higher[0]
                both_s = min(until, max(each[4] for each in higher)) - taken_s
                record.add(
                    f"BROKEN: at {taken_s:.3f} {instance.name} takes {first}-{last} with fence "
                    f"{fence}; {other.name} has had {a}-{b} with fence {token} since "
                    f"{since_s:.3f}; both hold them for {both_s:.1f} s or more"
                )
    return broken


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, scenario, trouble=os.environ.get("TROUBLE", "1") != "0"))
