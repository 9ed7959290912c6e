"""Commands on the routes and pools tables.

Each command raises OperatorError, EditError or StoreUnavailableError when it did not succeed.
"""

import argparse
from collections.abc import Sequence

import attrs

from fireflyferry.operators.context import Context
from fireflyferry.operators.editing import CurrentTables, TableEditor
from fireflyferry.operators.errors import ExitCode, OperatorError
from fireflyferry.settings.ini import FileUnreadableError, read_text
from fireflyferry.tables import (
    Finding,
    InvalidTablesError,
    TableFile,
    Tables,
    add_row,
    change_row,
    diff_tables,
    format_row,
    format_tables,
    parse_tables,
    remove_row,
    restore,
    unsafe_changes,
)
from fireflyferry.tables.rows import ROW_TYPES, parse_columns, row_from_text

__all__ = [
    "add",
    "apply",
    "diff",
    "history",
    "remove",
    "set_columns",
    "show_file",
    "show_rows",
    "undo",
    "validate_file",
]


def _invalid_tables_error(findings: Sequence[Finding]) -> OperatorError:
    return OperatorError("invalid_tables", ExitCode.REFUSED, *map(str, findings))


def read_table_file(path: str) -> TableFile:
    """Read a table file.

    Raises OperatorError when the file cannot be read, or is not valid, with every finding.
    """
    try:
        return parse_tables(read_text(path))
    except FileUnreadableError as error:
        raise OperatorError(error.code, ExitCode.USAGE, str(error)) from error
    except InvalidTablesError as error:
        lines = (f"{path} is not valid:", *map(str, error.findings))
        raise OperatorError(error.code, ExitCode.REFUSED, *lines) from error


def _split_columns(kind: str, name: str, texts: Sequence[str]) -> dict[str, str]:
    values: dict[str, str] = {}
    findings = []
    for text in texts:
        column, separator, value = text.partition("=")
        if not separator or column in values or column == "name":
            allowed = "COLUMN=VALUE, each column once, and not the name"
            findings.append(Finding(f"{kind}s", name, column, repr(text), allowed))
        values[column] = value.strip()
    if findings:
        raise _invalid_tables_error(findings)
    return values


async def _check_expected_revision(
    editor: TableEditor, current: CurrentTables, expected: int | None
) -> None:
    if expected is None or expected == current.tables.revision:
        return
    base = await editor.read_revision(current, expected)
    changes = [] if base is None else map(str, diff_tables(base, current.tables))
    raise OperatorError(
        "edit_conflict",
        ExitCode.CONFLICT,
        f"Revision {current.tables.revision} by {current.tables.author or 'unknown'} is in force, "
        f"not {expected}; nothing was changed.",
        *changes,
    )


async def _show_and_commit(
    context: Context,
    editor: TableEditor,
    current: CurrentTables,
    edited: Tables,
    options: argparse.Namespace,
) -> int:
    """Show an edit's differences, then write it unless it is a dry run."""
    await _check_expected_revision(editor, current, options.expect_revision)
    changes = diff_tables(current.tables, edited)
    if not changes and current.version and not current.damaged:
        context.show(f"Nothing to change; revision {current.tables.revision} stays in force.")
        return ExitCode.DONE
    new = editor.prepare(current, edited, context.author, options.note, options.confirm_unsafe)
    for change in changes:
        context.show(str(change))
    if options.dry_run:
        context.show(f"Dry run: revision {new.revision} is valid and was not written.")
        return ExitCode.DONE
    await editor.commit(current, new)
    context.show(f"Revision {new.revision} was written (edit id {new.edit_id}).")
    return ExitCode.DONE


async def show_rows(context: Context, options: argparse.Namespace) -> int:
    """Show the rows of one table, or one row, in the format of a table file."""
    current = await context.editor().read()
    rows = getattr(current.tables, f"{options.kind}s")
    selected = [row for row in rows if options.name in (None, row.name)]
    if options.name is not None and not selected:
        names = ", ".join(row.name for row in rows) or "none"
        message = f"{options.kind}s {options.name}: no such row; rows: {names}"
        raise OperatorError("bad_edit", ExitCode.REFUSED, message)
    context.show(f"# revision {current.tables.revision}")
    context.show("\n".join(format_row(options.kind, row) for row in selected).rstrip())
    return ExitCode.DONE


