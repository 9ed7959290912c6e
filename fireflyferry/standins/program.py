"""Helpers shared by the stand-in programs: arguments, sockets, signals, exit codes."""

import argparse
import asyncio
import math
import signal
import sys
from importlib import metadata

import tornado.netutil

from fireflyferry.errors import FireflyferryError

__all__ = [
    "EXIT_CODES",
    "ProgramError",
    "bind",
    "make_parser",
    "non_negative",
    "port_number",
    "positive_int",
    "print_ready_line",
    "run_program",
]

EXIT_CODES = """\
exit codes:
  0  stopped by SIGTERM or SIGINT, or finished
  1  a check found a violation (programs that check something)
  2  wrong arguments, or a file that cannot be read or is not valid
  3  an address or port cannot be bound or reached
"""


class ProgramError(FireflyferryError):
    """Wrong use or a failed start of a program; `exit_code` is its exit code."""

    code = "program_error"

    def __init__(self, message: str, exit_code: int = 2) -> None:
        super().__init__(message)
        self.exit_code = exit_code


def make_parser(name: str, description: str) -> argparse.ArgumentParser:
    """Build a parser with `--version` and the table of exit codes."""
    parser = argparse.ArgumentParser(
        prog=name,
        description=description,
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    version = f"%(prog)s {metadata.version('fireflyferry')}"
    parser.add_argument("--version", action="version", version=version)
    return parser


def port_number(text: str) -> int:
    """Parse a port number; getaddrinfo would accept 99999 as port 34463.

    Raises argparse.ArgumentTypeError.
    """
    if not text.isdecimal() or int(text) > 65_535:
        raise argparse.ArgumentTypeError(f"{text!r} is not a port from 0 to 65535")
    return int(text)


def positive_int(text: str) -> int:
    """Parse an integer that is at least 1.

    Raises argparse.ArgumentTypeError.
    """
    if not text.isdecimal() or int(text) < 1:
        raise argparse.ArgumentTypeError(f"{text!r} is not an integer of at least 1")
    return int(text)


def non_negative(text: str) -> float:
    """Parse a finite number that is at least 0.

    Raises argparse.ArgumentTypeError.
    """
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not (math.isfinite(value) and value >= 0):
        raise argparse.ArgumentTypeError(f"{text!r} is not a number of at least 0")
    return value


def bind(address: str, port: int) -> list:
    """Bind listening sockets; port 0 picks a free one.

    Raises ProgramError with exit code 3.
    """
    try:
        return tornado.netutil.bind_sockets(port, address, backlog=1024)
    except OSError as error:
        raise ProgramError(f"cannot listen on {address}:{port}: {error}", 3) from error


def print_ready_line(sockets: list, **fields: str) -> None:
    """Print the ready line, with the address on which the program listens."""
    host, port = sockets[0].getsockname()[:2]
    extra = "".join(f" {name}={value}" for name, value in fields.items())
    print(f"ready address={host}:{port}{extra}", flush=True)


async def wait_for_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


def run_program(name: str, start, arguments: argparse.Namespace) -> int:
    """Run `start(arguments)`, wait for SIGTERM or SIGINT and return the exit code."""

    async def run() -> None:
        await start(arguments)
        await wait_for_signal()

    try:
        asyncio.run(run())
    except ProgramError as error:
        print(f"{name}: {error}", file=sys.stderr)
        return error.exit_code
    return 0
