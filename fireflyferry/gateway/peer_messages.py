"""Messages between entry VMs."""

import logging
import zlib
from collections.abc import Iterable, Iterator
from typing import Any
from urllib.parse import quote, unquote

import attrs
import orjson

from fireflyferry.gateway.calls import Answer, Attempt, Call
from fireflyferry.gateway.edges import Document
from fireflyferry.gateway.eras import read_era
from fireflyferry.gateway.feed import FeedAnswer, FeedRequest
from fireflyferry.gateway.mirror import FeedChanges, KindChanges
from fireflyferry.gateway.sampling import LoadReport, PoolSample
from fireflyferry.keyranges import LAST_KEY, UpstreamRun
from fireflyferry.messages.codec import (
    MAX_INTEGER,
    MessageError,
    decode,
    loads,
    read_each,
    structure,
    unstructure,
)
from fireflyferry.telemetry import Outcome, Reason

__all__ = [
    "EARLIER_CALL_HEADER",
    "FEED_HEADER",
    "LEAVING_HEADER",
    "PATH_HEADER",
    "RESULT_HEADER",
    "PeerCall",
    "PeerMessageError",
    "read_call",
    "read_feed",
    "read_feed_request",
    "read_leaving",
    "read_loads",
    "read_owners",
    "read_result",
    "write_call",
    "write_feed_body",
    "write_feed_header",
    "write_feed_request",
    "write_leaving",
    "write_loads",
    "write_owners",
    "write_result",
]

_LOG = logging.getLogger(__name__)

EARLIER_CALL_HEADER = "Firefly-Call"  # of forwarded requests before there were envelopes
RESULT_HEADER = "Firefly-Result"
FEED_HEADER = "Firefly-Feed"
# Of the answer to a forward. It is not in the line of the result, since VMs of earlier revisions
# read only lines with exactly their own values.
LEAVING_HEADER = "Firefly-Leaving"
PATH_HEADER = "Firefly-Path"  # of a VM that reaches no upstream
PATH_LOST = "lost"
PATH_REFUSED = "refused"  # and so has refused the forwarded request

EMPTY = "-"  # stands for an empty value, since values are separated by spaces
# Each change of the configuration sends all of it again, for example 1,500 routes.
FAST_COMPRESSION_LEVEL = 1
# A compressed body may expand to at most this, so that a short message cannot fill the memory.
MAX_BODY_BYTES = 100 << 20
# Characters that stand for themselves in a value; those that separate values do not.
_PLAIN_CHARACTERS = "!#$&'()*+/:;=?@[]"

_OUTCOMES_BY_LETTER = {"a": Outcome.ANSWERED, "n": Outcome.NOT_RUN, "u": Outcome.UNKNOWN}
_OUTCOME_LETTERS = {outcome: letter for letter, outcome in _OUTCOMES_BY_LETTER.items()}
# Reasons that earlier revisions do not know, and that mean the same to a first hop as a full queue.
_WRITTEN_AS_QUEUE_FULL = frozenset(
    {Reason.UPSTREAM_COLD, Reason.MEMORY_SHORT, Reason.BODY_STALLED, Reason.BODY_TOO_LARGE}
)


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
        return (
            frozenset() if self.tried == EMPTY else frozenset(map(unquote, self.tried.split(",")))
        )

    def line(self) -> str:
        """Return the line to send; ids are escaped, since other systems choose them."""
        escaped = attrs.evolve(self, upstream_id=_escape(self.upstream_id), pool=_escape(self.pool))
        return " ".join(str(value) for value in attrs.astuple(escaped))


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
        ",".join(map(_escape, sorted(call.tried))) or EMPTY,
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
        call = PeerCall(
            *(
                _integer(part) if field.type is int else part
                for part, field in zip(parts, fields, strict=True)
            )
        )
    except ValueError as error:
        raise PeerMessageError(str(error)) from error
    return attrs.evolve(call, upstream_id=unquote(call.upstream_id), pool=unquote(call.pool))


