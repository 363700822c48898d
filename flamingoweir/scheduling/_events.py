"""Events of a shard's journal and their text form."""

import dataclasses
from dataclasses import dataclass

import orjson

from ..resources import Resources
from ..upstreams import AttemptStatus
from ._job import JobKind, JobSpec, Task, TaskState


@dataclass(frozen=True, slots=True)
class TasksAdded:
    """New tasks of a job, numbered from ``first``."""

    spec: JobSpec
    first: int
    count: int


@dataclass(frozen=True, slots=True)
class TasksRestored:
    """Tasks of a job as they stood elsewhere: in a snapshot or another shard."""

    spec: JobSpec
    tasks: list[Task]
    cancelled: bool = False
    retiring: list[int] = dataclasses.field(default_factory=list)
    next_index: int = 0


@dataclass(frozen=True, slots=True)
class TaskAssigned:
    """A task was given to a worker; it may be started there and nowhere else."""

    job: str
    index: int
    worker: str
    attempt: int


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """An attempt ended, or its lease has surely lapsed."""

    job: str
    index: int
    attempt: int
    status: AttemptStatus
    checkpoint: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job was cancelled as a whole."""

    job: str


@dataclass(frozen=True, slots=True)
class TasksRetired:
    """Single tasks of a job were cancelled."""

    job: str
    indexes: list[int]


@dataclass(frozen=True, slots=True)
class TasksMovedOut:
    """Queued tasks were handed to another shard."""

    job: str
    indexes: list[int]
    to_shard: str


@dataclass(frozen=True, slots=True)
class JobForgotten:
    """All tasks of a job have ended and its outcome is recorded."""

    job: str


Event = (
    TasksAdded
    | TasksRestored
    | TaskAssigned
    | TaskEnded
    | JobCancelled
    | TasksRetired
    | TasksMovedOut
    | JobForgotten
)

EVENT_TYPE_BY_NAME = {kind.__name__: kind for kind in Event.__args__}


def encode_events(events: list[Event]) -> str:
    """Write events as JSON text."""
    items = [[type(event).__name__, event] for event in events]
    return orjson.dumps(items).decode()


def decode_events(text: str | bytes) -> list[Event]:
    """Read events from JSON text."""
    return [_decode_event(name, fields) for name, fields in orjson.loads(text)]


def encode_spec(spec: JobSpec) -> str:
    """Write a job as JSON text."""
    return orjson.dumps(spec).decode()


def decode_spec(text: str | bytes) -> JobSpec:
    """Read a job from JSON text."""
    return _build_spec(orjson.loads(text))


def _decode_event(name: str, fields: dict) -> Event:
    if "spec" in fields:
        fields["spec"] = _build_spec(fields["spec"])
    if "tasks" in fields:
        fields["tasks"] = [_build_task(item) for item in fields["tasks"]]
    if "status" in fields:
        fields["status"] = AttemptStatus(fields["status"])
    return EVENT_TYPE_BY_NAME[name](**fields)


def _build_spec(fields: dict) -> JobSpec:
    fields["needs"] = Resources(**fields["needs"])
    fields["kind"] = JobKind(fields["kind"])
    return JobSpec(**fields)


def _build_task(fields: dict) -> Task:
    fields["state"] = TaskState(fields["state"])
    return Task(**fields)
