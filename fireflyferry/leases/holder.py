"""Upstream side of grants: the units that an upstream may serve at a given time."""

import enum
import math
from collections import Counter

import attrs

from fireflyferry.messages import GrantMessage, GrantReply, UnitGrant

__all__ = ["CheckResult", "GrantHolder", "RequestTicket"]

# The highest fences of released units are kept too, because another group can grant the unit
# again. Single-key units are created and removed continually, so the oldest fences of released
# units are dropped once there are more fences than this, four times the buckets of the largest
# pool (16,384).
MAX_KEPT_FENCES = 65_536


class CheckResult(enum.StrEnum):
    """Whether a request may run; a refusal, which is a reason code, means that it did not run."""

    HELD = "held"
    NOT_OWNER = "not_owner"
    STALE_FENCE = "stale_fence"


@attrs.frozen
class RequestTicket:
    """A request that `begin` admitted or refused."""

    result: CheckResult
    unit: str
    key: str
    group: str = ""
    holding_number: int = 0


@attrs.define
class _Holding:
    """A period in which a unit is held without interruption, identified by `number`."""

    grant: UnitGrant
    until_s: float
    number: int


@attrs.define
class _GroupGrants:
    """The newest set of units accepted from one group."""

    term: int = 0
    set_version: int = 0
    holdings: dict[str, _Holding] = attrs.Factory(dict)

    @property
    def position(self) -> tuple[int, int]:
        return self.term, self.set_version


