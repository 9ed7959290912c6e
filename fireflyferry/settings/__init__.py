"""Settings of the programs, read from INI files."""

from fireflyferry.settings.model import (
    PROGRAMS,
    CtlSettings,
    EntrySettings,
    LeaseSettings,
)
from fireflyferry.settings.reader import Fault, SettingsError, parse_settings, read_settings

__all__ = [
    "PROGRAMS",
    "CtlSettings",
    "EntrySettings",
    "Fault",
    "LeaseSettings",
    "SettingsError",
    "parse_settings",
    "read_settings",
]
