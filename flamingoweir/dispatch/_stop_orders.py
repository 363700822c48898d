"""Sends stop orders to runners."""

from collections import deque

import anyio
from anyio.abc import TaskGroup

from ..fleet import Allocation, Runner
from ..jobs import Attempt
from ..logs import get_logger
from ..policy import StopBatch
from ._context import TermContext
from ._lease_keeper import LeaseKeeper
from ._order_queues import OrderQueue, OrderQueues
from ._protocols import Fenced, RunnerLink, RunnerUnreachable
from ._runner_calls import RunnerCalls
from ._start_orders import RESEND_PAUSE_S
from ._time_slice import TimeSlice

log = get_logger()

#: Largest number of calls with stop orders that are under way to one runner, so that a
#: start order finds a connection while a large job is stopped.
MAX_STOPS_AT_ONCE = 2
#: Number of stops without a result, on all runners, from which on reports wait.
MANY_STOPS = 200
#: Number of stops that wait for one runner from which on its lease is renewed first.
MANY_STOPS_OF_A_RUNNER = 100
#: Seconds between checks whether `MANY_STOPS` are without a result.
CHECK_INTERVAL_S = 0.05
#: Longest time in seconds for which attempts that were never ordered wait for stops.
#: They keep room from other tasks.
MAX_DISCARD_WAIT_S = 2.0
#: Least number of attempts that are discarded in a turn of the event loop.
DISCARDS_IN_A_TURN = 250


class StopOrders:
    """Sends a stop order for each attempt, repeatedly if need be.

    The orders to a runner are sent in turn, by a few senders that end when all are
    sent. If there are many, a sender writes several at once.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    calls : RunnerCalls
        Finds the attempts and their links.
    task_group : TaskGroup
        Runs the senders.
    leases : LeaseKeeper
        Renews the lease of a runner before it has many stops to carry out.
    """

    def __init__(
        self,
        context: TermContext,
        calls: RunnerCalls,
        task_group: TaskGroup,
        leases: LeaseKeeper,
    ):
        self._context = context
        self._calls = calls
        self._task_group = task_group
        self._leases = leases
        self._queues = OrderQueues(task_group, MAX_STOPS_AT_ONCE, self._send_all)
        #: Attempts without an order, to be discarded after stops.
        self._unsent: deque[Attempt] = deque()

    def add(self, attempt: Attempt) -> None:
        """Send stop orders for an attempt until its runner responds.

        One whose start order was never sent ends at once, or, beside many stops, after
        these: nothing runs of it.
        """
        found = self._calls.find_allocation(attempt)
        if found is None or not found[1].awaits_order:
            self._queues.add(attempt.runner, attempt)
        elif self.are_many:
            self._unsent.append(attempt)
            if len(self._unsent) == 1:
                self._task_group.start_soon(self._discard_unsent)
        else:
            self._context.owner_state.discard_attempt(attempt, "not_ordered")

    async def _discard_unsent(self) -> None:
        await self.wait_while_many(MAX_DISCARD_WAIT_S)
        time_slice = TimeSlice(self._context.clock, DISCARDS_IN_A_TURN)
        while self._unsent:
            attempt = self._unsent[0]
            with self._calls.contain("discard", attempt.runner):
                self._context.owner_state.discard_attempt(attempt, "not_ordered")
            self._unsent.popleft()
            await time_slice.give_way_if_over()

    @property
    def are_many(self) -> bool:
        """Whether there are many stops without a result on runners that respond."""
        stops = self._context.owner_state.stops
        return stops.has_more or self._queues.count_answered() > MANY_STOPS

    async def wait_while_many(self, max_wait_s: float) -> None:
        """Wait until few stops are left, so that they have the owner's time.

        Parameters
        ----------
        max_wait_s : float
            Longest wait in seconds.
        """
        clock = self._context.clock
        until_s = clock.now() + max_wait_s
        while self.are_many and clock.now() < until_s:
            await anyio.sleep(CHECK_INTERVAL_S)

    async def _send_all(self, queue: OrderQueue[Attempt]) -> None:
        batch = StopBatch()
        while True:
            allocations = self._take(queue, batch.choose(self._queues.sender_count))
            if not allocations:
                return
            if len(queue) > MANY_STOPS_OF_A_RUNNER:
                runner = self._context.owner_state.runner_by_id.get(queue.runner_id)
                if runner is not None:
                    self._leases.renew_before_stops(runner)
            confirmed = 0
            queue.under_way += len(allocations)
            try:
                with self._calls.contain("stop", queue.runner_id):
                    confirmed = await self._send(queue.runner_id, allocations)
            finally:
                queue.under_way -= len(allocations)
            queue.is_answered = confirmed > 0
            batch.record(len(allocations), confirmed)
            if confirmed < len(allocations):
                log.info(
                    "stops_unanswered",
                    runner=queue.runner_id,
                    sent=len(allocations),
                    answered=confirmed,
                    next_size=batch.size,
                )
            for allocation in allocations[confirmed:]:
                queue.add(allocation.attempt)
            if not confirmed:
                await anyio.sleep(RESEND_PAUSE_S)

    def _take(self, queue: OrderQueue[Attempt], most: int) -> list[Allocation]:
        """Take the allocations of the next attempts; those that have ended are left."""
        taken = []
        while len(taken) < most and (attempt := queue.take()) is not None:
            found = self._calls.find_allocation(attempt)
            if found is not None:
                taken.append(found[1])
        return taken

    async def _send(self, runner_id: str, allocations: list[Allocation]) -> int:
        """Send a stop order for each; return how many of the first are confirmed."""
        found = self._calls.find_allocation(allocations[0].attempt)
        link = self._calls.find_link(runner_id)
        if found is None or link is None:
            # A new owner has not read the table of runners yet.
            return 0
        runner, _ = found
        fence = runner.call_fence.token
        try:
            confirmed = await self._call(link, allocations, fence)
        except Fenced:
            replaced = self._calls.end_if_replaced(runner, fence)
            return len(allocations) if replaced else 0
        except RunnerUnreachable:
            return 0
        self._record_confirmed(runner, allocations[:confirmed])
        return confirmed

    async def _call(
        self, link: RunnerLink, allocations: list[Allocation], fence: int
    ) -> int:
        runs = [(item.attempt.task, item.attempt.run) for item in allocations]
        if len(runs) > 1:
            in_a_turn = StopBatch.responses_in_a_turn(self._queues.sender_count)
            return await link.stop_runs(runs, fence, in_a_turn)
        await link.stop(*runs[0], fence)
        return 1

    def _record_confirmed(self, runner: Runner, allocations: list[Allocation]) -> None:
        """Record that runs can't start there any more; the next poll has their ends."""
        now_s = self._context.clock.now()
        for allocation in allocations:
            allocation.expect_listed_after_s = now_s
        runner.poll_wakeup.set()
