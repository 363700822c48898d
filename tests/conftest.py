"""Settings that hold for all tests."""

import io

import pytest

from flamingoweir import logs


@pytest.fixture(autouse=True)
def quiet_logs():
    """Keep events out of the tests' output."""
    logs.configure(io.StringIO(), "error")
