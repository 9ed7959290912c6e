"""Finds the target of a request: the owner of its key, or the best upstream of its pool."""

import logging
import random
from collections.abc import Iterable

import attrs

from fireflyferry.balancing import (
    Demand,
    EntryVm,
    LeaveReason,
    LoadTracker,
    QuietPeriods,
    Standing,
    Upstream,
)
from fireflyferry.edges import Clock
from fireflyferry.gateway.calls import Attempt, Call, not_run
from fireflyferry.gateway.last_hop import LastHop
from fireflyferry.gateway.state import GatewayState
from fireflyferry.telemetry import Reason

__all__ = ["Locator", "LocatorRules", "Search", "Target"]

_LOG = logging.getLogger(__name__)


@attrs.frozen
class LocatorRules:
    """Waiting times and Retry-After values in seconds.

    `max_move_wait_s` is how long a request waits at most while its key changes owner; a move takes
    about as long as one request. It is also how long the first ones wait for the owner table.
    """

    max_move_wait_s: float = 0.7
    owner_retry_after_s: float = 0.4  # Retry-After while a key has no owner
    upstream_retry_after_s: float = 0.3  # Retry-After while a pool has no upstream
    # Retry-After while no upstream is in the allowed regions, about as long as keys take to move
    region_retry_after_s: float = 1.0
    min_logged_wait_s: float = 0.05  # a shorter wait does not make a request late


@attrs.frozen
class Target:
    """An upstream, the VM that is its last hop, and the age of the forecast used to choose it.

    `distance` is 0 in this VM's data centre, 1 in its region, 2 elsewhere; `why` says what led
    there.
    """

    upstream: Upstream
    vm: EntryVm
    forecast_age_s: float = 0.0
    distance: int = 0
    why: LeaveReason = LeaveReason.OWNER


@attrs.define
class Search:
    """State of the search for an upstream that answers one request.

    `tried` holds ids of upstreams not to try again, `full_data_centres` data centres whose shared
    last hop for the pool had no room. `retry_reserved` is set while a retry of the budget is
    reserved for a hedged attempt. `hops` counts attempts, `reached` those that may have reached an
    upstream. `possibly_run` is an earlier attempt whose request was or may have been executed.
    `refused` is the last refusal for lack of room.
    """

    tried: set[str] = attrs.field(factory=set)
    full_data_centres: set[str] = attrs.field(factory=set)
    retry_reserved: bool = False
    hops: int = 0
    reached: int = 0
    last_attempt: Attempt | None = None
    possibly_run: Attempt | None = None
    refused: Attempt | None = None


