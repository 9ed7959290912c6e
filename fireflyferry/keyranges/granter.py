"""Grants of key ranges by the VM that holds the lease: what to write, grant and release, and when.

The owner table is written before any call depends on it. A range is granted to its owner only
after each earlier holder has released it, or its grants have expired, or its process has ended.
A call reaches the process that has an address, so an address alone never identifies a holder.
"""

from collections.abc import Iterable, Iterator, Mapping

import attrs

from fireflyferry.keyranges.division import Move
from fireflyferry.keyranges.grant_state import Grant, TableChanges, is_replaced_by
from fireflyferry.keyranges.orders import (
    Clearance,
    GrantAnswer,
    GrantCall,
    GrantResult,
    GrantTiming,
    ListedRun,
    ReleaseCall,
    SaveTable,
)
from fireflyferry.keyranges.pending_fences import PendingFences
from fireflyferry.keyranges.releases import AwaitedReleases
from fireflyferry.keyranges.sent_grants import SentGrants
from fireflyferry.keyranges.table import OwnedRange, OwnerTable, UpstreamRun, first_fence_of_era

__all__ = ["RangeGranter"]


_KeyRange = tuple[int, int]


class RangeGranter:
    """Grants the ranges of one pool during one term.

    Times are in seconds on a clock that also counts time in suspension. An earlier granting VM may
    have sent grants until `began_s`, also one of an earlier era of the store. `era` is the store's
    era in which this term began; None if the store reports none.

    A table of an earlier era comes from a copy of the store, which lacks later moves and fences. So
    the first term of an era does not write the table before all grants of earlier eras have
    expired. By then no write of an earlier era, which could replace the table, is in flight either.
    """

    def __init__(self, pool: str, timing: GrantTiming, began_s: float, era: int | None = None):
        self._pool = pool
        self._era = era
        self._timing = timing
        self._first_fence_of_term = 0
        self._table: OwnerTable | None = None
        self._revision = 0
        self._is_table_of_this_term = False
        self._save_in_flight: SaveTable | None = None
        self._listed: dict[UpstreamRun, ListedRun] = {}
        self._addresses: Mapping[str, str] = {}
        self._grants: dict[_KeyRange, Grant] = {}
        self._sent_grants = SentGrants(timing, began_s)
        self._releases = AwaitedReleases(self._sent_grants, timing.retry_delay_s)
        self._pending_fences = PendingFences(timing.reminder_delay_s)
        self._handovers: dict[_KeyRange, str] = {}
        self._requested_moves: list[Move] = []

    @property
    def table(self) -> OwnerTable | None:
        """The table as last stored in this term; None before the first write."""
        return self._table if self._is_table_of_this_term else None

    @property
    def expected_revision(self) -> int | None:
        """Revision of the stored table as known here; None while a write is in flight."""
        return self._revision if self._save_in_flight is None else None

    @property
    def is_table_saved(self) -> bool:
        """Whether this term has stored the table and no further write is in flight."""
        return self.table is not None and self._save_in_flight is None

    def on_table_read(self, table: OwnerTable | None, revision: int) -> None:
        """Apply the stored table, read when a term starts or a write failed or got no answer."""
        self._save_in_flight = None
        is_of_this_term = (
            self._is_table_of_this_term
            and table is not None
            and table.term == self._table_term()
            and table.era == self._era
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

    def set_listed(self, runs: Iterable[ListedRun], addresses: Mapping[str, str]) -> None:
        """Replace the incarnations that the store lists, and the last known address of each id."""
        self._listed = {each.run: each for each in runs}
        self._addresses = addresses

    def has_ended(self, run: UpstreamRun) -> bool:
        """Return whether another upstream is known to have the address of an incarnation."""
        return self._sent_grants.has_ended(run)

    def request_moves(self, moves: Iterable[Move]) -> None:
        """Request changes of owners; earlier requests that were not applied yet are discarded."""
        self._requested_moves = list(moves)

    def tick(self, now_s: float) -> list[SaveTable | GrantCall | ReleaseCall]:
        """Return the writes and calls to make now; must only be called while the lease is held."""
        if self._save_in_flight is None:
            table = self._next_table(now_s)
            if table is not None:
                self._save_in_flight = SaveTable(table, self._revision)
                return [self._save_in_flight, *self._calls(now_s)]
        return list(self._calls(now_s))

    @property
    def unanswered_reminders(self) -> int:
        """Number of releases that earlier holders, whose grants have expired, have to answer."""
        return len(self._pending_fences)

    def on_grant(self, now_s: float, call: GrantCall, result: GrantResult) -> None:
        """Apply the result of a grant call."""
        self._sent_grants.on_result(now_s, call, result)
        self._releases.set_expiry(call.run)
        grant = self._grants.get((call.first, call.last))
        if grant is None or grant.fence != call.fence:
            return
        grant.call_in_flight = False
        if result.answer is GrantAnswer.ACCEPTED:
            grant.acknowledged = True
            grant.next_call_s = now_s + self._timing.renew_s
            self._handovers.pop((call.first, call.last), None)
        else:
            grant.higher_fence_seen = result.answer is GrantAnswer.HIGHER_FENCE
            grant.needs_new_fence = result.answer is GrantAnswer.CONNECTION_TOO_NEW
            grant.next_call_s = now_s + self._timing.retry_delay_s

    def on_release(
        self, now_s: float, call: ReleaseCall, answer: GrantAnswer, handover: str = ""
    ) -> None:
        """Apply the result of a release call."""
        if call.is_reminder:
            self._pending_fences.on_answer(now_s, call, answer)
        elif not self._releases.on_answer(now_s, call, answer):
            return
        elif answer is GrantAnswer.ACCEPTED and handover:
            self._handovers[call.first, call.last] = handover
        if answer is GrantAnswer.OTHER_UPSTREAM:
            self._sent_grants.on_ended(call.run)

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
        self._releases.retain(awaited_releases)
        self._handovers = {
            key_range: each for key_range, each in self._handovers.items() if key_range in fences
        }
        for owned in ranges:
            self._pending_fences.withdraw(owned)

    # Table

    def _next_table(self, now_s: float) -> OwnerTable | None:
        """Return the table to write, or None if the stored one is up to date."""
        table = self._table
        if self._may_have_unknown_holders() and not self._earlier_grants_have_expired(now_s):
            return None
        if table is None:
            return self._first_table()
        changes = TableChanges(max(table.last_fence, first_fence_of_era(self._era) - 1))
        if not self._is_table_of_this_term:
            # The processes that have the fences of the earlier term may have ended.
            changes.ranges = [
                attrs.evolve(each, fence=changes.next_fence())
                for each in table.ranges_in_era(self._era)
            ]
            return attrs.evolve(
                table.with_ranges(changes.ranges, changes.last_fence),
                term=table.term + 1,
                era=self._era,
            )
        for each in table.ranges:
            changes.ranges.extend(self._next_ranges(each, changes))
        self._requested_moves = []
        if not changes.has_changes:
            return None
        return table.with_ranges(changes.ranges, changes.last_fence)

    def _may_have_unknown_holders(self) -> bool:
        """Return whether a copy of the store may lack holders of keys; no era precedes era 0."""
        return self._table.era != self._era if self._table is not None else bool(self._era)

    def _earlier_grants_have_expired(self, now_s: float) -> bool:
        return now_s >= self._sent_grants.earlier_term_expiry_s

    def _first_table(self) -> OwnerTable | None:
        moves, self._requested_moves = self._requested_moves, []
        if not moves:
            return None
        fence = first_fence_of_era(self._era)
        ranges = tuple(OwnedRange(m.first, m.last, m.new_owner, fence) for m in moves)
        table = OwnerTable(self._pool, 1, fence, ranges, self._era)
        return table if table.is_complete() else None

    def _next_ranges(self, owned: OwnedRange, changes: TableChanges) -> Iterator[OwnedRange]:
        """Return the ranges that replace one range in the next table."""
        moves = [
            m for m in self._requested_moves if owned.first <= m.first and m.last <= owned.last
        ]
        if moves and (owned.serving or not self._is_accepting(owned.owner)):
            yield from self._split_by_moves(owned, moves, changes)
            return
        grant = self._grants.get((owned.first, owned.last))
        if grant is not None and (grant.higher_fence_seen or grant.needs_new_fence):
            yield self._with_new_fence(owned, grant, changes)
        elif not owned.serving and grant is not None and grant.acknowledged:
            changes.has_changes = True
            yield attrs.evolve(owned, earlier_holders=(), serving=True)
        else:
            yield owned

    def _with_new_fence(self, owned: OwnedRange, grant: Grant, changes: TableChanges) -> OwnedRange:
        """Return a range that its owner, which may hold it already, gets under a new fence."""
        changes.has_changes = True
        fence = changes.next_fence()
        self._sent_grants.on_new_fence(owned.owner, fence)
        return attrs.evolve(
            owned, fence=fence, serving=owned.serving and not grant.higher_fence_seen
        )

    def _split_by_moves(
        self, owned: OwnedRange, moves: list[Move], changes: TableChanges
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
            self._grants[first, last] = Grant(owned.fence, grant.acknowledged)
        return attrs.evolve(owned, first=first, last=last)

    def _moved_part(self, owned: OwnedRange, move: Move, fence: int) -> OwnedRange:
        key_range = (move.first, move.last)
        earlier_holders = []
        for run in dict.fromkeys((*owned.earlier_holders, owned.owner)):
            release = self._releases.get(owned, run)
            if release is not None and release.done:
                continue
            if is_replaced_by(run, move.new_owner):
                # The next owner may hold the keys by grants that were meant for the earlier one.
                self._sent_grants.on_new_fence(move.new_owner, fence)
                continue
            if run == owned.owner and self._never_granted(owned):
                continue
            earlier_holders.append(run)
            grant_expiry_s = (
                release.grant_expiry_s if release is not None else self._sent_grants.expiry_s(run)
            )
            self._releases.put(key_range, run, grant_expiry_s)
        return OwnedRange(move.first, move.last, move.new_owner, fence, tuple(earlier_holders))

    def _never_granted(self, owned: OwnedRange) -> bool:
        """Return whether a range got its fence in this term and was never granted to its owner."""
        is_of_this_term = owned.fence >= self._first_fence_of_term
        return is_of_this_term and not self._sent_grants.may_hold(owned.owner, owned.fence)

    # Calls

    def _calls(self, now_s: float) -> Iterator[GrantCall | ReleaseCall]:
        if self._table is None or not self._is_table_of_this_term:
            return
        for each in self._table.ranges:
            cleared = []
            for run in each.earlier_holders:
                clearance = self._clearance(now_s, each, run)
                if clearance is None:
                    yield from self._release(now_s, each, run)
                else:
                    cleared.append((run, clearance))
            if len(cleared) == len(each.earlier_holders):
                yield from self._grant(now_s, each, tuple(cleared))
        yield from self._pending_fences.calls(now_s, self._addresses)

    def _clearance(self, now_s: float, owned: OwnedRange, run: UpstreamRun) -> Clearance | None:
        """Return why an earlier holder can no longer hold a range; None if it may hold it."""
        # A later incarnation is not an end in itself: it may have taken grants that were meant for
        # the earlier one, and holds them unless it is the next owner.
        if is_replaced_by(run, owned.owner):
            return Clearance.RESTARTED
        if self.has_ended(run):
            return Clearance.ENDED
        release = self._releases.get_or_add(owned, run)
        if release.done:
            return Clearance.RELEASED
        if release.has_expired(now_s):
            return Clearance.EXPIRED
        return None

    def _is_accepting(self, run: UpstreamRun) -> bool:
        listed = self._listed.get(run)
        return listed is not None and listed.accepting and not self.has_ended(run)

    def _release(self, now_s: float, owned: OwnedRange, run: UpstreamRun) -> Iterator[ReleaseCall]:
        release = self._releases.get_or_add(owned, run)
        address = self._addresses.get(run.upstream_id)
        if (
            address is None
            or release.call_in_flight
            or now_s < release.next_call_s
            or self._sent_grants.in_flight(run)
        ):
            return
        release.call_in_flight, release.called_fence = True, owned.fence
        yield ReleaseCall(run, address, owned.first, owned.last, owned.fence)

    def _grant(
        self, now_s: float, owned: OwnedRange, cleared: tuple[tuple[UpstreamRun, Clearance], ...]
    ) -> Iterator[GrantCall]:
        key_range = (owned.first, owned.last)
        grant = self._grants.setdefault(key_range, Grant(owned.fence))
        if not self._may_grant(now_s, owned, grant):
            return
        grant.call_in_flight = True
        for run, clearance in cleared:
            if clearance is Clearance.EXPIRED:
                self._pending_fences.add(run, owned)
        call = GrantCall(
            owned.owner,
            self._listed[owned.owner].address,
            *key_range,
            owned.fence,
            self._timing.hold_s,
            self._handovers.get(key_range, ""),
            self._sent_grants.max_connection(owned.owner, owned.fence),
            cleared,
        )
        self._sent_grants.on_sent(call)
        yield call

    def _may_grant(self, now_s: float, owned: OwnedRange, grant: Grant) -> bool:
        if owned.owner not in self._listed or self.has_ended(owned.owner):
            return False
        if grant.call_in_flight or grant.higher_fence_seen or grant.needs_new_fence:
            return False
        if self._save_in_flight is not None and owned not in self._save_in_flight.table.ranges:
            return False
        return (
            now_s >= grant.next_call_s
            and self._sent_grants.may_send(owned.owner, owned.fence)
            and not self._releases.is_due(now_s, owned.owner)
            and not self._pending_fences.blocks(owned)
        )
