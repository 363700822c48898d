"""The daemon: its components, start, shutdown and state dump."""

from ._main import main

__all__ = ["main"]
