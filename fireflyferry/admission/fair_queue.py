"""Deficit round robin over tenants."""

import collections
from collections.abc import Iterator, Mapping
from typing import Generic, TypeVar

__all__ = ["OTHER_TENANTS", "FairQueue"]

T = TypeVar("T")

# Tenants without a weight share one queue, so that invented tenant names gain no extra share.
OTHER_TENANTS = ""


class FairQueue(Generic[T]):
    """One queue per tenant, served in turn; a tenant's weight is its number of items per round."""

    def __init__(self, weights: Mapping[str, int]):
        self._weights = dict(weights)
        self._queues: dict[str, collections.deque[T]] = {}
        self._round: collections.deque[str] = collections.deque()
        self._deficit: dict[str, int] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[T]:
        return (item for queue in self._queues.values() for item in queue)

    def set_weights(self, weights: Mapping[str, int]) -> None:
        """Replace the weights; items already queued stay in their queues."""
        self._weights = dict(weights)

    def queue_name_of(self, tenant: str) -> str:
        """Return the name of the queue that a tenant uses."""
        return tenant if tenant in self._weights else OTHER_TENANTS

    def weight_of(self, tenant: str) -> int:
        """Return the weight of a tenant's queue."""
        return max(1, self._weights.get(tenant, 1))

    def length_of(self, tenant: str) -> int:
        """Count the items waiting in a tenant's queue."""
        return len(self._queues.get(self.queue_name_of(tenant), ()))

    def ahead_of(self, tenant: str) -> int:
        """Return the maximum number of items that can be served before a tenant's new item."""
        queue_name = self.queue_name_of(tenant)
        own_length = len(self._queues.get(queue_name, ()))
        rounds = own_length // self.weight_of(queue_name) + 1
        others_ahead = sum(
            min(len(queue), rounds * self.weight_of(name))
            for name, queue in self._queues.items()
            if name != queue_name
        )
        return own_length + others_ahead

    def push(self, tenant: str, item: T) -> None:
        """Add an item to its tenant's queue."""
        queue_name = self.queue_name_of(tenant)
        queue = self._queues.get(queue_name)
        if queue is None:
            queue = self._queues[queue_name] = collections.deque()
            self._round.append(queue_name)
            self._deficit[queue_name] = 0
        queue.append(item)
        self._length += 1

    def pop(self) -> T | None:
        """Remove and return the next item in turn; None if no item is queued."""
        if not self._round:
            return None
        queue_name = self._round[0]
        if self._deficit[queue_name] == 0:
            self._deficit[queue_name] = self.weight_of(queue_name)
        item = self._queues[queue_name].popleft()
        self._deficit[queue_name] -= 1
        self._length -= 1
        if not self._queues[queue_name]:
            self._remove_queue(queue_name)
        elif self._deficit[queue_name] == 0:
            self._round.rotate(-1)
        return item

    def remove(self, tenant: str, item: T) -> bool:
        """Remove a queued item; return False if it is not queued."""
        queue_name = self.queue_name_of(tenant)
        queue = self._queues.get(queue_name)
        if queue is None or item not in queue:
            return False
        queue.remove(item)
        self._length -= 1
        if not queue:
            self._remove_queue(queue_name)
        return True

    def _remove_queue(self, queue_name: str) -> None:
        del self._queues[queue_name], self._deficit[queue_name]
        self._round.remove(queue_name)
