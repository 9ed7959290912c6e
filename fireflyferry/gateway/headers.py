"""Headers that are passed on between callers and upstreams."""

import re
from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

from fireflyferry.transport.headers import HeaderList, end_to_end_headers

__all__ = ["answer_headers", "host_of", "origin_form", "request_headers"]

_ABSOLUTE_FORM = re.compile(r"https?://([^/?#]*)(.*)", re.IGNORECASE | re.DOTALL)


def origin_form(target: str) -> tuple[str, str]:
    """Return the target of a request in origin form, and the authority that it names.

    The authority is empty for a target that has no absolute form.
    """
    absolute = _ABSOLUTE_FORM.fullmatch(target)
    if absolute is None:
        return target, ""
    authority, rest = absolute.groups()
    return rest if rest.startswith("/") else f"/{rest}", authority.rpartition("@")[2]


def request_headers(headers: HTTPHeaders, replaced: Iterable[str]) -> HeaderList:
    """Return a request's end-to-end headers, without its length and the replaced headers."""
    dropped = {"content-length", *(name.lower() for name in replaced)}
    return [
        pair for pair in end_to_end_headers(headers.get_all()) if pair[0].lower() not in dropped
    ]


def answer_headers(headers: Iterable[tuple[str, str]]) -> HeaderList:
    """Return an answer's end-to-end headers."""
    return end_to_end_headers(headers)


def host_of(headers: HTTPHeaders) -> str:
    """Return the requested host without its port."""
    host = headers.get("Host", "")
    return host.rpartition(":")[0] if host.rpartition(":")[2].isdigit() else host
