"""Measures the time from an accepted configuration edit until every entry VM has applied it.

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
from fireflyferry.experiments.customers import CAATINGA, make_tables
from fireflyferry.experiments.deployment import SECRET, Deployment
from fireflyferry.messages import encode
from fireflyferry.operators.peers import HttpPeerControl

__all__ = ["main"]

EDITS = 5
SETTLE_S = 4.0
TIMEOUT_S = 30.0
POLL_S = 0.02
SLOW_STORE = {"kind": "slow", "mode": "after", "delay_s": 1.0}


async def _wait_until_applied_s(
    peers: HttpPeerControl, addresses: list[str], revision: int, started_s: float
) -> float:
    """Wait until every VM has applied a revision; return the seconds since `started_s`."""
    waiting = set(addresses)
    while waiting and time.monotonic() - started_s < TIMEOUT_S:
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
    for title, faults in (("store normal", ()), ("store slow, 1 s per call", (SLOW_STORE,))):
        deployment.set_platform_faults(*faults)
        await asyncio.sleep(SETTLE_S)
        times_s = []
        for _ in range(EDITS):
            revision += 1
            body = encode(make_tables(deployment.customer, revision))
            version = await store.put("config/tables", body, version)
            times_s.append(
                await _wait_until_applied_s(peers, addresses, revision, time.monotonic())
            )
        listed = ", ".join(f"{seconds:.2f}" for seconds in times_s)
        print(f"{title}: {len(addresses)} VMs, seconds until applied on all: {listed}")


def main() -> int:
    """Measure with a normal and with a slow store; return 0."""
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
