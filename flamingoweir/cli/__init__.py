"""The operators' command-line tool."""

from .main import main

__all__ = ["main"]
