"""Fixtures for all tests."""

import io

import pytest

from flamingoweir import logs


@pytest.fixture(autouse=True)
def suppress_logs():
    """Keep log lines out of the output of the tests."""
    logs.configure(io.StringIO(), "error")
