"""Heads of requests and answers as curl sends and delivers them."""

import re
from collections.abc import Iterator

import attrs

from fireflyferry.transport.headers import HeaderList

__all__ = ["Head", "HeadError", "read_head", "request_lines", "request_target"]

# "Expect:" removes the header that curl adds to long bodies. A 417 answer to it would make curl
# send the request again.
ADDED_HEADERS: tuple[bytes, ...] = (b"Expect:",)

# RFC 9110, section 15: a status outside 100 to 599 is invalid.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9]{2})(?=[ \r\n])")
_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_LINE_BREAK = re.compile(r"[\r\n\0]")
_LENGTH = re.compile(r"[0-9]{1,18}")  # curl ignores a length of more than 63 bits


class HeadError(ValueError):
    """A head that does not say unambiguously what it answers and where its body ends."""


@attrs.frozen
class Head:
    """Status and headers of an answer, interim or final."""

    status: int
    headers: HeaderList

    @property
    def is_interim(self) -> bool:
        """Whether the final answer follows on the same connection."""
        return self.status < 200


def read_head(lines: list[bytes]) -> Head:
    """Parse the lines of a head, without the blank line that ends it.

    Raises HeadError.
    """
    match = _STATUS_LINE.match(lines[0]) if lines else None
    if match is None:
        raise HeadError(f"status line {lines[:1]!r}")
    head = Head(int(match[1]), list(_read_headers(lines[1:])))
    if head.status == 101:
        raise HeadError("switches to a protocol that was not requested")
    _check_framing(head.headers)
    return head


def _read_headers(lines: list[bytes]) -> Iterator[tuple[str, str]]:
    for line in lines:
        name, separator, value = line.decode("latin-1").partition(":")
        value = value.strip(" \t\r\n")
        if not separator or not _NAME.fullmatch(name) or _CONTROL_CHARACTER.search(value):
            raise HeadError(f"header line {line!r}")
        yield name, value


def _check_framing(headers: HeaderList) -> None:
    """Check that the end of the body is given in one way, which curl and the receiver agree on."""
    lengths = [value for name, value in headers if name.lower() == "content-length"]
    codings = [value for name, value in headers if name.lower() == "transfer-encoding"]
    if len(lengths) + len(codings) > 1:
        raise HeadError(f"lengths {lengths}, transfer encodings {codings}")
    if lengths and not _LENGTH.fullmatch(lengths[0]):
        raise HeadError(f"length {lengths[0]!r}")
    if codings and codings[0].lower() != "chunked":
        raise HeadError(f"transfer encoding {codings[0]!r}")


def request_lines(headers: HeaderList) -> list[bytes]:
    """Format headers for curl, which sends an empty value for `Name;` and nothing for `Name:`.

    Raises HeadError for a header that does not fit in one line of Latin-1.
    """
    lines = [_encode_line(f"{n}: {v}" if v else f"{n};") for n, v in headers]
    lines.extend(ADDED_HEADERS)
    names = {name.lower() for name, _ in headers}
    if "accept" not in names:
        lines.append(b"Accept:")
    if "content-type" not in names:
        lines.append(b"Content-Type:")
    return lines


def request_target(target: str) -> bytes:
    """Encode the target of a request.

    Raises HeadError for one that does not fit in the request line.
    """
    return _encode_line(target)


def _encode_line(text: str) -> bytes:
    if _LINE_BREAK.search(text):
        raise HeadError("line break inside a line of the head")
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError as error:
        raise HeadError(f"line of the head is not Latin-1 at character {error.start}") from error