def write_result(attempt: Attempt, upstream_id: str = "") -> str:
    """Return the line that describes the result of an attempt.

    The upstream is left out if it is the one that the first hop named.
    """
    reason = attempt.reason
    # VMs of earlier revisions drop a line with a reason that they do not know. An upstream that
    # shed a request was reached, so `read_result` can tell the two apart.
    if reason is Reason.UPSTREAM_QUIET:
        reason = Reason.UPSTREAM_SHED
    elif reason in _WRITTEN_AS_QUEUE_FULL:
        reason = Reason.QUEUE_FULL
    values = (
        _OUTCOME_LETTERS[attempt.outcome],
        reason or EMPTY,
        int(attempt.reached),
        round(attempt.retry_after_s * 1000),
        -1 if attempt.wait_s is None else round(attempt.wait_s * 1000),
        round(attempt.service_s * 1000),
        EMPTY if attempt.upstream_id in ("", upstream_id) else _escape(attempt.upstream_id),
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
        if reason == Reason.UPSTREAM_SHED and reached != "1":
            reason = Reason.UPSTREAM_QUIET
        return Attempt(
            outcome,
            None if reason == EMPTY else Reason(reason),
            answer if outcome is Outcome.ANSWERED else None,
            reached == "1",
            _integer(retry_after_ms) / 1000,
            None if wait_ms == "-1" else _integer(wait_ms) / 1000,
            _integer(service_ms) / 1000,
            named_upstream if upstream_id == EMPTY else unquote(upstream_id),
        )
    except (KeyError, ValueError) as error:
        raise PeerMessageError(f"{line[:200]!r}: {error}") from error


def write_leaving(run: UpstreamRun) -> str:
    """Return the header value that names a leaving incarnation."""
    return f"{run.born} {_escape(run.upstream_id)}"


def read_leaving(value: str | None) -> UpstreamRun | None:
    """Parse the header value that names a leaving incarnation; None if there is none.

    Raises PeerMessageError.
    """
    if value is None:
        return None
    born, _, upstream_id = value.partition(" ")
    try:
        return UpstreamRun(unquote(upstream_id), _integer(born))
    except ValueError as error:
        raise PeerMessageError(f"{value[:200]!r}: {error}") from error


def write_owners(document: Document) -> bytes:
    """Return the body that sends a stored owner table to another VM."""
    return zlib.compress(orjson.dumps(_row(document)))


def read_owners(body: bytes) -> Document:
    """Parse the body of an owner table message.

    Raises PeerMessageError.
    """
    try:
        return _document(loads(_decompress(body)))
    except MessageError as error:
        raise PeerMessageError(f"owner table: {error}") from error


def write_loads(report: LoadReport) -> bytes:
    """Return the body of a load report."""
    return orjson.dumps(unstructure(report))


def read_loads(body: bytes) -> LoadReport:
    """Parse the body of a load report, without samples and service times that cannot be used.

    Raises PeerMessageError.
    """
    try:
        fields = decode(body, dict[str, Any])
        samples = structure(fields.get("samples"), list[Any])
        service_s = structure(fields.get("service_s"), dict[str, Any])
    except MessageError as error:
        raise PeerMessageError(f"load report: {error}") from error
    return LoadReport(
        tuple(read_each(samples, _sample, "load report")),
        dict(read_each(service_s.items(), _service_time, "load report")),
    )


def _sample(value: Any) -> PoolSample:
    sample = structure(value, PoolSample)
    if sample.weight <= 0 or not all(0 <= key <= LAST_KEY for key in sample.keys):
        raise MessageError(f"sample with weight {sample.weight} and {len(sample.keys)} keys")
    return sample


def _service_time(item: tuple[str, Any]) -> tuple[str, float]:
    upstream_id, service_s = item[0], structure(item[1], float)
    if service_s < 0:
        raise MessageError(f"service time {service_s}")
    return upstream_id, service_s


def write_feed_request(request: FeedRequest) -> bytes:
    """Return the body of a follower's request to a relay."""
    return orjson.dumps([request.incarnation, request.sequence, list(request.outdated_kinds)])


def read_feed_request(body: bytes) -> FeedRequest:
    """Parse the body of a follower's request.

    Raises PeerMessageError.
    """
    try:
        return FeedRequest(*decode(body, tuple[str, int, tuple[str, ...]]))
    except MessageError as error:
        raise PeerMessageError(f"feed request: {error}") from error


def write_feed_header(answer: FeedAnswer) -> str:
    """Return the header value: incarnation, ages in milliseconds, and the store's era if known."""
    numbers = [round(answer.age_s * 1000), round(answer.last_failure_age_s * 1000)]
    if answer.changes.era is not None:
        numbers.append(answer.changes.era)
    return " ".join([answer.incarnation, *map(str, numbers)])


def write_feed_body(changes: FeedChanges) -> bytes:
    """Return the body of an answer to a follower.

    A document that JSON cannot represent is sent without its content, which no VM can use.
    """
    kinds = {
        kind: [each.position, list(_encoded_rows(kind, each.documents)), list(each.removed)]
        for kind, each in changes.kinds.items()
    }
    return zlib.compress(
        orjson.dumps([changes.sequence, changes.is_snapshot, kinds]), FAST_COMPRESSION_LEVEL
    )


def _encoded_rows(kind: str, documents: Iterable[Document]) -> Iterator[orjson.Fragment]:
    for document in documents:
        try:
            yield orjson.Fragment(orjson.dumps(_row(document)))
        except orjson.JSONEncodeError as error:
            extra = {"kind": kind, "document": document.name, "error": str(error)}
            _LOG.warning("document_sent_without_content", extra=extra)
            yield orjson.Fragment(orjson.dumps(_row(attrs.evolve(document, content=None))))


def read_feed(header: str | None, body: bytes) -> FeedAnswer:
    """Parse the header and the body of a relay's answer, without rows that cannot be read.

    Raises PeerMessageError.
    """
    try:
        incarnation, age_ms, last_failure_age_ms, *eras = (header or "").split(" ")
        era = read_era(eras[0]) if eras else None
        if len(eras) > 1 or (eras and era is None):
            raise PeerMessageError(f"era {' '.join(eras)[:100]!r}")
        sequence, is_snapshot, kinds = decode(
            _decompress(body), tuple[int, bool, dict[str, tuple[int, list[Any], list[Any]]]]
        )
        changes = {
            kind: KindChanges(
                position,
                tuple(read_each(rows, _document, kind)),
                tuple(read_each(removed, _name, kind)),
            )
            for kind, (position, rows, removed) in kinds.items()
        }
        return FeedAnswer(
            incarnation,
            _integer(age_ms) / 1000,
            _integer(last_failure_age_ms) / 1000,
            FeedChanges(sequence, is_snapshot, changes, era),
        )
    except (MessageError, ValueError) as error:
        raise PeerMessageError(f"feed: {error}") from error


def _row(document: Document) -> tuple[str, int, Any]:
    return document.name, document.revision, document.content


def _document(row: Any) -> Document:
    """Parse a row.

    Raises MessageError.
    """
    return Document(*structure(row, tuple[str, int, Any]))


def _name(value: Any) -> str:
    return structure(value, str)


def _decompress(body: bytes) -> bytes:
    """Return the decompressed body.

    Raises MessageError.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(body, MAX_BODY_BYTES)
    except zlib.error as error:
        raise MessageError(str(error)) from error
    if not decompressor.eof:
        raise MessageError("compressed data is cut short or too long")
    return data


def _integer(text: str) -> int:
    """Parse an integer of 64 bits, which a float can represent.

    Raises ValueError.
    """
    value = int(text)
    if abs(value) > MAX_INTEGER:
        raise ValueError(f"integer of {len(text)} characters")
    return value


def _escape(text: str) -> str:
    """Return text as one value of a line; `EMPTY` itself is escaped too."""
    return "%2D" if text == EMPTY else quote(text, safe=_PLAIN_CHARACTERS)
