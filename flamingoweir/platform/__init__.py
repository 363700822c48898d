"""Adapter to the platform: converts its wire formats to the types of this package."""

from ._announcements import PlatformRowDecoder
from ._connect import connect_platform
from ._ingress import IngressApp, ReadinessApp
from ._runners import PlatformRunnerLink
from ._settings import SETTINGS_PATH_VARIABLE, load_platform_settings
from ._store import PlatformStore

__all__ = [
    "SETTINGS_PATH_VARIABLE",
    "IngressApp",
    "PlatformRowDecoder",
    "PlatformRunnerLink",
    "PlatformStore",
    "ReadinessApp",
    "connect_platform",
    "load_platform_settings",
]
