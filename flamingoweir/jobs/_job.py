"""State of a job, its steps and its tasks, and the transitions between states."""

import enum
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass

from ._attempt import Attempt, AttemptState, Outcome, TaskId
from ._blame import MAX_BLAME, CrashBlame, Suspicion
from ._index_set import IndexSet
from ._spec import JobSpec, StepSpec
from ._task_table import Task, TaskTable

#: Largest number of steps in idle occurrences of a scheduled job, unless a single
#: occurrence has more. An idle one is not done and has no attempt. Others are opened as
#: these start.
MAX_IDLE_STEPS = 200
#: Largest number of ranges of closed occurrences of a job. A range has two numbers.
MAX_CLOSED_RANGES = 600
#: Tasks of a step whose durable state shares a row. A task takes about 100 bytes, and
#: the smallest limit of a row is 64 KB.
TASKS_PER_ROW = 200


class JobState(enum.StrEnum):
    """State of a job as reported to submitters."""

    PENDING = "pending"
    #: A runner has confirmed the start of a task.
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})


class StepRun:
    """State of one step in one occurrence of a job.

    A step run covers all attempts at the step's tasks, whereas a run number identifies
    one attempt at one task.

    Attributes
    ----------
    job : Job
        The job.
    occurrence, step : int
        Numbers of the occurrence and of the step, from 0.
    spec : StepSpec
        Specification of the step.
    tasks : TaskTable
        The tasks, by index.
    open_indexes : IndexSet
        Indexes of tasks that are not done and have no attempt.
    ready_since_s : float or None
        When the planner first found the step ready, or its customer's cap last kept it
        waiting, on the owner's clock, in seconds.
    cap_waited_s : float
        Seconds from when the step was first found ready to ``ready_since_s``.
    failed_runs : set of int
        Run numbers that were counted as failed. A run of a gang counts once, however
        many members fail.
    retry_at_s : float
        Earliest time of the next start, on the owner's clock, in seconds.
    unplaced_since_s : float or None
        Since when an open task has found no runner, on the owner's clock, in seconds.
    counts_as_done : bool
        Whether the occurrence counts the step as done.
    broken_run : int
        Run of a gang of which a member has ended last, so that the others are stopped;
        0: none.
    """

    __slots__ = (
        "broken_run",
        "cap_waited_s",
        "counts_as_done",
        "failed_runs",
        "job",
        "occurrence",
        "open_indexes",
        "ready_since_s",
        "retry_at_s",
        "spec",
        "step",
        "tasks",
        "unplaced_since_s",
    )

    def __init__(self, job: "Job", occurrence: int, step: int):
        self.job = job
        self.occurrence = occurrence
        self.step = step
        self.spec: StepSpec = job.spec.steps[step]
        self.tasks = TaskTable(self.spec.count)
        self.open_indexes = IndexSet([(0, self.spec.count)])
        self.ready_since_s: float | None = None
        self.cap_waited_s = 0.0
        self.failed_runs: set[int] = set()
        self.retry_at_s = 0.0
        self.unplaced_since_s: float | None = None
        self.counts_as_done = False
        self.broken_run = 0

    @property
    def first_ready_s(self) -> float | None:
        """When the planner first found the step ready, before any wait for a cap."""
        if self.ready_since_s is None:
            return None
        return self.ready_since_s - self.cap_waited_s

    @property
    def done(self) -> bool:
        """Whether every task is done."""
        return self.tasks.done_count == self.spec.count

    @property
    def is_away(self) -> bool:
        """Whether a long-running task that has been started before is open."""
        if not self.spec.lasting:
            return False
        for index, task in self.tasks.kept():
            if task.last_run and index in self.open_indexes:
                return True
        return False

    def is_absent(self, index: int) -> bool:
        """Return whether an open task is a long-running one that has run before."""
        return self.spec.lasting and self.tasks.view(index).last_run > 0

    @property
    def next_run(self) -> int:
        """Number of the next run of a gang."""
        return 1 + max((task.last_run for _, task in self.tasks.kept()), default=0)

    def task_id(self, index: int) -> TaskId:
        """Return the id of a task."""
        return TaskId(self.job.spec.id, self.occurrence, self.step, index)

    def attempts(self) -> Iterator[Attempt]:
        """Yield the attempts that have not ended."""
        for _, task in self.tasks.kept():
            yield from task.attempt_by_run.values()

    def placing_order(self) -> Iterator[int]:
        """Yield the open indexes, tasks that have run before first.

        Tasks may be placed meanwhile.
        """
        again = []
        for index, task in self.tasks.kept():
            if task.last_run and index in self.open_indexes:
                again.append(index)
        yield from sorted(again)
        for index in self.open_indexes:
            if not self.tasks.view(index).last_run:
                yield index


