"""Names of the router's own headers, and selection of the headers to pass on."""

from collections.abc import Iterable

from tornado.httputil import HTTPHeaders, RequestStartLine

from fireflyferry.transport.headers import HeaderList, end_to_end_headers

__all__ = [
    "ATTEMPT",
    "DEADLINE_MS",
    "FENCE",
    "FORWARD_PREFIX",
    "GROUP",
    "IDEMPOTENT",
    "KEY",
    "LEADER",
    "OUTCOME",
    "OWNERSHIP",
    "POOL",
    "REASON",
    "REQUEST_ID",
    "TENANT",
    "TERM",
    "UNIT",
    "VM",
    "answer_headers",
    "head_bytes",
    "request_headers",
]


POOL = "Firefly-Pool"
KEY = "Firefly-Key"
UNIT = "Firefly-Unit"
FENCE = "Firefly-Fence"
DEADLINE_MS = "Firefly-Deadline-Ms"
REQUEST_ID = "Firefly-Request-Id"
TENANT = "Firefly-Tenant"
GROUP = "Firefly-Group"
TERM = "Firefly-Term"
ATTEMPT = "Firefly-Attempt"
IDEMPOTENT = "Firefly-Idempotent"
OUTCOME = "Firefly-Outcome"
REASON = "Firefly-Reason"
OWNERSHIP = "Firefly-Ownership"
LEADER = "Firefly-Leader"
VM = "Firefly-Vm"

FORWARD_PREFIX = "/peer/v1/forward"


def request_headers(headers: HTTPHeaders) -> HeaderList:
    """Return a request's headers to pass on, without the body length, which curl sets."""
    pairs = end_to_end_headers(headers.get_all())
    return [pair for pair in pairs if pair[0].lower() != "content-length"]


def answer_headers(headers: Iterable[tuple[str, str]]) -> HeaderList:
    """Return an answer's headers to pass on."""
    return end_to_end_headers(headers)


def head_bytes(line: RequestStartLine, headers: HTTPHeaders) -> int:
    """Return the length of a request's head in bytes, with line ends and separators."""
    fields = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
    return len(line.method) + len(line.path) + len(line.version) + 6 + fields
