"""Synchronisation of the store's documents to this VM, from the store or from a relay."""

from collections.abc import Awaitable, Callable, Coroutine, Iterator, Mapping
from typing import Any

import attrs

from fireflyferry.balancing import EntryVm
from fireflyferry.balancing.evacuations import SEND_MARGIN_S
from fireflyferry.edges import Clock
from fireflyferry.gateway import documents
from fireflyferry.gateway.edges import Document, MetadataStore, PlatformCodec, StoreCallError
from fireflyferry.gateway.eras import StoreEras
from fireflyferry.gateway.feed import Feed, FeedAnswer, FeedRequest
from fireflyferry.gateway.mirror import DocumentMirror
from fireflyferry.gateway.state import GatewayState
from fireflyferry.gateway.watching import (
    KindPoller,
    KindSource,
    KindWatcher,
    StoreHealth,
    make_watch_rules,
)

__all__ = ["DocumentSync"]

# Pauses after a change, until the next watch.
CONFIG_GAP_S = 0.05
UPSTREAM_GAP_S = 0.5
# The granting VM also sends owner tables to the other VMs, and a request that reached a wrong owner
# triggers an exact list at once, so that polling is only a fallback.
OWNER_POLL_S = 2.5
VM_POLL_S = 2.0
EVACUATION_GAP_S = 0.05
# Until a follower whose relay is lost has the data of another one or of the store.
RELAY_DELAY_S = 1.4


class DocumentSync:
    """Mirror of the store's documents, with the sources and the feed that keep it current."""

    def __init__(
        self,
        clock: Clock,
        store: MetadataStore,
        health: StoreHealth,
        codec: PlatformCodec,
        state: GatewayState,
        on_lease: Callable[[Mapping[str, Document]], None],
        poll_relay: Callable[[EntryVm, FeedRequest, float], Awaitable[FeedAnswer | None]],
        settle_window_s: float,
        eras: StoreEras | None = None,
        evacuate_s: float | None = None,
    ):
        self._store = store
        self._health = health
        self.mirror = mirror = DocumentMirror(
            {
                codec.config_kind: state.apply_config,
                codec.upstream_kind: state.apply_upstreams,
                documents.OWNER_KIND: state.apply_owners,
                documents.VM_KIND: state.apply_vms,
                documents.LEASE_KIND: on_lease,
                codec.evacuation_kind: state.apply_evacuations,
            },
            {documents.OWNER_KIND: documents.written_era},
        )

        common = (store, health, clock, mirror)
        owners = KindPoller(*common, documents.OWNER_KIND, OWNER_POLL_S)
        config_rules = make_watch_rules(settle_window_s, CONFIG_GAP_S)
        upstream_rules = make_watch_rules(settle_window_s, UPSTREAM_GAP_S)
        sources: tuple[KindSource, ...] = (
            KindWatcher(*common, codec.config_kind, config_rules),
            KindWatcher(*common, codec.upstream_kind, upstream_rules),
            owners,
            KindPoller(*common, documents.VM_KIND, VM_POLL_S),
        )
        required = [codec.config_kind, codec.upstream_kind, documents.OWNER_KIND]
        if evacuate_s is not None:
            bound_s = evacuate_s - RELAY_DELAY_S - SEND_MARGIN_S
            rules = make_watch_rules(bound_s, EVACUATION_GAP_S)
            # An order that the copy of a restored store lacks stays in force until it is rewritten.
            evacuation_rules = attrs.evolve(rules, keep_s=settle_window_s)
            sources += (KindWatcher(*common, codec.evacuation_kind, evacuation_rules),)
            required.append(codec.evacuation_kind)
        self._sources = {source.kind: source for source in sources}
        state.on_outdated_owners = owners.request_exact_list
        self.feed = Feed(
            clock,
            mirror,
            health,
            state.vms,
            sources,
            documents.VM_KIND,
            required,
            poll_relay,
            self._probe,
            eras=eras,
            evacuation_kind=codec.evacuation_kind,
        )

    def begin_era(self, era: int) -> None:
        """List everything again, since the store came back from a copy."""
        # Reported first: it decides how upstreams that are missing in the new lists are treated.
        # A process that has just started knows nothing that may be missing.
        if self.mirror.sequence:
            self._health.on_restored()
        self.mirror.begin_era(era)
        for source in self._sources.values():
            if isinstance(source, KindPoller) and source.running:
                source.request_exact_list()

    def background_work(self) -> Iterator[Callable[[], Coroutine[Any, Any, None]]]:
        """Yield the coroutine functions that have to run in the background."""
        yield self.feed.run
        for source in self._sources.values():
            yield source.run

    def age_s(self, kind: str) -> float:
        """Return the age of this VM's data of a kind, in seconds.

        It is the time since the store last confirmed the kind to this VM or to its relay.
        """
        source = self._sources[kind]
        return source.age_s if source.running else self.feed.age_s

    def put_owner_table(self, document: Document) -> None:
        """Add an owner table that the granting VM sent."""
        self.mirror.put(documents.OWNER_KIND, document)

    async def _probe(self) -> bool:
        """Return whether the store responds to its cheapest call, a stale read.

        A connection that fell silent together with those of the relay would delay what this VM
        learns by the time limit of a call, on top of the time after which it leaves the relay.
        """
        lease = documents.LEASE_KIND, documents.LEASE_NAME
        try:
            await self._store.read(*lease, stale=True, fresh=True)
        except StoreCallError as error:
            self._health.on_failure(error)
            return False
        self._health.on_success()
        return True
