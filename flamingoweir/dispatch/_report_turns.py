"""Turns in which long reports are applied, one after another."""

import anyio

from ..fleet import Runner

#: Pause after a long report before another runner's is applied, as a multiple of the
#: time that it held the event loop, and its longest time in seconds: such reports take
#: a third of the owner's time.
REST = 2.0
MAX_REST_S = 0.5
#: Seconds between checks whether a runner responds whose report waits for its turn.
CHECK_INTERVAL_S = 0.2


class ReportTurns:
    """Lets one long report at a time be applied.

    The load is thousands of running tasks on a machine that is short of processor time.
    Their reports repeat most of what is known, and may be late; start and stop orders
    need the time.
    """

    def __init__(self) -> None:
        self._turn = anyio.Lock()

    async def take(self, runner: Runner) -> bool:
        """Wait for a turn; return False, without it, once the runner is lost."""
        is_taken = False

        async def end_if_lost() -> None:
            while runner.responds:
                await anyio.sleep(CHECK_INTERVAL_S)
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(end_if_lost)
            await self._turn.acquire()
            is_taken = True
            tasks.cancel_scope.cancel()
        return is_taken

    async def rest(self, busy_s: float) -> None:
        """Keep a turn for a while after a report.

        Parameters
        ----------
        busy_s : float
            Seconds for which the report held the event loop.
        """
        await anyio.sleep(min(MAX_REST_S, REST * busy_s))

    def give_back(self) -> None:
        """End a turn that was taken."""
        self._turn.release()
