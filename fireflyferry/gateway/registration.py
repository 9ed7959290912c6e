"""Registration of this VM in the store's list of entry VMs."""

import asyncio
import logging

import attrs

from fireflyferry.balancing import EntryVm
from fireflyferry.gateway import documents
from fireflyferry.gateway.edges import (
    Conflict,
    Document,
    MetadataStore,
    StoreCallError,
    UnreadableDocumentError,
)
from fireflyferry.gateway.watching import StoreHealth

__all__ = ["Registration"]

_LOG = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.5


class Registration:
    """Writes this VM's entry at startup and in each era, and marks it as leaving at shutdown.

    A VM that starts overwrites the entry of an earlier incarnation. One that leaves does not
    overwrite the entry of another incarnation, which may have started since.
    """

    def __init__(self, store: MetadataStore, health: StoreHealth, this_vm: EntryVm):
        self._store = store
        self._health = health
        self._entry = this_vm
        self._done = False
        self._outdated = asyncio.Event()

    @property
    def done(self) -> bool:
        """Whether the store has confirmed the entry."""
        return self._done

    async def run(self) -> None:
        """Write the entry, and retry until the store has confirmed it."""
        while not await self._write():
            await asyncio.sleep(RETRY_INTERVAL_S)
        self._done = True

    async def run_in_later_eras(self) -> None:
        """Write the entry once more after each call of `write_again`, until cancelled."""
        while True:
            await self._outdated.wait()
            self._outdated.clear()
            await self.run()

    def write_again(self) -> None:
        """Write the entry once more, since the store came back from a copy and may lack it."""
        self._outdated.set()

    async def leave(self) -> None:
        """Mark the entry as leaving, so that other VMs stop using this one."""
        self._entry = attrs.evolve(self._entry, leaving=True)
        await self._write()

    async def _write(self) -> bool:
        """Write the entry as it is now; return False if the store did not respond."""
        revision = 0
        try:
            while True:
                entry = self._entry
                result = await self._store.write(
                    documents.VM_KIND, entry.vm_id, documents.vm_content(entry), revision
                )
                if not isinstance(result, Conflict):
                    # Another call of this method may have changed the entry meanwhile.
                    if entry == self._entry:
                        return True
                    revision = result
                elif self._may_overwrite(result.found):
                    revision = result.found.revision if result.found is not None else 0
                else:
                    return True
        except StoreCallError as error:
            self._health.on_failure(error)
            _LOG.warning("vm_entry_not_written", extra={"error": str(error)})
            return False

    def _may_overwrite(self, found: Document | None) -> bool:
        if found is None or not self._entry.leaving:
            return True
        try:
            incarnation = documents.read_vm(found).incarnation
        except UnreadableDocumentError:
            incarnation = ""
        if incarnation != self._entry.incarnation:
            _LOG.info("vm_entry_of_another_incarnation", extra={"incarnation": incarnation})
            return False
        return True
