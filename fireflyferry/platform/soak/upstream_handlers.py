"""HTTP interface of the stand-ins for upstreams, with the faults of their answers."""

import asyncio
import secrets
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import orjson
import tornado.iostream
import tornado.web

from fireflyferry.platform import names
from fireflyferry.platform.soak.misbehaviour import Misbehaviour

if TYPE_CHECKING:
    from fireflyferry.platform.soak.promises import Promise
    from fireflyferry.platform.soak.upstreams import UpstreamStandin
    from fireflyferry.platform.soak.vms import VmProcess

__all__ = ["GrantHandler", "ReleaseHandler", "RunHandler"]

LEAVING_HEADER = "Server-Leaving"
SERVICE_TIME_S = 0.02
MIN_GRANT_DELAY_S, MAX_GRANT_DELAY_S = 2.0, 12.0


class _Handler(tornado.web.RequestHandler):
    """Handler of one call; it writes nothing once the process has ended."""

    def initialize(self, upstream: "UpstreamStandin") -> None:
        """Set the process that answers the call."""
        self._upstream = upstream
        self._arrived_s = upstream.world.stalls.earliest_arrival_s(time.monotonic())

    async def prepare(self) -> None:
        """Wait while the process is silent; then write an earlier answer if that is due."""
        await self._upstream.wait_until_responsive()
        if not self._upstream.up:
            self._close_connection()
            return
        stream = self.request.connection.stream
        for kind in (Misbehaviour.REPEATS_ORDER_ANSWERS, Misbehaviour.REPEATS_REFUSALS):
            earlier = self._upstream.earlier_answers(stream, kind)
            if earlier and not stream.closed() and self._upstream.misbehaves(kind):
                stream.write(self._upstream.world.rng.choice(earlier))

    def _is_expected_upstream(self) -> bool:
        expected = self.request.headers.get(names.HEADERS.expected_upstream)
        if expected in self._upstream.world.odd_ids:
            self._upstream.audit.report("an odd entry names no upstream", expected)
        return expected is None or expected == self._upstream.upstream_id

    def _refuse(self, status: int) -> None:
        self.set_status(status)
        self.set_header(names.HEADERS.not_run, "1")

    def _send(self, remembered_as: Misbehaviour, body: bytes = b"") -> None:
        """Write the answer, or a part of its head, and close the connection then."""
        stream = self.request.connection.stream
        if not self._upstream.up or stream is None or stream.closed():
            self._close_connection()
            return
        headers = [*self._headers.get_all(), ("Content-Length", str(len(body)))]
        lines = [f"HTTP/1.1 {self.get_status()} {self._reason}"]
        lines += [f"{name}: {value}" for name, value in headers]
        head = "\r\n".join([*lines, "", ""]).encode()
        if self._upstream.misbehaves(Misbehaviour.BREAKS_HEADS):
            stream.write(head[: self._upstream.world.rng.randrange(1, len(head) - 1)])
            self._close_connection()
            return
        if remembered_as:
            self._upstream.earlier_answers(stream, remembered_as).append(head + body)
        self.finish(body)

    def _close_connection(self) -> None:
        stream = self.request.connection.stream
        self._finished = True
        if stream is not None and not stream.closed():
            self.detach().close()


class GrantHandler(_Handler):
    """`POST /grant`."""

    async def post(self) -> None:
        """Apply a grant; its hold time counts from its arrival even if the process was silent."""
        upstream, is_late = self._upstream, False
        if self._is_expected_upstream():
            if is_late := upstream.misbehaves(Misbehaviour.DELAYS_GRANTS):
                delay_s = upstream.world.rng.uniform(MIN_GRANT_DELAY_S, MAX_GRANT_DELAY_S)
                await asyncio.sleep(delay_s)
            if not upstream.up:
                self._close_connection()
                return
            message = orjson.loads(self.request.body)
            self.set_status(200 if upstream.apply_grant(message, self._arrived_s) else 409)
        else:
            self._refuse(421)
        if is_late:
            self._close_connection()
        else:
            self._send(Misbehaviour.REPEATS_ORDER_ANSWERS)


class ReleaseHandler(_Handler):
    """`POST /release`."""

    def post(self) -> None:
        """Apply a release."""
        if self._is_expected_upstream():
            self._upstream.apply_release(orjson.loads(self.request.body))
            self.set_header(names.HANDOVER_HEADER, secrets.token_hex(8))
        else:
            self._refuse(421)
        self._send(Misbehaviour.REPEATS_ORDER_ANSWERS)


class RunHandler(_Handler):
    """Requests of callers."""

    async def _run(self) -> None:
        upstream = self._upstream
        request_id = self.request.headers.get(names.HEADERS.request_id, "")
        self.set_header(names.HEADERS.request_id, request_id)
        refusal = self._refusal_status()
        if refusal != 421:
            now_s = time.monotonic()
            self._tell_promises(
                lambda each, vm: each.on_arrival(self._arrived_s, now_s, request_id, upstream, vm)
            )
        if refusal:
            self._refuse(refusal)
            self._announce(request_id, upstream.quiet_left_s if refusal == 503 else 0.0)
            self._send(Misbehaviour.REPEATS_REFUSALS)
            return
        if upstream.keyed:
            upstream.check_single_holder(int(self.request.headers[names.HEADERS.key]), "in use")
        if self.request.path.startswith("/keyed/") is not upstream.keyed:
            detail = f"{request_id} {self.request.path} at {upstream.label} of {upstream.pool}"
            upstream.audit.report("a request runs in the pool of its route", detail)
        upstream.audit.record_execution(request_id, upstream.upstream_id)
        upstream.running += 1
        await asyncio.sleep(SERVICE_TIME_S)
        upstream.running -= 1
        if upstream.misbehaves(Misbehaviour.LOSES_ANSWERS):
            self._close_connection()
            return
        self.set_header(names.HEADERS.signature, "s")
        self._announce(request_id)
        self._send(Misbehaviour.NONE, f"{request_id} {upstream.upstream_id}".encode())

    get = post = _run

    def _announce(self, request_id: str, quiet_s: float = 0.0) -> None:
        """Say in the answer that the upstream leaves, or wants no request for some time."""
        upstream, now_s = self._upstream, time.monotonic()
        if upstream.leaving:
            self.set_header(LEAVING_HEADER, "1")
        retry_after_s = round(quiet_s, 2) or None
        if retry_after_s is not None:
            self.set_header("Retry-After", str(retry_after_s))
        if Misbehaviour.BREAKS_HEADS not in upstream.misbehaviour:
            self._tell_promises(
                lambda each, vm: each.on_answer(now_s, request_id, upstream, vm, retry_after_s)
            )

    def _tell_promises(self, tell: Callable[["Promise", "VmProcess"], None]) -> None:
        stream, world = self.request.connection.stream, self._upstream.world
        if not world.promises or stream is None or stream.closed():
            return
        vm = world.vm_at(stream.socket.getpeername()[1])
        for each in world.promises if vm is not None else ():
            tell(each, vm)

    def _refusal_status(self) -> int:
        """Return the status with which a request is refused, 0 if it runs."""
        upstream = self._upstream
        if not self._is_expected_upstream():
            return 421
        if upstream.keyed and not upstream.holds_key(int(self.request.headers[names.HEADERS.key])):
            return 421
        return 503 if upstream.quiet_left_s or upstream.is_full() else 0
