"""Limit of concurrent calls, in which urgent calls overtake others."""

import heapq
import itertools

import anyio


class CallLimit:
    """Limits concurrent calls to one address.

    A place that becomes free goes to the most urgent call that waits, and among equally
    urgent ones to the first.

    Parameters
    ----------
    places : int
        Maximum number of concurrent calls.
    """

    def __init__(self, places: int):
        self._free = places
        self._numbers = itertools.count()
        #: Rank, number and event of each call that waits; a heap.
        self._waiting: list[tuple[int, int, anyio.Event]] = []
        #: Numbers of calls that wait no more.
        self._cancelled: set[int] = set()

    async def acquire(self, rank: int = 0) -> None:
        """Take a place, waiting for one if need be.

        Parameters
        ----------
        rank : int
            Calls with a lower rank go first.
        """
        if self._free:
            self._free -= 1
            return
        number, granted = next(self._numbers), anyio.Event()
        heapq.heappush(self._waiting, (rank, number, granted))
        try:
            await granted.wait()
        except BaseException:
            if granted.is_set():
                self.release()
            else:
                self._cancelled.add(number)
            raise

    def release(self) -> None:
        """Give a place back."""
        while self._waiting:
            _, number, granted = heapq.heappop(self._waiting)
            if number in self._cancelled:
                self._cancelled.remove(number)
                continue
            granted.set()
            return
        self._free += 1
