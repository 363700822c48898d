"""The jobs, runners and attempts of a shard in memory; does no input or output."""

import dataclasses
from collections.abc import Collection, Iterable

from ..clock import Clock
from ..faults import FaultLog
from ..fleet import LOST_AFTER_S, Allocation, Runner
from ..jobs import (
    Attempt,
    Job,
    JobSpec,
    JobState,
    Outcome,
    StateRecord,
    StepRun,
    Suspicion,
    TaskId,
)
from ..logs import get_logger
from ..metrics import Metrics
from ..ownership import EarlierLeases
from ..policy import (
    SURVIVAL_S,
    ColocationPolicy,
    Crash,
    CrashDetector,
    RunnerHealth,
    Suspect,
)
from ..registry import RunnerEntry
from ..wakeup import Wakeup
from ._attempt_stops import AttemptStops
from ._carried_waits import CarriedWaits
from ._customer_load import CustomerLoad
from ._customer_usage import CustomerUsage
from ._dropped_runners import DroppedRunners
from ._lapses import Lapses, find_granter
from ._late_orders import LateOrders
from ._late_runs import LateRuns
from ._late_starts import LateStarts
from ._missing_runners import MissingRunners
from ._parking import JobParking
from ._task_ends import TaskEnds

log = get_logger()

#: Seconds before a step is tried again after an attempt did not start.
RETRY_PAUSE_S = 0.05
#: Largest number of tasks that a line of the log names.
MAX_LOGGED_TASKS = 20
#: Placeholder for the pace of an attempt that an earlier owner may have throttled, or
#: whose latest pace order got no response. It differs from every requested pace, so
#: that the requested pace is sent.
UNKNOWN_PACE_PERCENT = -1


