"""Log formatters for `key=value` pairs and JSON, which remove request bodies and secrets."""

import json
import logging
import re
import sys
import time
from collections.abc import Sequence
from typing import Any, TextIO

from pythonjsonlogger.core import BaseJsonFormatter

from fireflyferry.telemetry.bounded import BoundedOutput, OutputRules

__all__ = [
    "FORMATS",
    "JsonFormatter",
    "KeyValueFormatter",
    "configure_bounded_logging",
    "configure_logging",
    "make_formatter",
]

MAX_VALUE_CHARACTERS = 4096
REMOVED = "[removed]"

_BARE_VALUE = re.compile(r"[A-Za-z0-9_.:/@%+-]+", re.ASCII)
_BARE_KEY = re.compile(r"[A-Za-z_][A-Za-z0-9_]*", re.ASCII)
# Names of fields that hold data of callers or credentials, matched by their last word.
_PRIVATE_KEY = re.compile(
    r"(^|[_-])(body|content|cookie|authorization|credential|credentials|password|secret|secrets)$",
    re.IGNORECASE,
)
_FIELD_NAMES = {"levelname": "level", "name": "logger", "message": "event"}


def _sanitize_key(key: Any) -> str:
    cleaned = re.sub(r"[^A-Za-z0-9_]", "_", str(key), flags=re.ASCII)[:64]
    return cleaned if _BARE_KEY.fullmatch(cleaned) else f"_{cleaned}"


def _format_value(value: Any) -> str:
    if isinstance(value, bool) or value is None:
        return {True: "true", False: "false", None: "null"}[value]
    if not isinstance(value, str):
        value = json.dumps(value, default=str) if isinstance(value, dict | list) else str(value)
    # JSON strings in ASCII escape quotes, line ends and every other control character.
    return value if _BARE_VALUE.fullmatch(value) else json.dumps(value)


def _format_time(record: logging.LogRecord) -> str:
    """Return the time of a record in ISO 8601 form with milliseconds."""
    seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
    return f"{seconds}.{int(record.msecs):03d}Z"


class _EventFormatter(BaseJsonFormatter):
    """Collects the fields of an event and removes private values."""

    def __init__(self, secrets: Sequence[str] = ()):
        super().__init__(
            ["levelname", "name", "message"], rename_fields=_FIELD_NAMES, timestamp="time"
        )
        self._secrets = tuple(sorted(filter(None, secrets), key=len, reverse=True))

    def add_fields(
        self, log_data: dict[str, Any], record: logging.LogRecord, message_dict: dict[str, Any]
    ) -> None:
        """Put the standard fields of every event first; `extra` fields cannot replace them."""
        super().add_fields(log_data, record, message_dict)
        standard_fields = {
            "time": _format_time(record),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage() if not isinstance(record.msg, dict) else "",
        }
        extra_fields = {key: value for key, value in log_data.items() if key not in standard_fields}
        log_data.clear()
        log_data.update(standard_fields)
        log_data.update(extra_fields)

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Clean field names, remove private values and limit the length of the others."""
        return {
            _sanitize_key(key): self._redact(str(key), value) for key, value in log_data.items()
        }

    def _redact(self, key: str, value: Any) -> Any:
        if _PRIVATE_KEY.search(key):
            return REMOVED
        if isinstance(value, bytes | bytearray | memoryview):
            return f"[{len(value)} bytes]"
        if value is None or isinstance(value, bool | int | float):
            return value
        if isinstance(value, dict):
            return {str(name): self._redact(str(name), each) for name, each in value.items()}
        if isinstance(value, list | tuple | set | frozenset):
            return [self._redact(key, each) for each in value]
        return self._redact_text(str(value))

    def _redact_text(self, text: str) -> str:
        for secret in self._secrets:
            text = text.replace(secret, REMOVED)
        if len(text) > MAX_VALUE_CHARACTERS:
            text = f"{text[:MAX_VALUE_CHARACTERS]}...[{len(text)} characters]"
        return text


class KeyValueFormatter(_EventFormatter):
    """Writes one line of `key=value` pairs for each event.

    Values with characters that need quotes are written as JSON strings.
    """

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the pairs, separated by spaces."""
        return " ".join(f"{key}={_format_value(value)}" for key, value in log_data.items())


class JsonFormatter(_EventFormatter):
    """Writes one JSON object on one line for each event."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return the object as ASCII text."""
        return json.dumps(log_data, default=str)


FORMATS: dict[str, type[_EventFormatter]] = {"keyvalue": KeyValueFormatter, "json": JsonFormatter}


def make_formatter(log_format: str, secrets: Sequence[str] = ()) -> logging.Formatter:
    """Return the formatter for a name in FORMATS; `secrets` are removed wherever they appear."""
    return FORMATS[log_format](secrets)


def configure_logging(
    log_format: str, level: str, secrets: Sequence[str] = (), stream: TextIO | None = None
) -> None:
    """Write all events of the process to a stream, standard error by default."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(make_formatter(log_format, secrets))
    _install_handler(handler, level)


def configure_bounded_logging(
    log_format: str, level: str, stream: TextIO | None = None, rules: OutputRules | None = None
) -> BoundedOutput:
    """Write all events to a stream, standard output by default, without blocking the caller."""
    handler = BoundedOutput(stream or sys.stdout, make_formatter(log_format), rules)
    _install_handler(handler, level)
    return handler


def _install_handler(handler: logging.Handler, level: str) -> None:
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
