"""Tells the last hops of forwarded requests that callers have left."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from fireflyferry.balancing import EntryVm
from fireflyferry.edges import Clock
from fireflyferry.tasks import BackgroundTasks

__all__ = ["DepartedRequests", "DepartureNotices"]

MAX_IDS = 500  # in one message, which then has at most some tens of KB
# A forward may still be on its way, or wait for memory, when the message about it arrives. Callers
# use an id once, so a short time keeps one that does not from losing its next request.
RETENTION_S = 2.0
MAX_RETAINED = 10_000


class DepartureNotices:
    """Messages to other VMs with the ids of requests whose callers have left.

    A message is repeated until the other VM confirms it, or until the deadlines of its requests:
    one that a cut loses is not sent again by the kernel, since its connection is given up. Each VM
    gets one message at a time, with all ids that have gathered meanwhile.
    """

    def __init__(
        self,
        clock: Clock,
        post: Callable[[EntryVm, bytes], Awaitable[bool]],
        retry_delay_s: float,
    ):
        self._clock = clock
        self._post = post
        self._retry_delay_s = retry_delay_s
        self._until_s: dict[EntryVm, dict[str, float]] = {}
        self._tasks = BackgroundTasks()

    def add(self, vm: EntryVm, request_id: str, deadline_s: float) -> None:
        """Tell a VM that the caller of a request has left; the deadline is in seconds."""
        is_sending = vm in self._until_s
        self._until_s.setdefault(vm, {})[request_id] = deadline_s
        if not is_sending:
            self._tasks.start(self._send(vm))

    async def _send(self, vm: EntryVm) -> None:
        pending = self._until_s[vm]
        try:
            while pending:
                ids = list(pending)[:MAX_IDS]
                if await self._post(vm, "\n".join(ids).encode()):
                    for each in ids:
                        del pending[each]
                    continue
                await asyncio.sleep(self._retry_delay_s)
                now_s = self._clock.monotonic_s()
                for each in [name for name, until_s in pending.items() if until_s <= now_s]:
                    del pending[each]
        finally:
            del self._until_s[vm]


class DepartedRequests:
    """Ids of requests whose callers have left, as other VMs have told."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._until_s: dict[str, float] = {}

    def add(self, request_ids: Iterable[str]) -> None:
        """Remember ids for a while."""
        now_s = self._clock.monotonic_s()
        for each in request_ids:
            self._until_s.pop(each, None)
            self._until_s[each] = now_s + RETENTION_S
        for each, until_s in list(self._until_s.items()):
            if until_s > now_s and len(self._until_s) <= MAX_RETAINED:
                break
            del self._until_s[each]

    def __contains__(self, request_id: str) -> bool:
        return self._until_s.get(request_id, 0.0) > self._clock.monotonic_s()
