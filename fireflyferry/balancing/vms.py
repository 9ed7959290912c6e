"""Entry VMs, which of them do not answer, and which is the last hop of an upstream."""

from collections.abc import Iterable, Iterator, Mapping

import attrs
import xxhash

__all__ = ["LARGE_DATA_CENTRE_VMS", "EntryVm", "VmDirectory"]

# From this number of VMs on, a VM learns from a relay and shares last hops by pool: a relay's own
# calls to the store, which prove that it reaches it, are those of about three VMs.
LARGE_DATA_CENTRE_VMS = 4


@attrs.frozen
class EntryVm:
    """An entry VM and the address for other VMs; `leaving` once it shuts down.

    `capacity` is its processing power in cores.
    """

    vm_id: str
    incarnation: str
    address: str
    data_centre: str
    leaving: bool = False
    capacity: float = 1.0


class VmDirectory:
    """Chooses last hops by rendezvous hashing: the upstream's data centre first, then its region.

    A VM that did not answer is passed over until it answers a check.
    """

    def __init__(self, me: EntryVm, regions: Mapping[str, str]):
        self._me = me
        self._regions = dict(regions)
        self._vms: dict[str, EntryVm] = {me.vm_id: me}
        self._suspected: dict[str, str] = {}
        self._chosen: dict[tuple[str, str, bool], tuple[EntryVm, ...]] = {}
        self._large: dict[str, bool] = {}

    @property
    def this_vm(self) -> EntryVm:
        """This VM."""
        return self._me

    def __iter__(self) -> Iterator[EntryVm]:
        return iter(self._vms.values())

    def __len__(self) -> int:
        return len(self._vms)

    def get(self, vm_id: str) -> EntryVm | None:
        """Return a VM by id."""
        return self._vms.get(vm_id)

    def region(self, data_centre: str) -> str:
        """Return the region of a data centre; an unknown one is a region of its own."""
        return self._regions.get(data_centre, data_centre)

    def apply(self, listed: Iterable[EntryVm]) -> None:
        """Replace what the store lists; this VM is always part of it."""
        self._vms = {each.vm_id: each for each in listed}
        self._vms[self._me.vm_id] = self._me
        self._suspected = {
            vm_id: incarnation
            for vm_id, incarnation in self._suspected.items()
            if vm_id in self._vms and self._vms[vm_id].incarnation == incarnation
        }
        self._chosen.clear()
        self._large.clear()

    def suspect(self, vm: EntryVm) -> bool:
        """Pass a VM over; returns whether it was not suspected before."""
        if vm.vm_id == self._me.vm_id or self._suspected.get(vm.vm_id) == vm.incarnation:
            return False
        self._suspected[vm.vm_id] = vm.incarnation
        return True

    def trust(self, vm: EntryVm) -> bool:
        """Use a VM again; returns whether it was suspected."""
        return self._suspected.pop(vm.vm_id, None) is not None

    @property
    def suspected(self) -> list[EntryVm]:
        """VMs that are passed over."""
        return [self._vms[vm_id] for vm_id in self._suspected if vm_id in self._vms]

    def active_vms(self, data_centre: str) -> list[EntryVm]:
        """Return the VMs of a data centre that do not shut down."""
        return [vm for vm in self if vm.data_centre == data_centre and not vm.leaving]

    def is_large(self, data_centre: str) -> bool:
        """Tell whether a data centre has so many VMs that each sees little of its load."""
        # Asked for each upstream and request; counting 91 VMs each time would take milliseconds.
        large = self._large.get(data_centre)
        if large is None:
            large = len(self.active_vms(data_centre)) >= LARGE_DATA_CENTRE_VMS
            self._large[data_centre] = large
        return large

    def last_hop(self, name: str, data_centre: str, by_capacity: bool = False) -> EntryVm:
        """Return the VM that counts the slots of what has a name, this one if no other answers.

        With `by_capacity`, one of the most capable VMs of the data centre is chosen.
        """
        key = (name, data_centre, by_capacity)
        order = self._chosen.get(key)
        if order is None:
            order = self._chosen[key] = self._order(*key)
        for vm in order:
            if vm.vm_id not in self._suspected:
                return vm
        return self._me

    def _order(self, name: str, data_centre: str, by_capacity: bool) -> tuple[EntryVm, ...]:
        region = self.region(data_centre)
        near = [
            vm
            for vm in self._vms.values()
            if not vm.leaving and self.region(vm.data_centre) == region
        ]
        return tuple(
            sorted(
                near,
                key=lambda vm: (
                    vm.data_centre != data_centre,
                    -vm.capacity if by_capacity else 0.0,
                    xxhash.xxh3_64_intdigest(f"{vm.vm_id}/{name}".encode()),
                ),
            )
        )
