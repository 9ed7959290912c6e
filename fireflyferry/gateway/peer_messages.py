"""Messages between entry VMs."""

import zlib
from collections.abc import Sequence
from typing import Any

import attrs
import orjson

from fireflyferry.gateway.calls import Answer, Attempt, Call
from fireflyferry.gateway.edges import Document
from fireflyferry.gateway.feed import FeedAnswer, FeedRequest
from fireflyferry.gateway.mirror import FeedChanges, KindChanges
from fireflyferry.gateway.sampling import LoadReport
from fireflyferry.messages.codec import MessageError, structure, unstructure
from fireflyferry.telemetry import Outcome, Reason

__all__ = [
    "EARLIER_CALL_HEADER",
    "FEED_HEADER",
    "PATH_HEADER",
    "RESULT_HEADER",
    "PeerCall",
    "PeerMessageError",
    "read_call",
    "read_feed",
    "read_feed_request",
    "read_loads",
    "read_owners",
    "read_result",
    "write_call",
    "write_feed_body",
    "write_feed_header",
    "write_feed_request",
    "write_loads",
    "write_owners",
    "write_result",
]

EARLIER_CALL_HEADER = "Firefly-Call"  # of forwarded requests before there were envelopes
RESULT_HEADER = "Firefly-Result"
FEED_HEADER = "Firefly-Feed"
PATH_HEADER = "Firefly-Path"  # of a VM that reaches no upstream
PATH_LOST = "lost"
PATH_REFUSED = "refused"  # and so has refused the forwarded request

EMPTY = "-"  # stands for an empty value, since values are separated by spaces
# Each change of the configuration sends all of it again, for example 1,500 routes.
FAST_COMPRESSION_LEVEL = 1


_OUTCOMES_BY_LETTER = {"a": Outcome.ANSWERED, "n": Outcome.NOT_RUN, "u": Outcome.UNKNOWN}
_OUTCOME_LETTERS = {outcome: letter for letter, outcome in _OUTCOMES_BY_LETTER.items()}


class PeerMessageError(ValueError):
    """A header or body of another entry VM that cannot be parsed."""


@attrs.frozen
class PeerCall:
    """Description of a forwarded request for the last hop.

    Times are in milliseconds relative to the moment of sending, since the clocks of VMs differ.
    All values are sent in one line, in the order of the fields.
    """

    upstream_id: str
    born: int
    pool: str
    key: int
    idempotent: int
    priority: int
    max_attempts: int
    repeated: int
    tried: str
    age_ms: int
    target_in_ms: int
    left_ms: int

    @property
    def tried_upstreams(self) -> frozenset[str]:
        """Upstreams that must not be tried again."""
        return frozenset() if self.tried == EMPTY else frozenset(self.tried.split(","))

    def line(self) -> str:
        """Return the line to send."""
        return " ".join(str(value) for value in attrs.astuple(self))


def write_call(call: Call, upstream_id: str, born: int, now_s: float) -> str:
    """Return the line that describes a forwarded request."""
    return PeerCall(
        upstream_id,
        born,
        call.pool,
        -1 if call.key is None else call.key,
        int(call.idempotent),
        call.priority,
        call.max_attempts,
        int(call.repeated),
        ",".join(sorted(call.tried)) or EMPTY,
        round((now_s - call.started_s) * 1000),
        round((call.target_time_s - now_s) * 1000),
        round((call.deadline_s - now_s) * 1000),
    ).line()


def read_call(line: str) -> PeerCall:
    """Parse the line that describes a forwarded request.

    Raises PeerMessageError.
    """
    parts = line.split(" ")
    fields = attrs.fields(PeerCall)
    if len(parts) != len(fields):
        raise PeerMessageError(f"line has {len(parts)} values instead of {len(fields)}")
    try:
        return PeerCall(
            *(
                int(part) if field.type is int else part
                for part, field in zip(parts, fields, strict=True)
            )
        )
    except ValueError as error:
        raise PeerMessageError(str(error)) from error


def write_result(attempt: Attempt, upstream_id: str = "") -> str:
    """Return the line that describes the result of an attempt.

    The upstream is left out if it is the one that the first hop named.
    """
    values = (
        _OUTCOME_LETTERS[attempt.outcome],
        attempt.reason or EMPTY,
        int(attempt.reached),
        round(attempt.retry_after_s * 1000),
        -1 if attempt.wait_s is None else round(attempt.wait_s * 1000),
        round(attempt.service_s * 1000),
        EMPTY if attempt.upstream_id == upstream_id else attempt.upstream_id or EMPTY,
    )
    return " ".join(str(value) for value in values)


