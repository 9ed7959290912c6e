"""Calls to other entry VMs."""

import asyncio
import logging
from collections.abc import Callable

import attrs

from fireflyferry.balancing import EntryVm, Upstream, VmDirectory
from fireflyferry.edges import Clock
from fireflyferry.gateway import peer_messages
from fireflyferry.gateway.calls import Answer, Attempt, Call, not_run, outcome_unknown
from fireflyferry.gateway.departures import DepartureNotices
from fireflyferry.gateway.envelopes import Envelope, EnvelopeCodec, EnvelopeError
from fireflyferry.gateway.feed import FeedAnswer, FeedRequest
from fireflyferry.gateway.sampling import LoadReport
from fireflyferry.tasks import BackgroundTasks
from fireflyferry.telemetry import Outcome, Reason
from fireflyferry.transport import CurlTransport, Exchange, FetchResult, fetch
from fireflyferry.transport.fetch import complete_body

__all__ = [
    "EVACUATIONS_AGE_HEADER",
    "FEED_PATH",
    "FORWARD_PATH",
    "LEFT_PATH",
    "LOADS_PATH",
    "OWNERS_PATH",
    "PING_PATH",
    "VM_HEADER",
    "PeerClient",
    "PeerRules",
    "read_evacuations_age",
]

_LOG = logging.getLogger(__name__)

FORWARD_PATH = "/f"  # sent with each forwarded request
HOST_HEADER = ("Host", "f")  # shorter than the address, which curl would send
PING_PATH = "/peer/ping"
LEFT_PATH = "/peer/left"  # with the ids of forwarded requests whose callers have left, in lines
LOADS_PATH = "/peer/loads"
OWNERS_PATH = "/peer/owners"
FEED_PATH = "/peer/feed"
EVACUATIONS_AGE_HEADER = "Firefly-Evacuations-Age"  # of an answer to a follower, in ms
VM_HEADER = "Firefly-Vm"  # id of the VM that answers a ping

# Answers of a VM that has not passed a forwarded request on: it cannot read it, or it is of an
# earlier revision and knows no envelopes. Other servers pass none on.
_UNREAD_STATUSES = (400, 404)


def _always() -> bool:
    return True


def read_evacuations_age(value: str | None) -> float:
    """Parse the header value with the age of evacuations; infinite if it is missing or odd."""
    is_number = value is not None and value.isascii() and value.isdigit()
    return int(value) / 1000 if value is not None and is_number else float("inf")


@attrs.frozen
class PeerRules:
    """Timeouts and intervals of calls to other entry VMs, in seconds.

    A VM that has not answered a forwarded request after `check_after_s`, which is longer than most
    answers take, is pinged then and every `recheck_interval_s`. `answer_margin_s` is how much
    longer than the deadline a forward may take, so that a refusal which the other VM sends at the
    deadline still arrives.
    """

    check_after_s: float = 0.5
    ping_timeout_s: float = 0.35
    recheck_interval_s: float = 0.5
    max_cut_off_pings: float = 24.0  # a second, that a VM without a path gets from all others
    answer_margin_s: float = 0.1
    message_timeout_s: float = 0.5
    feed_margin_s: float = 0.4  # transfer time of an answer with the whole configuration

    def cut_off_interval_s(self, vms: int) -> float:
        """Return how often each of a number of VMs pings one without a path to upstreams."""
        return max(self.recheck_interval_s, vms / self.max_cut_off_pings)


