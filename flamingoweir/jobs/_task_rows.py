"""Encoding of the tasks of jobs for the store, in rows of many tasks each."""

import orjson
import pydantic

from ..logs import get_logger
from ..storage import DEFAULT_MAX_ROW_BYTES
from ._attempt import Attempt, TaskId
from ._compression import compress, decompress
from ._job import TASKS_PER_ROW, Job, JobState, StepRun
from ._task_table import Task

log = get_logger()

#: Latest run, whether done, failures, checkpoint and attempts of a task; an attempt has
#: its run, runner and incarnation.
_TaskRecord = tuple[int, bool, int, str, list[tuple[int, str, int]]]
CHECKPOINT_FIELD = 3
#: Number of checkpoints that are left out of a row at once if it is too long.
LEFT_OUT_PORTION = 25
_TASKS = pydantic.TypeAdapter(list[_TaskRecord])


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


def encode_tasks(
    job: Job, row: tuple[int, int, int], max_bytes: int = DEFAULT_MAX_ROW_BYTES
) -> bytes:
    """Return the stored form of the tasks in a row.

    Parameters
    ----------
    job : Job
        The job.
    row : tuple of (int, int, int)
        Numbers of the occurrence, the step and the row, from 0.
    max_bytes : int
        Largest size of the row. Where it takes more, the row is compressed, which
        former builds can't read; then it lacks the longest checkpoints, so that the
        next owner starts those tasks over.
    """
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
    data = orjson.dumps(records)
    if len(data) <= max_bytes:
        return data
    data = compress(data)
    if len(data) > max_bytes:
        data = _compress_without_checkpoints(records, max_bytes, step_run.spec.gang)
    return data


def _compress_without_checkpoints(
    records: list[list], max_bytes: int, gang: bool
) -> bytes:
    """Return a compressed row that lacks as few of the longest checkpoints as it can.

    The members of a gang go on from the same one, or from none.
    """
    longest = sorted(records, key=_find_checkpoint_length, reverse=True)
    portion = len(longest) if gang else LEFT_OUT_PORTION
    data = b""
    for first in range(0, len(longest), portion):
        for record in longest[first : first + portion]:
            record[CHECKPOINT_FIELD] = ""
        data = compress(orjson.dumps(records))
        if len(data) <= max_bytes:
            break
    log.warning("checkpoints_left_out", count=first + portion, bytes=len(data))
    return data


def _find_checkpoint_length(record: list) -> int:
    return len(record[CHECKPOINT_FIELD])


def _decode_rows(data: bytes) -> list[_TaskRecord]:
    """Return the records of a row of tasks.

    Raises
    ------
    ValueError
        If the data is malformed.
    """
    return _TASKS.validate_json(decompress(data), strict=True)


def restore_tasks(job: Job, row: tuple[int, int, int], data: bytes) -> None:
    """Restore the tasks that `encode_tasks` encoded.

    Raises
    ------
    ValueError
        If the data is malformed or the job has no such tasks.
    """
    occurrence, step, row_number = row
    records = _decode_rows(data)
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
    for offset, record in enumerate(_decode_rows(data)):
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
