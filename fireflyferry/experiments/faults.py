"""Fault scenarios on real processes, by name."""

import base64
import signal
import threading

from fireflyferry.experiments.customers import Customer
from fireflyferry.experiments.deployment import Deployment
from fireflyferry.experiments.fault_run import TimedFault
from fireflyferry.experiments.http import fetch, fetch_json
from fireflyferry.experiments.processes import Program
from fireflyferry.messages import GroupRecord, decode

__all__ = ["SCENARIOS", "cut_data_centre_of", "demo_faults", "scenario_faults"]

FIRST_FAULT_S = 2.0
WINDOW_S = 8.0
FREEZE_S = 3.0
STORE_OUTAGE_S = 20.0


def _resume_later(program: Program, delay_s: float) -> None:
    timer = threading.Timer(delay_s, program.send, (signal.SIGCONT,))
    timer.daemon = True
    timer.start()


def _freeze(program: Program) -> None:
    program.send(signal.SIGSTOP)
    _resume_later(program, FREEZE_S)


def _record_of(deployment: Deployment, pool: str, data_centre: str) -> GroupRecord:
    """Read the record of a pool's first group in a data centre from the store."""
    url = f"http://{deployment.store_address}/v1/objects/groups/{pool}/{data_centre}/0"
    return decode(base64.b64decode(fetch_json(url)["data"]), GroupRecord)


def _leader_of(deployment: Deployment, pool: str, data_centre: str) -> str:
    return _record_of(deployment, pool, data_centre).leader.vm_id


class _FaultActions:
    """Faults of one customer's deployment, each a method that injects it.

    `pool` is the customer's first pool, `write_pool` the first with non-idempotent requests;
    `data_centre` is the one that the faults affect.
    """

    def __init__(self, customer: Customer) -> None:
        self.pool = customer.services[0].name
        self.write_pool = next(each.name for each in customer.services if not each.idempotent)
        region = list(customer.regions)[1]
        self.data_centre = customer.regions[region][0]

    def kill_owner(self, deployment: Deployment) -> None:
        """Kill an owner's process."""
        deployment.upstreams[f"{self.pool}-0"].kill()

    def freeze_owner(self, deployment: Deployment) -> None:
        """Stop an owner's process with SIGSTOP and resume it later."""
        _freeze(deployment.upstreams[f"{self.pool}-1"])

    def kill_leader(self, deployment: Deployment) -> None:
        """Kill the process of a group's leader."""
        vm_id = _leader_of(deployment, self.write_pool, self.data_centre)
        deployment.kill_entry(vm_id)

    def kill_pair(self, deployment: Deployment) -> None:
        """Kill leader and standby of a group and remove both from the VM list."""
        record = _record_of(deployment, self.write_pool, self.data_centre)
        for vm_id in (record.leader.vm_id, record.standby.vm_id):
            deployment.kill_entry(vm_id)
            deployment.remove_vm(vm_id)
        deployment.publish_vms()

    def drain_leader(self, deployment: Deployment) -> None:
        """Shut a group's leader down gracefully with SIGTERM."""
        vm_id = _leader_of(deployment, self.write_pool, self.data_centre)
        deployment.entries.pop(vm_id).send(signal.SIGTERM)

    def drain_owner(self, deployment: Deployment) -> None:
        """Send a drain request to an owner."""
        address = deployment.upstream_addresses[f"{self.pool}-0"]
        fetch(f"http://{address}/control/v1/drain", "POST", b"{}")

    def freeze_leader(self, deployment: Deployment) -> None:
        """Stop the process of a group's leader with SIGSTOP and resume it later."""
        vm_id = _leader_of(deployment, self.write_pool, self.data_centre)
        _freeze(deployment.entries[vm_id])

    def store_away(self, deployment: Deployment) -> None:
        """Make the store hang for all callers for `STORE_OUTAGE_S` seconds."""
        deployment.set_platform_faults({"kind": "outage", "mode": "hang"})
        timer = threading.Timer(STORE_OUTAGE_S, deployment.set_platform_faults)
        timer.daemon = True
        timer.start()

    def lose_data_centre(self, deployment: Deployment) -> None:
        """Kill every process of a data centre."""
        deployment.lose_data_centre(self.data_centre)

    def cut_data_centre(self, deployment: Deployment) -> None:
        """Cut a data centre off from the others and the store."""
        deployment.isolate(self.data_centre)

    def cut_sibling(self, deployment: Deployment) -> None:
        """Cut a data centre off from the others, but not from the store."""
        deployment.isolate(self.data_centre, store=False)


SCENARIOS = {
    "owner-killed": (("owner killed", "kill_owner", WINDOW_S),),
    "owner-frozen": (("owner frozen", "freeze_owner", WINDOW_S),),
    "leader-killed": (("leader killed", "kill_leader", WINDOW_S),),
    "leader-frozen": (("leader frozen", "freeze_leader", WINDOW_S),),
    "pair-lost": (("leader and standby lost", "kill_pair", 2 * WINDOW_S),),
    "leader-drained": (("leader drained", "drain_leader", WINDOW_S),),
    "owner-drained": (("owner drained", "drain_owner", WINDOW_S),),
    "store-away": (("store away", "store_away", STORE_OUTAGE_S + WINDOW_S),),
    "data-centre-lost": (("data centre lost", "lose_data_centre", WINDOW_S),),
    "data-centre-cut": (("data centre cut", "cut_data_centre", WINDOW_S),),
    "sibling-cut": (("sibling cut", "cut_sibling", WINDOW_S),),
    "store-away-owner-killed": (
        ("store away", "store_away", STORE_OUTAGE_S + WINDOW_S),
        ("owner killed", "kill_owner", WINDOW_S),
    ),
    "demo": (
        ("owner killed", "kill_owner", 6.0),
        ("owner frozen", "freeze_owner", 6.0),
        ("leader killed", "kill_leader", 7.0),
    ),
}


def scenario_faults(name: str, customer: Customer) -> list[TimedFault]:
    """Return the faults of a scenario, in order of time.

    A fault begins when the window of the one before it ends, or 3 s after the start of a store
    outage, so that it falls into the outage. Raises KeyError for an unknown scenario.
    """
    actions = _FaultActions(customer)
    faults = []
    at_s = FIRST_FAULT_S
    for title, method, window_s in SCENARIOS[name]:
        faults.append(TimedFault(title, at_s, window_s, getattr(actions, method)))
        at_s += 3.0 if title == "store away" else window_s
    return faults


def cut_data_centre_of(name: str, customer: Customer) -> str:
    """Return the data centre that a scenario cuts off, or an empty string."""
    return _FaultActions(customer).data_centre if name.endswith("-cut") else ""


def demo_faults(customer: Customer) -> list[TimedFault]:
    """Return the faults of the demo."""
    return scenario_faults("demo", customer)
