"""Sends stop orders to runners."""

from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from ..fleet import Allocation, Runner
from ..jobs import Attempt
from ._context import TermContext
from ._protocols import Fenced, RunnerUnreachable
from ._runner_calls import RunnerCalls
from ._start_orders import RESEND_PAUSE_S

#: Largest number of stop orders that are under way to one runner, so that a start order
#: finds a connection while a large job is stopped.
MAX_STOPS_AT_ONCE = 2


@dataclass(slots=True, eq=False)
class _StopQueue:
    """Attempts on one runner to be stopped, and how many senders work on them."""

    attempts: dict[Attempt, None] = field(default_factory=dict)
    senders: int = 0


class StopOrders:
    """Sends a stop order for each attempt, repeatedly if need be.

    The orders to a runner are sent in turn, by a few senders that end when all are
    sent.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    calls : RunnerCalls
        Finds the attempts and their links.
    task_group : TaskGroup
        Runs the senders.
    """

    def __init__(self, context: TermContext, calls: RunnerCalls, task_group: TaskGroup):
        self._context = context
        self._calls = calls
        self._task_group = task_group
        self._queue_by_runner: dict[str, _StopQueue] = {}

    def add(self, attempt: Attempt) -> None:
        """Send stop orders for an attempt until its runner responds."""
        queue = self._queue_by_runner.setdefault(attempt.runner, _StopQueue())
        queue.attempts[attempt] = None
        if queue.senders < MAX_STOPS_AT_ONCE:
            queue.senders += 1
            self._task_group.start_soon(self._send_all, attempt.runner, queue)

    async def _send_all(self, runner_id: str, queue: _StopQueue) -> None:
        try:
            while queue.attempts:
                attempt = next(iter(queue.attempts))
                del queue.attempts[attempt]
                if not await self._stop(attempt):
                    queue.attempts[attempt] = None
                    await anyio.sleep(RESEND_PAUSE_S)
        finally:
            queue.senders -= 1
            if not queue.senders and not queue.attempts:
                self._queue_by_runner.pop(runner_id, None)

    async def _stop(self, attempt: Attempt) -> bool:
        """Send one stop order; return whether no other one is needed."""
        found = self._calls.find_allocation(attempt)
        if found is None:
            return True
        runner, allocation = found
        with self._calls.contain("stop", runner.id):
            return await self._send_stop(attempt, runner, allocation)
        return False

    async def _send_stop(
        self, attempt: Attempt, runner: Runner, allocation: Allocation
    ) -> bool:
        link = self._calls.find_link(runner.id)
        if link is None:
            # A new owner has not read the table of runners yet.
            return False
        fence = runner.call_fence.token
        try:
            await link.stop(attempt.task, attempt.run, fence)
        except Fenced:
            return self._calls.end_if_replaced(runner, fence)
        except RunnerUnreachable:
            return False
        # The run can't start there any more; the next poll reports its end.
        allocation.expect_listed_after_s = self._context.clock.now()
        runner.poll_wakeup.set()
        return True
