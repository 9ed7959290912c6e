"""Route matching by priority and longest path prefix."""

from fireflyferry.tables import Pool, Route, Tables

__all__ = ["RouteTable"]


class RouteTable:
    """Routes of one revision in order of precedence: highest priority, then longest prefix."""

    def __init__(self, tables: Tables):
        routes = sorted(tables.routes, key=lambda r: (-r.priority, -len(r.path_prefix), r.name))
        self._routes = tuple((r.path_prefix, r.path_prefix.rstrip("/") + "/", r) for r in routes)
        self._pools = {pool.name: pool for pool in tables.pools}
        self._revision = tables.revision

    @property
    def revision(self) -> int:
        """Revision of the tables that the routes come from."""
        return self._revision

    def match(self, path: str) -> Route | None:
        """Return the route of a path (without query); prefixes end at a segment boundary."""
        for prefix, with_slash, route in self._routes:
            if path.startswith(with_slash) or path == prefix:
                return route
        return None

    def pool(self, name: str) -> Pool | None:
        """Return a pool by name."""
        return self._pools.get(name)
