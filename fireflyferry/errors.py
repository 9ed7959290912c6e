"""Base class of all errors, each with a stable code."""

__all__ = ["FireflyferryError"]


class FireflyferryError(Exception):
    """Base error; `code` is stable and safe to match on."""

    code = "internal_error"
