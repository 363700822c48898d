"""The adapter: the platform's wire formats, translated into our own types."""

from ._announcements import PlatformAnnouncements
from ._connect import connect_platform
from ._ingress import IngressApp, ReadyApp
from ._runners import HttpRunner
from ._settings import SETTINGS_VARIABLE, load_platform_settings
from ._store import PlatformStore

__all__ = [
    "SETTINGS_VARIABLE",
    "HttpRunner",
    "IngressApp",
    "PlatformAnnouncements",
    "PlatformStore",
    "ReadyApp",
    "connect_platform",
    "load_platform_settings",
]
