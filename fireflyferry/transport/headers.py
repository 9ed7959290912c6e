"""Headers that end at one connection, and those that are passed on."""

from collections.abc import Iterable

__all__ = ["HeaderList", "end_to_end_headers", "find_header"]

HeaderList = list[tuple[str, str]]

_OWN_PREFIX = "firefly-"
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
    """Drop headers that concern one connection, and the router's own."""
    kept: HeaderList = []
    named: set[str] = set()
    for name, value in headers:
        lower = name.lower()
        if lower == "connection":
            named.update(part.strip().lower() for part in value.split(","))
        elif lower not in _HOP_BY_HOP and not lower.startswith(_OWN_PREFIX):
            kept.append((name, value))
    if named - {"close", "keep-alive", ""}:
        kept = [pair for pair in kept if pair[0].lower() not in named]
    return kept


def find_header(headers: HeaderList, name: str) -> str | None:
    """Return the first value of a header."""
    lower = name.lower()
    return next((value for found, value in headers if found.lower() == lower), None)
