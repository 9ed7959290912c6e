"""`fireflyferry-check`: checks settings files before a deployment."""

import argparse
import sys
from collections.abc import Sequence

from fireflyferry import __version__
from fireflyferry.settings.model import PROGRAMS
from fireflyferry.settings.reader import SettingsError, read_settings

__all__ = ["main"]

EPILOG = """\
exit codes:
  0  every file is valid
  1  at least one file has a fault; all faults are printed on standard error
  2  the command line is wrong
"""


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fireflyferry-check",
        description="Check settings files. Each fault names file, section, key, the value found "
        "and what is allowed. Secrets are not printed.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    parser.add_argument("files", nargs="+", metavar="FILE", help="settings file in INI form")
    parser.add_argument(
        "--program",
        choices=sorted(PROGRAMS),
        default="entry",
        help="program that reads the files (default: %(default)s)",
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Check the files given on the command line and return the exit code."""
    options = _parser().parse_args(arguments)
    failed = False
    for path in options.files:
        try:
            read_settings(path, PROGRAMS[options.program])
        except SettingsError as error:
            failed = True
            for fault in error.faults:
                print(fault, file=sys.stderr)
        else:
            print(f"{path}: valid settings of {options.program}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
