"""One run of the soak test: VMs and stand-ins on loopback, callers, scheduled faults, audit."""

import asyncio
import contextlib
import functools
import pathlib
import random
from collections.abc import Awaitable, Callable, Iterator

import attrs
import tornado.httpserver
import tornado.netutil

from fireflyferry.platform import names
from fireflyferry.platform.soak.audit import Audit, Finding
from fireflyferry.platform.soak.callers import DEADLINE_S, HOST, Callers
from fireflyferry.platform.soak.cuts import CutInjector, CutPromise
from fireflyferry.platform.soak.faults import FaultInjector
from fireflyferry.platform.soak.fleet import UpstreamFleet
from fireflyferry.platform.soak.links import Link
from fireflyferry.platform.soak.odd_entries import ODD_FORMS, OddEntries
from fireflyferry.platform.soak.paths import UpstreamPaths
from fireflyferry.platform.soak.promises import LeavingPromise, Promise, QuietPromise
from fireflyferry.platform.soak.schedule import (
    Fault,
    FaultGroup,
    FaultKind,
    SoakPlan,
    make_schedule,
)
from fireflyferry.platform.soak.store import StoreStandin
from fireflyferry.platform.soak.upstreams import UpstreamWorld
from fireflyferry.platform.soak.vms import DRAIN_TIMEOUT_S, VmProcess
from fireflyferry.tasks import BackgroundTasks
from fireflyferry.transport import CurlTransport, Exchange, fetch

__all__ = ["Soak", "SoakResult"]

KEYED, PLAIN, JOINING = "keyed-pool", "plain-pool", "joining-pool"
DATA_CENTRES = ("dc-1", "dc-2")
RESTART_CHECK_INTERVAL_S = 0.3
CHECKED_VMS = 8  # VMs that are checked at the same time at the end
END_KEYS = (0, 30_000, 65_535)
# Long, since the result must not depend on how busy the machine is.
START_TIMEOUT_S, RECOVERY_TIMEOUT_S = 60.0, 60.0


@attrs.frozen
class SoakResult:
    """Result of a run: injected faults by kind, requests by status, violated invariants.

    `effects` is how often each misbehaviour of an upstream took effect, `processes` how many VM
    processes ran at a time, `memory_mb` the sum of their peak memory, and `longest_stall_s` the
    longest time for which the stand-ins and callers did not run.
    """

    seed: int
    faults: dict[str, int]
    statuses: dict[int, int]
    findings: list[Finding]
    effects: dict[str, int]
    processes: int
    memory_mb: float
    longest_stall_s: float


