"""Lease that gives one VM the right to grant keys, kept as one record in the store."""

import attrs

__all__ = ["GrantingLeaseTiming", "LeaseRecord", "ReadLease", "StoreLease", "WriteLease"]


@attrs.frozen
class LeaseRecord:
    """The record in the store: the VM and incarnation that hold the lease.

    `counter` increases so that each renewal changes the record. `resigned` is true once the holder
    has given the lease up; another VM then takes it over at once. `era` is the store's era in which
    the record was written; None if the store reports none.
    """

    vm_id: str
    incarnation: str
    counter: int
    resigned: bool = False
    era: int | None = None


@attrs.frozen
class GrantingLeaseTiming:
    """Times in seconds; `drift` bounds the difference in rate of two VMs' clocks.

    The lease lasts for `lease_s`. The holder renews it every `renew_s`, and other VMs read the
    record every `poll_s`. `margin_s` is added to their wait before a takeover.
    """

    lease_s: float = 2.0
    renew_s: float = 0.7
    poll_s: float = 0.8
    drift: float = 0.03  # twice the clock error that upstreams may have, and a margin
    margin_s: float = 0.2

    @property
    def takeover_s(self) -> float:
        """Time for which a record must stay unchanged before another VM takes the lease over."""
        return self.lease_s * (1 + self.drift) + self.margin_s


@attrs.frozen
class ReadLease:
    """Read of the record; `stale` allows an answer that is seconds old."""

    stale: bool


@attrs.frozen
class WriteLease:
    """Conditional write of the record: only over the given revision; 0 creates it."""

    record: LeaseRecord
    revision: int


