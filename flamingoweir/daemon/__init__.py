"""The daemon: assembly, lifecycle, drain and state dump."""

from ._main import main, reload_settings
from ._node import Node, NodeLinks
from ._settings_check import load_daemon_settings

__all__ = ["Node", "NodeLinks", "load_daemon_settings", "main", "reload_settings"]
