"""Program `fireflyferry-upstream`: several upstream stand-ins in one process."""

import argparse
import sys

import attrs

from fireflyferry.standins.program import (
    ProgramError,
    bind,
    make_parser,
    non_negative,
    port_number,
    positive_int,
    print_ready_line,
    run_program,
)
from fireflyferry.standins.upstream_instance import InstanceSettings, UpstreamInstance
from fireflyferry.standins.upstream_server import make_server

__all__ = ["main"]

NAME = "fireflyferry-upstream"


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = make_parser(NAME, "Stand-ins for upstreams, with fault injection.")
    add = parser.add_argument
    add("--address", default="127.0.0.1", help="IP address to listen on")
    add(
        "--instance",
        metavar="ID:POOL:PORT",
        action="append",
        required=True,
        help="upstream id, pool and port (0 picks a free one); may be repeated",
    )
    add("--slots", type=positive_int, default=2, help="requests executed at the same time")
    add("--connections", type=positive_int, default=130, help="maximum number of connections")
    add(
        "--waiting",
        type=int,
        default=16,
        help="requests that may wait for a slot; further ones are shed",
    )
    add(
        "--checks",
        choices=("grants", "none"),
        default="grants",
        help="whether grants and fences are checked",
    )
    add("--service-ms", type=non_negative, default=5.0, help="mean service time, ms")
    add("--jitter", type=non_negative, default=0.2, help="share by which the service time varies")
    add(
        "--cold-s",
        type=non_negative,
        default=0.0,
        help="seconds after the start during which it is cold",
    )
    add(
        "--cold-factor",
        type=non_negative,
        default=5.0,
        help="factor on the service time while cold",
    )
    add("--journal", default="", metavar="FILE", help="file to append a line to for each execution")
    add("--seed", type=int, default=1, help="seed of the service times")
    return run_program(NAME, _start, parser.parse_args(argv))


async def _start(arguments: argparse.Namespace) -> None:
    instances = [_parse_instance(text, arguments) for text in arguments.instance]
    for settings, port in instances:
        sockets = bind(arguments.address, port)
        make_server(UpstreamInstance(settings)).add_sockets(sockets)
        print_ready_line(sockets, upstream=settings.upstream_id, pool=settings.pool)


def _parse_instance(text: str, arguments: argparse.Namespace) -> tuple[InstanceSettings, int]:
    parts = text.split(":")
    if len(parts) != 3 or not all(parts):
        raise ProgramError(f"--instance {text!r} is not of the form ID:POOL:PORT")
    try:
        port = port_number(parts[2])
    except argparse.ArgumentTypeError as error:
        raise ProgramError(f"--instance {text!r}: {error}") from error
    names = {field.name for field in attrs.fields(InstanceSettings)}
    options = {name: value for name, value in vars(arguments).items() if name in names}
    return InstanceSettings(upstream_id=parts[0], pool=parts[1], **options), port


if __name__ == "__main__":
    sys.exit(main())
