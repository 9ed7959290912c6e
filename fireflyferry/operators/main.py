"""Entry point of `fireflyferryctl`, the operators' command line program."""

import argparse
import asyncio
import getpass
import os
import sys
from collections.abc import Sequence

from fireflyferry.edges import StoreUnavailableError
from fireflyferry.edges.http_client import HttpClient
from fireflyferry.edges.http_store import HttpObjectStore, HttpVmList
from fireflyferry.edges.peer_auth import PeerSigner
from fireflyferry.edges.system_clock import SystemClock
from fireflyferry.operators.arguments import SETTINGS_VARIABLE, make_parser
from fireflyferry.operators.context import Context
from fireflyferry.operators.errors import ExitCode, OperatorError
from fireflyferry.operators.explain import explain
from fireflyferry.operators.peers import HttpPeerControl
from fireflyferry.operators.table_commands import validate_file
from fireflyferry.settings import CtlSettings, SettingsError, read_settings
from fireflyferry.tables import EditError

__all__ = ["main", "run_command"]

CLIENT_NAME = "fireflyferryctl"


def _read_settings(options: argparse.Namespace) -> CtlSettings:
    path = options.settings or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        message = f"No settings file: give --settings or set {SETTINGS_VARIABLE}."
        raise OperatorError("no_settings", ExitCode.USAGE, message)
    try:
        return read_settings(path, CtlSettings)
    except SettingsError as error:
        lines = map(str, error.faults)
        raise OperatorError(error.code, ExitCode.USAGE, *lines) from error


def _author(options: argparse.Namespace, settings: CtlSettings) -> str:
    if options.author or settings.operator.author:
        return options.author or settings.operator.author
    try:
        return getpass.getuser()
    except (KeyError, OSError, ImportError):
        message = "No author: give --author or set author in [operator] of the settings."
        raise OperatorError("no_author", ExitCode.USAGE, message) from None


async def run_command(context: Context, options: argparse.Namespace) -> int:
    """Run a command with the connections of a context and return its exit code.

    Raises OperatorError when the command did not succeed.
    """
    try:
        return int(await options.run(context, options))
    except StoreUnavailableError as error:
        message = f"The store did not answer: {error}"
        raise OperatorError(error.code, ExitCode.UNAVAILABLE, message) from error
    except EditError as error:
        raise OperatorError(error.code, ExitCode.REFUSED, str(error)) from error


async def _connect_and_run(options: argparse.Namespace) -> int:
    settings = _read_settings(options)
    author = _author(options, settings)
    client = HttpClient(CLIENT_NAME, timeout_s=settings.store.timeout_ms / 1000)
    signer = PeerSigner((settings.secrets.current.encode(),), SystemClock())
    context = Context(
        HttpObjectStore(settings.store.address, client),
        HttpVmList(settings.store.address, client),
        HttpPeerControl(client, signer),
        author,
    )
    try:
        return await run_command(context, options)
    finally:
        client.close()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    options = make_parser().parse_args(arguments)
    try:
        if options.run in (validate_file, explain):
            return int(options.run(options))  # needs no settings and no store
        return asyncio.run(_connect_and_run(options))
    except OperatorError as error:
        print(f"fireflyferryctl: {error.code}", file=sys.stderr)
        for line in error.lines:
            print(f"  {line}", file=sys.stderr)
        return int(error.exit_code)
    except KeyboardInterrupt:
        print("fireflyferryctl: interrupted; see `history` and `status`", file=sys.stderr)
        return int(ExitCode.UNKNOWN)


if __name__ == "__main__":
    sys.exit(main())