class Soak:
    """Runs one plan; ends only the processes that it started."""

    def __init__(self, plan: SoakPlan, folder: pathlib.Path):
        self._plan = plan
        self._folder = folder
        self._audit = Audit()
        self._store = StoreStandin(random.Random(plan.seed))
        self._tasks = BackgroundTasks()
        self._store_servers: list[tornado.httpserver.HTTPServer] = []
        self._vms: list[VmProcess] = []
        self._paths = UpstreamPaths()
        self._promises = self._make_promises() if plan.vm_paths else ()
        self._world = UpstreamWorld(self._store, self._audit, random.Random(plan.seed))
        self._world.promises, self._world.vm_at = self._promises, self._vm_at
        self._fleet = UpstreamFleet(self._world, {KEYED: True, PLAIN: False, JOINING: False})
        self._odd_entries = OddEntries(self._world, self._fleet, JOINING, self._is_calm)
        self._faults = FaultInjector(
            self._vms,
            self._store,
            self._fleet,
            self._change_config,
            self._start_odd_entry,
            CutInjector(self._paths, self._promises),
        )

    async def run(self) -> SoakResult:
        """Run the plan and return the result."""
        plan = self._plan
        self._transport = CurlTransport(force_instance=True, connect_timeout_s=1.0)
        self._callers = Callers(plan.seed, self._vms, self._audit, self._transport, self._promises)
        try:
            await self._start()
            await self._wait_until(self._all_ready, START_TIMEOUT_S, "all VMs start")
            for number in range(plan.callers):
                self._tasks.start(self._callers.send_requests(number))
                self._tasks.start(self._callers.keep_connections(number))
            schedule = plan.faults or make_schedule(plan.seed, plan.length_s, plan.groups)
            await self._faults.run(schedule, plan.length_s)
            self._faults.end_faults()
            await self._odd_entries.finish()
            await self._wait_until(
                self._all_serving, RECOVERY_TIMEOUT_S, "everything is served after faults"
            )
            for each in self._promises:
                each.finish()
            self._audit.finish()
            memory_mb = sum(vm.peak_memory_mb for vm in self._vms)
        finally:
            await self._close()
        return SoakResult(
            plan.seed,
            self._faults.counts,
            self._audit.statuses,
            self._audit.findings,
            dict(self._world.effects),
            len(self._vms),
            memory_mb,
            self._world.stalls.longest_s,
        )

    async def _close(self) -> None:
        for vm in self._vms:
            vm.close()
            vm.link.close()
        self._faults.close()
        self._odd_entries.close()
        self._tasks.cancel()
        for server in self._store_servers:
            server.stop()
        self._fleet.close()
        self._paths.close()
        self._transport.close()
        for server in self._store_servers:
            await server.close_all_connections()

    # Fleet

    async def _start(self) -> None:
        self._change_config()
        for number in range(self._plan.upstreams):
            for pool in (KEYED, PLAIN):
                self._fleet.add(pool, DATA_CENTRES[number % len(DATA_CENTRES)])
        regions = ",".join(self._regions())
        for number in range(self._plan.vms):
            vm_id = f"vm-{number}"
            link = Link(self._serve_store(vm_id))
            await link.start()
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            vm = VmProcess(vm_id, data_centre, link, self._folder, 1.0 + number % 3)
            vm.write_settings(regions)
            vm.start()
            self._vms.append(vm)
        self._tasks.start(self._fleet.send_heartbeats())
        self._tasks.start(self._restart_exited())
        self._tasks.start(self._world.stalls.run())

    def _regions(self) -> Iterator[str]:
        """Yield the region of each data centre; VMs prefer upstreams of their region."""
        for number, name in enumerate(DATA_CENTRES, 1):
            yield f"{name}:r-{number if self._plan.vm_paths else 1}"

    def _serve_store(self, vm_id: str) -> int:
        """Serve the store to a VM and return the port."""
        views = [self._paths.view_of(vm_id)] if self._plan.vm_paths else []
        server = tornado.httpserver.HTTPServer(self._store.application(*views))
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        self._store_servers.append(server)
        return sockets[0].getsockname()[1]

    def _make_promises(self) -> tuple[Promise, ...]:
        only_cuts = self._plan.groups == (FaultGroup.CUTS,)
        return (
            LeavingPromise(self._audit, DRAIN_TIMEOUT_S),
            QuietPromise(self._audit),
            CutPromise(self._audit, lambda: not self._faults.disturbs_vms, only_cuts),
        )

    def _vm_at(self, source_port: int) -> VmProcess | None:
        vm_id = self._paths.vm_at(source_port)
        return next((vm for vm in self._vms if vm.vm_id == vm_id), None)

    async def _restart_exited(self) -> None:
        while True:
            await asyncio.sleep(RESTART_CHECK_INTERVAL_S)
            for vm in self._vms:
                if not vm.running:
                    if vm.ended_by_itself:
                        self._audit.report(
                            "no VM process ends by itself",
                            f"{vm.vm_id} with exit code {vm.process.returncode}",
                        )
                    vm.start()

    def _change_config(self) -> None:
        """Write a new version of the configuration, which adds a route named after the version."""
        self._callers.version += 1
        version = self._callers.version
        routes = [
            _route("keyed", "safe", KEYED),
            _route("write", "unsafe", PLAIN),
            _route("joining", "safe", JOINING),
            *(_route(f"v{number}", "safe", PLAIN) for number in range(1, version + 1)),
        ]
        services = [
            _resource("services", name, {"sharded": name == KEYED})
            for name in (KEYED, PLAIN, JOINING)
        ]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "idleTimeoutS": 15}
        resources = [*routes, *services, _resource("limits", "limits", limits)]
        spec = {"version": f"{version:08x}", "resources": resources}
        self._store.write(names.CONFIG_KIND, names.CONFIG_NAME, spec)

    def _is_calm(self) -> bool:
        return not self._faults.disturbs_vms and all(
            vm.running and not vm.stopping for vm in self._vms
        )

    def _start_odd_entry(self, fault: Fault) -> None:
        running = self._fleet.running
        upstream = running[fault.target % len(running)]
        form = ODD_FORMS[fault.target // len(running) % len(ODD_FORMS)]
        if fault.kind is FaultKind.ODD_OVERWRITE:
            self._odd_entries.overwrite(form, upstream)
            return
        calls = {
            vm.vm_id: functools.partial(self._callers.call, vm, "GET", "/joining/")
            for vm in self._vms
        }
        self._odd_entries.start(form, upstream, calls)

    # End of the run

    async def _all_ready(self) -> bool:
        checks = [
            fetch(
                self._transport,
                Exchange(
                    f"127.0.0.1:{vm.readiness_port}",
                    "GET",
                    "/ready",
                    [],
                    None,
                    1.0,
                    fresh_connection=True,
                ),
            )
            for vm in self._vms
        ]
        return all(result.status == 200 for result in await asyncio.gather(*checks))

    async def _all_serving(self) -> bool:
        """Return whether every VM serves keys, writes and the newest route."""
        # All VMs of a large fleet at once would fill the queues of the few upstreams.
        for first in range(0, len(self._vms), CHECKED_VMS):
            if not await self._are_serving(self._vms[first : first + CHECKED_VMS]):
                return False
        return True

    async def _are_serving(self, vms: list[VmProcess]) -> bool:
        calls: list[Awaitable[int]] = []
        for vm in vms:
            calls += [self._callers.call(vm, "GET", "/keyed/end", key) for key in END_KEYS]
            calls.append(self._callers.call(vm, "POST", "/write/end"))
            calls.append(self._callers.request_version(vm, self._callers.version))
        return all(status == 200 for status in await asyncio.gather(*calls))

    async def _wait_until(
        self, condition: Callable[[], Awaitable[bool]], timeout_s: float, invariant: str
    ) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not await condition():
                    await asyncio.sleep(0.1)
                return
        self._audit.report(invariant, f"not within {timeout_s} s")


def _resource(kind: str, name: str, spec: dict) -> dict:
    return {"resourceKind": kind, "metadata": {"name": name}, "spec": spec}


def _route(name: str, kind: str, pool: str) -> dict:
    spec = {
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutS": DEADLINE_S,
        "targetLatencyS": 0.5,
        "priority": 1,
        "maxAttempts": 2,
        "service": pool,
    }
    return _resource("routes", name, spec)
