"""Kinds of values in settings files and tables: parsing, bounds and formatting."""

import abc
import ipaddress
import math
import re
from typing import Any

import attrs

__all__ = [
    "Choice",
    "Endpoint",
    "Flag",
    "Integer",
    "IpAddress",
    "Number",
    "Secret",
    "Text",
    "TextList",
    "ValueType",
    "Weights",
    "field",
    "one_line",
    "value_type_of",
]


class ValueType(abc.ABC):
    """A kind of value; `parse` and `convert` raise ValueError for what is not allowed."""

    @property
    @abc.abstractmethod
    def allowed(self) -> str:
        """Describe the allowed values."""

    @abc.abstractmethod
    def convert(self, value: Any) -> Any:
        """Check a JSON value and return it in its Python type."""

    def parse(self, text: str) -> Any:
        """Read a value from text."""
        return self.convert(text)

    def format(self, value: Any) -> str:
        """Write a value as text that `parse` reads back."""
        return str(value)

    def describe(self, value: Any) -> str:
        """Describe a refused value in an error message, on one line."""
        shown = ascii(value)
        return shown if len(shown) <= 120 else f"{shown[:117]}..."


def one_line(text: str, limit: int = 2000) -> str:
    """Escape control and other unprintable characters, and cut long text."""
    cut = text if len(text) <= limit else f"{text[: limit - 3]}..."
    return "".join(each if each.isprintable() else ascii(each)[1:-1] for each in cut)


def field(value: ValueType, default: Any = attrs.NOTHING, **options: Any) -> Any:
    """Define an attrs field whose allowed values are described by a `ValueType`."""
    return attrs.field(default=default, metadata={"value": value}, **options)


def value_type_of(attribute: attrs.Attribute) -> ValueType:
    """Return the `ValueType` of a field defined with `field`."""
    return attribute.metadata["value"]


@attrs.frozen
class Integer(ValueType):
    """A whole number within bounds."""

    low: int
    high: int

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return f"a whole number from {self.low} to {self.high}"

    def convert(self, value: Any) -> int:
        """Check type and bounds."""
        if type(value) is not int or not self.low <= value <= self.high:
            raise ValueError(self.allowed)
        return value

    def parse(self, text: str) -> int:
        """Read decimal digits with an optional sign."""
        if not re.fullmatch(r"-?[0-9]{1,18}", text):
            raise ValueError(self.allowed)
        return self.convert(int(text))


@attrs.frozen
class Number(ValueType):
    """A finite number within bounds."""

    low: float
    high: float

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return f"a number from {self.low:g} to {self.high:g}"

    def convert(self, value: Any) -> float:
        """Check type and bounds."""
        if type(value) not in (int, float) or not math.isfinite(value):
            raise ValueError(self.allowed)
        if not self.low <= value <= self.high:
            raise ValueError(self.allowed)
        return float(value)

    def parse(self, text: str) -> float:
        """Read a decimal number without an exponent."""
        if not re.fullmatch(r"-?[0-9]{1,18}(\.[0-9]{1,18})?", text):
            raise ValueError(self.allowed)
        return self.convert(float(text))

    def format(self, value: float) -> str:
        """Write the shortest text that reads back as the same number."""
        text = repr(float(value))
        # repr switches to an exponent below 1e-4, which parse does not read.
        return f"{value:.18f}".rstrip("0") if "e" in text else text


@attrs.frozen
class Flag(ValueType):
    """`true` or `false`."""

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return "true or false, also written yes or no"

    def convert(self, value: Any) -> bool:
        """Check the type."""
        if type(value) is not bool:
            raise ValueError(self.allowed)
        return value

    def parse(self, text: str) -> bool:
        """Read `true`, `yes`, `false` or `no`."""
        return self.convert({"true": True, "yes": True, "false": False, "no": False}.get(text))

    def format(self, value: bool) -> str:
        """Write `true` or `false`."""
        return "true" if value else "false"


@attrs.frozen
class Text(ValueType):
    """A string that matches a pattern."""

    pattern: str
    meaning: str

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return self.meaning

    def convert(self, value: Any) -> str:
        """Check type and pattern."""
        if not isinstance(value, str) or not re.fullmatch(self.pattern, value, re.ASCII):
            raise ValueError(self.allowed)
        return value


