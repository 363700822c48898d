"""Watches one runner: prolongs its lease, takes its lists, notices its silence."""

import anyio

from ..fleet import Allocation, Runner
from ..jobs import AttemptState, Outcome
from ..logs import get_logger
from ..policy import find_stalled
from ._context import TermContext, TermEnd
from ._orders import Orders
from ._protocols import (
    Fenced,
    RunnerLink,
    RunnerReport,
    RunnerUnreachable,
    RunningTask,
)

log = get_logger()

#: Seconds that a look waits for an end.
LOOK_WAIT_S = 1.0
#: The same where tasks with a latency target run beside others.
SHARED_LOOK_WAIT_S = 0.4
#: Seconds between looks at a runner on which nothing runs.
IDLE_LOOK_S = 5.0
#: Seconds between looks at a silent runner.
SILENT_PAUSE_S = 0.15
#: Seconds for which a look is put off until the latest ends are durable.
DURABLE_WAIT_S = 0.25
#: Percent points that count as progress.
MIN_PROGRESS = 1.0
#: Ends in a full page; more may be left then.
FULL_PAGE_ENDS = 500


class RunnerWatch:
    """One task for one runner.

    Parameters
    ----------
    context : TermContext
        The term.
    orders : Orders
        Stops what should not run.
    end : TermEnd
        Told when the runner has seen a newer owner.
    runner : Runner
        The runner.
    link : RunnerLink
        The way to it.
    """

    def __init__(
        self,
        context: TermContext,
        orders: Orders,
        end: TermEnd,
        runner: Runner,
        link: RunnerLink,
    ):
        self._context = context
        self._book = context.owner_state
        self._clock = context.clock
        self._orders = orders
        self._end = end
        self._runner = runner
        self._link = link

    async def run(self) -> None:
        """Watch until the runner is gone from the book."""
        runner = self._runner
        while self._book.runner_by_id.get(runner.id) is runner:
            if await self._rest():
                continue
            if not self._context.writer.may_renew_leases():
                self._end.lose("the store has not confirmed the ownership")
                return
            if runner.acknowledged < runner.seen:
                await runner.changed.wait(DURABLE_WAIT_S)
            await self._look()
        await self._link.aclose()

    async def _rest(self) -> bool:
        """Wait if there is no reason to look; return whether it waited."""
        runner = self._runner
        if (
            runner.has_attempts
            or runner.incarnation is None
            or runner.acknowledged < runner.seen
        ):
            return False
        if runner.entry.incarnation not in (0, runner.incarnation):
            return False
        rest_s = runner.answered_s + IDLE_LOOK_S - self._clock.now()
        if rest_s <= 0:
            return False
        await runner.changed.wait(rest_s)
        return True

    async def _look(self) -> None:
        runner = self._runner
        sent_s = self._clock.now()
        heard = runner.incarnation is not None and runner.unresponsive_since_s is None
        # A lease that is prolonged again and again without an answer never lapses.
        deadline_ms = (
            runner.lease_due_ms(sent_s) if heard and runner.has_attempts else None
        )
        try:
            report = await self._link.poll(
                self._context.writer.fence,
                runner.acknowledged,
                deadline_ms,
                self._wait_s(),
            )
        except Fenced:
            self._end.lose(f"runner {runner.id} has seen a newer owner")
            return
        except RunnerUnreachable as error:
            self._note_silence(error)
            await anyio.sleep(SILENT_PAUSE_S)
            return
        self._context.metrics.incr("looks")
        if runner.unresponsive_since_s is not None:
            log.info("runner_regained", runner=runner.id)
            for place in runner.allocation_by_run.values():
                place.unthrottled_since_s = self._clock.now()
        runner.read_clock(report.clock_ms, self._clock.now())
        self._take(report, sent_s)

    def _wait_s(self) -> float:
        runner = self._runner
        if runner.incarnation is None or runner.acknowledged < runner.seen:
            return 0.0
        shared = runner.serving_count and runner.spare_demand_milli
        return SHARED_LOOK_WAIT_S if shared else LOOK_WAIT_S

    def _note_silence(self, error: RunnerUnreachable) -> None:
        runner = self._runner
        now_s = self._clock.now()
        if runner.unresponsive_since_s is None:
            log.warning("runner_lost", runner=runner.id, detail=str(error))
        runner.note_silence(now_s)
        if not runner.has_attempts or not runner.lapsed(now_s):
            return
        self._book.lapse(runner)

    def _take(self, report: RunnerReport, sent_s: float) -> None:
        runner = self._runner
        running = {(task.task, task.run): task for task in report.running}
        if report.incarnation != runner.incarnation:
            self._begin_life(report, running)
        for end in report.ended:
            if end.number <= runner.seen:
                continue
            runner.seen = end.number
            self._book.end(runner, end.task, end.run, end.outcome, end.checkpoint)
            self._book.unwritten.set()
        for key, task in running.items():
            place = runner.find(*key)
            if place is None:
                self._stop_unknown(task)
                continue
            self._note_running(place, task)
        if len(report.ended) < FULL_PAGE_ENDS:
            self._drop_unlisted(running, sent_s)
        self._share()
        self._stop_stalled()

    def _stop_stalled(self) -> None:
        """Have attempts that stand still started elsewhere, and doubt the runner."""
        runner = self._runner
        now_s = self._clock.now()
        for place in find_stalled(runner, now_s):
            self._book.health.record_refusal(runner.id, now_s)
            self._book.stop(place.attempt, "stalled")

    def _share(self) -> None:
        """Pace tasks that use spare processors by what their neighbours suffer."""
        runner = self._runner
        colocation = self._book.colocation
        now_s = self._clock.now()
        colocation.learn(runner, now_s)
        for change in colocation.decide_paces(runner, now_s):
            log.info(
                "pace_changed",
                task=str(change.attempt.task),
                runner=runner.id,
                percent=change.pace_percent,
                former=change.attempt.requested_pace_percent,
                lowest_headroom=round(change.headroom, 2),
            )
            change.attempt.requested_pace_percent = change.pace_percent
            runner.find(
                change.attempt.task, change.attempt.run
            ).unthrottled_since_s = now_s
        others = self._book.runner_by_id.values()
        for attempt in colocation.find_attempts_to_move(runner, others, now_s):
            self._book.stop(attempt, "held_back")
        for place in runner.allocation_by_run.values():
            attempt = place.attempt
            told = attempt.pace_percent == attempt.requested_pace_percent
            if told or not place.spec.uses_spare:
                continue
            if attempt.state is AttemptState.RUNNING:
                self._orders.set_pace(attempt, attempt.requested_pace_percent)

    def _begin_life(
        self, report: RunnerReport, running: dict[tuple, RunningTask]
    ) -> None:
        """Take a new incarnation; it knows nothing of what ran before."""
        runner = self._runner
        former = runner.incarnation
        lost = runner.begin_incarnation(report.incarnation)
        log.info(
            "runner_seen",
            runner=runner.id,
            incarnation=report.incarnation,
            former=former,
            running=len(report.running),
            lost=len(lost),
        )
        for place in lost:
            attempt = place.attempt
            if (attempt.task, attempt.run) in running:
                attempt.incarnation = report.incarnation
                continue
            if place.unsure or attempt.state is AttemptState.ORDERED:
                # Its order may still arrive, and the new life would carry it out.
                attempt.incarnation = report.incarnation
                if former is not None:
                    self._book.stop(attempt, "runner_restarted")
                continue
            self._book.end(runner, attempt.task, attempt.run, Outcome.LAPSED, "")

    def _note_running(self, place: Allocation, task: RunningTask) -> None:
        attempt = place.attempt
        place.load = task.load
        now_s = self._clock.now()
        if attempt.state is AttemptState.ORDERED:
            attempt.state = AttemptState.RUNNING
        place.confirmed_s = min(place.confirmed_s, now_s)
        if task.progress_percent >= attempt.progress_percent + MIN_PROGRESS:
            attempt.progress_percent = task.progress_percent
            attempt.last_progress_s = now_s
        job = self._book.job_by_id.get(attempt.task.job)
        if job is not None:
            job.record_checkpoint(attempt, task.checkpoint)

    def _stop_unknown(self, task: RunningTask) -> None:
        """Stop a run that no job has; its job has ended or goes on elsewhere."""
        log.warning(
            "unknown_run_stopped",
            runner=self._runner.id,
            task=str(task.task),
            run=task.run,
        )
        self._orders.stop_run(self._runner.id, task.task, task.run)

    def _drop_unlisted(self, running: dict[tuple, RunningTask], sent_s: float) -> None:
        runner = self._runner
        for key, place in list(runner.allocation_by_run.items()):
            if key not in running and place.confirmed_s < sent_s:
                self._book.discard_attempt(place.attempt, "not_listed")