@dataclass(slots=True)
class _OpenOccurrence:
    """Counts of an open occurrence: steps that are not done, and attempts."""

    undone_steps: int
    attempts: int = 0


class Job:
    """A job, with the rules for what may start next and what an end changes.

    Parameters
    ----------
    spec : JobSpec
        The job as accepted.

    Attributes
    ----------
    state : JobState
        State of the job; a final state does not change.
    run_by_step : dict of (int, int) to StepRun
        Step runs by occurrence and step number, for open occurrences.
    closed_occurrences : IndexSet
        Occurrences of a scheduled job that are done and have no attempts; their state
        was dropped. All others that are due are open, or wait to be opened.
    finished_occurrences : set of int
        Open occurrences of a scheduled job that can be closed once their tasks are
        written.
    changed_rows : set of (int, int, int)
        Occurrence, step and row number of each row of tasks to be written.
    state_changed : bool
        Whether ``state`` has changed since it was last written.
    accepted_s : float
        Time of acceptance on the owner's clock, in seconds.
    critical_paths_s : list of float
        Estimated seconds of the longest chain that starts at each step.
    crash_blame : CrashBlame
        Which tasks may have crashed the runners that started them, and what the next
        owner has to know of lost runners to blame tasks for their crashes.
    """

    def __init__(self, spec: JobSpec):
        self.spec = spec
        self.state = JobState.PENDING
        self.run_by_step: dict[tuple[int, int], StepRun] = {}
        self.changed_rows: set[tuple[int, int, int]] = set()
        self.state_changed = False
        self.closed_occurrences = IndexSet()
        self.finished_occurrences: set[int] = set()
        self._open_by_occurrence: dict[int, _OpenOccurrence] = {}
        #: All occurrences before it are open or closed.
        self._next_occurrence = 0
        #: Number of attempts that have not ended.
        self.attempt_count = 0
        self.accepted_s = 0.0
        self.critical_paths_s = spec.critical_paths_s()
        self.crash_blame = CrashBlame()
        if not spec.scheduled:
            self.open_occurrence(0)

    @property
    def is_final(self) -> bool:
        """Whether the state of the job is final."""
        return self.state in FINAL_STATES

    @property
    def is_waiting(self) -> bool:
        """Whether no task has started yet."""
        return self.state is JobState.PENDING

    def open_occurrence(self, occurrence: int) -> None:
        """Create the step runs of an occurrence that is due."""
        if occurrence in self._open_by_occurrence:
            return
        steps = len(self.spec.steps)
        self._open_by_occurrence[occurrence] = _OpenOccurrence(steps)
        for step in range(steps):
            self.run_by_step[occurrence, step] = StepRun(self, occurrence, step)

    def open_due(self, wall_ms: float, max_idle_steps: int = MAX_IDLE_STEPS) -> None:
        """Open occurrences that are due, the earliest first.

        Those that are not opened for now are not forgotten; see `closed_occurrences`.

        Parameters
        ----------
        wall_ms : float
            Wall-clock time in milliseconds since 1970.
        max_idle_steps : int
            Number of steps that idle occurrences may have; one occurrence may be idle
            whatever its steps.
        """
        if not self.spec.scheduled or self.is_final:
            return
        allowed = None
        while (occurrence := self._find_unopened()) is not None:
            if self.spec.due_ms(occurrence) > wall_ms:
                return
            if allowed is None:
                allowed = max(1, max_idle_steps // len(self.spec.steps))
                allowed -= self._count_idle_occurrences()
            if allowed <= 0:
                return
            self.open_occurrence(occurrence)
            allowed -= 1

    def choose_closing(self) -> set[int]:
        """Return the finished occurrences that can be closed now.

        The others stay open until those between are done, so that the ranges of closed
        ones have room in a row.
        """
        closing = set()
        closed = None
        for occurrence in sorted(self.finished_occurrences):
            closed = closed or IndexSet(self.closed_occurrences.ranges)
            if closed.count_ranges_with(occurrence) <= MAX_CLOSED_RANGES:
                closed.add(occurrence)
                closing.add(occurrence)
        return closing

    def close(self, occurrences: Collection[int]) -> None:
        """Drop the state of finished occurrences."""
        if not occurrences:
            return
        for occurrence in occurrences:
            self.closed_occurrences.add(occurrence)
            del self._open_by_occurrence[occurrence]
            for step in range(len(self.spec.steps)):
                del self.run_by_step[occurrence, step]
        self.crash_blame.clear_occurrences(occurrences)
        self.finished_occurrences.difference_update(occurrences)
        self.state_changed = True

    def _find_unopened(self) -> int | None:
        """Return the first occurrence that is neither open nor closed, or None."""
        occurrence = self._next_occurrence
        while occurrence < self.spec.occurrences:
            gap = self.closed_occurrences.find_gap(occurrence)
            if gap == occurrence and occurrence not in self._open_by_occurrence:
                break
            occurrence = max(gap, occurrence + (gap == occurrence))
        self._next_occurrence = occurrence
        return occurrence if occurrence < self.spec.occurrences else None

    @property
    def idle_steps(self) -> int:
        """Number of steps in open occurrences that are not done and have no attempt."""
        return self._count_idle_occurrences() * len(self.spec.steps)

    def _count_idle_occurrences(self) -> int:
        count = 0
        for occurrence in self._open_by_occurrence.values():
            count += bool(occurrence.undone_steps and not occurrence.attempts)
        return count

    def next_due_ms(self) -> int | None:
        """Return when the next occurrence is due, in milliseconds since 1970.

        The result is None if the job is final, has no due times, or has opened all
        occurrences.
        """
        if not self.spec.scheduled or self.is_final:
            return None
        occurrence = self._find_unopened()
        return None if occurrence is None else self.spec.due_ms(occurrence)

    def ready_steps(self) -> Iterator[StepRun]:
        """Yield steps with open tasks whose preceding steps are all done."""
        if self.is_final:
            return
        for step_run in self.run_by_step.values():
            if not step_run.open_indexes:
                continue
            if all(
                self.run_by_step[step_run.occurrence, n].done
                for n in step_run.spec.after
            ):
                yield step_run

    def find(self, task: TaskId) -> Task | None:
        """Return a task's state, or None if the job has no such task."""
        if task.job != self.spec.id:
            return None
        step_run = self.run_by_step.get((task.occurrence, task.step))
        if step_run is None or not 0 <= task.index < len(step_run.tasks):
            return None
        return step_run.tasks.view(task.index)

    def attempts(self) -> Iterator[Attempt]:
        """Yield all attempts that have not ended."""
        for step_run in self.run_by_step.values():
            yield from step_run.attempts()

    def start(
        self, step: StepRun, index: int, runner: str, incarnation: int, now_s: float
    ) -> Attempt:
        """Add an attempt; the start may be ordered once the attempt is durable.

        Parameters
        ----------
        step : StepRun
            Step of the task.
        index : int
            Index of the task.
        runner : str
            Id of the runner.
        incarnation : int
            Incarnation of the runner.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        run_number = step.tasks.view(index).last_run + 1
        return self._add_attempt(step, index, run_number, runner, incarnation, now_s)

    def start_gang(
        self, step: StepRun, placements: list[tuple[str, int]], now_s: float
    ) -> list[Attempt]:
        """Add one attempt for each task of a gang, all with the same run number.

        Parameters
        ----------
        step : StepRun
            Step of the gang.
        placements : list of (str, int)
            Id and incarnation of the runner for each index.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        run_number = step.next_run
        attempts = []
        for index, (runner, incarnation) in enumerate(placements):
            attempts.append(
                self._add_attempt(step, index, run_number, runner, incarnation, now_s)
            )
        return attempts

    def adopt(
        self,
        step: StepRun,
        index: int,
        run_number: int,
        runner: str,
        incarnation: int,
        now_s: float,
    ) -> Attempt:
        """Add an attempt for a run that a late start order has begun; see `start`."""
        attempt = self._add_attempt(step, index, run_number, runner, incarnation, now_s)
        attempt.state = AttemptState.RUNNING
        return attempt

    def restore_attempt(
        self, step: StepRun, index: int, run_number: int, runner: str, incarnation: int
    ) -> Attempt:
        """Restore an attempt that was read from the store."""
        attempt = Attempt(step.task_id(index), run_number, runner, incarnation)
        step.tasks[index].attempt_by_run[run_number] = attempt
        self._count_attempt(step, 1)
        return attempt

    def restore_step(self, step: StepRun) -> None:
        """Record that tasks of a step were read from the store."""
        if step.done:
            self._count_done_step(step)

    def end(
        self, task_id: TaskId, run_number: int, outcome: Outcome, checkpoint: str
    ) -> bool:
        """Record the end of an attempt.

        An end of an unknown attempt counts only if its outcome is done.

        Parameters
        ----------
        task_id : TaskId
            Id of the task.
        run_number : int
            Run number of the attempt.
        outcome : Outcome
            How the attempt ended.
        checkpoint : str
            Checkpoint that the attempt left; empty if there is none.

        Returns
        -------
        bool
            Whether the attempt was known or any state of the task changed.
        """
        step = self.run_by_step.get((task_id.occurrence, task_id.step))
        task = self.find(task_id)
        if step is None or task is None:
            return False
        known = self._remove_attempt(step, task_id.index, run_number)
        if task.done or (not known and outcome is not Outcome.DONE):
            return known and self._mark_changed(step, task_id.index)
        task = step.tasks[task_id.index]
        if outcome in (Outcome.DONE, Outcome.FAILED):
            self._begin()
        if checkpoint:
            self._set_checkpoint(step, task, checkpoint)
        if step.spec.lasting:
            self._reopen(step, task_id.index)
        elif outcome is Outcome.DONE:
            self._mark_done(step, task_id.index)
        elif outcome is Outcome.FAILED:
            self._record_failure(step, task_id.index, run_number)
        else:
            self._reopen(step, task_id.index)
        return self._mark_changed(step, task_id.index)

    def record_start(self, attempt: Attempt) -> None:
        """Record that a runner has confirmed the start of an attempt."""
        if attempt.state is AttemptState.ORDERED:
            attempt.state = AttemptState.RUNNING
        self._begin()

    def blame_task(self, task_id: TaskId, blame: int) -> bool:
        """Blame a task for the crash of a runner; return whether it is given up.

        A job with a task that is given up has failed: each further start would take
        another runner down, with all that runs there.
        """
        task = self.find(task_id)
        if task is None or task.done or self.is_final:
            return False
        self.state_changed = True
        if self.crash_blame.add(task_id, blame) < MAX_BLAME:
            return False
        self._set_state(JobState.FAILED)
        return True

    def suspect(self, task_id: TaskId, run: int, suspicion: Suspicion) -> None:
        """Record that a run of a task may have crashed a runner."""
        task = self.find(task_id)
        if task is None or task.done or self.is_final:
            return
        self.crash_blame.suspect(task_id, run, suspicion)
        self.state_changed = True

    def may_be_given_up(self, task_id: TaskId) -> bool:
        """Return whether a task is given up if all its suspicions prove true."""
        return self.crash_blame.find_total(task_id) >= MAX_BLAME

    def end_suspicion(self, task_id: TaskId, run: int) -> bool:
        """End the suspicion of a run, by a crash or none; return whether it had one."""
        if not self.crash_blame.end_suspicion(task_id, run):
            return False
        self.state_changed = True
        return True

    def clear_blame(self, task_id: TaskId) -> None:
        """Record that a runner was up for some time after it had started a task.

        That also speaks against suspicions of other runs of it.
        """
        if self.crash_blame.clear(task_id):
            self.state_changed = True

    def discard_attempt(self, attempt: Attempt) -> None:
        """Discard an attempt that did not start and cannot start any more."""
        step = self.run_by_step[attempt.task.occurrence, attempt.task.step]
        if not self._remove_attempt(step, attempt.task.index, attempt.run):
            return
        self._reopen(step, attempt.task.index)
        self._mark_changed(step, attempt.task.index)

    def restore_closed(self, ranges: Iterable[tuple[int, int]]) -> None:
        """Restore the closed occurrences that were read from the store."""
        self.closed_occurrences = IndexSet(ranges)

    def restore_state(
        self,
        state: JobState,
        blame_by_task: Mapping[TaskId, int],
        suspicion_by_run: Mapping[tuple[TaskId, int], Suspicion],
    ) -> None:
        """Restore the state, blame and suspicions that were read from the store."""
        if state in FINAL_STATES or self.state is JobState.PENDING:
            self.state = state
        for task_id, blame in blame_by_task.items():
            if self.find(task_id) is not None:
                self.crash_blame.set(task_id, blame)
        for (task_id, run), suspicion in suspicion_by_run.items():
            task = self.find(task_id)
            if task is not None and not task.done:
                self.crash_blame.suspect(task_id, run, suspicion)

    def cancel(self) -> bool:
        """Cancel the job; return whether its state changed."""
        if self.is_final:
            return False
        self._set_state(JobState.CANCELLED)
        return True

    def update_state(self) -> None:
        """Set the state to done once all tasks of all occurrences are done."""
        if self.is_final:
            return
        done_count = len(self.closed_occurrences)
        for occurrence in self._open_by_occurrence.values():
            done_count += not occurrence.undone_steps
        if done_count == self.spec.occurrences:
            self._set_state(JobState.DONE)

    def record_checkpoint(self, attempt: Attempt, checkpoint: str) -> None:
        """Record a checkpoint that a runner reported for a running attempt."""
        step = self.run_by_step[attempt.task.occurrence, attempt.task.step]
        task = step.tasks.view(attempt.task.index)
        if not checkpoint or checkpoint == task.checkpoint:
            return
        if not task.done and task.attempt_by_run:
            self._set_checkpoint(step, task, checkpoint)

    def record_stall(self, task_id: TaskId) -> None:
        """Record that an attempt at a task is stopped as it makes no progress."""
        step = self.run_by_step.get((task_id.occurrence, task_id.step))
        if step is not None and not step.tasks.view(task_id.index).done:
            step.tasks[task_id.index].stalls += 1

    def find_surplus_attempts(self) -> Iterator[Attempt]:
        """Yield attempts that should be stopped and are not stopping yet.

        These are attempts of ended jobs and done tasks, and members of gangs of which
        another member has no attempt. Attempts may end meanwhile.
        """
        for step in list(self.run_by_step.values()):
            surplus_step = self.is_final or self._is_gang_incomplete(step)
            for _, task in list(step.tasks.kept()):
                if not surplus_step and not task.done:
                    continue
                for attempt in list(task.attempt_by_run.values()):
                    if attempt.state is not AttemptState.STOPPING:
                        yield attempt

    def find_surplus_after(self, task_id: TaskId, run: int) -> list[Attempt]:
        """Return the attempts to be stopped after the end of one in a job that goes on.

        These are other attempts at a task that is done, and the other members of a
        gang, whose run has ended for all.

        Parameters
        ----------
        task_id : TaskId
            Task of the attempt that has ended.
        run : int
            Its run number.
        """
        step = self.run_by_step.get((task_id.occurrence, task_id.step))
        if step is None:
            return []
        if step.spec.gang:
            if step.broken_run == run:
                return []
            step.broken_run = run
            attempts = step.attempts()
        else:
            task = step.tasks.view(task_id.index)
            attempts = task.attempt_by_run.values() if task.done else ()
        return [a for a in attempts if a.state is not AttemptState.STOPPING]

    def _is_gang_incomplete(self, step: StepRun) -> bool:
        """Return whether a step is a gang of which a member has no attempt."""
        if not step.spec.gang:
            return False
        present = sum(bool(task.attempt_by_run) for _, task in step.tasks.kept())
        return present < step.spec.count

    def _add_attempt(
        self, step, index, run_number, runner, incarnation, now_s
    ) -> Attempt:
        task = step.tasks[index]
        attempt = Attempt(
            step.task_id(index), run_number, runner, incarnation, created_s=now_s
        )
        attempt.last_progress_s = now_s
        task.last_run = max(task.last_run, run_number)
        task.attempt_by_run[run_number] = attempt
        self._count_attempt(step, 1)
        step.open_indexes.discard(index)
        self._mark_changed(step, index)
        return attempt

    def _set_checkpoint(self, step: StepRun, task: Task, checkpoint: str) -> None:
        if not step.spec.gang:
            task.checkpoint = checkpoint
            return
        for member in step.tasks:
            member.checkpoint = checkpoint

    def _mark_done(self, step: StepRun, index: int) -> None:
        members = range(len(step.tasks)) if step.spec.gang else (index,)
        for member in members:
            step.tasks.mark_done(member)
            step.open_indexes.discard(member)
            self._mark_changed(step, member)
        if step.done:
            self._count_done_step(step)
            self.update_state()

    def _remove_attempt(self, step: StepRun, index: int, run_number: int) -> bool:
        """Remove an attempt of a task; return whether it was known."""
        if run_number not in step.tasks.view(index).attempt_by_run:
            return False
        del step.tasks[index].attempt_by_run[run_number]
        step.tasks.settle(index)
        self._count_attempt(step, -1)
        self._note_if_finished(step.occurrence)
        return True

    def _count_attempt(self, step: StepRun, change: int) -> None:
        self.attempt_count += change
        self._open_by_occurrence[step.occurrence].attempts += change

    def _count_done_step(self, step: StepRun) -> None:
        if step.counts_as_done:
            return
        step.counts_as_done = True
        self._open_by_occurrence[step.occurrence].undone_steps -= 1
        self._note_if_finished(step.occurrence)

    def _note_if_finished(self, occurrence: int) -> None:
        counts = self._open_by_occurrence[occurrence]
        if self.spec.scheduled and not counts.undone_steps and not counts.attempts:
            self.finished_occurrences.add(occurrence)

    def _record_failure(self, step: StepRun, index: int, run_number: int) -> None:
        members = range(len(step.tasks)) if step.spec.gang else (index,)
        if step.spec.gang and run_number in step.failed_runs:
            self._reopen(step, index)
            return
        step.failed_runs.add(run_number)
        for member in members:
            step.tasks[member].failures += 1
            self._mark_changed(step, member)
        if step.tasks[index].failures >= self.spec.policy.max_attempts:
            if not self.is_final:
                self._set_state(JobState.FAILED)
            return
        self._reopen(step, index)

    def _reopen(self, step: StepRun, index: int) -> None:
        task = step.tasks.view(index)
        if not task.done and not task.attempt_by_run:
            step.open_indexes.add(index)

    def _begin(self) -> None:
        if self.state is JobState.PENDING:
            self._set_state(JobState.RUNNING)

    def _set_state(self, state: JobState) -> None:
        self.state = state
        self.state_changed = True

    def _mark_changed(self, step: StepRun, index: int) -> bool:
        self.changed_rows.add((step.occurrence, step.step, index // TASKS_PER_ROW))
        return True
