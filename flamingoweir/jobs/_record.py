"""Encoding of jobs for the store."""

from dataclasses import dataclass, field

import orjson
import pydantic

from ._attempt import Attempt, TaskId
from ._job import TASKS_PER_ROW, Job, JobState, StepRun, Suspicion
from ._spec import JobSpec, find_invalid_dependency
from ._task_table import Task

#: Latest run, whether done, failures, checkpoint and attempts of a task; an attempt has
#: its run, runner and incarnation.
_TaskRecord = tuple[int, bool, int, str, list[tuple[int, str, int]]]
#: Occurrence, step, index, run and blame of a task that may have crashed a runner.
_SuspectRecord = tuple[int, int, int, int, int]
#: Id, machine and incarnation of a lost runner, until when its crash counts in
#: milliseconds since 1970, and the tasks that may have crashed it.
_LostRecord = tuple[str, str, int, int, list[_SuspectRecord]]
#: Largest numbers of lost runners and of suspected runs in a state row, the latest
#: first. The texts of a runner have at most 200 bytes each, so that this is 30 KB.
MAX_LOST_RUNNERS = 50
MAX_SUSPECTED_RUNS = 200
_SPEC = pydantic.TypeAdapter(JobSpec)
_TASKS = pydantic.TypeAdapter(list[_TaskRecord])


def encode_spec(spec: JobSpec) -> bytes:
    """Return the stored form of an accepted job."""
    return orjson.dumps(spec)


def decode_spec(data: bytes) -> JobSpec:
    """Return the job that `encode_spec` encoded.

    Raises
    ------
    ValueError
        If the data is malformed or no job that can run.
    """
    spec = _SPEC.validate_json(data, strict=True)
    if spec.occurrences < 1 or spec.interval_ms < 0:
        raise ValueError("the occurrences of the job have no due times")
    for number, step in enumerate(spec.steps):
        if step.count < 1:
            raise ValueError(f"step {number} has no tasks")
    invalid_step = find_invalid_dependency(spec.steps)
    if invalid_step is not None:
        raise ValueError(f"step {invalid_step} depends on a step that is not earlier")
    return spec


def decode_customer(data: bytes) -> str:
    """Return the name of the customer of a job that `encode_spec` encoded.

    Raises
    ------
    ValueError
        If the data is malformed.
    """
    return _CUSTOMER.validate_json(data, strict=True).customer


@dataclass(frozen=True, slots=True)
class StateRecord:
    """Durable state of a job.

    Attributes
    ----------
    state : JobState
        State of the job.
    ended_ms : int
        Time of the end in milliseconds since 1970; 0 before the end.
    blame_by_task : dict of TaskId to int
        See `Job`.
    set_aside : bool
        Whether nothing of the job may run any more, as an error has left an owner in
        doubt of what was done.
    suspicion_by_run : dict of (TaskId, int) to Suspicion
        See `Job`.
    closed_occurrences : list of (int, int)
        Ranges of the occurrences that are done; see `Job` and `IndexSet`. A due one in
        none of them is open, whether or not its tasks have a row.
    customer : str or None
        Name of the job's customer, empty if it has none; None if it is not known here.
    """

    state: JobState
    ended_ms: int = 0
    blame_by_task: dict[TaskId, int] = field(default_factory=dict)
    set_aside: bool = False
    closed_occurrences: list[tuple[int, int]] = field(default_factory=list)
    suspicion_by_run: dict[tuple[TaskId, int], Suspicion] = field(default_factory=dict)
    customer: str | None = None


@dataclass(frozen=True, slots=True)
class _StoredState:
    """Stored form of a `StateRecord`; tasks are in their text form."""

    state: JobState
    ended_ms: int
    blame: dict[str, int] = field(default_factory=dict)
    set_aside: bool = False
    closed: list[tuple[int, int]] = field(default_factory=list)
    lost: list[_LostRecord] = field(default_factory=list)
    customer: str | None = None


@dataclass(frozen=True, slots=True)
class _StoredCustomer:
    """The part of a stored `JobSpec` that names the customer."""

    customer: str = ""


_CUSTOMER = pydantic.TypeAdapter(_StoredCustomer)
_STATE = pydantic.TypeAdapter(_StoredState)


def encode_state(record: StateRecord) -> bytes:
    """Return the stored form of the state of a job."""
    # Builds that don't know a field ignore it.
    fields = {"state": record.state, "ended_ms": record.ended_ms}
    if record.set_aside:
        fields["set_aside"] = True
    if record.closed_occurrences:
        fields["closed"] = record.closed_occurrences
    if record.blame_by_task:
        fields["blame"] = {str(t): b for t, b in record.blame_by_task.items()}
    if record.suspicion_by_run:
        fields["lost"] = _encode_suspicions(record.suspicion_by_run)
    if record.customer is not None:
        fields["customer"] = record.customer
    return orjson.dumps(fields)


