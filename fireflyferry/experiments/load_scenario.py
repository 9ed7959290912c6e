"""Scenario files of the load generator in INI form."""

import configparser
import math

import attrs

from fireflyferry.errors import FireflyferryError

__all__ = ["RequestKind", "Scenario", "ScenarioError", "read_scenario"]


class ScenarioError(FireflyferryError):
    """A scenario file that cannot be read or is not valid."""

    code = "bad_scenario"


@attrs.frozen
class RequestKind:
    """One kind of request; `share` is relative to the other kinds.

    `path` may contain `{key}` and `{tenant}`. `hot_shift_s` moves the popular keys of a Zipf
    distribution on every so many seconds, 0 never. `service_ms` 0 leaves the upstream's own.
    """

    name: str
    path: str
    share: float = 1.0
    method: str = "GET"
    idempotent: bool = True
    keys: int = 1000
    distribution: str = "uniform"
    zipf_exponent: float = 1.0
    hot_shift_s: float = 0.0
    size_bytes: int = 0
    service_ms: float = 0.0
    body_bytes: int = 0


@attrs.frozen
class Scenario:
    """What is sent, how often and for how long; times in seconds unless named otherwise."""

    rate_per_s: float = 100.0
    duration_s: float = 10.0
    arrivals: str = "poisson"
    seed: int = 1
    timeout_ms: int = 2000
    max_in_flight: int = 500
    settle_s: float = 1.0
    tenants: dict[str, float] = attrs.field(factory=lambda: {"": 1.0})
    kinds: tuple[RequestKind, ...] = ()


_CHOICES = {
    "arrivals": ("poisson", "uniform"),
    "distribution": ("uniform", "zipf"),
    "method": ("GET", "PUT", "POST", "DELETE"),
}
_FROM_ZERO = {"settle_s", "hot_shift_s", "size_bytes", "service_ms", "body_bytes", "seed"}
_LIMITS = {"keys": 5_000_000, "max_in_flight": 5_000, "size_bytes": 90_000_000}


def read_scenario(path: str) -> Scenario:
    """Read a scenario file.

    Raises ScenarioError that names file, section, key, value found and what is allowed.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file, path)
    except OSError as error:
        raise ScenarioError(f"cannot read {path}: {error.strerror}") from error
    except (configparser.Error, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {' '.join(str(error).split())}") from error
    tenants: dict[str, float] = {}
    kinds = []
    general: dict = {}
    for section in parser.sections():
        group, _, name = section.partition(":")
        place = f"{path}: [{section}]"
        if section == "load":
            general = _fields(place, parser[section], Scenario, {"tenants", "kinds"})
        elif group == "request" and name:
            kinds.append(_kind(place, name, parser[section]))
        elif group == "tenant" and name:
            tenants[name] = _tenant_share(place, parser[section])
        else:
            raise ScenarioError(f"{place}: allowed are [load], [request:NAME], [tenant:NAME]")
    if not kinds:
        raise ScenarioError(f"{path}: no section [request:NAME]")
    return Scenario(**general, kinds=tuple(kinds), tenants=tenants or {"": 1.0})


def _kind(place: str, name: str, section: configparser.SectionProxy) -> RequestKind:
    values = _fields(place, section, RequestKind, {"name"})
    if "path" not in values:
        raise ScenarioError(f"{place} path: missing; for example /janela/{{key}}")
    try:
        values["path"].format(key="", tenant="")
    except (KeyError, IndexError, ValueError) as error:
        found = values["path"]
        raise ScenarioError(
            f"{place} path = {found!r}: allowed in braces are key, tenant"
        ) from error
    return RequestKind(name=name, **values)


def _tenant_share(place: str, section: configparser.SectionProxy) -> float:
    return _fields(place, section, RequestKind, _names(RequestKind) - {"share"}).get("share", 1.0)


def _names(kind: type) -> set[str]:
    return {field.name for field in attrs.fields(kind)}


def _fields(place: str, section: configparser.SectionProxy, kind: type, hidden: set[str]) -> dict:
    types = {it.name: it.type for it in attrs.fields(kind) if it.name not in hidden}
    values = {}
    for name, text in section.items():
        if name not in types:
            raise ScenarioError(f"{place} {name}: unknown key; allowed are {', '.join(types)}")
        values[name] = _value(place, name, text, types[name])
    return values


def _value(place: str, name: str, text: str, kind: type):
    if kind is bool:
        if text not in ("yes", "no"):
            raise ScenarioError(f"{place} {name} = {text!r}: allowed are yes, no")
        return text == "yes"
    if kind is str:
        if text not in _CHOICES.get(name, (text,)):
            raise ScenarioError(
                f"{place} {name} = {text!r}: allowed are {', '.join(_CHOICES[name])}"
            )
        return text
    try:
        value = kind(text)
    except ValueError:
        value = math.nan
    low_enough = value <= _LIMITS.get(name, math.inf)
    if not (
        math.isfinite(value) and low_enough and (value > 0 or (value == 0 and name in _FROM_ZERO))
    ):
        least = "from 0" if name in _FROM_ZERO else "above 0"
        most = f", at most {_LIMITS[name]}" if name in _LIMITS else ""
        whole = "whole number" if kind is int else "number"
        raise ScenarioError(f"{place} {name} = {text!r}: allowed is a {whole} {least}{most}")
    return value
