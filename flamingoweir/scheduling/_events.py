"""Events of a shard's journal and their JSON encoding."""

import dataclasses
from dataclasses import dataclass

import orjson

from ..resources import Resources
from ..upstreams import AttemptStatus
from ._job import JobKind, JobSpec, Task, TaskState


@dataclass(frozen=True, slots=True)
class TasksAdded:
    """New tasks of a job were added, with indexes from ``first`` on."""

    spec: JobSpec
    first: int
    count: int


@dataclass(frozen=True, slots=True)
class TasksRestored:
    """Tasks of a job were restored from a snapshot or moved in from another shard."""

    spec: JobSpec
    tasks: list[Task]
    cancelled: bool = False
    retiring: list[int] = dataclasses.field(default_factory=list)
    next_index: int = 0


@dataclass(frozen=True, slots=True)
class TaskAssigned:
    """A task was assigned to a worker; only that worker may start the attempt."""

    job: str
    index: int
    worker: str
    attempt: int


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """An attempt ended, or its lease has certainly lapsed.

    ``crashed`` means that the worker crashed soon after the start of the attempt.
    """

    job: str
    index: int
    attempt: int
    status: AttemptStatus
    checkpoint: str = ""
    detail: str = ""
    crashed: bool = False


@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A whole job was cancelled."""

    job: str


@dataclass(frozen=True, slots=True)
class TasksRetired:
    """Individual tasks of a job were cancelled."""

    job: str
    indexes: list[int]


@dataclass(frozen=True, slots=True)
class TasksMovedOut:
    """Queued tasks were moved to another shard."""

    job: str
    indexes: list[int]
    to_shard: str


@dataclass(frozen=True, slots=True)
class JobForgotten:
    """A job was removed: its tasks have ended and its outcome is recorded."""

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
    """Encode events as JSON."""
    items = [[type(event).__name__, event] for event in events]
    return orjson.dumps(items).decode()


def decode_events(text: str | bytes) -> list[Event]:
    """Decode events from JSON."""
    return [_decode_event(name, fields) for name, fields in orjson.loads(text)]


def encode_spec(spec: JobSpec) -> str:
    """Encode a job as JSON."""
    return orjson.dumps(spec).decode()


def decode_spec(text: str | bytes) -> JobSpec:
    """Decode a job from JSON."""
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
