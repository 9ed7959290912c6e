"""Program `fireflyferry-entry`: one entry VM."""

import argparse
import asyncio
import logging
import random
import secrets
import signal
import socket
import sys

import attrs
import tornado.httpserver
import tornado.netutil

import fireflyferry
from fireflyferry.edges.base import Metrics
from fireflyferry.edges.http_client import HttpClient
from fireflyferry.edges.http_peer import HttpPeerLink
from fireflyferry.edges.http_store import HttpObjectStore, HttpVmList
from fireflyferry.edges.http_upstream import HttpUpstreamControl
from fireflyferry.edges.peer_auth import PeerSigner
from fireflyferry.edges.statsd_metrics import MemoryMetrics, StatsdMetrics, TeeMetrics
from fireflyferry.edges.system_clock import SystemClock
from fireflyferry.entry.control import ControlLoop
from fireflyferry.entry.feed import Feed
from fireflyferry.entry.group_runtime import GroupRuntime
from fireflyferry.entry.limits import limits_from_settings
from fireflyferry.entry.owner_view import OwnerView
from fireflyferry.entry.peer_server import PeerServices, make_peer_router
from fireflyferry.entry.request_path import make_request_path
from fireflyferry.entry.state import VmState
from fireflyferry.entry.upstream_table import UpstreamTable
from fireflyferry.errors import FireflyferryError
from fireflyferry.leases import LeaseTiming
from fireflyferry.messages import GroupId, VmIncarnation
from fireflyferry.messages.control import VmStatus
from fireflyferry.settings import EntrySettings, read_settings
from fireflyferry.standins.link_cut import make_cut_router
from fireflyferry.telemetry.logs import configure_logging
from fireflyferry.transport.request_server import RequestServer

__all__ = ["EntryProgram", "main"]

_LOG = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
EXIT_NO_PORT = 3
EXIT_FAILED = 4
# A call to an upstream or peer must time out before the lease that it renews ends.
CONTROL_TIMEOUT_S = 0.6
INCARNATION_BYTES = 8


class ControlFailedError(FireflyferryError):
    """The control loop or the feed ended because of an error."""

    code = "control_failed"


@attrs.frozen
class _Adapters:
    """Clients of the platform, upstreams and peers."""

    store: HttpObjectStore
    vm_list: HttpVmList
    peers: HttpPeerLink
    upstream_control: HttpUpstreamControl


def _make_adapters(settings: EntrySettings, signer: PeerSigner) -> _Adapters:
    vm_id = settings.vm.vm_id
    client = HttpClient(vm_id, timeout_s=CONTROL_TIMEOUT_S)
    store_client = HttpClient(vm_id, timeout_s=settings.store.timeout_ms / 1000)
    return _Adapters(
        HttpObjectStore(settings.store.address, store_client),
        HttpVmList(settings.store.address, store_client),
        HttpPeerLink(client, signer),
        HttpUpstreamControl(client),
    )


