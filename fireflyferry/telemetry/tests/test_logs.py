"""Guards against forged log lines and fields, and against bodies and secrets in logs."""

import io
import json
import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fireflyferry.telemetry.logs import make_formatter

SECRET = "0123456789abcdef-secret"


def format_line(event, extra=None, log_format="keyvalue", **options):
    record = logging.getLogger("t").makeRecord(
        "t", logging.INFO, "f", 1, event, (), options.get("exc_info"), extra=extra
    )
    return make_formatter(log_format, (SECRET,)).format(record)


def test_plain_values_are_not_quoted():
    text = format_line("moved", {"unit": "b:17", "count": 3, "late": None, "done": True})
    time, _, rest = text.partition(" ")
    assert time.startswith("time=") and time.endswith("Z")
    assert rest == "level=info logger=t event=moved unit=b:17 count=3 late=null done=true"


@given(st.text(), st.text(), st.sampled_from(["keyvalue", "json"]))
def test_any_text_stays_one_event_on_one_line(event, value, log_format):
    text = format_line(event.replace("%", ""), {"caller_value": value}, log_format)
    assert text.isascii() and text.isprintable()
    assert len(text.splitlines()) == 1
    if log_format == "json":
        assert json.loads(text)["caller_value"] == value.replace(SECRET, "[removed]")
    else:
        assert text.count(" level=info") == 1 or "level=info" in event + value


@pytest.mark.parametrize(
    "value", ["x\ntime=1 level=error event=forged", 'a" level=error', "a level=error", "\r", "\x1b"]
)
def test_injected_pairs_are_quoted(value):
    text = format_line("seen", {"path": value})
    start = text.index(" path=") + len(" path=")
    assert json.loads(text[start:]) == value


def test_forged_field_names_are_cleaned():
    text = format_line({"a b=1\nlevel": "x", "level": "error", "event": "forged", "time": "0"})
    assert text.count("level=") == 1 + text.count("_level=")
    assert "level=info" in text and "forged" not in text and "\n" not in text


@pytest.mark.parametrize("log_format", ["keyvalue", "json"])
def test_bodies_and_secrets_are_not_logged(log_format):
    fields = {
        "request_body": "private",
        "Authorization": "private",
        "headers": {"Cookie": "private"},
        "data": b"private",
        "note": f"sent {SECRET}",
    }
    text = format_line(f"with {SECRET}", fields, log_format)
    assert "private" not in text and SECRET not in text
    assert "[7 bytes]" in text


def test_traceback_stays_on_one_line():
    try:
        raise ValueError(f"first\nsecond {SECRET}")
    except ValueError as error:
        text = format_line("failed", exc_info=(type(error), error, error.__traceback__))
    assert len(text.splitlines()) == 1 and "ValueError" in text and SECRET not in text


def test_configured_process_writes_events():
    from fireflyferry.telemetry import logs

    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    stream = io.StringIO()
    try:
        logs.configure_logging("json", "info", stream=stream)
        logging.getLogger("x").info("started", extra={"vm": "e-1"})
        logging.getLogger("x").debug("hidden")
    finally:
        root.handlers[:] = handlers
        root.setLevel(level)
    assert [json.loads(each)["vm"] for each in stream.getvalue().splitlines()] == ["e-1"]
