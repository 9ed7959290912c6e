"""Clients with a request behind the first one leave before their deadline."""

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
    has_trouble,
    route,
    run_case,
)

MACHINES = 2
CLIENTS = 15  # in each round
GIVE_UP_EACH = 5  # one of so many clients leaves, a share of 0.2
SETTLE_WINDOW_S = 3.0
ROUNDS = 10
LEAVE_AFTER_S = 0.7  # within half the objective of board-read, which is 1.5 s
WORK_S = 2.2  # longest work of board-read is 3.3 s
REACTION_S = 0.5
FEW = 5  # requests that may reach an instance later than REACTION_S after the close


async def one_client(
    deployment: Deployment, name: str, vm_number: int, leaves: bool, closed: dict[str, float]
) -> None:
    """Send two requests, one behind the other, and read both answers or leave."""
    record = deployment.record
    client = Client(deployment.vms[vm_number], record)
    await client.open()
    ids = [f"{name}-{part}" for part in "ab"]
    try:
        for each in ids:
            client.send(each, "GET", "/board/x", 6000)
        if leaves:
            await asyncio.sleep(LEAVE_AFTER_S)
            record.write(f"{name} closes its connection")
            closed.update(dict.fromkeys(ids, record.now_s))
            return
        for each in ids:
            await client.read(each)
    finally:
        client.close()


async def case(record: Record) -> int:
    """Return whether instances get or keep work of clients that have left."""
    deployment = Deployment(record)
    instances = [
        Instance(f"i-{n}", "bordvakt", ("ost-a", "ost-b")[n % 2], record, lambda: WORK_S)
        for n in range(12)
    ]
    deployment.configure([route("board", "safe", "bordvakt")], {"bordvakt": {}})
    try:
        await deployment.start(MACHINES, instances)
        await asyncio.sleep(SETTLE_WINDOW_S + 0.5)
        closed: dict[str, float] = {}
        clients = []
        for number in range(ROUNDS):
            for k in range(CLIENTS):
                leaves = has_trouble() and k % GIVE_UP_EACH == 0
                name = f"c{number}-{k}"
                client = one_client(deployment, name, k % MACHINES, leaves, closed)
                clients.append(asyncio.ensure_future(client))
            await asyncio.sleep(1.0)
        await asyncio.gather(*clients)
        await asyncio.sleep(3.0)
        return judge(record, instances, closed)
    finally:
        await deployment.close()


def judge(record: Record, instances: list[Instance], closed: dict[str, float]) -> int:
    """Compare what reached the instances with the rule."""
    runs = [run for each in instances for run in each.runs if run.request_id in closed]
    late = [run for run in runs if run.arrived_s > closed[run.request_id] + REACTION_S]
    # Requests that were at work at the close and would have lasted longer than REACTION_S.
    open_runs = [
        run
        for run in runs
        if run.began_s is not None
        and run.began_s <= closed[run.request_id]
        and run.began_s + WORK_S > closed[run.request_id] + REACTION_S
        and (run.ended_s is None or run.ended_s > closed[run.request_id])
    ]
    kept = [
        run
        for run in open_runs
        if run.ended_s is None or run.ended_s > closed[run.request_id] + REACTION_S
    ]
    record.write(f"clients that left: {len(closed) // 2}")
    record.write(f"requests that reached an instance over half a second later: {len(late)}")
    record.write(f"at work at the close: {len(open_runs)}, half a second later: {len(kept)}")
    is_broken = len(late) > FEW or len(kept) > len(open_runs) / 4
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    sys.exit(run_case(case, pathlib.Path(__file__).parent))
