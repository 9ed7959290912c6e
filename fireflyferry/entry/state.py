"""State of an entry VM, from its mirror of the store: tables, groups, placements and VM list."""

import logging
import secrets
from collections.abc import Callable
from typing import Any

import attrs

from fireflyferry.edges import Clock, StoredObject
from fireflyferry.entry.interfaces import TablesSource
from fireflyferry.membership import ObjectMirror, PlacementMap, VmTable
from fireflyferry.messages import GroupId, GroupRecord, VmEntry, VmIncarnation, decode, encode
from fireflyferry.messages.codec import MessageError, read_each, structure
from fireflyferry.messages.control import LOST_PREFIX
from fireflyferry.tables import InvalidTablesError, Tables, load_tables

__all__ = ["GROUPS_PREFIX", "PLACEMENTS_PREFIX", "VM_LIST_OBJECT", "RecordView", "VmState"]

_LOG = logging.getLogger(__name__)

TABLES_OBJECT = "config/tables"
GROUPS_PREFIX = "groups/"
PLACEMENTS_PREFIX = "placements/"
VM_LIST_OBJECT = "vms"
FIRST_POSITION_BITS = 48
# Number of findings of a rejected revision that the status reports.
MAX_FINDINGS = 5


@attrs.frozen
class VmListing:
    """The VM list as an object that relays distribute; each of `entries` is a VmEntry."""

    entries: list[Any]


@attrs.frozen
class RecordView:
    """The newest version of a group's record in the mirror."""

    record: GroupRecord
    version: int
    seen_at_s: float


class VmState(TablesSource):
    """State that the control loop and the request path read.

    The lists `on_...` hold callbacks, which run while new objects are applied.
    """

    def __init__(
        self, this_vm: VmIncarnation, region: str, data_centre: str, clock: Clock, seed_peers=()
    ) -> None:
        self.this_vm = this_vm
        self.region = region
        self.data_centre = data_centre
        self.seed_peers: tuple[str, ...] = tuple(seed_peers)
        self.mirror = ObjectMirror(secrets.randbits(FIRST_POSITION_BITS))
        self.vm_table = VmTable()
        self.placements: dict[str, PlacementMap] = {}
        self.records: dict[GroupId, RecordView] = {}
        self.on_vm_gone: list[Callable[[VmEntry], None]] = []
        self.on_record: list[Callable[[RecordView], None]] = []
        self.on_declared_lost: list[Callable[[StoredObject], None]] = []
        self.on_change: list[Callable[[], None]] = []
        self.rejected_revision = 0
        self.rejected_reason = ""
        self._clock = clock
        self._tables: Tables | None = None

    @property
    def vm_id(self) -> str:
        """Id of this VM."""
        return self.this_vm.vm_id

    @property
    def revision(self) -> int:
        """Revision of the applied tables, 0 before the first."""
        return self._tables.revision if self._tables else 0

    def current(self) -> Tables | None:
        """Return the applied tables."""
        return self._tables

    def apply(self, objects: tuple[StoredObject, ...]) -> bool:
        """Apply the objects that are newer than the known ones, and return whether any were."""
        newer = self.mirror.apply(objects)
        for item in newer:
            if item.data is None:
                continue
            try:
                self._apply_object(item.name, item.version, item.data)
            except MessageError as error:
                _LOG.error("bad_object", extra={"object": item.name, "error": str(error)})
            except Exception:
                # The mirror has stored all objects already, so the others would not come again.
                _LOG.exception("object_not_applied", extra={"object": item.name})
        if newer:
            for callback in self.on_change:
                callback()
        return bool(newer)

    def vm_list_object(self, version: int, entries: tuple[VmEntry, ...]) -> StoredObject:
        """Return the VM list as an object that relays distribute."""
        return StoredObject(VM_LIST_OBJECT, version, encode(VmListing(list(entries))))

    def _apply_object(self, name: str, version: int, data: bytes) -> None:
        if name == TABLES_OBJECT:
            self._apply_tables(data)
        elif name.startswith(GROUPS_PREFIX):
            view = RecordView(decode(data, GroupRecord), version, self._clock.monotonic_s())
            _check_name(name, f"{GROUPS_PREFIX}{view.record.group}")
            self.records[view.record.group] = view
            for callback in self.on_record:
                callback(view)
        elif name.startswith(PLACEMENTS_PREFIX):
            placement = decode(data, PlacementMap)
            _check_name(name, f"{PLACEMENTS_PREFIX}{placement.pool}")
            if not placement.is_complete():
                raise MessageError("buckets are not covered exactly once")
            self.placements[placement.pool] = placement
        elif name.startswith(LOST_PREFIX):
            for callback in self.on_declared_lost:
                callback(StoredObject(name, version, data))
        elif name == VM_LIST_OBJECT:
            entries = decode(data, VmListing).entries
            self._apply_vm_list(
                tuple(read_each(entries, lambda each: structure(each, VmEntry), name))
            )

    def _apply_tables(self, data: bytes) -> None:
        """Apply a higher revision, or keep the current one if the new one is invalid."""
        try:
            tables = load_tables(data)
        except InvalidTablesError as error:
            self.rejected_revision = error.revision
            self.rejected_reason = "; ".join(map(str, error.findings[:MAX_FINDINGS]))
            _LOG.error(
                "tables_rejected",
                extra={"revision": error.revision, "findings": self.rejected_reason},
            )
            return
        if tables.revision <= self.revision:
            return
        self._tables = tables
        _LOG.info("tables_applied", extra={"revision": tables.revision})

    def _apply_vm_list(self, entries: tuple[VmEntry, ...]) -> None:
        gone = self.vm_table.update(self._clock.monotonic_s(), entries)
        for entry in gone:
            for callback in self.on_vm_gone:
                callback(entry)


def _check_name(name: str, described: str) -> None:
    """Check that an object describes what it is named after, and so replaces nothing else."""
    if name != described:
        raise MessageError(f"describes {described}")
