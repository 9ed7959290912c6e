"""Feed: VMs of a large data centre receive the store's documents from another VM, their relay.

Calls to the store are priced. If every VM watched the store itself, the number of calls would grow
with the number of VMs times the number of changes.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence

import attrs

from fireflyferry.balancing import EntryVm, VmDirectory
from fireflyferry.edges import Clock
from fireflyferry.gateway.edges import DocumentBatch
from fireflyferry.gateway.eras import StoreEras
from fireflyferry.gateway.mirror import DocumentMirror, FeedChanges
from fireflyferry.gateway.watching import KindPoller, KindSource, StoreHealth

__all__ = ["Feed", "FeedAnswer", "FeedRequest", "FeedRules", "relay_candidates"]

_LOG = logging.getLogger(__name__)

UNKNOWN_AGE_S = 1e6  # stands for "never", since messages and logs cannot hold an infinite age


@attrs.frozen
class FeedRules:
    """Timing of the feed, in seconds.

    A relay holds a request for at most `hold_s`, and answers earlier if its data would become
    older than `max_age_s`. Older data is not used, since a change has to be in force on all VMs
    within 2 s after the store confirmed it. A relay that failed is not polled again for `avoid_s`.
    A VM that reads the store itself checks for a relay every `direct_check_s`. `relays` is how many
    VMs of a data centre may serve as relays.
    """

    hold_s: float = 0.7
    max_age_s: float = 1.3
    avoid_s: float = 2.0
    direct_check_s: float = 0.5
    relays: int = 3


@attrs.frozen
class FeedRequest:
    """A follower's request for the changes after a sequence number of its relay.

    `incarnation` is the incarnation of the relay that assigned the number. `outdated_kinds` are
    kinds whose documents the follower found to be outdated.
    """

    incarnation: str
    sequence: int
    outdated_kinds: tuple[str, ...] = ()


@attrs.frozen
class FeedAnswer:
    """Changes from a relay, and the state of its connection to the store.

    `age_s` is the time in seconds since the store last answered the relay, `last_failure_age_s`
    the time since a call of the relay to the store last failed. `evacuations_age_s` is the time
    since the relay's list of evacuations was known to be complete; infinite if the relay does not
    say it.
    """

    incarnation: str
    age_s: float
    last_failure_age_s: float
    changes: FeedChanges
    evacuations_age_s: float = float("inf")


def relay_candidates(vms: VmDirectory, data_centre: str, rules: FeedRules) -> list[EntryVm]:
    """Return the VMs of a data centre that may be relays, in order of preference.

    The VMs with the highest capacity come first; VMs that are shutting down are left out. A small
    data centre has no relays.
    """
    if not vms.is_large(data_centre):
        return []
    return sorted(vms.active_vms(data_centre), key=lambda vm: (-vm.capacity, vm.vm_id))[
        : rules.relays
    ]


class Feed:
    """Follows a relay while one is available, and serves the VMs that follow this one.

    While this VM follows a relay, its own sources, which read the store, are paused.
    """

    def __init__(
        self,
        clock: Clock,
        mirror: DocumentMirror,
        health: StoreHealth,
        vms: VmDirectory,
        sources: Sequence[KindSource],
        vm_kind: str,
        required_kinds: Sequence[str],
        poll_relay: Callable[[EntryVm, FeedRequest, float], Awaitable[FeedAnswer | None]],
        probe: Callable[[], Awaitable[bool]],
        rules: FeedRules | None = None,
        eras: StoreEras | None = None,
        evacuation_kind: str = "",
    ):
        self._clock = clock
        self._mirror = mirror
        self._health = health
        self._vms = vms
        self._sources = tuple(sources)
        self._vm_kind = vm_kind
        self._required_kinds = tuple(required_kinds)
        self._poll_relay = poll_relay
        self._probe = probe
        self._eras = eras or StoreEras()
        self._rules = rules or FeedRules()
        self._evacuation_kind = evacuation_kind
        self._relay: EntryVm | None = None
        self._relay_position = ("", 0)
        self._avoided_until_s: dict[str, float] = {}

    @property
    def relay(self) -> EntryVm | None:
        """The VM that this one follows; None while it follows no relay."""
        return self._relay

    @property
    def direct(self) -> bool:
        """Whether this VM reads the store itself."""
        return all(source.running for source in self._sources)

    @property
    def age_s(self) -> float:
        """Seconds since the store last answered this VM, or the relay that it follows."""
        return self._health.last_answer_age_s

    def vms_to_notify(self) -> list[list[EntryVm]]:
        """Return lists of VMs; of each, the first one that can be reached has to learn of a change.

        In a large data centre all VMs learn it from their relay, so the list has its candidates. A
        list that begins with this VM is left out.
        """
        lists: list[list[EntryVm]] = []
        suspected = {vm.vm_id for vm in self._vms.suspected}
        for data_centre in sorted({vm.data_centre for vm in self._vms}):
            candidates = relay_candidates(self._vms, data_centre, self._rules)
            if candidates:
                lists.append(sorted(candidates, key=lambda vm: vm.vm_id in suspected))
            else:
                lists += [[vm] for vm in self._vms if vm.data_centre == data_centre]
        return [each for each in lists if each[0].vm_id != self._vms.this_vm.vm_id]

    async def run(self) -> None:
        """Follow a relay, or read the store while there is none, until cancelled.

        At first only the list of VMs is read from the store, since relays are chosen from it.
        """
        for source in self._sources:
            if source.kind != self._vm_kind:
                source.pause()
        while not self._mirror.has_listed([self._vm_kind]):
            await self._mirror.wait(self._mirror.sequence, self._rules.hold_s)
        while True:
            relay = self._choose_relay()
            if relay is None:
                await self._switch_to_store()
                await asyncio.sleep(self._rules.direct_check_s)
            elif not await self._follow_once(relay):
                self._avoided_until_s[relay.vm_id] = self._clock.monotonic_s() + self._rules.avoid_s

    async def answer(self, request: FeedRequest) -> FeedAnswer | None:
        """Answer a follower as soon as there are changes, or after `hold_s`.

        Returns None while this VM has not listed all required kinds or its data is too old.
        """
        rules, mirror = self._rules, self._mirror
        if not mirror.has_listed(self._required_kinds):
            # If all VMs started at the same moment, this VM's first lists may arrive shortly.
            await mirror.wait(mirror.sequence, rules.hold_s)
        if not mirror.has_listed(self._required_kinds) or self.age_s > rules.max_age_s:
            return None
        self._request_exact_lists(request.outdated_kinds)
        incarnation = self._vms.this_vm.incarnation
        since = request.sequence if request.incarnation == incarnation else 0
        await mirror.wait(since, min(rules.hold_s, rules.max_age_s - self.age_s))
        if not mirror.has_listed(self._required_kinds):
            # An era has begun meanwhile. The lists of the new era may arrive shortly.
            await mirror.wait(mirror.sequence, rules.hold_s)
            if not mirror.has_listed(self._required_kinds):
                return None
        last_failure_age_s = min(self._health.last_failure_age_s, UNKNOWN_AGE_S)
        changes = mirror.changes_since(since)
        complete_s = mirror.complete_until_s(self._evacuation_kind)
        evacuations_age_s = self._clock.monotonic_s() - complete_s
        return FeedAnswer(incarnation, self.age_s, last_failure_age_s, changes, evacuations_age_s)

    def _request_exact_lists(self, kinds: Sequence[str]) -> None:
        for source in self._pollers():
            if source.kind in kinds:
                source.request_exact_list()

    def _pollers(self) -> list[KindPoller]:
        return [source for source in self._sources if isinstance(source, KindPoller)]

    def _choose_relay(self) -> EntryVm | None:
        """Return the relay to follow; None if this VM has to read the store itself.

        It is the first candidate that did not fail recently. Only candidates ahead of this VM in
        the order are considered.
        """
        now_s, this_vm = self._clock.monotonic_s(), self._vms.this_vm
        for vm in relay_candidates(self._vms, this_vm.data_centre, self._rules):
            if vm.vm_id == this_vm.vm_id:
                return None
            if now_s >= self._avoided_until_s.get(vm.vm_id, 0.0):
                return vm
        return None

    async def _switch_to_store(self) -> None:
        """Stop following a relay, and resume the sources if the store responds."""
        if self._relay is not None:
            _LOG.info(
                "relay_left",
                extra={
                    "vm": self._relay.vm_id,
                    "incarnation": self._relay.incarnation,
                    "age_s": self._rounded_age(),
                },
            )
            self._relay = None
        if self.direct:
            return
        # One cheap call checks that the store responds before all sources start to call it.
        if await self._probe():
            _LOG.info("store_asked_directly", extra={"sequence": self._mirror.sequence})
            for source in self._sources:
                source.resume()

    async def _follow_once(self, relay: EntryVm) -> bool:
        """Poll a relay once; return False if it gave no usable answer."""
        requested = [source for source in self._pollers() if source.exact_list_requested]
        outdated_kinds = tuple(source.kind for source in requested)
        incarnation, sequence = self._relay_position
        request = FeedRequest(incarnation, sequence, outdated_kinds)
        requested_s = self._clock.monotonic_s()
        answer = await self._poll_relay(relay, request, self._rules.hold_s)
        if answer is not None and not self._is_of_this_era(answer):
            answer = None
        # A relay of an earlier revision does not have all kinds.
        lacks_kinds = answer is not None and not answer.changes.kinds.keys() >= set(
            self._required_kinds
        )
        if answer is None or answer.age_s > self._rules.max_age_s or lacks_kinds:
            _LOG.info(
                "relay_not_usable",
                extra={
                    "vm": relay.vm_id,
                    "incarnation": relay.incarnation,
                    "answered": answer is not None,
                    "relay_age_s": None if answer is None else round(answer.age_s, 3),
                    "age_s": self._rounded_age(),
                },
            )
            return False
        for source in requested:
            source.cancel_exact_list()
        self._apply_answer(answer, requested_s)
        if self._relay != relay:
            self._relay = relay
            _LOG.info(
                "relay_followed",
                extra={
                    "vm": relay.vm_id,
                    "incarnation": relay.incarnation,
                    "relay_age_s": round(answer.age_s, 3),
                },
            )
        for source in self._sources:
            source.pause()
        return True

    def _is_of_this_era(self, answer: FeedAnswer) -> bool:
        """Return whether an answer is of the highest era known, which it may raise.

        A relay that knows no era, or an earlier one, may hold documents that the store lost.
        """
        era, known = answer.changes.era, self._eras.current
        if era is None or (known is not None and era < known):
            return era == known
        self._eras.observe(era, "relay")
        return True

    def _apply_answer(self, answer: FeedAnswer, requested_s: float) -> None:
        # Reported before the documents are applied, since recent failures of the store decide
        # whether a missing upstream counts as lapsed or as leaving.
        self._health.on_relay_report(answer.age_s, answer.last_failure_age_s)
        changes = answer.changes
        now_s = self._clock.monotonic_s()
        for kind, each in changes.kinds.items():
            if kind == self._evacuation_kind:
                # The store may have answered the relay's other calls, but not this watch.
                self._mirror.on_answer(kind, requested_s, now_s - answer.evacuations_age_s)
            else:
                self._mirror.on_answer(kind, requested_s, now_s - answer.age_s)
            if changes.is_snapshot:
                self._mirror.replace(kind, DocumentBatch(each.position, each.documents))
            else:
                self._mirror.change(kind, each)
        self._relay_position = (answer.incarnation, changes.sequence)

    def _rounded_age(self) -> float:
        return round(min(self.age_s, UNKNOWN_AGE_S), 3)
