"""Peer port of an entry VM: heartbeats, feed, status and operators' calls."""

from collections.abc import Callable

import attrs
from tornado import web
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.routing import PathMatches, Rule, RuleRouter

from fireflyferry.edges.peer_auth import (
    SIGNATURE_HEADER,
    TIME_HEADER,
    PeerSignatureError,
    PeerSigner,
)
from fireflyferry.edges.wire import encode_batch
from fireflyferry.entry.control import ControlLoop
from fireflyferry.entry.feed import LONG_POLL_TIMEOUT_S, Feed
from fireflyferry.errors import FireflyferryError
from fireflyferry.messages import Heartbeat, decode, encode
from fireflyferry.messages.codec import MessageError, decode_each
from fireflyferry.messages.control import AssignRequest, DrainRequest, VmStatus

__all__ = ["PeerServices", "make_peer_router"]


@attrs.frozen
class PeerServices:
    """Dependencies of the handlers; `shut_down` starts a graceful shutdown of this VM."""

    control_loop: ControlLoop
    feed: Feed
    status: Callable[[], VmStatus]
    signer: PeerSigner
    shut_down: Callable[[], None]


# The largest control call is a heartbeat that replicates the owners of a whole group. Saved owners
# are limited to 1 MB, the maximum size of a value in the store.
MAX_CONTROL_BODY_BYTES = 2_000_000


class _PeerHandler(web.RequestHandler):
    """Verifies the signature of a request, and answers errors as JSON with a code."""

    def initialize(self, services: PeerServices) -> None:
        self._services = services

    def set_default_headers(self) -> None:
        # Peers ignore these headers, and heartbeats are most of an idle VM's traffic.
        self.clear_header("Server")
        self.clear_header("Date")

    def compute_etag(self) -> None:
        return None

    def prepare(self) -> None:
        request = self.request
        self._services.signer.verify(
            request.method,
            request.uri,
            request.body,
            request.headers.get(TIME_HEADER, ""),
            request.headers.get(SIGNATURE_HEADER, ""),
        )

    def write_error(self, status_code: int, **kwargs) -> None:
        error = kwargs.get("exc_info", (None, None, None))[1]
        code = "internal_error"
        if isinstance(error, FireflyferryError):
            code = error.code
            self.set_status(_status_of(error))
        self.finish({"code": code, "message": str(error)})

    def log_exception(self, typ, value, tb) -> None:
        if not isinstance(value, FireflyferryError):
            super().log_exception(typ, value, tb)

    def reply(self, message: object) -> None:
        """Answer with a message as JSON."""
        self.reply_bytes(encode(message))

    def reply_bytes(self, body: bytes) -> None:
        """Answer with an encoded JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(body)


def _status_of(error: FireflyferryError) -> int:
    if isinstance(error, PeerSignatureError):
        return 401
    return 400 if isinstance(error, MessageError) else 409


class HeartbeatHandler(_PeerHandler):
    """Answers a leader's heartbeats with pledges."""

    def post(self) -> None:
        """Handle the heartbeats of all groups that the sender leads and this VM is standby for."""
        heartbeats = decode_each(self.request.body, Heartbeat, "heartbeats")
        self.reply(self._services.control_loop.on_heartbeats(heartbeats))


class IdentityHandler(_PeerHandler):
    """Returns the identity of this VM."""

    def get(self) -> None:
        """Return the VM's id and incarnation."""
        self.reply(self._services.control_loop.this_vm)


class FeedHandler(_PeerHandler):
    """Answers the long polls of followers with changes of this VM's mirror."""

    async def get(self) -> None:
        """Wait for changes after position `since`, for at most `timeout_s` seconds."""
        since = int(self.get_query_argument("since", "0"))
        timeout_s = min(float(self.get_query_argument("timeout_s", "0")), LONG_POLL_TIMEOUT_S)
        batch = await self._services.feed.wait_for_changes(since, timeout_s)
        self.reply_bytes(encode_batch(batch))


class StatusHandler(_PeerHandler):
    """Reports groups, revision and counters."""

    def get(self) -> None:
        """Return the status as JSON."""
        self.reply(self._services.status())


class AssignHandler(_PeerHandler):
    """Pins a unit to an upstream; answers once the assignment is in place or times out."""

    async def post(self) -> None:
        """Handle an operator's assignment."""
        request = decode(self.request.body, AssignRequest)
        self.reply(await self._services.control_loop.operator_calls.assign(request))


class DrainHandler(_PeerHandler):
    """Drains an upstream, or starts a graceful shutdown of this VM."""

    def post(self) -> None:
        """Handle an operator's drain."""
        request = decode(self.request.body, DrainRequest)
        control_loop = self._services.control_loop
        if request.target == control_loop.this_vm.vm_id:
            self._services.shut_down()
        self.reply(control_loop.operator_calls.drain(request))


class _ControlApplication(web.Application):
    """Limits the bodies of control calls, which are read before their signature is verified."""

    def find_handler(self, request, **kwargs):
        """Set the body limit of a request, then find its handler."""
        request.connection.set_max_body_size(MAX_CONTROL_BODY_BYTES)
        return super().find_handler(request, **kwargs)


def make_peer_router(services: PeerServices, forwards: HTTPServerConnectionDelegate) -> RuleRouter:
    """Build the router of the peer port."""
    handlers = {
        "heartbeat": HeartbeatHandler,
        "identity": IdentityHandler,
        "feed": FeedHandler,
        "status": StatusHandler,
        "assign": AssignHandler,
        "drain": DrainHandler,
    }
    application = _ControlApplication(
        [(f"/peer/v1/{name}", each, {"services": services}) for name, each in handlers.items()],
        log_function=lambda handler: None,
    )
    return RuleRouter(
        [Rule(PathMatches("/peer/v1/forward/.*"), forwards), Rule(PathMatches(".*"), application)]
    )
