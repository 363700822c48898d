"""Settings of a process: frozen dataclasses and the INI file that fills them."""

from ._fleet import FleetSettings
from ._ini import SettingsError, load_settings, parse_settings
from ._model import (
    InstanceSettings,
    LimitSettings,
    PlatformSettings,
    RequestSettings,
    SchedulingSettings,
    Settings,
    TimingSettings,
)

__all__ = [
    "FleetSettings",
    "InstanceSettings",
    "LimitSettings",
    "PlatformSettings",
    "RequestSettings",
    "SchedulingSettings",
    "Settings",
    "SettingsError",
    "TimingSettings",
    "load_settings",
    "parse_settings",
]