class OwnerState:
    """State that the owner of a shard keeps in memory.

    Parameters
    ----------
    clock : Clock
        The owner's clock.
    metrics : Metrics
        Counts how attempts end.
    max_lease_s : float
        Longest lease that runners grant, in seconds.
    earlier_leases : EarlierLeases, optional
        When the leases of earlier owners have lapsed; left out: there are none.
    memory_mb : float
        Memory of the instance in megabytes.
    missing_runners : MissingRunners, optional
        Runners that were missing from the list for earlier owners; left out: none.

    Attributes
    ----------
    job_by_id : dict of str to Job
        Jobs that have not ended or still have attempts.
    runner_by_id : dict of str to Runner
        Runners that are listed or have attempts.
    changed_job_ids : set of str
        Ids of jobs with changes that are not yet written to the store.
    pending_starts : list of Attempt
        Attempts whose start orders are sent once they are durable.
    stops : AttemptStops
        Attempts to stop.
    ended_ms_by_job : dict of str to int
        When each job ended, in milliseconds since 1970, for jobs whose end is durable
        and whose rows are still in the store.
    set_aside_by_job : dict of str to StateRecord
        Records to be written of jobs that were set aside.
    missing_runners : MissingRunners
        For how long runners with attempts have been missing from the list.
    waits : CarriedWaits
        Waits that go on from one owner to the next.
    customer_load : CustomerLoad
        Submissions of each customer beyond its rate.
    customer_usage : CustomerUsage
        Sums of the demands of all allocations, by customer.
    fence : int
        Fencing token of the term; 0 where no runner is called.
    late_orders : LateOrders
        Start orders that the next incarnation of a runner might carry out.
    lapses : Lapses
        Ends attempts whose leases have lapsed.
    late_runs : LateRuns
        Ended runs that a late order may start, and where their tasks may be meanwhile.
    late_starts : LateStarts
        Attempts whose start order may still be carried out.
    task_ends : TaskEnds
        Ends of batch tasks that the planner has not collected.
    parking : JobParking
        Accepted jobs for which there is no memory.
    expired_job_ids : list of str
        Ids of jobs whose state row is to be deleted, after their other rows.
    placement_wakeup : Wakeup
        Set when there may be tasks to place.
    write_wakeup : Wakeup
        Set when there are changes to write.
    renewal_awaits_write : bool
        Whether a lease was renewed for less, as the owner row doesn't allow more.
    health : RunnerHealth
        Which runners may be used, judged by how tasks end on them.
    colocation : ColocationPolicy
        How far tasks that use spare processors may disturb serving tasks.
    fault_log : FaultLog
        Records errors that are contained to a row, a runner or a job.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        max_lease_s: float,
        earlier_leases: EarlierLeases | None = None,
        memory_mb: float = 300.0,
        missing_runners: MissingRunners | None = None,
    ):
        self.parking = JobParking(memory_mb)
        self.customer_load = CustomerLoad()
        self.customer_usage = CustomerUsage()
        self.fence = 0
        self.late_orders = LateOrders()
        self.late_starts = LateStarts()
        self.lapses = Lapses(self, clock)
        self.task_ends = TaskEnds()
        self.waits = CarriedWaits(clock)
        self.job_by_id: dict[str, Job] = {}
        self.runner_by_id: dict[str, Runner] = {}
        self.changed_job_ids: set[str] = set()
        self.pending_starts: list[Attempt] = []
        self.stops = AttemptStops()
        self.ended_ms_by_job: dict[str, int] = {}
        self.set_aside_by_job: dict[str, StateRecord] = {}
        self.expired_job_ids: list[str] = []
        self.placement_wakeup = Wakeup()
        self.write_wakeup = Wakeup()
        self.renewal_awaits_write = False
        self.health = RunnerHealth()
        self.colocation = ColocationPolicy()
        self.fault_log = FaultLog(metrics, clock)
        self._crash_detector = CrashDetector()
        self.missing_runners = missing_runners or MissingRunners()
        self._dropped_runners = DroppedRunners(clock.now())
        self._entry_by_id: dict[str, RunnerEntry] = {}
        self._excluded_job_ids: set[str] = set()
        self._clock = clock
        self._metrics = metrics
        self._max_lease_s = max_lease_s
        self._earlier_leases = earlier_leases or EarlierLeases.none()
        self.late_runs = LateRuns(self, self._earlier_leases, clock)

    def has_job(self, job_id: str) -> bool:
        """Return whether a job was added before, has ended or is excluded."""
        return (
            job_id in self.job_by_id
            or job_id in self.parking.queue_by_id
            or job_id in self.ended_ms_by_job
            or job_id in self._excluded_job_ids
        )

    def add_job(self, spec: JobSpec) -> Job | None:
        """Add an accepted job; return None if it was added before or has ended."""
        if self.has_job(spec.id):
            return None
        job = Job(spec)
        self.parking.record_held(spec)
        job.accepted_s = self._clock.now()
        self.job_by_id[spec.id] = job
        self.placement_wakeup.set()
        return job

    def cancel_job(self, job_id: str) -> None:
        """Cancel a job whose cancellation is durable."""
        job = self.job_by_id.get(job_id)
        if job_id in self._excluded_job_ids:
            # The next owner reads the record, and deletes the rows of the job.
            self.set_aside_by_job[job_id] = StateRecord(JobState.CANCELLED)
            self.write_wakeup.set()
        self.parking.record_cancelled(job_id)
        if job is None or not job.cancel():
            return
        log.info("job_cancelled", job=job_id, attempts=job.attempt_count)
        self._mark_changed(job)
        self._stop_surplus(job)

    def exclude_job(self, job_id: str) -> None:
        """Run nothing of a job whose tasks can't be read: they may be done already."""
        self._forget_job(job_id)
        self.changed_job_ids.discard(job_id)
        self._excluded_job_ids.add(job_id)

    def set_aside_job(self, job: Job, event: str, error: Exception) -> None:
        """Exclude a job whose state may be wrong after an error, also for later owners.

        Parameters
        ----------
        job : Job
            The job; what runs of it is stopped.
        event : str
            What failed; names the log line and the counter.
        error : Exception
            The error.
        """
        job_id = job.spec.id
        self.fault_log.record(event, error, job=job_id)
        self._metrics.incr("jobs_set_aside")
        self.exclude_job(job_id)
        self.set_aside_by_job[job_id] = StateRecord(
            job.state, set_aside=True, customer=job.spec.customer
        )
        self.write_wakeup.set()
        for runner in self.runner_by_id.values():
            for allocation in list(runner.allocation_by_run.values()):
                if allocation.attempt.task.job == job_id:
                    self.stop_attempt(allocation.attempt, "job_set_aside")

    def record_ended_job(self, job_id: str, ended_ms: int) -> None:
        """Remove a job whose end is durable; its job row can't add it again."""
        self._forget_job(job_id)
        self.ended_ms_by_job[job_id] = ended_ms

    def _forget_job(self, job_id: str) -> None:
        job = self.job_by_id.pop(job_id, None)
        if job is not None:
            self.parking.record_released(job.spec)

    def update_runners(
        self,
        entry_by_id: dict[str, RunnerEntry],
        present_ids: Collection[str] | None = None,
    ) -> list[Runner]:
        """Update the listed runners; return those that need a connection.

        Parameters
        ----------
        entry_by_id : dict of str to RunnerEntry
            Entries of the runners that count as listed.
        present_ids : collection of str, optional
            Ids of those whose entry was there in the latest read; left out: all.
        """
        to_connect = []
        self._entry_by_id = entry_by_id
        self.missing_runners.update(
            self.runner_by_id,
            entry_by_id if present_ids is None else present_ids,
            self._clock.now(),
        )
        self._blame_crashes()
        for runner_id, entry in entry_by_id.items():
            with self.fault_log.contain("runner_update_failed", runner=runner_id):
                runner = self._update_runner(entry)
                if runner is not None:
                    to_connect.append(runner)
        for runner_id, runner in list(self.runner_by_id.items()):
            if runner_id not in entry_by_id and not runner.has_attempts:
                self._drop_runner(runner)
                self.health.remove_runner(runner_id)
                self.colocation.remove_runner(runner_id)
        self.colocation.runner_count = len(self.runner_by_id)
        self.placement_wakeup.set()
        return to_connect

    def _update_runner(self, entry: RunnerEntry) -> Runner | None:
        """Update a listed runner; return it if it needs a connection."""
        known = self.runner_by_id.get(entry.id)
        if known is not None and known.entry.address in ("", entry.address):
            needs_connection = not known.entry.address
            if known.entry is not entry:
                known.entry = entry
            return known if needs_connection else None
        if known is not None and known.has_attempts:
            # The attempts run at the former address; their leases must lapse first.
            return None
        if known is not None:
            self._drop_runner(known)
        runner = self._new_runner(entry)
        self.runner_by_id[entry.id] = runner
        return runner

    def _drop_runner(self, runner: Runner) -> None:
        del self.runner_by_id[runner.id]
        self._dropped_runners.record(runner, self._clock.now())

    def find_entry(self, runner_id: str) -> RunnerEntry | None:
        """Return the entry that a runner has announced last; None: it isn't listed."""
        return self._entry_by_id.get(runner_id)

    def record_no_address(self, runner: Runner) -> None:
        """Record that no connection to a runner is possible at its address.

        The next update tries it again; attempts there end once their leases lapse.
        """
        runner.entry = dataclasses.replace(runner.entry, address="")

    def restore_allocations(self, job: Job) -> None:
        """Allocate resources for the attempts of a job read from the store."""
        self.restore_attempts(job, job.attempts())
        self.finish_restore(job)

    def restore_attempts(self, job: Job, attempts: Iterable[Attempt]) -> None:
        """Allocate resources for some of these attempts; see `restore_allocations`."""
        for attempt in attempts:
            runner = self.find_or_add_runner(attempt.runner)
            step = job.run_by_step[attempt.task.occurrence, attempt.task.step]
            attempt.created_s = attempt.last_progress_s = self._clock.now()
            allocation = self.restore_allocation(runner, attempt, step)
            # A poll with the new fencing token lists what earlier owners started.
            allocation.expect_listed_after_s = float("-inf")
            # It may have run for long.
            allocation.started_s = float("-inf")
            allocation.late_start_until_s = self._earlier_leases.find_starts_end_s(
                attempt.runner, f"{attempt.task}#{attempt.run}"
            )
            self.late_starts.add(allocation)
            self.waits.runs.restore(runner, allocation)

    def restore_allocation(
        self, runner: Runner, attempt: Attempt, step: StepRun
    ) -> Allocation:
        """Allocate resources for a run that this owner has not started.

        Its pace is not known.
        """
        attempt.pace_percent = UNKNOWN_PACE_PERCENT
        return self.customer_usage.restore(
            runner, attempt, step.spec, step.job.spec.customer
        )

    def finish_restore(self, job: Job) -> None:
        """Go on with a job whose attempts are restored."""
        self._crash_detector.restore(job.crash_blame.suspicion_by_run)
        self._stop_surplus(job)

    def remove_lapsed_unlisted(self) -> None:
        """End lapsed attempts on runners without an address; drop those not listed.

        These runners come from attempts in the store, and their address is unknown. An
        entry may be missing for a while after an outage, of a runner that has ends to
        report.
        """
        now_s = self._clock.now()
        for runner in list(self.runner_by_id.values()):
            if runner.entry.address or not runner.leases_lapsed(now_s):
                continue
            if self.missing_runners.may_return(runner.id, now_s):
                continue
            if runner.has_attempts:
                self.lapses.end_lapsed(runner)
            if runner.id not in self._entry_by_id and not runner.has_attempts:
                self._drop_runner(runner)

    def record_lost(self, runner: Runner, detail: str) -> None:
        """Record a call to a runner that got no response, and log the first of a row.

        Parameters
        ----------
        runner : Runner
            The runner.
        detail : str
            Why there is no response.
        """
        now_s = self._clock.now()
        is_first = runner.unresponsive_since_s is None
        runner.record_no_response(now_s)
        if now_s - runner.unresponsive_since_s >= LOST_AFTER_S:
            self.suspect_tasks(runner)
        if not is_first:
            return
        unheard_s = runner.unheard_s(now_s)
        log.warning(
            "runner_lost",
            runner=runner.id,
            unheard_s=None if unheard_s is None else round(unheard_s, 2),
            detail=detail,
        )
        if runner.has_attempts:
            self._log_awaited(runner, now_s)

    def record_unlisted(self) -> None:
        """Record that restored runners that are not listed can't be called."""
        for runner in self.runner_by_id.values():
            if not runner.entry.address:
                self.record_lost(runner, "the runner is not listed")

    def _log_awaited(self, runner: Runner, now_s: float) -> None:
        """Log until when which tasks of a runner can't be started elsewhere."""
        tasks = []
        for task, run in list(runner.allocation_by_run)[:MAX_LOGGED_TASKS]:
            tasks.append(f"{task}#{run}")
        log.info(
            "leases_awaited",
            runner=runner.id,
            attempts=len(runner.allocation_by_run),
            lapse_in_s=round(max(0.0, runner.lapses_in_s(now_s)), 2),
            missing_s=self.find_missing_s(runner, now_s),
            granted_by=find_granter(runner),
            tasks=" ".join(tasks),
        )

    def find_missing_s(self, runner: Runner, now_s: float) -> float | None:
        """Return for how long a runner is missing from the list, for the log."""
        missing_s = self.missing_runners.missing_s(runner.id, now_s)
        return None if missing_s is None else round(missing_s, 2)

    def record_restart(
        self, runner: Runner, former: int | None, lost: list[Allocation]
    ) -> None:
        """Record a new incarnation of a runner's id, and which allocations it lost."""
        self.record_response(runner)
        crash = self._crash_detector.find_crash_of_restarted(runner, former, lost)
        if crash is not None:
            self._blame(crash)

    def record_response(self, runner: Runner) -> None:
        """Record that a runner responds that did not respond before."""
        self._end_suspicions(self._crash_detector.record_response(runner))

    def _end_suspicions(self, suspects: Iterable[Suspect]) -> None:
        for suspect in suspects:
            job = self.job_by_id.get(suspect.task.job)
            if job is not None and job.end_suspicion(suspect.task, suspect.run):
                self.changed_job_ids.add(job.spec.id)

    def add_attempt(self, step: StepRun, index: int, runner: Runner) -> Attempt:
        """Create an attempt of a task on a runner whose incarnation is known."""
        attempt = step.job.start(
            step, index, runner.id, runner.incarnation, self._clock.now()
        )
        self._allocate(step, attempt, runner)
        return attempt

    def add_gang_attempts(self, step: StepRun, runners: list[Runner]) -> list[Attempt]:
        """Create one run of a whole gang; ``runners`` has one runner for each index."""
        assignments = [(runner.id, runner.incarnation) for runner in runners]
        attempts = step.job.start_gang(step, assignments, self._clock.now())
        for attempt, runner in zip(attempts, runners, strict=True):
            self._allocate(step, attempt, runner)
        return attempts

    def end_attempt(
        self, runner: Runner, task: TaskId, run: int, outcome: Outcome, checkpoint: str
    ) -> None:
        """Record the end of an attempt that a runner reported or whose lease lapsed."""
        allocation = self.customer_usage.release(runner, task, run)
        if allocation is not None:
            self._record_late_order(runner, allocation)
        job = self.job_by_id.get(task.job)
        if job is None:
            return
        if allocation is not None:
            self._record_outcome(runner, allocation, outcome, self._clock.now())
        try:
            was_final = job.is_final
            if outcome is not Outcome.LAPSED or (
                allocation is not None and allocation.has_survived(SURVIVAL_S)
            ):
                job.clear_blame(task)
            changed = job.end(task, run, outcome, checkpoint)
        except Exception as error:
            self.set_aside_job(job, "job_end_failed", error)
            return
        if not changed:
            return
        if allocation is not None and outcome is Outcome.DONE:
            self.task_ends.record(job, allocation, self._clock.now())
        step = job.run_by_step[task.occurrence, task.step]
        state = step.tasks.view(task.index)
        if outcome is Outcome.FAILED and not state.done:
            state.failed_runners.add(runner.id)
        if not was_final:
            log.info(
                "attempt_ended",
                task=str(task),
                run=run,
                runner=runner.id,
                outcome=outcome.value,
                job_state=job.state.value,
            )
        self._metrics.incr(f"attempts_{outcome.value}")
        if allocation is not None:
            failed = outcome is Outcome.FAILED
            self.late_runs.record_end(job, runner, allocation, failed)
        self._mark_changed(job)
        self._stop_surplus_after(job, task, run, was_final)

    def record_listed(self, allocation: Allocation, now_s: float) -> None:
        """Record that a poll lists an attempt as running."""
        allocation.record_listed(now_s)
        attempt = allocation.attempt
        self.record_start(attempt)
        job = self.job_by_id.get(attempt.task.job)
        if job is None or not job.crash_blame:
            return
        if allocation.has_survived(SURVIVAL_S):
            job.clear_blame(attempt.task)
            if job.state_changed:
                self.changed_job_ids.add(job.spec.id)

    def record_start(self, attempt: Attempt) -> None:
        """Record a confirmed start; the next write includes the job's new state."""
        job = self.job_by_id.get(attempt.task.job)
        if job is None:
            return
        job.record_start(attempt)
        if job.state_changed:
            self.changed_job_ids.add(job.spec.id)

    def discard_attempt(self, attempt: Attempt, reason: str) -> None:
        """Remove an attempt that did not start and can't start any more."""
        runner = self.runner_by_id.get(attempt.runner)
        allocation = runner and self.customer_usage.release(
            runner, attempt.task, attempt.run
        )
        if allocation is None:
            return
        self._record_late_order(runner, allocation)
        job = self.job_by_id.get(attempt.task.job)
        if job is None:
            return
        if not job.is_final:
            log.info(
                "attempt_void",
                task=str(attempt.task),
                run=attempt.run,
                runner=attempt.runner,
                reason=reason,
            )
        self._metrics.incr("attempts_void")
        job.discard_attempt(attempt)
        self.late_runs.record_end(job, runner, allocation, failed=False)
        step = job.run_by_step[attempt.task.occurrence, attempt.task.step]
        step.retry_at_s = self._clock.now() + RETRY_PAUSE_S
        self._mark_changed(job)
        self._stop_surplus_after(job, attempt.task, attempt.run, job.is_final)

    def stop_attempt(self, attempt: Attempt, reason: str) -> None:
        """Request the stop of an attempt; it keeps its resources until it has ended."""
        self.stops.stop(attempt, reason)

    def stop_stalled(self, runner: Runner, allocation: Allocation) -> None:
        """Stop an attempt without progress.

        The first one counts against its runner. A task that makes none on another
        runner either is a slow one.
        """
        attempt = allocation.attempt
        if not allocation.earlier_stalls:
            self.health.record_fault(runner.id, self._clock.now())
        job = self.job_by_id.get(attempt.task.job)
        if job is not None:
            job.record_stall(attempt.task)
        self.stop_attempt(attempt, "stalled")

    def find_suspect_runners(self) -> frozenset[str]:
        """Return the ids of runners with attempts of tasks suspected of a crash."""
        found = set()
        for job in self.job_by_id.values():
            for task_id in job.crash_blame.blame_by_task:
                task = job.find(task_id)
                if task is None:
                    continue
                for attempt in task.attempt_by_run.values():
                    found.add(attempt.runner)
        return frozenset(found)

    def waiting_by_queue(self) -> dict[str, int]:
        """Return the number of accepted jobs, by queue, that have not begun."""
        waiting: dict[str, int] = {}
        for job in self.job_by_id.values():
            if job.is_waiting:
                waiting[job.spec.queue] = waiting.get(job.spec.queue, 0) + 1
        for queue in self.parking.queue_by_id.values():
            waiting[queue] = waiting.get(queue, 0) + 1
        return waiting

    def suspect_tasks(self, runner: Runner) -> None:
        """Record which tasks may have crashed a lost runner, also for later owners."""
        lost = self._crash_detector.record_lost(runner)
        if lost is None:
            return
        for suspect in lost.suspects:
            job = self.job_by_id.get(suspect.task.job)
            if job is None:
                continue
            suspicion = Suspicion(
                lost.id, lost.machine, lost.incarnation, suspect.blame, lost.until_s
            )
            job.suspect(suspect.task, suspect.run, suspicion)
            self.changed_job_ids.add(job.spec.id)
        self.write_wakeup.set()

    def _blame_crashes(self) -> None:
        settled = self._crash_detector.forget_settled(
            self._entry_by_id, self._clock.now()
        )
        self._end_suspicions(settled)
        crashes = self._crash_detector.find_crashes(
            self.runner_by_id, self._entry_by_id
        )
        for crash in crashes:
            self._blame(crash)

    def _blame(self, crash: Crash) -> None:
        """Blame the suspects of a crash; jobs with tasks that are given up fail."""
        named = crash.suspects[:MAX_LOGGED_TASKS]
        log.warning(
            "runner_crashed",
            runner=crash.runner,
            suspected=len(crash.suspects),
            suspects=" ".join(f"{s.task}#{s.run}:{s.blame}" for s in named),
        )
        for suspect in crash.suspects:
            job = self.job_by_id.get(suspect.task.job)
            if job is None:
                continue
            suspected = job.end_suspicion(suspect.task, suspect.run)
            if crash.recorded and not suspected:
                continue
            given_up = job.blame_task(suspect.task, suspect.blame)
            self._mark_changed(job)
            if not given_up:
                continue
            log.warning(
                "task_given_up",
                task=str(suspect.task),
                run=suspect.run,
                runner=crash.runner,
            )
            self._metrics.incr("tasks_given_up")
            self._stop_surplus(job)

    def _allocate(self, step: StepRun, attempt: Attempt, runner: Runner) -> None:
        allocation = self.customer_usage.allocate(runner, attempt, step)
        self.late_starts.add(allocation)
        allocation.earlier_stalls = step.tasks.view(attempt.task.index).stalls
        self.pending_starts.append(attempt)
        self._mark_changed(step.job)
        if step.job.is_final:
            self.stop_attempt(attempt, "job_ended")

    def find_or_add_runner(self, runner_id: str) -> Runner:
        """Return a runner of a restored attempt; it need not be listed."""
        runner = self.runner_by_id.get(runner_id)
        if runner is None:
            runner = self._new_runner(RunnerEntry(runner_id, 0, "", "", ""))
            self.runner_by_id[runner_id] = runner
        return runner

    def _new_runner(self, entry: RunnerEntry) -> Runner:
        now_s = self._clock.now()
        runner = Runner(
            entry,
            self._max_lease_s,
            self._earlier_leases.find_end_s(entry.id),
            # The runner may not have restarted, and rejects lower tokens.
            max(self.fence, self._dropped_runners.highest_token),
            self._dropped_runners.find_token(entry.id, now_s),
            self._dropped_runners.may_get_late_calls(entry.id, now_s),
            max(
                self._earlier_leases.find_unanswered_end_s(entry.id),
                self._dropped_runners.find_starts_end_s(entry.id),
            ),
        )
        if runner.unanswered_starts.may_arrive(now_s):
            self.late_starts.add_runner(runner)
        return runner

    def _record_outcome(
        self, runner: Runner, allocation: Allocation, outcome: Outcome, now_s: float
    ) -> None:
        if outcome in (Outcome.DONE, Outcome.FAILED):
            failed = outcome is Outcome.FAILED
            self.health.record_end(
                runner.id, allocation.attempt.task.job, failed, now_s
            )

    def _record_late_order(self, runner: Runner, allocation: Allocation) -> None:
        attempt, now_s = allocation.attempt, self._clock.now()
        until_s = allocation.find_late_until_s(now_s)
        if until_s <= now_s:
            return
        self.late_orders.record(runner.id, attempt.task, attempt.run, until_s, now_s)
        self.late_starts.add_runner(runner)
        self.customer_usage.keep_late(runner, allocation, now_s)

    def _stop_surplus(self, job: Job) -> None:
        reason = "job_ended" if job.is_final else "surplus"
        self.stops.stop_all(job, job.find_surplus_attempts(), reason)

    def _stop_surplus_after(
        self, job: Job, task: TaskId, run: int, was_final: bool
    ) -> None:
        """Stop what need not run any more after the end of an attempt.

        Parameters
        ----------
        job : Job
            The job.
        task : TaskId
            Task of the attempt.
        run : int
            Its run number.
        was_final : bool
            Whether the job had ended before; all its attempts are being stopped then.
        """
        if was_final:
            return
        if job.is_final:
            self._stop_surplus(job)
            return
        self.stops.stop_all(job, job.find_surplus_after(task, run), "surplus")

    def _mark_changed(self, job: Job) -> None:
        self.changed_job_ids.add(job.spec.id)
        self.write_wakeup.set()
        self.placement_wakeup.set()
