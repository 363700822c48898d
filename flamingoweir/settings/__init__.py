"""Settings of a process: an INI file, checked, as frozen dataclasses."""

from ._fleet import FleetSettings
from ._ini import SettingsError, load_settings, parse_settings
from ._model import (
    InstanceSettings,
    PlatformSettings,
    Requests,
    Scheduling,
    Settings,
    Timings,
)

__all__ = [
    "FleetSettings",
    "InstanceSettings",
    "PlatformSettings",
    "Requests",
    "Scheduling",
    "Settings",
    "SettingsError",
    "Timings",
    "load_settings",
    "parse_settings",
]
