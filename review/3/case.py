"""All open connections to the store fall silent; a configuration changes right after."""

import asyncio
import pathlib
import sys

from standins import (
    BROKEN,
    HELD,
    Client,
    Deployment,
    Instance,
    Record,
    Vm,
    has_trouble,
    route,
    run_case,
)

MACHINES = 4
CONFIG_APPLY_S = 2.0
SETTLE_WINDOW_S = 3.0
CHANGE_BEFORE_S = 0.3  # from an earlier change to the silence
CHANGE_AFTER_S = 0.3  # from the silence to the change that must be in force
WATCHED_S = 6.0
MARGIN_S = 0.1  # added to both bounds, for the time that the stand-ins take


async def send_requests(
    vm: Vm, record: Record, sent: dict[str, float], statuses: dict[str, int]
) -> None:
    """Send one request after the other on one connection until cancelled."""
    client = Client(vm, record)
    await client.open()
    try:
        number = 0
        while True:
            number += 1
            request_id = f"{vm.vm_id}-{number}"
            sent[request_id] = record.now_s
            client.send(request_id, "GET", "/read/x", 2500)
            statuses[request_id] = (await client.read(request_id)).status
            await asyncio.sleep(0.05)
    finally:
        client.close()


async def case(record: Record) -> int:
    """Return whether a request ran at the earlier service after the bound."""
    deployment = Deployment(record)
    services = {"old": {}, "new": {}, "other": {}}
    instances = [
        Instance(f"{service}-{n}", service, ("ost-a", "ost-b")[n % 2], record, lambda: 0.02)
        for service in services
        for n in range(2)
    ]
    read = route("read", "safe", "old")
    deployment.configure([read], services)
    tasks = []
    try:
        await deployment.start(MACHINES, instances)
        sent: dict[str, float] = {}
        statuses: dict[str, int] = {}
        for vm in deployment.vms:
            tasks.append(asyncio.ensure_future(send_requests(vm, record, sent, statuses)))
        await asyncio.sleep(2.0)
        deployment.configure([read, route("more", "safe", "other")], services)
        await asyncio.sleep(CHANGE_BEFORE_S)
        silent_s = record.now_s
        if has_trouble():
            number = sum(vm.link.silence() for vm in deployment.vms)
            record.write(f"{number} open connections to the store fall silent for good")
        await asyncio.sleep(CHANGE_AFTER_S)
        deployment.configure([route("read", "safe", "new")], services)
        acknowledged_s = record.now_s
        await asyncio.sleep(WATCHED_S)
        bound_s = max(acknowledged_s + CONFIG_APPLY_S, silent_s + SETTLE_WINDOW_S) + MARGIN_S
        late = [
            run.request_id
            for instance in instances
            for run in instance.runs
            if instance.service == "old" and sent.get(run.request_id, 0.0) > bound_s
        ]
        after = [each for each, at_s in sent.items() if at_s > bound_s and each in statuses]
        record.write(f"requests sent after the bound at {bound_s:.3f}: {len(after)}")
        record.write(f"of these, run by the earlier service: {len(late)}, {late[:10]}")
        if len(after) < 100:
            raise RuntimeError(f"only {len(after)} requests were sent after the bound")
        return BROKEN if late else HELD
    finally:
        for task in tasks:
            task.cancel()
        await deployment.close()


if __name__ == "__main__":
    sys.exit(run_case(case, pathlib.Path(__file__).parent))