def read_result(line: str, answer: Answer | None, named_upstream: str) -> Attempt:
    """Parse the line of a result that came with an answer, or without one.

    Raises PeerMessageError.
    """
    parts = line.split(" ")
    try:
        letter, reason, reached, retry_after_ms, wait_ms, service_ms, upstream_id = parts
        outcome = _OUTCOMES_BY_LETTER[letter]
        if outcome is Outcome.ANSWERED and answer is None:
            raise ValueError("no answer")
        return Attempt(
            outcome,
            None if reason == EMPTY else Reason(reason),
            answer if outcome is Outcome.ANSWERED else None,
            reached == "1",
            int(retry_after_ms) / 1000,
            None if wait_ms == "-1" else int(wait_ms) / 1000,
            int(service_ms) / 1000,
            named_upstream if upstream_id == EMPTY else upstream_id,
        )
    except (KeyError, ValueError) as error:
        raise PeerMessageError(f"{line!r}: {error}") from error


def write_owners(document: Document) -> bytes:
    """Return the body that sends a stored owner table to another VM."""
    return zlib.compress(orjson.dumps(_row(document)))


def read_owners(body: bytes) -> Document:
    """Parse the body of an owner table message.

    Raises PeerMessageError.
    """
    try:
        return _document(orjson.loads(zlib.decompress(body)))
    except (zlib.error, orjson.JSONDecodeError, TypeError, ValueError) as error:
        raise PeerMessageError(f"owner table: {error}") from error


def write_loads(report: LoadReport) -> bytes:
    """Return the body of a load report."""
    return orjson.dumps(unstructure(report))


def read_loads(body: bytes) -> LoadReport:
    """Parse the body of a load report.

    Raises PeerMessageError.
    """
    try:
        return structure(orjson.loads(body), LoadReport)
    except (orjson.JSONDecodeError, MessageError) as error:
        raise PeerMessageError(f"load report: {error}") from error


def write_feed_request(request: FeedRequest) -> bytes:
    """Return the body of a follower's request to a relay."""
    return orjson.dumps([request.incarnation, request.sequence, list(request.outdated_kinds)])


def read_feed_request(body: bytes) -> FeedRequest:
    """Parse the body of a follower's request.

    Raises PeerMessageError.
    """
    try:
        incarnation, sequence, outdated_kinds = orjson.loads(body)
        return FeedRequest(str(incarnation), int(sequence), tuple(map(str, outdated_kinds)))
    except (orjson.JSONDecodeError, TypeError, ValueError) as error:
        raise PeerMessageError(f"feed request: {error}") from error


def write_feed_header(answer: FeedAnswer) -> str:
    """Return the header value with the incarnation and the ages, in milliseconds, of an answer."""
    ages_ms = (round(answer.age_s * 1000), round(answer.last_failure_age_s * 1000))
    return " ".join([answer.incarnation, *map(str, ages_ms)])


def write_feed_body(changes: FeedChanges) -> bytes:
    """Return the body of an answer to a follower."""
    kinds = {
        kind: [each.position, list(map(_row, each.documents)), list(each.removed)]
        for kind, each in changes.kinds.items()
    }
    return zlib.compress(
        orjson.dumps([changes.sequence, changes.is_snapshot, kinds]), FAST_COMPRESSION_LEVEL
    )


def read_feed(header: str | None, body: bytes) -> FeedAnswer:
    """Parse the header and the body of a relay's answer.

    Raises PeerMessageError.
    """
    try:
        incarnation, age_ms, last_failure_age_ms = (header or "").split(" ")
        sequence, is_snapshot, kinds = orjson.loads(zlib.decompress(body))
        changes = {
            kind: KindChanges(position, tuple(map(_document, rows)), tuple(removed))
            for kind, (position, rows, removed) in kinds.items()
        }
        return FeedAnswer(
            incarnation,
            int(age_ms) / 1000,
            int(last_failure_age_ms) / 1000,
            FeedChanges(sequence, is_snapshot, changes),
        )
    except (zlib.error, orjson.JSONDecodeError, TypeError, ValueError, AttributeError) as error:
        raise PeerMessageError(f"feed: {error}") from error


def _row(document: Document) -> tuple[str, int, Any]:
    return document.name, document.revision, document.content


def _document(row: Sequence[Any]) -> Document:
    name, revision, content = row
    return Document(name, revision, content)
