"""First hop: has requests answered, and repeats attempts where that is allowed."""

import asyncio
import logging
from collections.abc import Iterable

import attrs

from fireflyferry.balancing import LoadTracker, SlidingRetryBudget
from fireflyferry.edges import Clock
from fireflyferry.gateway.calls import Attempt, Call
from fireflyferry.gateway.last_hop import LastHop
from fireflyferry.gateway.learning import learn_attempt
from fireflyferry.gateway.locating import Locator, Search, Target
from fireflyferry.gateway.metrics import GatewayMetrics
from fireflyferry.gateway.peer_client import PeerClient
from fireflyferry.gateway.state import GatewayState
from fireflyferry.telemetry import Outcome, Reason

__all__ = ["FirstHop", "FirstHopRules"]

_LOG = logging.getLogger(__name__)

# Results after which another attempt may go elsewhere or, for a key, to its next owner.
_REPEATABLE = frozenset(
    {
        Reason.QUEUE_FULL,
        Reason.DEADLINE_TOO_SHORT,
        Reason.CONNECT_FAILED,
        Reason.UPSTREAM_SHED,
        Reason.UPSTREAM_DRAINING,
        Reason.NOT_OWNER,
        Reason.SHUTTING_DOWN,
    }
)

_NO_ROOM = frozenset({Reason.QUEUE_FULL, Reason.DEADLINE_TOO_SHORT})


@attrs.frozen
class FirstHopRules:
    """Limits of the search for an upstream; times in seconds.

    A second attempt begins beside one that took `hedge_service_times` mean service times and
    `hedge_deadline_share` of the time left, since a full upstream may never answer; 99% of answers
    take less than 4 service times, but the first estimates of them are rough.

    `max_hops` bounds the last hops that are asked. `retry_least` second sends are allowed to all
    VMs together besides `retry_share` of the requests.
    """

    max_hops: int = 4
    hedge_service_times: float = 6.0
    hedge_deadline_share: float = 0.5
    retry_share: float = 0.2
    retry_share_factor: float = 0.85  # some requests that arrive here count for nobody's share
    retry_least: float = 64.0
    retry_least_factor: float = 0.5  # VMs that restart have forgotten what they used before
    retry_window_s: float = 10.0


