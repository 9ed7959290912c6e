"""A grant that a cut link held up reaches its instance after the keys have gone to another one."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

CUT_S = 9.0  # the site's longest cut of this kind is 12 s
DRAINS_AFTER_S = 2.0
SERVES_ON_S = 18.0  # of the instance that leaves; "at times many seconds"


async def scenario(record, folder, ends, trouble):
    store = await standins.Store(record).listen()
    ends.append(store)
    store.put(
        "config",
        "main",
        standins.configuration(
            1, {"read": standins.route("/read/", "keys")}, {"keys": {"sharded": True}}
        ),
    )
    instances = [
        standins.Instance(record, store, name, "keys", 2, work_s=0.05, sharded=True)
        for name in ("i-a", "i-b", "i-c")
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

    if trouble:
        await link.cut()
    began_s = time.monotonic()
    await asyncio.sleep(DRAINS_AFTER_S)
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
    record.add(f"answers after the cut: {statuses.count(200)} of {len(statuses)} are 200")
    return breaks_owner(record, instances, healed_s if trouble else float("-inf"))


async def call(record, vms, number):
    key = number * 7919 % 65_536
    vm = vms[number % len(vms)]
    status, _, _ = await standins.call(vm, f"r-{number}", f"/read/{number}", 2000, key=key)
    record.add(f"client gets {status} for r-{number}, key {key}, from {vm.name}")
    return status


def breaks_owner(record, instances, healed_s):
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
    sys.exit(standins.main(FOLDER, scenario))
