"""One run of the soak test: VMs and stand-ins on loopback, callers, scheduled faults, audit."""

import asyncio
import contextlib
import pathlib
import random
import signal
from collections.abc import Awaitable, Callable

import attrs
import tornado.httpserver
import tornado.netutil

from fireflyferry.platform import names
from fireflyferry.platform.soak.audit import Audit
from fireflyferry.platform.soak.links import Link, LinkMode
from fireflyferry.platform.soak.schedule import Fault, FaultKind, make_schedule
from fireflyferry.platform.soak.store import StoreStandin
from fireflyferry.platform.soak.upstreams import UpstreamStandin
from fireflyferry.platform.soak.vms import VmProcess
from fireflyferry.tasks import BackgroundTasks
from fireflyferry.transport import CurlTransport, Exchange, fetch
from fireflyferry.transport.fetch import complete_body

__all__ = ["Soak", "SoakPlan", "SoakResult"]

KEYED, PLAIN = "keyed-pool", "plain-pool"
HOST = "soak.example"
DATA_CENTRES = ("dc-1", "dc-2")
DEADLINE_S = 2.0
RESTART_CHECK_INTERVAL_S = 0.3
HEARTBEAT_INTERVAL_S = 0.5
# Long, since the result must not depend on how busy the machine is.
START_TIMEOUT_S, RECOVERY_TIMEOUT_S = 60.0, 60.0


@attrs.frozen
class SoakPlan:
    """Size and length of a run; a data centre with at least four VMs has a relay."""

    seed: int
    length_s: float = 12.0
    vms: int = 8
    upstreams: int = 4
    callers: int = 8


@attrs.frozen
class SoakResult:
    """Result of a run: injected faults by kind, requests by status, violated invariants."""

    seed: int
    faults: dict[str, int]
    statuses: dict[int, int]
    findings: list


