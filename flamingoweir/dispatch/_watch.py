"""Polls one runner: renews leases, applies reports, detects outages."""

import anyio

from ..fleet import Allocation, Runner
from ..jobs import AttemptState, Outcome
from ..logs import get_logger
from ..policy import PaceChange, find_stalled
from ._context import TermContext, TermEnd
from ._lease_keeper import ACKNOWLEDGEMENT, FENCE, PAUSE, REPORT
from ._orders import OrderSender
from ._owner_state import UNKNOWN_PACE_PERCENT
from ._protocols import (
    Fenced,
    RunnerLink,
    RunnerReport,
    RunnerUnreachable,
    RunningTask,
)
from ._time_slice import TimeSlice

log = get_logger()

#: Seconds that a poll waits for a run to end, where no tasks on spare processors share
#: the runner with serving tasks.
POLL_WAIT_S = 1.0
#: Seconds between polls of a runner without attempts.
IDLE_POLL_INTERVAL_S = 5.0
#: Seconds between polls of an unresponsive runner.
UNRESPONSIVE_PAUSE_S = 0.15
#: Longest delay of a poll, in seconds, until it can acknowledge the latest ends.
DURABLE_WAIT_S = 0.25
#: Longest delay of a poll, in seconds, until a write gives it a higher fencing token.
FENCE_WAIT_S = 0.15
#: Seconds between checks whether there is such a write.
FENCE_CHECK_INTERVAL_S = 0.005
#: Smallest gain in percentage points that counts as progress.
MIN_PROGRESS_PERCENT = 1.0
#: Number of ends in a full report; more ends, not listed yet, may follow it.
FULL_REPORT_ENDS = 500
#: Number of tasks and ends in a report up to which the next poll follows at once, and
#: seconds of pause for each one beyond it. An entry takes about 10 us.
SHORT_REPORT = 200
PAUSE_S_BY_ENTRY = 0.0005
#: Least number of entries of a report that are applied in a turn of the event loop.
ENTRIES_IN_A_TURN = 250
#: Longest pause between two polls of a runner, in seconds.
MAX_POLL_PAUSE_S = 1.0
#: Longest time in seconds for which a long report, or the poll that brings the next
#: one, waits for stop orders. Leases are renewed meanwhile.
MAX_STOPS_WAIT_S = 1.0


def find_poll_pause_s(report: RunnerReport) -> float:
    """Return after how many seconds from a poll its runner is polled again.

    A runner with ends to report answers at once. If it has many tasks, its reports
    would take all of the owner's time while they end one after another.
    """
    entries = len(report.running) + len(report.ended)
    return min(MAX_POLL_PAUSE_S, max(0, entries - SHORT_REPORT) * PAUSE_S_BY_ENTRY)


