"""Simplified grants of a leader for the lease simulation, in place of the real GrantManager."""

from collections.abc import Mapping, Sequence

from fireflyferry.leases.timing import LeaseTiming
from fireflyferry.messages import GrantMessage, GrantReply, UnitGrant

__all__ = ["SimulatedGrants"]

NEVER = float("-inf")


class SimulatedGrants:
    """Grants of one term; a unit moves after its grant was released or has ended."""

    def __init__(
        self, term: int, timing: LeaseTiming, start_s: float, upstreams: Sequence[str]
    ) -> None:
        self.term = term
        self._timing = timing
        self._start_s = start_s
        self._tokens = dict.fromkeys(upstreams, "")
        self._set_versions = dict.fromkeys(upstreams, 0)
        self._acknowledged = dict.fromkeys(upstreams, -1)
        self._sent_at_s = dict.fromkeys(upstreams, NEVER)
        self._units: dict[str, dict[str, UnitGrant]] = {name: {} for name in upstreams}
        self._grant_ends_s: dict[tuple[str, str], float] = {}
        self.sequence = 0

    def grants_until_s(self) -> float:
        """Return the time at which all grants of this term and of earlier terms have ended."""
        return max(self._start_s, *self._grant_ends_s.values(), NEVER)

    def apply_desired_owners(self, now_s: float, desired_owners: Mapping[str, str]) -> int:
        """Release and grant units as the desired owners require; return the number of changes."""
        if now_s < self._start_s:
            return 0
        before = self.sequence
        for unit, owner in desired_owners.items():
            for name, units in self._units.items():
                if name != owner and units.pop(unit, None):
                    self._increment_version(name)
            if unit not in self._units[owner] and not self._held_elsewhere(now_s, unit, owner):
                self._increment_version(owner)
                fence = self.term * 2**32 + self.sequence
                self._units[owner][unit] = UnitGrant(unit, fence)
        return self.sequence - before

    def messages(self, now_s: float, authority_until_s: float) -> list[tuple[str, GrantMessage]]:
        """Return the grants that are due, with their upstreams; none outlasts the authority."""
        length_s = self._grant_length_s(now_s, authority_until_s)
        due = []
        for name, units in self._units.items():
            if length_s <= 0 or now_s < self._sent_at_s[name] + self._timing.renew_s / 2:
                continue
            acknowledged = self._acknowledged[name] == self._set_versions[name]
            if acknowledged and now_s < self._sent_at_s[name] + self._timing.renew_s:
                continue
            self._sent_at_s[name] = now_s
            for unit in units:
                end_s = now_s + self._timing.lengthened(length_s)
                self._grant_ends_s[name, unit] = max(
                    end_s, self._grant_ends_s.get((name, unit), NEVER)
                )
            sent_units = None if acknowledged else tuple(units.values())
            message = GrantMessage(
                "trial/dc-1/0",
                self.term,
                self._set_versions[name],
                self._tokens[name],
                length_s,
                sent_units,
            )
            due.append((name, message))
        return due

    def on_reply(self, name: str, reply: GrantReply) -> None:
        """Process an upstream's token and its acknowledgement of the current set."""
        self._tokens[name] = reply.token
        if reply.reason == "unknown_set":
            self._acknowledged[name] = -1
        current = (reply.term, reply.set_version) == (self.term, self._set_versions[name])
        if not (reply.accepted and current):
            return
        self._acknowledged[name] = self._set_versions[name]
        for upstream, unit in list(self._grant_ends_s):
            if upstream == name and unit not in self._units[name] and unit not in reply.busy:
                del self._grant_ends_s[upstream, unit]

    def _grant_length_s(self, now_s: float, authority_until_s: float) -> float:
        return self._timing.grant_length_s(now_s, authority_until_s)

    def _held_elsewhere(self, now_s: float, unit: str, owner: str) -> bool:
        return any(
            held == unit and name != owner and now_s < end_s
            for (name, held), end_s in self._grant_ends_s.items()
        )

    def _increment_version(self, name: str) -> None:
        self._set_versions[name] += 1
        self.sequence += 1
