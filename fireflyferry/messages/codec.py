"""JSON codec for attrs messages."""

import logging
import math
from collections.abc import Callable, Iterable, Iterator, Set
from typing import Any, TypeVar

import cattrs
import orjson

from fireflyferry.errors import FireflyferryError

__all__ = [
    "MAX_INTEGER",
    "MessageError",
    "decode",
    "decode_each",
    "encode",
    "loads",
    "read_each",
    "structure",
    "unstructure",
]

_LOG = logging.getLogger(__name__)

T = TypeVar("T")

MAX_INTEGER = 2**63 - 1


class MessageError(FireflyferryError):
    """A body that is not a valid message of the expected type."""

    code = "bad_message"


def _read_string(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{type(value).__name__} instead of a string")
    return value


def _read_bool(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{type(value).__name__} instead of a truth value")
    return value


def _read_integer(value: Any, _: type) -> int:
    if type(value) is not int or abs(value) > MAX_INTEGER:
        raise ValueError(f"{type(value).__name__} instead of an integer of 64 bits")
    return value


def _read_number(value: Any, _: type) -> float:
    # JSON writers may write a whole number without a fraction.
    if type(value) not in (int, float) or not math.isfinite(value):
        raise ValueError(f"{type(value).__name__} instead of a finite number")
    return float(value)


def _make_converter() -> cattrs.Converter:
    """Return a converter that rejects values of another type instead of converting them."""
    # JSON has no sets; sorted lists make equal messages equal bytes.
    converter = cattrs.Converter(
        forbid_extra_keys=False, unstruct_collection_overrides={Set: sorted}
    )
    hooks = {str: _read_string, bool: _read_bool, int: _read_integer, float: _read_number}
    for each, hook in hooks.items():
        converter.register_structure_hook(each, hook)
    return converter


_CONVERTER = _make_converter()


def unstructure(message: Any) -> Any:
    """Convert an attrs message to values that JSON can represent."""
    return _CONVERTER.unstructure(message)


def structure(value: Any, message_type: type[T]) -> T:
    """Convert decoded JSON to an attrs message of the given type.

    Raises MessageError when the value does not fit the type.
    """
    try:
        return _CONVERTER.structure(value, message_type)
    except (
        cattrs.BaseValidationError,
        ArithmeticError,
        AttributeError,
        LookupError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise MessageError(f"value is not a valid {message_type}: {error}") from error


def read_each(values: Iterable[Any], read: Callable[[Any], T], source: str) -> Iterator[T]:
    """Yield what `read` returns for each value, without those for which it raises MessageError.

    The values that were left out are counted in one log line, which names their `source`.
    """
    skipped, first_error = 0, ""
    for value in values:
        try:
            yield read(value)
        except MessageError as error:
            skipped += 1
            first_error = first_error or str(error)
    if skipped:
        extra = {"source": source, "skipped": skipped, "error": first_error}
        _LOG.warning("records_skipped", extra=extra)


def decode_each(data: bytes, message_type: type[T], source: str) -> tuple[T, ...]:
    """Decode a JSON list, without the values that do not fit the type; `source` as in `read_each`.

    Raises MessageError when the body is not a list.
    """
    values = decode(data, list[Any])
    return tuple(read_each(values, lambda value: structure(value, message_type), source))


def loads(data: bytes) -> Any:
    """Decode JSON.

    Raises MessageError.
    """
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise MessageError(f"body is not a valid JSON document: {error}") from error


def encode(message: Any) -> bytes:
    """Encode an attrs message as JSON."""
    return orjson.dumps(unstructure(message))


def decode(data: bytes, message_type: type[T]) -> T:
    """Decode JSON into an attrs message of the given type.

    Raises MessageError when the body does not fit the type.
    """
    return structure(loads(data), message_type)
