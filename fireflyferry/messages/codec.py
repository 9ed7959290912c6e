"""JSON codec for attrs messages."""

from typing import Any, TypeVar

import cattrs
import orjson

from fireflyferry.errors import FireflyferryError

__all__ = ["MessageError", "decode", "encode", "structure", "unstructure"]

T = TypeVar("T")

_CONVERTER = cattrs.Converter(forbid_extra_keys=False)


class MessageError(FireflyferryError):
    """A body that is not a valid message of the expected type."""

    code = "bad_message"


def unstructure(message: Any) -> Any:
    """Convert an attrs message to values that JSON can represent."""
    return _CONVERTER.unstructure(message)


def structure(value: Any, message_type: type[T]) -> T:
    """Convert decoded JSON to an attrs message of the given type.

    Raises MessageError when the value does not fit the type.
    """
    try:
        return _CONVERTER.structure(value, message_type)
    except (cattrs.BaseValidationError, TypeError, ValueError, KeyError) as error:
        raise MessageError(f"value is not a valid {message_type}: {error}") from error


def encode(message: Any) -> bytes:
    """Encode an attrs message as JSON."""
    return orjson.dumps(unstructure(message))


def decode(data: bytes, message_type: type[T]) -> T:
    """Decode JSON into an attrs message of the given type.

    Raises MessageError when the body does not fit the type.
    """
    try:
        return structure(orjson.loads(data), message_type)
    except orjson.JSONDecodeError as error:
        raise MessageError(f"body is not a valid {message_type}: {error}") from error
