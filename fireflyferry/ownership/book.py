"""The leader's grants for one group: moves, releases and fences."""

import itertools
from collections.abc import Mapping

from fireflyferry.leases import LeaseTiming
from fireflyferry.messages import GrantReply, GroupId, Hello, OwnerSet, UnitGrant
from fireflyferry.ownership.forwards import ForwardCounter
from fireflyferry.ownership.rows import (
    Claim,
    GrantAction,
    Owner,
    SaveOwners,
    UnitRow,
    UpstreamRow,
)
from fireflyferry.ownership.saving import SaveQueue
from fireflyferry.ownership.units import UnitTable
from fireflyferry.ownership.upstreams import UpstreamTable
from fireflyferry.telemetry.reasons import Reason

__all__ = ["GrantManager"]


# About 5 ms a tick; more units wait for the next tick.
_MAX_ADVANCES = 500
_DONE = object()


class GrantManager:
    """Units of one group, their owners and the grants of its upstreams.

    Times are monotonic seconds. The caller reports a grant reply with the `now_s` of the tick
    that returned the message, and forwards a request only between `begin_forward` and
    `end_forward`.
    """

    def __init__(self, group: GroupId, timing: LeaseTiming) -> None:
        self._group = group
        self._term = 0
        self._sequence = 0
        self._authority_until_s = float("-inf")
        self._upstreams = UpstreamTable(timing)
        self._units = UnitTable()
        self._claims: dict[str, dict[str, Claim]] = {}
        self._pending: dict[str, None] = {}
        self._forwards = ForwardCounter()
        self._saves = SaveQueue()
        self._first_save = 0

    def begin_term(
        self,
        now_s: float,
        term: int,
        saved: OwnerSet | None,
        previous_grants_until_s: float | None = None,
        earlier_leader_stopped: bool = False,
    ) -> None:
        """Start a term with the newest saved owners, already saved under this term or not.

        `previous_grants_until_s` is when the earlier leader's grants have ended after a
        resignation, and None when they ended before the takeover. A leader that raises its own
        term keeps what it knows about holders. May be repeated with newer owners for the same
        term until its first save is confirmed. Raises ValueError for any other term that is not
        above the last one.
        """
        if term < self._term or (term == self._term and self._is_rewritten()):
            raise ValueError(f"term {term} is not above {self._term}")
        old_units, old_claims = self._units, self._claims
        self._term, self._sequence = term, 0 if term > self._term else self._sequence
        self._units, self._claims, self._pending = UnitTable(), {}, {}
        self._saves.restart()
        rewritten = saved is not None and saved.term == term
        self._first_save = self._saves.last + (0 if rewritten else 1)
        for row in self._upstreams.rows.values():
            row.units, row.unacked, row.acked_version = {}, {}, 0
            row.usable_until_s, row.busy, row.sent = float("-inf"), frozenset(), {}
            self._upstreams.touch(row)
        if saved is not None:
            self._load(saved, previous_grants_until_s, earlier_leader_stopped)
        for unit, row in old_units.items():
            if row.holder is not None:
                self._keep_claim(unit, row.holder)
        for unit, claims in old_claims.items():
            for upstream_id in claims:
                self._keep_claim(unit, upstream_id)

    def set_desired(self, now_s: float, owners: Mapping[str, str]) -> None:
        """Set the wanted owner of each unit; units that are not listed are released."""
        for unit in [unit for unit in self._units if unit not in owners]:
            self._retarget(unit, None)
        for unit, upstream_id in owners.items():
            if unit not in self._units:
                self._units.add(unit, split=False)
            self._retarget(unit, upstream_id)

    def on_hello(self, now_s: float, sent_at_s: float, hello: Hello) -> None:
        """Add an upstream, or take its token if it is known."""
        self._upstreams.on_hello(now_s, sent_at_s, hello)

    def on_grant_reply(
        self, now_s: float, upstream_id: str, sent_at_s: float, reply: GrantReply
    ) -> None:
        """Use a reply; `sent_at_s` is the time of the tick that returned the message."""
        if reply.upstream_id != upstream_id:
            return
        if self._upstreams.on_reply(now_s, sent_at_s, self._term, reply):
            row = self._upstreams.rows[upstream_id]
            for unit, version in list(row.unacked.items()):
                if version <= row.acked_version:
                    del row.unacked[unit]
                    self._units[unit].acked_fence = self._units[unit].grant.fence

    def on_owners_saved(self, now_s: float, save_id: int) -> None:
        """Record that a save is durable in the store or at the standby."""
        self._saves.confirm(save_id)

    def on_upstream_gone(self, now_s: float, upstream_id: str) -> None:
        """Free the units of an upstream that the platform or an operator says is gone."""
        row = self._upstreams.rows.pop(upstream_id, None)
        for unit in () if row is None else row.units:
            self._units[unit].holder = self._units[unit].acked_fence = None
            self._pending[unit] = None

    def on_earlier_leader_stopped(self, now_s: float) -> None:
        """Let units move again that are on upstreams without checks."""
        for row in self._upstreams.rows.values():
            if row.pinned:
                row.pinned, row.busy_needed_s = False, now_s

    def begin_forward(self, now_s: float, unit: str, key: str) -> Owner | Reason:
        """Return the owner as `owner` does, and count a request on its way to it."""
        owner = self.owner(now_s, unit)
        if isinstance(owner, Owner) and not self._upstreams.rows[owner.upstream_id].checks:
            self._forwards.begin(owner.upstream_id, unit, key)
        return owner

    def end_forward(self, upstream_id: str, unit: str, key: str) -> None:
        """End a forwarded request that was answered or whose cancellation was acknowledged."""
        self._forwards.end(upstream_id, unit, key)

    def has_forwards(self) -> bool:
        """Return whether forwards to upstreams without checks are under way."""
        return self._forwards.any_running()

    def owner(self, now_s: float, unit: str) -> Owner | Reason:
        """Return the owner that requests may be forwarded to now, or the reason for none."""
        row = self._units.get(unit)
        if row is None or now_s >= self._authority_until_s:
            return Reason.OWNER_UNAVAILABLE
        upstream = self._upstreams.rows.get(row.holder or "")
        usable = upstream is not None and upstream.acked_version and row.acked_fence is not None
        if usable and now_s < upstream.usable_until_s:
            return Owner(upstream.upstream_id, row.acked_fence)
        holders = {row.holder, *self._claims.get(unit, ())} & self._upstreams.rows.keys()
        held = any(not self._upstreams.rows[name].checks for name in holders)
        return Reason.OWNER_HELD if held else Reason.OWNER_UNAVAILABLE

    def unit_of(self, bucket: int, key: str) -> str:
        """Return the unit that a key belongs to now."""
        return self._units.unit_of(bucket, key)

    def is_responsive(self, now_s: float, upstream_id: str) -> bool:
        """Return whether an upstream answers."""
        return self._upstreams.is_responsive(now_s, upstream_id)

    def is_lost(self, now_s: float, upstream_id: str) -> bool:
        """Return whether an upstream's grant ran out because it did not answer."""
        return self._upstreams.is_lost(now_s, upstream_id)

    def is_draining(self, upstream_id: str) -> bool:
        """Return whether an upstream said that it is leaving."""
        return self._upstreams.is_draining(upstream_id)

    def is_released(self, unit: str) -> bool:
        """Return whether no upstream can hold a unit of this group any more."""
        return unit not in self._units

    def tick(self, now_s: float, authority_until_s: float) -> list[GrantAction]:
        """Advance moves and return the messages and saves that are due."""
        self._authority_until_s = authority_until_s
        if self._term == 0 or now_s >= authority_until_s:
            return []
        rewritten = self._is_rewritten()
        for unit in list(itertools.islice(self._pending, _MAX_ADVANCES)) if rewritten else ():
            self._advance(now_s, unit)
            if self._pending.pop(unit, _DONE) is None:
                self._pending[unit] = None
        actions: list[GrantAction] = []
        save = self._due_save(now_s)
        if save is not None:
            actions.append(save)
        group = str(self._group)
        actions.extend(
            self._upstreams.due(
                now_s, group, self._term, authority_until_s, self._units if rewritten else None
            )
        )
        return actions

    def _advance(self, now_s: float, unit: str) -> None:
        row = self._units.get(unit)
        if row is None:
            self._pending.pop(unit, None)
            return
        self._end_claims(now_s, unit)
        if row.holder is not None and row.holder != row.target and self._may_release(now_s, row):
            self._release(unit, row)
            self._end_claims(now_s, unit)
        if not row.split and self._may_split(now_s, row):
            self._split(unit, row)
        if row.target is None:
            self._remove_if_free(unit, row)
        elif row.holder is None and row.split and self._may_grant(unit, row):
            self._grant(unit, row)
        settled = row.holder is not None and row.holder == row.target and row.split
        if settled and unit not in self._claims:
            self._pending.pop(unit, None)

    def _is_rewritten(self) -> bool:
        """Return whether the owners are saved under this term.

        Until then a late write of an earlier leader may still change them.
        """
        return self._saves.confirmed >= self._first_save

    def _is_saved(self, row: UnitRow) -> bool:
        return row.target_save is not None and row.target_save <= self._saves.confirmed

    def _may_release(self, now_s: float, row: UnitRow) -> bool:
        """Return whether to take a unit from its holder.

        A unit stays where it is while its next owner does not answer.
        """
        if not self._is_saved(row) or self._is_pinned(row.holder):
            return False
        return row.target is None or self._upstreams.is_responsive(now_s, row.target)

    def _may_split(self, now_s: float, row: UnitRow) -> bool:
        bucket = self._units.get(row.bucket)
        if row.target is None or bucket is None or not self._is_saved(row):
            return False
        pinned = bucket.holder is not None and self._is_pinned(bucket.holder)
        return not pinned and self._upstreams.is_responsive(now_s, row.target)

    def _may_grant(self, unit: str, row: UnitRow) -> bool:
        others = self._claims.get(unit, {}).keys() - {row.target}
        return self._is_saved(row) and not others and row.target in self._upstreams.rows

    def _is_pinned(self, upstream_id: str | None) -> bool:
        row = self._upstreams.rows.get(upstream_id or "")
        return row is not None and not row.checks and row.pinned

    def _is_busy(self, upstream: UpstreamRow, unit: str) -> bool:
        """Return whether requests of a unit may still run at an upstream."""
        row = self._units[unit]
        if unit in upstream.busy or row.bucket in upstream.busy:
            return True
        return self._forwards.is_running(upstream.upstream_id, unit, row)

    def _has_ended(self, now_s: float, unit: str, upstream_id: str, claim: Claim) -> bool:
        """Return whether an upstream certainly holds a released unit no more."""
        upstream = self._upstreams.rows.get(upstream_id)
        if upstream is None or (upstream.checks and now_s >= claim.until_s):
            return True
        if upstream.acked_version < claim.version or self._is_pinned(upstream_id):
            return False
        if upstream.busy_at_s < upstream.busy_needed_s:
            return False
        return not self._is_busy(upstream, unit)

    def _next_fence(self) -> int:
        self._sequence += 1
        return self._term << 32 | self._sequence

    def _grant(self, unit: str, row: UnitRow) -> None:
        upstream = self._upstreams.ensure(row.target)
        row.holder, row.grant, row.acked_fence = row.target, self._new_grant(unit), None
        upstream.units[unit] = None
        upstream.unacked[unit] = self._upstreams.touch(upstream)

    def _release(self, unit: str, row: UnitRow) -> None:
        upstream = self._upstreams.rows[row.holder]
        upstream.units.pop(unit, None)
        upstream.unacked.pop(unit, None)
        row.holder = row.acked_fence = None
        self._claim(unit, upstream, self._upstreams.touch(upstream))

    def _claim(self, unit: str, upstream: UpstreamRow, version: int) -> None:
        self._claims.setdefault(unit, {})[upstream.upstream_id] = Claim(version, upstream.until_s)
        self._pending[unit] = None
        self._saves.dirty = True

    def _end_claims(self, now_s: float, unit: str) -> None:
        claims = self._claims.get(unit, {})
        for upstream_id, claim in list(claims.items()):
            if self._has_ended(now_s, unit, upstream_id, claim):
                del claims[upstream_id]
                self._saves.dirty = True
        if not claims:
            self._claims.pop(unit, None)

    def _split(self, unit: str, row: UnitRow) -> None:
        """Exclude a key from its bucket; all that may hold the bucket may hold the key."""
        row.split = True
        if row.bucket in self._claims:
            self._claims.setdefault(unit, {}).update(self._claims[row.bucket])
        holder = self._units[row.bucket].holder
        if holder is not None:
            self._regrant(row.bucket)
            upstream = self._upstreams.rows[holder]
            self._claim(unit, upstream, upstream.version)

    def _regrant(self, bucket: str) -> None:
        """Grant a bucket to its holder again because its excluded keys changed."""
        row = self._units[bucket]
        upstream = self._upstreams.rows[row.holder]
        row.grant = self._new_grant(bucket)
        upstream.unacked[bucket] = self._upstreams.touch(upstream)

    def _remove_if_free(self, unit: str, row: UnitRow) -> None:
        """Remove an unwanted unit; a key first goes back to its bucket."""
        if row.split and (row.holder or unit in self._claims or not self._is_saved(row)):
            return
        if self._units.has_keys(unit):
            return
        bucket = self._units.get(row.bucket) if row.key is not None else None
        if bucket is not None and bucket.holder is not None:
            if row.split:
                row.split = False
                self._regrant(row.bucket)
            # The key stays apart until its bucket's holder has accepted it.
            if row.bucket in self._upstreams.rows[bucket.holder].unacked:
                return
        self._units.remove(unit)
        self._pending.pop(unit, None)
        self._saves.unsaved.pop(unit, None)

    def _retarget(self, unit: str, target: str | None) -> None:
        row = self._units[unit]
        if row.target != target:
            row.target, row.target_save = target, None
            self._pending[unit] = self._saves.unsaved[unit] = None
            self._saves.dirty = True

    def _new_grant(self, unit: str) -> UnitGrant:
        return UnitGrant(unit, self._next_fence(), self._units.excluded(unit))

    def _due_save(self, now_s: float) -> SaveOwners | None:
        save_id = self._saves.start(now_s)
        if save_id is None:
            return None
        for unit in self._saves.unsaved:
            self._units[unit].target_save = save_id
        self._saves.unsaved = {}
        owners = {unit: row.target for unit, row in self._units.items() if row.target}
        releasing = {unit: names for unit in self._pending if (names := self._releasing(unit))}
        unchecked = tuple(sorted(n for n, row in self._upstreams.rows.items() if not row.checks))
        owner_set = OwnerSet(self._group, self._term, save_id, owners, releasing, unchecked)
        return SaveOwners(save_id, owner_set)

    def _releasing(self, unit: str) -> tuple[str, ...]:
        """Return the upstreams besides the target that may hold a unit under this save."""
        row = self._units.get(unit)
        if row is None or (not row.split and row.target is None):
            return ()
        names = {row.holder, *self._claims.get(unit, ())}
        if not row.split and (bucket := self._units.get(row.bucket)) is not None:
            names |= {bucket.holder, bucket.target, *self._claims.get(row.bucket, ())}
        return tuple(sorted(names - {None, row.target}))

    def _load(self, saved: OwnerSet, until_s: float | None, stopped: bool) -> None:
        names = {*saved.owners.values(), *(n for ns in saved.releasing.values() for n in ns)}
        for name in sorted(names):
            row = self._upstreams.ensure(name)
            row.checks = row.checks and name not in saved.unchecked
            row.pinned = row.pinned or not stopped
            row.until_s = max(row.until_s, float("-inf") if until_s is None else until_s)
        units = {**saved.owners, **saved.releasing}
        for unit in units:
            self._units.add(unit, split=True)
        for unit in units:
            row = self._units[unit]
            row.target, row.target_save = saved.owners.get(unit), self._saves.last
            releasing = saved.releasing.get(unit, ())
            if row.target is not None and not releasing:
                self._grant(unit, row)
                continue
            self._pending[unit] = None
            for name in {row.target, *releasing} - {None}:
                self._keep_claim(unit, name)

    def _keep_claim(self, unit: str, upstream_id: str) -> None:
        """Record that an upstream may hold a unit until it acknowledges its current set."""
        if unit not in self._units:
            self._units.add(unit, split=True).target_save = self._saves.last
        upstream = self._upstreams.rows.get(upstream_id)
        if upstream is not None and unit not in upstream.units:
            self._claim(unit, upstream, self._upstreams.touch(upstream))
