"""Adapter to the platform: converts its wire formats to the types of this package."""

from ._ingress import IngressApp, ReadinessApp
from ._links import connect_platform
from ._row_decoder import PlatformRowDecoder
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