class Locator:
    """Finds upstreams and their last hops from the state of this VM."""

    def __init__(
        self,
        clock: Clock,
        state: GatewayState,
        last_hop: LastHop,
        load_tracker: LoadTracker,
        rng: random.Random,
        rules: LocatorRules | None = None,
        quiet: QuietPeriods | None = None,
    ):
        self._clock = clock
        self._state = state
        self._last_hop = last_hop
        self._load_tracker = load_tracker
        self._rng = rng
        self._rules = rules or LocatorRules()
        self._quiet = quiet or QuietPeriods()

    async def locate(self, call: Call, search: Search) -> Target | Attempt:
        """Return the target of a request, or the refusal if there is none."""
        if call.key is not None:
            return await self._locate_owner(call, search)
        return self.locate_unkeyed(call, search)

    def locate_unkeyed(self, call: Call, search: Search) -> Target | Attempt:
        """Return the best upstream for a request without a key."""
        state = self._state
        now_s = self._clock.monotonic_s()
        choice = self._load_tracker.choose(
            now_s,
            self._alternatives(now_s, call, search),
            self._distance,
            self._demand(now_s, call, search),
            self._exact_forecast,
        )
        if choice is None:
            return search.refused or self._refuse_unkeyed(now_s, call)
        upstream = choice.upstream
        sender = state.sender(upstream, call.allowed_regions)
        return Target(upstream, sender, choice.age_s, choice.distance, choice.why)

    @staticmethod
    def _demand(now_s: float, call: Call, search: Search) -> Demand:
        return Demand(
            call.target_time_s - now_s,
            call.deadline_s - now_s,
            call.body_bytes,
            search.refused is not None,
        )

    def _refuse_unkeyed(self, now_s: float, call: Call) -> Attempt:
        allowed = self._ready(now_s, call)
        quiet_s = self._quiet_s(now_s, allowed, 0.0)
        if quiet_s > 0.0:
            return not_run(Reason.UPSTREAM_QUIET, quiet_s)
        if not allowed and self._state.upstreams.ready(now_s, call.pool):
            return not_run(Reason.REGION_NOT_ALLOWED, self._rules.region_retry_after_s)
        if self._state.upstreams.has_evacuated(call.pool):
            return not_run(Reason.DATA_CENTRE_EVACUATED, self._rules.region_retry_after_s)
        return not_run(Reason.NO_UPSTREAM, self._rules.upstream_retry_after_s)

    def _ready(self, now_s: float, call: Call) -> list[Upstream]:
        """Return the upstreams that may get a request without a key."""
        ready = self._state.upstreams.ready(now_s, call.pool)
        if call.allowed_regions is None:
            return ready
        return [each for each in ready if self._is_allowed(call, each)]

    def _is_allowed(self, call: Call, upstream: Upstream) -> bool:
        return self._state.vms.is_within(upstream.data_centre, call.allowed_regions)

    def _alternatives(self, now_s: float, call: Call, search: Search) -> Iterable[Upstream]:
        """Yield the upstreams to choose from; those with a shared last hop are merged into one."""
        state = self._state
        by_data_centre: dict[str, list[Upstream]] = {}
        for upstream in self._ready(now_s, call):
            if (
                upstream.run.upstream_id in search.tried
                or self._quiet.left_s(now_s, upstream.run) > 0.0
                or upstream.data_centre in search.full_data_centres
            ):
                continue
            if state.shares_last_hop(upstream):
                by_data_centre.setdefault(upstream.data_centre, []).append(upstream)
            else:
                yield upstream
        for upstreams in by_data_centre.values():
            yield attrs.evolve(upstreams[0], slots=sum(each.slots for each in upstreams))

    def learn_quiet(self, call: Call, target: Target, attempt: Attempt) -> Attempt:
        """Learn from a result how long an upstream wants no requests; return it for the caller.

        Without a key, the caller may return once any upstream of the pool wants requests.
        """
        if attempt.reason not in (Reason.UPSTREAM_SHED, Reason.UPSTREAM_QUIET):
            return attempt
        now_s, named = self._clock.monotonic_s(), target.upstream
        # A shared last hop refuses so only if all upstreams that it chooses from are quiet.
        all_quiet = attempt.reason is Reason.UPSTREAM_QUIET and self._state.shares_last_hop(named)
        is_local = target.vm.vm_id == self._state.vms.this_vm.vm_id  # then the period is known
        if not is_local and (all_quiet or attempt.upstream_id in ("", named.run.upstream_id)):
            self._quiet.begin(now_s, named.run, attempt.retry_after_s)
        if call.key is not None:
            return attempt
        ready = self._ready(now_s, call)
        if all_quiet:
            ready = [each for each in ready if each.data_centre != named.data_centre]
        left_s = self._quiet_s(now_s, ready, attempt.retry_after_s)
        return attrs.evolve(attempt, retry_after_s=min(attempt.retry_after_s, left_s))

    def _quiet_s(self, now_s: float, upstreams: Iterable[Upstream], default_s: float) -> float:
        """Return how many seconds it takes until one of the upstreams wants requests."""
        return min((self._quiet.left_s(now_s, each.run) for each in upstreams), default=default_s)

    def _distance(self, upstream: Upstream) -> int:
        vms = self._state.vms
        if upstream.data_centre == vms.this_vm.data_centre:
            return 0
        return 1 if vms.region(upstream.data_centre) == vms.region(vms.this_vm.data_centre) else 2

    def _exact_forecast(self, upstream: Upstream) -> tuple[float, float] | None:
        is_local = self._state.last_hop(upstream).vm_id == self._state.vms.this_vm.vm_id
        return self._last_hop.forecast(upstream) if is_local else None

    async def _locate_owner(self, call: Call, search: Search) -> Target | Attempt:
        """Return the owner of the key; wait for a limited time while the key changes owner."""
        started_s = self._clock.monotonic_s()
        # After an upstream answered that it is not the owner, the next attempt needs a newer table.
        table_outdated = (
            search.last_attempt is not None and search.last_attempt.reason is Reason.NOT_OWNER
        )
        if table_outdated:
            self._state.on_outdated_owners()
        while True:
            if not table_outdated and self._owner_is_outside(call):
                return not_run(Reason.REGION_NOT_ALLOWED, self._rules.region_retry_after_s)
            if not table_outdated and self._owner_is_evacuated(call):
                self._state.on_outdated_owners()
                return not_run(Reason.DATA_CENTRE_EVACUATED, self._retry_after_s())
            target, moving_since_s = self._find_owner(call)
            if target is not None and not table_outdated:
                self._log_wait(call, target, started_s)
                quiet_s = self._quiet.left_s(self._clock.monotonic_s(), target.upstream.run)
                return not_run(Reason.UPSTREAM_QUIET, quiet_s) if quiet_s > 0.0 else target
            since_s = started_s if table_outdated else moving_since_s
            until_s = min(since_s + self._rules.max_move_wait_s, call.deadline_s)
            left_s = until_s - self._clock.monotonic_s()
            if left_s <= 0:
                self._state.on_outdated_owners()
                return not_run(Reason.OWNER_UNAVAILABLE, self._retry_after_s())
            table_outdated = not await self._state.owners.wait(left_s) and table_outdated

    def _log_wait(self, call: Call, target: Target, started_s: float) -> None:
        waited_s = self._clock.monotonic_s() - started_s
        if waited_s > self._rules.min_logged_wait_s:
            _LOG.info(
                "waited_for_owner",
                extra={
                    "request_id": call.request_id,
                    "pool": call.pool,
                    "key": call.key,
                    "upstream": target.upstream.run.upstream_id,
                    "born": target.upstream.run.born,
                    "waited_s": round(waited_s, 3),
                },
            )

    def _retry_after_s(self) -> float:
        return self._rules.owner_retry_after_s * self._rng.uniform(0.75, 1.5)

    def _owner_is_outside(self, call: Call) -> bool:
        """Return whether the owner of the key, or its next one, is in no allowed region."""
        if call.allowed_regions is None:
            return False
        upstream = self._listed_owner(call)
        return upstream is not None and not self._is_allowed(call, upstream)

    def _owner_is_evacuated(self, call: Call) -> bool:
        """Return whether the owner of the key may get no more requests, by an evacuation."""
        now_s, upstream = self._clock.monotonic_s(), self._listed_owner(call)
        evacuations = self._state.upstreams.evacuations
        return upstream is not None and evacuations.refuses_keys(now_s, upstream.data_centre)

    def _listed_owner(self, call: Call) -> Upstream | None:
        """Return the upstream to which the table assigns the key, whether it serves it or not."""
        table = self._state.owners.get(call.pool)
        owned = table.find(call.key) if table is not None and call.key is not None else None
        return self._state.upstreams.get(owned.owner.upstream_id) if owned is not None else None

    def _find_owner(self, call: Call) -> tuple[Target | None, float]:
        """Return the owner of the key, or None and the time at which its move began.

        The time is minus infinity if the owner is unknown or gone, so that no request waits for it.
        A pool without a table is being divided, or its table is on the way to this VM.
        """
        state = self._state
        table = state.owners.get(call.pool)
        if table is None:
            return None, state.owners.missing_since_s(self._clock.monotonic_s(), call.pool)
        owned_range = table.find(call.key) if call.key is not None else None
        if owned_range is None:
            return None, float("-inf")
        if not owned_range.serving:
            return None, state.owners.moving_since_s(call.pool, owned_range)
        run = owned_range.owner
        standing = state.upstreams.standing(self._clock.monotonic_s(), run.upstream_id, run.born)
        upstream = state.upstreams.get(run.upstream_id)
        if standing is Standing.GONE or upstream is None:
            return None, float("-inf")
        target = Target(
            upstream,
            state.sender(upstream, call.allowed_regions),
            distance=self._distance(upstream),
        )
        return target, float("-inf")
