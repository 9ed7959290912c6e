"""Routing state of one entry VM: configuration, upstreams, owners of keys, other entry VMs."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from fireflyferry.balancing import (
    EntryVm,
    Upstream,
    UpstreamDirectory,
    VmDirectory,
    common_regions,
    effective_regions,
)
from fireflyferry.balancing.cold_limits import ColdUpstreams
from fireflyferry.edges import Clock
from fireflyferry.gateway import documents
from fireflyferry.gateway.edges import Document, PlatformCodec, UnreadableDocumentError
from fireflyferry.keyranges import OwnedRange, OwnerTable, UpstreamRun
from fireflyferry.routing.hosts import HostRoute, HostRoutes, RoutingConfig

__all__ = ["GatewayState", "OwnerTables"]

_LOG = logging.getLogger(__name__)

T = TypeVar("T")


class OwnerTables:
    """Newest known owner table of each pool; requests can wait for the next change."""

    def __init__(self) -> None:
        self._tables: dict[str, tuple[int, OwnerTable]] = {}
        self._moving_since_s: dict[str, dict[OwnedRange, float]] = {}
        self._missing_since_s: dict[str, float] = {}
        self._changed: asyncio.Future[None] | None = None

    def get(self, pool: str) -> OwnerTable | None:
        """Return the owner table of a pool, or None if none is known."""
        entry = self._tables.get(pool)
        return entry[1] if entry is not None else None

    def is_known(self, document: Document) -> bool:
        """Return whether a document is the known table of the pool that it is named after."""
        entry = self._tables.get(document.name)
        known = (entry[1].era, entry[0]) if entry is not None else (None, 0)
        return known == (documents.written_era(document), document.revision)

    def moving_since_s(self, pool: str, owned_range: OwnedRange) -> float:
        """Return the monotonic time, in seconds, at which this VM learned that a range moves."""
        return self._moving_since_s[pool][owned_range]

    def missing_since_s(self, now_s: float, pool: str) -> float:
        """Return the monotonic time, in seconds, at which a table was first asked for in vain."""
        return self._missing_since_s.setdefault(pool, now_s)

    def put(self, now_s: float, pool: str, revision: int, table: OwnerTable) -> bool:
        """Store a table if it is newer than the known one; return whether it was.

        A store that comes back from a copy reissues revisions, so the era in which a table was
        written comes first.
        """
        known = self._tables.get(pool)
        if known is not None and _table_order(revision, table) <= _table_order(*known):
            return False
        self._tables[pool] = (revision, table)
        self._missing_since_s.pop(pool, None)
        known_since = self._moving_since_s.get(pool, {})
        self._moving_since_s[pool] = {
            each: known_since.get(each, now_s) for each in table.ranges if not each.serving
        }
        changed, self._changed = self._changed, None
        if changed is not None and not changed.done():
            changed.set_result(None)
        return True

    async def wait(self, timeout_s: float) -> bool:
        """Wait for a change; return False if none came within `timeout_s` seconds."""
        if self._changed is None:
            self._changed = asyncio.get_running_loop().create_future()
        done, _ = await asyncio.wait([self._changed], timeout=timeout_s)
        return bool(done)


def _table_order(revision: int, table: OwnerTable) -> tuple[int, int]:
    """Return the order of a stored table; a table without an era was written before all others."""
    return (-1 if table.era is None else table.era, revision)


class GatewayState:
    """Routing state that this VM derives from the store's documents.

    Changes are logged with the version or revision of the document that caused them.
    """

    def __init__(
        self,
        clock: Clock,
        codec: PlatformCodec,
        upstreams: UpstreamDirectory,
        vms: VmDirectory,
        store_failed_recently: Callable[[], bool],
        upstreams_unobserved_s: Callable[[], float],
        evacuations_not_before_s: Callable[[], float] | None = None,
        cold: ColdUpstreams | None = None,
    ):
        self._clock = clock
        self._codec = codec
        self._store_failed_recently = store_failed_recently
        self._upstreams_unobserved_s = upstreams_unobserved_s
        self._evacuations_not_before_s = evacuations_not_before_s
        self._evacuations_listed = False
        self.upstreams = upstreams
        self.vms = vms
        self.cold = cold or ColdUpstreams()
        self.owners = OwnerTables()
        self.config: RoutingConfig | None = None
        self.routes = HostRoutes(())
        self.on_outdated_owners: Callable[[], None] = lambda: None
        self.on_owner_table: Callable[[str, int], None] = lambda pool, revision: None
        self.on_config: list[Callable[[RoutingConfig], None]] = []
        self.on_upstreams: list[Callable[[], None]] = []
        self.on_vms: Callable[[float, list[EntryVm]], None] = lambda now_s, vms: None
        self._unreadable: dict[tuple[str, str], int] = {}
        self._upstreams: Mapping[str, Document] | None = None
        self._standings: dict[UpstreamRun, str] = {}
        self._key_regions: dict[str, frozenset[str] | None] = {}
        self._unknown_regions: frozenset[tuple[str, str]] = frozenset()

    @property
    def complete(self) -> bool:
        """Whether the configuration, upstreams and evacuations are loaded: serving requires it."""
        follows_evacuations = self._evacuations_not_before_s is not None
        return (
            self.config is not None
            and self._upstreams is not None
            and (self._evacuations_listed or not follows_evacuations)
        )

    def shares_last_hop(self, upstream: Upstream) -> bool:
        """Return whether the upstreams of the same pool and data centre share one last hop.

        They do for a pool without keys in a large data centre, where each VM sees too few of the
        requests to know which upstream has a free slot.
        """
        return not self.is_keyed(upstream.pool) and self.vms.is_large(upstream.data_centre)

    def is_keyed(self, pool: str) -> bool:
        """Return whether each key of a pool has one owner."""
        spec = self.config.pools.get(pool) if self.config is not None else None
        return spec is not None and spec.keyed

    def warmup_per_s(self, pool: str) -> float:
        """Return how many requests a second a cold upstream of a pool tolerates; 0: no limit."""
        spec = self.config.pools.get(pool) if self.config is not None else None
        return spec.warmup_per_s if spec is not None and spec.warmup_s > 0.0 else 0.0

    def cold_limit(self, now_s: float, upstream: Upstream) -> tuple[float, float]:
        """Return the rate that an upstream tolerates while cold, and how long it stays cold.

        Both are 0 if no limit applies.
        """
        per_s = self.warmup_per_s(upstream.pool)
        if per_s <= 0.0:
            return 0.0, 0.0
        ended_s = self.upstreams.evacuations.ended_s(upstream.data_centre)
        left_s = self.cold.left_s(now_s, upstream.run, ended_s)
        return (per_s, left_s) if left_s > 0.0 else (0.0, 0.0)

    def cold_rate(self, upstream: Upstream) -> float | None:
        """Return the rate that an upstream tolerates now, since it is cold; None if it is not."""
        per_s, _ = self.cold_limit(self._clock.monotonic_s(), upstream)
        return per_s or None

    def cold_upstreams(self) -> int:
        """Return how many upstreams are cold and limited."""
        return sum(self.cold_rate(each) is not None for each in self.upstreams)

    def allowed_regions(self, route: HostRoute) -> frozenset[str] | None:
        """Return the regions in which the requests of a route may be processed; None for all."""
        return effective_regions(route.allowed_regions, self.vms.known_regions)

    def may_own_keys(self, upstream: Upstream) -> bool:
        """Return whether the routes to the pool of an upstream let it own keys."""
        regions = self._key_regions.get(upstream.pool)
        return self.vms.is_within(upstream.data_centre, regions)

    def sender(self, upstream: Upstream, allowed_regions: frozenset[str] | None) -> EntryVm:
        """Return the VM that sends a request of this VM's callers to an upstream.

        It is the last hop, unless that is in a region where the body may not go.
        """
        vms, last_hop = self.vms, self.last_hop(upstream)
        is_near = vms.region(last_hop.data_centre) == vms.region(vms.this_vm.data_centre)
        if is_near or vms.is_within(last_hop.data_centre, allowed_regions):
            return last_hop
        return vms.this_vm

    def last_hop(self, upstream: Upstream) -> EntryVm:
        """Return the last hop of an upstream: the VM that allots its slots."""
        if self.shares_last_hop(upstream):
            return self.vms.last_hop(upstream.pool, upstream.data_centre, by_capacity=True)
        return self.vms.last_hop(upstream.run.upstream_id, upstream.data_centre)

    def candidates(self, now_s: float, upstream: Upstream) -> list[Upstream]:
        """Return the upstreams that the last hop of an upstream may choose from."""
        if not self.shares_last_hop(upstream):
            return [upstream]
        ready = self.upstreams.ready(now_s, upstream.pool)
        return [each for each in ready if each.data_centre == upstream.data_centre] or [upstream]

    def apply_config(self, documents_by_name: Mapping[str, Document]) -> None:
        """Apply the configuration if it is readable and newer than the current one."""
        document = documents_by_name.get(self._codec.config_name)
        if document is None:
            return
        config = self._parse(self._codec.config_kind, document, self._codec.config)
        if config is None or (self.config is not None and config.version <= self.config.version):
            return
        earlier_version = self.config.version if self.config is not None else 0
        self.config = config
        self.routes = HostRoutes(config.routes)
        _LOG.info(
            "configuration_applied",
            extra={
                "version": config.version,
                "earlier_version": earlier_version,
                "revision": document.revision,
                "routes": len(config.routes),
            },
        )
        self._apply_regions(config)
        if self._upstreams is not None:
            self.apply_upstreams(self._upstreams)
        for callback in self.on_config:
            callback(config)

    def _apply_regions(self, config: RoutingConfig) -> None:
        """Derive where the keys of each pool may be, and log regions that are unknown."""
        limits: dict[str, list[frozenset[str] | None]] = {}
        for route in config.routes:
            for share in route.shares:
                limits.setdefault(share.pool, []).append(self.allowed_regions(route))
        key_regions = {pool: common_regions(each) for pool, each in limits.items()}
        for pool, each in limits.items():
            spec = config.pools.get(pool)
            if spec is None or not spec.keyed:
                continue
            if key_regions[pool] is None and None not in each:
                _LOG.warning("no_common_region", extra={"pool": pool, "version": config.version})
            elif self._key_regions.get(pool) != key_regions[pool]:
                regions = ",".join(sorted(key_regions[pool] or ())) or "all"
                _LOG.info("key_regions_changed", extra={"pool": pool, "regions": regions})
        self._key_regions = key_regions
        known = self.vms.known_regions
        unknown = frozenset(
            (route.name, region)
            for route in config.routes
            for region in route.allowed_regions - known
        )
        for name, region in sorted(unknown - self._unknown_regions):
            _LOG.warning("unknown_region", extra={"route": name, "region": region})
        self._unknown_regions = unknown

    def apply_upstreams(self, documents_by_name: Mapping[str, Document]) -> None:
        """Apply the list of upstreams; those of unknown pools are left out."""
        self._upstreams = documents_by_name
        pools = self.config.pools if self.config is not None else {}
        kind = self._codec.upstream_kind
        parsed = (
            self._parse(kind, each, self._read_upstream) for each in documents_by_name.values()
        )
        now_s = self._clock.monotonic_s()
        store_failed = self._store_failed_recently()
        listed = (each for each in parsed if each is not None and each.pool in pools)
        self.upstreams.apply(now_s, listed, store_failed, self._upstreams_unobserved_s())
        self._log_standings(now_s, store_failed)
        for callback in self.on_upstreams:
            callback()

    def _read_upstream(self, document: Document) -> Upstream:
        """Parse the entry of an upstream; its slots decide which share of the keys it gets."""
        upstream = self._codec.upstream(document)
        spec = self.config.pools.get(upstream.pool) if self.config is not None else None
        limit = spec.max_connections if spec is not None else None
        if limit is not None and upstream.slots > limit:  # a connection carries one request
            raise UnreadableDocumentError(f"{upstream.slots} slots on {limit} connections")
        begins = self.cold.on_entry(self._clock.monotonic_s(), upstream, document.revision)
        if begins and self.warmup_per_s(upstream.pool) > 0.0:
            extra = {
                "upstream": document.name,
                "born": upstream.run.born,
                "for_s": upstream.warmup_left_s,
            }
            _LOG.info("upstream_cold", extra=extra)
        return upstream

    def apply_evacuations(self, documents_by_name: Mapping[str, Document]) -> None:
        """Apply the list of evacuated data centres, which the names of the objects are."""
        now_s = self._clock.monotonic_s()
        not_before_s = float("-inf")
        if self._evacuations_not_before_s is not None:
            not_before_s = self._evacuations_not_before_s()
        self._evacuations_listed = True
        evacuations = self.upstreams.evacuations
        began, ended = evacuations.apply(now_s, documents_by_name, not_before_s)
        for name in began:
            keys_until_s = evacuations.keys_until_s(name) or now_s
            keys_for_s = round(max(0.0, keys_until_s - now_s), 3)
            extra = {"data_centre": name, "keys_for_s": keys_for_s}
            _LOG.warning("evacuation_began", extra=extra)
            if not self.vms.knows_data_centre(name):
                _LOG.warning("evacuation_of_unknown_data_centre", extra={"data_centre": name})
        for name in ended:
            _LOG.warning("evacuation_ended", extra={"data_centre": name})
        if began or ended:
            self._log_standings(now_s, False)
            for callback in self.on_upstreams:
                callback()

    def evacuated_data_centres(self) -> list[str]:
        """Return the data centres whose upstreams get no requests by order."""
        return self.upstreams.evacuations.active

    def apply_vms(self, documents_by_name: Mapping[str, Document]) -> None:
        """Apply the list of entry VMs."""
        listed = [
            self._parse(documents.VM_KIND, each, documents.read_vm)
            for each in sorted(documents_by_name.values(), key=lambda each: each.revision)
        ]
        known: list[EntryVm] = [each for each in listed if each is not None]
        self.vms.apply(known)
        self.on_vms(self._clock.monotonic_s(), known)
        _LOG.info("vms_listed", extra={"vms": len(known), "leaving": sum(v.leaving for v in known)})

    def apply_owners(self, documents_by_name: Mapping[str, Document]) -> None:
        """Apply the owner tables whose revision has changed."""
        for document in documents_by_name.values():
            if self.owners.is_known(document):
                continue
            table = self._parse(documents.OWNER_KIND, document, documents.read_table)
            if table is not None:
                self._put_owner_table(document.revision, table)

    def _put_owner_table(self, revision: int, table: OwnerTable) -> None:
        self.on_owner_table(table.pool, revision)
        if self.owners.put(self._clock.monotonic_s(), table.pool, revision, table):
            _LOG.info(
                "owners_changed",
                extra={
                    "pool": table.pool,
                    "revision": revision,
                    "era": table.era,
                    "term": table.term,
                    "fence": table.last_fence,
                    "ranges": len(table.ranges),
                    "moving": sum(not each.serving for each in table.ranges),
                },
            )

    def _parse(self, kind: str, document: Document, parse: Callable[[Document], T]) -> T | None:
        """Parse a document; return None if it is unreadable, and log that once per revision."""
        try:
            return parse(document)
        except UnreadableDocumentError as error:
            reason = str(error)
        except Exception as error:
            # An error that a parser does not expect must not hide the other documents either.
            reason = f"{type(error).__name__}: {error}"
        key = (kind, document.name)
        if self._unreadable.get(key) != document.revision:
            self._unreadable[key] = document.revision
            _LOG.warning(
                "document_unreadable",
                extra={"kind": kind, "document": document.name, "error": reason},
            )
        return None

    def _log_standings(self, now_s: float, store_failed: bool) -> None:
        standings: dict[UpstreamRun, str] = {}
        for upstream in self.upstreams:
            run = upstream.run
            standing = self.upstreams.standing(now_s, run.upstream_id).name.lower()
            standings[run] = standing
            if self._standings.get(run) != standing:
                fields: dict[str, Any] = {
                    "upstream": run.upstream_id,
                    "pool": upstream.pool,
                    "born": run.born,
                    "standing": standing,
                    "draining": upstream.draining,
                    "store_disturbed": store_failed,
                }
                _LOG.info("upstream_standing", extra=fields)
        for run in self._standings.keys() - standings.keys():
            _LOG.info("upstream_forgotten", extra={"upstream": run.upstream_id, "born": run.born})
        self._standings = standings
