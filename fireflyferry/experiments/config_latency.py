"""Measures the time from an accepted edit until it is in force on the slowest VM.

Command: `python -m fireflyferry.experiments.config_latency`.
"""

import asyncio
import pathlib
import shutil
import sys
import tempfile
import time

from fireflyferry.edges.base import PeerUnavailableError
from fireflyferry.edges.http_client import HttpClient
from fireflyferry.edges.http_store import HttpObjectStore
from fireflyferry.edges.peer_auth import PeerSigner
from fireflyferry.edges.system_clock import SystemClock
from fireflyferry.experiments.customers import CAATINGA, tables_of
from fireflyferry.experiments.deployment import SECRET, Deployment
from fireflyferry.messages import encode
from fireflyferry.operators.peers import HttpPeerControl

__all__ = ["main"]

EDITS = 5
SETTLE_S = 4.0
LIMIT_S = 30.0
POLL_S = 0.02
SLOW_STORE = {"kind": "slow", "mode": "after", "delay_s": 1.0}


async def _in_force_s(
    peers: HttpPeerControl, addresses: list[str], revision: int, started_s: float
) -> float:
    """Wait until every VM has a revision; return the seconds since the start."""
    waiting = set(addresses)
    while waiting and time.monotonic() - started_s < LIMIT_S:
        for address in list(waiting):
            try:
                status = await peers.status(address)
            except PeerUnavailableError:
                continue
            if status.revision >= revision:
                waiting.discard(address)
        await asyncio.sleep(POLL_S)
    return time.monotonic() - started_s


async def _measure(deployment: Deployment) -> None:
    store = HttpObjectStore(deployment.store_address, HttpClient("experiment"))
    signer = PeerSigner((SECRET.encode(),), SystemClock())
    peers = HttpPeerControl(HttpClient("experiment"), signer)
    addresses = [vm.peer_address for vm in deployment.vms.values() if vm.role == "entry"]
    version, revision = 0, 0
    for title, faults in (("store up", ()), ("store slow, 1 s a call", (SLOW_STORE,))):
        deployment.set_platform_faults(*faults)
        await asyncio.sleep(SETTLE_S)
        times_s = []
        for _ in range(EDITS):
            revision += 1
            body = encode(tables_of(deployment.customer, revision))
            version = await store.put("config/tables", body, version)
            times_s.append(await _in_force_s(peers, addresses, revision, time.monotonic()))
        listed = ", ".join(f"{seconds:.2f}" for seconds in times_s)
        print(f"{title}: {len(addresses)} VMs, seconds until in force on all: {listed}")


def main() -> int:
    """Measure with the store up and slow; return 0."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="fireflyferry-config-"))
    deployment = Deployment(CAATINGA, folder)
    try:
        deployment.start()
        asyncio.run(_measure(deployment))
    finally:
        deployment.stop()
        shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