class FirstHop:
    """Has requests of this VM's callers answered."""

    def __init__(
        self,
        clock: Clock,
        state: GatewayState,
        last_hop: LastHop,
        peers: PeerClient,
        board: LoadTracker,
        metrics: GatewayMetrics,
        locator: Locator,
        rules: FirstHopRules | None = None,
    ):
        self._clock = clock
        self._state = state
        self._last_hop = last_hop
        self._peers = peers
        self._board = board
        self._metrics = metrics
        self._locator = locator
        self._rules = rules or FirstHopRules()
        self._budgets: dict[str, SlidingRetryBudget] = {}

    @property
    def pools(self) -> Iterable[str]:
        """Pools that requests were for."""
        return self._budgets

    def retries_left(self, pool: str) -> float:
        """Return the second sends that are allowed now for a pool."""
        return self._budget(pool).left(self._clock.monotonic_s())

    async def run(self, call: Call) -> Attempt:
        """Return the answer, or the refusal or unknown outcome that the caller is told."""
        self._budget(call.pool).on_request(self._clock.monotonic_s())
        search = Search()
        try:
            return await self._search(call, search)
        finally:
            if search.held:
                self._budget(call.pool).return_reserved()

    async def _search(self, call: Call, search: Search) -> Attempt:
        while True:
            target = await self._locator.locate(call, search)
            if isinstance(target, Attempt):
                return self._final(search, target)
            if search.reached and not self._may_repeat(call, search):
                return self._final(search, search.last)
            search.hops += 1
            call.repeated = search.reached > 0
            call.tried = frozenset(search.tried)
            attempt = await self._hedged(call, search, target)
            search.last = attempt
            search.reached += attempt.reached
            if not self._goes_on(call, search, target, attempt):
                return self._final(search, attempt)
            if attempt.outcome is Outcome.ANSWERED or (
                attempt.outcome is Outcome.UNKNOWN and search.ran is None
            ):
                search.ran = attempt

    async def _hedged(self, call: Call, search: Search, target: Target) -> Attempt:
        """Make an attempt, and a second one beside it if it gets no answer for long.

        The first one goes on: its upstream may be at work, and the second may find no room.
        """
        if not self._hold(call, search):
            return await self._attempt(call, target)
        first = asyncio.ensure_future(self._attempt(call, target))
        attempts = [first]
        try:
            await asyncio.wait([first], timeout=self._patience_s(call, target))
            if not first.done():
                attempts += self._second(call, search, target)
            return await self._best(attempts)
        finally:
            for each in attempts:
                each.cancel()

    def _second(
        self, call: Call, search: Search, target: Target
    ) -> "list[asyncio.Future[Attempt]]":
        """Start a second attempt at another upstream, if there is one."""
        tried = {*search.tried, target.upstream.run.upstream_id}
        other = self._locator.locate_any(call, attrs.evolve(search, tried=tried))
        if isinstance(other, Attempt) or not self._may_repeat(call, search):
            return []
        search.tried, search.hops = tried, search.hops + 1
        search.reached += 1
        _LOG.info(
            "second_attempt_begun",
            extra={
                "request_id": call.request_id,
                "pool": call.pool,
                "upstream": other.upstream.run.upstream_id,
                "instead_of": target.upstream.run.upstream_id,
            },
        )
        repeat = attrs.evolve(call, repeated=True, tried=frozenset(tried))
        return [asyncio.ensure_future(self._attempt(repeat, other))]

    @staticmethod
    async def _best(attempts: "list[asyncio.Future[Attempt]]") -> Attempt:
        """Return the first success; without one, what may have run goes before what did not."""
        waiting = set(attempts)
        while waiting:
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for each in done:
                answer = each.result().answer
                if answer is not None and answer.status < 500:
                    return each.result()
        order = (Outcome.ANSWERED, Outcome.UNKNOWN, Outcome.NOT_RUN)
        return min((each.result() for each in attempts), key=lambda a: order.index(a.outcome))

    def _patience_s(self, call: Call, target: Target) -> float:
        """Return how long an attempt may take before another begins beside it."""
        rules = self._rules
        left_s = call.deadline_s - self._clock.monotonic_s()
        service_s = self._board.service_s(target.upstream.run.upstream_id)
        return max(rules.hedge_service_times * service_s, rules.hedge_deadline_share * left_s)

    def _final(self, search: Search, attempt: Attempt | None) -> Attempt:
        """Return what the caller is told: never *not run* after an attempt that may have run.

        An answer of an upstream, also an error, goes before an outcome that is not known.
        """
        assert attempt is not None
        ran, last = search.ran, search.last
        if ran is not None and (
            attempt.outcome is Outcome.NOT_RUN
            or (attempt.outcome is Outcome.UNKNOWN and ran.outcome is Outcome.ANSWERED)
        ):
            return ran
        if last is not None and last.retry_after_s > attempt.retry_after_s:
            return last
        return attempt

    async def _attempt(self, call: Call, target: Target) -> Attempt:
        upstream_id = target.upstream.run.upstream_id
        self._board.on_sent(upstream_id)
        try:
            if target.vm.vm_id == self._state.vms.this_vm.vm_id:
                attempt = await self._last_hop.run(call, target.upstream)
            else:
                attempt = await self._peers.forward(call, target.upstream, target.vm)
        finally:
            self._board.on_ended(upstream_id)
        self._learn(call, target, attempt)
        return attempt

    def _learn(self, call: Call, target: Target, attempt: Attempt) -> None:
        now_s = self._clock.monotonic_s()
        upstream_id = target.upstream.run.upstream_id
        if attempt.wait_s is not None:
            self._board.on_forecast(now_s, upstream_id, attempt.wait_s, attempt.service_s)
        avoided_s = 0.0
        # A last hop that chooses the upstream learns itself which of them fail.
        if not self._state.shares_last_hop(target.upstream):
            avoided_s = learn_attempt(self._board, now_s, upstream_id, attempt)
        if attempt.outcome is not Outcome.ANSWERED:
            _LOG.info(
                "attempt_failed",
                extra={
                    "request_id": call.request_id,
                    "pool": call.pool,
                    "key": call.key,
                    "upstream": attempt.upstream_id or upstream_id,
                    "last_hop": target.vm.vm_id,
                    "outcome": str(attempt.outcome),
                    "reason": str(attempt.reason),
                    "reached": attempt.reached,
                    "wait_s": attempt.wait_s,
                    "forecast_age_s": round(min(target.forecast_age_s, 1e6), 3),
                    "avoided_s": avoided_s,
                    "left_s": round(call.deadline_s - now_s, 3),
                },
            )

    def _goes_on(self, call: Call, search: Search, target: Target, attempt: Attempt) -> bool:
        """Decide whether another attempt is made."""
        if search.hops >= self._rules.max_hops or search.reached >= call.max_attempts:
            return False
        left_s = call.deadline_s - self._clock.monotonic_s()
        if left_s <= attempt.service_s / 2:
            return False
        if attempt.outcome is Outcome.NOT_RUN:
            repeat = attempt.reason in _REPEATABLE
            if call.key is not None and attempt.reason in _NO_ROOM:
                return False  # no other upstream may run it
            # An owner that sheds while its slots are free may take the same request again.
        elif attempt.outcome is Outcome.UNKNOWN:
            repeat = call.idempotent
        else:
            failed = attempt.answer is not None and attempt.answer.status >= 500
            repeat = failed and call.idempotent
        if repeat and attempt.reason in _NO_ROOM and self._state.shares_last_hop(target.upstream):
            search.full.add(target.upstream.data_centre)
        elif repeat:
            search.tried.add(attempt.upstream_id or target.upstream.run.upstream_id)
        return repeat

    def _may_repeat(self, call: Call, search: Search) -> bool:
        """Take a second send at an upstream from the budget, the one that is held first."""
        now_s = self._clock.monotonic_s()
        if search.held:
            self._budget(call.pool).spend_reserved(now_s)
            search.held = False
            allowed = True
        else:
            allowed = self._budget(call.pool).try_spend(now_s)
        self._metrics.retry(call.pool, allowed)
        if not allowed:
            _LOG.info("retry_denied", extra={"request_id": call.request_id, "pool": call.pool})
        return allowed

    def _hold(self, call: Call, search: Search) -> bool:
        """Hold a second send for the case that the next attempt gets no answer for long."""
        budget = self._budget(call.pool)
        wanted = self._could_follow(call, search)
        if wanted and not search.held:
            search.held = budget.reserve(self._clock.monotonic_s())
        elif search.held and not wanted:
            budget.return_reserved()
            search.held = False
        return search.held

    def _could_follow(self, call: Call, search: Search) -> bool:
        """Tell whether there is another upstream for a second attempt."""
        if not call.idempotent or call.key is not None:
            return False
        if search.reached + 2 > call.max_attempts:
            return False
        now_s = self._clock.monotonic_s()
        others = len(self._state.upstreams.ready(now_s, call.pool)) - len(search.tried)
        return others > 1

    def _budget(self, pool: str) -> SlidingRetryBudget:
        budget = self._budgets.get(pool)
        if budget is None:
            rules = self._rules
            share = rules.retry_share * rules.retry_share_factor
            budget = SlidingRetryBudget(share, self._retry_reserve, rules.retry_window_s)
            self._budgets[pool] = budget
        return budget

    def _retry_reserve(self) -> float:
        """Return this VM's part of the second sends that are allowed whatever the load."""
        return self._rules.retry_least * self._rules.retry_least_factor / len(self._state.vms)
