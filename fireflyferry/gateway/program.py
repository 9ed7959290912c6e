"""Program of the entry VM: connects its parts, serves until a signal and shuts down gracefully."""

import asyncio
import logging
import random
import secrets
from collections.abc import Callable, Coroutine
from signal import SIGHUP, SIGINT, SIGTERM
from typing import Any

import attrs
import tornado.httpserver

from fireflyferry import signals
from fireflyferry.admission import StopPlan
from fireflyferry.balancing import (
    EntryVm,
    LoadTracker,
    QuietPeriods,
    SelectionRules,
    TrafficSplitter,
)
from fireflyferry.balancing.cold_limits import ColdSenders
from fireflyferry.edges.system_clock import BootClock
from fireflyferry.gateway import documents
from fireflyferry.gateway.callers import CallerExchange, CallerServices
from fireflyferry.gateway.control import ControlLoop
from fireflyferry.gateway.departures import DepartedRequests
from fireflyferry.gateway.edges import Document, KeyOrders, MetadataStore, PlatformCodec
from fireflyferry.gateway.envelopes import EnvelopeCodec
from fireflyferry.gateway.eras import StoreEras
from fireflyferry.gateway.exchange import ClosingConnections, InFlightRequests, ServerDelegate
from fireflyferry.gateway.first_hop import FirstHop, FirstHopRules
from fireflyferry.gateway.gauges import make_gauges
from fireflyferry.gateway.knowledge import DocumentSync
from fireflyferry.gateway.last_hop import LastHop
from fireflyferry.gateway.locating import Locator
from fireflyferry.gateway.memory import RequestMemory
from fireflyferry.gateway.metrics import GatewayMetrics
from fireflyferry.gateway.pages import RECEIVE_WINDOW_BYTES, listen, serve_page
from fireflyferry.gateway.peer_client import PeerClient
from fireflyferry.gateway.peer_messages import write_owners
from fireflyferry.gateway.peer_server import PeerExchange, PeerServices
from fireflyferry.gateway.planning import RangePlanner
from fireflyferry.gateway.program_rules import ProgramRules
from fireflyferry.gateway.registration import Registration
from fireflyferry.gateway.reporting import LoadReporter
from fireflyferry.gateway.sampling import KeySampler
from fireflyferry.gateway.send_limits import SendLimits
from fireflyferry.gateway.settings import GatewaySettings
from fireflyferry.gateway.state_factory import make_state
from fireflyferry.gateway.upstream_path import make_path_monitor
from fireflyferry.gateway.watching import StoreHealth
from fireflyferry.keyranges import GrantTiming
from fireflyferry.routing.hosts import RoutingConfig
from fireflyferry.tasks import BackgroundTasks
from fireflyferry.transport import CurlTransport
from fireflyferry.transport.answer_memory import AnswerMemory
from fireflyferry.transport.request_server import RequestServer

__all__ = ["GatewayProgram", "PlatformAdapters", "ProgramRules"]

_LOG = logging.getLogger(__name__)

METRICS_PATH = "/metrics"
MAX_HEAD_BYTES_UNCONFIGURED = 1 << 16
# A head above its limit gets 431, also with spaces that the limit does not count. One that goes on
# beyond twice the limit is not read further, since each connection would hold it in memory.
SPARE_HEAD_BYTES = 4_096


@attrs.frozen
class PlatformAdapters:
    """Adapters to the platform."""

    store: MetadataStore
    orders: KeyOrders
    codec: PlatformCodec
    eras: StoreEras = attrs.field(factory=StoreEras)


