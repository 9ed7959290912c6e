"""Watches whether this VM reaches upstreams; while it does not, other VMs are their last hops."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
import pycurl

from fireflyferry.balancing import (
    Contact,
    InFlight,
    Standing,
    Upstream,
    UpstreamDirectory,
    UpstreamPath,
    VmDirectory,
)
from fireflyferry.edges import Clock
from fireflyferry.gateway.calls import Attempt, Call, not_run
from fireflyferry.gateway.state import GatewayState
from fireflyferry.keyranges import GrantAnswer, UpstreamRun
from fireflyferry.tasks import BackgroundTasks
from fireflyferry.telemetry import Reason
from fireflyferry.transport import FetchResult
from fireflyferry.transport.connects import can_connect

__all__ = ["PathMonitor", "contact_of_answer", "make_path_monitor"]

_LOG = logging.getLogger(__name__)

INTERVAL_S = 0.05

ResultT = TypeVar("ResultT")


@attrs.define(eq=False)
class _Exchange:
    """An exchange that can be cut short; `sent` once its request was handed to a connection."""

    idempotent: bool
    scope: asyncio.Timeout
    sent: bool = False

    def cut(self) -> None:
        """End the exchange now, as if its connection had broken."""
        if not self.scope.expired():
            self.scope.reschedule(asyncio.get_running_loop().time())


class PathMonitor:
    """Marks this VM as cut off in the list of VMs while it reaches no upstream.

    `can_connect` tries a connect to an address.
    """

    def __init__(
        self,
        clock: Clock,
        vms: VmDirectory,
        upstreams: UpstreamDirectory,
        can_connect: Callable[[str], Awaitable[bool]],
        path: UpstreamPath | None = None,
    ):
        self._clock = clock
        self._vms = vms
        self._upstreams = upstreams
        self._can_connect = can_connect
        self._path = path or UpstreamPath()
        self._exchanges: dict[InFlight, _Exchange] = {}
        self._tasks = BackgroundTasks()
        self.on_hand_over: Callable[[], None] = lambda: None

    @property
    def lost(self) -> bool:
        """Whether this VM reaches no upstream."""
        return self._path.lost

    @property
    def hands_over(self) -> bool:
        """Whether another VM has to send the requests of this one."""
        return self._path.lost and self._vms.hands_over

    def refusal(self) -> Attempt | None:
        """Return the refusal of a request that another VM has to send, or None."""
        return not_run(Reason.UPSTREAMS_UNREACHABLE) if self.hands_over else None

    def explain(self, attempt: Attempt) -> Attempt:
        """Return the result of an attempt, whose upstream is not to blame for a failed connect."""
        refusal = self.refusal() if attempt.reason is Reason.CONNECT_FAILED else None
        return refusal or attempt

    async def watch(
        self,
        call: Call,
        upstream: Upstream,
        service_s: float,
        send: Callable[[Callable[[], bool]], Awaitable[FetchResult]],
        may_send: Callable[[], bool],
    ) -> FetchResult:
        """Await an exchange, and end it early if this VM turns out to reach no upstream.

        `send` starts it with a check that is made right before the first byte is sent.
        """
        in_flight = self._path.start(self._clock.monotonic_s(), upstream, service_s)
        contact = Contact.ENDED
        try:
            async with asyncio.timeout(None) as scope:
                exchange = self._exchanges[in_flight] = _Exchange(call.idempotent, scope)

                def before_send() -> bool:
                    exchange.sent = may_send()
                    return exchange.sent

                result = await send(before_send)
                contact = _contact(result)
        except TimeoutError:
            result = FetchResult(
                pycurl.E_ABORTED_BY_CALLBACK, exchange.sent, message="no path to upstreams"
            )
        finally:
            del self._exchanges[in_flight]
            self._path.end(self._clock.monotonic_s(), in_flight, contact)
            self._update()
        return result

    async def watch_order(
        self,
        run: UpstreamRun,
        expected_s: float,
        order: Awaitable[ResultT],
        contact_of: Callable[[ResultT], Contact],
    ) -> ResultT:
        """Await an order to an upstream, which shows whether this VM reaches it.

        Orders go on while no request does, for example while keys have no owner. An answer is
        overdue after a multiple of `expected_s` seconds.
        """
        upstream = self._upstreams.get(run.upstream_id)
        if upstream is None or upstream.run != run:
            return await order
        in_flight = self._path.start(self._clock.monotonic_s(), upstream, expected_s)
        contact = Contact.ENDED
        try:
            result = await order
            contact = contact_of(result)
            return result
        finally:
            self._path.end(self._clock.monotonic_s(), in_flight, contact)
            self._update()

    async def run(self) -> None:
        """Try connects when they are due, until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(INTERVAL_S)

    def tick(self) -> None:
        """Start the connects that are due, and end exchanges that wait in vain."""
        now_s = self._clock.monotonic_s()
        if self._path.is_check_due(now_s):
            for upstream in self._path.due_checks(now_s, self._known()):
                self._tasks.start(self._check(upstream))
        if self.hands_over:
            for in_flight in self._path.overdue(now_s):
                exchange = self._exchanges.get(in_flight)
                if exchange is not None and exchange.idempotent:
                    exchange.cut()

    async def _check(self, upstream: Upstream) -> None:
        opened = False
        try:
            opened = await self._can_connect(upstream.address)
        finally:
            self._path.on_check(self._clock.monotonic_s(), upstream, opened, self._known())
            self._update()

    def _known(self) -> list[Upstream]:
        now_s = self._clock.monotonic_s()
        return [
            each
            for each in self._upstreams
            if self._upstreams.standing(now_s, each.run.upstream_id) is not Standing.GONE
        ]

    def _update(self) -> None:
        """Mark this VM as cut off, or remove the mark, when that has changed."""
        vms, this_vm = self._vms, self._vms.this_vm
        if self._path.lost == vms.is_cut_off(this_vm):
            return
        if not self._path.lost:
            vms.clear_cut_off(this_vm)
            _LOG.info("upstreams_reached")
            return
        vms.mark_cut_off(this_vm)
        hands_over = self.hands_over
        _LOG.warning("upstreams_unreachable", extra={"hands_over": hands_over})
        if hands_over:
            for exchange in self._exchanges.values():
                if not exchange.sent:
                    exchange.cut()
            self.on_hand_over()


def make_path_monitor(clock: Clock, state: GatewayState, timeout_s: float) -> PathMonitor:
    """Return a monitor whose connects give up after `timeout_s` seconds."""
    return PathMonitor(
        clock, state.vms, state.upstreams, lambda address: can_connect(address, timeout_s)
    )


def contact_of_answer(answer: GrantAnswer) -> Contact:
    """Return what the answer to an order shows of the path to its upstream."""
    if answer is GrantAnswer.UNKNOWN:
        return Contact.NO_ANSWER
    if answer in (GrantAnswer.NO_LISTENER, GrantAnswer.NOT_SENT):
        return Contact.NOT_CONNECTED
    # Whether the connection was opened for the order is not known.
    return Contact.ENDED if answer is GrantAnswer.CONNECTION_TOO_NEW else Contact.ANSWERED_KEPT


def _contact(result: FetchResult) -> Contact:
    """Return what an exchange shows of the path to its upstream."""
    if result.status or result.invalid_head:
        return Contact.ANSWERED_KEPT if result.reused else Contact.ANSWERED_NEW
    if result.sent:
        return Contact.NO_ANSWER
    aborted = result.error == pycurl.E_ABORTED_BY_CALLBACK
    return Contact.ENDED if aborted else Contact.NOT_CONNECTED
