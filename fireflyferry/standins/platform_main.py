"""Program `fireflyferry-platform`: the platform stand-in."""

import argparse
import pathlib
import sys

import tornado.httpserver

from fireflyferry.edges.wire import VmListBody
from fireflyferry.messages import VmEntry, decode
from fireflyferry.messages.codec import MessageError
from fireflyferry.standins.platform_server import Platform, make_application
from fireflyferry.standins.program import (
    ProgramError,
    bind,
    make_parser,
    non_negative,
    port_number,
    print_ready_line,
    run_program,
)

__all__ = ["main"]

NAME = "fireflyferry-platform"


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = make_parser(NAME, "Stand-in for the platform: object store and VM list.")
    parser.add_argument("--address", default="127.0.0.1", help="IP address to listen on")
    parser.add_argument(
        "--port", type=port_number, default=0, help="port to listen on; 0 picks a free one"
    )
    parser.add_argument("--vms", metavar="FILE", help='VM list: {"vms": [{"vm_id": ...}]}')
    parser.add_argument(
        "--vms-lag-s", type=non_negative, default=0.0, help="seconds until a new VM list is visible"
    )
    return run_program(NAME, _start, parser.parse_args(argv))


async def _start(arguments: argparse.Namespace) -> None:
    platform = Platform(_read_vms(arguments.vms), arguments.vms_lag_s)
    sockets = bind(arguments.address, arguments.port)
    server = tornado.httpserver.HTTPServer(make_application(platform), max_body_size=2_000_000)
    server.add_sockets(sockets)
    print_ready_line(sockets)


def _read_vms(path: str | None) -> tuple[VmEntry, ...]:
    if path is None:
        return ()
    try:
        return decode(pathlib.Path(path).read_bytes(), VmListBody).vms
    except OSError as error:
        raise ProgramError(f"cannot read {path}: {error.strerror}") from error
    except MessageError as error:
        raise ProgramError(f"{path}: {error}") from error


if __name__ == "__main__":
    sys.exit(main())
