"""Queue of the requests that wait for a runner of one service."""

from collections import deque

import anyio

from ..clock import Clock
from ..errors import ErrorCode, FlamingoweirError

#: Weight of the latest gap in the moving average of gaps between releases.
GAP_WEIGHT = 0.05


class WaitQueue:
    """Bounded queue that refuses requests which it expects to miss their deadline.

    The expected wait is the position in the queue times the average gap between
    releases.

    Parameters
    ----------
    limit : int
        Maximum number of waiting requests.
    clock : Clock
        Monotonic clock of this instance.
    """

    def __init__(self, limit: int, clock: Clock):
        self._limit = limit
        self._clock = clock
        self._waiting: deque[anyio.Event] = deque()
        self._release_gap_s = 0.0
        self._last_release_s = clock.now()

    def __len__(self) -> int:
        return len(self._waiting)

    async def wait(self, deadline_s: float) -> None:
        """Wait until the request is released.

        Parameters
        ----------
        deadline_s : float
            Deadline of the request, on this instance's clock.

        Raises
        ------
        FlamingoweirError
            If the queue is full, the expected wait exceeds the deadline, or the
            deadline passes.
        """
        now_s = self._clock.now()
        expected_s = (len(self._waiting) + 1) * self._release_gap_s
        if len(self._waiting) >= self._limit or now_s + expected_s > deadline_s:
            raise FlamingoweirError(
                ErrorCode.OVERLOADED,
                "all runners are busy; try again later",
                retry_after_s=max(0.1, expected_s),
            )
        released = anyio.Event()
        self._waiting.append(released)
        with anyio.move_on_after(max(0.0, deadline_s - now_s)):
            try:
                await released.wait()
            except anyio.get_cancelled_exc_class():
                if released.is_set():
                    self.release()
                raise
            finally:
                if not released.is_set():
                    self._waiting.remove(released)
        if not released.is_set():
            raise FlamingoweirError(
                ErrorCode.DEADLINE_EXCEEDED,
                "no runner had a free slot before the deadline",
            )

    def release(self) -> None:
        """Release the next waiting request, because a runner has a free slot."""
        now_s = self._clock.now()
        if self._waiting:
            gap_s = min(1.0, now_s - self._last_release_s)
            self._release_gap_s += GAP_WEIGHT * (gap_s - self._release_gap_s)
        self._last_release_s = now_s
        while self._waiting:
            released = self._waiting.popleft()
            if not released.is_set():
                released.set()
                return
