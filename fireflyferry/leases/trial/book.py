"""Minimal granting by a leader, for the lease trial; GrantManager is the real one."""

from collections.abc import Mapping, Sequence

from fireflyferry.leases.timing import LeaseTiming
from fireflyferry.messages import GrantMessage, GrantReply, UnitGrant

__all__ = ["TrialBook"]

NEVER = float("-inf")


class TrialBook:
    """Grants of one term; a unit moves when its grant was released or has ended."""

    def __init__(
        self, term: int, timing: LeaseTiming, start_s: float, upstreams: Sequence[str]
    ) -> None:
        self.term = term
        self._timing = timing
        self._start_s = start_s
        self._tokens = dict.fromkeys(upstreams, "")
        self._versions = dict.fromkeys(upstreams, 0)
        self._acknowledged = dict.fromkeys(upstreams, -1)
        self._sent_s = dict.fromkeys(upstreams, NEVER)
        self._units: dict[str, dict[str, UnitGrant]] = {name: {} for name in upstreams}
        self._ends_s: dict[tuple[str, str], float] = {}
        self.sequence = 0

    def grants_until_s(self) -> float:
        """Return when the grants of this term and of the terms before it have ended."""
        return max(self._start_s, *self._ends_s.values(), NEVER)

    def place(self, now_s: float, desired: Mapping[str, str]) -> int:
        """Release and grant units towards the desired owners; return how many changed."""
        if now_s < self._start_s:
            return 0
        before = self.sequence
        for unit, owner in desired.items():
            for name, units in self._units.items():
                if name != owner and units.pop(unit, None):
                    self._change(name)
            if unit not in self._units[owner] and not self._held_elsewhere(now_s, unit, owner):
                self._change(owner)
                fence = self.term * 2**32 + self.sequence
                self._units[owner][unit] = UnitGrant(unit, fence)
        return self.sequence - before

    def messages(self, now_s: float, authority_until_s: float) -> list[tuple[str, GrantMessage]]:
        """Return the grants that are due; none outlasts the authority."""
        length_s = self._length_s(now_s, authority_until_s)
        due = []
        for name, units in self._units.items():
            if length_s <= 0 or now_s < self._sent_s[name] + self._timing.renew_s / 2:
                continue
            acknowledged = self._acknowledged[name] == self._versions[name]
            if acknowledged and now_s < self._sent_s[name] + self._timing.renew_s:
                continue
            self._sent_s[name] = now_s
            for unit in units:
                end_s = now_s + self._timing.lengthened(length_s)
                self._ends_s[name, unit] = max(end_s, self._ends_s.get((name, unit), NEVER))
            content = None if acknowledged else tuple(units.values())
            message = GrantMessage(
                "trial/dc-1/0",
                self.term,
                self._versions[name],
                self._tokens[name],
                length_s,
                content,
            )
            due.append((name, message))
        return due

    def on_reply(self, name: str, reply: GrantReply) -> None:
        """Take an upstream's token and its acknowledgement of the present set."""
        self._tokens[name] = reply.token
        if reply.reason == "unknown_set":
            self._acknowledged[name] = -1
        current = (reply.term, reply.set_version) == (self.term, self._versions[name])
        if not (reply.accepted and current):
            return
        self._acknowledged[name] = self._versions[name]
        for upstream, unit in list(self._ends_s):
            if upstream == name and unit not in self._units[name] and unit not in reply.busy:
                del self._ends_s[upstream, unit]

    def _length_s(self, now_s: float, authority_until_s: float) -> float:
        return self._timing.grant_length_s(now_s, authority_until_s)

    def _held_elsewhere(self, now_s: float, unit: str, owner: str) -> bool:
        return any(
            held == unit and name != owner and now_s < end_s
            for (name, held), end_s in self._ends_s.items()
        )

    def _change(self, name: str) -> None:
        self._versions[name] += 1
        self.sequence += 1
