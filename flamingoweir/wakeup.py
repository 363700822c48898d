"""A wait that another task can cut short."""

import anyio


class Wakeup:
    """Wakes one waiting task; a wake-up before the wait is kept."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def set(self) -> None:
        """Wake the waiting task."""
        self._event.set()

    async def wait(self, timeout_s: float) -> bool:
        """Wait until woken or for ``timeout_s``; return whether woken."""
        with anyio.move_on_after(timeout_s):
            await self._event.wait()
        woken = self._event.is_set()
        self._event = anyio.Event()
        return woken
