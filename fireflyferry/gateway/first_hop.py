"""First hop: sends callers' requests to last hops, and retries them where that is allowed."""

import asyncio
import functools
import logging
from collections.abc import Iterable

import attrs

from fireflyferry.admission import StopPlan
from fireflyferry.balancing import LoadTracker, SlidingRetryBudget
from fireflyferry.edges import Clock
from fireflyferry.gateway.calls import Attempt, Call, not_run
from fireflyferry.gateway.last_hop import LastHop
from fireflyferry.gateway.learning import (
    NO_ROOM_REASONS,
    record_attempt,
    record_leaving,
    record_room,
)
from fireflyferry.gateway.locating import Locator, Search, Target
from fireflyferry.gateway.metrics import DISTANCE_NAMES, GatewayMetrics
from fireflyferry.gateway.peer_client import PeerClient
from fireflyferry.gateway.state import GatewayState
from fireflyferry.telemetry import Outcome, Reason

__all__ = ["FirstHop", "FirstHopRules"]

_LOG = logging.getLogger(__name__)

# Reasons for which a request that was not run may go to another upstream or, with a key, to the
# next owner of the key.
_RETRYABLE_REASONS = frozenset(
    {
        Reason.QUEUE_FULL,
        Reason.DEADLINE_TOO_SHORT,
        Reason.CONNECT_FAILED,
        Reason.UPSTREAM_SHED,
        Reason.UPSTREAM_QUIET,
        Reason.UPSTREAM_COLD,
        Reason.UPSTREAM_DRAINING,
        Reason.NOT_OWNER,
        Reason.SHUTTING_DOWN,
        Reason.UPSTREAMS_UNREACHABLE,
    }
)

# Reasons of a VM that says nothing about the upstream; another VM may send the request to it.
_VM_REASONS = frozenset({Reason.SHUTTING_DOWN, Reason.UPSTREAMS_UNREACHABLE})


@attrs.frozen
class FirstHopRules:
    """Limits of attempts, hedging and retries; times in seconds.

    A hedged attempt is a second one in parallel. It starts when the first has taken both
    `hedge_service_times` mean service times and `hedge_deadline_share` of the time left, since a
    full upstream may never answer. 99% of answers take less than 4 service times, but the first
    estimates of the service time are rough.

    `max_hops` bounds the attempts of one request. All VMs together may send retries for
    `retry_share` of the requests in `retry_window_s`, and `retry_least` more.
    """

    max_hops: int = 4
    hedge_service_times: float = 6.0
    hedge_deadline_share: float = 0.5
    retry_share: float = 0.2
    retry_share_factor: float = 0.85  # margin: some requests do not count for the limit
    retry_least: float = 64.0
    retry_least_factor: float = 0.5  # margin: a restarted VM does not know its earlier retries
    retry_window_s: float = 10.0