class StoreLease:
    """Decides when to read, renew and take over the record; one call is in flight at a time.

    The holder's authority counts from the time at which it sent the write, and another VM's wait
    before a takeover from the time at which it received the record. A takeover is conditional on
    the revision that was read, so a stale read is harmless.

    A store that comes back from a copy begins a new era, and reissues revisions. Its record does
    not show who held the lease last, so only the full wait, counted from when this VM first saw
    the era, proves that the authority of earlier eras has ended.
    """

    def __init__(
        self,
        vm_id: str,
        incarnation: str,
        timing: GrantingLeaseTiming,
        takeover_delay_s: float = 0.0,
    ):
        self._own_id = (vm_id, incarnation)
        self._timing = timing
        self._takeover_delay_s = takeover_delay_s  # spreads takeovers of several VMs
        self._record: LeaseRecord | None = None
        self._revision = 0
        self._unchanged_since_s = 0.0
        self._has_read = False
        self._is_write_unconfirmed = False
        self._next_call_s = 0.0
        self._is_call_in_flight = False
        self._authority_until_s = float("-inf")
        self._sent_write: tuple[LeaseRecord, float] | None = None
        self._last_counter = 0
        self._has_resigned = False
        self._may_hold = True
        self._era: int | None = None
        self._era_seen_s = float("-inf")

    @property
    def authority_until_s(self) -> float:
        """Time at which the right to grant ends unless the lease is renewed."""
        return self._authority_until_s

    @property
    def record(self) -> LeaseRecord | None:
        """The record that was last seen."""
        return self._record

    @property
    def is_own_record(self) -> bool:
        """Whether the last seen record names this incarnation of this VM as the holder."""
        return self._names_this_vm()

    def holds(self, now_s: float) -> bool:
        """Return whether this VM may grant keys now."""
        return now_s < self._authority_until_s

    @property
    def era(self) -> int | None:
        """The store's era that this VM last saw; None if the store reports none."""
        return self._era

    def begin_era(self, now_s: float, era: int) -> None:
        """Give up the authority and forget the record, since the store came back from a copy.

        The result of a call in flight must be passed on as usual. A write in flight confirms
        nothing, even if it is answered: its revision may stand for another record now.
        """
        self._era, self._era_seen_s = era, now_s
        self._authority_until_s = float("-inf")
        self._record, self._revision, self._has_read = None, 0, False
        self._sent_write, self._is_write_unconfirmed = None, False
        self._next_call_s = now_s

    def tick(self, now_s: float, may_hold: bool = True) -> ReadLease | WriteLease | None:
        """Return the call to make now; None if none is due.

        Unless `may_hold`, a lease that is held is given up at once, and none is taken over.
        """
        self._may_hold = may_hold
        if self._is_call_in_flight or self._has_resigned:
            return None
        gives_up = not may_hold and self.holds(now_s) and not self._is_write_unconfirmed
        if now_s < self._next_call_s and not gives_up:
            return None
        action = self._next_action(now_s)
        self._is_call_in_flight = True
        if isinstance(action, WriteLease):
            self._sent_write = (action.record, now_s)
            if action.record.resigned:
                # Another VM may take the lease over before the answer arrives.
                self._authority_until_s = float("-inf")
        return action

    def resign(self) -> WriteLease | None:
        """Give up the lease; return the write, if any, that lets another VM take over at once."""
        held = self._names_this_vm() and self._authority_until_s > float("-inf")
        self._has_resigned = True
        self._authority_until_s = float("-inf")
        if not held or self._is_write_unconfirmed:
            return None
        return WriteLease(self._next_record(resigned=True), self._revision)

    def on_read(self, now_s: float, record: LeaseRecord | None, revision: int) -> None:
        """Apply the result of a read, or the record that a write conflict returned."""
        self._is_call_in_flight = False
        if revision >= self._revision:
            if revision > self._revision or not self._has_read:
                self._unchanged_since_s = now_s
            self._record, self._revision, self._has_read = record, revision, True
            self._confirm_sent()
        self._is_write_unconfirmed = False
        self._schedule_next_call(now_s)

    def on_relayed(self, now_s: float, record: LeaseRecord, revision: int) -> None:
        """Apply a newer record that another VM read; it never extends this VM's authority.

        One of another era is ignored, since its revision may be above all of this era.
        """
        if self._is_call_in_flight or revision <= self._revision or record.era != self._era:
            return
        self._record, self._revision, self._has_read = record, revision, True
        self._unchanged_since_s = now_s

    def on_written(self, now_s: float, revision: int) -> None:
        """Apply the confirmation of the write in flight."""
        self._is_call_in_flight = False
        if self._sent_write is None:  # sent in an earlier era
            self._next_call_s = now_s
            return
        if revision > self._revision:
            self._record, self._revision, self._has_read = self._sent_write[0], revision, True
            self._unchanged_since_s = now_s
        self._confirm_sent()
        self._schedule_next_call(now_s)

    def on_failed(self, now_s: float) -> None:
        """Record that a call got no answer; a write may have taken effect."""
        self._is_call_in_flight = False
        self._is_write_unconfirmed = self._sent_write is not None
        self._next_call_s = now_s + self._timing.poll_s / 2

    def _next_action(self, now_s: float) -> ReadLease | WriteLease:
        if self._is_write_unconfirmed or not self._has_read:
            return ReadLease(stale=False)
        if not self._may_hold:
            if self._is_own_lease():
                return WriteLease(self._next_record(resigned=True), self._revision)
            return ReadLease(stale=True)
        if self._is_own_lease():
            return WriteLease(self._next_record(), self._revision)
        if self._may_take_over(now_s):
            return WriteLease(self._next_record(), self._revision)
        return ReadLease(stale=True)

    def _may_take_over(self, now_s: float) -> bool:
        return now_s >= self._takeover_time_s()

    def _takeover_time_s(self) -> float:
        """Return the time from which on this VM may take the last seen record over."""
        record = self._record
        wait_s = self._timing.takeover_s + self._takeover_delay_s
        if record is None:
            # No era precedes era 0, so no VM can have held the lease.
            return self._era_seen_s + wait_s if self._era else float("-inf")
        if record.era != self._era:
            # Also a record that was resigned: the copy may be older than the last takeover.
            return max(self._unchanged_since_s, self._era_seen_s) + wait_s
        return float("-inf") if record.resigned else self._unchanged_since_s + wait_s

    def _names_this_vm(self) -> bool:
        """Return whether this incarnation of this VM wrote the record in the current era."""
        record = self._record
        return (
            record is not None
            and (record.vm_id, record.incarnation) == self._own_id
            and record.era == self._era
        )

    def _is_own_lease(self) -> bool:
        return self._names_this_vm() and self._record is not None and not self._record.resigned

    def _next_record(self, resigned: bool = False) -> LeaseRecord:
        # Not the counter of a write without an answer: finding that one must not confirm this one.
        known_counter = self._record.counter if self._record is not None else 0
        self._last_counter = max(known_counter, self._last_counter) + 1
        return LeaseRecord(*self._own_id, self._last_counter, resigned, self._era)

    def _confirm_sent(self) -> None:
        """Extend the authority after a successful write; end it if another VM has the lease."""
        if self._sent_write is None:
            return
        record, sent_s = self._sent_write
        if self._record == record and not (self._has_resigned or record.resigned):
            self._authority_until_s = sent_s + self._timing.lease_s
        elif not self._names_this_vm():
            self._authority_until_s = float("-inf")
        self._sent_write = None

    def _schedule_next_call(self, now_s: float) -> None:
        is_holder = self._names_this_vm() and not self._has_resigned
        wait_s = self._timing.renew_s if is_holder else self._timing.poll_s
        self._next_call_s = now_s + wait_s
        if not is_holder and self._has_read and self._may_hold:
            # The next call is due when a takeover becomes possible, and now if it already is.
            self._next_call_s = min(self._next_call_s, max(self._takeover_time_s(), now_s))
