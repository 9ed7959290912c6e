"""Pytest settings shared by all tests."""

import os
import pathlib

import hypothesis
import pytest

# Tornado's default of 5 s is too short on a machine that is busy with other work.
os.environ.setdefault("ASYNC_TEST_TIMEOUT", "60")

FUZZ_STEPS = os.environ.get("FIREFLYFERRY_FUZZ_STEPS")

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, max_examples=60
)
if FUZZ_STEPS:
    hypothesis.settings.register_profile(
        "fuzz", deadline=None, database=None, max_examples=int(FUZZ_STEPS)
    )
hypothesis.settings.load_profile("fuzz" if FUZZ_STEPS else "ci")


def known_red_tests():
    text = (pathlib.Path(__file__).parent / "KNOWN-RED.txt").read_text()
    lines = (line.strip() for line in text.splitlines())
    return [line.removeprefix("test:").strip() for line in lines if line.startswith("test:")]


def pytest_collection_modifyitems(config, items):
    known = set(known_red_tests())
    found = set()
    for item in items:
        if item.nodeid in known:
            found.add(item.nodeid)
            item.add_marker(pytest.mark.xfail(strict=True, reason="listed in KNOWN-RED.txt"))
    whole_run = not config.option.keyword and config.args == config.getini("testpaths")
    if whole_run and known - found:
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {sorted(known - found)}")


def pytest_terminal_summary(terminalreporter):
    for name in known_red_tests():
        terminalreporter.write_line(f"known red: {name}")
