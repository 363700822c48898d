"""Encoding of jobs for the store."""

import dataclasses
from collections.abc import Mapping
from dataclasses import dataclass, field

import orjson
import pydantic

from ..storage import DEFAULT_MAX_ROW_BYTES
from ._attempt import TaskId
from ._blame import Suspicion
from ._compression import compress, decompress
from ._job import JobState
from ._spec import JobSpec, find_invalid_dependency

#: Occurrence, step, index, run and blame of a task that may have crashed a runner.
_SuspectRecord = tuple[int, int, int, int, int]
#: Id, machine and incarnation of a lost runner, until when its crash counts in
#: milliseconds since 1970, and the tasks that may have crashed it.
_LostRecord = tuple[str, str, int, int, list[_SuspectRecord]]
#: Fractions of a row for suspicions, the latest first, and for blame. What is left is
#: for the rest, above all closed occurrences, which can't be left out.
SUSPICIONS_SHARE = 0.25
BLAME_SHARE = 0.25
_SPEC = pydantic.TypeAdapter(JobSpec)


def encode_spec(spec: JobSpec, max_bytes: int = DEFAULT_MAX_ROW_BYTES) -> bytes:
    """Return the stored form of an accepted job.

    Parameters
    ----------
    spec : JobSpec
        The job.
    max_bytes : int
        Largest size of the row. A longer one is compressed, and may still be longer.
    """
    data = orjson.dumps(spec)
    return data if len(data) <= max_bytes else compress(data)


def decode_spec(data: bytes) -> JobSpec:
    """Return the job that `encode_spec` encoded.

    Raises
    ------
    ValueError
        If the data is malformed or no job that can run.
    """
    spec = _SPEC.validate_json(decompress(data), strict=True)
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
    return _CUSTOMER.validate_json(decompress(data), strict=True).customer


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


def fit_state(
    record: StateRecord, max_bytes: int = DEFAULT_MAX_ROW_BYTES
) -> StateRecord:
    """Return a record without what has no room in its row.

    Suspicions and blame have a share of the row each. The earliest suspicions are left
    out, and the least blame: a task that crashes runners is given up later for that,
    while a job that is given up without cause is lost.

    Parameters
    ----------
    record : StateRecord
        The state.
    max_bytes : int
        Largest size of the row.
    """
    return dataclasses.replace(
        record,
        blame_by_task=_fit_blame(record.blame_by_task, BLAME_SHARE * max_bytes),
        suspicion_by_run=_fit_suspicions(
            record.suspicion_by_run, SUSPICIONS_SHARE * max_bytes
        ),
    )


def encode_state(record: StateRecord, max_bytes: int = DEFAULT_MAX_ROW_BYTES) -> bytes:
    """Return the stored form of the state of a job; see `fit_state`."""
    record = fit_state(record, max_bytes)
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


def _fit_blame(
    blame_by_task: Mapping[TaskId, int], max_bytes: float
) -> dict[TaskId, int]:
    """Return the most blame that has room."""
    kept = {}
    left_bytes = max_bytes
    for task in sorted(blame_by_task, key=blame_by_task.get, reverse=True):
        left_bytes -= len(orjson.dumps({str(task): blame_by_task[task]}))
        if left_bytes < 0:
            break
        kept[task] = blame_by_task[task]
    return kept


def _fit_suspicions(
    suspicion_by_run: Mapping[tuple[TaskId, int], Suspicion], max_bytes: float
) -> dict[tuple[TaskId, int], Suspicion]:
    """Return the latest suspicions that have room."""
    latest = sorted(
        suspicion_by_run.items(), key=lambda item: item[1].until_s, reverse=True
    )
    kept = {}
    runners = set()
    left_bytes = max_bytes
    for (task, run), suspicion in latest:
        runner = _list_runner_fields(suspicion)
        left_bytes -= len(orjson.dumps(_list_suspect_fields(task, run, suspicion))) + 1
        if runner not in runners:
            runners.add(runner)
            left_bytes -= len(orjson.dumps((*runner, ()))) + 1
        if left_bytes < 0:
            break
        kept[task, run] = suspicion
    return kept


def _encode_suspicions(
    suspicion_by_run: Mapping[tuple[TaskId, int], Suspicion],
) -> list[_LostRecord]:
    """Return the stored form of suspicions, by runner."""
    suspects_by_runner: dict[tuple, list[_SuspectRecord]] = {}
    for (task, run), suspicion in suspicion_by_run.items():
        runner = _list_runner_fields(suspicion)
        suspects = suspects_by_runner.setdefault(runner, [])
        suspects.append(_list_suspect_fields(task, run, suspicion))
    return [(*runner, suspects) for runner, suspects in suspects_by_runner.items()]


def _list_runner_fields(suspicion: Suspicion) -> tuple[str, str, int, int]:
    until_ms = round(1000 * suspicion.until_s)
    return suspicion.runner, suspicion.machine, suspicion.incarnation, until_ms


def _list_suspect_fields(
    task: TaskId, run: int, suspicion: Suspicion
) -> _SuspectRecord:
    return task.occurrence, task.step, task.index, run, suspicion.blame
