"""An instance that wants no requests for 75 s gets them after 60 s."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

QUIET_S = 75.0
RATE_PER_S = 20
ALLOWED, FREE_S = 2, 0.5


class QuietInstance(standins.Instance):
    """An instance that turns one request away and wants nothing from that VM for QUIET_S."""

    quiet_from_s = float("inf")
    refused_s = None

    async def handle(self, request):
        """Turn the first request after `quiet_from_s` away, and answer all others."""
        now_s, request_id = self._record.now(), request.header(standins.ID)
        if self.refused_s is None and now_s >= self.quiet_from_s:
            self.refused_s = now_s
            self._record.add(f"{self.name} turns {request_id} away, Retry-After {QUIET_S:.0f}")
            echo = (standins.ID, request_id)
            return 503, [echo, (standins.NOT_RUN, "1"), ("Retry-After", f"{QUIET_S:.0f}")], b""
        return await super().handle(request)


async def scenario(record, folder, ends, trouble):
    """Send a steady load past a quiet period, and return whether BUDGET is broken."""
    store = await standins.Store(record).listen()
    ends.append(store)
    read = standins.route("/read/", "plain")
    store.put("config", "main", standins.configuration(1, {"read": read}, {"plain": {}}))
    quiet = await QuietInstance(record, store, "i-a", "plain", 2, work_s=0.1).start()
    other = await standins.Instance(record, store, "i-b", "plain", 2, work_s=0.1).start()
    ends.extend([quiet, other])
    vms = await standins.start_vms(folder, store, 1)
    ends.extend(vms)
    await standins.wait_ready(vms)
    await asyncio.sleep(standins.SETTLE_WINDOW_S + 1.0)

    began_s = record.now()
    if trouble:
        quiet.quiet_from_s = began_s + 2.0
    calls = []
    while record.now() < began_s + 2.0 + QUIET_S + 3.0:
        number = len(calls)
        calls.append(asyncio.ensure_future(standins.call(vms[0], f"r-{number}", "/read/x", 2000)))
        await asyncio.sleep(1 / RATE_PER_S)
    statuses = [status for status, _, _ in await asyncio.gather(*calls)]
    record.add(f"answers: { {status: statuses.count(status) for status in set(statuses)} }")
    if quiet.refused_s is None:
        return False
    first_s, last_s = quiet.refused_s + FREE_S, quiet.refused_s + QUIET_S
    early = [(at_s, name) for at_s, name in quiet.arrivals if first_s < at_s < last_s]
    for at_s, name in early[:5]:
        record.add(f"{name} reached {quiet.name} {at_s - quiet.refused_s:.1f} s after its refusal")
    record.add(f"{len(early)} requests reached {quiet.name} while it wanted none")
    return len(early) > ALLOWED


if __name__ == "__main__":
    sys.exit(standins.main(FOLDER, scenario))
