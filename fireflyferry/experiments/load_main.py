"""Program `fireflyferry-load`: open-loop load, reports, plots and comparisons."""

import argparse
import asyncio
import pathlib
import sys
import urllib.parse

from fireflyferry.experiments.load_plots import PlotsUnavailableError, save_plots
from fireflyferry.experiments.load_report import compare, report
from fireflyferry.experiments.load_result import LoadResult
from fireflyferry.experiments.load_runner import LoadRunner
from fireflyferry.experiments.load_scenario import ScenarioError, read_scenario
from fireflyferry.messages import decode, encode
from fireflyferry.messages.codec import MessageError
from fireflyferry.standins.program import ProgramError, make_parser, positive_int

__all__ = ["main"]

NAME = "fireflyferry-load"


def main(argv: list[str] | None = None) -> int:
    """Run the installed program, which sends from one process, and return the exit code."""
    return _main(_parser(), argv)


def main_with_senders(argv: list[str] | None = None) -> int:
    """Run as a module, where `run --senders` shares the load among several processes."""
    return _main(_parser(with_senders=True), argv)


def _main(parser: argparse.ArgumentParser, argv: list[str] | None) -> int:
    arguments = parser.parse_args(argv)
    try:
        return arguments.command(arguments)
    except (ProgramError, ScenarioError, PlotsUnavailableError) as error:
        print(f"{NAME}: {error}", file=sys.stderr)
        return getattr(error, "exit_code", 2)
    except KeyboardInterrupt:
        print(f"{NAME}: interrupted; no result was written", file=sys.stderr)
        return 130


def _parser(with_senders: bool = False) -> argparse.ArgumentParser:
    parser = make_parser(NAME, "Send open-loop load to entry VMs; report and compare the results.")
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    run = commands.add_parser("run", help="run a scenario; exit code 1 if a violation was found")
    run.set_defaults(command=_run)
    run.add_argument("scenario", help="INI file")
    run.add_argument(
        "--target",
        metavar="URL[,URL]",
        action="append",
        required=True,
        help="base URLs of entry VMs; may be repeated",
    )
    run.add_argument(
        "--upstream",
        metavar="IP:PORT[,IP:PORT]",
        action="append",
        default=[],
        help="upstream stand-ins to read executions and holdings from; may be repeated",
    )
    run.add_argument(
        "--direct", action="store_true", help="targets are upstream stand-ins, without a router"
    )
    run.set_defaults(senders=1)
    if with_senders:
        run.add_argument("--senders", type=positive_int, help="processes that share the load")
    run.add_argument("--label", default="", help="name of the run in reports")
    run.add_argument("--out", metavar="FILE", help="write the result as JSON")
    run.add_argument("--png", metavar="FILE", help="write plots; needs matplotlib")
    report_parser = commands.add_parser("report", help="show the text report of a result file")
    report_parser.set_defaults(command=_report)
    report_parser.add_argument("result")
    report_parser.add_argument("--png", metavar="FILE", help="write plots; needs matplotlib")
    compare_parser = commands.add_parser("compare", help="compare two result files")
    compare_parser.set_defaults(command=_compare)
    compare_parser.add_argument("before")
    compare_parser.add_argument("after")
    compare_parser.add_argument("--png", metavar="FILE", help="write plots; needs matplotlib")
    return parser


def _run(arguments: argparse.Namespace) -> int:
    scenario = read_scenario(arguments.scenario)
    targets = _split(arguments.target)
    for target in targets:
        parts = urllib.parse.urlsplit(target)
        if parts.scheme not in ("http", "https") or not parts.netloc:
            raise ProgramError(f"--target {target!r} is not a URL such as http://127.0.0.1:8080")

    async def run() -> LoadResult:
        runner = LoadRunner(
            scenario,
            targets,
            _split(arguments.upstream),
            arguments.direct,
            senders=arguments.senders,
        )
        return await runner.run(arguments.label)

    if arguments.out:
        _write(arguments.out, b"")  # fails before the run if the path cannot be written
    result = asyncio.run(run())
    if arguments.out:
        _write(arguments.out, encode(result))
    _save_plots((result,), arguments.png)
    print(report(result), end="")
    if result.sent and result.refused.get("client_connect_failed") == result.sent:
        raise ProgramError("no target accepted a connection", 3)
    return 1 if any(result.violations().values()) else 0


def _report(arguments: argparse.Namespace) -> int:
    result = _read(arguments.result)
    print(report(result), end="")
    _save_plots((result,), arguments.png)
    return 0


def _compare(arguments: argparse.Namespace) -> int:
    results = _read(arguments.before), _read(arguments.after)
    print(compare(*results), end="")
    _save_plots(results, arguments.png)
    return 0


def _split(texts: list[str]) -> tuple[str, ...]:
    return tuple(part for text in texts for part in text.split(",") if part)


def _read(path: str) -> LoadResult:
    try:
        return decode(pathlib.Path(path).read_bytes(), LoadResult)
    except OSError as error:
        raise ProgramError(f"cannot read {path}: {error.strerror}") from error
    except MessageError as error:
        raise ProgramError(f"{path} is not a result file: {error}") from error


def _write(path: str, data: bytes) -> None:
    try:
        pathlib.Path(path).write_bytes(data)
    except OSError as error:
        raise ProgramError(f"cannot write {path}: {error.strerror}") from error


def _save_plots(results: tuple[LoadResult, ...], path: str | None) -> None:
    if path is None:
        return
    try:
        save_plots(results, path)
    except OSError as error:
        raise ProgramError(f"cannot write {path}: {error.strerror}") from error


if __name__ == "__main__":
    sys.exit(main_with_senders())
