"""Time for which a long computation may hold the event loop."""

import anyio

from ..clock import Clock

#: Seconds after which a computation gives way. A write that renews the ownership takes
#: several turns of the event loop, and all of them must fit into a fraction of
#: START_VALID_S on a slow instance.
SLICE_S = 0.01
#: Seconds for which it gives way: long enough for an answer to be read and acted on,
#: and for the other coroutines to get a third of the time at least.
GIVE_WAY_S = 0.005


class TimeSlice:
    """Measures how long a computation has held the event loop, and gives way.

    Parameters
    ----------
    clock : Clock
        The owner's clock.
    least_items : int
        Number of items that are worked on before `give_way_if_over` gives way. Where
        many processes share a processor, a slice has little time of its own, and each
        is followed by a whole turn of the event loop.

    Attributes
    ----------
    busy_s : float
        Seconds for which the computation has held the event loop, up to the latest
        call of `give_way`.
    """

    def __init__(self, clock: Clock, least_items: int = 1):
        self.busy_s = 0.0
        self._clock = clock
        self._least_items = least_items
        self._items = 0
        self._resumed_s = clock.now()

    def is_over(self, since_s: float | None = None) -> bool:
        """Return whether the computation should give way now.

        Parameters
        ----------
        since_s : float, optional
            Start of the slice; by default the time when the computation resumed. A
            later start lets it get on after work that has to be repeated in each slice.
        """
        started_s = self._resumed_s if since_s is None else since_s
        return self._clock.now() - started_s >= SLICE_S

    def stop(self) -> None:
        """Add the time since the computation resumed to `busy_s`."""
        now_s = self._clock.now()
        self.busy_s += now_s - self._resumed_s
        self._resumed_s = now_s

    async def give_way(self) -> None:
        """Let other coroutines run; anything may have changed afterwards."""
        self.stop()
        self._items = 0
        await anyio.sleep(GIVE_WAY_S)
        self._resumed_s = self._clock.now()

    async def give_way_if_over(self) -> None:
        """Let other coroutines run after an item, if the slice is over."""
        self._items += 1
        if self._items >= self._least_items and self.is_over():
            await self.give_way()
