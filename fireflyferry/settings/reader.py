"""Reads settings files into attrs classes and reports all faults at once."""

import itertools
from collections.abc import Iterable, Mapping
from typing import Any, TypeVar

import attrs

from fireflyferry.errors import FireflyferryError
from fireflyferry.settings.ini import FileUnreadableError, parse_ini, read_text
from fireflyferry.settings.values import one_line, value_type_of

__all__ = ["Fault", "SettingsError", "parse_settings", "read_settings"]

T = TypeVar("T")


@attrs.frozen
class Fault:
    """One fault: its file, section and key, the value found and what is allowed."""

    file: str
    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        place = f"{self.file}: [{self.section}] {self.key}".rstrip()
        return one_line(f"{place}: found {self.found}, allowed: {self.allowed}")


class SettingsError(FireflyferryError):
    """A settings file that is not valid; `faults` lists every fault."""

    code = "bad_settings"

    def __init__(self, faults: Iterable[Fault]):
        self.faults = tuple(faults)
        super().__init__("; ".join(map(str, self.faults)))


def _read_section(
    file: str, section: str, section_class: type, given: Mapping[str, str]
) -> tuple[Any, list[Fault]]:
    keys = {attribute.name: attribute for attribute in attrs.fields(section_class)}
    values: dict[str, Any] = {}
    faults = [
        Fault(file, section, key, "an unknown key", "the keys " + ", ".join(keys))
        for key in given
        if key not in keys
    ]
    for key, attribute in keys.items():
        value_type = value_type_of(attribute)
        if key not in given:
            if attribute.default is attrs.NOTHING:
                faults.append(Fault(file, section, key, "no value", value_type.allowed))
            continue
        try:
            values[key] = value_type.parse(given[key])
        except ValueError:
            faults.append(
                Fault(file, section, key, value_type.describe(given[key]), value_type.allowed)
            )
    return (None if faults else section_class(**values)), faults


def _cross_key_faults(file: str, settings: dict[str, Any]) -> list[Fault]:
    """Return the violations of rules that involve several keys of one section."""
    return [
        Fault(file, name, key, found, allowed)
        for name, section in settings.items()
        for key, found, allowed in getattr(section, "cross_key_faults", lambda: ())()
    ]


def parse_settings(text: str, settings_class: type[T], file: str = "settings") -> T:
    """Read settings from INI text; `settings_class` has one attrs class for each section.

    Raises SettingsError with all faults.
    """
    ini = parse_ini(text)
    sections = {attribute.name: attribute.type for attribute in attrs.fields(settings_class)}
    faults = [Fault(file, "", "", problem, "INI") for problem in ini.problems]
    allowed = "the sections " + ", ".join(sections)
    faults.extend(
        Fault(file, name, "", "an unknown section", allowed)
        for name in ini.sections
        if name not in sections
    )
    results = {
        name: _read_section(file, name, section_class, ini.sections.get(name, {}))
        for name, section_class in sections.items()
    }
    faults.extend(itertools.chain.from_iterable(found for _, found in results.values()))
    settings = {name: section for name, (section, _) in results.items() if section is not None}
    faults.extend(_cross_key_faults(file, settings))
    if faults:
        raise SettingsError(faults)
    return settings_class(**settings)


def read_settings(path: str, settings_class: type[T]) -> T:
    """Read a settings file.

    Raises SettingsError with all faults, also for a file that cannot be read.
    """
    try:
        text = read_text(path)
    except FileUnreadableError as error:
        raise SettingsError([Fault(path, "", "", str(error), "a readable INI file")]) from error
    return parse_settings(text, settings_class, path)
