"""Headers that are passed on between callers and upstreams."""

from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

from fireflyferry.transport.headers import HeaderList, end_to_end_headers

__all__ = ["answer_headers", "host_of", "request_headers"]


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
