"""Sends orders to runners: to start a run, to stop it, to set its pace."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from ..faults import Containment
from ..fleet import START_WINDOW_S, Allocation, Runner
from ..jobs import Attempt, AttemptState, Job, TaskId
from ..logs import get_logger
from ._cap_withdrawals import may_send_start
from ._context import Permit, TermContext, TermEnd
from ._owner_state import UNKNOWN_PACE_PERCENT
from ._protocols import (
    Fenced,
    RunnerLink,
    RunnerUnreachable,
    StartOrder,
    StartResult,
)
from ._start_gate import StartGate

log = get_logger()

#: Seconds before an order without a response is sent again.
RESEND_PAUSE_S = 0.08
#: Seconds for which an order is sent again while its runner responds to other calls.
SENDING_S = 3.0
#: Seconds between checks whether a write has given the owner a higher token.
TOKEN_CHECK_INTERVAL_S = 0.005


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
        self._permit = permit
        self._term_end = term_end
        self._task_group = task_group
        self._link_by_runner = link_by_runner
        self._gate = StartGate(context)
        #: Attempts with a pace order in flight.
        self._pacing_attempts: set[Attempt] = set()

    def start(self, attempt: Attempt) -> None:
        """Send the start order of a durable attempt."""
        self._task_group.start_soon(self._start_or_stop, attempt)

    def stop(self, attempt: Attempt) -> None:
        """Send stop orders for an attempt until its runner responds."""
        self._task_group.start_soon(self._stop, attempt)

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

    def renew_leases(self) -> None:
        """Renew the leases of all runners that respond, without waiting for polls."""
        for runner in self._owner_state.runner_by_id.values():
            if runner.responds and runner.has_attempts:
                self._task_group.start_soon(self._renew_lease, runner)

    def _find_allocation(self, attempt: Attempt) -> tuple[Runner, Allocation] | None:
        runner = self._owner_state.runner_by_id.get(attempt.runner)
        allocation = runner.find(attempt.task, attempt.run) if runner else None
        return (runner, allocation) if allocation else None

    async def _start_or_stop(self, attempt: Attempt) -> None:
        """Send the start order; after an unexpected error, stop the attempt."""
        with self._contain("start", attempt.runner) as order:
            await self._start(attempt)
        if not order.failed:
            return
        now_s = self._context.clock.now()
        self._owner_state.health.record_fault(attempt.runner, now_s)
        found = self._find_allocation(attempt)
        if found is not None:
            # It is not known whether the order was sent.
            self._record_unanswered(found[1])
            self._owner_state.stop_attempt(attempt, "order_failed")

    def _record_unanswered(self, allocation: Allocation) -> None:
        allocation.record_unanswered_start(self._context.clock.now())
        self._owner_state.late_starts.add(allocation)

    def _record_unseen_start(self, runner: Runner, allocation: Allocation) -> None:
        """Record a start that an incarnation has confirmed that no report came from.

        Its next report shows whether the attempt runs there.
        """
        now_s = self._context.clock.now()
        allocation.unseen_start_s = now_s
        allocation.expect_listed_after_s = now_s
        detail = "another incarnation has confirmed a start"
        self._owner_state.record_lost(runner, detail)
        runner.poll_wakeup.set()

    def _contain(self, order: str, runner_id: str) -> Containment:
        return self._owner_state.fault_log.contain(
            "order_failed", order=order, runner=runner_id
        )

    async def _start(self, attempt: Attempt) -> None:
        found = self._find_allocation(attempt)
        job = self._owner_state.job_by_id.get(attempt.task.job)
        link = self._link_by_runner.get(attempt.runner)
        if found is None or job is None or link is None:
            self._owner_state.discard_attempt(attempt, "runner_gone")
            return
        runner, allocation = found

        def may_send() -> bool:
            if attempt.state is not AttemptState.ORDERED:
                return False
            if runner.find(attempt.task, attempt.run) is not allocation:
                return False
            if self._find_obstacle(runner, allocation):
                return False
            return self._gate.is_open(runner)

        until_s = self._context.clock.now() + SENDING_S
        sent_count = 0
        while attempt.state is AttemptState.ORDERED and self._find_allocation(attempt):
            obstacle = self._find_obstacle(runner, allocation)
            if not obstacle and self._context.clock.now() > until_s:
                obstacle = "unanswered"
            if obstacle:
                self._discard_or_stop(attempt, allocation, obstacle)
                return
            if not await self._gate.reach(runner, link):
                if not allocation.start_unanswered:
                    self._owner_state.discard_attempt(attempt, "runner_silent")
                    return
                await anyio.sleep(RESEND_PAUSE_S)
                continue
            if not runner.call_fence.raise_for_start(self._context.writer.latest_fence):
                self._owner_state.write_wakeup.set()
                await anyio.sleep(TOKEN_CHECK_INTERVAL_S)
                continue
            order = self._make_order(job, runner, allocation)
            self._owner_state.customer_usage.record_sent(allocation)
            sent_count += 1
            sent_s = self._context.clock.now()
            result, clock_ms = await self._send_start(
                runner, link, allocation, order, may_send
            )
            if result is StartResult.UNSENT and not may_send():
                continue
            is_unseen = result is StartResult.STARTED and (
                clock_ms is None
                or not runner.incarnation_clock.may_show(
                    clock_ms, sent_s, self._context.clock.now()
                )
            )
            if result is not StartResult.STARTED or sent_count > 1 or is_unseen:
                self._log_result(runner, attempt, result, clock_ms, sent_s)
            if result is StartResult.FENCED and not self._end_if_replaced(
                runner, order.fence
            ):
                continue
            self._context.metrics.incr(f"starts_{result.value}")
            if result is StartResult.UNKNOWN:
                self._record_unanswered(allocation)
                # Only a poll shows whether the runner is lost.
                runner.poll_wakeup.set()
                await anyio.sleep(RESEND_PAUSE_S)
                continue
            if is_unseen:
                self._record_unseen_start(runner, allocation)
                return
            self._handle_start_result(attempt, runner, allocation, result)
            return

    def _make_order(
        self, job: Job, runner: Runner, allocation: Allocation
    ) -> StartOrder:
        """Return a start order to be sent now, with a deadline of its own."""
        attempt = allocation.attempt
        now_s = self._context.clock.now()
        # The order also grants a lease until its deadline.
        deadline_s = self._context.writer.limit_lease(runner.id, now_s + START_WINDOW_S)
        return StartOrder(
            attempt.task,
            attempt.run,
            job.spec.payload,
            runner.grant_lease(deadline_s, now_s),
            runner.call_fence.token,
            job.find(attempt.task).checkpoint,
            allocation.ticket,
        )

    async def _send_start(
        self,
        runner: Runner,
        link: RunnerLink,
        allocation: Allocation,
        order: StartOrder,
        may_send: Callable[[], bool],
    ) -> tuple[StartResult, float | None]:
        """Send a start order once; see `RunnerLink.start`."""
        unanswered = runner.unanswered_starts
        number = None

        def record_sent() -> bool:
            nonlocal number
            if not may_send():
                return False
            number = unanswered.record_sent(self._context.clock.now())
            allocation.order_under_way = True
            return True

        result = StartResult.UNKNOWN
        try:
            result, clock_ms = await link.start(order, record_sent)
        finally:
            allocation.order_under_way = False
            if number is not None:
                is_answered = result is not StartResult.UNKNOWN
                now_s = self._context.clock.now()
                unanswered.record_result(number, is_answered, now_s)
                if not is_answered:
                    self._owner_state.late_starts.add_runner(runner)
        return result, clock_ms

    def _find_obstacle(self, runner: Runner, allocation: Allocation) -> str:
        """Return why a start order may not be sent now; empty if it may."""
        if not self._permit.is_valid() or not self._permit.allows_runner(runner):
            return "no_permit"
        if not runner.has_room_for(allocation):
            return "capacity_shrunk"
        if not may_send_start(self._context, allocation):
            return "cap_lowered"
        return ""

    def _log_result(
        self,
        runner: Runner,
        attempt: Attempt,
        result: StartResult,
        clock_ms: float | None,
        sent_s: float,
    ) -> None:
        """Log the result of a start order, unless the first one was carried out."""
        now_s = self._context.clock.now()
        ahead_ms = None
        if clock_ms is not None:
            ahead_ms = round(clock_ms - runner.incarnation_clock.estimate_ms(now_s))
        unheard_s = runner.unheard_s(now_s)
        log.info(
            "start_result",
            task=str(attempt.task),
            run=attempt.run,
            runner=runner.id,
            result=result.value,
            took_s=round(now_s - sent_s, 3),
            unheard_s=None if unheard_s is None else round(unheard_s, 2),
            clock_ahead_ms=ahead_ms,
        )

    def _end_if_replaced(self, runner: Runner, fence: int) -> bool:
        """End the term if a next owner has called a runner; return whether it has."""
        if runner.call_fence.is_stale(fence):
            return False
        self._term_end.signal(f"runner {runner.id} has received a higher fencing token")
        return True

    def _handle_start_result(
        self,
        attempt: Attempt,
        runner: Runner,
        allocation: Allocation,
        result: StartResult,
    ) -> None:
        now_s = self._context.clock.now()
        if result is StartResult.STARTED:
            runner.record_heard(now_s)
            allocation.record_start(now_s)
            self._owner_state.record_start(attempt)
            allocation.expect_listed_after_s = now_s
            if allocation.spec.lasting:
                # Until then, the next owner waits for a late start.
                self._owner_state.write_wakeup.set()
            runner.poll_wakeup.set()
            return
        if result is StartResult.FENCED:
            return
        if result is StartResult.STALE:
            # The run has ended or was stopped on the runner; the next report has it.
            allocation.expect_listed_after_s = now_s
            runner.poll_wakeup.set()
            return
        if result is StartResult.UNSENT:
            self._owner_state.record_lost(runner, "a start order was not sent")
        if result is StartResult.NO_ROOM:
            runner.record_no_room(now_s)
        if result is StartResult.UNHEALTHY:
            self._owner_state.health.record_fault(runner.id, now_s)
        self._discard_or_stop(attempt, allocation, result.value)

    def _discard_or_stop(
        self, attempt: Attempt, allocation: Allocation, reason: str
    ) -> None:
        """Discard an attempt; stop it instead if its order may still be carried out."""
        if allocation.start_unanswered:
            self._owner_state.stop_attempt(attempt, reason)
            return
        self._owner_state.discard_attempt(attempt, reason)

    async def _stop(self, attempt: Attempt) -> None:
        while found := self._find_allocation(attempt):
            runner, allocation = found
            with self._contain("stop", runner.id):
                if await self._send_stop(attempt, runner, allocation):
                    return
            await anyio.sleep(RESEND_PAUSE_S)

    async def _send_stop(
        self, attempt: Attempt, runner: Runner, allocation: Allocation
    ) -> bool:
        """Send one stop order; return whether no other one is needed."""
        link = self._link_by_runner.get(runner.id)
        if link is None:
            # A new owner has not read the table of runners yet.
            return False
        fence = runner.call_fence.token
        try:
            await link.stop(attempt.task, attempt.run, fence)
        except Fenced:
            return self._end_if_replaced(runner, fence)
        except RunnerUnreachable:
            return False
        # The run can't start there any more; the next poll reports its end.
        allocation.expect_listed_after_s = self._context.clock.now()
        runner.poll_wakeup.set()
        return True

    async def _forbid_run(self, runner: Runner, task: TaskId, run: int) -> None:
        incarnation = runner.incarnation
        while runner.incarnation == incarnation:
            link = self._link_by_runner.get(runner.id)
            if link is None or self._owner_state.runner_by_id.get(runner.id) != runner:
                return
            fence = runner.call_fence.token
            with self._contain("forbid", runner.id):
                try:
                    await link.stop(task, run, fence)
                except Fenced:
                    if not self._end_if_replaced(runner, fence):
                        continue
                except RunnerUnreachable:
                    await anyio.sleep(RESEND_PAUSE_S)
                    continue
                return
            await anyio.sleep(RESEND_PAUSE_S)

    async def _stop_run_once(self, runner_id: str, task: TaskId, run: int) -> None:
        with self._contain("stop_run", runner_id):
            await self._stop_run(runner_id, task, run)

    async def _stop_run(self, runner_id: str, task: TaskId, run: int) -> None:
        link = self._link_by_runner.get(runner_id)
        runner = self._owner_state.runner_by_id.get(runner_id)
        if link is None or runner is None:
            return
        fence = runner.call_fence.token
        try:
            await link.stop(task, run, fence)
        except Fenced:
            self._end_if_replaced(runner, fence)
        except RunnerUnreachable as error:
            log.info("stop_unanswered", runner=runner_id, detail=str(error))

    async def _renew_lease(self, runner: Runner) -> None:
        """Renew the lease on one runner once; its polls renew it later."""
        link = self._link_by_runner.get(runner.id)
        deadline_ms = self._context.renew_lease(runner)
        if link is None or deadline_ms is None:
            return
        fence = runner.call_fence.token
        with self._contain("renew", runner.id):
            try:
                await link.renew(fence, deadline_ms)
            except Fenced:
                self._end_if_replaced(runner, fence)
            except RunnerUnreachable as error:
                log.info("renewal_unanswered", runner=runner.id, detail=str(error))

    async def _set_pace(self, attempt: Attempt) -> None:
        try:
            with self._contain("pace", attempt.runner):
                await self._send_paces(attempt)
        finally:
            self._pacing_attempts.discard(attempt)

    async def _send_paces(self, attempt: Attempt) -> None:
        """Send the requested pace until it is confirmed or an order has failed."""
        while found := self._find_allocation(attempt):
            runner, _ = found
            link = self._link_by_runner.get(runner.id)
            percent = attempt.requested_pace_percent
            stopping = attempt.state is not AttemptState.RUNNING
            if link is None or stopping or attempt.pace_percent == percent:
                return
            fence = runner.call_fence.token
            try:
                await link.set_pace(attempt.task, attempt.run, percent, fence)
            except Fenced:
                if self._end_if_replaced(runner, fence):
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
