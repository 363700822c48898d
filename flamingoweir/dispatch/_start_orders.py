"""Sends start orders to runners."""

import enum
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from ..fleet import START_WINDOW_S, Allocation, Runner
from ..jobs import Attempt, AttemptState, Job
from ..logs import get_logger
from ._cap_withdrawals import may_send_start
from ._context import Permit, TermContext
from ._order_queues import OrderQueue, OrderQueues
from ._protocols import RunnerLink, StartOrder, StartResult
from ._runner_calls import RunnerCalls
from ._start_gate import StartGate

log = get_logger()

#: Seconds before an order without a response is sent again.
RESEND_PAUSE_S = 0.08
#: Seconds for which an order is sent again while its runner responds to other calls.
SENDING_S = 3.0
#: Largest number of start orders that are under way to one runner. The others wait
#: before their time begins to run, and leave a connection to stops and probes.
MAX_STARTS_AT_ONCE = 3
#: Seconds between checks whether ends have been acknowledged, or a write has given the
#: owner a higher token.
CHECK_INTERVAL_S = 0.005
#: Seconds between checks whether the owner may send orders again.
PERMIT_INTERVAL_S = 0.05
#: Number of orders that are dropped in turn before other coroutines run.
DROPPED_AT_ONCE = 100


class _Rank(enum.IntEnum):
    """Which of the start orders that wait for their turn go first."""

    #: May have been carried out, so that its task can't be started elsewhere.
    UNANSWERED = 0
    LASTING = 1
    OTHER = 2


class _Progress(enum.Enum):
    """What follows on an attempt to send a start order."""

    #: Nothing: its result is known, or it isn't wanted any more.
    ENDED = enum.auto()
    #: It is made and sent anew at once.
    AGAIN = enum.auto()
    #: It goes on after a moment, as orders to its runner wait for something else.
    DEFERRED = enum.auto()
    #: It goes on once the owner may send orders again.
    WITHHELD = enum.auto()
    #: It is sent again after a pause, as it got no response.
    UNANSWERED = enum.auto()


@dataclass(slots=True, eq=False)
class _StartOrder:
    """A start order to be sent.

    Attributes
    ----------
    attempt : Attempt
        The attempt.
    queued_s : float
        Since when it has waited for its turn, on the owner's clock, in seconds.
    until_s : float or None
        Until when it is sent; None before its first turn.
    sent_count : int
        How often it was made.
    """

    attempt: Attempt
    queued_s: float
    until_s: float | None = None
    sent_count: int = 0