class GatewayProgram:
    """One entry VM; must be created while the event loop runs."""

    def __init__(
        self,
        settings: GatewaySettings,
        make_adapters: Callable[[CurlTransport, GatewayMetrics], PlatformAdapters],
        on_reload: Callable[[], None],
        rules: ProgramRules | None = None,
    ):
        self._settings = settings
        self._rules = rules or ProgramRules()
        self._on_reload = on_reload
        self._clock = BootClock()
        self._rng = random.Random()
        self._tasks = BackgroundTasks()
        self._stop = asyncio.Event()
        self._metrics = GatewayMetrics()
        self._transport = CurlTransport(
            force_instance=True,
            connect_timeout_s=self._rules.connect_timeout_s,
            answer_memory=AnswerMemory.of_vm(settings.vm.memory_mb),
        )
        self._memory = RequestMemory.of_vm(
            self._clock, settings.vm.memory_mb, self._transport.answer_memory, self._metrics
        )
        self._adapters = make_adapters(self._transport, self._metrics)
        self._health = StoreHealth(self._clock, self._rules.disturbed_s)
        self._this_vm = self._make_this_vm()
        self._make_state()
        self._make_hops()
        self._make_servers()
        self._make_control_loop()
        self._registration = Registration(self._adapters.store, self._health, self._this_vm)
        self._adapters.eras.on_rise.append(self._on_era)
        self._idle_timeout_s = 0.0
        self._metrics.register_gauges(
            make_gauges(
                self._adapters.codec,
                self._state,
                self._document_sync,
                self._control_loop,
                self._first_hop,
                self._last_hop,
                self._path,
                self._adapters.eras,
            )
            | self._memory.gauges()
        )

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send new connections."""
        return self._state.complete and self._registration.done and not self._stop.is_set()

    def stop(self) -> None:
        """Begin the shutdown."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until a termination signal."""
        vm = self._settings.vm
        servers = [
            self._serve(ServerDelegate(self._caller_exchange, self._closing), vm.callers),
            self._serve(ServerDelegate(self._peer_exchange), self._this_vm.address),
        ]
        self._callers_server = servers[0]
        self._memory.bound_connections(self._callers_server)
        serve_page(vm.readiness, r"/ready", self._readiness)
        serve_page(f"{vm.address}:{vm.metrics_port}", METRICS_PATH, self._metrics_text)
        loop = asyncio.get_running_loop()
        signals.handle(loop, {SIGTERM: self.stop, SIGINT: self.stop, SIGHUP: self._on_reload})
        _LOG.info(
            "started",
            extra={
                "vm": vm.vm_id,
                "incarnation": self._this_vm.incarnation,
                "callers": vm.callers,
                "peers": self._this_vm.address,
            },
        )
        for work in (
            *self._document_sync.background_work(),
            self._control_loop.run,
            self._path.run,
            self._registration.run,
            self._registration.run_in_later_eras,
            self._reporter.run,
            self._memory.run,
            self._remove_stale_state,
        ):
            self._tasks.supervise(work)
        await self._stop.wait()
        await self._shut_down(servers)

    # Parts

    def _make_this_vm(self) -> EntryVm:
        vm = self._settings.vm
        return EntryVm(
            vm.vm_id,
            secrets.token_hex(6),
            f"{vm.address}:{vm.peer_port}",
            vm.data_centre,
            capacity=vm.capacity,
        )

    def _make_control_loop(self) -> None:
        bounds = self._settings.bounds
        self._planner = RangePlanner(
            self._clock,
            self._state.upstreams,
            may_own=self._state.may_own_keys,
            cold_rate=self._state.cold_rate,
        )
        self._control_loop = ControlLoop(
            self._clock,
            self._state,
            self._adapters.store,
            self._health,
            self._adapters.orders,
            self._planner,
            self._metrics,
            self._rng,
            self._document_sync.mirror,
            self._announce_owners,
            follows_relay=lambda: not self._document_sync.feed.direct,
            path=self._path,
            timing=GrantTiming(hold_s=min(GrantTiming().hold_s, bounds.max_hold_s)),
        )
        self._state.on_owner_table = self._control_loop.on_owner_table
        self._reporter = LoadReporter(
            self._this_vm,
            self._sampler,
            self._last_hop,
            self._planner,
            self._peers,
            self._report_target,
        )

    def _make_state(self) -> None:
        settings, codec = self._settings, self._adapters.codec
        self._state = make_state(
            self._clock,
            codec,
            settings,
            self._this_vm,
            self._rules,
            self._health,
            lambda: self._document_sync.mirror,
        )
        regions = settings.regions.by_data_centre()
        self._cold_senders = ColdSenders(
            self._this_vm,
            regions,
            self._state.cold.rules,
            lambda: self._document_sync.age_s(documents.VM_KIND),
        )
        self._state.on_vms = self._cold_senders.on_vms
        self._state.on_config.append(self._on_config)
        self._envelopes = EnvelopeCodec(codec.headers)
        self._peers = PeerClient(self._clock, self._transport, self._state.vms, self._envelopes)
        self._document_sync = DocumentSync(
            self._clock,
            self._adapters.store,
            self._health,
            codec,
            self._state,
            lambda leases: self._control_loop.apply_lease(leases),
            self._peers.poll_relay,
            settings.bounds.settle_window_s,
            self._adapters.eras,
            settings.bounds.evacuate_s,
        )

    def _make_hops(self) -> None:
        state, codec, clock = self._state, self._adapters.codec, self._clock
        bounds = self._settings.bounds
        self._stop_plan, self._quiet = StopPlan(), QuietPeriods()
        self._path = make_path_monitor(clock, state, self._rules.connect_timeout_s)
        self._last_hop = LastHop(
            clock,
            self._transport,
            state.upstreams,
            state.candidates,
            LoadTracker(SelectionRules(), self._rng),
            codec.headers,
            self._metrics,
            self._path,
            stop_plan=self._stop_plan,
            quiet=self._quiet,
            limits=SendLimits(clock, state, self._cold_senders),
        )
        state.on_upstreams.append(self._last_hop.remove_gone_queues)
        self._load_tracker = LoadTracker(SelectionRules(), self._rng)
        self._first_hop = FirstHop(
            clock,
            state,
            self._last_hop,
            self._peers,
            self._load_tracker,
            self._metrics,
            Locator(clock, state, self._last_hop, self._load_tracker, self._rng, quiet=self._quiet),
            FirstHopRules(
                retry_share=bounds.retry_share,
                retry_least=bounds.retry_least,
                retry_window_s=bounds.retry_window_s,
            ),
            self._stop_plan,
        )
        self._sampler = KeySampler(self._rng)

    def _make_servers(self) -> None:
        state, codec, clock = self._state, self._adapters.codec, self._clock
        self._closing = ClosingConnections()
        self._splitter = TrafficSplitter()
        self._caller_services = CallerServices(
            clock,
            state,
            codec.headers,
            self._first_hop,
            self._sampler,
            self._metrics,
            self._splitter,
            self._closing,
            in_flight=InFlightRequests(self._memory),
        )
        self._peer_services = PeerServices(
            self._this_vm.vm_id,
            clock,
            state.upstreams,
            self._last_hop,
            self._envelopes,
            lambda report: self._reporter.add_report(report),
            self._document_sync.put_owner_table,
            self._document_sync.feed,
            self._stop_plan,
            self._path,
            DepartedRequests(clock),
            InFlightRequests(self._memory),
        )

    # Servers

    def _serve(self, delegate: ServerDelegate, endpoint: str) -> tornado.httpserver.HTTPServer:
        server = RequestServer(
            delegate, max_body_size=1 << 30, max_header_size=MAX_HEAD_BYTES_UNCONFIGURED
        )
        server.add_socket(listen(endpoint, RECEIVE_WINDOW_BYTES))
        return server

    def _caller_exchange(self, connection: Any) -> CallerExchange:
        return CallerExchange(connection, self._caller_services)

    def _peer_exchange(self, connection: Any) -> PeerExchange:
        return PeerExchange(connection, self._peer_services)

    def _readiness(self) -> tuple[int, bytes]:
        return (200, b"ready\n") if self.ready else (503, b"not ready\n")

    def _metrics_text(self) -> tuple[int, bytes]:
        return 200, self._metrics.text()

    def _on_config(self, config: RoutingConfig) -> None:
        """Apply the values of the configuration that the servers use."""
        self._splitter.retain([route.shares for route in config.routes])
        # A caller may still rely on the longer timeout of an earlier version.
        self._idle_timeout_s = max(self._idle_timeout_s, config.limits.idle_timeout_s)
        connection_rules = self._callers_server.conn_params
        connection_rules.header_timeout = self._idle_timeout_s
        connection_rules.max_header_size = 2 * config.limits.max_header_bytes + SPARE_HEAD_BYTES

    def _on_era(self, era: int) -> None:
        """Give up what this VM holds by the store's word, and read and write everything again."""
        self._control_loop.begin_era(era)
        self._document_sync.begin_era(era)
        self._registration.write_again()

    # Background work

    async def _announce_owners(self, document: Document) -> None:
        """Send a stored owner table to the VMs that do not get it from a relay."""
        body = write_owners(document)

        async def send_to_first(vms: list[EntryVm]) -> bool:
            for vm in vms:
                if vm.vm_id == self._this_vm.vm_id or await self._peers.send_owners(vm, body):
                    return True
            return False

        groups = self._document_sync.feed.vms_to_notify()
        delivered = await asyncio.gather(*map(send_to_first, groups))
        not_delivered = [
            vms[0].vm_id
            for vms, was_delivered in zip(groups, delivered, strict=True)
            if not was_delivered
        ]
        if not_delivered:
            _LOG.info(
                "owners_not_taken",
                extra={
                    "pool": document.name,
                    "revision": document.revision,
                    "vms": ",".join(not_delivered),
                },
            )

    def _report_target(self) -> EntryVm | None:
        """Return the VM to which this VM reports its load."""
        if self._control_loop.holds_lease:
            return self._this_vm
        return self._document_sync.feed.relay or self._control_loop.granting_vm()

    async def _remove_stale_state(self) -> None:
        while True:
            await asyncio.sleep(self._rules.cleanup_interval_s)
            self._last_hop.remove_gone_queues()
            known = {each.run for each in self._state.upstreams}
            self._load_tracker.retain(known)
            self._last_hop.retain(known)
            self._state.cold.retain(known)

    # Shutdown

    async def _shut_down(self, servers: list[tornado.httpserver.HTTPServer]) -> None:
        """Stop accepting requests of callers and peers, then wait for those in flight."""
        rules, clock = self._rules, self._clock
        stop_began_s = clock.monotonic_s()
        exit_by_s = stop_began_s + self._settings.bounds.grace_period_s - rules.exit_margin_s
        _LOG.info("stopping", extra={"in_flight": self._in_flight()})
        self._closing.active = True
        self._stop_plan.cut_until_s = stop_began_s + rules.cut_deadlines_s
        self._stop_plan.answer_by_s = exit_by_s - rules.cut_margin_s
        announcements: list[Coroutine[Any, Any, Any]] = [
            self._control_loop.resign(),
            self._registration.leave(),
        ]
        for work in announcements:
            self._tasks.start(work)
        break_off_s = exit_by_s - rules.final_answers_s
        while clock.monotonic_s() < min(stop_began_s + rules.accept_while_stopping_s, break_off_s):
            await asyncio.sleep(0.05)
        # From now on new requests are refused; those in flight are still answered. The server for
        # other VMs goes on listening, since they ping this VM while they wait for its answers.
        self._callers_server.stop()
        self._caller_services.in_flight.closed = self._peer_services.in_flight.closed = True
        await self._wait_until_idle(break_off_s)
        self._memory.close_all()
        broken_off = self._caller_services.in_flight.break_off()
        broken_off += self._peer_services.in_flight.break_off()
        await self._wait_until_idle(exit_by_s)
        _LOG.info(
            "stopped",
            extra={
                "broken_off": broken_off,
                "in_flight": self._in_flight(),
                "took_s": round(clock.monotonic_s() - stop_began_s, 3),
            },
        )
        self._tasks.cancel()
        for server in servers:
            await server.close_all_connections()
        self._transport.close()

    async def _wait_until_idle(self, until_s: float) -> None:
        while self._in_flight() and self._clock.monotonic_s() < until_s:
            await asyncio.sleep(0.02)

    def _in_flight(self) -> int:
        return len(self._caller_services.in_flight) + len(self._peer_services.in_flight)
