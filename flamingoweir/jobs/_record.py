"""How jobs are written to the store."""

import orjson

from ..resources import Resources
from ._job import TASKS_PER_ROW, Job, JobState, StepRun, Task
from ._spec import JobSpec, QueuePolicy, StepSpec


def encode_spec(spec: JobSpec) -> bytes:
    """Write an accepted job."""
    return orjson.dumps(spec)


def decode_spec(data: bytes) -> JobSpec:
    """Read what `encode_spec` wrote; raises ValueError, KeyError or TypeError."""
    fields = orjson.loads(data)
    steps = []
    for step in fields["steps"]:
        step.pop("reserved", None)
        step["demand"] = Resources(**step["demand"])
        step["after"] = tuple(step["after"])
        steps.append(StepSpec(**step))
    fields["steps"] = tuple(steps)
    fields["policy"] = QueuePolicy(**fields["policy"])
    return JobSpec(**fields)


def encode_state(state: JobState, ended_ms: int) -> bytes:
    """Write a job's state; ``ended_ms`` is 0 while it is not final."""
    return orjson.dumps({"state": state, "ended_ms": ended_ms})


def decode_state(data: bytes) -> tuple[JobState, int]:
    """Read what `encode_state` wrote; raises ValueError or KeyError."""
    fields = orjson.loads(data)
    return JobState(fields["state"]), fields["ended_ms"]


def row_key(job: str, row: tuple[int, int, int]) -> str:
    """Return the key of a row of tasks."""
    occurrence, step, row_number = row
    return f"{job}.{occurrence}.{step}.{row_number}"


def encode_tasks(job: Job, row: tuple[int, int, int]) -> bytes:
    """Write the durable state of the tasks in a row."""
    occurrence, step, row_number = row
    step_run = job.run_by_step[occurrence, step]
    first = row_number * TASKS_PER_ROW
    records = []
    for task in step_run.tasks[first : first + TASKS_PER_ROW]:
        attempts = [
            [a.run, a.runner, a.incarnation] for a in task.attempt_by_run.values()
        ]
        records.append(
            [task.last_run, task.done, task.failures, task.checkpoint, attempts]
        )
    return orjson.dumps(records)


def restore_tasks(job: Job, row: tuple[int, int, int], data: bytes) -> None:
    """Put back what `encode_tasks` wrote; raises ValueError or KeyError."""
    occurrence, step, row_number = row
    job.open_occurrence(occurrence)
    step_run = job.run_by_step[occurrence, step]
    for offset, record in enumerate(orjson.loads(data)):
        _restore_task(job, step_run, row_number * TASKS_PER_ROW + offset, record)


def _restore_task(job: Job, step_run: StepRun, index: int, record: list) -> None:
    last_run, done, failures, checkpoint, attempts = record
    step_run.tasks[index] = Task(last_run, failures, checkpoint, done)
    if done:
        step_run.open_indexes.discard(index)
    for run_number, runner, incarnation in attempts:
        job.restore_attempt(step_run, index, run_number, runner, incarnation)
        step_run.open_indexes.discard(index)
    if last_run and job.state is JobState.PENDING:
        job.state = JobState.RUNNING
    exhausted = failures >= job.spec.policy.max_attempts and not step_run.spec.lasting
    if exhausted and not done and not job.is_final:
        job.state = JobState.FAILED
        job.state_changed = True
