"""Registration of this VM in the store's list of entry VMs."""

import asyncio
import logging

import attrs

from fireflyferry.balancing import EntryVm
from fireflyferry.gateway import documents
from fireflyferry.gateway.edges import Conflict, MetadataStore, StoreCallError
from fireflyferry.gateway.watching import StoreHealth

__all__ = ["Registration"]

_LOG = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.5


class Registration:
    """Writes this VM's entry at startup, and marks it as leaving at shutdown."""

    def __init__(self, store: MetadataStore, health: StoreHealth, this_vm: EntryVm):
        self._store = store
        self._health = health
        self._this_vm = this_vm
        self._done = False

    @property
    def done(self) -> bool:
        """Whether the store has confirmed the entry."""
        return self._done

    async def run(self) -> None:
        """Write the entry, and retry until the store has confirmed it."""
        while not await self._write(self._this_vm):
            await asyncio.sleep(RETRY_INTERVAL_S)
        self._done = True

    async def leave(self) -> None:
        """Mark the entry as leaving, so that other VMs stop using this one."""
        await self._write(attrs.evolve(self._this_vm, leaving=True))

    async def _write(self, vm: EntryVm) -> bool:
        """Write the entry, and overwrite one that an earlier incarnation left.

        Returns False if the store did not respond.
        """
        store, content = self._store, documents.vm_content(vm)
        try:
            result = await store.write(documents.VM_KIND, vm.vm_id, content, 0)
            while isinstance(result, Conflict):
                revision = result.found.revision if result.found is not None else 0
                result = await store.write(documents.VM_KIND, vm.vm_id, content, revision)
        except StoreCallError as error:
            self._health.on_failure(error)
            _LOG.warning("vm_entry_not_written", extra={"error": str(error)})
            return False
        return True
