"""Program of an entry VM on the users' platform."""

from fireflyferry import signals

if __name__ == "__main__":
    # Loading the other modules takes tenths of a second, in which a signal would end the process.
    signals.block()

import argparse
import asyncio
import logging
import os
import sys

import fireflyferry
from fireflyferry.gateway.eras import StoreEras
from fireflyferry.gateway.metrics import GatewayMetrics
from fireflyferry.gateway.program import GatewayProgram, PlatformAdapters
from fireflyferry.gateway.settings import GatewaySettings
from fireflyferry.keyranges import GrantTiming
from fireflyferry.platform import names
from fireflyferry.platform.decoding import Codec
from fireflyferry.platform.orders import HttpKeyOrders
from fireflyferry.platform.store import HttpMetadataStore
from fireflyferry.settings import SettingsError, read_settings
from fireflyferry.telemetry.logs import configure_bounded_logging
from fireflyferry.transport import CurlTransport
from fireflyferry.transport.event_loop import new_event_loop

__all__ = ["main"]

_LOG = logging.getLogger(__name__)

EXIT_DONE = 0
EXIT_BAD_SETTINGS = 2
EXIT_NO_PORT = 3
EXIT_FAILED = 4


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = argparse.ArgumentParser(
        prog="fireflyferry-platform-entry",
        description="Entry VM on the platform: routes requests to the owners of their keys.",
        epilog="Exit codes: 0 graceful stop, 2 bad settings, 3 a port is not free, "
        "4 internal error.",
    )
    parser.add_argument(
        "--settings",
        default=os.environ.get(names.SETTINGS_VARIABLE),
        metavar="FILE",
        help=f"INI file (default: the file that {names.SETTINGS_VARIABLE} names)",
    )
    parser.add_argument(
        "--version", action="version", version=f"%(prog)s {fireflyferry.__version__}"
    )
    options = parser.parse_args(argv)
    if options.settings is None:
        parser.error(f"--settings is missing and {names.SETTINGS_VARIABLE} is not set")
    try:
        settings = read_settings(options.settings, GatewaySettings)
    except SettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    output = configure_bounded_logging(settings.log.format, settings.log.level)
    try:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(_run(options.settings, settings))
    except OSError as error:
        _LOG.error("port_not_free", extra={"error": str(error)})
        return EXIT_NO_PORT
    except Exception:
        _LOG.exception("program_failed")
        return EXIT_FAILED
    finally:
        output.close()
    return EXIT_DONE


async def _run(settings_path: str, settings: GatewaySettings) -> None:
    stores: list[HttpMetadataStore] = []

    def make_adapters(transport: CurlTransport, metrics: GatewayMetrics) -> PlatformAdapters:
        eras = StoreEras()
        store = HttpMetadataStore(settings.store.address, transport, metrics, eras)
        stores.append(store)
        return PlatformAdapters(store, HttpKeyOrders(transport, GrantTiming()), Codec(), eras)

    def reload() -> None:
        try:
            new_settings = read_settings(settings_path, GatewaySettings)
        except SettingsError as error:
            _LOG.error("settings_not_reloaded", extra={"error": str(error)})
            return
        logging.getLogger().setLevel(new_settings.log.level.upper())
        for store in stores:
            store.set_address(new_settings.store.address)
        _LOG.info("settings_reloaded", extra={"changed": new_settings != settings})

    try:
        await GatewayProgram(settings, make_adapters, reload).run()
    finally:
        # Closing the event loop restores the default actions.
        signals.block()


if __name__ == "__main__":
    sys.exit(main())
