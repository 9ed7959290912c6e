"""JSON codec for attrs messages."""

from typing import Any, TypeVar

import cattrs
import orjson

from fireflyferry.errors import FireflyferryError

__all__ = ["MessageError", "decode", "encode"]

T = TypeVar("T")

_CONVERTER = cattrs.Converter(forbid_extra_keys=False)


class MessageError(FireflyferryError):
    """A body that is not a valid message of the expected type."""

    code = "bad_message"


def encode(message: Any) -> bytes:
    """Encode an attrs message as JSON."""
    return orjson.dumps(_CONVERTER.unstructure(message))


def decode(data: bytes, kind: type[T]) -> T:
    """Decode JSON into an attrs message of the given type.

    Raises MessageError when the body does not fit the type.
    """
    try:
        return _CONVERTER.structure(orjson.loads(data), kind)
    except (orjson.JSONDecodeError, cattrs.BaseValidationError, TypeError, ValueError) as error:
        raise MessageError(f"body is not a valid {kind}: {error}") from error
