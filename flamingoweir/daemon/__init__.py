"""The daemon: assembly, lifecycle, drain and state dump."""

from ._main import main

__all__ = ["main"]