async def show_file(context: Context, options: argparse.Namespace) -> int:
    """Show both tables as a table file."""
    current = await context.editor().read()
    context.show(format_tables(current.tables).rstrip())
    return ExitCode.DONE


async def add(context: Context, options: argparse.Namespace) -> int:
    """Add a row."""
    table = f"{options.kind}s"
    values = _split_columns(options.kind, options.name, options.columns)
    row, findings = row_from_text(ROW_TYPES[options.kind], table, options.name, values)
    if findings:
        raise _invalid_tables_error(findings)
    editor = context.editor()
    current = await editor.read()
    edited = add_row(current.tables, table, row)
    return await _show_and_commit(context, editor, current, edited, options)


async def set_columns(context: Context, options: argparse.Namespace) -> int:
    """Change columns of a row."""
    table = f"{options.kind}s"
    values = _split_columns(options.kind, options.name, options.columns)
    row_type = ROW_TYPES[options.kind]
    columns, findings = parse_columns(row_type, table, options.name, values)
    if findings:
        raise _invalid_tables_error(findings)
    editor = context.editor()
    current = await editor.read()
    edited = change_row(current.tables, table, options.name, columns)
    return await _show_and_commit(context, editor, current, edited, options)


async def remove(context: Context, options: argparse.Namespace) -> int:
    """Remove a row."""
    editor = context.editor()
    current = await editor.read()
    edited = remove_row(current.tables, f"{options.kind}s", options.name)
    return await _show_and_commit(context, editor, current, edited, options)


def validate_file(options: argparse.Namespace, show=print) -> int:
    """Check a table file without the store."""
    tables = read_table_file(options.file).tables
    show(f"{options.file} is valid: {len(tables.routes)} routes, {len(tables.pools)} pools.")
    return ExitCode.DONE


def _replace_rows(current: CurrentTables, file: TableFile) -> Tables:
    return attrs.evolve(current.tables, routes=file.tables.routes, pools=file.tables.pools)


async def diff(context: Context, options: argparse.Namespace) -> int:
    """Show what applying a file would change."""
    file = read_table_file(options.file)
    current = await context.editor().read()
    edited = _replace_rows(current, file)
    changes = diff_tables(current.tables, edited)
    context.show(f"Against revision {current.tables.revision}: {len(changes)} columns differ.")
    for change in changes:
        context.show(str(change))
    for unsafe in unsafe_changes(current.tables, edited):
        context.show(f"! {unsafe}")
    return ExitCode.DONE


async def apply(context: Context, options: argparse.Namespace) -> int:
    """Replace both tables by those of a file."""
    file = read_table_file(options.file)
    if options.expect_revision is None:
        options.expect_revision = file.revision
    editor = context.editor()
    current = await editor.read()
    if options.expect_revision is None and current.version:
        # Without an expected revision, a file made from an old revision would silently undo later
        # edits.
        raise OperatorError(
            "revision_not_given",
            ExitCode.USAGE,
            f"{options.file} does not say which revision it was made from. Add a section [tables] "
            f"with `revision = {current.tables.revision}` or give --expect-revision, after "
            f"checking the output of: fireflyferryctl diff {options.file}",
        )
    return await _show_and_commit(context, editor, current, _replace_rows(current, file), options)


async def history(context: Context, options: argparse.Namespace) -> int:
    """Show the latest revisions, newest first."""
    editor = context.editor()
    current = await editor.read(restoring=True)
    newest = current.tables.revision
    for revision in range(newest, max(0, newest - options.limit), -1):
        try:
            tables = await editor.read_revision(current, revision)
        except OperatorError as error:
            context.show(f"{revision}  not valid: {error.lines[1]}")
            continue
        if tables is None:
            context.show(f"{revision}  missing or not valid")
            continue
        author, note = tables.author or "unknown", tables.note or "no note"
        context.show(f"{revision}  {tables.edited_at}  {author}  {note}  edit id {tables.edit_id}")
    return ExitCode.DONE


async def undo(context: Context, options: argparse.Namespace) -> int:
    """Write a new revision with the rows of an earlier one."""
    editor = context.editor()
    current = await editor.read(restoring=True)
    earlier = await editor.read_revision(current, options.revision)
    if earlier is None:
        message = f"Revision {options.revision} is not in the history; nothing was changed."
        raise OperatorError("no_such_revision", ExitCode.REFUSED, message)
    options.note = options.note or f"undo to revision {options.revision}"
    edited = restore(current.tables, earlier)
    return await _show_and_commit(context, editor, current, edited, options)
