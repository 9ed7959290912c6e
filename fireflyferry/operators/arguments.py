"""Command line of `fireflyferryctl`."""

import argparse

import attrs

from fireflyferry import __version__
from fireflyferry.operators import explain, fleet_commands, status, table_commands
from fireflyferry.settings.values import Endpoint, Text, ValueType, value_type_of
from fireflyferry.tables.rows import ROW_TYPES

__all__ = ["SETTINGS_VARIABLE", "make_parser"]

SETTINGS_VARIABLE = "FIREFLYFERRYCTL_SETTINGS"

EPILOG = f"""\
Settings are read from the file given by --settings or by the environment variable
{SETTINGS_VARIABLE}.

exit codes:
  0  done, or nothing to do
  1  refused: the table, the edit or the request is not valid or not safe; nothing was changed
  2  the command line, a file or the settings cannot be used; nothing was changed
  3  the store or the VMs did not answer; nothing was changed
  4  edit conflict: another edit was accepted first; nothing was changed
  5  outcome unknown: the change may have taken effect, or may still do so
  6  partly done, or some VMs do not answer or lag behind
"""

_VM_ID = Text(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", "1 to 64 letters, digits and ._-")


def _vm_id(text: str) -> str:
    return _convert(_VM_ID, text)


def _convert(value_type: ValueType, text: str) -> str:
    try:
        return value_type.convert(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(f"found {text!r}, allowed: {error}") from error


def _endpoint(text: str) -> str:
    return _convert(Endpoint(), text)


def _non_negative_integer(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 18):
        raise argparse.ArgumentTypeError(f"found {text!r}, allowed: a whole number from 0")
    return int(text)


def _column_help(kind: str) -> str:
    lines = ["columns:"]
    for attribute in attrs.fields(ROW_TYPES[kind]):
        if attribute.name != "name":
            lines.append(f"  {attribute.name}: {value_type_of(attribute).allowed}")
    return "\n".join(lines)


def _make_edit_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(add_help=False)
    parser.add_argument("--note", default="", help="why the edit is made; kept in the history")
    parser.add_argument("--dry-run", action="store_true", help="check and show, but do not write")
    parser.add_argument(
        "--expect-revision",
        type=_non_negative_integer,
        metavar="N",
        help="refuse the edit unless revision N is in force",
    )
    parser.add_argument(
        "--confirm-unsafe",
        action="store_true",
        help="accept a change that is unsafe while requests are served",
    )
    return parser


def _add_table_commands(commands, kind: str, edit_parser: argparse.ArgumentParser) -> None:
    table = f"{kind}s"
    parser = commands.add_parser(table, help=f"show and edit the {table} table")
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")

    def add_action(name: str, run, help_text: str, editing: bool = True) -> argparse.ArgumentParser:
        subparser = actions.add_parser(
            name,
            help=help_text,
            description=f"{help_text[0].upper()}{help_text[1:]}.",
            epilog=_column_help(kind) if name in ("add", "set") else None,
            formatter_class=argparse.RawDescriptionHelpFormatter,
            parents=[edit_parser] if editing else [],
        )
        subparser.set_defaults(run=run, kind=kind)
        return subparser

    show_parser = add_action(
        "show", table_commands.show_rows, "show all rows, or one", editing=False
    )
    show_parser.add_argument("name", nargs="?", metavar="NAME")
    for name, run, help_text in (
        ("add", table_commands.add, "add a row"),
        ("set", table_commands.set_columns, "change columns of a row"),
    ):
        subparser = add_action(name, run, help_text)
        subparser.add_argument("name", metavar="NAME")
        subparser.add_argument("columns", nargs="+", metavar="COLUMN=VALUE")
    add_action("remove", table_commands.remove, "remove a row").add_argument("name", metavar="NAME")


def _add_file_commands(commands, edit_parser: argparse.ArgumentParser) -> None:
    def add_command(
        name: str, run, help_text: str, editing: bool = False
    ) -> argparse.ArgumentParser:
        description = f"{help_text[0].upper()}{help_text[1:]}."
        parents = [edit_parser] if editing else []
        subparser = commands.add_parser(
            name, help=help_text, description=description, parents=parents
        )
        subparser.set_defaults(run=run)
        return subparser

    add_command("show", table_commands.show_file, "show both tables as a table file")
    subparser = add_command(
        "validate", table_commands.validate_file, "check a table file without reading the store"
    )
    subparser.add_argument("file", metavar="FILE")
    subparser = add_command(
        "diff", table_commands.diff, "show what applying a table file would change"
    )
    subparser.add_argument("file", metavar="FILE")
    subparser = add_command(
        "apply", table_commands.apply, "replace both tables by those of a file", True
    )
    subparser.add_argument("file", metavar="FILE")
    subparser = add_command(
        "history", table_commands.history, "show the latest revisions, newest first"
    )
    subparser.add_argument(
        "--limit", type=_non_negative_integer, default=20, metavar="N", help="default: 20"
    )
    subparser = add_command(
        "undo", table_commands.undo, "write a new revision with the rows of an earlier one", True
    )
    subparser.add_argument(
        "revision", type=_non_negative_integer, metavar="REVISION", help="revision to restore"
    )


def _add_fleet_commands(commands) -> None:
    def add_command(name: str, run, help_text: str) -> argparse.ArgumentParser:
        subparser = commands.add_parser(
            name, help=help_text, description=f"{help_text[0].upper()}{help_text[1:]}."
        )
        subparser.set_defaults(run=run)
        return subparser

    subparser = add_command(
        "assign", fleet_commands.assign, "place a unit or a single key on an upstream"
    )
    subparser.add_argument("pool", metavar="POOL")
    subparser.add_argument(
        "key_or_unit", metavar="KEY_OR_UNIT", help="a key, b:BUCKET or k:BUCKET:KEY"
    )
    subparser.add_argument("upstream", metavar="UPSTREAM")
    subparser.add_argument(
        "--key", action="store_true", help="treat KEY_OR_UNIT as a key even if it looks like a unit"
    )
    subparser = add_command("drain", fleet_commands.drain, "drain an upstream or an entry VM")
    subparser.add_argument("target", type=_vm_id, metavar="UPSTREAM|VM")
    subparser = add_command(
        "declare-lost", fleet_commands.declare_lost, "declare that a VM has stopped"
    )
    subparser.add_argument("vm", type=_vm_id, metavar="VM")
    subparser.add_argument("--yes", action="store_true", help="confirm that the VM has stopped")
    subparser.add_argument(
        "--withdraw",
        action="store_true",
        help="withdraw the declaration, before the VM starts again",
    )
    subparser.add_argument("--note", default="", help="how it is known that the VM has stopped")
    subparser = add_command(
        "status", status.status, "show VMs, groups, owners, moves, refusals and retries"
    )
    subparser.add_argument("--json", action="store_true", help="write JSON")
    subparser.add_argument(
        "--peer",
        type=_endpoint,
        action="append",
        default=[],
        metavar="IP:PORT",
        help="query this peer address instead of the listed VMs; can be repeated",
    )


def _add_log_commands(commands) -> None:
    help_text = "show the timeline of a request from log lines on standard input"
    subparser = commands.add_parser(
        "explain", help=help_text, description=f"{help_text[0].upper()}{help_text[1:]}."
    )
    subparser.set_defaults(run=explain.explain)
    subparser.add_argument("request_id", metavar="REQUEST_ID")


def make_parser() -> argparse.ArgumentParser:
    """Build the parser; `run` of the parsed options is the function of the chosen command."""
    parser = argparse.ArgumentParser(
        prog="fireflyferryctl",
        description="Show and change routes, pools, owners and VMs.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    parser.add_argument("--settings", metavar="FILE", help="settings file in INI form")
    parser.add_argument(
        "--author", help="author of edits (default: from the settings, or the login name)"
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    edit_parser = _make_edit_parser()
    for kind in ("route", "pool"):
        _add_table_commands(commands, kind, edit_parser)
    _add_file_commands(commands, edit_parser)
    _add_fleet_commands(commands)
    _add_log_commands(commands)
    return parser
