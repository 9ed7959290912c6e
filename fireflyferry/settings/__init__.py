"""Settings of the programs, read from INI files."""

from fireflyferry.settings.model import (
    PROGRAMS,
    CtlSettings,
    EntrySettings,
    LeaseSettings,
    PlatformSettings,
    UpstreamSettings,
)
from fireflyferry.settings.reader import Fault, SettingsError, parse_settings, read_settings

__all__ = [
    "PROGRAMS",
    "CtlSettings",
    "EntrySettings",
    "Fault",
    "LeaseSettings",
    "PlatformSettings",
    "SettingsError",
    "UpstreamSettings",
    "parse_settings",
    "read_settings",
]
