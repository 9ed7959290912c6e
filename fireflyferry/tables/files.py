"""Table files: INI text with one section per row and one line per column."""

from typing import Any

import attrs

from fireflyferry.settings.ini import parse_ini
from fireflyferry.tables.diff import format_value
from fireflyferry.tables.findings import Finding, InvalidTablesError
from fireflyferry.tables.model import Tables
from fireflyferry.tables.rows import ROW_TYPES, row_from_text
from fireflyferry.tables.validation import validate

__all__ = ["TableFile", "format_row", "format_tables", "parse_tables"]

_ALLOWED_SECTIONS = "sections [tables], [route NAME] and [pool NAME]"


@attrs.frozen
class TableFile:
    """Rows of a table file; `revision` is the one that the file was made from, if given."""

    tables: Tables
    revision: int | None


def _read_revision(section: dict[str, str], findings: list[Finding]) -> int | None:
    text = section.get("revision")
    for key in section.keys() - {"revision"}:
        findings.append(Finding("tables", "", key, "an unknown key", "revision"))
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= 18):
        findings.append(Finding("tables", "", "revision", ascii(text)[:80], "a whole number"))
        return None
    return int(text)


def _read_rows(sections: dict[str, dict[str, str]], findings: list[Finding]) -> dict[str, list]:
    rows: dict[str, list] = {"route": [], "pool": []}
    for section, values in sections.items():
        kind, _, name = section.partition(" ")
        if section == "tables":
            continue
        if kind not in ROW_TYPES:
            findings.append(
                Finding("file", f"[{section}]", "", "an unknown section", _ALLOWED_SECTIONS)
            )
            continue
        if "name" in values:
            found = "a name column"
            findings.append(
                Finding(f"{kind}s", name, "name", found, "the name in the section header only")
            )
            values = {key: value for key, value in values.items() if key != "name"}
        row, row_findings = row_from_text(ROW_TYPES[kind], f"{kind}s", name, values)
        findings.extend(row_findings)
        if row is not None:
            rows[kind].append(row)
    return rows


def parse_tables(text: str) -> TableFile:
    """Read and validate a table file.

    Raises InvalidTablesError with all findings.
    """
    ini = parse_ini(text)
    findings = [Finding("file", "", "", problem, "INI") for problem in ini.problems]
    revision = _read_revision(ini.sections.get("tables", {}), findings)
    rows = _read_rows(ini.sections, findings)
    pools = [name[5:] for name in ini.sections if name.startswith("pool ")]
    tables = Tables(routes=tuple(rows["route"]), pools=tuple(rows["pool"]))
    findings.extend(validate(tables, pools))
    if findings:
        raise InvalidTablesError(sorted(findings))
    return TableFile(tables, revision)


def format_row(kind: str, row: Any) -> str:
    """Format a row as a section with all of its columns."""
    names = (each.name for each in attrs.fields(type(row)) if each.name != "name")
    lines = (f"{name} = {format_value(row, name)}".rstrip() for name in names)
    return "\n".join((f"[{kind} {row.name}]", *lines)) + "\n"


def format_tables(tables: Tables) -> str:
    """Format both tables as a file that `parse_tables` reads back."""
    parts = [f"[tables]\nrevision = {tables.revision}\n"]
    parts.extend(format_row("pool", row) for row in tables.pools)
    parts.extend(format_row("route", row) for row in tables.routes)
    return "\n".join(parts)
