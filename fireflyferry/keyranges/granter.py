"""Grants of key ranges by the VM that holds the lease: what to write, grant and release, and when.

The owner table is written before any call depends on it. A range is granted to its owner only
after each earlier holder has released it, or its grants have expired, or its process has ended.
"""

from collections.abc import Iterable, Iterator

import attrs

from fireflyferry.keyranges.division import Move
from fireflyferry.keyranges.orders import (
    GrantAnswer,
    GrantCall,
    GrantTiming,
    ListedRun,
    ReleaseCall,
    SaveTable,
)
from fireflyferry.keyranges.table import OwnedRange, OwnerTable, UpstreamRun

__all__ = ["RangeGranter"]


_KeyRange = tuple[int, int]


@attrs.define
class _Grant:
    """Grant of one range to its owner in the current term.

    `refused` means that the owner has seen a higher fence.
    """

    fence: int
    acknowledged: bool = False
    call_in_flight: bool = False
    refused: bool = False
    next_call_s: float = 0.0


@attrs.define
class _Release:
    """Release of one range by an earlier holder.

    `grant_expiry_s` is None while grant calls to the holder are in flight.
    """

    grant_expiry_s: float | None
    done: bool = False
    call_in_flight: bool = False
    next_call_s: float = 0.0
    refused_connections: int = 0


