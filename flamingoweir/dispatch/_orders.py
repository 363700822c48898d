"""Sends orders to runners: to start a run, to stop it, to set its pace."""

import anyio
from anyio.abc import TaskGroup

from ..fleet import Runner
from ..jobs import Attempt, AttemptState, TaskId
from ..logs import get_logger
from ._context import Permit, TermContext, TermEnd
from ._lease_keeper import STOPS, LeaseKeeper
from ._owner_state import UNKNOWN_PACE_PERCENT
from ._protocols import Fenced, RunnerLink, RunnerUnreachable
from ._runner_calls import RunnerCalls
from ._start_orders import RESEND_PAUSE_S, StartOrders
from ._stop_orders import StopOrders

log = get_logger()


class OrderSender:
    """Sends each order, repeatedly if need be, in the background.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    permit : Permit
        Checked right before each start order is sent.
    term_end : TermEnd
        Signalled when a runner has received a higher fencing token.
    task_group : TaskGroup
        Runs one coroutine for each order.
    link_by_runner : dict of str to RunnerLink
        Links to the runners, by runner id.

    Attributes
    ----------
    leases : LeaseKeeper
        Renews leases apart from polls.
    """

    def __init__(
        self,
        context: TermContext,
        permit: Permit,
        term_end: TermEnd,
        task_group: TaskGroup,
        link_by_runner: dict[str, RunnerLink],
    ):
        self._context = context
        self._owner_state = context.owner_state
        self._task_group = task_group
        self._calls = RunnerCalls(context, term_end, link_by_runner)
        self._start_orders = StartOrders(context, permit, self._calls, task_group)
        self.leases = LeaseKeeper(context, self._calls, task_group)
        self._stop_orders = StopOrders(context, self._calls, task_group, self.leases)
        #: Attempts with a pace order in flight.
        self._pacing_attempts: set[Attempt] = set()

    def start(self, attempt: Attempt) -> None:
        """Send the start order of a durable attempt."""
        self._start_orders.add(attempt)

    def stop(self, attempt: Attempt) -> None:
        """Send stop orders for an attempt until its runner responds."""
        self._stop_orders.add(attempt)

    async def wait_for_stops(self, runner: Runner, max_wait_s: float) -> None:
        """Let the next poll of a runner, or its report, wait until few stops are left.

        See `StopOrders.wait_while_many`.
        """
        self.leases.begin_wait(runner, STOPS)
        await self._stop_orders.wait_while_many(max_wait_s)

    def set_pace(self, attempt: Attempt) -> None:
        """Bring an attempt to its requested pace.

        Orders on different connections may overtake each other, so each attempt has at
        most one in flight. The pace that is requested by then follows it.
        """
        if attempt in self._pacing_attempts:
            return
        self._pacing_attempts.add(attempt)
        self._task_group.start_soon(self._set_pace, attempt)

    def stop_run(self, runner_id: str, task: TaskId, run: int) -> None:
        """Send one stop order for an unknown run; later polls repeat it if needed."""
        self._task_group.start_soon(self._stop_run_once, runner_id, task, run)

    def forbid_run(self, runner: Runner, task: TaskId, run: int) -> None:
        """Send stop orders until an incarnation of a runner will not start a run."""
        self._task_group.start_soon(self._forbid_run, runner, task, run)

    async def _forbid_run(self, runner: Runner, task: TaskId, run: int) -> None:
        incarnation = runner.incarnation
        while runner.incarnation == incarnation:
            link = self._calls.find_link(runner.id)
            if link is None or self._owner_state.runner_by_id.get(runner.id) != runner:
                return
            fence = runner.call_fence.token
            with self._calls.contain("forbid", runner.id):
                try:
                    await link.stop(task, run, fence)
                except Fenced:
                    if not self._calls.end_if_replaced(runner, fence):
                        continue
                except RunnerUnreachable:
                    await anyio.sleep(RESEND_PAUSE_S)
                    continue
                return
            await anyio.sleep(RESEND_PAUSE_S)

    async def _stop_run_once(self, runner_id: str, task: TaskId, run: int) -> None:
        with self._calls.contain("stop_run", runner_id):
            await self._stop_run(runner_id, task, run)

    async def _stop_run(self, runner_id: str, task: TaskId, run: int) -> None:
        link = self._calls.find_link(runner_id)
        runner = self._owner_state.runner_by_id.get(runner_id)
        if link is None or runner is None:
            return
        fence = runner.call_fence.token
        try:
            await link.stop(task, run, fence)
        except Fenced:
            self._calls.end_if_replaced(runner, fence)
        except RunnerUnreachable as error:
            log.info("stop_unanswered", runner=runner_id, detail=str(error))

    async def _set_pace(self, attempt: Attempt) -> None:
        try:
            with self._calls.contain("pace", attempt.runner):
                await self._send_paces(attempt)
        finally:
            self._pacing_attempts.discard(attempt)

    async def _send_paces(self, attempt: Attempt) -> None:
        """Send the requested pace until it is confirmed or an order has failed."""
        while found := self._calls.find_allocation(attempt):
            runner, _ = found
            link = self._calls.find_link(runner.id)
            percent = attempt.requested_pace_percent
            stopping = attempt.state is not AttemptState.RUNNING
            if link is None or stopping or attempt.pace_percent == percent:
                return
            fence = runner.call_fence.token
            try:
                await link.set_pace(attempt.task, attempt.run, percent, fence)
            except Fenced:
                if self._calls.end_if_replaced(runner, fence):
                    return
                continue
            except RunnerUnreachable:
                # The order may have been carried out all the same.
                attempt.pace_percent = UNKNOWN_PACE_PERCENT
                if attempt.requested_pace_percent == percent:
                    # After the next poll it is sent again.
                    return
                continue
            attempt.pace_percent = percent