class GrantHolder:
    """Units that the leaders of any number of groups granted to one incarnation of an upstream.

    A unit is a bucket of keys or a single key. A fence is the fencing token of a unit's grant.
    With `checks=False` the upstream serves every request and accepts every message, but still
    reports released units that have running requests as busy. Times are seconds on the upstream's
    monotonic clock.
    """

    def __init__(self, upstream_id: str, incarnation: str, checks: bool = True) -> None:
        self._upstream_id = upstream_id
        self._incarnation = incarnation
        self._checks = checks
        self._draining = False
        self._groups: dict[str, _GroupGrants] = {}
        self._highest_fences: dict[str, int] = {}
        self._running_requests: Counter[tuple[str, str, str]] = Counter()
        self._holdings_started = 0

    @property
    def checks(self) -> bool:
        """Whether grants and fences are checked."""
        return self._checks

    @property
    def draining(self) -> bool:
        """Whether replies request that leaders move this upstream's units to others."""
        return self._draining

    def drain(self) -> None:
        """Request in every later reply that leaders move this upstream's units to others."""
        self._draining = True

    def token(self, now_s: float) -> str:
        """Return a token that encodes the incarnation and the clock reading.

        Leaders send it back in grants, whose length counts from that reading.
        """
        return f"{self._incarnation}@{now_s!r}"

    def accept(self, now_s: float, message: GrantMessage) -> GrantReply:
        """Apply a grant message or refuse it without effect; return the reply."""
        reason = self._refusal_reason(now_s, message)
        group = self._groups.setdefault(message.group, _GroupGrants())
        if not reason:
            self._apply(now_s, message, group)
        position = group.position if self._checks else (message.term, message.set_version)
        return GrantReply(
            upstream_id=self._upstream_id,
            token=self.token(now_s),
            accepted=not reason,
            term=position[0],
            set_version=position[1],
            busy=self._busy_units(message.group, group),
            draining=self._draining,
            reason=reason,
        )

    def check(self, now_s: float, unit: str, key: str, fence: int) -> CheckResult:
        """Return whether a request for a key of a unit may run with the given fence."""
        return self._admit(now_s, unit, key, fence).result

    def begin(self, now_s: float, unit: str, key: str, fence: int) -> RequestTicket:
        """Check a request and, if it may run, count it as running until `finish`."""
        ticket = self._admit(now_s, unit, key, fence)
        if ticket.result is CheckResult.HELD:
            self._running_requests[ticket.group, unit, key] += 1
            if self._checks:
                self._raise_fence(unit, fence)
        return ticket

    def finish(self, now_s: float, ticket: RequestTicket) -> bool:
        """End a running request; return whether its key was held without interruption.

        Raises ValueError if `begin` did not admit the request or if it has already ended.
        """
        request = ticket.group, ticket.unit, ticket.key
        if ticket.result is not CheckResult.HELD or not self._running_requests[request]:
            raise ValueError(f"no request is running for unit {ticket.unit!r}: {ticket}")
        self._running_requests[request] -= 1
        if not self._running_requests[request]:
            del self._running_requests[request]
        if not self._checks:
            return True
        holding = self._groups[ticket.group].holdings.get(ticket.unit)
        return (
            holding is not None
            and holding.number == ticket.holding_number
            and now_s < holding.until_s
            and ticket.key not in holding.grant.excluded
        )

    def held_units(self, now_s: float) -> dict[str, UnitGrant]:
        """Return the units that may be served now."""
        return {
            unit: holding.grant
            for group in self._groups.values()
            for unit, holding in group.holdings.items()
            if now_s < holding.until_s
        }

    def _admit(self, now_s: float, unit: str, key: str, fence: int) -> RequestTicket:
        held = [
            (holding.grant.fence, name, holding.number)
            for name, group in self._groups.items()
            if (holding := group.holdings.get(unit))
            and now_s < holding.until_s
            and key not in holding.grant.excluded
        ]
        if not self._checks:
            group_name = max(held)[1] if held else ""
            return RequestTicket(CheckResult.HELD, unit, key, group_name)
        if not held or not _unit_contains(unit, key):
            return RequestTicket(CheckResult.NOT_OWNER, unit, key)
        if fence < self._highest_fences.get(unit, 0):
            return RequestTicket(CheckResult.STALE_FENCE, unit, key)
        _, group_name, number = max(held)
        return RequestTicket(CheckResult.HELD, unit, key, group_name, number)

    def _refusal_reason(self, now_s: float, message: GrantMessage) -> str:
        """Return the reason to refuse a message, or an empty string."""
        if not self._checks:
            return ""
        if not (math.isfinite(message.length_s) and message.length_s >= 0):
            return "bad_length"
        until_s = self._grant_until_s(now_s, message)
        if until_s is None:
            return "unknown_token"
        group = self._groups.get(message.group, _GroupGrants())
        position = message.term, message.set_version
        if position < group.position:
            return "stale_set"
        if message.units is None:
            return "" if position == group.position else "unknown_set"
        held = {unit: holding.grant for unit, holding in group.holdings.items()}
        if position == group.position and held != {grant.unit: grant for grant in message.units}:
            return "changed_set"
        if until_s <= now_s and self._adds_keys(message.units, group):
            return "expired_token"
        if any(grant.fence < self._highest_fences.get(grant.unit, 0) for grant in message.units):
            return "stale_fence"
        return ""

    def _grant_until_s(self, now_s: float, message: GrantMessage) -> float | None:
        """Return when a grant ends on this clock; None if its token is not of this incarnation."""
        incarnation, separator, reading = message.token.rpartition("@")
        if not separator or incarnation != self._incarnation:
            return None
        try:
            read_s = float(reading)
        except ValueError:
            return None
        return read_s + message.length_s if read_s <= now_s else None

    @staticmethod
    def _adds_keys(units: tuple[UnitGrant, ...], group: _GroupGrants) -> bool:
        return any(
            (holding := group.holdings.get(grant.unit)) is None
            or _includes_more_keys(holding.grant, grant)
            for grant in units
        )

    def _apply(self, now_s: float, message: GrantMessage, group: _GroupGrants) -> None:
        until_s = self._grant_until_s(now_s, message) if self._checks else math.inf
        if (message.term, message.set_version) < group.position:
            return
        group.term, group.set_version = message.term, message.set_version
        grants = message.units
        if grants is None:
            grants = tuple(holding.grant for holding in group.holdings.values())
        group.holdings = {
            grant.unit: self._renew_holding(now_s, grant, until_s, group.holdings.get(grant.unit))
            for grant in grants
        }
        for grant in grants:
            self._raise_fence(grant.unit, grant.fence)
        self._drop_released_fences()

    def _renew_holding(
        self, now_s: float, grant: UnitGrant, until_s: float, previous: _Holding | None
    ) -> _Holding:
        """Extend a holding, or start a new one if the unit or some key of it was not held.

        An earlier end never shortens a holding, because messages can arrive out of order and the
        leader assumes the latest end of all grants that it sent.
        """
        if (
            previous is not None
            and now_s < previous.until_s
            and not _includes_more_keys(previous.grant, grant)
        ):
            return _Holding(grant, max(previous.until_s, until_s), previous.number)
        self._holdings_started += 1
        return _Holding(grant, until_s, self._holdings_started)

    def _busy_units(self, group_name: str, group: _GroupGrants) -> tuple[str, ...]:
        """Return units with running requests that the group's newest set does not include.

        A key that was excluded from a held bucket is listed as the single-key unit `k:...`.
        """
        busy = set()
        for running_group, unit, key in self._running_requests:
            if running_group not in (group_name, ""):
                continue
            holding = group.holdings.get(unit)
            if holding is None:
                busy.add(unit)
            elif key in holding.grant.excluded:
                busy.add(f"k:{unit.removeprefix('b:')}:{key}")
        return tuple(sorted(busy))

    def _raise_fence(self, unit: str, fence: int) -> None:
        # Removing the unit first moves it to the end, and the oldest fences are dropped first.
        self._highest_fences[unit] = max(fence, self._highest_fences.pop(unit, 0))

    def _drop_released_fences(self) -> None:
        excess = len(self._highest_fences) - MAX_KEPT_FENCES
        if excess <= 0:
            return
        held = {unit for group in self._groups.values() for unit in group.holdings}
        released = [unit for unit in self._highest_fences if unit not in held]
        for unit in released[:excess]:
            del self._highest_fences[unit]


def _unit_contains(unit: str, key: str) -> bool:
    """Return whether a unit includes a key; for buckets always true, as hashes are not checked."""
    return not unit.startswith("k:") or unit.split(":", 2)[2] == key


def _includes_more_keys(before: UnitGrant, after: UnitGrant) -> bool:
    """Return whether the later grant includes a key that the earlier one excluded."""
    return not set(before.excluded) <= set(after.excluded)
