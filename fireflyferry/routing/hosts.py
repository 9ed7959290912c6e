"""Routes by host and path prefix to one pool, or to several pools by weight."""

from collections.abc import Iterable

import attrs

__all__ = ["CallerLimits", "HostRoute", "HostRoutes", "PoolShare", "PoolSpec", "RoutingConfig"]


@attrs.frozen
class PoolShare:
    """A pool and its weight in a route's traffic split."""

    pool: str
    weight: float


@attrs.frozen
class HostRoute:
    """A route from a host and a path prefix to pools.

    `target_latency_s` is the latency objective, and `timeout_s` the limit for an answer.
    `priority` 0 is the most urgent. `max_attempts` limits the upstreams that one request reaches.
    Requests may only be processed in `allowed_regions`; an empty set allows all regions.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    shares: tuple[PoolShare, ...]
    allowed_regions: frozenset[str] = frozenset()


@attrs.frozen
class PoolSpec:
    """Properties that all upstreams of a pool share; `keyed` means that each key has one owner.

    Each upstream accepts `max_connections` connections; None if that is unknown. It is cold for
    `warmup_s` seconds after its start and tolerates `warmup_per_s` requests a second then; 0 if
    there is no limit.
    """

    name: str
    keyed: bool
    max_connections: int | None = None
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


@attrs.frozen
class CallerLimits:
    """Limits on the size of a caller's requests and on the idle time of its connections."""

    max_header_bytes: int
    max_body_bytes: int
    idle_timeout_s: float


@attrs.frozen
class RoutingConfig:
    """One version of the routes, pools and limits."""

    version: int
    routes: tuple[HostRoute, ...]
    pools: dict[str, PoolSpec]
    limits: CallerLimits


class HostRoutes:
    """Finds the route of a request: the longest prefix among the routes of its host."""

    def __init__(self, routes: Iterable[HostRoute]):
        self._by_host: dict[str, dict[str, HostRoute]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def match(self, host: str, path: str) -> HostRoute | None:
        """Return the route of a host (without port) and a path (without query)."""
        prefixes = self._by_host.get(host.lower())
        if not prefixes:
            return None
        # Prefixes end with a slash, so each candidate ends at one; the longest is tried first.
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