def decode_state(job: str, data: bytes) -> StateRecord:
    """Return the state of a job that `encode_state` encoded.

    Raises
    ------
    ValueError
        If the data is malformed.
    """
    stored = _STATE.validate_json(data, strict=True)
    blame_by_task = {TaskId.parse(task): blame for task, blame in stored.blame.items()}
    suspicion_by_run = {}
    for runner, machine, incarnation, until_ms, suspects in stored.lost:
        for occurrence, step, index, run, blame in suspects:
            suspicion_by_run[TaskId(job, occurrence, step, index), run] = Suspicion(
                runner, machine, incarnation, blame, until_ms / 1000
            )
    return StateRecord(
        stored.state,
        stored.ended_ms,
        blame_by_task,
        stored.set_aside,
        stored.closed,
        suspicion_by_run,
        stored.customer,
    )


def _encode_suspicions(
    suspicion_by_run: dict[tuple[TaskId, int], Suspicion],
) -> list[_LostRecord]:
    """Return the stored form of suspicions, by runner; the latest if there are many."""
    latest = sorted(
        suspicion_by_run.items(), key=lambda item: item[1].until_s, reverse=True
    )
    suspects_by_runner: dict[tuple, list[_SuspectRecord]] = {}
    for (task, run), suspicion in latest[:MAX_SUSPECTED_RUNS]:
        until_ms = round(1000 * suspicion.until_s)
        runner = suspicion.runner, suspicion.machine, suspicion.incarnation, until_ms
        suspects = suspects_by_runner.setdefault(runner, [])
        suspects.append((task.occurrence, task.step, task.index, run, suspicion.blame))
    records = []
    for runner, suspects in list(suspects_by_runner.items())[:MAX_LOST_RUNNERS]:
        records.append((*runner, suspects))
    return records


def row_key(job: str, row: tuple[int, int, int]) -> str:
    """Return the key of a row of tasks.

    Parameters
    ----------
    job : str
        Id of the job.
    row : tuple of (int, int, int)
        Numbers of the occurrence, the step and the row, from 0.
    """
    occurrence, step, row_number = row
    return f"{job}.{occurrence}.{step}.{row_number}"


def encode_tasks(job: Job, row: tuple[int, int, int]) -> bytes:
    """Return the stored form of the tasks in a row."""
    occurrence, step, row_number = row
    step_run = job.run_by_step[occurrence, step]
    first = row_number * TASKS_PER_ROW
    records = []
    for index in range(first, min(first + TASKS_PER_ROW, len(step_run.tasks))):
        task = step_run.tasks.view(index)
        attempts = [
            [a.run, a.runner, a.incarnation] for a in task.attempt_by_run.values()
        ]
        records.append(
            [task.last_run, task.done, task.failures, task.checkpoint, attempts]
        )
    return orjson.dumps(records)


def restore_tasks(job: Job, row: tuple[int, int, int], data: bytes) -> None:
    """Restore the tasks that `encode_tasks` encoded.

    Raises
    ------
    ValueError
        If the data is malformed or the job has no such tasks.
    """
    occurrence, step, row_number = row
    records = _TASKS.validate_json(data, strict=True)
    first = row_number * TASKS_PER_ROW
    spec = job.spec
    if not 0 <= occurrence < spec.occurrences or not 0 <= step < len(spec.steps):
        raise ValueError(f"the job has no step {step} in occurrence {occurrence}")
    if first < 0 or first + len(records) > spec.steps[step].count:
        raise ValueError(f"the step has no {len(records)} tasks from index {first}")
    job.open_occurrence(occurrence)
    step_run = job.run_by_step[occurrence, step]
    for offset, record in enumerate(records):
        _restore_task(job, step_run, first + offset, record)
    job.restore_step(step_run)


def decode_attempts(
    job_id: str, row: tuple[int, int, int], data: bytes
) -> list[Attempt]:
    """Return the attempts in a row of tasks, without restoring the tasks.

    Raises
    ------
    ValueError
        If the data is malformed.
    """
    occurrence, step, row_number = row
    attempts = []
    for offset, record in enumerate(_TASKS.validate_json(data, strict=True)):
        task = TaskId(job_id, occurrence, step, row_number * TASKS_PER_ROW + offset)
        for run_number, runner, incarnation in record[-1]:
            attempts.append(Attempt(task, run_number, runner, incarnation))
    return attempts


def _restore_task(job: Job, step_run: StepRun, index: int, record: _TaskRecord) -> None:
    last_run, done, failures, checkpoint, attempts = record
    if done:
        step_run.open_indexes.discard(index)
    task = Task(last_run, failures, checkpoint, done)
    step_run.tasks.restore(index, task)
    for run_number, runner, incarnation in attempts:
        job.restore_attempt(step_run, index, run_number, runner, incarnation)
        step_run.open_indexes.discard(index)
    if (done or failures or checkpoint) and job.state is JobState.PENDING:
        job.state = JobState.RUNNING
    exhausted = failures >= job.spec.policy.max_attempts and not step_run.spec.lasting
    if exhausted and not done and not job.is_final:
        job.state = JobState.FAILED
        job.state_changed = True
