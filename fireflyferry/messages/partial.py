"""Decodes JSON of which some parts cannot be decoded."""

import re
from collections.abc import Iterator
from typing import Any

import orjson

__all__ = ["decode_readable_parts", "is_nested_deeper"]

_STRING = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
_TOKEN = re.compile(_STRING + rb"|[\[{]+|[\]}]+|,", re.DOTALL)
_NAME = re.compile(rb"\s*(" + _STRING + rb")\s*:", re.DOTALL)


def decode_readable_parts(text: bytes, levels: int) -> Any:
    """Decode JSON; a part that cannot be decoded is None, or left out if its name cannot be.

    Containers down to `levels` levels are decoded part by part if they cannot be decoded whole.
    Raises ValueError if brackets or quotes do not match.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        stripped = text.strip()
    if levels > 0 and stripped.startswith(b"["):
        return [decode_readable_parts(part, levels - 1) for part in _parts(stripped)]
    if levels > 0 and stripped.startswith(b"{"):
        return {
            name: decode_readable_parts(value, levels - 1) for name, value in _members(stripped)
        }
    return None


def is_nested_deeper(value: Any, levels: int) -> bool:
    """Return whether decoded JSON has containers in more than `levels` levels."""
    if not isinstance(value, dict | list):
        return False
    if levels == 0:
        return True
    parts = value.values() if isinstance(value, dict) else value
    return any(is_nested_deeper(part, levels - 1) for part in parts)


def _members(text: bytes) -> Iterator[tuple[str, bytes]]:
    """Return the readable names in an object, and the text of their values."""
    for part in _parts(text):
        name = _NAME.match(part)
        decoded = decode_readable_parts(name[1], 0) if name is not None else None
        if name is not None and decoded is not None:
            yield decoded, part[name.end() :]


def _parts(text: bytes) -> Iterator[bytes]:
    """Return the text of each part of a container; brackets are counted and not compared."""
    depth, start = 0, 0
    for token in _TOKEN.finditer(text):
        symbol, length = text[token.start()], token.end() - token.start()
        if symbol in b"[{":
            start = start if depth else token.start() + 1
            depth += length
        elif symbol in b"]}":
            end = token.start() + depth - 1
            depth -= length
            if depth <= 0:
                if text[end + 1 :].strip():
                    break
                if text[start:end].strip():
                    yield text[start:end]
                return
        elif symbol == ord(",") and depth == 1:
            yield text[start : token.start()]
            start = token.end()
    raise ValueError("brackets or quotes do not match")
