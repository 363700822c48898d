"""Time as decisions see it."""

import time
from typing import Protocol


class Clock(Protocol):
    """A clock that never goes back."""

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        ...


class BootClock:
    """Time since the machine was started, suspensions included.

    ``time.monotonic`` stands still while a machine is suspended; a lease judged by
    it would seem to be held long after it has lapsed.
    """

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
