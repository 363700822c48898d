"""Timeouts of calls that leave out the time that the caller's event loop takes."""

import asyncio
import math
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

#: Turns of the event loop that the caller may need for a response that has arrived.
TURNS_OF_A_RESPONSE = 3
#: Longest time in seconds by which a late event loop prolongs a call.
MAX_OWN_TIME_S = 0.8
#: Lateness of the event loop in seconds that doesn't count.
MIN_LATENESS_S = 0.02


class CallTimeout:
    """Cancels a call at its deadline, or once a late event loop has had its turns.

    If the deadline is noticed late, the event loop was busy, and may not have read a
    response that arrived in time.
    """

    def __init__(self) -> None:
        self.scope = anyio.CancelScope()
        self.is_over = False
        self._deadline = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._timer_s = math.inf
        self._own_time_left_s = MAX_OWN_TIME_S

    @property
    def deadline(self) -> float:
        """When the call ends, on the clock of the event loop, in seconds."""
        return self._deadline

    @deadline.setter
    def deadline(self, deadline: float) -> None:
        self._deadline = deadline
        if self._timer is not None and self._timer_s > deadline:
            self.close()
        if self._timer is None and deadline < math.inf:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(deadline, self._check)
            self._timer_s = deadline

    def close(self) -> None:
        """End the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        late_s = asyncio.get_running_loop().time() - self._deadline
        if late_s < 0:
            # It was prolonged meanwhile.
            self.deadline = self._deadline
            return
        own_time_s = min(self._own_time_left_s, TURNS_OF_A_RESPONSE * late_s)
        if late_s >= MIN_LATENESS_S and own_time_s > 0:
            self._own_time_left_s -= own_time_s
            self.deadline = asyncio.get_running_loop().time() + own_time_s
            return
        self.is_over = True
        self.scope.cancel()


@contextmanager
def fail_after_own_time(timeout_s: float) -> Iterator[CallTimeout]:
    """Limit the time of a block; see `CallTimeout`.

    Parameters
    ----------
    timeout_s : float
        Timeout in seconds.

    Raises
    ------
    TimeoutError
        If it was over.
    """
    timeout = CallTimeout()
    timeout.deadline = anyio.current_time() + timeout_s
    try:
        with timeout.scope:
            yield timeout
    finally:
        timeout.close()
    if timeout.scope.cancelled_caught and timeout.is_over:
        raise TimeoutError
