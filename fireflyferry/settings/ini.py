"""INI parsing shared by settings files and table files."""

import configparser
import pathlib

import attrs

from fireflyferry.errors import FireflyferryError

__all__ = ["FileUnreadableError", "IniFile", "parse_ini", "read_text"]

MAX_FILE_BYTES = 4_000_000


class FileUnreadableError(FireflyferryError):
    """A file that is missing, too large or not UTF-8 text."""

    code = "file_unreadable"


@attrs.frozen
class IniFile:
    """Sections with their keys and values, and descriptions of what could not be parsed."""

    sections: dict[str, dict[str, str]]
    problems: tuple[str, ...] = ()


def read_text(path: str) -> str:
    """Read a UTF-8 file.

    Raises FileUnreadableError if the file is missing, too large or not UTF-8 text.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or error
        raise FileUnreadableError(f"cannot read {path!r}: {reason}") from error
    if len(data) > MAX_FILE_BYTES:
        raise FileUnreadableError(f"{path!r} has {len(data)} bytes, allowed: {MAX_FILE_BYTES}")
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise FileUnreadableError(f"{path!r} is not UTF-8 text at byte {error.start}") from error


def _parser(strict: bool) -> configparser.RawConfigParser:
    # configparser copies the keys of a default section to all sections, so that a row could change
    # without a change in its own section. The name NUL disables this: parse_ini refuses text that
    # contains it.
    parser = configparser.RawConfigParser(
        strict=strict, delimiters=("=",), default_section="\0", empty_lines_in_values=False
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    return parser


def _describe_error(error: configparser.Error) -> str:
    if isinstance(error, configparser.DuplicateSectionError):
        return f"line {error.lineno}: section [{error.section}] is given twice"
    if isinstance(error, configparser.DuplicateOptionError):
        return f"line {error.lineno}: key {error.option} is given twice in [{error.section}]"
    if isinstance(error, configparser.MissingSectionHeaderError):
        return f"line {error.lineno}: found {error.line.strip()!r} before the first [section]"
    if isinstance(error, configparser.ParsingError):
        lines = ", ".join(str(number) for number, _ in error.errors)
        return f"line {lines}: not a [section] or a `key = value`"
    return str(error).replace("\n", " ")


def parse_ini(text: str) -> IniFile:
    """Parse INI text, collecting duplicate sections and keys as problems.

    Keys keep their case, `=` is the only delimiter, and there is no interpolation.
    """
    # NUL names the parser's default section, see _parser.
    if "\0" in text:
        return IniFile({}, ("the text has a NUL character",))
    problems: list[str] = []
    # A second, lenient pass reads sections and keys in spite of duplicates, so that faults in them
    # are reported too.
    for strict in (True, False):
        parser = _parser(strict)
        try:
            parser.read_string(text)
        except configparser.Error as error:
            problem = _describe_error(error)
            if problem not in problems:
                problems.append(problem)
        else:
            break
    sections = {name: dict(parser.items(name)) for name in parser.sections()}
    return IniFile(sections, tuple(problems))
