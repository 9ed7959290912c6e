"""Entry VMs: which of them are suspected, and which is the last hop of an upstream."""

from collections.abc import Iterable, Iterator, Mapping

import attrs
import xxhash

__all__ = ["LARGE_DATA_CENTRE_VMS", "EntryVm", "VmDirectory"]

# In a data centre with at least this many VMs, VMs follow a relay and all upstreams of a pool share
# one last hop. With fewer a relay saves nothing: its own calls, which check that it still reaches
# the store, are as many as those of about three VMs.
LARGE_DATA_CENTRE_VMS = 4


@attrs.frozen
class EntryVm:
    """An entry VM with its address for other VMs; `leaving` is set when it begins to shut down.

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

    The last hop of an upstream is the one VM that counts its slots and sends it requests. A VM that
    did not answer is suspected, and skipped as last hop until it answers a check. A VM that reaches
    no upstream is cut off, and skipped while another VM is left, even one of another region.
    """

    def __init__(self, this_vm: EntryVm, regions: Mapping[str, str]):
        self._this_vm = this_vm
        self._regions = dict(regions)
        self._vms: dict[str, EntryVm] = {this_vm.vm_id: this_vm}
        self._suspected: dict[str, str] = {}
        self._leaving: dict[str, str] = {}
        self._cut_off: dict[str, str] = {}
        self._candidates: dict[tuple[str, str, str | None, bool], tuple[EntryVm, ...]] = {}
        self._is_large_cache: dict[str, bool] = {}

    @property
    def this_vm(self) -> EntryVm:
        """This VM."""
        return self._this_vm

    def __iter__(self) -> Iterator[EntryVm]:
        return iter(self._vms.values())

    def __len__(self) -> int:
        return len(self._vms)

    def get(self, vm_id: str) -> EntryVm | None:
        """Return a VM by id."""
        return self._vms.get(vm_id)

    def region(self, data_centre: str) -> str:
        """Return the region of a data centre; an unknown one counts as a separate region."""
        return self._regions.get(data_centre, data_centre)

    @property
    def known_regions(self) -> frozenset[str]:
        """Regions of all known data centres."""
        return frozenset(self._regions.values())

    def knows_data_centre(self, data_centre: str) -> bool:
        """Return whether the settings name a data centre."""
        return data_centre in self._regions

    def is_within(self, data_centre: str, regions: frozenset[str] | None) -> bool:
        """Return whether a data centre is known to lie in one of the regions; None means any."""
        return regions is None or self._regions.get(data_centre) in regions

    def apply(self, listed: Iterable[EntryVm]) -> None:
        """Replace the VMs that the store lists, in the order in which they were written.

        This VM is always included. Entries of VMs that crashed stay in the store, so of several
        with one address only the last that is not leaving is kept.
        """
        by_address: dict[str, EntryVm] = {}
        others = [vm for vm in listed if vm.vm_id != self._this_vm.vm_id]
        for vm in sorted(others, key=lambda vm: not vm.leaving):
            by_address[vm.address] = vm
        by_address[self._this_vm.address] = self._this_vm
        self._vms = {vm.vm_id: vm for vm in by_address.values()}
        self._suspected = self._listed_only(self._suspected)
        self._leaving = self._listed_only(self._leaving)
        self._cut_off = self._listed_only(self._cut_off)
        for vm_id in self._leaving:
            self._vms[vm_id] = attrs.evolve(self._vms[vm_id], leaving=True)
        self._candidates.clear()
        self._is_large_cache.clear()

    def _listed_only(self, incarnations: Mapping[str, str]) -> dict[str, str]:
        return {
            vm_id: incarnation
            for vm_id, incarnation in incarnations.items()
            if self._is_listed(vm_id, incarnation)
        }

    def _is_listed(self, vm_id: str, incarnation: str) -> bool:
        listed = self._vms.get(vm_id)
        return listed is not None and listed.incarnation == incarnation

    def mark_leaving(self, vm: EntryVm) -> bool:
        """Mark a VM as leaving that says so itself; return whether it was not marked before.

        While the store is away, its list of VMs does not show it.
        """
        if not self._is_listed(vm.vm_id, vm.incarnation) or self._vms[vm.vm_id].leaving:
            return False
        self._leaving[vm.vm_id] = vm.incarnation
        self._vms[vm.vm_id] = attrs.evolve(self._vms[vm.vm_id], leaving=True)
        self._candidates.clear()
        self._is_large_cache.clear()
        return True

    def suspect(self, vm: EntryVm) -> bool:
        """Suspect a listed incarnation of a VM; return whether it was not suspected before."""
        if (
            vm.vm_id == self._this_vm.vm_id
            or not self._is_listed(vm.vm_id, vm.incarnation)
            or vm.vm_id in self._suspected
        ):
            return False
        self._suspected[vm.vm_id] = vm.incarnation
        return True

    def trust(self, vm: EntryVm) -> bool:
        """Stop suspecting an incarnation of a VM; return whether it was suspected."""
        if self._suspected.get(vm.vm_id) != vm.incarnation:
            return False
        del self._suspected[vm.vm_id]
        return True

    @property
    def suspected(self) -> list[EntryVm]:
        """VMs that are suspected."""
        return [self._vms[vm_id] for vm_id in self._suspected if vm_id in self._vms]

    def mark_cut_off(self, vm: EntryVm) -> bool:
        """Mark a listed incarnation of a VM as cut off from upstreams; return whether it is new."""
        if not self._is_listed(vm.vm_id, vm.incarnation) or vm.vm_id in self._cut_off:
            return False
        self._cut_off[vm.vm_id] = vm.incarnation
        return True

    def clear_cut_off(self, vm: EntryVm) -> bool:
        """Note that an incarnation of a VM reaches upstreams; return whether it was cut off."""
        if self._cut_off.get(vm.vm_id) != vm.incarnation:
            return False
        del self._cut_off[vm.vm_id]
        return True

    def is_cut_off(self, vm: EntryVm) -> bool:
        """Return whether an incarnation of a VM is marked as cut off from upstreams."""
        return self._cut_off.get(vm.vm_id) == vm.incarnation

    @property
    def hands_over(self) -> bool:
        """Whether this VM is cut off from upstreams while another one can be their last hop."""
        return self._this_vm.vm_id in self._cut_off and any(
            not vm.leaving and self._may_be_last_hop(vm) for vm in self
        )

    def active_vms(self, data_centre: str) -> list[EntryVm]:
        """Return the VMs of a data centre that are not shutting down."""
        return [vm for vm in self if vm.data_centre == data_centre and not vm.leaving]

    def is_large(self, data_centre: str) -> bool:
        """Return whether a data centre has so many VMs that each sees little of its load."""
        # Called for each upstream and request; counting 91 VMs each time would take milliseconds.
        large = self._is_large_cache.get(data_centre)
        if large is None:
            large = len(self.active_vms(data_centre)) >= LARGE_DATA_CENTRE_VMS
            self._is_large_cache[data_centre] = large
        return large

    def last_hop(self, name: str, data_centre: str, by_capacity: bool = False) -> EntryVm:
        """Return the VM that counts the slots of an upstream or pool, given by its name.

        This VM is returned if no candidate is left. With `by_capacity`, VMs of the highest
        capacity come first. If all VMs are cut off, the upstreams have probably failed, so that
        the marks are ignored.
        """
        region = self.region(data_centre)
        candidates = self._ordered_candidates(name, data_centre, region, by_capacity)
        for vm in candidates:
            if self._may_be_last_hop(vm):
                return vm
        if any(vm.vm_id in self._cut_off for vm in candidates):
            for vm in self._ordered_candidates(name, data_centre, None, by_capacity):
                if self._may_be_last_hop(vm):
                    return vm
        for vm in candidates:
            if vm.vm_id not in self._suspected:
                return vm
        return self._this_vm

    def _may_be_last_hop(self, vm: EntryVm) -> bool:
        return vm.vm_id not in self._suspected and vm.vm_id not in self._cut_off

    def _ordered_candidates(
        self, name: str, data_centre: str, region: str | None, by_capacity: bool
    ) -> tuple[EntryVm, ...]:
        """Return the VMs of a region, or all, in order of preference for an upstream or pool."""
        key = (name, data_centre, region, by_capacity)
        candidates = self._candidates.get(key)
        if candidates is None:
            candidates = self._candidates[key] = self._sorted_candidates(*key)
        return candidates

    def _sorted_candidates(
        self, name: str, data_centre: str, region: str | None, by_capacity: bool
    ) -> tuple[EntryVm, ...]:
        return tuple(
            sorted(
                (
                    vm
                    for vm in self._vms.values()
                    if not vm.leaving and region in (None, self.region(vm.data_centre))
                ),
                key=lambda vm: (
                    vm.data_centre != data_centre,
                    -vm.capacity if by_capacity else 0.0,
                    xxhash.xxh3_64_intdigest(f"{vm.vm_id}/{name}".encode()),
                ),
            )
        )
