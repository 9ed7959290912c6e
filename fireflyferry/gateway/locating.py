"""Where a request can go: the owner of its key, or the best upstream of its pool."""

import logging
import random
from collections.abc import Iterable

import attrs

from fireflyferry.balancing import EntryVm, LoadTracker, Standing, Upstream
from fireflyferry.edges import Clock
from fireflyferry.gateway.calls import Attempt, Call, not_run
from fireflyferry.gateway.last_hop import LastHop
from fireflyferry.gateway.state import GatewayState
from fireflyferry.telemetry import Reason

__all__ = ["Locator", "LocatorRules", "Search", "Target"]

_LOG = logging.getLogger(__name__)


@attrs.frozen
class LocatorRules:
    """Times in seconds.

    `move_wait_s` is how long a request waits for a key that is changing its owner; moves take the
    time of one request.
    """

    move_wait_s: float = 0.7
    owner_retry_s: float = 0.4  # Retry-After while a key has no owner
    upstream_retry_s: float = 0.3  # Retry-After while a pool has no upstream
    logged_wait_s: float = 0.05  # a shorter wait makes no request late


@attrs.frozen
class Target:
    """An upstream and its last hop, with the age in seconds of the forecast that led to it."""

    upstream: Upstream
    vm: EntryVm
    forecast_age_s: float = 0.0


@attrs.define
class Search:
    """Progress of one request; `ran` is an earlier attempt that ran or may have run.

    `full` are data centres whose one last hop for the pool had no room. `held` tells that a
    second send is kept for the case that the attempt gets no answer for long.
    """

    tried: set[str] = attrs.field(factory=set)
    full: set[str] = attrs.field(factory=set)
    held: bool = False
    hops: int = 0
    reached: int = 0
    last: Attempt | None = None
    ran: Attempt | None = None


class Locator:
    """Finds upstreams and their last hops from what this VM knows."""

    def __init__(
        self,
        clock: Clock,
        state: GatewayState,
        last_hop: LastHop,
        board: LoadTracker,
        rng: random.Random,
        rules: LocatorRules | None = None,
    ):
        self._clock = clock
        self._state = state
        self._last_hop = last_hop
        self._board = board
        self._rng = rng
        self._rules = rules or LocatorRules()

    async def locate(self, call: Call, search: Search) -> Target | Attempt:
        """Return where a request can go, or the refusal if there is no such place."""
        if call.key is not None:
            return await self._locate_owner(call, search)
        return self.locate_any(call, search)

    def locate_any(self, call: Call, search: Search) -> Target | Attempt:
        """Return the best upstream for a request without a key."""
        state = self._state
        now_s = self._clock.monotonic_s()
        choice = self._board.choose(
            now_s,
            self._alternatives(now_s, call.pool, search),
            self._distance,
            call.target_time_s - call.started_s,
            self._exact_wait,
        )
        if choice is None:
            return not_run(Reason.NO_UPSTREAM, self._rules.upstream_retry_s)
        upstream = choice.upstream
        return Target(upstream, state.last_hop(upstream), choice.age_s)

    def _alternatives(self, now_s: float, pool: str, search: Search) -> Iterable[Upstream]:
        """Return the upstreams to choose from, one for all that share a last hop."""
        state = self._state
        together: dict[str, list[Upstream]] = {}
        for upstream in state.upstreams.ready(now_s, pool):
            if upstream.run.upstream_id in search.tried or upstream.data_centre in search.full:
                continue
            if state.shares_last_hop(upstream):
                together.setdefault(upstream.data_centre, []).append(upstream)
            else:
                yield upstream
        for upstreams in together.values():
            yield attrs.evolve(upstreams[0], slots=sum(each.slots for each in upstreams))

    def _distance(self, upstream: Upstream) -> int:
        vms = self._state.vms
        if upstream.data_centre == vms.this_vm.data_centre:
            return 0
        return 1 if vms.region(upstream.data_centre) == vms.region(vms.this_vm.data_centre) else 2

    def _exact_wait(self, upstream: Upstream) -> tuple[float, float] | None:
        mine = self._state.last_hop(upstream).vm_id == self._state.vms.this_vm.vm_id
        return self._last_hop.forecast(upstream) if mine else None

    async def _locate_owner(self, call: Call, search: Search) -> Target | Attempt:
        """Return the owner of the key; waits a little while the key changes its owner."""
        started_s = self._clock.monotonic_s()
        # An owner that did not hold the key is asked again only under a newer table.
        outdated = search.last is not None and search.last.reason is Reason.NOT_OWNER
        if outdated:
            self._state.on_outdated_owners()
        while True:
            target, moving_since_s = self._owner(call)
            if target is not None and not outdated:
                self._log_wait(call, target, started_s)
                return target
            since_s = started_s if outdated else moving_since_s
            until_s = min(since_s + self._rules.move_wait_s, call.deadline_s)
            left_s = until_s - self._clock.monotonic_s()
            if left_s <= 0:
                self._state.on_outdated_owners()
                return not_run(Reason.OWNER_UNAVAILABLE, self._retry_after_s())
            outdated = not await self._state.owners.wait(left_s) and outdated

    def _log_wait(self, call: Call, target: Target, started_s: float) -> None:
        waited_s = self._clock.monotonic_s() - started_s
        if waited_s > self._rules.logged_wait_s:
            _LOG.info(
                "waited_for_owner",
                extra={
                    "request_id": call.request_id,
                    "pool": call.pool,
                    "key": call.key,
                    "upstream": target.upstream.run.upstream_id,
                    "waited_s": round(waited_s, 3),
                },
            )

    def _retry_after_s(self) -> float:
        return self._rules.owner_retry_s * self._rng.uniform(0.75, 1.5)

    def _owner(self, call: Call) -> tuple[Target | None, float]:
        """Return the owner of the key, or None and since when the key changes its owner.

        A key that nobody can be waited for counts as changing since ever.
        """
        state = self._state
        table = state.owners.get(call.pool)
        part = table.find(call.key) if table is not None and call.key is not None else None
        if part is None:
            return None, float("-inf")
        if not part.serving:
            return None, state.owners.moving_since_s(call.pool, part)
        run = part.owner
        standing = state.upstreams.standing(self._clock.monotonic_s(), run.upstream_id, run.born)
        upstream = state.upstreams.get(run.upstream_id)
        if standing is Standing.GONE or upstream is None:
            return None, float("-inf")
        return Target(upstream, state.last_hop(upstream)), float("-inf")
