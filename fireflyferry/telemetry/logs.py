"""Log formatters: key=value lines, or JSON, without bodies and secrets."""

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
# Fields whose values belong to callers or grant access, matched on the last words of the name.
_PRIVATE_KEY = re.compile(
    r"(^|[_-])(body|content|cookie|authorization|credential|credentials|password|secret|secrets)$",
    re.IGNORECASE,
)
_RENAMED = {"levelname": "level", "name": "logger", "message": "event"}


def _safe_key(key: Any) -> str:
    cleaned = re.sub(r"[^A-Za-z0-9_]", "_", str(key), flags=re.ASCII)[:64]
    return cleaned if _BARE_KEY.fullmatch(cleaned) else f"_{cleaned}"


def _word(value: Any) -> str:
    if isinstance(value, bool) or value is None:
        return {True: "true", False: "false", None: "null"}[value]
    if not isinstance(value, str):
        value = json.dumps(value, default=str) if isinstance(value, dict | list) else str(value)
    # JSON strings in ASCII escape quotes, line ends and every other control character.
    return value if _BARE_VALUE.fullmatch(value) else json.dumps(value)


def _utc(record: logging.LogRecord) -> str:
    """Return the time of a record in ISO 8601 form with milliseconds."""
    seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
    return f"{seconds}.{int(record.msecs):03d}Z"


class _EventFormatter(BaseJsonFormatter):
    """Collects the fields of an event and removes private values."""

    def __init__(self, secrets: Sequence[str] = ()):
        super().__init__(["levelname", "name", "message"], rename_fields=_RENAMED, timestamp="time")
        self._secrets = tuple(sorted(filter(None, secrets), key=len, reverse=True))

    def add_fields(
        self, log_data: dict[str, Any], record: logging.LogRecord, message_dict: dict[str, Any]
    ) -> None:
        """Collect fields, with the ones that every event has first and not replaceable."""
        super().add_fields(log_data, record, message_dict)
        fixed = {
            "time": _utc(record),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage() if not isinstance(record.msg, dict) else "",
        }
        extra = {key: value for key, value in log_data.items() if key not in fixed}
        log_data.clear()
        log_data.update(fixed)
        log_data.update(extra)

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Remove private values and bound the others."""
        return {_safe_key(key): self._clean(str(key), value) for key, value in log_data.items()}

    def _clean(self, key: str, value: Any) -> Any:
        if _PRIVATE_KEY.search(key):
            return REMOVED
        if isinstance(value, bytes | bytearray | memoryview):
            return f"[{len(value)} bytes]"
        if value is None or isinstance(value, bool | int | float):
            return value
        if isinstance(value, dict):
            return {str(name): self._clean(str(name), each) for name, each in value.items()}
        if isinstance(value, list | tuple | set | frozenset):
            return [self._clean(key, each) for each in value]
        return self._clean_text(str(value))

    def _clean_text(self, text: str) -> str:
        for secret in self._secrets:
            text = text.replace(secret, REMOVED)
        if len(text) > MAX_VALUE_CHARACTERS:
            text = f"{text[:MAX_VALUE_CHARACTERS]}...[{len(text)} characters]"
        return text


class KeyValueFormatter(_EventFormatter):
    """One line of `key=value` pairs for each event; other than plain values are JSON strings."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Write the pairs."""
        return " ".join(f"{key}={_word(value)}" for key, value in log_data.items())


class JsonFormatter(_EventFormatter):
    """One JSON object on one line for each event."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Write the object in ASCII."""
        return json.dumps(log_data, default=str)


FORMATS: dict[str, type[_EventFormatter]] = {"keyvalue": KeyValueFormatter, "json": JsonFormatter}


def make_formatter(log_format: str, secrets: Sequence[str] = ()) -> logging.Formatter:
    """Return the formatter of a name in FORMATS; `secrets` are removed wherever they appear."""
    return FORMATS[log_format](secrets)


def configure_logging(
    log_format: str, level: str, secrets: Sequence[str] = (), stream: TextIO | None = None
) -> None:
    """Send all events of the process to a stream, standard error by default."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(make_formatter(log_format, secrets))
    _install(handler, level)


def configure_bounded_logging(
    log_format: str, level: str, stream: TextIO | None = None, rules: OutputRules | None = None
) -> BoundedOutput:
    """Send all events to a stream, standard output by default, without ever waiting for it."""
    handler = BoundedOutput(stream or sys.stdout, make_formatter(log_format), rules)
    _install(handler, level)
    return handler


def _install(handler: logging.Handler, level: str) -> None:
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