class EntryProgram:
    """Builds and runs the parts of one entry VM."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        vm = settings.vm
        clock = SystemClock()
        this_vm = VmIncarnation(vm.vm_id, secrets.token_hex(INCARNATION_BYTES))
        self._state = VmState(this_vm, vm.region, vm.data_centre, clock, settings.peers.addresses)
        self._clock = clock
        self._memory_metrics = MemoryMetrics()
        self._signer = _make_signer(settings, clock)
        adapters = _make_adapters(settings, self._signer)
        upstreams = UpstreamTable()
        runtimes: dict[GroupId, GroupRuntime] = {}
        self._control_loop = ControlLoop(
            self._state,
            clock,
            adapters.store,
            adapters.peers,
            adapters.upstream_control,
            LeaseTiming(**attrs.asdict(settings.leases)),
            upstreams,
            runtimes,
        )
        self._feed = Feed(self._state, clock, adapters.store, adapters.vm_list, adapters.peers)
        owner_view = OwnerView(self._state, upstreams, runtimes)
        self._request_path = make_request_path(
            vm_id=vm.vm_id,
            clock=clock,
            metrics=self._make_metrics(),
            rng=random.Random(),
            tables=self._state,
            locator=owner_view,
            owners=owner_view,
            observer=owner_view,
            control=adapters.upstream_control,
            signer=self._signer,
            limits=limits_from_settings(settings.limits),
        )
        self._control_loop.attach(self._request_path)
        self._stop_requested = asyncio.Event()

    def status(self) -> VmStatus:
        """Return the status of this VM for operators."""
        snapshot = self._request_path.snapshot()
        return VmStatus(
            self._state.this_vm,
            self._state.data_centre,
            self._state.revision,
            self._state.rejected_revision,
            self._state.rejected_reason,
            self._feed.source,
            min(self._feed.age_s(self._clock.monotonic_s()), 1e9),
            self._control_loop.leaving,
            self._control_loop.operator_calls.group_statuses(),
            snapshot.reasons,
            snapshot.retries,
        )

    async def run(self) -> None:
        """Serve until shutdown is requested, then drain and stop.

        Raises ControlFailedError if the control loop or the feed ends, and OSError if a port is
        not free.
        """
        public_socket = _listen(self._settings.vm.address, self._settings.vm.public_port)
        peer_socket = _listen(self._settings.vm.address, self._settings.vm.peer_port)
        services = PeerServices(
            self._control_loop, self._feed, self.status, self._signer, self.shut_down
        )
        servers = self._serve(public_socket, peer_socket, services)
        print(
            f"ready public={_bound_address(public_socket)} peer={_bound_address(peer_socket)} "
            f"incarnation={self._state.this_vm.incarnation}",
            flush=True,
        )
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.shut_down)
        background = [
            asyncio.ensure_future(self._control_loop.run()),
            asyncio.ensure_future(self._feed.run()),
        ]
        stopping = asyncio.ensure_future(self._stop_requested.wait())
        await asyncio.wait([stopping, *background], return_when=asyncio.FIRST_COMPLETED)
        failures = [task.exception() for task in background if task.done()]
        if failures:
            # Without its control loop or feed, this VM would keep connections that it cannot serve.
            raise ControlFailedError("the control loop or the feed ended") from failures[0]
        await self._drain_and_stop(servers, background)

    def shut_down(self) -> None:
        """Request a graceful shutdown."""
        self._control_loop.start_drain()
        self._stop_requested.set()

    def _serve(
        self, public_socket: socket.socket, peer_socket: socket.socket, services: PeerServices
    ) -> list[tornado.httpserver.HTTPServer]:
        options = self._request_path.server_options()
        public_server = RequestServer(self._request_path.public_delegate, **options)
        public_server.add_socket(public_socket)
        router = make_peer_router(services, self._request_path.peer_delegate)
        if self._settings.testing.fault_injection:
            _LOG.warning("fault_injection_enabled")
            router = make_cut_router(router)
        peer_server = RequestServer(router, **options)
        peer_server.add_socket(peer_socket)
        return [public_server, peer_server]

    async def _drain_and_stop(
        self, servers: list[tornado.httpserver.HTTPServer], background: list[asyncio.Future]
    ) -> None:
        """Hand over the groups, then wait for the requests in flight.

        The ports stay open during the handover, because callers and peers still have this VM in
        their tables.
        """
        handed_over = await self._control_loop.wait_for_handover()
        _LOG.info("handed_over", extra={"complete": handed_over})
        servers[0].stop()
        if not await self._request_path.drain(self._settings.drain.time_s):
            _LOG.warning("drain_timed_out", extra={"time_s": self._settings.drain.time_s})
        servers[1].stop()
        for task in background:
            task.cancel()
        self._control_loop.stop()
        for server in servers:
            await server.close_all_connections()
        self._request_path.close()
        _LOG.info("stopped")

    def _make_metrics(self) -> Metrics:
        statsd = self._settings.statsd
        if not statsd.address:
            return self._memory_metrics
        host, _, port = statsd.address.rpartition(":")
        return TeeMetrics(self._memory_metrics, StatsdMetrics(host, int(port), statsd.prefix))


def _make_signer(settings: EntrySettings, clock: SystemClock) -> PeerSigner:
    configured = (settings.secrets.current, settings.secrets.previous)
    return PeerSigner(tuple(secret.encode() for secret in configured if secret), clock)


def _listen(address: str, port: int) -> socket.socket:
    return tornado.netutil.bind_sockets(port, address)[0]


def _bound_address(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = argparse.ArgumentParser(
        prog="fireflyferry-entry",
        description="Entry VM: routes requests to the owners of their keys.",
        epilog="Exit codes: 0 graceful stop, 2 bad settings, 3 a port is not free, "
        "4 internal error.",
    )
    parser.add_argument("--settings", required=True, metavar="FILE", help="INI file")
    parser.add_argument(
        "--version", action="version", version=f"%(prog)s {fireflyferry.__version__}"
    )
    options = parser.parse_args(argv)
    try:
        settings = read_settings(options.settings, EntrySettings)
    except FireflyferryError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    configured = (settings.secrets.current, settings.secrets.previous)
    configure_logging(
        settings.log.format, settings.log.level, [each for each in configured if each]
    )
    try:
        asyncio.run(_run(settings))
    except OSError as error:
        print(f"fireflyferry-entry: {error.strerror}", file=sys.stderr)
        return EXIT_NO_PORT
    except ControlFailedError:
        _LOG.exception("control_failed")
        return EXIT_FAILED
    return EXIT_OK


async def _run(settings: EntrySettings) -> None:
    await EntryProgram(settings).run()


if __name__ == "__main__":
    sys.exit(main())
