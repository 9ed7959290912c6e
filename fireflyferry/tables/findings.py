"""Faults found in tables, and the error that lists them."""

from collections.abc import Iterable

import attrs

from fireflyferry.errors import FireflyferryError
from fireflyferry.settings.values import one_line

__all__ = ["Finding", "InvalidTablesError"]


@attrs.frozen(order=True)
class Finding:
    """One fault: where it is, the value found and what is allowed."""

    table: str
    row: str
    column: str
    found: str
    allowed: str

    def __str__(self) -> str:
        place = " ".join(part for part in (self.table, self.row, self.column) if part)
        return one_line(f"{place}: found {self.found}, allowed: {self.allowed}")


class InvalidTablesError(FireflyferryError):
    """Tables that are refused as a whole; `findings` lists every fault.

    `revision` is 0 when it could not be read.
    """

    code = "invalid_tables"

    def __init__(self, findings: Iterable[Finding], revision: int = 0):
        self.findings = tuple(findings)
        self.revision = revision
        super().__init__("; ".join(map(str, self.findings)))
