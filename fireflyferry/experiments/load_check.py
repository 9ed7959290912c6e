"""Classification of what a caller received for a request."""

import enum

import attrs
import orjson
import pycurl

__all__ = ["Classification", "Received", "Verdict", "classify_answer", "classify_error"]


class Verdict(enum.StrEnum):
    """Class of what a caller received."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    CROSSED = "crossed"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    OTHER_STATUS = "other_status"


@attrs.frozen
class Classification:
    """A verdict with its reason, such as a reason code of the router."""

    verdict: Verdict
    reason: str = ""


@attrs.frozen
class Received:
    """An answer that was received without a connection error."""

    status: int
    headers: dict[str, str]
    body: bytes


# Without a connection the request was not sent, which counts as refused. After other errors it is
# not known whether the request was executed.
_ERRORS = {
    pycurl.E_COULDNT_CONNECT: Classification(Verdict.REFUSED, "client_connect_failed"),
    pycurl.E_OPERATION_TIMEDOUT: Classification(Verdict.UNKNOWN, "client_timed_out"),
    pycurl.E_PARTIAL_FILE: Classification(Verdict.UNKNOWN, "client_body_cut"),
}


def classify_error(curl_error: int | None) -> Classification:
    """Classify a request that ended with a connection error."""
    return _ERRORS.get(curl_error, Classification(Verdict.UNKNOWN, "client_connection_lost"))


def classify_answer(
    received: Received, request_id: str, key: str, size_bytes: int
) -> Classification:
    """Classify an answer by its outcome header, request id, key and length.

    Upstream stand-ins answer with a JSON line padded with dots to `size_bytes`.
    """
    headers = received.headers
    outcome = headers.get("firefly-outcome", "answered")
    if headers.get("firefly-request-id", request_id) != request_id:
        return Classification(Verdict.CROSSED, "request_id_header")
    if outcome == "not-run":
        return Classification(Verdict.REFUSED, headers.get("firefly-reason", "none"))
    if outcome == "unknown":
        return Classification(Verdict.UNKNOWN, headers.get("firefly-reason", "none"))
    if received.status != 200:
        return Classification(Verdict.OTHER_STATUS, str(received.status))
    return _classify_body(received.body, request_id, key, size_bytes)


def _classify_body(body: bytes, request_id: str, key: str, size_bytes: int) -> Classification:
    line, newline, padding = body.partition(b"\n")
    if not newline:
        return Classification(Verdict.TRUNCATED, f"{len(body)} bytes, no complete first line")
    try:
        fields = orjson.loads(line)
        found = fields["request_id"], fields["key"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return Classification(Verdict.MALFORMED, "first line")
    if found != (request_id, key):
        return Classification(Verdict.CROSSED, "request_id" if found[0] != request_id else "key")
    expected_bytes = max(len(line) + 1, size_bytes)
    if len(body) < expected_bytes:
        return Classification(Verdict.TRUNCATED, f"{len(body)} of {expected_bytes} bytes")
    if len(body) > expected_bytes or padding.count(b".") != len(padding):
        return Classification(Verdict.MALFORMED, "padding")
    return Classification(Verdict.ANSWERED)
