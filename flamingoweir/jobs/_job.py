"""State of a job, its steps and its tasks, and the transitions between states."""

import enum
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from ._attempt import Attempt, AttemptState, Outcome, TaskId
from ._index_set import IndexSet
from ._spec import JobSpec, StepSpec

#: Largest number of tasks of a scheduled job in occurrences that are open and not done.
#: Further occurrences are opened as these end.
MAX_OPEN_TASKS = 100_000
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


#: Blame for crashed runners from which a task is given up. A crash adds at most half of
#: it, so that two runners at least have crashed.
MAX_BLAME = 4

FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})


@dataclass(slots=True)
class Task:
    """State of a task; all of it but `failed_runners` is durable.

    Attributes
    ----------
    last_run : int
        Run number of the latest attempt; 0 if the task was never started.
    failures : int
        Number of attempts that ended as failed.
    checkpoint : str
        Latest checkpoint; empty if there is none.
    done : bool
        Whether an attempt of the task, or of any member of a gang, ended as done.
    attempt_by_run : dict of int to Attempt
        Attempts that have not ended, by run number.
    failed_runners : set of str
        Ids of runners on which the task failed; not durable.
    """

    last_run: int = 0
    failures: int = 0
    checkpoint: str = ""
    done: bool = False
    attempt_by_run: dict[int, Attempt] = field(default_factory=dict)
    failed_runners: set[str] = field(default_factory=set)


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
    tasks : list of Task
        The tasks, by index.
    open_indexes : set of int
        Indexes of tasks that are not done and have no attempt.
    ready_since_s : float or None
        When the planner first found the step ready, on the owner's clock, in seconds.
    failed_runs : set of int
        Run numbers that were counted as failed. A run of a gang counts once, however
        many members fail.
    retry_at_s : float
        Earliest time of the next start, on the owner's clock, in seconds.
    unplaced_since_s : float or None
        Since when an open task has found no runner, on the owner's clock, in seconds.
    counts_as_done : bool
        Whether the occurrence counts the step as done.
    """

    def __init__(self, job: "Job", occurrence: int, step: int):
        self.job = job
        self.occurrence = occurrence
        self.step = step
        self.spec: StepSpec = job.spec.steps[step]
        self.tasks = [Task() for _ in range(self.spec.count)]
        self.open_indexes = set(range(self.spec.count))
        self.ready_since_s: float | None = None
        self.failed_runs: set[int] = set()
        self.retry_at_s = 0.0
        self.unplaced_since_s: float | None = None
        self.counts_as_done = False

    @property
    def done(self) -> bool:
        """Whether every task is done."""
        return not self.open_indexes and all(task.done for task in self.tasks)

    @property
    def is_away(self) -> bool:
        """Whether a long-running task that has been started before is open."""
        if not self.spec.lasting:
            return False
        return any(self.tasks[index].last_run for index in self.open_indexes)

    @property
    def next_run(self) -> int:
        """Number of the next run of a gang."""
        return 1 + max(task.last_run for task in self.tasks)

    def task_id(self, index: int) -> TaskId:
        """Return the id of a task."""
        return TaskId(self.job.spec.id, self.occurrence, self.step, index)

    def attempts(self) -> Iterator[Attempt]:
        """Yield the attempts that have not ended."""
        for task in self.tasks:
            yield from task.attempt_by_run.values()


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
    blame_by_task : dict of TaskId to int
        How much tasks are suspected of crashing the runners that start them; tasks that
        are not suspected are missing.
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
        self.accepted_s = 0.0
        self.critical_paths_s = spec.critical_paths_s()
        self.blame_by_task: dict[TaskId, int] = {}
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

    def open_due(self, wall_ms: float) -> None:
        """Open the occurrences due at ``wall_ms``, in milliseconds since 1970."""
        if not self.spec.scheduled or self.is_final:
            return
        new_tasks = sum(step.count for step in self.spec.steps)
        open_tasks = None
        while (occurrence := self._find_unopened()) is not None:
            if self.spec.due_ms(occurrence) > wall_ms:
                return
            if open_tasks is None:
                open_tasks = self._count_open_tasks()
            if open_tasks and open_tasks + new_tasks > MAX_OPEN_TASKS:
                return
            self.open_occurrence(occurrence)
            open_tasks += new_tasks

    def close_finished(self) -> bool:
        """Drop the state of finished occurrences; return whether there were any."""
        if not self.finished_occurrences:
            return False
        for occurrence in self.finished_occurrences:
            self.closed_occurrences.add(occurrence)
            del self._open_by_occurrence[occurrence]
            for step in range(len(self.spec.steps)):
                del self.run_by_step[occurrence, step]
        for task_id in list(self.blame_by_task):
            if task_id.occurrence in self.finished_occurrences:
                del self.blame_by_task[task_id]
        self.finished_occurrences.clear()
        self.state_changed = True
        return True

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

    def _count_open_tasks(self) -> int:
        count = 0
        for step_run in self.run_by_step.values():
            if not step_run.done:
                count += len(step_run.tasks)
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
        return step_run.tasks[task.index]

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
        run_number = step.tasks[index].last_run + 1
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

    def restore_attempt(
        self, step: StepRun, index: int, run_number: int, runner: str, incarnation: int
    ) -> Attempt:
        """Restore an attempt that was read from the store."""
        attempt = Attempt(step.task_id(index), run_number, runner, incarnation)
        step.tasks[index].attempt_by_run[run_number] = attempt
        self._open_by_occurrence[step.occurrence].attempts += 1
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
        known = self._remove_attempt(step, task, run_number)
        if task.done or (not known and outcome is not Outcome.DONE):
            return known and self._mark_changed(step, task_id.index)
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
        self.blame_by_task[task_id] = self.blame_by_task.get(task_id, 0) + blame
        self.state_changed = True
        if self.blame_by_task[task_id] < MAX_BLAME:
            return False
        self._set_state(JobState.FAILED)
        return True

    def clear_blame(self, task_id: TaskId) -> None:
        """Record that a runner was up for some time after it had started a task."""
        if self.blame_by_task.pop(task_id, None) is not None:
            self.state_changed = True

    def discard_attempt(self, attempt: Attempt) -> None:
        """Discard an attempt that did not start and cannot start any more."""
        step = self.run_by_step[attempt.task.occurrence, attempt.task.step]
        task = step.tasks[attempt.task.index]
        if not self._remove_attempt(step, task, attempt.run):
            return
        self._reopen(step, attempt.task.index)
        self._mark_changed(step, attempt.task.index)

    def restore_closed(self, ranges: Iterable[tuple[int, int]]) -> None:
        """Restore the closed occurrences that were read from the store."""
        self.closed_occurrences = IndexSet(ranges)

    def restore_state(
        self, state: JobState, blame_by_task: Mapping[TaskId, int]
    ) -> None:
        """Restore the state and the blame that were read from the store."""
        if state in FINAL_STATES or self.state is JobState.PENDING:
            self.state = state
        for task_id, blame in blame_by_task.items():
            if self.find(task_id) is not None:
                self.blame_by_task[task_id] = blame

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
        task = step.tasks[attempt.task.index]
        if checkpoint and not task.done:
            self._set_checkpoint(step, task, checkpoint)

    def find_surplus_attempts(self) -> list[Attempt]:
        """Return attempts that should be stopped and are not stopping yet.

        These are attempts of ended jobs and done tasks, and members of gangs of which
        another member has no attempt.
        """
        found = []
        for step in self.run_by_step.values():
            for index, task in enumerate(step.tasks):
                for attempt in task.attempt_by_run.values():
                    if attempt.state is AttemptState.STOPPING:
                        continue
                    if (
                        self.is_final
                        or task.done
                        or self._is_gang_incomplete(step, index)
                    ):
                        found.append(attempt)
        return found

    def _is_gang_incomplete(self, step: StepRun, index: int) -> bool:
        """Return whether a task is not done and a member of its gang has no attempt."""
        if not step.spec.gang or step.tasks[index].done:
            return False
        return any(not task.attempt_by_run for task in step.tasks)

    def _add_attempt(
        self, step, index, run_number, runner, incarnation, now_s
    ) -> Attempt:
        task = step.tasks[index]
        attempt = Attempt(
            step.task_id(index), run_number, runner, incarnation, created_s=now_s
        )
        attempt.last_progress_s = now_s
        task.last_run = run_number
        task.attempt_by_run[run_number] = attempt
        self._open_by_occurrence[step.occurrence].attempts += 1
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
            step.tasks[member].done = True
            step.open_indexes.discard(member)
            self._mark_changed(step, member)
        if step.done:
            self._count_done_step(step)
            self.update_state()

    def _remove_attempt(self, step: StepRun, task: Task, run_number: int) -> bool:
        """Remove an attempt of a task; return whether it was known."""
        if task.attempt_by_run.pop(run_number, None) is None:
            return False
        self._open_by_occurrence[step.occurrence].attempts -= 1
        self._note_if_finished(step.occurrence)
        return True

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
        task = step.tasks[index]
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
