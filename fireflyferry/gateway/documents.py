"""Documents that entry VMs write to the store: VM entries, the lease record, owner tables."""

from collections.abc import Iterator
from typing import Any

import attrs

from fireflyferry.balancing import EntryVm
from fireflyferry.gateway.edges import Document, UnreadableDocumentError
from fireflyferry.keyranges import (
    LAST_KEY,
    MAX_ERA,
    LeaseRecord,
    OwnedRange,
    OwnerTable,
    UpstreamRun,
)
from fireflyferry.messages.codec import MessageError, structure, unstructure
from fireflyferry.settings.values import Endpoint

__all__ = [
    "LEASE_KIND",
    "LEASE_NAME",
    "OWNER_KIND",
    "VM_KIND",
    "lease_content",
    "read_lease",
    "read_table",
    "read_vm",
    "table_content",
    "vm_content",
    "written_era",
]

VM_KIND = "fireflyferry-vms"
OWNER_KIND = "fireflyferry-owners"
LEASE_KIND = "fireflyferry-leases"
LEASE_NAME = "granting"


@attrs.frozen
class _StoredTable:
    """Stored form of an owner table, kept compact since each change is sent to all VMs.

    `runs` holds the id and the `born` value of each upstream incarnation in the table. A row of
    `ranges` holds the first key, the owner, the fence, whether the owner serves the range, and the
    earlier holders; owner and earlier holders are indices into `runs`. `era` is left out while the
    store reports none.
    """

    pool: str
    term: int
    last_fence: int
    runs: list[tuple[str, int]]
    ranges: list[Any]
    era: int | None = None


def written_era(document: Document) -> int | None:
    """Return the store's era in which a lease record or an owner table was written, if any."""
    era = document.content.get("era") if isinstance(document.content, dict) else None
    return era if type(era) is int and 0 <= era <= MAX_ERA else None


def vm_content(vm: EntryVm) -> Any:
    """Return the stored form of a VM entry."""
    return unstructure(vm)


def read_vm(document: Document) -> EntryVm:
    """Parse a VM entry, whose name is the VM's id.

    Raises UnreadableDocumentError.
    """
    vm = _read(document, EntryVm)
    _check_name(document, vm.vm_id)
    try:
        Endpoint().convert(vm.address)
    except ValueError as error:
        raise UnreadableDocumentError(f"{document.name!r}: address is not {error}") from error
    if vm.capacity <= 0:
        raise UnreadableDocumentError(f"{document.name!r}: capacity is {vm.capacity}")
    return vm


def lease_content(record: LeaseRecord) -> Any:
    """Return the stored form of a lease record."""
    return _without_unknown_era(unstructure(record))


def read_lease(document: Document) -> LeaseRecord:
    """Parse the lease record.

    Raises UnreadableDocumentError.
    """
    return attrs.evolve(_read(document, LeaseRecord), era=written_era(document))


def table_content(table: OwnerTable) -> Any:
    """Return the stored form of an owner table."""
    runs = sorted({run for each in table.ranges for run in (each.owner, *each.earlier_holders)})
    index = {run: position for position, run in enumerate(runs)}
    ranges = [
        (
            each.first,
            index[each.owner],
            each.fence,
            each.serving,
            [index[r] for r in each.earlier_holders],
        )
        for each in table.ranges
    ]
    stored = _StoredTable(
        table.pool,
        table.term,
        table.last_fence,
        [(run.upstream_id, run.born) for run in runs],
        ranges,
        table.era,
    )
    return _without_unknown_era(unstructure(stored))


def read_table(document: Document) -> OwnerTable:
    """Parse an owner table, whose name is that of the pool.

    Raises UnreadableDocumentError, also if the ranges do not cover each key exactly once or if a
    fence is above `last_fence`.
    """
    stored = _read(document, _StoredTable)
    _check_name(document, stored.pool)
    runs = [UpstreamRun(upstream_id, born) for upstream_id, born in stored.runs]
    for position, row in enumerate(stored.ranges):
        if not _is_row(row, len(runs)):
            raise UnreadableDocumentError(f"{document.name!r}: range {position} is not valid")
    ranges = tuple(_ranges(stored.ranges, runs))
    table = OwnerTable(stored.pool, stored.term, stored.last_fence, ranges, written_era(document))
    if not table.is_complete():
        raise UnreadableDocumentError(
            f"{document.name!r}: keys are not covered exactly once, or a fence is above last_fence"
        )
    return table


def _without_unknown_era(content: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in content.items() if name != "era" or value is not None}


def _is_row(row: Any, run_count: int) -> bool:
    """Return whether a row is valid; each VM checks hundreds of them for each move of keys."""
    if not isinstance(row, list | tuple) or len(row) != 5:
        return False
    first, owner, fence, serving, earlier = row
    if not (type(first) is int and type(fence) is int and type(serving) is bool):
        return False
    if not isinstance(earlier, list | tuple):
        return False
    return all(type(index) is int and 0 <= index < run_count for index in (owner, *earlier))


def _ranges(rows: list[Any], runs: list[UpstreamRun]) -> Iterator[OwnedRange]:
    lasts = [row[0] - 1 for row in rows[1:]] + [LAST_KEY] * bool(rows)
    for (first, owner, fence, serving, earlier), last in zip(rows, lasts, strict=True):
        yield OwnedRange(
            first, last, runs[owner], fence, tuple(runs[index] for index in earlier), serving
        )


def _check_name(document: Document, name: str) -> None:
    """Check that a document describes what it is named after, and so replaces nothing else."""
    if name != document.name or not name:
        raise UnreadableDocumentError(f"{document.name!r} describes {name!r}")


def _read(document: Document, target_type: type) -> Any:
    try:
        return structure(document.content, target_type)
    except MessageError as error:
        raise UnreadableDocumentError(f"{document.name!r}: {error}") from error
