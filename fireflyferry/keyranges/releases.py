"""Releases that ranges on their way to a next owner wait for."""

from collections.abc import Container

from fireflyferry.keyranges.grant_state import Release
from fireflyferry.keyranges.orders import GrantAnswer, ReleaseCall
from fireflyferry.keyranges.sent_grants import SentGrants
from fireflyferry.keyranges.table import OwnedRange, UpstreamRun

__all__ = ["AwaitedReleases"]

_KeyRange = tuple[int, int]


class AwaitedReleases:
    """State of each release by range and earlier holder; times in seconds."""

    def __init__(self, sent_grants: SentGrants, retry_delay_s: float):
        self._sent_grants = sent_grants
        self._retry_delay_s = retry_delay_s
        self._releases: dict[tuple[_KeyRange, UpstreamRun], Release] = {}

    def get(self, owned: OwnedRange, run: UpstreamRun) -> Release | None:
        """Return the release of a range by an earlier holder, if one is awaited."""
        return self._releases.get(((owned.first, owned.last), run))

    def get_or_add(self, owned: OwnedRange, run: UpstreamRun) -> Release:
        """Return the release of a range, which is added if an earlier term began the move.

        The VM that granted then may have sent grants until this term began.
        """
        key = ((owned.first, owned.last), run)
        release = self._releases.get(key)
        if release is None:
            release = self._releases[key] = Release(self._sent_grants.expiry_s(run))
        return release

    def put(self, key_range: _KeyRange, run: UpstreamRun, grant_expiry_s: float | None) -> None:
        """Await a release, or the expiry of the grants; None while grant calls are in flight."""
        self._releases[key_range, run] = Release(grant_expiry_s)

    def retain(self, awaited: Container[tuple[_KeyRange, UpstreamRun]]) -> None:
        """Drop the releases that no range waits for."""
        self._releases = {key: each for key, each in self._releases.items() if key in awaited}

    def on_answer(self, now_s: float, call: ReleaseCall, answer: GrantAnswer) -> bool:
        """Apply the result of a call; return whether the range still waits for that call."""
        release = self._releases.get(((call.first, call.last), call.run))
        if release is None or release.called_fence != call.fence:
            return False
        release.call_in_flight = False
        release.next_call_s = now_s + self._retry_delay_s
        release.done = release.done or answer is GrantAnswer.ACCEPTED
        return True

    def is_due(self, now_s: float, run: UpstreamRun) -> bool:
        """Return whether a release is due, which another grant call to the upstream would delay."""
        return any(
            holder.upstream_id == run.upstream_id
            and not self._sent_grants.has_ended(holder)
            and not (each.done or each.call_in_flight)
            and now_s >= each.next_call_s
            and not each.has_expired(now_s)
            for (_, holder), each in self._releases.items()
        )

    def set_expiry(self, run: UpstreamRun) -> None:
        """Set when the grants to an upstream expire, once no grant call to it is in flight."""
        if self._sent_grants.in_flight(run):
            return
        for (_, holder), release in self._releases.items():
            if holder.upstream_id == run.upstream_id and release.grant_expiry_s is None:
                release.grant_expiry_s = self._sent_grants.expiry_s(run)
