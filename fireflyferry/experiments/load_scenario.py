"""Scenario files of the load generator, in INI format."""

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

    `path` may contain `{key}` and `{tenant}`. Every `hot_shift_s` seconds other keys of a Zipf
    distribution become the popular ones; 0 means never. `size_bytes` is the size of the answer,
    `body_bytes` that of the request body. `service_ms` 0 leaves the service time to the upstream.
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
    """What is sent, at which rate and for how long.

    `settle_s` is the time between the last answer and the reading of the upstreams' counts.
    """

    rate_per_s: float = 100.0
    duration_s: float = 10.0
    arrivals: str = "poisson"
    seed: int = 1
    timeout_ms: int = 2000
    max_in_flight: int = 500
    settle_s: float = 1.0
    tenants: dict[str, float] = attrs.field(factory=lambda: {"": 1.0})
    kinds: tuple[RequestKind, ...] = ()


_ALLOWED_VALUES = {
    "arrivals": ("poisson", "uniform"),
    "distribution": ("uniform", "zipf"),
    "method": ("GET", "PUT", "POST", "DELETE"),
}
_ZERO_ALLOWED = {"settle_s", "hot_shift_s", "size_bytes", "service_ms", "body_bytes", "seed"}
_MAX_VALUES = {"keys": 5_000_000, "max_in_flight": 5_000, "size_bytes": 90_000_000}


def read_scenario(path: str) -> Scenario:
    """Read a scenario file.

    Raises ScenarioError that names file, section, key, value and the allowed values.
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
    load_values: dict = {}
    for section in parser.sections():
        section_type, _, name = section.partition(":")
        location = f"{path}: [{section}]"
        if section == "load":
            load_values = _fields(location, parser[section], Scenario, {"tenants", "kinds"})
        elif section_type == "request" and name:
            kinds.append(_request_kind(location, name, parser[section]))
        elif section_type == "tenant" and name:
            tenants[name] = _tenant_share(location, parser[section])
        else:
            raise ScenarioError(f"{location}: allowed are [load], [request:NAME], [tenant:NAME]")
    if not kinds:
        raise ScenarioError(f"{path}: no section [request:NAME]")
    return Scenario(**load_values, kinds=tuple(kinds), tenants=tenants or {"": 1.0})


def _request_kind(location: str, name: str, section: configparser.SectionProxy) -> RequestKind:
    values = _fields(location, section, RequestKind, {"name"})
    if "path" not in values:
        raise ScenarioError(f"{location} path: missing; for example /janela/{{key}}")
    try:
        values["path"].format(key="", tenant="")
    except (KeyError, IndexError, ValueError) as error:
        found = values["path"]
        raise ScenarioError(
            f"{location} path = {found!r}: allowed in braces are key, tenant"
        ) from error
    return RequestKind(name=name, **values)


def _tenant_share(location: str, section: configparser.SectionProxy) -> float:
    return _fields(location, section, RequestKind, _field_names(RequestKind) - {"share"}).get(
        "share", 1.0
    )


def _field_names(settings_class: type) -> set[str]:
    return {field.name for field in attrs.fields(settings_class)}


def _fields(
    location: str, section: configparser.SectionProxy, settings_class: type, not_in_file: set[str]
) -> dict:
    types = {
        each.name: each.type
        for each in attrs.fields(settings_class)
        if each.name not in not_in_file
    }
    values = {}
    for name, text in section.items():
        if name not in types:
            raise ScenarioError(f"{location} {name}: unknown key; allowed are {', '.join(types)}")
        values[name] = _value(location, name, text, types[name])
    return values


def _value(location: str, name: str, text: str, value_type: type):
    if value_type is bool:
        if text not in ("true", "false"):
            raise ScenarioError(f"{location} {name} = {text!r}: allowed are true, false")
        return text == "true"
    if value_type is str:
        if text not in _ALLOWED_VALUES.get(name, (text,)):
            raise ScenarioError(
                f"{location} {name} = {text!r}: allowed are {', '.join(_ALLOWED_VALUES[name])}"
            )
        return text
    try:
        value = value_type(text)
    except ValueError:
        value = math.nan
    within_maximum = value <= _MAX_VALUES.get(name, math.inf)
    if not (
        math.isfinite(value)
        and within_maximum
        and (value > 0 or (value == 0 and name in _ZERO_ALLOWED))
    ):
        minimum = "from 0" if name in _ZERO_ALLOWED else "above 0"
        maximum = f", at most {_MAX_VALUES[name]}" if name in _MAX_VALUES else ""
        number = "whole number" if value_type is int else "number"
        raise ScenarioError(
            f"{location} {name} = {text!r}: allowed is a {number} {minimum}{maximum}"
        )
    return value