class StartOrders:
    """Sends the start order of each attempt until its result is known.

    The orders to a runner are sent in turn, by a few senders that end when all are
    sent. An order that gives up its turn unsent has had no effect.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    permit : Permit
        Checked right before each order is sent.
    calls : RunnerCalls
        Finds the attempts and their links.
    task_group : TaskGroup
        Runs the senders.
    """

    def __init__(
        self,
        context: TermContext,
        permit: Permit,
        calls: RunnerCalls,
        task_group: TaskGroup,
    ):
        self._context = context
        self._owner_state = context.owner_state
        self._permit = permit
        self._calls = calls
        self._task_group = task_group
        self._gate = StartGate(context)
        self._queues = OrderQueues(task_group, MAX_STARTS_AT_ONCE, self._send_all)

    def add(self, attempt: Attempt) -> None:
        """Send the start order of a durable attempt in its turn."""
        order = _StartOrder(attempt, self._context.clock.now())
        self._queues.add(attempt.runner, order, self._find_rank(attempt))

    def _find_rank(self, attempt: Attempt) -> _Rank:
        found = self._calls.find_allocation(attempt)
        if found is None:
            return _Rank.OTHER
        _, allocation = found
        if allocation.start_unanswered:
            return _Rank.UNANSWERED
        return _Rank.LASTING if allocation.spec.lasting else _Rank.OTHER

    async def _send_all(self, queue: OrderQueue[_StartOrder]) -> None:
        dropped = 0
        while (order := queue.take()) is not None:
            made = order.sent_count
            progress = await self._send(order)
            while progress is _Progress.AGAIN:
                progress = await self._send(order)
            if progress is _Progress.UNANSWERED:
                self._task_group.start_soon(self._resend, order)
            if progress in (_Progress.DEFERRED, _Progress.WITHHELD):
                queue.put_back(order, self._find_rank(order.attempt))
                is_deferred = progress is _Progress.DEFERRED
                await anyio.sleep(
                    CHECK_INTERVAL_S if is_deferred else PERMIT_INTERVAL_S
                )
            dropped = dropped + 1 if order.sent_count == made else 0
            if dropped == DROPPED_AT_ONCE:
                dropped = 0
                await anyio.sleep(0)

    async def _resend(self, order: _StartOrder) -> None:
        """Queue an order without a response anew, after a pause."""
        await anyio.sleep(RESEND_PAUSE_S)
        attempt = order.attempt
        order.queued_s = self._context.clock.now()
        self._queues.add(attempt.runner, order, self._find_rank(attempt))

    async def _send(self, order: _StartOrder) -> _Progress:
        """Send a start order once; after an unexpected error, stop the attempt."""
        attempt = order.attempt
        with self._calls.contain("start", attempt.runner):
            return await self._try(order)
        now_s = self._context.clock.now()
        self._owner_state.health.record_fault(attempt.runner, now_s)
        found = self._calls.find_allocation(attempt)
        if found is not None:
            # It is not known whether the order was sent.
            self._record_unanswered(found[1])
            self._owner_state.stop_attempt(attempt, "order_failed")
        return _Progress.ENDED

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

    async def _try(self, order: _StartOrder) -> _Progress:
        attempt = order.attempt
        found = self._calls.find_allocation(attempt)
        job = self._owner_state.job_by_id.get(attempt.task.job)
        link = self._calls.find_link(attempt.runner)
        if found is None or job is None or link is None:
            self._owner_state.discard_attempt(attempt, "runner_gone")
            return _Progress.ENDED
        runner, allocation = found
        if attempt.state is not AttemptState.ORDERED or job.is_final:
            return _Progress.ENDED
        now_s = self._context.clock.now()
        if allocation.awaits_order and not self._permit.is_valid():
            # Nobody has been told of it, so that it may wait.
            return _Progress.WITHHELD
        if order.until_s is None:
            order.until_s = now_s + SENDING_S
        obstacle = self._find_obstacle(runner, allocation)
        if not obstacle and now_s > order.until_s:
            obstacle = "unanswered"
        if obstacle:
            self._discard_or_stop(attempt, allocation, obstacle)
            return _Progress.ENDED
        if runner.must_defer_start(allocation.spec, now_s):
            return _Progress.DEFERRED
        if not await self._gate.reach(runner, link, order.queued_s):
            if allocation.start_unanswered:
                return _Progress.UNANSWERED
            self._owner_state.discard_attempt(attempt, "runner_silent")
            return _Progress.ENDED
        if not runner.call_fence.raise_for_start(self._context.writer.latest_fence):
            self._owner_state.write_wakeup.set()
            return _Progress.DEFERRED
        return await self._send_made(order, job, runner, allocation, link)

    async def _send_made(
        self,
        order: _StartOrder,
        job: Job,
        runner: Runner,
        allocation: Allocation,
        link: RunnerLink,
    ) -> _Progress:
        """Make and send a start order, and handle its result."""
        attempt = order.attempt
        message = self._make_order(job, runner, allocation)
        was_refused = False

        def may_send() -> bool:
            nonlocal was_refused
            was_refused = not self._is_wanted(job, runner, allocation, message.fence)
            return not was_refused

        self._owner_state.customer_usage.record_sent(allocation)
        order.sent_count += 1
        sent_s = self._context.clock.now()
        result, clock_ms = await self._send_start(
            runner, link, allocation, message, may_send
        )
        if result is StartResult.UNSENT and (
            was_refused or not self._is_wanted(job, runner, allocation, message.fence)
        ):
            return _Progress.AGAIN
        is_unseen = result is StartResult.STARTED and (
            clock_ms is None
            or not runner.incarnation_clock.may_show(
                clock_ms, sent_s, self._context.clock.now()
            )
        )
        if result is not StartResult.STARTED or order.sent_count > 1 or is_unseen:
            self._log_result(runner, attempt, result, clock_ms, sent_s)
        if result is StartResult.FENCED and not self._calls.end_if_replaced(
            runner, message.fence
        ):
            return _Progress.AGAIN
        self._context.metrics.incr(f"starts_{result.value}")
        if result is StartResult.UNKNOWN:
            self._record_unanswered(allocation)
            # Only a poll shows whether the runner is lost.
            runner.poll_wakeup.set()
            return _Progress.UNANSWERED
        if is_unseen:
            self._record_unseen_start(runner, allocation)
            return _Progress.ENDED
        self._handle_start_result(attempt, runner, allocation, result)
        return _Progress.ENDED

    def _is_wanted(
        self, job: Job, runner: Runner, allocation: Allocation, fence: int
    ) -> bool:
        """Return whether an order with a token may be sent now."""
        attempt = allocation.attempt
        if attempt.state is not AttemptState.ORDERED or job.is_final:
            return False
        if runner.find(attempt.task, attempt.run) is not allocation:
            return False
        if self._find_obstacle(runner, allocation):
            return False
        if not runner.call_fence.allows_start(fence):
            return False
        if runner.must_defer_start(allocation.spec, self._context.clock.now()):
            return False
        return self._gate.is_open(runner)

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
        is_sent = False

        def record_sent() -> bool:
            nonlocal is_sent
            if not may_send():
                return False
            is_sent = True
            unanswered.record_sent()
            allocation.order_under_way = True
            return True

        result = StartResult.UNKNOWN
        try:
            result, clock_ms = await link.start(order, record_sent)
        finally:
            allocation.order_under_way = False
            if is_sent:
                is_answered = result is not StartResult.UNKNOWN
                unanswered.record_result(is_answered, self._context.clock.now())
                if not is_answered:
                    self._owner_state.late_starts.add_runner(runner)
                if not unanswered.has_pending:
                    # The next poll can acknowledge ends.
                    runner.poll_wakeup.set()
        return result, clock_ms

    def _find_obstacle(self, runner: Runner, allocation: Allocation) -> str:
        """Return why a start order may not be sent now; empty if it may."""
        if not self._permit.is_valid() or not self._permit.allows_runner(runner):
            return "no_permit"
        if not runner.has_room_for(allocation):
            return "capacity_shrunk"
        if not may_send_start(self._context, allocation):
            return "cap_lowered"
        if runner.must_refuse_start(self._context.clock.now()):
            return "ends_withheld"
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
