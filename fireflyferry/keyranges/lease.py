"""Lease of the VM that grants keys, kept as one record in the store."""

import attrs

__all__ = ["GrantingLeaseTiming", "LeaseRecord", "ReadLease", "StoreLease", "WriteLease"]


@attrs.frozen
class LeaseRecord:
    """Holder of the lease; `counter` changes with each renewal, so that each is a change."""

    vm_id: str
    incarnation: str
    counter: int
    resigned: bool = False


@attrs.frozen
class GrantingLeaseTiming:
    """Times in seconds; `drift` bounds the relative rate of two clocks."""

    lease_s: float = 2.0
    renew_s: float = 0.7
    poll_s: float = 0.8
    drift: float = 0.03  # twice the clock error that upstreams may have, with room
    margin_s: float = 0.2

    @property
    def takeover_s(self) -> float:
        """How long a record must stand unchanged before another VM takes it over."""
        return self.lease_s * (1 + self.drift) + self.margin_s


@attrs.frozen
class ReadLease:
    """Read the record; `stale` allows an answer that is seconds old."""

    stale: bool


@attrs.frozen
class WriteLease:
    """Write the record if its revision is the given one; 0 creates it."""

    record: LeaseRecord
    revision: int


class StoreLease:
    """Decides when to read, renew and take over the record; one call is in flight at a time.

    The holder counts its authority from before it sent the write, another VM counts from after
    it received a read. A takeover names the revision that was read, so a stale read is harmless.
    """

    def __init__(
        self, vm_id: str, incarnation: str, rules: GrantingLeaseTiming, delay_s: float = 0.0
    ):
        self._me = (vm_id, incarnation)
        self._rules = rules
        self._delay_s = delay_s  # spreads takeovers of several VMs
        self._record: LeaseRecord | None = None
        self._revision = 0
        self._seen_since_s = 0.0
        self._known = False
        self._unsure = False
        self._next_call_s = 0.0
        self._busy = False
        self._until_s = float("-inf")
        self._sent: tuple[LeaseRecord, float] | None = None
        self._stopped = False

    @property
    def authority_until_s(self) -> float:
        """Time at which the right to grant ends unless it is renewed."""
        return self._until_s

    @property
    def record(self) -> LeaseRecord | None:
        """The record that was seen last."""
        return self._record

    @property
    def is_own_record(self) -> bool:
        """Whether the record that was seen last names this VM's run."""
        return self._is_mine()

    def holds(self, now_s: float) -> bool:
        """Tell whether this VM may grant now."""
        return now_s < self._until_s

    def tick(self, now_s: float) -> ReadLease | WriteLease | None:
        """Return the call to make now."""
        if self._busy or now_s < self._next_call_s or self._stopped:
            return None
        action = self._action(now_s)
        self._busy = True
        if isinstance(action, WriteLease):
            self._sent = (action.record, now_s)
        return action

    def resign(self) -> WriteLease | None:
        """Give the authority up; returns the write that lets another VM take over at once."""
        held = self._is_mine() and self._until_s > float("-inf")
        self._stopped = True
        self._until_s = float("-inf")
        if not held or self._unsure:
            return None
        return WriteLease(self._next_record(resigned=True), self._revision)

    def on_read(self, now_s: float, record: LeaseRecord | None, revision: int) -> None:
        """Take the result of a read, or the record that a conflict showed."""
        self._busy = False
        if revision >= self._revision:
            if revision > self._revision or not self._known:
                self._seen_since_s = now_s
            self._record, self._revision, self._known = record, revision, True
            self._confirm_sent()
        self._unsure = False
        self._schedule(now_s)

    def on_relayed(self, now_s: float, record: LeaseRecord, revision: int) -> None:
        """Take a record that another VM read; it only shows that the lease has changed."""
        if self._busy or revision <= self._revision:
            return
        self._record, self._revision, self._known = record, revision, True
        self._seen_since_s = now_s

    def on_written(self, now_s: float, revision: int) -> None:
        """Take the confirmation of the write in flight."""
        self._busy = False
        assert self._sent is not None
        if revision > self._revision:
            self._record, self._revision, self._known = self._sent[0], revision, True
            self._seen_since_s = now_s
        self._confirm_sent()
        self._schedule(now_s)

    def on_failed(self, now_s: float) -> None:
        """Note that a call gave no answer; a write may have taken effect."""
        self._busy = False
        self._unsure = self._sent is not None
        self._next_call_s = now_s + self._rules.poll_s / 2

    def _action(self, now_s: float) -> ReadLease | WriteLease:
        if self._unsure or not self._known:
            return ReadLease(stale=False)
        if self._is_mine() and not (self._record and self._record.resigned):
            return WriteLease(self._next_record(), self._revision)
        if self._may_take_over(now_s):
            return WriteLease(self._next_record(), self._revision)
        return ReadLease(stale=True)

    def _may_take_over(self, now_s: float) -> bool:
        if self._record is None or self._record.resigned:
            return True
        return now_s - self._seen_since_s >= self._rules.takeover_s + self._delay_s

    def _is_mine(self) -> bool:
        record = self._record
        return record is not None and (record.vm_id, record.incarnation) == self._me

    def _next_record(self, resigned: bool = False) -> LeaseRecord:
        counter = self._record.counter + 1 if self._record is not None else 1
        return LeaseRecord(*self._me, counter, resigned)

    def _confirm_sent(self) -> None:
        """Extend the authority if the record is the one that was sent last."""
        if self._sent is None:
            return
        record, sent_s = self._sent
        if self._record == record and not self._stopped:
            self._until_s = sent_s + self._rules.lease_s
        elif not self._is_mine():
            self._until_s = float("-inf")
        self._sent = None

    def _schedule(self, now_s: float) -> None:
        mine = self._is_mine() and not self._stopped
        wait_s = self._rules.renew_s if mine else self._rules.poll_s
        self._next_call_s = now_s + wait_s
        if not mine and self._known:
            # Wakes at the moment at which a takeover becomes possible, and at once if it is.
            due_s = self._seen_since_s + self._rules.takeover_s + self._delay_s
            if self._record is None or self._record.resigned:
                due_s = now_s
            self._next_call_s = min(self._next_call_s, max(due_s, now_s))
