"""Test support: routing state, locator and planner of one VM, without a network."""

import random

import attrs

from fireflyferry.balancing import (
    EntryVm,
    Evacuations,
    LoadTracker,
    SelectionRules,
    Upstream,
    UpstreamDirectory,
    VmDirectory,
)
from fireflyferry.gateway import documents
from fireflyferry.gateway.calls import Call
from fireflyferry.gateway.edges import Document
from fireflyferry.gateway.locating import Locator, Search
from fireflyferry.gateway.state import GatewayState
from fireflyferry.gateway.tests.support import FakeCodec, make_config
from fireflyferry.keyranges import LAST_KEY, OwnedRange, OwnerTable, UpstreamRun
from fireflyferry.messages.codec import unstructure

REGIONS = {"dc-1": "r-1", "dc-2": "r-1", "dc-3": "r-2", "dc-4": "r-3"}


@attrs.define
class ManualClock:
    """Clock that the test sets."""

    now_s: float = 1000.0

    def monotonic_s(self):
        return self.now_s


def make_vm(number, data_centre="dc-1", **changes):
    return attrs.evolve(
        EntryVm(f"vm-{number}", f"i{number}", f"10.0.0.{number}:1", data_centre), **changes
    )


def make_upstream(name, data_centre="dc-1", pool="plain", **changes):
    upstream = Upstream(UpstreamRun(name, 1), pool, f"10.1.0.1:{hash(name) % 9999}", data_centre, 2)
    return attrs.evolve(upstream, **changes)


class NoLastHop:
    """Last hop that knows no queue."""

    def forecast(self, upstream):
        return 0.0, 0.1


class Place:
    """Routing state of `vm-1` in data centre dc-1."""

    def __init__(self, upstreams, vms=(), config=None, bound_s=0.0, clock=None):
        self.order_not_before_s = float("-inf")
        self.clock = clock or ManualClock()
        self.store_failed = False
        self.state = GatewayState(
            self.clock,
            FakeCodec(),
            UpstreamDirectory(2.0, evacuations=Evacuations(bound_s)),
            VmDirectory(make_vm(1), REGIONS),
            lambda: self.store_failed,
            lambda: 0.0,
            (lambda: self.order_not_before_s) if bound_s else None,
        )
        self.state.vms.apply(vms)
        self.tracker = LoadTracker(SelectionRules(), random.Random(1))
        self.locator = Locator(self.clock, self.state, NoLastHop(), self.tracker, random.Random(1))
        self.configure(config or make_config())
        self.list_upstreams(upstreams)

    def configure(self, config):
        document = Document("main", config.version, unstructure(config))
        self.state.apply_config({"main": document})

    def list_upstreams(self, upstreams, revision=1):
        self.state.apply_upstreams(
            {
                each.run.upstream_id: Document(each.run.upstream_id, revision, unstructure(each))
                for each in upstreams
            }
        )

    def own(self, upstream, serving=True, revision=1):
        owned = OwnedRange(0, LAST_KEY, upstream.run, 1, (), serving)
        table = OwnerTable("keyed", 1, 1, (owned,))
        document = Document("keyed", revision, documents.table_content(table))
        self.state.apply_owners({"keyed": document})

    def call(self, route="read", key=None):
        """Return a call of a route as `CallerExchange` makes it."""
        found = self.state.routes.match("h", f"/{route}/")
        now_s = self.clock.monotonic_s()
        return Call(
            "r", "POST", "/", [], b"body", found.shares[0].pool, key, found.idempotent, 1, 2,
            now_s, now_s + 1.0, now_s + 2.0, received_s=now_s,
            allowed_regions=self.state.allowed_regions(found),
        )  # fmt: skip

    def locate(self, route="read", tried=()):
        return self.locator.locate_unkeyed(self.call(route), Search(set(tried)))