class FirstHop:
    """Sends requests of this VM's callers to their last hops and returns the results."""

    def __init__(
        self,
        clock: Clock,
        state: GatewayState,
        last_hop: LastHop,
        peers: PeerClient,
        load_tracker: LoadTracker,
        metrics: GatewayMetrics,
        locator: Locator,
        rules: FirstHopRules | None = None,
        stop_plan: StopPlan | None = None,
    ):
        self._clock = clock
        self._state = state
        self._last_hop = last_hop
        self._peers = peers
        self._load_tracker = load_tracker
        self._metrics = metrics
        self._locator = locator
        self._rules = rules or FirstHopRules()
        self._stop_plan = stop_plan or StopPlan()
        self._retry_budgets: dict[str, SlidingRetryBudget] = {}

    @property
    def pools(self) -> Iterable[str]:
        """Pools for which requests have arrived."""
        return self._retry_budgets

    def retries_left(self, pool: str) -> float:
        """Return how many retries are allowed now for a pool."""
        return self._retry_budget(pool).left(self._clock.monotonic_s())

    async def run(self, call: Call) -> Attempt:
        """Return the answer, the refusal or the unknown outcome to send to the caller."""
        self._retry_budget(call.pool).on_request(self._clock.monotonic_s())
        search = Search()
        try:
            return await self._search(call, search)
        finally:
            if search.retry_reserved:
                self._retry_budget(call.pool).return_reserved()

    async def _search(self, call: Call, search: Search) -> Attempt:
        while True:
            call.passed_on = search.possibly_run is not None
            target = await self._locator.locate(call, search)
            if isinstance(target, Attempt):
                return self._final_result(search, target)
            if not self._ends_before_exit(call, target):
                return self._final_result(search, not_run(Reason.SHUTTING_DOWN))
            if search.reached and not self._take_retry(call, search):
                return self._final_result(search, search.last_attempt)
            search.hops += 1
            call.repeated = search.reached > 0
            call.tried = frozenset(search.tried)
            attempt = await self._attempt_hedged(call, search, target)
            search.last_attempt = attempt
            search.reached += attempt.reached
            if not self._should_continue(call, search, target, attempt):
                return self._final_result(search, attempt)
            if attempt.outcome is Outcome.ANSWERED or (
                attempt.outcome is Outcome.UNKNOWN and search.possibly_run is None
            ):
                search.possibly_run = attempt

    def _ends_before_exit(self, call: Call, target: Target) -> bool:
        """Return whether an attempt ends before a stopping VM exits; cut its deadline to that."""
        now_s, upstream = self._clock.monotonic_s(), target.upstream

        def forecast() -> tuple[float, float]:
            if target.vm.vm_id == self._state.vms.this_vm.vm_id:
                return self._last_hop.forecast(upstream)
            tracker = self._load_tracker
            return tracker.wait_s(now_s, upstream), tracker.service_s(upstream.run)

        return call.ends_before_exit(now_s, self._stop_plan, forecast)

    async def _attempt_hedged(self, call: Call, search: Search, target: Target) -> Attempt:
        """Make an attempt, and a hedged one in parallel if the first is not answered soon enough.

        The first is not cancelled, since its upstream may be working on it and the hedged one may
        be refused.
        """
        if not self._reserve_retry(call, search):
            return await self._attempt(call, search, target)
        first = asyncio.ensure_future(self._attempt(call, search, target))
        attempts = [first]
        try:
            await asyncio.wait([first], timeout=self._hedge_delay_s(call, target))
            if not first.done():
                attempts += self._start_hedged(call, search, target)
            return await self._best_result(attempts)
        finally:
            for each in attempts:
                each.cancel()

    def _start_hedged(
        self, call: Call, search: Search, target: Target
    ) -> "list[asyncio.Future[Attempt]]":
        """Start a hedged attempt at another upstream, if there is one and the budget allows it."""
        tried = {*search.tried, target.upstream.run.upstream_id}
        other = self._locator.locate_unkeyed(call, attrs.evolve(search, tried=tried))
        if isinstance(other, Attempt):
            return []
        hedged_call = attrs.evolve(call, repeated=True, tried=frozenset(tried))
        if not self._ends_before_exit(hedged_call, other) or not self._take_retry(call, search):
            return []
        search.tried, search.hops = tried, search.hops + 1
        search.reached += 1
        _LOG.info(
            "second_attempt_begun",
            extra={
                "request_id": call.request_id,
                "pool": call.pool,
                "upstream": other.upstream.run.upstream_id,
                "born": other.upstream.run.born,
                "instead_of": target.upstream.run.upstream_id,
            },
        )
        call.passed_on = hedged_call.passed_on = True
        return [asyncio.ensure_future(self._attempt(hedged_call, search, other))]

    @staticmethod
    async def _best_result(attempts: "list[asyncio.Future[Attempt]]") -> Attempt:
        """Return the first success or, once all attempts have ended, the next best result.

        An error answer is preferred to an unknown outcome, and that to a refusal.
        """
        pending = set(attempts)
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for each in done:
                answer = each.result().answer
                if answer is not None and answer.status < 500:
                    return each.result()
        preference = (Outcome.ANSWERED, Outcome.UNKNOWN, Outcome.NOT_RUN)
        return min((each.result() for each in attempts), key=lambda a: preference.index(a.outcome))

    def _hedge_delay_s(self, call: Call, target: Target) -> float:
        """Return how long an attempt may take before a hedged one starts in parallel."""
        rules = self._rules
        left_s = call.deadline_s - self._clock.monotonic_s()
        service_s = self._load_tracker.service_s(target.upstream.run)
        return max(rules.hedge_service_times * service_s, rules.hedge_deadline_share * left_s)

    def _final_result(self, search: Search, attempt: Attempt | None) -> Attempt:
        """Return the result for the caller: never *not run* after an attempt that may have run.

        An upstream's answer, even an error, is preferred to an unknown outcome.
        """
        assert attempt is not None
        possibly_run, last_attempt = search.possibly_run, search.last_attempt
        if possibly_run is not None and (
            attempt.outcome is Outcome.NOT_RUN
            or (attempt.outcome is Outcome.UNKNOWN and possibly_run.outcome is Outcome.ANSWERED)
        ):
            return possibly_run
        if last_attempt is not None and last_attempt.retry_after_s > attempt.retry_after_s:
            return last_attempt
        return attempt

    async def _attempt(self, call: Call, search: Search, target: Target) -> Attempt:
        run = target.upstream.run
        self._load_tracker.on_sent(run)
        try:
            if target.vm.vm_id == self._state.vms.this_vm.vm_id:
                attempt = await self._last_hop.run(call, target.upstream)
            else:
                may_give_up = functools.partial(self._may_give_up, call, search, target)
                attempt = await self._peers.forward(call, target.upstream, target.vm, may_give_up)
        finally:
            self._load_tracker.on_ended(run)
        self._record_attempt(call, target, attempt)
        return self._locator.learn_quiet(call, target, attempt)

    def _record_attempt(self, call: Call, target: Target, attempt: Attempt) -> None:
        now_s, run = self._clock.monotonic_s(), target.upstream.run
        record_leaving(self._state.upstreams, now_s, attempt.leaving)
        self._metrics.distance(call.pool, target.distance, target.why)
        if attempt.wait_s is not None:
            self._load_tracker.on_forecast(now_s, run, attempt.wait_s, attempt.service_s)
        record_room(self._load_tracker, now_s, run, attempt)
        avoided_s = 0.0
        # A last hop that chooses among upstreams records their failures itself.
        if not self._state.shares_last_hop(target.upstream):
            avoided_s = record_attempt(self._load_tracker, now_s, call, run, attempt)
        if attempt.outcome is not Outcome.ANSWERED:
            _LOG.info(
                "attempt_failed",
                extra={
                    "request_id": call.request_id,
                    "pool": call.pool,
                    "key": call.key,
                    "upstream": attempt.upstream_id or run.upstream_id,
                    "born": run.born if attempt.upstream_id in ("", run.upstream_id) else None,
                    "distance": DISTANCE_NAMES[target.distance],
                    "why": str(target.why),
                    "last_hop": target.vm.vm_id,
                    "last_hop_incarnation": target.vm.incarnation,
                    "outcome": str(attempt.outcome),
                    "reason": str(attempt.reason),
                    "reached": attempt.reached,
                    "wait_s": attempt.wait_s,
                    "forecast_age_s": round(min(target.forecast_age_s, 1e6), 3),
                    "avoided_s": avoided_s,
                    "left_s": round(call.deadline_s - now_s, 3),
                },
            )

    def _should_continue(
        self, call: Call, search: Search, target: Target, attempt: Attempt
    ) -> bool:
        """Return whether to make another attempt; if so, exclude what failed from it."""
        if search.hops >= self._rules.max_hops or search.reached >= call.max_attempts:
            return False
        left_s = call.deadline_s - self._clock.monotonic_s()
        if call.has_sender_left() or left_s <= attempt.service_s / 2:
            return False
        if attempt.outcome is Outcome.NOT_RUN:
            retry = attempt.reason in _RETRYABLE_REASONS
            if call.key is not None and attempt.reason in NO_ROOM_REASONS:
                return False  # no upstream but the owner of the key may run it
            # An owner that shed the request although it had free slots may accept the next attempt.
        elif attempt.outcome is Outcome.UNKNOWN:
            retry = call.idempotent
        else:
            failed = attempt.answer is not None and attempt.answer.status >= 500
            retry = failed and call.idempotent
        if retry and attempt.reason in NO_ROOM_REASONS:
            search.refused = attempt
        if (
            retry
            and attempt.reason in NO_ROOM_REASONS
            and self._state.shares_last_hop(target.upstream)
        ):
            search.full_data_centres.add(target.upstream.data_centre)
        elif retry and attempt.reason not in _VM_REASONS:
            search.tried.add(attempt.upstream_id or target.upstream.run.upstream_id)
        return retry

    def _may_give_up(self, call: Call, search: Search, target: Target) -> bool:
        """Return whether to give up an attempt whose VM answers no pings; reserve the next one.

        A stopping VM gives it up only if another attempt can follow: its upstream may be working on
        the request, which a shutdown must not break off. Any other VM gives it up, so that callers
        learn soon that an answer may not come, and can try again themselves.
        """
        if not self._stop_plan.is_stopping:
            return True
        if search.hops >= self._rules.max_hops or search.reached + 1 >= call.max_attempts:
            return False
        other: Target | Attempt = target
        if call.key is None:
            tried = {*search.tried, target.upstream.run.upstream_id}
            other = self._locator.locate_unkeyed(call, attrs.evolve(search, tried=tried))
        if isinstance(other, Attempt) or not self._ends_before_exit(attrs.evolve(call), other):
            return False
        return self._reserve(call, search)

    def _take_retry(self, call: Call, search: Search) -> bool:
        """Take a retry from the budget, the reserved one first; return whether it allows one."""
        now_s = self._clock.monotonic_s()
        if search.retry_reserved:
            self._retry_budget(call.pool).spend_reserved(now_s)
            search.retry_reserved = False
            allowed = True
        else:
            allowed = self._retry_budget(call.pool).try_spend(now_s)
        self._metrics.retry(call.pool, allowed)
        if not allowed:
            _LOG.info("retry_denied", extra={"request_id": call.request_id, "pool": call.pool})
        return allowed

    def _reserve_retry(self, call: Call, search: Search) -> bool:
        """Reserve a retry for a hedged attempt; return whether one is reserved.

        A reserved retry is returned to the budget if the next attempt cannot be hedged.
        """
        if self._may_hedge(call, search):
            return self._reserve(call, search)
        if search.retry_reserved:
            self._retry_budget(call.pool).return_reserved()
            search.retry_reserved = False
        return False

    def _reserve(self, call: Call, search: Search) -> bool:
        """Reserve a retry of the budget unless one is; return whether one is reserved."""
        if not search.retry_reserved:
            budget = self._retry_budget(call.pool)
            search.retry_reserved = budget.reserve(self._clock.monotonic_s())
        return search.retry_reserved

    def _may_hedge(self, call: Call, search: Search) -> bool:
        """Return whether the request and the number of upstreams allow a hedged attempt."""
        if not call.idempotent or call.key is not None:
            return False
        if search.reached + 2 > call.max_attempts:
            return False
        now_s = self._clock.monotonic_s()
        untried = len(self._state.upstreams.ready(now_s, call.pool)) - len(search.tried)
        return untried > 1

    def _retry_budget(self, pool: str) -> SlidingRetryBudget:
        budget = self._retry_budgets.get(pool)
        if budget is None:
            rules = self._rules
            share = rules.retry_share * rules.retry_share_factor
            budget = SlidingRetryBudget(share, self._min_retry_allowance, rules.retry_window_s)
            self._retry_budgets[pool] = budget
        return budget

    def _min_retry_allowance(self) -> float:
        """Return this VM's part of the retries that are allowed at any load."""
        return self._rules.retry_least * self._rules.retry_least_factor / len(self._state.vms)
