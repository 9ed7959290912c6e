"""Guards against timelines that omit the cause of a failed request or show other requests."""

import io

import pytest

from fireflyferry.operators.main import main

LINES = """\
 1.2 vm-b time=2026-01-01T10:00:01.200Z level=info logger=x event=range_moves pool=p first=0 last=99 to=u2
 1.3 vm-b time=2026-01-01T10:00:01.300Z level=info logger=x event=range_moves pool=p first=100 last=199 to=u3
 2.0 vm-a time=2026-01-01T10:00:02.000Z level=info logger=x event=attempt_failed request_id=r1 key=7 upstream=u1 last_hop=vm-c reason=not_owner
 1.9 vm-c time=2026-01-01T10:00:01.900Z level=info logger=x event=upstream_standing upstream=u1 standing=leaving
 1.8 vm-c time=2026-01-01T10:00:01.800Z level=info logger=x event=upstream_standing upstream=u9 standing=leaving
{"time": "2026-01-01T10:00:02.100Z", "level": "info", "logger": "x", "event": "request_not_answered", "request_id": "r1", "reason": "owner_unavailable", "took_s": 0.7}
not a log line
 2.0 vm-a time=2026-01-01T10:00:02.050Z level=info logger=x event=attempt_failed request_id=r2 upstream=u1
"""  # noqa: E501


def run(monkeypatch, capsys, request_id, text=LINES):
    monkeypatch.setattr("sys.stdin", io.StringIO(text))
    code = main(["explain", request_id])
    return code, capsys.readouterr()


def test_timeline_has_the_request_and_the_changes_that_may_explain_it(monkeypatch, capsys):
    code, output = run(monkeypatch, capsys, "r1")
    assert code == 0
    names = [line.split()[2] for line in output.out.splitlines()]
    assert names == [
        "range_moves",
        "upstream_standing",
        "attempt_failed",
        "request_not_answered",
    ]
    assert "first=0" in output.out and "u9" not in output.out and "r2" not in output.out


def test_unknown_request_is_reported(monkeypatch, capsys):
    code, output = run(monkeypatch, capsys, "r7")
    assert code == 1 and "r7" in output.err


@pytest.mark.parametrize("line", ["time=soon event=x", '{"time": 1, "event": 2}', "{broken", ""])
def test_other_lines_are_skipped(monkeypatch, capsys, line):
    code, output = run(monkeypatch, capsys, "r1", LINES + line + "\n")
    assert code == 0 and output.err == ""


TIME = "time=2026-01-01T10:00:01.500Z"


# Guards against a timeline that ends in an error because of one odd line among those of all VMs.
@pytest.mark.parametrize(
    "line",
    [
        '{"time": ' + "[" * 5000 + "]" * 5000 + ', "event": "x"}',
        '{"time": "2026-01-01T10:00:01Z", "event": ' + "[" * 900 + "]" * 900 + "}",
        f'{TIME} event="\\q"',
        "time=2026-01-01T10:00:00odd event=store_lost",
        f"{TIME} event=range_moves first=x last=9",
        f"{TIME} event=range_moves first=1 last={'9' * 5000}",
        f"{TIME} event=x request_id=r1 took_s=soon",
        f"{TIME} event=x request_id=r1 took_s=nan",
        f"{TIME} event=x request_id=r1 key=²",
    ],
    ids=lambda line: line[:40],
)
def test_timeline_is_printed_beside_an_odd_line(monkeypatch, capsys, line):
    code, output = run(monkeypatch, capsys, "r1", line + "\n" + LINES)
    assert (code, output.err) == (0, "")
    names = [line.split()[2] for line in output.out.splitlines()]
    assert {"range_moves", "attempt_failed", "request_not_answered"} <= set(names)
