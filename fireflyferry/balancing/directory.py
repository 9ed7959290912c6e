"""Upstreams that the store lists or recently listed, and whether they may get requests."""

from collections.abc import Iterable, Iterator, Mapping
from enum import Enum, auto

import attrs

from fireflyferry.balancing.evacuations import Evacuations
from fireflyferry.keyranges import UpstreamRun

__all__ = ["Standing", "Upstream", "UpstreamDirectory"]


@attrs.frozen
class Upstream:
    """One incarnation of an upstream process, as its entry in the store describes it.

    `slots` is the number of requests that it runs at once. With `draining` set, it is leaving and
    gets no new keys. `warmup_left_s` is the rest of its warm-up in seconds, during which it is
    slower than usual.
    """

    run: UpstreamRun
    pool: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    warmup_left_s: float = 0.0


class Standing(Enum):
    """Routing state of an upstream: what may be sent to it."""

    READY = auto()  # new requests and new keys
    LEAVING = auto()  # requests for keys that it still holds, for a limited time
    GONE = auto()  # nothing


@attrs.define
class _Entry:
    upstream: Upstream
    leaving_since_s: float | None = None
    missing_since_s: float | None = None
    is_lapsed: bool = False

    @property
    def rank(self) -> tuple[bool, int]:
        """Rank among the entries with one address; the process of the highest one is there.

        Upstreams write `born` by the clocks of their own hosts, so listed entries come first.
        """
        return self.missing_since_s is None, self.upstream.run.born


