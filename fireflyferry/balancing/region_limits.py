"""Regions in which the requests of a route may be processed."""

from collections.abc import Iterable

__all__ = ["common_regions", "effective_regions"]


def effective_regions(listed: frozenset[str], known: frozenset[str]) -> frozenset[str] | None:
    """Return the regions that a route's list allows; None if there is no limit.

    A list of unknown regions only allows none: it was written as a limit.
    """
    return listed & known if listed else None


def common_regions(limits: Iterable[frozenset[str] | None]) -> frozenset[str] | None:
    """Return the regions for the keys of a pool, given the limits of all routes to it.

    None means any region: a route has no limit, or no region is allowed by all of them. Routes that
    allow no region are left out, since no placement helps them.
    """
    common: frozenset[str] | None = None
    for limit in limits:
        if limit is None:
            return None
        if limit:
            common = limit if common is None else common & limit
    return common or None
