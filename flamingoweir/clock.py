"""Clocks by which leases and timeouts are measured."""

import time
from typing import Protocol

#: Largest fraction by which a runner's clock may run slow.
CLOCK_DRIFT = 0.02


class Clock(Protocol):
    """A clock that never runs backwards."""

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        ...


class BootClock:
    """Time since the machine was booted, including time in suspension.

    ``time.monotonic`` stops while a machine is suspended, so that a lease would
    appear to be valid long after it has lapsed.
    """

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
