"""Extraction of keys from requests, and encoding of keys and units for headers."""

from collections.abc import Mapping
from urllib.parse import quote, unquote, unquote_plus

from fireflyferry.tables import Route, parse_key_source

__all__ = ["decode_header_text", "encode_header_text", "extract_key"]

# Printable ASCII except "%", so that decoding inverts the encoding exactly.
_UNESCAPED_CHARACTERS = "".join(chr(code) for code in range(0x21, 0x7F) if chr(code) != "%")


def extract_key(route: Route, path: str, query: str, headers: Mapping[str, str]) -> str | None:
    """Return the key of a request; None when it is absent or empty."""
    kind, argument = parse_key_source(route.key_source)
    if kind == "header":
        return headers.get(argument) or None
    if kind == "path":
        return _path_segment(path[len(route.path_prefix.rstrip("/")) :], int(argument))
    return _query_value(query, argument)


def _path_segment(relative_path: str, index: int) -> str | None:
    segments = relative_path.removeprefix("/").split("/")
    if index >= len(segments):
        return None
    return unquote(segments[index], errors="surrogateescape") or None


def _query_value(query: str, name: str) -> str | None:
    for part in query.split("&"):
        encoded_name, _, value = part.partition("=")
        if unquote_plus(encoded_name) == name:
            return unquote_plus(value, errors="surrogateescape") or None
    return None


def encode_header_text(text: str) -> str:
    """Percent-encode a key or unit for a header; printable ASCII except `%` is unchanged."""
    return quote(text, safe=_UNESCAPED_CHARACTERS, errors="surrogateescape")


def decode_header_text(text: str) -> str:
    """Decode a text that `encode_header_text` encoded."""
    return unquote(text, errors="surrogateescape")
