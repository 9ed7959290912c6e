"""Pure judgement of what came back for a request."""

import enum

import attrs
import orjson
import pycurl

__all__ = ["Judgement", "Received", "Verdict", "judge", "judge_error"]


class Verdict(enum.StrEnum):
    """What a caller got."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    CROSSED = "crossed"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    OTHER_STATUS = "other_status"


@attrs.frozen
class Judgement:
    """A verdict with its reason."""

    verdict: Verdict
    reason: str = ""


@attrs.frozen
class Received:
    """An answer that arrived without an error of the connection."""

    status: int
    headers: dict[str, str]
    body: bytes


# An error before the request was sent is a refusal; after that, nothing is known.
_ERRORS = {
    pycurl.E_COULDNT_CONNECT: Judgement(Verdict.REFUSED, "client_connect_failed"),
    pycurl.E_OPERATION_TIMEDOUT: Judgement(Verdict.UNKNOWN, "client_timed_out"),
    pycurl.E_PARTIAL_FILE: Judgement(Verdict.UNKNOWN, "client_body_cut"),
}


def judge_error(curl_error: int | None) -> Judgement:
    """Judge a request that ended with an error of the connection."""
    return _ERRORS.get(curl_error, Judgement(Verdict.UNKNOWN, "client_connection_lost"))


def judge(received: Received, request_id: str, key: str, size_bytes: int) -> Judgement:
    """Judge an answer by its outcome header, request id, key and length.

    Upstream stand-ins answer with a JSON line padded with dots to `size_bytes`.
    """
    headers = received.headers
    outcome = headers.get("firefly-outcome", "answered")
    if headers.get("firefly-request-id", request_id) != request_id:
        return Judgement(Verdict.CROSSED, "request_id_header")
    if outcome == "not-run":
        return Judgement(Verdict.REFUSED, headers.get("firefly-reason", "none"))
    if outcome == "unknown":
        return Judgement(Verdict.UNKNOWN, headers.get("firefly-reason", "none"))
    if received.status != 200:
        return Judgement(Verdict.OTHER_STATUS, str(received.status))
    return _judge_body(received.body, request_id, key, size_bytes)


def _judge_body(body: bytes, request_id: str, key: str, size_bytes: int) -> Judgement:
    line, newline, padding = body.partition(b"\n")
    if not newline:
        return Judgement(Verdict.TRUNCATED, f"{len(body)} bytes, no complete first line")
    try:
        fields = orjson.loads(line)
        found = fields["request_id"], fields["key"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return Judgement(Verdict.MALFORMED, "first line")
    if found != (request_id, key):
        return Judgement(Verdict.CROSSED, "request_id" if found[0] != request_id else "key")
    expected = max(len(line) + 1, size_bytes)
    if len(body) < expected:
        return Judgement(Verdict.TRUNCATED, f"{len(body)} of {expected} bytes")
    if len(body) > expected or padding.count(b".") != len(padding):
        return Judgement(Verdict.MALFORMED, "padding")
    return Judgement(Verdict.ANSWERED)
