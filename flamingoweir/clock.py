"""Time as decisions see it."""

import time
from typing import Protocol


class Clock(Protocol):
    """A clock that never goes back."""

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        ...


class MonotonicClock:
    """The machine's monotonic clock, which also counts while a process is paused."""

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()