@attrs.define
class UpstreamDirectory:
    """Standing of each upstream; times in seconds.

    An upstream that leaves may still get requests for `leaving_grace_s`. An entry that disappears
    during or soon after failures of the store counts as lapsed: its upstream stays ready for
    `lapse_grace_s`, since a live upstream writes its entry again. An entry is dropped when it has
    been missing for `retention_s`, and the mark of an incarnation without an entry after
    `mark_retention_s`. Upstreams of an evacuated data centre count as leaving, and as gone once
    `evacuations` lets them get no more requests for keys.
    """

    leaving_grace_s: float
    lapse_grace_s: float = 1.4  # less than `leaving_grace_s`, after which no request may be sent
    retention_s: float = 30.0
    mark_retention_s: float = 600.0
    evacuations: Evacuations = attrs.field(factory=Evacuations)
    _entries: dict[UpstreamRun, _Entry] = attrs.field(factory=dict, init=False)
    _marked_since_s: dict[UpstreamRun, float] = attrs.field(factory=dict, init=False)
    _by_id: dict[str, _Entry] = attrs.field(factory=dict, init=False)
    _addresses: Mapping[str, str] = attrs.field(factory=dict, init=False)

    def apply(
        self,
        now_s: float,
        listed: Iterable[Upstream],
        store_disturbed: bool,
        unobserved_s: float = 0.0,
    ) -> None:
        """Apply what the store lists now; `store_disturbed` if calls to the store failed recently.

        A change may have happened up to `unobserved_s` seconds ago, so an upstream counts as
        leaving since then.
        """
        listed_runs = set()
        changed_s = now_s - unobserved_s
        for upstream in listed:
            listed_runs.add(upstream.run)
            entry = self._entries.get(upstream.run)
            if entry is None:
                entry = self._entries[upstream.run] = _Entry(upstream)
            entry.upstream = upstream
            entry.missing_since_s, entry.is_lapsed = None, False
            if not upstream.draining:
                entry.leaving_since_s = None
            elif entry.leaving_since_s is None:
                entry.leaving_since_s = changed_s
        for run, entry in self._entries.items():
            if run not in listed_runs and entry.missing_since_s is None:
                entry.missing_since_s = now_s
                entry.is_lapsed = store_disturbed and entry.leaving_since_s is None
                if entry.leaving_since_s is None:
                    entry.leaving_since_s = now_s if entry.is_lapsed else changed_s
        self._remove_expired(now_s)

    def mark_leaving(self, now_s: float, run: UpstreamRun) -> bool:
        """Mark an incarnation as leaving, whatever the store lists; return whether that is new."""
        if run in self._marked_since_s:
            return False
        self._marked_since_s[run] = now_s
        return True

    @property
    def addresses(self) -> Mapping[str, str]:
        """Last known address of each id, also of upstreams that are gone."""
        return self._addresses

    def get(self, upstream_id: str) -> Upstream | None:
        """Return the newest incarnation under an id, even if it is leaving or gone."""
        entry = self._by_id.get(upstream_id)
        return entry.upstream if entry is not None else None

    def standing(self, now_s: float, upstream_id: str, born: int | None = None) -> Standing:
        """Return the standing of an upstream; GONE if `born` is not the newest of its id."""
        entry = self._by_id.get(upstream_id)
        if entry is None or (born is not None and entry.upstream.run.born != born):
            return Standing.GONE
        return self._standing(now_s, entry)

    def ready(self, now_s: float, pool: str) -> list[Upstream]:
        """Return the upstreams of a pool that may get new requests."""
        return [
            entry.upstream
            for entry in self._by_id.values()
            if entry.upstream.pool == pool and self._standing(now_s, entry) is Standing.READY
        ]

    def has_evacuated(self, pool: str) -> bool:
        """Return whether an upstream of a pool may get no requests because of an evacuation."""
        return any(
            entry.upstream.pool == pool
            and self.evacuations.is_evacuated(entry.upstream.data_centre)
            for entry in self._by_id.values()
        )

    def listed(self, now_s: float, pool: str) -> Iterator[tuple[Upstream, bool]]:
        """Yield upstreams of a pool that are listed, or lapsed but ready, and if each is ready.

        Those that are gone by an evacuation are left out, so that they get no grants either.
        """
        for entry in self._by_id.values():
            if entry.upstream.pool != pool:
                continue
            if self.evacuations.refuses_keys(now_s, entry.upstream.data_centre):
                continue
            ready = self._standing(now_s, entry) is Standing.READY
            if entry.missing_since_s is None or ready:
                yield entry.upstream, ready

    def __iter__(self) -> Iterator[Upstream]:
        return (entry.upstream for entry in self._by_id.values())

    def _standing(self, now_s: float, entry: _Entry) -> Standing:
        standing = self._listed_standing(now_s, entry)
        data_centre = entry.upstream.data_centre
        if standing is Standing.GONE or self.evacuations.refuses_keys(now_s, data_centre):
            return Standing.GONE
        return Standing.LEAVING if self.evacuations.is_evacuated(data_centre) else standing

    def _listed_standing(self, now_s: float, entry: _Entry) -> Standing:
        marked_since_s = self._marked_since_s.get(entry.upstream.run)
        since_s = entry.leaving_since_s
        if marked_since_s is not None:
            since_s = marked_since_s if since_s is None else min(since_s, marked_since_s)
        if since_s is None:
            return Standing.READY
        is_lapsed = entry.is_lapsed and marked_since_s is None
        if is_lapsed and now_s < since_s + self.lapse_grace_s:
            return Standing.READY
        return Standing.LEAVING if now_s < since_s + self.leaving_grace_s else Standing.GONE

    def _remove_expired(self, now_s: float) -> None:
        expired = [
            run
            for run, entry in self._entries.items()
            if entry.missing_since_s is not None
            and now_s > entry.missing_since_s + self.retention_s
        ]
        for run in expired:
            del self._entries[run]
        self._marked_since_s = {
            run: since_s
            for run, since_s in self._marked_since_s.items()
            if run in self._entries or now_s <= since_s + self.mark_retention_s
        }
        by_start = sorted(self._entries.values(), key=lambda entry: entry.upstream.run.born)
        newest = {entry.upstream.run.upstream_id: entry for entry in by_start}
        self._addresses = {name: entry.upstream.address for name, entry in newest.items()}
        highest_ranks: dict[str, tuple[bool, int]] = {}
        for entry in newest.values():
            address = entry.upstream.address
            highest_ranks[address] = max(highest_ranks.get(address, entry.rank), entry.rank)
        self._by_id = {
            name: entry
            for name, entry in newest.items()
            if entry.rank == highest_ranks[entry.upstream.address]
        }
