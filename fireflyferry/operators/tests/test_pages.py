"""Guards against pages and examples that no longer match the code."""

import pathlib
import re
import shlex

import attrs
import pytest

from fireflyferry.operators.arguments import EPILOG, make_parser
from fireflyferry.operators.errors import ExitCode
from fireflyferry.settings import PROGRAMS, read_settings
from fireflyferry.settings.ini import read_text
from fireflyferry.settings.values import value_type_of
from fireflyferry.tables import Pool, Route, parse_tables
from fireflyferry.telemetry.reasons import REASONS

ROOT = pathlib.Path(__file__).parents[3]
EXAMPLES = {
    "caatinga": {"janela", "reserva", "acervo"},
    "parbrett": {"tabell", "rundeplan", "bordvakt"},
}


def page(name):
    return (ROOT / "docs" / name).read_text()


def section(text, title):
    """Return the text under a heading, up to the next heading of the same or a higher level."""
    heading = re.search(rf"^(#+) {re.escape(title)}\n", text, re.MULTILINE)
    rest = text[heading.end() :]
    end = re.search(rf"^#{{1,{len(heading[1])}}} ", rest, re.MULTILINE)
    return rest[: end.start()] if end else rest


def rows(text):
    lines = re.findall(r"^\| (.+) \|$", text, re.MULTILINE)
    return [[cell.strip() for cell in line.split(" | ")] for line in lines][1:]


def test_every_reason_code_has_a_row_with_its_outcome_and_status():
    found = {row[0].strip("`"): row for row in rows(section(page("OPERATIONS.md"), "Reason codes"))}
    found.pop("---")
    assert list(found) == [str(reason) for reason in REASONS]
    for reason, info in REASONS.items():
        row = found[str(reason)]
        assert row[1:4] == [str(info.outcome), str(info.status), "yes" if info.retryable else "no"]
        assert len(row) == 6 and all(row)


def expected_row(attribute):
    value_type, default = value_type_of(attribute), attribute.default
    if default is attrs.NOTHING:
        shown = "required"
    else:
        value = default.factory() if isinstance(default, attrs.Factory) else default
        shown = f"`{value_type.format(value)}`" if value_type.format(value) else "empty"
    return [f"`{attribute.name}`", shown, value_type.allowed]


def check_rows(text, attrs_class):
    found = [row[:3] for row in rows(text) if row[0] != "---"]
    assert found == [expected_row(attribute) for attribute in attrs.fields(attrs_class)]


@pytest.mark.parametrize("title, row_type", [("Routes", Route), ("Pools", Pool)])
def test_every_column_is_on_the_page(title, row_type):
    check_rows(section(page("configuration.md"), title), row_type)


def test_every_settings_key_is_on_the_page():
    sections = {
        each.name: each.type
        for settings_class in PROGRAMS.values()
        for each in attrs.fields(settings_class)
    }
    text = page("configuration.md")
    assert set(re.findall(r"^#### `\[(\w+)\]`$", text, re.MULTILINE)) == set(sections)
    for name, section_class in sections.items():
        check_rows(section(text, f"`[{name}]`"), section_class)


def test_exit_codes_are_the_same_in_help_and_page():
    found = rows(section(page("configuration.md"), "Exit codes of fireflyferryctl"))[1:]
    help_rows = re.findall(r"^  (\d)  (.+)$", EPILOG, re.MULTILINE)
    assert [tuple(row) for row in found] == help_rows
    assert [int(code) for code, _ in help_rows] == list(ExitCode)


@pytest.mark.parametrize("name", ["configuration.md", "OPERATIONS.md"])
def test_commands_on_the_pages_are_accepted(name):
    commands = re.findall(r"^fireflyferryctl (.+)$", page(name), re.MULTILINE)
    assert commands
    for command in commands:
        words = shlex.split(command.split(" >")[0], comments=True)
        values = {"REVISION": "1"}
        make_parser().parse_args([values.get(word, word) for word in words])


def test_table_files_on_the_page_are_valid():
    blocks = re.findall(r"```ini\n(.+?)```", page("configuration.md"), re.DOTALL)
    assert [parse_tables(block).tables.pools[0].name for block in blocks] == ["janela", "previsao"]


@pytest.mark.parametrize("customer", EXAMPLES)
def test_examples_are_valid(customer):
    folder = ROOT / "examples" / customer
    tables = parse_tables(read_text(str(folder / "tables.ini"))).tables
    assert {row.name for row in tables.pools} == {row.name for row in tables.routes}
    assert {row.name for row in tables.pools} == EXAMPLES[customer]
    for program, settings_class in PROGRAMS.items():
        read_settings(str(folder / f"{program}.ini"), settings_class)


@pytest.mark.parametrize("customer, route", [("caatinga", "reserva"), ("parbrett", "rundeplan")])
def test_routes_with_requests_that_must_not_execute_twice_are_not_idempotent(customer, route):
    tables = parse_tables(read_text(str(ROOT / "examples" / customer / "tables.ini"))).tables
    assert [row.name for row in tables.routes if not row.idempotent] == [route]