class PeerClient:
    """Client for other entry VMs; marks those that do not answer as suspected."""

    def __init__(
        self,
        clock: Clock,
        transport: CurlTransport,
        vms: VmDirectory,
        envelopes: EnvelopeCodec,
        rules: PeerRules | None = None,
    ):
        self._clock = clock
        self._transport = transport
        self._vms = vms
        self._envelopes = envelopes
        self._rules = rules or PeerRules()
        self._pings: dict[EntryVm, asyncio.Task[bool]] = {}
        self._tasks = BackgroundTasks()
        self._departures = DepartureNotices(
            clock,
            lambda vm, body: self._post(vm, LEFT_PATH, body),
            self._rules.recheck_interval_s,
        )

    async def forward(
        self,
        call: Call,
        upstream: Upstream,
        vm: EntryVm,
        may_give_up: Callable[[], bool] = _always,
    ) -> Attempt:
        """Forward a request to the last hop of an upstream.

        `may_give_up` is asked when the VM answers no ping while an idempotent request is pending.
        Cancelling the call resets the connection to the other VM, which ends the request unless
        that has sent it already. A message says the same if the caller has left.
        """
        now_s = self._clock.monotonic_s()
        summary = peer_messages.write_call(call, upstream.run.upstream_id, upstream.run.born, now_s)
        envelope = Envelope(summary, f"{call.method} {call.target}", call.headers, call.body)
        exchange = Exchange(
            vm.address,
            "POST",
            FORWARD_PATH,
            [HOST_HEADER],
            complete_body(self._envelopes.pack_parts(envelope)),
            max(0.001, call.deadline_s - now_s) + self._rules.answer_margin_s,
            distrust_on_timeout=True,
        )
        call.passed_on = True
        pending = asyncio.ensure_future(fetch(self._transport, exchange))
        try:
            result = await self._await_answer(pending, call, vm, may_give_up)
        except asyncio.CancelledError:
            if call.has_sender_left():
                self._departures.add(vm, call.request_id, call.deadline_s)
            raise
        finally:
            pending.cancel()
        return self._to_attempt(result, call, upstream, vm)

    async def report_loads(self, vm: EntryVm, report: LoadReport) -> bool:
        """Send load samples to another VM; return whether it accepted them."""
        return await self._post(vm, LOADS_PATH, peer_messages.write_loads(report))

    async def send_owners(self, vm: EntryVm, body: bytes) -> bool:
        """Send an owner table to another VM; return whether it accepted it."""
        return await self._post(vm, OWNERS_PATH, body)

    async def poll_relay(
        self, vm: EntryVm, request: FeedRequest, hold_s: float
    ) -> FeedAnswer | None:
        """Long-poll a relay for changes; return None if it gave no usable answer.

        The relay may hold the request for `hold_s` seconds. The first poll of a relay opens a
        connection, since idle ones may have fallen silent.
        """
        exchange = Exchange(
            vm.address,
            "POST",
            FEED_PATH,
            [],
            complete_body(peer_messages.write_feed_request(request)),
            hold_s + self._rules.feed_margin_s,
            new_connection=request.incarnation != vm.incarnation,
            distrust_on_timeout=True,
        )
        result = await fetch(self._transport, exchange)
        if result.status != 200 or not result.complete:
            return None
        self._note_path(vm, result)
        try:
            answer = peer_messages.read_feed(result.header(peer_messages.FEED_HEADER), result.body)
        except peer_messages.PeerMessageError as error:
            _LOG.warning("feed_unreadable", extra={"vm": vm.vm_id, "error": str(error)})
            return None
        age = result.header(EVACUATIONS_AGE_HEADER)
        return attrs.evolve(answer, evacuations_age_s=read_evacuations_age(age))

    async def _post(self, vm: EntryVm, path: str, body: bytes) -> bool:
        exchange = Exchange(
            vm.address,
            "POST",
            path,
            [],
            complete_body(body),
            self._rules.message_timeout_s,
            distrust_on_timeout=True,
        )
        return (await fetch(self._transport, exchange)).status == 204

    async def _await_answer(
        self,
        pending: "asyncio.Future[FetchResult]",
        call: Call,
        vm: EntryVm,
        may_give_up: Callable[[], bool],
    ) -> FetchResult | None:
        """Wait for the answer; return None if the VM does not answer pings and it is given up.

        A non-idempotent request is never given up before its timeout, since it may have been sent
        to the upstream already.
        """
        await asyncio.wait([pending], timeout=self._rules.check_after_s)
        while not pending.done():
            alive = await self._is_alive(vm)
            if not alive and call.idempotent and not pending.done() and may_give_up():
                return None
            await asyncio.wait([pending], timeout=self._rules.recheck_interval_s)
        return pending.result()

    def _to_attempt(
        self, result: FetchResult | None, call: Call, upstream: Upstream, vm: EntryVm
    ) -> Attempt:
        if result is None:
            return outcome_unknown(Reason.CONNECTION_LOST)
        if not result.complete:
            self._suspect(vm, f"curl {result.error} {result.message}")
            if not result.sent:
                return not_run(Reason.CONNECT_FAILED)
            return outcome_unknown(Reason.TIMED_OUT if result.timed_out else Reason.CONNECTION_LOST)
        try:
            attempt = self._read_result(result, call, upstream)
        except (EnvelopeError, peer_messages.PeerMessageError) as error:
            _LOG.warning(
                "peer_answer_unreadable",
                extra={"vm": vm.vm_id, "incarnation": vm.incarnation, "error": str(error)},
            )
            # Another server may have the address of a VM that has ended.
            self._suspect(vm, "unreadable answer")
            if result.status in _UNREAD_STATUSES:
                return not_run(Reason.SHUTTING_DOWN)
            return outcome_unknown(Reason.WRONG_ANSWER)
        if self._note_path(vm, result) == peer_messages.PATH_REFUSED:
            return not_run(Reason.UPSTREAMS_UNREACHABLE)
        if attempt.reason is Reason.SHUTTING_DOWN and self._vms.mark_leaving(vm):
            _LOG.info("peer_leaving", extra={"vm": vm.vm_id, "incarnation": vm.incarnation})
        return attempt

    def _read_result(self, result: FetchResult, call: Call, upstream: Upstream) -> Attempt:
        """Parse an answer; a VM that did not read the request refuses it in a header."""
        upstream_id = upstream.run.upstream_id
        refusal = result.header(peer_messages.RESULT_HEADER)
        if refusal is not None:
            return peer_messages.read_result(refusal, None, upstream_id)
        if result.status != 200:
            raise peer_messages.PeerMessageError(f"status {result.status}")
        envelope = self._envelopes.unpack(result.body)
        if not envelope.start.isdigit():
            raise EnvelopeError(f"status {envelope.start!r}")
        # The last hop has compared the id and left it out.
        headers = [*envelope.headers, (self._envelopes.request_id_header, call.request_id)]
        answer = Answer(int(envelope.start), headers, envelope.body)
        attempt = peer_messages.read_result(envelope.summary, answer, upstream_id)
        # A VM of an earlier revision passes on what its upstream sent.
        if attempt.answer is not None and not 200 <= answer.status <= 599:
            attempt = attrs.evolve(
                attempt, outcome=Outcome.UNKNOWN, reason=Reason.INVALID_ANSWER, answer=None
            )
        leaving = peer_messages.read_leaving(result.header(peer_messages.LEAVING_HEADER))
        return attrs.evolve(attempt, leaving=leaving)

    def _note_path(self, vm: EntryVm, result: FetchResult) -> str | None:
        """Note whether a VM that has answered reaches upstreams; return what it says."""
        path = result.header(peer_messages.PATH_HEADER)
        fields = {"vm": vm.vm_id, "incarnation": vm.incarnation}
        if path is None:
            if self._vms.clear_cut_off(vm):
                _LOG.info("peer_reaches_upstreams", extra=fields)
        elif self._vms.mark_cut_off(vm):
            _LOG.warning("peer_cut_off", extra=fields)
            self._tasks.start(self._ping_while_cut_off(vm))
        return path

    async def _ping_while_cut_off(self, vm: EntryVm) -> None:
        while self._vms.is_cut_off(vm):
            await asyncio.sleep(self._rules.cut_off_interval_s(len(self._vms)))
            await self._is_alive(vm)

    def _suspect(self, vm: EntryVm, detail: str) -> None:
        if self._vms.suspect(vm):
            _LOG.warning(
                "peer_lost",
                extra={"vm": vm.vm_id, "incarnation": vm.incarnation, "detail": detail},
            )
            self._tasks.start(self._ping_until_answered(vm))

    async def _ping_until_answered(self, vm: EntryVm) -> None:
        """Ping a suspected VM until it answers or its entry in the list of VMs changes."""
        while self._vms.get(vm.vm_id) == vm and vm in self._vms.suspected:
            if await self._is_alive(vm):
                if self._vms.trust(vm):
                    _LOG.info(
                        "peer_regained", extra={"vm": vm.vm_id, "incarnation": vm.incarnation}
                    )
                return
            await asyncio.sleep(self._rules.recheck_interval_s)

    async def _is_alive(self, vm: EntryVm) -> bool:
        """Return whether a VM answers a ping; concurrent callers share one ping."""
        ping = self._pings.get(vm)
        if ping is None:
            ping = asyncio.ensure_future(self._ping(vm))
            self._pings[vm] = ping
            ping.add_done_callback(lambda _: self._pings.pop(vm, None))
        return await asyncio.shield(ping)

    async def _ping(self, vm: EntryVm) -> bool:
        exchange = Exchange(
            vm.address,
            "GET",
            PING_PATH,
            [],
            None,
            self._rules.ping_timeout_s,
            distrust_on_timeout=True,
        )
        result = await fetch(self._transport, exchange)
        # A VM of an earlier revision does not name itself.
        alive = result.status == 204 and result.header(VM_HEADER) in (None, vm.vm_id)
        if alive:
            self._note_path(vm, result)
        else:
            self._suspect(vm, "no answer of this VM to a ping")
        return alive
