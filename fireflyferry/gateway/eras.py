"""The store's era, a number that increases each time the store comes back from a copy."""

import logging
from collections.abc import Callable

from fireflyferry.keyranges import MAX_ERA

__all__ = ["EarlierEraError", "StoreEras", "read_era"]

_LOG = logging.getLogger(__name__)


class EarlierEraError(ValueError):
    """An answer of an era below the highest one that this VM has seen."""


def read_era(text: str | None) -> int | None:
    """Return the era that a header names; None if the header is missing or not usable."""
    if text is None or not (text.isascii() and text.isdigit()) or len(text) > len(str(MAX_ERA)):
        return None
    era = int(text)
    return era if era <= MAX_ERA else None


class StoreEras:
    """The highest era that this VM has seen, from the store itself or from its relay.

    The callbacks in `on_rise` are called with the new era, also for the first one that is seen: a
    process that has just started cannot know for how long the era has lasted.
    """

    def __init__(self) -> None:
        self.on_rise: list[Callable[[int], None]] = []
        self._current: int | None = None
        self._last_unusable: str | None = None
        self._missing_logged = False

    @property
    def current(self) -> int | None:
        """The highest era seen; None while the store reports none."""
        return self._current

    def read(self, text: str | None) -> int | None:
        """Return the era that the header of an answer names, and log a header that is not usable.

        Returns None for a missing header too.
        """
        era = read_era(text)
        if era is None and text is not None and text != self._last_unusable:
            self._last_unusable = text
            _LOG.warning("store_era_unreadable", extra={"era": text[:100], "kept": self._current})
        if text is None and self._current is not None and not self._missing_logged:
            self._missing_logged = True
            _LOG.warning("store_era_missing", extra={"kept": self._current})
        return era

    def observe(self, era: int, source: str) -> None:
        """Take note of the era of an answer; `source` says who sent it.

        Raises EarlierEraError if the answer is of an earlier era.
        """
        if self._current is not None and era < self._current:
            raise EarlierEraError(f"era {era} is below {self._current}")
        if era == self._current:
            return
        earlier, self._current = self._current, era
        self._missing_logged = False
        level = logging.INFO if earlier is None else logging.WARNING
        _LOG.log(level, "store_era_risen", extra={"era": era, "earlier": earlier, "source": source})
        for callback in self.on_rise:
            callback(era)
