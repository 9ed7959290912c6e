"""Peer port of an entry VM: heartbeats, feed, status and operators' calls."""

from collections.abc import Awaitable, Callable

import attrs
import orjson
from tornado import web

from fireflyferry.edges.wire import encode_batch
from fireflyferry.entry.control import Control
from fireflyferry.entry.feed import LONG_POLL_S, Feed
from fireflyferry.errors import FireflyferryError
from fireflyferry.messages import Heartbeat, VmIncarnation, decode, encode
from fireflyferry.messages.codec import MessageError

__all__ = ["AssignRequest", "DeclareLostRequest", "PeerServices", "peer_routes"]

MAX_NAME_LENGTH = 256


@attrs.frozen
class AssignRequest:
    """An operator's order to place a key or unit on an upstream."""

    pool: str
    target: str
    upstream: str


@attrs.frozen
class DeclareLostRequest:
    """An operator's word that a VM is gone for good."""

    vm_id: str


@attrs.frozen
class PeerServices:
    """What the handlers need."""

    control: Control
    feed: Feed
    status: Callable[[], dict]
    verify: Callable[[object], bool]


class _PeerHandler(web.RequestHandler):
    """Checks that the caller belongs, and answers errors as JSON with a code."""

    def initialize(self, services: PeerServices) -> None:
        self._services = services

    def prepare(self) -> None:
        if not self._services.verify(self.request):
            self.set_status(401)
            self.finish({"code": "not_authenticated"})

    def write_error(self, status_code: int, **kwargs) -> None:
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, FireflyferryError):
            self.set_status(400 if isinstance(error, MessageError) else 409)
            self.finish({"code": error.code, "message": str(error)})
        else:
            self.finish({"code": "internal_error"})

    def reply(self, body: bytes) -> None:
        """Finish with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(body)


class HeartbeatHandler(_PeerHandler):
    """Answers a leader's heartbeats with pledges."""

    def post(self) -> None:
        """Handle one message for all groups that the pair shares."""
        heartbeats = decode(self.request.body, tuple[Heartbeat, ...])
        self.reply(encode(self._services.control.on_heartbeats(heartbeats)))


class IdentityHandler(_PeerHandler):
    """Tells the incarnation of this VM."""

    def get(self) -> None:
        """Return the VM's id and incarnation."""
        self.reply(encode(self._services.control.me))


class FeedHandler(_PeerHandler):
    """Serves followers with the changes that they have not seen."""

    async def get(self) -> None:
        """Wait for changes after `since`."""
        since = int(self.get_query_argument("since", "0"))
        timeout_s = min(float(self.get_query_argument("timeout_s", "0")), LONG_POLL_S)
        self.reply(encode_batch(await self._services.feed.wait_for_changes(since, timeout_s)))


class StatusHandler(_PeerHandler):
    """Reports groups, revision and counters."""

    def get(self) -> None:
        """Return the status as JSON."""
        self.reply(orjson.dumps(self._services.status()))


class AssignHandler(_PeerHandler):
    """Places a unit on an upstream; answers when the assignment is in place."""

    async def post(self) -> None:
        """Handle an operator's assignment."""
        await _answer(self, AssignRequest, self._services.control.assign)


class DrainHandler(_PeerHandler):
    """Starts the orderly shutdown of this VM."""

    def post(self) -> None:
        """Hand over all groups, then finish the requests in flight."""
        self._services.control.start_drain()
        self.reply(b"{}")


class DeclareLostHandler(_PeerHandler):
    """Accepts an operator's word that a VM is gone."""

    async def post(self) -> None:
        """Handle the declaration."""
        await _answer(self, DeclareLostRequest, self._services.control.declare_lost)


async def _answer(
    handler: _PeerHandler, kind: type, action: Callable[..., Awaitable[object]]
) -> None:
    handler.reply(orjson.dumps(await action(decode(handler.request.body, kind))))


def peer_routes(services: PeerServices) -> list:
    """Return the control routes of the peer port."""
    handlers = {
        "heartbeat": HeartbeatHandler,
        "identity": IdentityHandler,
        "feed": FeedHandler,
        "status": StatusHandler,
        "assign": AssignHandler,
        "drain": DrainHandler,
        "declare-lost": DeclareLostHandler,
    }
    return [
        (f"/peer/v1/{name}", handler, {"services": services}) for name, handler in handlers.items()
    ]
