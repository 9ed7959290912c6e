"""`fireflyferryctl explain`: the timeline of one request from the log lines of several VMs."""

import argparse
import json
import math
import re
import sys
from collections.abc import Iterable, Iterator

import attrs

from fireflyferry.operators.errors import ExitCode

__all__ = ["Event", "explain", "parse_line", "request_timeline"]

# A change of an owner, an upstream or a lease up to this long before a request may explain its
# result.
CONTEXT_BEFORE_S = 3.0

_FIELD = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')
_KEY = re.compile(r"[0-9]{1,18}")
_COMMON_FIELDS = ("time", "level", "logger", "event")
# Maps a field of a request's log lines that names an upstream, a VM or a pool to the field that has
# the same value in log lines about changes.
_SUBJECT_FIELDS = {"upstream": "upstream", "last_hop": "vm", "pool": "pool"}
# Of the lines that belong to no request, these are related to all.
_STORE_AND_LEASE_EVENTS = frozenset(
    {
        "store_lost",
        "store_regained",
        "store_call_unanswered",
        "store_connections_silent",
        "lease_gained",
        "lease_lost",
    }
)


@attrs.frozen
class Event:
    """One log line; `source` is the last word before it on the input line, usually the VM id."""

    time: str
    name: str
    source: str
    fields: dict[str, str]

    @property
    def seconds(self) -> float:
        """Time of day in seconds, for comparing lines."""
        hours, minutes, seconds = self.time.partition("T")[2].rstrip("Z").split(":")
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def parse_line(line: str) -> Event | None:
    """Parse a log line in key=value or JSON format; return None for any other line."""
    start = line.find("time=")
    try:
        if start < 0:
            return _parse_json(line)
        fields = {name: _unquote(text) for name, text in _FIELD.findall(line[start:])}
        return _make_event(fields, line[:start])
    except (RecursionError, ValueError):
        return None


def _parse_json(line: str) -> Event | None:
    start = line.find("{")
    fields = json.loads(line[start:]) if start >= 0 else None
    if not isinstance(fields, dict):
        return None
    return _make_event({name: str(value) for name, value in fields.items()}, line[:start])


def _unquote(text: str) -> str:
    return str(json.loads(text)) if text.startswith('"') else text


def _make_event(fields: dict[str, str], prefix: str) -> Event | None:
    if not {"time", "event"} <= fields.keys() or not re.search(r"T\d\d:\d\d:\d\d", fields["time"]):
        return None
    source = prefix.split()[-1] if prefix.split() else ""
    rest = {name: value for name, value in fields.items() if name not in _COMMON_FIELDS}
    event = Event(fields["time"], fields["event"], source, rest)
    return event if math.isfinite(event.seconds) else None


def request_timeline(events: Iterable[Event], request_id: str) -> Iterator[Event]:
    """Return the lines of a request and the changes that may explain it, ordered by time."""
    ordered = sorted(events, key=lambda event: event.time)
    own_events = [event for event in ordered if event.fields.get("request_id") == request_id]
    if not own_events:
        return
    start_s, end_s = own_events[0].seconds - CONTEXT_BEFORE_S, own_events[-1].seconds
    took_s = max(_seconds(event.fields.get("took_s", "")) for event in own_events)
    subjects = {
        (change_field, event.fields[request_field])
        for event in own_events
        for request_field, change_field in _SUBJECT_FIELDS.items()
        if event.fields.get(request_field)
    }
    for event in ordered:
        if event in own_events or (
            start_s - took_s <= event.seconds <= end_s and _is_related(event, subjects, own_events)
        ):
            yield event


def _seconds(text: str) -> float:
    """Return a duration from a log line; 0 if it is not a finite number."""
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if math.isfinite(seconds) else 0.0


def _key(text: str) -> int:
    """Return a key from a log line; -1 if it is not one."""
    return int(text) if _KEY.fullmatch(text) else -1


def _is_related(event: Event, subjects: set[tuple[str, str]], own_events: list[Event]) -> bool:
    """Return whether a line that belongs to no request is about something that this request used.

    Lines about the store and about leases are always related.
    """
    if "request_id" in event.fields:
        return False
    if event.name in _STORE_AND_LEASE_EVENTS:
        return True
    if "first" in event.fields and "last" in event.fields:
        keys = [_key(own.fields.get("key", "")) for own in own_events]
        low, high = _key(event.fields["first"]), _key(event.fields["last"])
        return any(low <= key <= high for key in keys if key >= 0)
    return any(event.fields.get(field) == name for field, name in subjects if field != "pool")


def explain(options: argparse.Namespace) -> ExitCode:
    """Print the timeline of a request from log lines on standard input."""
    events = (event for event in map(parse_line, sys.stdin) if event is not None)
    found = False
    for event in request_timeline(events, options.request_id):
        found = True
        pairs = " ".join(f"{name}={value}" for name, value in event.fields.items())
        print(f"{event.time} {event.source or '-'} {event.name} {pairs}")
    if not found:
        print(f"no log line has the request id {options.request_id}", file=sys.stderr)
        return ExitCode.REFUSED
    return ExitCode.DONE
