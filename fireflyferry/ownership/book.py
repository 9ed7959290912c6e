"""Grants of one group's leader to upstreams: moves, releases and fences of units."""

import itertools
from collections.abc import Mapping

from fireflyferry.leases import LeaseTiming
from fireflyferry.messages import GrantReply, GroupId, Hello, OwnerSet, UnitGrant
from fireflyferry.ownership.forwards import ForwardCounter
from fireflyferry.ownership.rows import (
    GrantAction,
    Owner,
    PendingRelease,
    SaveOwners,
    UnitRow,
    UpstreamRow,
)
from fireflyferry.ownership.saving import SaveScheduler
from fireflyferry.ownership.units import UnitTable
from fireflyferry.ownership.upstreams import UpstreamTable
from fireflyferry.telemetry.reasons import Reason

__all__ = ["GrantManager"]

# Advancing this many units takes about 5 ms; further units wait for the next tick.
_MAX_UNITS_PER_TICK = 500
_ABSENT = object()


class GrantManager:
    """State machine of a group's leader, which grants units to upstreams for a limited time.

    A grant is a lease with a fencing token (the fence). Times are monotonic seconds. The caller
    performs the actions that `tick` returns, and forwards a request only between `begin_forward`
    and `end_forward`. An upstream without checks accepts requests without checking grants, so it
    may hold a unit until it acknowledged the release and all requests of the unit have ended.
    """

    def __init__(self, group: GroupId, timing: LeaseTiming) -> None:
        self._group = group
        self._term = 0
        self._sequence = 0
        self._authority_until_s = float("-inf")
        self._upstreams = UpstreamTable(timing)
        self._units = UnitTable()
        self._pending_releases: dict[str, dict[str, PendingRelease]] = {}
        self._unsettled: dict[str, None] = {}
        self._forwards = ForwardCounter()
        self._saves = SaveScheduler()
        self._first_save_id = 0

    def begin_term(
        self,
        now_s: float,
        term: int,
        saved: OwnerSet | None,
        previous_grants_until_s: float | None = None,
        earlier_leader_stopped: bool = False,
    ) -> None:
        """Begin a term with the newest saved owners, which may be of this or an earlier term.

        `previous_grants_until_s` is the time by which the grants of a leader that resigned have
        expired, and None if they expired before the takeover. While `earlier_leader_stopped` is
        false, units stay on upstreams without checks. If this leader already led the earlier term,
        its record of possible holders is kept. The call may be repeated for the same term with
        newer owners until the term's first save is confirmed. Raises ValueError for any other term
        that is not above the last one.
        """
        if term < self._term or (term == self._term and self._is_saved_under_term()):
            raise ValueError(f"term {term} is not above {self._term}")
        old_units, old_releases = self._units, self._pending_releases
        self._term, self._sequence = term, 0 if term > self._term else self._sequence
        self._units, self._pending_releases, self._unsettled = UnitTable(), {}, {}
        self._saves.begin_term()
        saved_under_term = saved is not None and saved.term == term
        self._first_save_id = self._saves.last_id + (0 if saved_under_term else 1)
        for row in self._upstreams.rows.values():
            row.units, row.unacked, row.acked_version = {}, {}, 0
            row.usable_until_s, row.busy, row.sent = float("-inf"), frozenset(), {}
            self._upstreams.begin_set_version(row)
        if saved is not None:
            self._load_owners(saved, previous_grants_until_s, earlier_leader_stopped)
        for unit, row in old_units.items():
            if row.holder is not None:
                self._record_possible_holder(unit, row.holder)
        for unit, releases in old_releases.items():
            for upstream_id in releases:
                self._record_possible_holder(unit, upstream_id)

    def set_desired(self, now_s: float, owners: Mapping[str, str]) -> None:
        """Set the desired owner of each unit; units that are not listed are released."""
        for unit in [unit for unit in self._units if unit not in owners]:
            self._set_target(unit, None)
        for unit, upstream_id in owners.items():
            if unit not in self._units:
                self._units.add(unit, split=False)
            self._set_target(unit, upstream_id)

    def on_hello(self, now_s: float, sent_at_s: float, hello: Hello) -> None:
        """Add an upstream, or update the token and state of a known one."""
        self._upstreams.on_hello(now_s, sent_at_s, hello)
        self._raise_fences_after_restart(self._upstreams.rows[hello.upstream_id])

    def on_grant_reply(
        self, now_s: float, upstream_id: str, sent_at_s: float, reply: GrantReply
    ) -> None:
        """Process a reply; `sent_at_s` is the time of the tick that returned the message."""
        if reply.upstream_id != upstream_id:
            return
        is_acknowledged = self._upstreams.on_reply(now_s, sent_at_s, self._term, reply)
        row = self._upstreams.rows.get(upstream_id)
        if row is not None:
            self._raise_fences_after_restart(row)
        if is_acknowledged:
            for unit, version in list(row.unacked.items()):
                if version <= row.acked_version:
                    del row.unacked[unit]
                    self._units[unit].acked_fence = self._units[unit].grant.fence

    def on_owners_saved(self, now_s: float, save_id: int) -> None:
        """Record that a save is durable in the store or on the standby."""
        self._saves.confirm(save_id)

    def on_upstream_gone(self, now_s: float, upstream_id: str) -> None:
        """Remove an upstream that the platform or an operator reported as gone; free its units."""
        row = self._upstreams.rows.pop(upstream_id, None)
        for unit in () if row is None else row.units:
            self._units[unit].holder = self._units[unit].acked_fence = None
            self._unsettled[unit] = None

    def on_earlier_leader_stopped(self, now_s: float) -> None:
        """Allow moves from upstreams without checks, as no earlier leader can forward any more."""
        for row in self._upstreams.rows.values():
            if row.earlier_leader_may_forward:
                row.earlier_leader_may_forward, row.busy_valid_from_s = False, now_s

    def begin_forward(self, now_s: float, unit: str, key: str) -> Owner | Reason:
        """Return the same as `owner`; count the request if that upstream does not check grants."""
        owner = self.owner(now_s, unit)
        if isinstance(owner, Owner) and not self._upstreams.rows[owner.upstream_id].checks:
            self._forwards.begin(owner.upstream_id, unit, key)
        return owner

    def end_forward(self, upstream_id: str, unit: str, key: str) -> None:
        """Stop counting a request that was answered or whose cancellation was confirmed."""
        self._forwards.end(upstream_id, unit, key)

    def has_forwards(self) -> bool:
        """Return whether requests forwarded to upstreams without checks may still be running."""
        return self._forwards.any_running()

    def owner(self, now_s: float, unit: str) -> Owner | Reason:
        """Return the owner that requests may be forwarded to now, or why there is none."""
        row = self._units.get(unit)
        if row is None or now_s >= self._authority_until_s:
            return Reason.OWNER_UNAVAILABLE
        upstream = self._upstreams.rows.get(row.holder or "")
        usable = upstream is not None and upstream.acked_version and row.acked_fence is not None
        if usable and now_s < upstream.usable_until_s:
            return Owner(upstream.upstream_id, row.acked_fence)
        holders = {row.holder, *self._pending_releases.get(unit, ())} & self._upstreams.rows.keys()
        held = any(not self._upstreams.rows[name].checks for name in holders)
        return Reason.OWNER_HELD if held else Reason.OWNER_UNAVAILABLE

    def unit_of(self, bucket: int, key: str) -> str:
        """Return the id of the unit that a key belongs to now."""
        return self._units.unit_of(bucket, key)

    def is_responsive(self, now_s: float, upstream_id: str) -> bool:
        """Return whether an upstream answered a message sent within the last grant length."""
        return self._upstreams.is_responsive(now_s, upstream_id)

    def is_lost(self, now_s: float, upstream_id: str) -> bool:
        """Return whether an upstream is unknown, or checks grants, is silent and has none left."""
        return self._upstreams.is_lost(now_s, upstream_id)

    def is_draining(self, upstream_id: str) -> bool:
        """Return whether an upstream reported that it is draining."""
        return self._upstreams.is_draining(upstream_id)

    def is_released(self, unit: str) -> bool:
        """Return whether no upstream can still hold a unit under a grant of this group."""
        return unit not in self._units

    def tick(self, now_s: float, authority_until_s: float) -> list[GrantAction]:
        """Advance moves and return the messages and saves that are due."""
        self._authority_until_s = authority_until_s
        if self._term == 0 or now_s >= authority_until_s:
            return []
        saved = self._is_saved_under_term()
        for unit in list(itertools.islice(self._unsettled, _MAX_UNITS_PER_TICK)) if saved else ():
            self._advance_unit(now_s, unit)
            if self._unsettled.pop(unit, _ABSENT) is None:
                self._unsettled[unit] = None
        actions: list[GrantAction] = []
        save = self._due_save(now_s)
        if save is not None:
            actions.append(save)
        group = str(self._group)
        actions.extend(
            self._upstreams.due_messages(
                now_s, group, self._term, authority_until_s, self._units if saved else None
            )
        )
        return actions

    def _advance_unit(self, now_s: float, unit: str) -> None:
        row = self._units.get(unit)
        if row is None:
            self._unsettled.pop(unit, None)
            return
        self._drop_done_releases(now_s, unit)
        if row.holder is not None and row.holder != row.target and self._may_release(now_s, row):
            self._release(unit, row)
            self._drop_done_releases(now_s, unit)
        if not row.split and self._may_split(now_s, row):
            self._split(unit, row)
        if row.target is None:
            self._remove_if_released(unit, row)
        elif row.holder is None and row.split and self._may_grant(unit, row):
            self._grant(unit, row)
        settled = row.holder is not None and row.holder == row.target and row.split
        if settled and unit not in self._pending_releases:
            self._unsettled.pop(unit, None)

    def _is_saved_under_term(self) -> bool:
        """Return whether owners are saved under this term, so no earlier leader can change them."""
        return self._saves.confirmed_id >= self._first_save_id

    def _is_target_saved(self, row: UnitRow) -> bool:
        return row.target_save_id is not None and row.target_save_id <= self._saves.confirmed_id

    def _may_release(self, now_s: float, row: UnitRow) -> bool:
        """Return whether the holder may release a unit now; its next owner has to be responsive."""
        if not self._is_target_saved(row) or self._may_get_earlier_forwards(row.holder):
            return False
        return row.target is None or self._upstreams.is_responsive(now_s, row.target)

    def _may_split(self, now_s: float, row: UnitRow) -> bool:
        bucket = self._units.get(row.bucket)
        if row.target is None or bucket is None or not self._is_target_saved(row):
            return False
        blocked = bucket.holder is not None and self._may_get_earlier_forwards(bucket.holder)
        return not blocked and self._upstreams.is_responsive(now_s, row.target)

    def _may_grant(self, unit: str, row: UnitRow) -> bool:
        others = self._pending_releases.get(unit, {}).keys() - {row.target}
        return self._is_target_saved(row) and not others and row.target in self._upstreams.rows

    def _may_get_earlier_forwards(self, upstream_id: str | None) -> bool:
        row = self._upstreams.rows.get(upstream_id or "")
        return row is not None and not row.checks and row.earlier_leader_may_forward

    def _is_busy(self, upstream: UpstreamRow, unit: str) -> bool:
        """Return whether requests of a unit may still run at an upstream."""
        row = self._units[unit]
        if unit in upstream.busy or row.bucket in upstream.busy:
            return True
        return self._forwards.is_running(upstream.upstream_id, unit, row)

    def _is_release_done(
        self, now_s: float, unit: str, upstream_id: str, release: PendingRelease
    ) -> bool:
        """Return whether an upstream can no longer hold a unit that it must release."""
        upstream = self._upstreams.rows.get(upstream_id)
        if upstream is None or (upstream.checks and now_s >= release.until_s):
            return True
        if upstream.acked_version < release.version or self._may_get_earlier_forwards(upstream_id):
            return False
        if upstream.busy_at_s < upstream.busy_valid_from_s:
            return False
        return not self._is_busy(upstream, unit)

    def _next_fence(self) -> int:
        self._sequence += 1
        return self._term << 32 | self._sequence

    def _grant(self, unit: str, row: UnitRow) -> None:
        upstream = self._upstreams.get_or_add(row.target)
        row.holder, row.grant, row.acked_fence = row.target, self._new_grant(unit), None
        upstream.units[unit] = None
        upstream.unacked[unit] = self._upstreams.begin_set_version(upstream)

    def _release(self, unit: str, row: UnitRow) -> None:
        upstream = self._upstreams.rows[row.holder]
        upstream.units.pop(unit, None)
        upstream.unacked.pop(unit, None)
        row.holder = row.acked_fence = None
        self._add_pending_release(unit, upstream, self._upstreams.begin_set_version(upstream))

    def _add_pending_release(self, unit: str, row: UpstreamRow, version: int) -> None:
        self._pending_releases.setdefault(unit, {})[row.upstream_id] = PendingRelease(
            version, row.until_s
        )
        self._unsettled[unit] = None
        self._saves.dirty = True

    def _drop_done_releases(self, now_s: float, unit: str) -> None:
        releases = self._pending_releases.get(unit, {})
        for upstream_id, release in list(releases.items()):
            if self._is_release_done(now_s, unit, upstream_id, release):
                del releases[upstream_id]
                self._saves.dirty = True
        if not releases:
            self._pending_releases.pop(unit, None)

    def _split(self, unit: str, row: UnitRow) -> None:
        """Exclude a key from its bucket; any upstream that may hold the bucket may hold the key."""
        row.split = True
        if row.bucket in self._pending_releases:
            self._pending_releases.setdefault(unit, {}).update(self._pending_releases[row.bucket])
        holder = self._units[row.bucket].holder
        if holder is not None:
            self._regrant(row.bucket)
            upstream = self._upstreams.rows[holder]
            self._add_pending_release(unit, upstream, upstream.version)

    def _regrant(self, unit: str) -> None:
        """Grant a unit to its holder again, with a higher fence and the current excluded keys."""
        row = self._units[unit]
        upstream = self._upstreams.rows[row.holder]
        row.grant = self._new_grant(unit)
        upstream.unacked[unit] = self._upstreams.begin_set_version(upstream)

    def _raise_fences_after_restart(self, upstream: UpstreamRow) -> None:
        """Grant the units of an upstream again if another process may have their fences."""
        if upstream.may_have_restarted:
            upstream.may_have_restarted = False
            for unit in upstream.units:
                self._regrant(unit)

    def _remove_if_released(self, unit: str, row: UnitRow) -> None:
        """Remove a released unit without a desired owner; a key is merged into its bucket first."""
        if row.split and (
            row.holder or unit in self._pending_releases or not self._is_target_saved(row)
        ):
            return
        if self._units.has_key_units(unit):
            return
        bucket = self._units.get(row.bucket) if row.key is not None else None
        if bucket is not None and bucket.holder is not None:
            if row.split:
                row.split = False
                self._regrant(row.bucket)
            # The key stays a separate unit until the bucket's holder acknowledged the merge.
            if row.bucket in self._upstreams.rows[bucket.holder].unacked:
                return
        self._units.remove(unit)
        self._unsettled.pop(unit, None)
        self._saves.unsaved_units.pop(unit, None)

    def _set_target(self, unit: str, target: str | None) -> None:
        row = self._units[unit]
        if row.target != target:
            row.target, row.target_save_id = target, None
            self._unsettled[unit] = self._saves.unsaved_units[unit] = None
            self._saves.dirty = True

    def _new_grant(self, unit: str) -> UnitGrant:
        return UnitGrant(unit, self._next_fence(), self._units.excluded_keys(unit))

    def _due_save(self, now_s: float) -> SaveOwners | None:
        save_id = self._saves.start_if_due(now_s)
        if save_id is None:
            return None
        for unit in self._saves.unsaved_units:
            self._units[unit].target_save_id = save_id
        self._saves.unsaved_units = {}
        owners = {unit: row.target for unit, row in self._units.items() if row.target}
        releasing = {unit: names for unit in self._unsettled if (names := self._unreleased(unit))}
        unchecked = tuple(
            sorted(name for name, row in self._upstreams.rows.items() if not row.checks)
        )
        owner_set = OwnerSet(self._group, self._term, save_id, owners, releasing, unchecked)
        return SaveOwners(save_id, owner_set)

    def _unreleased(self, unit: str) -> tuple[str, ...]:
        """Return the upstreams other than the target that may hold a unit, for a save."""
        row = self._units.get(unit)
        if row is None or (not row.split and row.target is None):
            return ()
        names = {row.holder, *self._pending_releases.get(unit, ())}
        if not row.split and (bucket := self._units.get(row.bucket)) is not None:
            names |= {bucket.holder, bucket.target, *self._pending_releases.get(row.bucket, ())}
        return tuple(sorted(names - {None, row.target}))

    def _load_owners(self, saved: OwnerSet, until_s: float | None, leader_stopped: bool) -> None:
        names = {
            *saved.owners.values(),
            *(holder for holders in saved.releasing.values() for holder in holders),
        }
        for name in sorted(names):
            row = self._upstreams.get_or_add(name)
            row.checks = row.checks and name not in saved.unchecked
            row.earlier_leader_may_forward = row.earlier_leader_may_forward or not leader_stopped
            row.until_s = max(row.until_s, float("-inf") if until_s is None else until_s)
        units = {**saved.owners, **saved.releasing}
        for unit in units:
            self._units.add(unit, split=True)
        for unit in units:
            row = self._units[unit]
            row.target, row.target_save_id = saved.owners.get(unit), self._saves.last_id
            releasing = saved.releasing.get(unit, ())
            if row.target is not None and not releasing:
                self._grant(unit, row)
                continue
            self._unsettled[unit] = None
            for name in {row.target, *releasing} - {None}:
                self._record_possible_holder(unit, name)

    def _record_possible_holder(self, unit: str, upstream_id: str) -> None:
        """Record that an upstream may hold a unit until it acknowledges its current set."""
        if unit not in self._units:
            self._units.add(unit, split=True).target_save_id = self._saves.last_id
        upstream = self._upstreams.rows.get(upstream_id)
        if upstream is not None and unit not in upstream.units:
            self._add_pending_release(unit, upstream, self._upstreams.begin_set_version(upstream))