class Soak:
    """Runs one plan; ends only the processes that it started."""

    def __init__(self, plan: SoakPlan, folder: pathlib.Path):
        self._plan = plan
        self._folder = folder
        self._rng = random.Random(plan.seed)
        self._audit = Audit()
        self._store = StoreStandin(random.Random(plan.seed))
        self._tasks = BackgroundTasks()
        self._vms: list[VmProcess] = []
        self._upstreams: list[UpstreamStandin] = []
        self._version = 0
        self._served_version: dict[tuple[str, int], int] = {}
        self._request_numbers = iter(range(1 << 30))
        self._faults: dict[str, int] = {}

    async def run(self) -> SoakResult:
        """Run the plan and return the result."""
        self._transport = CurlTransport(force_instance=True, connect_timeout_s=1.0)
        try:
            await self._start()
            await self._wait_until(self._all_ready, START_TIMEOUT_S, "all VMs start")
            self._callers = [
                self._tasks.start(self._send_requests(n)) for n in range(self._plan.callers)
            ]
            await self._inject_faults(make_schedule(self._plan.seed, self._plan.length_s))
            await self._end_faults()
            await self._wait_until(
                self._all_serving, RECOVERY_TIMEOUT_S, "everything is served after faults"
            )
            self._audit.finish()
        finally:
            for vm in self._vms:
                vm.close()
            self._tasks.cancel()
            self._transport.close()
        return SoakResult(self._plan.seed, self._faults, self._audit.statuses, self._audit.findings)

    # Fleet

    async def _start(self) -> None:
        store_sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        self._store_server = tornado.httpserver.HTTPServer(self._store.application())
        self._store_server.add_sockets(store_sockets)
        store_port = store_sockets[0].getsockname()[1]
        self._change_config()
        for _ in range(self._plan.upstreams):
            await self._add_upstream(KEYED)
            await self._add_upstream(PLAIN)
        regions = ",".join(f"{name}:r-1" for name in DATA_CENTRES)
        for number in range(self._plan.vms):
            link = Link(store_port)
            await link.start()
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            vm = VmProcess(f"vm-{number}", data_centre, link, self._folder, 1.0 + number % 3)
            vm.write_settings(regions)
            vm.start()
            self._vms.append(vm)
        self._tasks.start(self._send_heartbeats())
        self._tasks.start(self._restart_exited())

    async def _add_upstream(self, pool: str) -> None:
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        number = len(self._upstreams)
        data_centre = DATA_CENTRES[number // 2 % len(DATA_CENTRES)]
        upstream = UpstreamStandin(
            number,
            pool,
            data_centre,
            pool == KEYED,
            self._store,
            self._audit,
            self._rng,
            lambda: self._upstreams,
        )
        upstream.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self._upstreams.append(upstream)
        upstream.start(sockets)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for upstream in self._upstreams:
                if upstream.up and not upstream.silent:
                    upstream.register()

    async def _restart_exited(self) -> None:
        while True:
            await asyncio.sleep(RESTART_CHECK_INTERVAL_S)
            for vm in self._vms:
                if not vm.running:
                    vm.start()

    def _change_config(self) -> None:
        """Write a new version of the configuration, which adds a route named after the version."""
        self._version += 1
        routes = [
            _route("keyed", "safe", KEYED),
            _route("write", "unsafe", PLAIN),
            *(_route(f"v{number}", "safe", PLAIN) for number in range(1, self._version + 1)),
        ]
        services = [
            _resource("services", name, {"sharded": name == KEYED}) for name in (KEYED, PLAIN)
        ]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "idleTimeoutS": 15}
        resources = [*routes, *services, _resource("limits", "limits", limits)]
        spec = {"version": f"{self._version:08x}", "resources": resources}
        self._store.write(names.CONFIG_KIND, names.CONFIG_NAME, spec)

    # Callers

    async def _send_requests(self, number: int) -> None:
        rng = random.Random(f"{self._plan.seed}/{number}")
        while True:
            vm = rng.choice(self._vms)
            if rng.random() < 0.5:
                await self._call(vm, "GET", f"/keyed/{number}", key=rng.randrange(65536))
            elif rng.random() < 0.7:
                await self._call(vm, "POST", f"/write/{number}", idempotent=False)
            else:
                await self._request_version(vm, rng.randint(1, self._version))
            await asyncio.sleep(rng.uniform(0.0, 0.05))

    async def _request_version(self, vm: VmProcess, version: int) -> int:
        """Request the route of a version, which a VM must keep once it has served it."""
        incarnation = (vm.vm_id, vm.starts)
        latest_served = self._served_version.get(incarnation, 0)
        status = await self._call(vm, "GET", f"/v{version}/")
        if status == 404 and version <= latest_served and incarnation == (vm.vm_id, vm.starts):
            self._audit.report("a configuration never reverts", f"{vm.vm_id} lost v{version}")
        elif status == 200:
            self._served_version[incarnation] = max(
                self._served_version.get(incarnation, 0), version
            )
        return status

    async def _call(
        self, vm: VmProcess, method: str, path: str, key: int | None = None, idempotent: bool = True
    ) -> int:
        request_id = f"{self._plan.seed:x}-{next(self._request_numbers):x}"
        headers = [
            ("Host", HOST),
            (names.HEADERS.request_id, request_id),
            (names.HEADERS.deadline_ms, str(int(DEADLINE_S * 1000))),
        ]
        if key is not None:
            headers.append((names.HEADERS.key, str(key)))
        body = complete_body(b"x") if method == "POST" else None
        starts, undisturbed, was_stopping = vm.starts, not vm.disturbed, vm.stopping
        self._audit.record_sent(request_id, idempotent)
        exchange = Exchange(
            f"127.0.0.1:{vm.callers_port}", method, path, headers, body, 2 * DEADLINE_S
        )
        result = await fetch(self._transport, exchange)
        if result.complete:
            signed = result.header(names.HEADERS.signature) is not None
            self._audit.record_answer(request_id, result.status, result.body, signed)
            return result.status
        self._audit.record_no_answer(request_id)
        if (
            result.sent
            and not result.timed_out
            and undisturbed
            and vm.stopping
            and not vm.disturbed
            and starts == vm.starts
        ):
            may_be_unread = result.reused or was_stopping
            self._audit.record_cut(request_id, f"at {vm.vm_id}: {result.message}", may_be_unread)
        return 0

    # Faults

    async def _inject_faults(self, schedule: list[Fault]) -> None:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        for fault in schedule:
            await asyncio.sleep(max(0.0, start_s + fault.at_s - loop.time()))
            self._faults[fault.kind] = self._faults.get(fault.kind, 0) + 1
            self._tasks.start(self._inject(fault))
        await asyncio.sleep(max(0.0, start_s + self._plan.length_s - loop.time()))

    async def _inject(self, fault: Fault) -> None:
        vm = self._vms[fault.target % len(self._vms)]
        if fault.kind.startswith("vm_"):
            await self._inject_vm_fault(fault, vm)
        elif fault.kind.startswith("link_"):
            await self._inject_link_fault(fault, vm)
        elif fault.kind.startswith("store_"):
            await self._inject_store_fault(fault)
        elif fault.kind.startswith("upstream_"):
            await self._inject_upstream_fault(fault)
        else:
            self._change_config()

    async def _inject_vm_fault(self, fault: Fault, vm: VmProcess) -> None:
        if fault.kind is FaultKind.VM_STOP:
            vm.stopping = True
            vm.send(signal.SIGTERM)
        elif fault.kind is FaultKind.VM_RELOAD:
            vm.send(signal.SIGHUP)
        else:
            vm.disturbed = True
            if fault.kind is FaultKind.VM_KILL:
                vm.send(signal.SIGKILL)
                return
            vm.send(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            vm.send(signal.SIGCONT)

    async def _inject_link_fault(self, fault: Fault, vm: VmProcess) -> None:
        if fault.kind is FaultKind.LINK_RESET:
            vm.link.reset()
            return
        vm.link.mode = {
            FaultKind.LINK_DELAY: LinkMode.DELAY,
            FaultKind.LINK_SILENT: LinkMode.SILENT,
            FaultKind.LINK_NO_ANSWERS: LinkMode.NO_ANSWERS,
        }[fault.kind]
        await asyncio.sleep(fault.for_s)
        vm.link.mode = LinkMode.PASS

    async def _inject_store_fault(self, fault: Fault) -> None:
        store = self._store
        if fault.kind is FaultKind.STORE_FORGETS:
            store.forget_history()
            return
        name = {
            FaultKind.STORE_AWAY: "unavailable",
            FaultKind.STORE_SILENT: "silent",
            FaultKind.STORE_LOSES_ANSWERS: "loses_answers",
        }[fault.kind]
        setattr(store, name, True)
        await asyncio.sleep(fault.for_s)
        setattr(store, name, False)

    async def _inject_upstream_fault(self, fault: Fault) -> None:
        candidates = [each for each in self._upstreams if each.up and not each.draining]
        upstream = candidates[fault.target % len(candidates)]
        if fault.kind is FaultKind.UPSTREAM_RESTART:
            upstream.restart()
        elif fault.kind is FaultKind.UPSTREAM_SILENT:
            upstream.silent = True
            await asyncio.sleep(fault.for_s)
            upstream.resume()
        elif fault.kind is FaultKind.UPSTREAM_LOSES_ANSWERS:
            upstream.loses_answers = True
            await asyncio.sleep(fault.for_s)
            upstream.loses_answers = False
        else:
            await self._add_upstream(upstream.pool)
            upstream.draining = True
            upstream.register()
            await asyncio.sleep(2.0 + fault.for_s)
            upstream.shut_down()

    # End of the run

    async def _end_faults(self) -> None:
        """End all faults now, so that their own ends have no effect later.

        An upstream that drains still shuts down at its own time.
        """
        for vm in self._vms:
            vm.link.mode = LinkMode.PASS
            vm.send(signal.SIGCONT)
        self._store.unavailable = self._store.silent = self._store.loses_answers = False
        for upstream in self._upstreams:
            upstream.resume()
            upstream.loses_answers = False

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
        calls: list[Awaitable[int]] = []
        for vm in self._vms:
            calls += [self._call(vm, "GET", "/keyed/end", key=key) for key in (0, 30_000, 65_535)]
            calls.append(self._call(vm, "POST", "/write/end", idempotent=False))
            calls.append(self._request_version(vm, self._version))
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