@attrs.frozen
class Choice(ValueType):
    """One of a few words."""

    options: tuple[str, ...]

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return "one of " + ", ".join(self.options)

    def convert(self, value: Any) -> str:
        """Check that the word is one of the options."""
        if not isinstance(value, str) or value not in self.options:
            raise ValueError(self.allowed)
        return value


@attrs.frozen
class TextList(ValueType):
    """Distinct strings, separated by commas in text."""

    item: ValueType
    low: int
    high: int

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return f"{self.low} to {self.high} different items, each {self.item.allowed}"

    def convert(self, value: Any) -> tuple[str, ...]:
        """Check items and their number."""
        if not isinstance(value, list | tuple) or not self.low <= len(value) <= self.high:
            raise ValueError(self.allowed)
        items = tuple(map(self._item, value))
        if len(set(items)) != len(items):
            raise ValueError(self.allowed)
        return items

    def _item(self, value: Any) -> str:
        try:
            return self.item.convert(value)
        except ValueError as error:
            raise ValueError(self.allowed) from error

    def parse(self, text: str) -> tuple[str, ...]:
        """Read items separated by commas."""
        return self.convert([part.strip() for part in text.split(",")] if text else [])

    def format(self, value: tuple[str, ...]) -> str:
        """Write items separated by commas."""
        return ", ".join(value)


@attrs.frozen
class Weights(ValueType):
    """Names with weights, written `name: 2, other: 1`."""

    name: Text
    weight: Integer
    high: int

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return (
            f"at most {self.high} pairs NAME: WEIGHT with different names, "
            f"each name {self.name.allowed}, each weight {self.weight.allowed}"
        )

    def convert(self, value: Any) -> dict[str, int]:
        """Check names, weights and their number."""
        if not isinstance(value, dict) or len(value) > self.high:
            raise ValueError(self.allowed)
        try:
            pairs = sorted(value.items())
            return {self.name.convert(name): self.weight.convert(each) for name, each in pairs}
        except (TypeError, ValueError) as error:
            raise ValueError(self.allowed) from error

    def parse(self, text: str) -> dict[str, int]:
        """Read pairs separated by commas."""
        weights: dict[str, int] = {}
        for part in filter(None, (part.strip() for part in text.split(","))):
            name, _, weight = (item.strip() for item in part.rpartition(":"))
            if name in weights or not re.fullmatch("[0-9]{1,9}", weight):
                raise ValueError(self.allowed)
            weights[name] = int(weight)
        return self.convert(weights)

    def format(self, value: dict[str, int]) -> str:
        """Write pairs separated by commas, ordered by name."""
        return ", ".join(f"{name}: {weight}" for name, weight in sorted(value.items()))


@attrs.frozen
class IpAddress(ValueType):
    """An IPv4 or IPv6 address."""

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return "an IP address"

    def convert(self, value: Any) -> str:
        """Check that the text is an address."""
        try:
            return str(ipaddress.ip_address(str(value)))
        except ValueError as error:
            raise ValueError(self.allowed) from error


@attrs.frozen
class Endpoint(ValueType):
    """`IP:PORT`, with an IPv6 address in brackets; empty where `optional`."""

    optional: bool = False

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return "IP:PORT, port 1 to 65535" + (", or empty" if self.optional else "")

    def convert(self, value: Any) -> str:
        """Check address and port."""
        if value == "" and self.optional:
            return ""
        host, _, port = str(value).rpartition(":")
        bracketed = host.startswith("[") and host.endswith("]")
        try:
            address = ipaddress.ip_address(host[1:-1] if bracketed else host)
            Integer(1, 65535).parse(port)
        except ValueError as error:
            raise ValueError(self.allowed) from error
        if (address.version == 6) != bracketed:
            raise ValueError(self.allowed)
        return value


@attrs.frozen
class Secret(ValueType):
    """A shared secret, never shown in messages; empty where `optional`."""

    optional: bool = False

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        extra = ", or empty" if self.optional else ""
        return "16 to 256 printable ASCII characters without spaces" + extra

    def convert(self, value: Any) -> str:
        """Check length and characters."""
        if value == "" and self.optional:
            return ""
        if not isinstance(value, str) or not re.fullmatch(r"[!-~]{16,256}", value):
            raise ValueError(self.allowed)
        return value

    def describe(self, value: Any) -> str:
        """Show only the length."""
        return f"a value of {len(str(value))} characters (not shown)"
