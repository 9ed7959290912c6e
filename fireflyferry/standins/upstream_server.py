"""HTTP server of one upstream instance: control paths, faults and logs."""

import time
import weakref

import attrs
import cattrs
import orjson
import tornado.httpserver
import tornado.web

from fireflyferry.messages import GrantMessage, decode, encode
from fireflyferry.messages.codec import MessageError
from fireflyferry.standins.http_base import FaultsHandler, StandinHandler, wait_until_fault_ends
from fireflyferry.standins.upstream_data import DataHandler
from fireflyferry.standins.upstream_instance import UpstreamInstance

__all__ = ["UpstreamServer", "make_application", "make_server"]


@attrs.frozen
class CancelBody:
    """Body of `POST /control/v1/cancel`."""

    request_id: str


class UpstreamServer(tornado.httpserver.HTTPServer):
    """Server that marks connections over the limit; on those it serves only the test paths."""

    def initialize(self, request_callback, limit: int = 130, **kwargs) -> None:
        """Set up the server with a maximum number of connections."""
        super().initialize(request_callback, **kwargs)
        self._limit = limit
        self._over_limit: weakref.WeakSet = weakref.WeakSet()
        self.peak_connections = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def handle_stream(self, stream, address) -> None:
        """Accept a connection and mark it if it is over the limit."""
        if len(self._connections) >= self._limit:
            self._over_limit.add(stream)
        self.peak_connections = max(self.peak_connections, len(self._connections) + 1)
        super().handle_stream(stream, address)

    def is_over_limit(self, request) -> bool:
        """Return whether a request came on a connection over the limit."""
        return request.connection.stream in self._over_limit


class _ControlHandler(StandinHandler):
    """Handler of the control paths, with the instance's faults applied."""

    def initialize(self, instance: UpstreamInstance, operation: str) -> None:
        self._instance = instance
        self._operation = operation

    async def prepare(self) -> None:
        """Apply outages and freezes before the operation."""
        instance = self._instance
        if self._operation in ("health", "load") and self._reports_falsely("good"):
            return
        fault = instance.faults.consume("outage", self.caller, self._operation)
        if fault is not None:
            if fault.mode == "hang":
                operation = self._operation
                await wait_until_fault_ends(
                    instance.faults, instance.changed, "outage", self.caller, operation
                )
            self.drop_connection()
            return
        await instance.wait_while_frozen(self.caller, self._operation)
        if self.application.settings["server"]().is_over_limit(self.request):
            self.set_header("Connection", "close")
            self.send_error_text(503, "connection_limit")
            self.finish()

    def _reports_falsely(self, mode: str) -> bool:
        fault = self._instance.faults.find("lying_health", self.caller, self._operation)
        return fault is not None and fault.mode == mode

    def get(self) -> None:
        """Answer a hello, health or load request."""
        if self._operation == "hello":
            self.send_json(encode(self._instance.hello()))
        elif self._operation == "health":
            self._health()
        elif self._operation == "load":
            self._load()
        else:
            self.send_error_text(405, "method not allowed")

    def _health(self) -> None:
        instance = self._instance
        frozen = instance.faults.find("freeze", self.caller, "data") is not None
        healthy = self._reports_falsely("good") or not (frozen or self._reports_falsely("bad"))
        body = {"healthy": healthy, "cold": instance.cold, "draining": instance.draining}
        self.send_json(orjson.dumps(body), 200 if healthy else 503)

    def _load(self) -> None:
        slots = self._instance.slots
        running, waiting = (
            (0, 0) if self._reports_falsely("good") else (slots.running, slots.waiting)
        )
        if self._reports_falsely("bad"):
            running, waiting = slots.count, self._instance.settings.waiting
        self.send_json(orjson.dumps({"slots": slots.count, "running": running, "waiting": waiting}))

    async def post(self) -> None:
        """Answer a grants, cancel or drain request."""
        instance = self._instance
        try:
            if self._operation == "grants":
                message = decode(self.request.body, GrantMessage)
                self.send_json(encode(instance.accept(message)))
            elif self._operation == "cancel":
                request_id = decode(self.request.body, CancelBody).request_id
                state = await instance.cancel(request_id)
                self.send_json(orjson.dumps({"request_id": request_id, "state": state}))
            elif self._operation == "drain":
                instance.drain()
                self.send_json(orjson.dumps({"draining": True}))
            else:
                self.send_error_text(405, "method not allowed")
        except MessageError as error:
            self.send_error_text(400, str(error))


class _ExecutionsHandler(StandinHandler):
    """`GET /executions`: counts of executions; `?runs=1` adds a list of them."""

    def initialize(self, instance: UpstreamInstance) -> None:
        self._instance = instance

    def get(self) -> None:
        """Send the counts."""
        instance = self._instance
        server = self.application.settings["server"]()
        body = {
            "upstream_id": instance.settings.upstream_id,
            "by_request": dict(instance.by_request),
            "by_key": dict(instance.by_key),
            "refused": dict(instance.refused),
            "slots": instance.slots.count,
            "peak_offered": instance.slots.peak_offered,
            "connections": server.connections,
            "peak_connections": server.peak_connections,
            "last_work_after_drain_s": instance.last_work_after_drain_s,
            "now_s": time.monotonic(),
        }
        if self.get_query_argument("runs", "0") == "1":
            body["runs"] = cattrs.unstructure(list(instance.executions))
        self.send_json(orjson.dumps(body))


class _OwnershipHandler(StandinHandler):
    """`GET /ownership`: the holdings, each with its start and end."""

    def initialize(self, instance: UpstreamInstance) -> None:
        self._instance = instance

    def get(self) -> None:
        """Send the holdings."""
        holdings = cattrs.unstructure(list(self._instance.ownership.holdings()))
        self.send_json(orjson.dumps({"now_s": time.monotonic(), "holdings": holdings}))


def make_server(instance: UpstreamInstance) -> UpstreamServer:
    """Build the server of one instance."""
    application = make_application(instance)
    limit = instance.settings.connections
    server = UpstreamServer(application, limit=limit, max_body_size=16_000_000)
    application.settings["server"] = weakref.ref(server)
    return server


def make_application(instance: UpstreamInstance) -> tornado.web.Application:
    """Build the application of one instance."""
    operations = ("hello", "grants", "cancel", "health", "load", "drain")
    control = [
        (f"/control/v1/{name}", _ControlHandler, {"instance": instance, "operation": name})
        for name in operations
    ]
    faults = {"table": instance.faults, "changed": instance.changed.notify}
    return tornado.web.Application(
        [
            *control,
            (r"/faults", FaultsHandler, faults),
            (r"/executions", _ExecutionsHandler, {"instance": instance}),
            (r"/ownership", _OwnershipHandler, {"instance": instance}),
            (r"/.*", DataHandler, {"instance": instance}),
        ],
        log_function=lambda handler: None,
    )
