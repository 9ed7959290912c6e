"""Upstreams that the store lists or listed lately, and whether requests may be sent to them."""

from collections.abc import Iterable, Iterator
from enum import Enum, auto

import attrs

from fireflyferry.keyranges import UpstreamRun

__all__ = ["Standing", "Upstream", "UpstreamDirectory"]


@attrs.frozen
class Upstream:
    """One run of an upstream process as it describes itself.

    `warmup_left_s` is how much longer it is slow after its start.
    """

    run: UpstreamRun
    pool: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    warmup_left_s: float = 0.0


class Standing(Enum):
    """What may be sent to an upstream."""

    READY = auto()  # new work and new keys
    LEAVING = auto()  # requests for keys that it still holds, for a limited time
    GONE = auto()  # nothing


@attrs.define
class _Entry:
    upstream: Upstream
    leaving_since_s: float | None = None
    missing_since_s: float | None = None
    lapsed: bool = False


@attrs.define
class UpstreamDirectory:
    """Standing of each upstream; times in seconds.

    `leaving_grace_s` is how long after it was seen to leave an upstream may still get requests.
    An entry that disappears around a disturbance of the store counts as lapsed: it is ready for
    `lapse_grace_s` longer, since a living upstream writes its entry again.
    """

    leaving_grace_s: float
    lapse_grace_s: float = 1.4  # below the time in which no request may be sent any more
    keep_s: float = 30.0
    _entries: dict[UpstreamRun, _Entry] = attrs.field(factory=dict, init=False)
    _by_id: dict[str, _Entry] = attrs.field(factory=dict, init=False)
    _superseded: frozenset[UpstreamRun] = attrs.field(default=frozenset(), init=False)

    def apply(
        self,
        now_s: float,
        listed: Iterable[Upstream],
        store_disturbed: bool,
        unobserved_s: float = 0.0,
    ) -> None:
        """Replace what the store lists; `store_disturbed` if the store failed lately.

        The store may have listed it so for `unobserved_s`, which counts as time of leaving.
        """
        seen = set()
        changed_s = now_s - unobserved_s
        for upstream in listed:
            seen.add(upstream.run)
            entry = self._entries.get(upstream.run)
            if entry is None:
                entry = self._entries[upstream.run] = _Entry(upstream)
            entry.upstream = upstream
            entry.missing_since_s, entry.lapsed = None, False
            if not upstream.draining:
                entry.leaving_since_s = None
            elif entry.leaving_since_s is None:
                entry.leaving_since_s = changed_s
        for run, entry in self._entries.items():
            if run not in seen and entry.missing_since_s is None:
                entry.missing_since_s = now_s
                entry.lapsed = store_disturbed and entry.leaving_since_s is None
                if entry.leaving_since_s is None:
                    entry.leaving_since_s = now_s if entry.lapsed else changed_s
        self._forget(now_s)

    @property
    def superseded(self) -> frozenset[UpstreamRun]:
        """Runs that have ended, since a newer one has their id or their address."""
        return self._superseded

    def get(self, upstream_id: str) -> Upstream | None:
        """Return the newest run under an id, also if it is leaving or gone."""
        entry = self._by_id.get(upstream_id)
        return entry.upstream if entry is not None else None

    def standing(self, now_s: float, upstream_id: str, born: int | None = None) -> Standing:
        """Return what may be sent to an upstream; a given birth must be that of its newest run."""
        entry = self._by_id.get(upstream_id)
        if entry is None or (born is not None and entry.upstream.run.born != born):
            return Standing.GONE
        return self._standing(now_s, entry)

    def ready(self, now_s: float, pool: str) -> list[Upstream]:
        """Return the upstreams of a pool that get new work."""
        return [
            entry.upstream
            for entry in self._by_id.values()
            if entry.upstream.pool == pool and self._standing(now_s, entry) is Standing.READY
        ]

    def listed(self, now_s: float, pool: str) -> Iterator[tuple[Upstream, bool]]:
        """Return the upstreams of a pool that are listed or lapsed, and whether they are ready."""
        for entry in self._by_id.values():
            if entry.upstream.pool != pool:
                continue
            ready = self._standing(now_s, entry) is Standing.READY
            if entry.missing_since_s is None or ready:
                yield entry.upstream, ready

    def __iter__(self) -> Iterator[Upstream]:
        return (entry.upstream for entry in self._by_id.values())

    def _standing(self, now_s: float, entry: _Entry) -> Standing:
        since_s = entry.leaving_since_s
        if since_s is None:
            return Standing.READY
        if entry.lapsed and now_s < since_s + self.lapse_grace_s:
            return Standing.READY
        return Standing.LEAVING if now_s < since_s + self.leaving_grace_s else Standing.GONE

    def _forget(self, now_s: float) -> None:
        old = [
            run
            for run, entry in self._entries.items()
            if entry.missing_since_s is not None and now_s > entry.missing_since_s + self.keep_s
        ]
        for run in old:
            del self._entries[run]
        newest: dict[str, int] = {}
        for run, entry in self._entries.items():
            for name in (run.upstream_id, entry.upstream.address):
                newest[name] = max(newest.get(name, 0), run.born)
        self._superseded = frozenset(
            run
            for run, entry in self._entries.items()
            if run.born < max(newest[run.upstream_id], newest[entry.upstream.address])
        )
        self._by_id = {
            run.upstream_id: entry
            for run, entry in self._entries.items()
            if run not in self._superseded
        }
