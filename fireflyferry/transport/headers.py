"""Hop-by-hop headers, which end at one connection, and end-to-end headers."""

from collections.abc import Iterable

__all__ = ["HeaderList", "end_to_end_headers", "find_header"]

HeaderList = list[tuple[str, str]]

_ROUTER_PREFIX = "firefly-"
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> HeaderList:
    """Return the headers without hop-by-hop headers and without the router's own."""
    end_to_end: HeaderList = []
    connection_options: set[str] = set()
    for name, value in headers:
        lower = name.lower()
        if lower == "connection":
            connection_options.update(part.strip().lower() for part in value.split(","))
        elif lower not in _HOP_BY_HOP and not lower.startswith(_ROUTER_PREFIX):
            end_to_end.append((name, value))
    if connection_options - {"close", "keep-alive", ""}:
        end_to_end = [pair for pair in end_to_end if pair[0].lower() not in connection_options]
    return end_to_end


def find_header(headers: HeaderList, name: str) -> str | None:
    """Return the first value of a header."""
    lower = name.lower()
    return next((value for found, value in headers if found.lower() == lower), None)
