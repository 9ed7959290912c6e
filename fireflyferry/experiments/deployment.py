"""A customer's deployment on loopback: platform and upstream stand-ins, and entry VMs."""

import collections
import itertools
import pathlib
import signal
from concurrent.futures import ThreadPoolExecutor

import attrs
import cattrs
import orjson

from fireflyferry.experiments.customers import Customer, make_tables
from fireflyferry.experiments.http import fetch, fetch_json
from fireflyferry.experiments.processes import Program, start_program
from fireflyferry.messages import VmEntry, encode
from fireflyferry.standins.upstream_ownership import Holding

__all__ = ["Deployment"]

SECRET = "loopback-experiments-only"
ENTRY_MODULE = "fireflyferry.entry.main"
START_WORKERS = 8


@attrs.define
class Deployment:
    """Processes of one customer's deployment and the VM list that the platform publishes.

    An upstream process runs the instances of one service in one data centre, so ending the
    upstream processes and entry VMs of a data centre simulates its loss. Each instance of the
    services in `separate_upstreams` runs in a separate process. `lease_settings` are the lines
    of the section `[leases]` in the entry VMs' settings.
    """

    customer: Customer
    folder: pathlib.Path
    entry_vms_per_data_centre: int = 2
    service_ms: float = 2.0
    separate_upstreams: tuple[str, ...] = ()
    lease_settings: str = ""
    platform: Program | None = None
    entries: dict[str, Program] = attrs.Factory(dict)
    upstreams: dict[str, Program] = attrs.Factory(dict)
    vms: dict[str, VmEntry] = attrs.Factory(dict)
    _started_entries: int = 0

    @property
    def store_address(self) -> str:
        """Address of the platform stand-in."""
        return self.platform.ready[0]["address"]

    def entry_urls(self, avoid_data_centre: str = "") -> list[str]:
        """Return the public URLs of the running entry VMs, except those of one data centre."""
        vms = (self.vms[name] for name in sorted(self.entries))
        return [f"http://{vm.address}" for vm in vms if vm.data_centre != avoid_data_centre]

    @property
    def upstream_addresses(self) -> dict[str, str]:
        """Addresses of the upstreams in the VM list, by id."""
        return {vm.vm_id: vm.address for vm in self.vms.values() if vm.role == "upstream"}

    def start(self) -> None:
        """Start all processes and publish the VM list.

        Raises ProgramFailedError.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self.platform = self._start("platform", "fireflyferry.standins.platform_main", [])
        jobs = [(self._start_upstreams, each) for each in self._upstream_processes()]
        for region, data_centre in self.customer.data_centres:
            for _ in range(self.entry_vms_per_data_centre):
                jobs.append((self.start_entry, (region, data_centre)))
        with ThreadPoolExecutor(START_WORKERS) as pool:
            for future in [pool.submit(function, *args) for function, args in jobs]:
                future.result()
        self.publish_vms()

    def start_entry(self, region: str, data_centre: str) -> str:
        """Start an entry VM and return its id, without publishing the VM list.

        Raises ProgramFailedError.
        """
        self._started_entries += 1
        vm_id = f"entry-{data_centre}-{self._started_entries}"
        settings = self.folder / f"{vm_id}.ini"
        settings.write_text(self._entry_settings(vm_id, region, data_centre))
        program = self._start(vm_id, ENTRY_MODULE, ["--settings", str(settings)])
        self.entries[vm_id] = program
        ready = program.ready[0]
        self.vms[vm_id] = VmEntry(
            vm_id, "entry", region, data_centre, ready["public"], ready["peer"]
        )
        return vm_id

    def publish_vms(self) -> None:
        """Send the current VM list to the platform."""
        body = b'{"vms":%s}' % encode(tuple(self.vms.values()))
        fetch(f"http://{self.store_address}/v1/vms", "PUT", body)

    def remove_vm(self, vm_id: str) -> None:
        """Remove a VM from the list, which is published only with `publish_vms`."""
        self.vms.pop(vm_id, None)

    def set_tables(self, revision: int = 1, version: int = 0) -> None:
        """Write the customer's tables to the store, in the format of the operators' program."""
        body = encode(make_tables(self.customer, revision))
        url = f"http://{self.store_address}/v1/objects/config/tables"
        fetch(url, "PUT", body, {"If-Match": str(version)})

    def set_platform_faults(self, *faults: dict) -> None:
        """Replace the faults of the platform stand-in."""
        self._set_faults(self.store_address, *faults)

    def isolate(self, data_centre: str, store: bool = True) -> None:
        """Isolate a data centre from the others, and with `store` also from the store."""
        inside = [f"entry-{data_centre}-*"]
        outside = [
            f"entry-{other}-*" for _, other in self.customer.data_centres if other != data_centre
        ]
        for vm in self.vms.values():
            callers = outside if vm.data_centre == data_centre else inside
            if vm.role == "entry" and vm.vm_id in self.entries:
                self._set_faults(vm.peer_address, {"kind": "cut", "callers": callers})
            elif vm.role == "upstream":
                fault = {"kind": "outage", "mode": "hang", "callers": callers}
                self._set_faults(vm.address, fault)
        if store:
            fault = {"kind": "outage", "mode": "hang", "callers": inside}
            self._set_faults(self.store_address, fault)

    def clear_faults(self) -> None:
        """Clear all injected faults."""
        for vm in self.vms.values():
            alive = vm.vm_id in self.entries or vm.role == "upstream"
            if alive and self._is_running(vm.vm_id):
                self._set_faults(vm.peer_address or vm.address)
        self._set_faults(self.store_address)

    def lose_data_centre(self, data_centre: str) -> None:
        """Kill all processes of a data centre."""
        for vm in list(self.vms.values()):
            if vm.data_centre != data_centre:
                continue
            if vm.role == "entry" and vm.vm_id in self.entries:
                self.kill_entry(vm.vm_id)
            elif vm.role == "upstream":
                self.upstreams[vm.vm_id].kill()

    def _is_running(self, vm_id: str) -> bool:
        program = self.entries.get(vm_id) or self.upstreams.get(vm_id)
        return program is not None and program.process.poll() is None

    @staticmethod
    def _set_faults(address: str, *faults: dict) -> None:
        body = orjson.dumps({"faults": faults})
        fetch(f"http://{address}/faults", "POST", body)

    def kill_entry(self, vm_id: str) -> None:
        """Kill an entry VM."""
        self.entries.pop(vm_id).kill()

    def executions(self) -> dict[str, int]:
        """Return the number of executions of each request id, from all upstreams' journals."""
        lines = itertools.chain.from_iterable(
            journal.read_text().splitlines() for journal in self.folder.glob("*.journal")
        )
        return dict(collections.Counter(line.split()[1] for line in lines))

    def holdings(self) -> list[Holding]:
        """Return the holdings of all running upstreams."""
        found = []
        for vm_id, address in self.upstream_addresses.items():
            if self.upstreams[vm_id].process.poll() is None:
                listed = fetch_json(f"http://{address}/ownership")["holdings"]
                found.extend(cattrs.structure(listed, list[Holding]))
        return found

    def stop(self) -> None:
        """Kill every process, including those that SIGSTOP has paused."""
        programs = [*self.entries.values(), *self.upstreams.values()]
        for program in [*programs, *([self.platform] if self.platform else [])]:
            if program.process.poll() is None:
                program.send(signal.SIGCONT)
                program.kill()

    def _start(self, name: str, module: str, arguments: list[str], ready_lines: int = 1) -> Program:
        return start_program(name, module, arguments, self.folder / f"{name}.log", ready_lines)

    def _upstream_processes(self) -> list[tuple]:
        """Return the arguments of `_start_upstreams` for each upstream process."""
        processes = []
        data_centres = self.customer.data_centres
        for service in self.customer.services:
            for position, (region, data_centre) in enumerate(data_centres):
                numbers = range(position, service.instances, len(data_centres))
                names = [f"{service.name}-{number}" for number in numbers]
                if service.name in self.separate_upstreams:
                    processes.extend((service, region, data_centre, [name]) for name in names)
                else:
                    processes.append((service, region, data_centre, names))
        return processes

    def _start_upstreams(self, service, region: str, data_centre: str, names: list[str]) -> None:
        arguments = [f"--instance={name}:{service.name}:0" for name in names]
        arguments += [f"--slots={service.slots}", f"--connections={service.connections}"]
        arguments.append(f"--service-ms={self.service_ms}")
        arguments.append(f"--journal={self.folder / names[0]}.journal")
        process_name = names[0] if len(names) == 1 else f"{service.name}-{data_centre}"
        module = "fireflyferry.standins.upstream_main"
        program = self._start(process_name, module, arguments, len(names))
        for ready in program.ready:
            name = ready["upstream"]
            self.upstreams[name] = program
            self.vms[name] = VmEntry(
                name, "upstream", region, data_centre, ready["address"], pool=service.name
            )

    def _entry_settings(self, vm_id: str, region: str, data_centre: str) -> str:
        return f"""[vm]
vm_id = {vm_id}
region = {region}
data_centre = {data_centre}
address = 127.0.0.1
public_port = 0
peer_port = 0

[store]
address = {self.store_address}

[secrets]
current = {SECRET}

[testing]
fault_injection = true

[leases]
{self.lease_settings}
"""
