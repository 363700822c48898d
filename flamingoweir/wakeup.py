"""A wait that another task can end before its timeout."""

import anyio


class Wakeup:
    """Wakes one waiting task; `set` without a waiting task ends the next wait."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def set(self) -> None:
        """Wake the waiting task."""
        self._event.set()

    async def wait(self, timeout_s: float) -> bool:
        """Wait for at most ``timeout_s`` seconds; return whether `set` was called."""
        with anyio.move_on_after(timeout_s):
            await self._event.wait()
        woken = self._event.is_set()
        self._event = anyio.Event()
        return woken