class RunnerWatch:
    """Polls one runner in a loop.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    orders : OrderSender
        Sends stop and pace orders.
    term_end : TermEnd
        Signalled when the runner has received a higher fencing token.
    runner : Runner
        The runner.
    link : RunnerLink
        Connection to the runner.
    """

    def __init__(
        self,
        context: TermContext,
        orders: OrderSender,
        term_end: TermEnd,
        runner: Runner,
        link: RunnerLink,
    ):
        self._context = context
        self._owner_state = context.owner_state
        self._fault_log = context.owner_state.fault_log
        self._clock = context.clock
        self._orders = orders
        self._leases = orders.leases
        self._term_end = term_end
        self._runner = runner
        self._link = link
        #: Whether the latest report was long.
        self._has_long_reports = False
        #: Earliest time of the next poll, on the owner's clock, in seconds.
        self._next_poll_s = float("-inf")

    async def run(self) -> None:
        """Poll until the owner's state no longer has this runner.

        An unexpected error counts as a poll without a response. If it persists, the
        leases of this runner lapse, and no other runner is affected.
        """
        runner = self._runner
        while self._owner_state.runner_by_id.get(runner.id) is runner:
            if await self._wait_while_idle():
                continue
            if not self._context.writer.may_renew_leases():
                self._term_end.signal("the store has not confirmed the ownership")
                return
            pause_s = self._next_poll_s - self._clock.now()
            if pause_s > 0:
                self._leases.begin_wait(runner, PAUSE)
                await anyio.sleep(pause_s)
            if self._has_long_reports:
                await self._orders.wait_for_stops(runner, MAX_STOPS_WAIT_S)
            self._leases.begin_wait(runner, ACKNOWLEDGEMENT)
            await self._wait_until_acknowledged()
            self._leases.begin_wait(runner, FENCE)
            await self._raise_fence()
            try:
                await self._poll()
            except Exception as error:
                self._fault_log.record("runner_watch_failed", error, runner=runner.id)
                self._record_no_response(error)
                await anyio.sleep(UNRESPONSIVE_PAUSE_S)
        self._leases.forget(runner)
        await self._link.aclose()

    async def _wait_while_idle(self) -> bool:
        """Wait if there is no reason to poll; return whether it waited."""
        runner = self._runner
        if (
            runner.has_attempts
            or runner.incarnation is None
            or not runner.call_fence.is_established
            or not runner.ends.is_acknowledged
        ):
            return False
        if runner.entry.incarnation not in (0, runner.incarnation):
            return False
        if self._owner_state.late_orders.find(runner.id, self._clock.now()):
            # A new incarnation must be noticed before such an order reaches it.
            return False
        idle_s = runner.last_response_s + IDLE_POLL_INTERVAL_S - self._clock.now()
        if idle_s <= 0:
            return False
        self._leases.end_wait(runner)
        await runner.poll_wakeup.wait(idle_s)
        return True

    async def _wait_until_acknowledged(self) -> None:
        """Wait until the next poll can acknowledge the latest ends.

        Until then a poll would return the same ends at once, whatever else has
        happened.
        """
        until_s = self._clock.now() + DURABLE_WAIT_S
        while self._withholds_ends():
            left_s = until_s - self._clock.now()
            if left_s <= 0:
                return
            await self._runner.poll_wakeup.wait(left_s)

    def _withholds_ends(self) -> bool:
        """Return whether the next poll can't acknowledge all ends yet.

        Records it if that is for the sake of start orders, which give way then.
        """
        runner = self._runner
        now_s = self._clock.now()
        must_withhold = runner.responds and not runner.may_acknowledge(now_s)
        if must_withhold and runner.ends.choose():
            runner.record_withheld(now_s)
        if runner.ends.durable < runner.ends.received:
            return True
        return must_withhold and not runner.ends.is_acknowledged

    async def _raise_fence(self) -> None:
        """Wait until the next poll can fence calls to a former incarnation.

        Without the store there is none, and the poll goes on without.
        """
        fence = self._runner.call_fence
        until_s = self._clock.now() + FENCE_WAIT_S
        while not fence.raise_to(self._context.writer.latest_fence):
            if self._clock.now() >= until_s:
                return
            self._owner_state.write_wakeup.set()
            await anyio.sleep(FENCE_CHECK_INTERVAL_S)

    async def _poll(self) -> None:
        runner = self._runner
        if not runner.responds:
            # It may have restarted.
            runner.call_fence.advance(self._context.writer.latest_fence)
        fence = runner.call_fence.token
        self._leases.end_wait(runner)
        sent_s = self._clock.now()
        # Repeated renewals without a response would keep the lease from ever lapsing.
        deadline_ms = None
        if runner.responds and runner.has_attempts:
            deadline_ms = self._context.renew_lease(runner)
        acknowledged = self._choose_acknowledged(sent_s)
        try:
            report = await self._link.poll(
                fence, acknowledged, deadline_ms, self._wait_s()
            )
        except Fenced:
            if not runner.call_fence.is_stale(fence):
                self._term_end.signal(
                    f"runner {runner.id} has received a higher fencing token"
                )
            return
        except RunnerUnreachable as error:
            self._record_no_response(error)
            await anyio.sleep(UNRESPONSIVE_PAUSE_S)
            return
        self._context.metrics.incr("looks")
        if runner.unresponsive_since_s is not None:
            log.info("runner_regained", runner=runner.id)
            if report.incarnation == runner.incarnation:
                self._owner_state.record_response(runner)
            for allocation in runner.allocation_by_run.values():
                allocation.unthrottled_since_s = self._clock.now()
        runner.record_response(report.clock_ms, self._clock.now(), sent_s)
        if report.incarnation != runner.incarnation:
            await self._begin_incarnation(report, fence)
            # This poll has renewed no lease.
            self._next_poll_s = sent_s
        else:
            # Counted from the sending, as such a poll renews leases.
            self._next_poll_s = sent_s + find_poll_pause_s(report)
            runner.ends.record_acknowledged(acknowledged)
            if runner.record_fenced(fence, self._clock.now()):
                self._log_fenced(fence)
        self._leases.begin_wait(runner, REPORT)
        await self._apply_report(report, sent_s)

    def _choose_acknowledged(self, now_s: float) -> int:
        """Return the number up to which a poll acknowledges ends; 0: none.

        The next incarnation might forget ends that nobody has read.
        """
        runner = self._runner
        acknowledged = runner.ends.choose()
        if not acknowledged or not runner.may_acknowledge(now_s):
            return 0
        runner.ends.record_sent()
        runner.call_fence.record_acknowledging()
        return acknowledged

    def _log_fenced(self, fence: int) -> None:
        now_s = self._clock.now()
        log.info(
            "former_calls_fenced",
            runner=self._runner.id,
            incarnation=self._runner.incarnation,
            fence=fence,
            inherited_s=round(self._runner.inherited_s(now_s), 2),
        )
        self._owner_state.placement_wakeup.set()

    def _wait_s(self) -> float:
        runner = self._runner
        if (
            runner.incarnation is None
            or not runner.call_fence.is_established
            # It may have restarted.
            or runner.unresponsive_since_s is not None
            or self._withholds_ends()
            or self._awaits_void_attempt()
        ):
            return 0.0
        if not runner.serving_count or not runner.spare_demand_milli:
            return POLL_WAIT_S
        return self._owner_state.colocation.measure_interval_s(runner)

    def _awaits_void_attempt(self) -> bool:
        """Return whether a run that was never listed has been stopped.

        If it had not started, the runner has no end to report that a poll could wait
        for, and the next report shows that it is not there.
        """
        now_s = self._clock.now()
        for allocation in self._runner.allocation_by_run.values():
            if allocation.attempt.state is not AttemptState.STOPPING:
                continue
            if allocation.listed_s > float("-inf"):
                continue
            if allocation.has_restarted and allocation.may_start_late(now_s):
                continue
            if allocation.expect_listed_after_s < float("inf"):
                return True
        return False

    def _record_no_response(self, error: Exception) -> None:
        runner = self._runner
        self._owner_state.record_lost(runner, str(error))
        if not runner.has_attempts or not runner.leases_lapsed(self._clock.now()):
            return
        self._owner_state.lapses.end_lapsed(runner)

    async def _apply_report(self, report: RunnerReport, sent_s: float) -> None:
        """Apply a report; long ones are applied one after another, and after stops.

        Each gives way after a slice, so that together they hold up other work by one
        slice at a time. A stop has to be carried out within seconds, and the end that
        it brings may be known later. What a report brings may be late as well where
        processor time is short; start orders go on meanwhile.
        """
        entries = len(report.running) + len(report.ended)
        self._has_long_reports = entries > SHORT_REPORT
        if not self._has_long_reports:
            await self._apply(report, sent_s)
            return
        await self._orders.wait_for_stops(self._runner, MAX_STOPS_WAIT_S)
        self._leases.begin_wait(self._runner, REPORT)
        turns = self._context.report_turns
        if not await turns.take(self._runner):
            # The next poll finds out, and brings a report anew.
            self._next_poll_s = float("-inf")
            return
        try:
            await turns.rest(await self._apply(report, sent_s))
        finally:
            turns.give_back()

    async def _apply(self, report: RunnerReport, sent_s: float) -> float:
        """Apply a report; return for how many seconds it held the event loop."""
        runner = self._runner
        time_slice = TimeSlice(self._clock, ENTRIES_IN_A_TURN)
        running = {(task.task, task.run): task for task in report.running}
        for end in report.ended:
            if end.number <= runner.ends.received:
                continue
            runner.ends.received = end.number
            self._owner_state.end_attempt(
                runner, end.task, end.run, end.outcome, end.checkpoint
            )
            self._owner_state.write_wakeup.set()
            await time_slice.give_way_if_over()
        listed_count = 0
        for key, task in running.items():
            allocation = runner.allocation_by_run.get(key)
            if allocation is None:
                late_runs = self._owner_state.late_runs
                allocation = late_runs.adopt(runner, task.task, task.run)
            if allocation is None:
                self._stop_unknown_run(task)
                continue
            listed_count += 1
            self._update_running(allocation, task)
            await time_slice.give_way_if_over()
        has_unlisted = listed_count < len(runner.allocation_by_run)
        if has_unlisted and len(report.ended) < FULL_REPORT_ENDS:
            await self._discard_unlisted(running, sent_s, time_slice)
        runner_id = runner.id
        with self._fault_log.contain("runner_paces_failed", runner=runner_id):
            self._adjust_paces()
        with self._fault_log.contain("runner_stalls_failed", runner=runner_id):
            self._stop_stalled(sent_s)
        time_slice.stop()
        return time_slice.busy_s

    def _stop_stalled(self, sent_s: float) -> None:
        """Stop attempts without progress.

        Only the time until the poll was sent counts: its response may have been under
        way for long, with progress as of its sending.
        """
        runner = self._runner
        for allocation in find_stalled(runner, sent_s):
            self._owner_state.stop_stalled(runner, allocation)
        self._owner_state.waits.runs.record_report(runner, self._clock.now())

    def _adjust_paces(self) -> None:
        """Adjust the paces of tasks on spare processors, to protect serving tasks.

        A task that was throttled for long is stopped if it fits on another runner.
        """
        runner = self._runner
        colocation = self._owner_state.colocation
        now_s = self._clock.now()
        colocation.learn(runner, now_s)
        changes = colocation.decide_paces(runner, now_s)
        if changes:
            self._log_paces(changes)
        for change in changes:
            attempt = change.attempt
            attempt.requested_pace_percent = change.pace_percent
            runner.find(attempt.task, attempt.run).unthrottled_since_s = now_s
        others = self._owner_state.runner_by_id.values()
        for attempt in colocation.find_attempts_to_move(runner, others, now_s):
            self._owner_state.stop_attempt(attempt, "held_back")
        for allocation in runner.allocation_by_run.values():
            attempt = allocation.attempt
            applied = attempt.pace_percent == attempt.requested_pace_percent
            if applied or not allocation.spec.uses_spare:
                continue
            if attempt.state is AttemptState.RUNNING:
                self._orders.set_pace(attempt)

    def _log_paces(self, changes: list[PaceChange]) -> None:
        """Write one line for all changes, as a line costs more than a decision."""
        paces = []
        for change in changes:
            former = change.attempt.requested_pace_percent
            paces.append(f"{change.attempt.task}:{former}>{change.pace_percent}")
        log.info(
            "paces_changed",
            runner=self._runner.id,
            lowest_headroom=round(changes[0].headroom, 2),
            paces=" ".join(paces),
        )

    async def _begin_incarnation(self, report: RunnerReport, fence: int) -> None:
        """Record a new incarnation, and end the attempts that it has lost.

        Attempts on a former incarnation are lost, except those that the report lists
        and those whose start order may still arrive.
        """
        runner = self._runner
        running = {(task.task, task.run) for task in report.running}
        former = runner.incarnation
        now_s = self._clock.now()
        age_s = (self._context.wall_ms() - report.incarnation) / 1000
        lost = runner.begin_incarnation(report.incarnation, now_s, fence, age_s)
        log.info(
            "runner_seen",
            runner=runner.id,
            incarnation=report.incarnation,
            former=former,
            clock_ms=round(report.clock_ms),
            running=len(report.running),
            ended=len(report.ended),
            first_end=report.ended[0].number if report.ended else None,
            lost=len(lost),
            inherited_s=round(runner.inherited_s(now_s), 2),
        )
        for task, run in self._owner_state.late_orders.find(runner.id, now_s):
            # Those that run already are stopped one by one, unless they go on.
            if (task, run) not in running:
                self._orders.forbid_run(runner, task, run)
        time_slice = TimeSlice(self._clock)
        for allocation in lost:
            await time_slice.give_way_if_over()
            attempt = allocation.attempt
            if runner.find(attempt.task, attempt.run) is not allocation:
                continue
            if attempt.state is AttemptState.STOPPING:
                # A former incarnation may have confirmed the stop.
                self._orders.stop(attempt)
            if (attempt.task, attempt.run) in running:
                self._take_over(allocation, report.incarnation)
                continue
            if allocation.start_unanswered or attempt.state is AttemptState.ORDERED:
                # The new incarnation would carry out a start order that arrives late.
                attempt.incarnation = report.incarnation
                if former is not None:
                    # Only a stop that this incarnation confirms ends the wait.
                    allocation.expect_listed_after_s = float("inf")
                    allocation.record_restart()
                    self._owner_state.stop_attempt(attempt, "runner_restarted")
                continue
            self._owner_state.end_attempt(
                runner, attempt.task, attempt.run, Outcome.LAPSED, ""
            )
        gone = [a for a in lost if (a.attempt.task, a.attempt.run) not in running]
        self._owner_state.record_restart(runner, former, gone)

    def _take_over(self, allocation: Allocation, incarnation: int) -> None:
        """Go on with a run that a late start order has begun anew."""
        attempt = allocation.attempt
        attempt.restart(incarnation, self._clock.now())
        attempt.pace_percent = UNKNOWN_PACE_PERCENT
        self._owner_state.waits.runs.forget(allocation)
        # The next owner knows by the incarnation that the run has begun anew.
        if attempt.task.job in self._owner_state.job_by_id:
            self._owner_state.changed_job_ids.add(attempt.task.job)
        allocation.started_s = None
        allocation.listed_s = float("-inf")
        allocation.unthrottled_since_s = self._clock.now()

    def _update_running(self, allocation: Allocation, task: RunningTask) -> None:
        attempt = allocation.attempt
        allocation.load = task.load
        now_s = self._clock.now()
        allocation.expect_listed_after_s = min(allocation.expect_listed_after_s, now_s)
        job = self._owner_state.job_by_id.get(attempt.task.job)
        if attempt.state is AttemptState.STOPPING and (job is None or job.is_final):
            # Only its end matters to the job any more.
            allocation.record_listed(now_s)
            return
        self._owner_state.record_listed(allocation, now_s)
        if job is not None:
            self._owner_state.waits.runs.take_over(allocation, job, now_s)
        if task.progress_percent >= attempt.progress_percent + MIN_PROGRESS_PERCENT:
            attempt.record_progress(task.progress_percent, now_s)
        if job is not None:
            job.record_checkpoint(attempt, task.checkpoint)

    def _stop_unknown_run(self, task: RunningTask) -> None:
        """Stop a run without an attempt; the job has ended or continues elsewhere."""
        log.warning(
            "unknown_run_stopped",
            runner=self._runner.id,
            task=str(task.task),
            run=task.run,
        )
        self._orders.stop_run(self._runner.id, task.task, task.run)

    async def _discard_unlisted(
        self,
        running: dict[tuple, RunningTask],
        sent_s: float,
        time_slice: TimeSlice,
    ) -> None:
        runner = self._runner
        now_s = self._clock.now()
        for key, allocation in list(runner.allocation_by_run.items()):
            await time_slice.give_way_if_over()
            if allocation.order_under_way:
                continue
            if allocation.has_restarted and allocation.may_start_late(now_s):
                # A further incarnation may still start it.
                continue
            if key not in running and allocation.expect_listed_after_s < sent_s:
                self._owner_state.discard_attempt(allocation.attempt, "not_listed")
