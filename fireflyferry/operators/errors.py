"""Errors of the operators' program, each with its exit code."""

import enum

from fireflyferry.errors import FireflyferryError

__all__ = ["ExitCode", "OperatorError"]


class ExitCode(enum.IntEnum):
    """Exit codes of `fireflyferryctl`."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNAVAILABLE = 3
    CONFLICT = 4
    UNKNOWN = 5
    PARTIAL = 6


class OperatorError(FireflyferryError):
    """Failure of a command; `code` and `lines` are shown to the operator."""

    def __init__(self, code: str, exit_code: ExitCode, *lines: str):
        super().__init__("\n".join(lines))
        self.code = code
        self.exit_code = exit_code
        self.lines = lines
