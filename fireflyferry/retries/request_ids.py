"""Request ids (UUIDv7) and the table that detects repeated ones."""

import collections
import random
import uuid

import attrs

from fireflyferry.errors import FireflyferryError
from fireflyferry.telemetry import Outcome

__all__ = [
    "Answered",
    "BadRequestIdError",
    "InFlight",
    "NewId",
    "OutcomeUnknown",
    "RequestIdTable",
    "StoredAnswer",
    "issued_wall_s",
    "new_request_id",
]


class BadRequestIdError(FireflyferryError):
    """A request id that is not a UUIDv7, or that belongs to another request."""

    code = "bad_request_id"


def new_request_id(wall_s: float, rng: random.Random) -> str:
    """Return a UUIDv7 for a wall-clock time in seconds since the epoch."""
    random_bits = rng.getrandbits(74)
    value = (int(wall_s * 1000) & 0xFFFFFFFFFFFF) << 80
    value |= 0x7 << 76 | (random_bits >> 62) << 64 | 0x2 << 62 | random_bits & (1 << 62) - 1
    digits = f"{value:032x}"
    return f"{digits[:8]}-{digits[8:12]}-{digits[12:16]}-{digits[16:20]}-{digits[20:]}"


def issued_wall_s(request_id: str) -> float:
    """Return the issue time of a UUIDv7 in seconds since the epoch.

    Raises BadRequestIdError unless the text is a UUIDv7 in canonical lower-case form.
    """
    try:
        parsed = uuid.UUID(request_id)
    except ValueError as error:
        raise BadRequestIdError(f"request id {request_id!r} is not a UUID") from error
    if parsed.version != 7 or str(parsed) != request_id:
        raise BadRequestIdError(f"request id {request_id!r} is not a canonical UUIDv7")
    return (parsed.int >> 80) / 1000.0


@attrs.frozen
class StoredAnswer:
    """A small answer that is kept, so that a retry with the same id receives it again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen
class NewId:
    """The id was not seen before; the request may run."""


@attrs.frozen
class InFlight:
    """A request with this id is in progress."""


@attrs.frozen
class Answered:
    """A request with this id was answered."""

    answer: StoredAnswer


@attrs.frozen
class OutcomeUnknown:
    """A request with this id may have run; its answer is not available."""


@attrs.define
class _Entry:
    fingerprint: int
    started_wall_s: float
    finished_s: float | None = None
    answer: StoredAnswer | None = None


class RequestIdTable:
    """Ids seen by one group; complete for ids issued later than the horizon plus the clock skew.

    An older id may have been seen by an earlier leader, or evicted. Wall-clock times are compared
    with the issue times in ids; monotonic times bound how long an entry is kept after its request
    ended. Entries of requests in flight are never evicted.
    """

    def __init__(
        self,
        wall_s: float,
        retention_s: float = 120.0,
        max_entries: int = 100_000,
        max_skew_s: float = 2.0,
    ):
        self._horizon_s = wall_s
        self._bucket_horizons: dict[int, float] = {}
        self._retention_s = retention_s
        self._max_entries = max_entries
        self._max_skew_s = max_skew_s
        self._entries: dict[str, _Entry] = {}
        self._finished: collections.deque[tuple[str, _Entry]] = collections.deque()

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def horizon_s(self) -> float:
        """Horizon as wall-clock time in seconds, for buckets without a later one of their own."""
        return self._horizon_s

    def bucket_gained(self, wall_s: float, bucket: int) -> None:
        """Set a later horizon for a bucket that was moved here from another group."""
        self._bucket_horizons[bucket] = wall_s

    def begin(
        self,
        now_s: float,
        wall_s: float,
        request_id: str,
        bucket: int = 0,
        fingerprint: int = 0,
        first_attempt: bool = False,
    ) -> NewId | InFlight | Answered | OutcomeUnknown:
        """Register an id; `first_attempt` marks an id that the router issued for this request.

        `fingerprint` is a hash that is equal for a request and its retries. Raises
        BadRequestIdError for an id that is malformed or that another request uses, and for one
        issued further in the future than the clock skew, which would still be valid after its entry
        was dropped.
        """
        self._expire(now_s)
        entry = self._entries.get(request_id)
        if entry is not None:
            if entry.fingerprint != fingerprint:
                raise BadRequestIdError(f"request id {request_id} belongs to another request")
            if entry.finished_s is None:
                return InFlight()
            return OutcomeUnknown() if entry.answer is None else Answered(entry.answer)
        if not first_attempt:
            issued_s = issued_wall_s(request_id)
            if issued_s > wall_s + self._max_skew_s:
                raise BadRequestIdError(f"request id {request_id} was issued in the future")
            if issued_s <= self._horizon_of(bucket) + self._max_skew_s:
                return OutcomeUnknown()
        self._entries[request_id] = _Entry(fingerprint, wall_s)
        return NewId()

    def finish(
        self, now_s: float, request_id: str, outcome: Outcome, answer: StoredAnswer | None = None
    ) -> None:
        """Record the outcome of a request whose id `begin` reported as new.

        An id whose request did not run is removed, so that the caller may retry it.
        """
        entry = self._entries.get(request_id)
        if entry is None or entry.finished_s is not None:
            return
        if outcome is Outcome.NOT_RUN:
            del self._entries[request_id]
            return
        entry.finished_s = now_s
        entry.answer = answer if outcome is Outcome.ANSWERED else None
        self._finished.append((request_id, entry))
        while len(self._entries) > self._max_entries and self._finished:
            self._evict_oldest()

    def _horizon_of(self, bucket: int) -> float:
        return max(self._horizon_s, self._bucket_horizons.get(bucket, self._horizon_s))

    def _expire(self, now_s: float) -> None:
        while self._finished and self._finished[0][1].finished_s + self._retention_s < now_s:
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        request_id, entry = self._finished.popleft()
        del self._entries[request_id]
        self._horizon_s = max(self._horizon_s, entry.started_wall_s)
        if len(self._bucket_horizons) and self._horizon_s >= max(self._bucket_horizons.values()):
            self._bucket_horizons.clear()