class RangeGranter:
    """Grants the ranges of one pool during one term.

    Times are in seconds on a clock that also counts time in suspension. An earlier granting VM may
    have sent grants until `began_s`.
    """

    def __init__(self, pool: str, timing: GrantTiming, began_s: float):
        self._pool = pool
        self._timing = timing
        self._began_s = began_s
        self._first_fence_of_term = 0
        self._table: OwnerTable | None = None
        self._revision = 0
        self._is_table_of_this_term = False
        self._save_in_flight: SaveTable | None = None
        self._listed: dict[UpstreamRun, ListedRun] = {}
        self._superseded: frozenset[UpstreamRun] = frozenset()
        self._addresses: dict[UpstreamRun, str] = {}
        self._grants: dict[_KeyRange, _Grant] = {}
        self._releases: dict[tuple[_KeyRange, UpstreamRun], _Release] = {}
        self._sent_grants: set[tuple[UpstreamRun, int]] = set()
        self._grant_calls_in_flight: dict[UpstreamRun, int] = {}
        self._grant_expiry_s: dict[UpstreamRun, float] = {}
        self._handovers: dict[_KeyRange, str] = {}
        self._requested_moves: list[Move] = []

    @property
    def table(self) -> OwnerTable | None:
        """The table as last stored in this term; None before the first write."""
        return self._table if self._is_table_of_this_term else None

    @property
    def is_table_saved(self) -> bool:
        """Whether this term has stored the table and no further write is in flight."""
        return self.table is not None and self._save_in_flight is None

    def on_table_read(self, table: OwnerTable | None, revision: int) -> None:
        """Apply the stored table, read when a term starts or a write failed or got no answer."""
        self._save_in_flight = None
        is_of_this_term = (
            self._is_table_of_this_term and table is not None and table.term == self._table_term()
        )
        self._table, self._revision = table, revision
        if not is_of_this_term:
            self._is_table_of_this_term = False
        self._drop_removed_ranges()

    def on_table_saved(self, revision: int) -> None:
        """Apply the confirmation of the table write in flight."""
        assert self._save_in_flight is not None
        if not self._is_table_of_this_term:
            self._first_fence_of_term = self._save_in_flight.table.last_fence + 1
        self._table, self._revision = self._save_in_flight.table, revision
        self._save_in_flight, self._is_table_of_this_term = None, True
        self._drop_removed_ranges()

    def set_listed(
        self, runs: Iterable[ListedRun], superseded: frozenset[UpstreamRun] = frozenset()
    ) -> None:
        """Replace the incarnations that the store lists; `superseded` ones have ended."""
        self._listed = {each.run: each for each in runs}
        self._superseded = superseded
        self._addresses.update({each.run: each.address for each in self._listed.values()})

    def request_moves(self, moves: Iterable[Move]) -> None:
        """Request changes of owners; earlier requests that were not applied yet are discarded."""
        self._requested_moves = list(moves)

    def tick(self, now_s: float) -> list[SaveTable | GrantCall | ReleaseCall]:
        """Return the writes and calls to make now; must only be called while the lease is held."""
        if self._save_in_flight is None:
            table = self._next_table()
            if table is not None:
                self._save_in_flight = SaveTable(table, self._revision)
                return [self._save_in_flight, *self._calls(now_s)]
        return list(self._calls(now_s))

    def on_grant(self, now_s: float, call: GrantCall, answer: GrantAnswer) -> None:
        """Apply the result of a grant call."""
        timing = self._timing
        self._grant_calls_in_flight[call.run] -= 1
        grant_expiry_s = now_s + timing.max_validity_s
        if answer in (GrantAnswer.ACCEPTED, GrantAnswer.UNKNOWN):
            self._grant_expiry_s[call.run] = max(
                self._grant_expiry_s.get(call.run, 0.0), grant_expiry_s
            )
        self._set_release_expiry(call.run)
        grant = self._grants.get((call.first, call.last))
        if grant is None or grant.fence != call.fence:
            return
        grant.call_in_flight = False
        if answer is GrantAnswer.ACCEPTED:
            grant.acknowledged = True
            grant.next_call_s = now_s + timing.renew_s
            self._handovers.pop((call.first, call.last), None)
        else:
            grant.refused = answer is GrantAnswer.HIGHER_FENCE
            grant.next_call_s = now_s + timing.retry_delay_s

    def on_release(
        self, now_s: float, call: ReleaseCall, answer: GrantAnswer, handover: str = ""
    ) -> None:
        """Apply the result of a release call."""
        release = self._releases.get(((call.first, call.last), call.run))
        if release is None:
            return
        release.call_in_flight = False
        release.next_call_s = now_s + self._timing.retry_delay_s
        if answer is GrantAnswer.ACCEPTED:
            release.done = True
            if handover:
                self._handovers[call.first, call.last] = handover
        elif answer is GrantAnswer.NO_LISTENER:
            release.refused_connections += 1

    def _table_term(self) -> int:
        return self._table.term if self._table is not None else 0

    def _drop_removed_ranges(self) -> None:
        """Drop the state of ranges and fences that are no longer in the table."""
        ranges = self._table.ranges if self._table is not None else ()
        fences = {(each.first, each.last): each.fence for each in ranges}
        awaited_releases = {
            ((owned.first, owned.last), run) for owned in ranges for run in owned.earlier_holders
        }
        self._grants = {
            key_range: grant
            for key_range, grant in self._grants.items()
            if fences.get(key_range) == grant.fence
        }
        self._releases = {
            key: each for key, each in self._releases.items() if key in awaited_releases
        }
        self._handovers = {
            key_range: each for key_range, each in self._handovers.items() if key_range in fences
        }

    # Table

    def _next_table(self) -> OwnerTable | None:
        """Return the table to write, or None if the stored one is up to date."""
        table = self._table
        if table is None:
            return self._first_table()
        if not self._is_table_of_this_term:
            return attrs.evolve(table, term=table.term + 1)
        changes = _TableChanges(table.last_fence)
        for each in table.ranges:
            changes.ranges.extend(self._next_ranges(each, changes))
        self._requested_moves = []
        if not changes.has_changes:
            return None
        return table.with_ranges(changes.ranges, changes.last_fence)

    def _first_table(self) -> OwnerTable | None:
        moves, self._requested_moves = self._requested_moves, []
        if not moves:
            return None
        ranges = tuple(OwnedRange(m.first, m.last, m.new_owner, 1) for m in moves)
        table = OwnerTable(self._pool, 1, 1, ranges)
        return table if table.is_complete() else None

    def _next_ranges(self, owned: OwnedRange, changes: "_TableChanges") -> Iterator[OwnedRange]:
        """Return the ranges that replace one range in the next table."""
        moves = [
            m for m in self._requested_moves if owned.first <= m.first and m.last <= owned.last
        ]
        if moves and (owned.serving or not self._is_accepting(owned.owner)):
            yield from self._split_by_moves(owned, moves, changes)
            return
        grant = self._grants.get((owned.first, owned.last))
        if grant is not None and grant.refused:
            changes.has_changes = True
            yield attrs.evolve(owned, fence=changes.next_fence(), serving=False)
        elif not owned.serving and grant is not None and grant.acknowledged:
            changes.has_changes = True
            yield attrs.evolve(owned, earlier_holders=(), serving=True)
        else:
            yield owned

    def _split_by_moves(
        self, owned: OwnedRange, moves: list[Move], changes: "_TableChanges"
    ) -> Iterator[OwnedRange]:
        """Split a range into the parts that move and the parts that stay."""
        next_first = owned.first
        for move in sorted(moves, key=lambda m: m.first):
            if move.first < next_first or (move.new_owner == owned.owner and owned.serving):
                continue
            if move.first > next_first:
                yield self._remaining_part(owned, next_first, move.first - 1)
            changes.has_changes = True
            yield self._moved_part(owned, move, changes.next_fence())
            next_first = move.last + 1
        if next_first <= owned.last:
            yield self._remaining_part(owned, next_first, owned.last)

    def _remaining_part(self, owned: OwnedRange, first: int, last: int) -> OwnedRange:
        """Return a part that keeps its owner; its grant is renewed separately from now on."""
        grant = self._grants.get((owned.first, owned.last))
        if grant is not None and (first, last) != (owned.first, owned.last):
            self._grants[first, last] = _Grant(owned.fence, grant.acknowledged)
        return attrs.evolve(owned, first=first, last=last)

    def _moved_part(self, owned: OwnedRange, move: Move, fence: int) -> OwnedRange:
        key_range = (move.first, move.last)
        earlier_holders = []
        for run in dict.fromkeys((*owned.earlier_holders, owned.owner)):
            release = self._releases.get(((owned.first, owned.last), run))
            if (
                run == move.new_owner
                or self._has_ended(run)
                or (release is not None and release.done)
            ):
                continue
            if run == owned.owner and self._never_granted(owned):
                continue
            earlier_holders.append(run)
            grant_expiry_s = (
                release.grant_expiry_s if release is not None else self._last_grant_expiry_s(run)
            )
            self._releases[key_range, run] = _Release(grant_expiry_s)
        return OwnedRange(move.first, move.last, move.new_owner, fence, tuple(earlier_holders))

    def _never_granted(self, owned: OwnedRange) -> bool:
        """Return whether a range got its fence in this term and was never granted to its owner."""
        is_of_this_term = owned.fence >= self._first_fence_of_term
        return is_of_this_term and (owned.owner, owned.fence) not in self._sent_grants

    # Calls

    def _calls(self, now_s: float) -> Iterator[GrantCall | ReleaseCall]:
        if self._table is None or not self._is_table_of_this_term:
            return
        for each in self._table.ranges:
            cleared = True
            for run in each.earlier_holders:
                if not self._is_cleared(now_s, each, run):
                    cleared = False
                    yield from self._release(now_s, each, run)
            if cleared:
                yield from self._grant(now_s, each)

    def _is_cleared(self, now_s: float, owned: OwnedRange, run: UpstreamRun) -> bool:
        """Return whether an earlier holder can no longer hold a range."""
        key_range = (owned.first, owned.last)
        release = self._releases.get((key_range, run))
        if release is None:
            # The VM that granted before may have sent grants until this term began.
            release = self._releases[key_range, run] = _Release(self._last_grant_expiry_s(run))
        if release.done or self._has_ended(run):
            return True
        # Refused connections prove the end of an unlisted incarnation only; the port of a listed
        # one may refuse for a moment.
        if run not in self._listed and release.refused_connections >= 2:
            return True
        return release.grant_expiry_s is not None and now_s >= release.grant_expiry_s

    def _has_ended(self, run: UpstreamRun) -> bool:
        """Return whether an incarnation ended because a newer one has its id or its address."""
        return run in self._superseded or any(
            other.upstream_id == run.upstream_id and other.born > run.born for other in self._listed
        )

    def _is_accepting(self, run: UpstreamRun) -> bool:
        listed = self._listed.get(run)
        return listed is not None and listed.accepting

    def _release(self, now_s: float, owned: OwnedRange, run: UpstreamRun) -> Iterator[ReleaseCall]:
        release = self._releases[(owned.first, owned.last), run]
        address = self._addresses.get(run)
        if (
            address is None
            or release.call_in_flight
            or now_s < release.next_call_s
            or self._grant_calls_in_flight.get(run)
        ):
            return
        release.call_in_flight = True
        yield ReleaseCall(run, address, owned.first, owned.last, owned.fence)

    def _grant(self, now_s: float, owned: OwnedRange) -> Iterator[GrantCall]:
        key_range = (owned.first, owned.last)
        grant = self._grants.setdefault(key_range, _Grant(owned.fence))
        listed = self._listed.get(owned.owner)
        if listed is None or grant.call_in_flight or grant.refused or now_s < grant.next_call_s:
            return
        if self._save_in_flight is not None and owned not in self._save_in_flight.table.ranges:
            return
        if self._release_is_due(now_s, owned.owner):
            return
        grant.call_in_flight = True
        self._sent_grants.add((owned.owner, owned.fence))
        self._grant_calls_in_flight[owned.owner] = (
            self._grant_calls_in_flight.get(owned.owner, 0) + 1
        )
        handover = self._handovers.get(key_range, "")
        yield GrantCall(
            owned.owner, listed.address, *key_range, owned.fence, self._timing.hold_s, handover
        )

    def _release_is_due(self, now_s: float, run: UpstreamRun) -> bool:
        """Return whether a release is due, which another grant call to the upstream would delay."""
        return any(
            holder == run and not (each.done or each.call_in_flight) and now_s >= each.next_call_s
            for (_, holder), each in self._releases.items()
        )

    def _last_grant_expiry_s(self, run: UpstreamRun) -> float | None:
        """Return when all grants to an upstream expire; None while grant calls are in flight."""
        if self._grant_calls_in_flight.get(run):
            return None
        earlier_term_expiry_s = (
            self._began_s + self._timing.call_timeout_s + self._timing.max_validity_s
        )
        return max(earlier_term_expiry_s, self._grant_expiry_s.get(run, 0.0))

    def _set_release_expiry(self, run: UpstreamRun) -> None:
        """Set when the grants to an upstream expire, once no grant call to it is in flight."""
        if self._grant_calls_in_flight.get(run):
            return
        for (_, holder), release in self._releases.items():
            if holder == run and release.grant_expiry_s is None:
                release.grant_expiry_s = self._last_grant_expiry_s(run)


@attrs.define
class _TableChanges:
    """Ranges of the next table."""

    last_fence: int
    has_changes: bool = False
    ranges: list[OwnedRange] = attrs.field(factory=list)

    def next_fence(self) -> int:
        """Return a fence above all earlier ones."""
        self.last_fence += 1
        return self.last_fence
