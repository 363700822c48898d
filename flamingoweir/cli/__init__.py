"""Command-line tool for operators."""

from .main import main

__all__ = ["main"]
