"""Grants of key ranges by the VM that holds the lease: what to write, grant and release, and when.

The table is written before any call depends on it. A range is granted to its owner only after
every earlier holder has released it, has let its grants run out, or is known to be gone.
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


_Part = tuple[int, int]


@attrs.define
class _Grant:
    """Grant of one range to its owner in the current term."""

    fence: int
    acknowledged: bool = False
    busy: bool = False
    refused: bool = False
    next_s: float = 0.0


@attrs.define
class _Release:
    """Return of one range by an earlier holder; `runs_out_s` is None while calls are in flight."""

    runs_out_s: float | None
    done: bool = False
    busy: bool = False
    next_s: float = 0.0
    no_listener: int = 0


class RangeGranter:
    """Grants the ranges of one pool during one term; time is a clock that counts suspension.

    An earlier granting VM may have sent grants until `began_s`.
    """

    def __init__(self, pool: str, timing: GrantTiming, began_s: float):
        self._pool = pool
        self._timing = timing
        self._began_s = began_s
        self._first_own_fence = 0
        self._table: OwnerTable | None = None
        self._revision = 0
        self._adopted = False
        self._saving: SaveTable | None = None
        self._listed: dict[UpstreamRun, ListedRun] = {}
        self._superseded: frozenset[UpstreamRun] = frozenset()
        self._addresses: dict[UpstreamRun, str] = {}
        self._grants: dict[_Part, _Grant] = {}
        self._releases: dict[tuple[_Part, UpstreamRun], _Release] = {}
        self._sent: set[tuple[UpstreamRun, int]] = set()
        self._in_flight: dict[UpstreamRun, int] = {}
        self._runs_out_s: dict[UpstreamRun, float] = {}
        self._handovers: dict[_Part, str] = {}
        self._moves: list[Move] = []

    @property
    def table(self) -> OwnerTable | None:
        """The table as last stored; None before the first."""
        return self._table if self._adopted else None

    @property
    def is_table_saved(self) -> bool:
        """Whether nothing waits to be written, so that a plan builds on the stored table."""
        return self.table is not None and self._saving is None

    def on_table_read(self, table: OwnerTable | None, revision: int) -> None:
        """Take the stored table, read at the start of a term, after a conflict or a lost answer."""
        self._saving = None
        mine = self._adopted and table is not None and table.term == self._table_term()
        self._table, self._revision = table, revision
        if not mine:
            self._adopted = False
        self._forget_other_ranges()

    def on_table_saved(self, revision: int) -> None:
        """Note that the table in flight was written."""
        assert self._saving is not None
        if not self._adopted:
            self._first_own_fence = self._saving.table.last_fence + 1
        self._table, self._revision = self._saving.table, revision
        self._saving, self._adopted = None, True
        self._forget_other_ranges()

    def set_listed(
        self, runs: Iterable[ListedRun], superseded: frozenset[UpstreamRun] = frozenset()
    ) -> None:
        """Replace what the store lists; `superseded` runs have a successor, so they are gone."""
        self._listed = {each.run: each for each in runs}
        self._superseded = superseded
        self._addresses.update({each.run: each.address for each in self._listed.values()})

    def request_moves(self, moves: Iterable[Move]) -> None:
        """Ask for owners to change; replaces earlier wishes that were not begun."""
        self._moves = list(moves)

    def tick(self, now_s: float) -> list[SaveTable | GrantCall | ReleaseCall]:
        """Return what to write and call now; to be called only while the lease is held."""
        if self._saving is None:
            table = self._next_table()
            if table is not None:
                self._saving = SaveTable(table, self._revision)
                return [self._saving, *self._calls(now_s)]
        return list(self._calls(now_s))

    def on_grant(self, now_s: float, call: GrantCall, answer: GrantAnswer) -> None:
        """Take the end of a grant call."""
        timing = self._timing
        self._in_flight[call.run] -= 1
        runs_out_s = now_s + timing.runs_out_s
        if answer in (GrantAnswer.ACCEPTED, GrantAnswer.UNKNOWN):
            self._runs_out_s[call.run] = max(self._runs_out_s.get(call.run, 0.0), runs_out_s)
        self._settle_releases(call.run)
        grant = self._grants.get((call.first, call.last))
        if grant is None or grant.fence != call.fence:
            return
        grant.busy = False
        if answer is GrantAnswer.ACCEPTED:
            grant.acknowledged = True
            grant.next_s = now_s + timing.renew_s
            self._handovers.pop((call.first, call.last), None)
        else:
            grant.refused = answer is GrantAnswer.HIGHER_FENCE
            grant.next_s = now_s + timing.retry_delay_s

    def on_release(
        self, now_s: float, call: ReleaseCall, answer: GrantAnswer, handover: str = ""
    ) -> None:
        """Take the end of a release call."""
        release = self._releases.get(((call.first, call.last), call.run))
        if release is None:
            return
        release.busy = False
        release.next_s = now_s + self._timing.retry_delay_s
        if answer is GrantAnswer.ACCEPTED:
            release.done = True
            if handover:
                self._handovers[call.first, call.last] = handover
        elif answer is GrantAnswer.NO_LISTENER:
            release.no_listener += 1

    def _table_term(self) -> int:
        return self._table.term if self._table is not None else 0

    def _forget_other_ranges(self) -> None:
        """Drop the state of ranges that are no longer in the table."""
        ranges = self._table.ranges if self._table is not None else ()
        fences = {(each.first, each.last): each.fence for each in ranges}
        earlier = {((e.first, e.last), run) for e in ranges for run in e.earlier_holders}
        self._grants = {
            part: grant for part, grant in self._grants.items() if fences.get(part) == grant.fence
        }
        self._releases = {key: each for key, each in self._releases.items() if key in earlier}
        self._handovers = {part: each for part, each in self._handovers.items() if part in fences}

    # Table

    def _next_table(self) -> OwnerTable | None:
        """Return the table to write, or None if the stored one is right."""
        table = self._table
        if table is None:
            return self._first_table()
        if not self._adopted:
            return attrs.evolve(table, term=table.term + 1)
        changes = _Changes(table.last_fence)
        for each in table.ranges:
            changes.ranges.extend(self._changed(each, changes))
        self._moves = []
        if not changes.made:
            return None
        return table.with_ranges(changes.ranges, changes.last_fence)

    def _first_table(self) -> OwnerTable | None:
        moves, self._moves = self._moves, []
        if not moves:
            return None
        ranges = tuple(OwnedRange(m.first, m.last, m.to, 1) for m in moves)
        table = OwnerTable(self._pool, 1, 1, ranges)
        return table if table.is_complete() else None

    def _changed(self, each: OwnedRange, changes: "_Changes") -> Iterator[OwnedRange]:
        """Return what becomes of one range."""
        moves = [m for m in self._moves if each.first <= m.first and m.last <= each.last]
        if moves and (each.serving or not self._accepts(each.owner)):
            yield from self._divided(each, moves, changes)
            return
        grant = self._grants.get((each.first, each.last))
        if grant is not None and grant.refused:
            changes.made = True
            yield attrs.evolve(each, fence=changes.next_fence(), serving=False)
        elif not each.serving and grant is not None and grant.acknowledged:
            changes.made = True
            yield attrs.evolve(each, earlier_holders=(), serving=True)
        else:
            yield each

    def _divided(
        self, each: OwnedRange, moves: list[Move], changes: "_Changes"
    ) -> Iterator[OwnedRange]:
        """Cut the moved parts out of a range."""
        following = each.first
        for move in sorted(moves, key=lambda m: m.first):
            if move.first < following or (move.to == each.owner and each.serving):
                continue
            if move.first > following:
                yield self._part(each, following, move.first - 1)
            changes.made = True
            yield self._moved(each, move, changes.next_fence())
            following = move.last + 1
        if following <= each.last:
            yield self._part(each, following, each.last)

    def _part(self, each: OwnedRange, first: int, last: int) -> OwnedRange:
        """Return a part that keeps its owner; its grant is renewed under its own bounds."""
        grant = self._grants.get((each.first, each.last))
        if grant is not None and (first, last) != (each.first, each.last):
            self._grants[first, last] = _Grant(each.fence, grant.acknowledged)
        return attrs.evolve(each, first=first, last=last)

    def _moved(self, each: OwnedRange, move: Move, fence: int) -> OwnedRange:
        part = (move.first, move.last)
        earlier = []
        for run in dict.fromkeys((*each.earlier_holders, each.owner)):
            known = self._releases.get(((each.first, each.last), run))
            if run == move.to or self._is_gone(run) or (known is not None and known.done):
                continue
            if run == each.owner and self._never_granted(each):
                continue
            earlier.append(run)
            runs_out_s = known.runs_out_s if known is not None else self._grants_end_s(run)
            self._releases[part, run] = _Release(runs_out_s)
        return OwnedRange(move.first, move.last, move.to, fence, tuple(earlier))

    def _never_granted(self, each: OwnedRange) -> bool:
        """Tell whether a range of this term has not been granted to its owner yet."""
        own = each.fence >= self._first_own_fence
        return own and (each.owner, each.fence) not in self._sent

    # Calls

    def _calls(self, now_s: float) -> Iterator[GrantCall | ReleaseCall]:
        if self._table is None or not self._adopted:
            return
        for each in self._table.ranges:
            cleared = True
            for run in each.earlier_holders:
                if not self._is_cleared(now_s, each, run):
                    cleared = False
                    yield from self._release(now_s, each, run)
            if cleared:
                yield from self._grant(now_s, each)

    def _is_cleared(self, now_s: float, each: OwnedRange, run: UpstreamRun) -> bool:
        """Tell whether an earlier holder cannot hold a range any more."""
        part = (each.first, each.last)
        release = self._releases.get((part, run))
        if release is None:
            # Written by an earlier granting VM, which may have sent grants until this term began.
            release = self._releases[part, run] = _Release(self._grants_end_s(run))
        if release.done or self._is_gone(run):
            return True
        # A listed run may be restarting at this moment; only the store says that it is gone.
        if run not in self._listed and release.no_listener >= 2:
            return True
        return release.runs_out_s is not None and now_s >= release.runs_out_s

    def _is_gone(self, run: UpstreamRun) -> bool:
        """Tell whether a run has ended, since another has its id or its address."""
        return run in self._superseded or any(
            other.upstream_id == run.upstream_id and other.born > run.born for other in self._listed
        )

    def _accepts(self, run: UpstreamRun) -> bool:
        listed = self._listed.get(run)
        return listed is not None and listed.accepting

    def _release(self, now_s: float, each: OwnedRange, run: UpstreamRun) -> Iterator[ReleaseCall]:
        release = self._releases[(each.first, each.last), run]
        address = self._addresses.get(run)
        if address is None or release.busy or now_s < release.next_s or self._in_flight.get(run):
            return
        release.busy = True
        yield ReleaseCall(run, address, each.first, each.last, each.fence)

    def _grant(self, now_s: float, each: OwnedRange) -> Iterator[GrantCall]:
        part = (each.first, each.last)
        grant = self._grants.setdefault(part, _Grant(each.fence))
        listed = self._listed.get(each.owner)
        if listed is None or grant.busy or grant.refused or now_s < grant.next_s:
            return
        if self._saving is not None and each not in self._saving.table.ranges:
            return
        if self._release_is_due(now_s, each.owner):
            return
        grant.busy = True
        self._sent.add((each.owner, each.fence))
        self._in_flight[each.owner] = self._in_flight.get(each.owner, 0) + 1
        handover = self._handovers.get(part, "")
        yield GrantCall(
            each.owner, listed.address, *part, each.fence, self._timing.hold_s, handover
        )

    def _release_is_due(self, now_s: float, run: UpstreamRun) -> bool:
        """Tell whether a release waits for the calls to a run to end."""
        return any(
            earlier == run and not (each.done or each.busy) and now_s >= each.next_s
            for (_, earlier), each in self._releases.items()
        )

    def _grants_end_s(self, run: UpstreamRun) -> float | None:
        """Return when all grants to a run have run out; None while calls are in flight."""
        if self._in_flight.get(run):
            return None
        start_s = self._began_s + self._timing.call_timeout_s + self._timing.runs_out_s
        return max(start_s, self._runs_out_s.get(run, 0.0))

    def _settle_releases(self, run: UpstreamRun) -> None:
        """Fix when the grants of a run have run out, once no call is in flight."""
        if self._in_flight.get(run):
            return
        for (_, earlier), release in self._releases.items():
            if earlier == run and release.runs_out_s is None:
                release.runs_out_s = self._grants_end_s(run)


@attrs.define
class _Changes:
    """Ranges of the next table."""

    last_fence: int
    made: bool = False
    ranges: list[OwnedRange] = attrs.field(factory=list)

    def next_fence(self) -> int:
        """Return a fence above all earlier ones."""
        self.last_fence += 1
        return self.last_fence
