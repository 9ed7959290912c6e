"""Documents that entry VMs keep in the store: their own entries, the lease, owner tables."""

from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from fireflyferry.balancing import EntryVm
from fireflyferry.gateway.edges import Document, UnreadableDocumentError
from fireflyferry.keyranges import LAST_KEY, LeaseRecord, OwnedRange, OwnerTable, UpstreamRun
from fireflyferry.messages.codec import MessageError, structure, unstructure

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
]

VM_KIND = "fireflyferry-vms"
OWNER_KIND = "fireflyferry-owners"
LEASE_KIND = "fireflyferry-leases"
LEASE_NAME = "granting"


@attrs.frozen
class _StoredTable:
    """Compact form of an owner table; every watching VM receives it with each change.

    `runs` are id and birth. `ranges` are first key, owner, fence, serving, earlier holders, where
    runs are named by their index.
    """

    pool: str
    term: int
    last_fence: int
    runs: list[tuple[str, int]]
    ranges: list[tuple[int, int, int, bool, list[int]]]


def vm_content(vm: EntryVm) -> Any:
    """Return the content of an entry VM's entry."""
    return unstructure(vm)


def read_vm(document: Document) -> EntryVm:
    """Read an entry VM's entry."""
    return _read(document, EntryVm)


def lease_content(record: LeaseRecord) -> Any:
    """Return the content of the lease record."""
    return unstructure(record)


def read_lease(document: Document) -> LeaseRecord:
    """Read the lease record."""
    return _read(document, LeaseRecord)


def table_content(table: OwnerTable) -> Any:
    """Return the content of an owner table."""
    runs = sorted({run for each in table.ranges for run in (each.owner, *each.earlier_holders)})
    index = {run: number for number, run in enumerate(runs)}
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
    )
    return unstructure(stored)


def read_table(document: Document) -> OwnerTable:
    """Read an owner table; one with a gap or a fence out of range is refused."""
    stored = _read(document, _StoredTable)
    runs = [UpstreamRun(upstream_id, born) for upstream_id, born in stored.runs]
    try:
        ranges = tuple(_ranges(stored.ranges, runs))
    except IndexError as error:
        raise UnreadableDocumentError(
            f"{document.name!r} names a run that it does not list"
        ) from error
    table = OwnerTable(stored.pool, stored.term, stored.last_fence, ranges)
    if not table.is_complete():
        raise UnreadableDocumentError(f"{document.name!r} does not cover every key once")
    return table


def _ranges(
    stored: Iterable[tuple[int, int, int, bool, list[int]]], runs: list[UpstreamRun]
) -> Iterator[OwnedRange]:
    rows = list(stored)
    lasts = [row[0] - 1 for row in rows[1:]] + [LAST_KEY]
    for (first, owner, fence, serving, earlier), last in zip(rows, lasts, strict=True):
        yield OwnedRange(
            first, last, runs[owner], fence, tuple(runs[number] for number in earlier), serving
        )


def _read(document: Document, kind: type) -> Any:
    try:
        return structure(document.content, kind)
    except MessageError as error:
        raise UnreadableDocumentError(f"{document.name!r}: {error}") from error
