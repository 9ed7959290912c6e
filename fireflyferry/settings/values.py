"""Types of values in settings files and tables: parsing, validation and formatting."""

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
    "show_value",
    "value_type_of",
]


class ValueType(abc.ABC):
    """Type of a value; `parse` and `convert` raise ValueError for values that are not allowed."""

    @property
    @abc.abstractmethod
    def allowed(self) -> str:
        """Describe the allowed values."""

    @abc.abstractmethod
    def convert(self, value: Any) -> Any:
        """Check a JSON value and return it in its Python type."""

    def parse(self, text: str) -> Any:
        """Parse a value from text."""
        return self.convert(text)

    def format(self, value: Any) -> str:
        """Format a value as text that `parse` accepts."""
        return str(value)

    def describe(self, value: Any) -> str:
        """Describe an invalid value for an error message, on one line."""
        return show_value(value)


def show_value(value: Any, max_characters: int = 120) -> str:
    """Describe a value in ASCII on one line, also one that is nested too deeply for `ascii`."""
    try:
        shown = ascii(value)
    except RecursionError:
        shown = f"a deeply nested {type(value).__name__}"
    return shown if len(shown) <= max_characters else f"{shown[: max_characters - 3]}..."


def one_line(text: str, max_characters: int = 2000) -> str:
    """Cut long text, and escape control and other unprintable characters."""
    cut = text if len(text) <= max_characters else f"{text[: max_characters - 3]}..."
    return "".join(each if each.isprintable() else ascii(each)[1:-1] for each in cut)


def field(value_type: ValueType, default: Any = attrs.NOTHING, **options: Any) -> Any:
    """Define an attrs field with the type of its values."""
    return attrs.field(default=default, metadata={"value": value_type}, **options)


def value_type_of(attribute: attrs.Attribute) -> ValueType:
    """Return the type of the values of a field defined with `field`."""
    return attribute.metadata["value"]


@attrs.frozen
class Integer(ValueType):
    """A whole number within bounds."""

    minimum: int
    maximum: int

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return f"a whole number from {self.minimum} to {self.maximum}"

    def convert(self, value: Any) -> int:
        """Check type and bounds."""
        if type(value) is not int or not self.minimum <= value <= self.maximum:
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

    minimum: float
    maximum: float

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return f"a number from {self.minimum:g} to {self.maximum:g}"

    def convert(self, value: Any) -> float:
        """Check type and bounds."""
        if type(value) not in (int, float) or not math.isfinite(value):
            raise ValueError(self.allowed)
        if not self.minimum <= value <= self.maximum:
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
    """A boolean, formatted as `true` or `false`."""

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
    description: str

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return self.description

    def convert(self, value: Any) -> str:
        """Check type and pattern."""
        if not isinstance(value, str) or not re.fullmatch(self.pattern, value, re.ASCII):
            raise ValueError(self.allowed)
        return value


@attrs.frozen
class Choice(ValueType):
    """One of a fixed set of words."""

    options: tuple[str, ...]

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return "one of " + ", ".join(self.options)

    def convert(self, value: Any) -> str:
        """Check that the value is one of the options."""
        if not isinstance(value, str) or value not in self.options:
            raise ValueError(self.allowed)
        return value


@attrs.frozen
class TextList(ValueType):
    """Distinct strings, separated by commas in text."""

    item: ValueType
    min_items: int
    max_items: int

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return f"{self.min_items} to {self.max_items} different items, each {self.item.allowed}"

    def convert(self, value: Any) -> tuple[str, ...]:
        """Check the items and their number."""
        if (
            not isinstance(value, list | tuple)
            or not self.min_items <= len(value) <= self.max_items
        ):
            raise ValueError(self.allowed)
        items = tuple(map(self._convert_item, value))
        if len(set(items)) != len(items):
            raise ValueError(self.allowed)
        return items

    def _convert_item(self, value: Any) -> str:
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
    max_pairs: int

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return (
            f"at most {self.max_pairs} pairs NAME: WEIGHT with different names, "
            f"each name {self.name.allowed}, each weight {self.weight.allowed}"
        )

    def convert(self, value: Any) -> dict[str, int]:
        """Check the names, the weights and their number."""
        if not isinstance(value, dict) or len(value) > self.max_pairs:
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
        """Describe a value by its length only."""
        return f"a value of {len(str(value))} characters (not shown)"
