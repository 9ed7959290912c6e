"""Objects that all requests of one entry VM share."""

import random

import attrs

from fireflyferry.admission import StopPlan
from fireflyferry.edges import Clock
from fireflyferry.edges.peer_auth import PeerSigner
from fireflyferry.entry.exchange import ServerExchange
from fireflyferry.entry.first_hop import FirstHop
from fireflyferry.entry.interfaces import Locator, TablesSource
from fireflyferry.entry.last_hop import LastHop
from fireflyferry.entry.limits import RequestLimits
from fireflyferry.entry.statistics import Statistics
from fireflyferry.routing import RouteTable
from fireflyferry.tables import Tables

__all__ = ["RequestServices"]


@attrs.define(eq=False)
class RequestServices:
    """Objects that requests on the public port and on the peer port use."""

    clock: Clock
    rng: random.Random
    limits: RequestLimits
    tables: TablesSource
    locator: Locator
    statistics: Statistics
    last_hop: LastHop
    first_hop: FirstHop
    signer: PeerSigner
    stop_plan: StopPlan
    draining: bool = False
    exchanges: set[ServerExchange] = attrs.field(factory=set)
    _routes: tuple[Tables, RouteTable] | None = None

    def routes(self) -> RouteTable | None:
        """Return the route table of the applied revision; None before the first."""
        tables = self.tables.current()
        if tables is None:
            return None
        if self._routes is None or self._routes[0] is not tables:
            self._routes = (tables, RouteTable(tables))
        return self._routes[1]
