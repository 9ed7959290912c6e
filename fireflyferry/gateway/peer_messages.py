"""Headers of requests that one entry VM passes to another, and of the results."""

import zlib

import attrs
import orjson

from fireflyferry.gateway import documents
from fireflyferry.gateway.calls import Answer, Attempt, Call
from fireflyferry.gateway.edges import Document, UnreadableError
from fireflyferry.keyranges import OwnerTable
from fireflyferry.telemetry import Outcome, Reason

__all__ = [
    "CALL",
    "RESULT",
    "PeerCall",
    "PeerMessageError",
    "owner_message",
    "read_call",
    "read_owners",
    "read_result",
    "write_call",
    "write_result",
]

CALL = "Firefly-Call"
RESULT = "Firefly-Result"

HeaderList = list[tuple[str, str]]

_OUTCOMES = {"a": Outcome.ANSWERED, "n": Outcome.NOT_RUN, "u": Outcome.UNKNOWN}
_LETTERS = {outcome: letter for letter, outcome in _OUTCOMES.items()}


class PeerMessageError(ValueError):
    """A header of another entry VM that cannot be read."""


@attrs.frozen
class PeerCall:
    """What the last hop is told; times in milliseconds from now, since clocks differ.

    Bytes between regions are priced, so all is one header with values in order.
    """

    upstream_id: str
    born: int
    pool: str
    key: int
    idempotent: int
    priority: int
    max_attempts: int
    returned: int
    repeated: int
    expendable: int
    age_ms: int
    objective_ms: int
    left_ms: int

    def header(self) -> str:
        """Return the header's value."""
        return " ".join(str(value) for value in attrs.astuple(self))


def write_call(call: Call, upstream_id: str, born: int, now_s: float) -> str:
    """Return the header that describes a call."""
    return PeerCall(
        upstream_id,
        born,
        call.pool,
        -1 if call.key is None else call.key,
        int(call.idempotent),
        call.priority,
        call.max_attempts,
        int(call.returned),
        int(call.repeated),
        int(call.expendable),
        round((now_s - call.started_s) * 1000),
        round((call.objective_s - now_s) * 1000),
        round((call.deadline_s - now_s) * 1000),
    ).header()


def read_call(value: str) -> PeerCall:
    """Read the header of a call.

    Raises PeerMessageError.
    """
    parts = value.split(" ")
    fields = attrs.fields(PeerCall)
    if len(parts) != len(fields):
        raise PeerMessageError(f"{len(parts)} values instead of {len(fields)}")
    try:
        return PeerCall(
            *(
                int(part) if field.type is int else part
                for part, field in zip(parts, fields, strict=True)
            )
        )
    except ValueError as error:
        raise PeerMessageError(str(error)) from error


def write_result(attempt: Attempt) -> str:
    """Return the header that describes a result."""
    values = (
        _LETTERS[attempt.outcome],
        attempt.reason or "-",
        int(attempt.reached),
        round(attempt.retry_after_s * 1000),
        -1 if attempt.wait_s is None else round(attempt.wait_s * 1000),
        round(attempt.service_s * 1000),
    )
    return " ".join(str(value) for value in values)


def read_result(value: str, answer: Answer) -> Attempt:
    """Read the header of a result; `answer` is the rest of the message.

    Raises PeerMessageError.
    """
    parts = value.split(" ")
    try:
        letter, reason, reached, retry_after_ms, wait_ms, service_ms = parts
        outcome = _OUTCOMES[letter]
        return Attempt(
            outcome,
            None if reason == "-" else Reason(reason),
            answer if outcome is Outcome.ANSWERED else None,
            reached == "1",
            int(retry_after_ms) / 1000,
            None if wait_ms == "-1" else int(wait_ms) / 1000,
            int(service_ms) / 1000,
        )
    except (KeyError, ValueError) as error:
        raise PeerMessageError(f"{value!r}: {error}") from error


def owner_message(revision: int, table: OwnerTable) -> bytes:
    """Return the body that tells another VM of a stored owner table."""
    message = [table.pool, revision, documents.table_content(table)]
    return zlib.compress(orjson.dumps(message))


def read_owners(body: bytes) -> tuple[int, OwnerTable]:
    """Read the body that tells of an owner table; returns its revision as well.

    Raises PeerMessageError.
    """
    try:
        pool, revision, content = orjson.loads(zlib.decompress(body))
        return int(revision), documents.table_from(Document(pool, revision, content))
    except (zlib.error, orjson.JSONDecodeError, UnreadableError, TypeError, ValueError) as error:
        raise PeerMessageError(f"owner table: {error}") from error
