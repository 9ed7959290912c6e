"""Base class of the project's errors."""

__all__ = ["FireflyferryError"]


class FireflyferryError(Exception):
    """Base class of errors; `code` is a stable identifier that callers may compare."""

    code = "internal_error"
