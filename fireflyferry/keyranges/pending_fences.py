"""Earlier holders of keys that have not yet answered a release under the fence of the next owner.

A grant that was held up on its way is refused only by an upstream that has seen a higher fence.
Keys move away from an upstream that cannot be reached once its grants have expired, and then no
release has told it of the new fence. It gets the release afterwards, until it answers.
"""

from collections.abc import Iterator, Mapping

import attrs

from fireflyferry.keyranges.orders import GrantAnswer, ReleaseCall
from fireflyferry.keyranges.table import OwnedRange, UpstreamRun

__all__ = ["PendingFences"]


_KeyRange = tuple[int, int]


@attrs.define
class _Holder:
    """Releases that one earlier holder has to answer.

    `fences` holds the fence of the next owner of each range, and `answers` is set while the holder
    has answered the last call.
    """

    fences: dict[_KeyRange, int] = attrs.field(factory=dict)
    calls_in_flight: dict[_KeyRange, ReleaseCall] = attrs.field(factory=dict)
    answers: bool = False
    next_call_s: float = 0.0

    def due(self, now_s: float) -> Iterator[tuple[_KeyRange, int]]:
        """Yield the ranges to release now: one until the holder answers, then all others."""
        if self.answers:
            yield from (each for each in self.fences.items() if each[0] not in self.calls_in_flight)
        elif self.fences and not self.calls_in_flight and now_s >= self.next_call_s:
            yield next(iter(self.fences.items()))


class PendingFences:
    """Releases to earlier holders whose grants expired; times in seconds.

    A holder that does not answer gets a call every `retry_delay_s` at most, whatever the number
    of its ranges.
    """

    def __init__(self, retry_delay_s: float):
        self._retry_delay_s = retry_delay_s
        self._holders: dict[UpstreamRun, _Holder] = {}

    def __len__(self) -> int:
        return sum(len(holder.fences) for holder in self._holders.values())

    def add(self, run: UpstreamRun, owned: OwnedRange) -> None:
        """Add an earlier holder of a range that goes to its next owner."""
        holder = self._holders.setdefault(run, _Holder())
        holder.fences[owned.first, owned.last] = owned.fence

    def withdraw(self, owned: OwnedRange) -> None:
        """Withdraw releases of keys that go back to a holder, which learns the fence by its grant.

        The keys may come back to a later incarnation at the same address.
        """
        for run, holder in self._holders.items():
            if run.upstream_id == owned.owner.upstream_id:
                holder.fences = {
                    key_range: fence
                    for key_range, fence in holder.fences.items()
                    if not _overlaps(key_range, owned)
                }

    def blocks(self, owned: OwnedRange) -> bool:
        """Return whether a release in flight could end a grant of a range to its owner."""
        return any(
            _overlaps(key_range, owned)
            for run, holder in self._holders.items()
            if run.upstream_id == owned.owner.upstream_id
            for key_range in holder.calls_in_flight
        )

    def calls(self, now_s: float, addresses: Mapping[str, str]) -> Iterator[ReleaseCall]:
        """Yield the calls to make now; forget holders that are done or have no address any more."""
        for run, holder in list(self._holders.items()):
            address = addresses.get(run.upstream_id)
            if address is not None:
                for key_range, fence in list(holder.due(now_s)):
                    call = ReleaseCall(run, address, *key_range, fence, is_reminder=True)
                    holder.calls_in_flight[key_range] = call
                    yield call
            if not holder.calls_in_flight and not (address and holder.fences):
                del self._holders[run]

    def on_answer(self, now_s: float, call: ReleaseCall, answer: GrantAnswer) -> None:
        """Apply the result of a call."""
        holder = self._holders.get(call.run)
        key_range = (call.first, call.last)
        if holder is None or holder.calls_in_flight.pop(key_range, None) != call:
            return
        holder.answers = answer in (GrantAnswer.ACCEPTED, GrantAnswer.HIGHER_FENCE)
        if answer is GrantAnswer.OTHER_UPSTREAM:
            holder.fences.clear()
        elif not holder.answers:
            holder.next_call_s = now_s + self._retry_delay_s
        elif holder.fences.get(key_range) == call.fence:
            del holder.fences[key_range]


def _overlaps(key_range: _KeyRange, owned: OwnedRange) -> bool:
    first, last = key_range
    return first <= owned.last and owned.first <= last
