"""Jobs: what is declared, and the rules that their tasks follow."""

import enum
from dataclasses import dataclass, field

from ..resources import Resources
from ..upstreams import AttemptStatus


class JobKind(enum.StrEnum):
    """Batch tasks end; service tasks are kept running."""

    BATCH = "batch"
    SERVICE = "service"


class TaskState(enum.StrEnum):
    """The durable state of a task."""

    QUEUED = "queued"
    ASSIGNED = "assigned"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    MOVED = "moved"


ENDED_STATES = frozenset(
    {TaskState.DONE, TaskState.FAILED, TaskState.CANCELLED, TaskState.MOVED}
)


class InvalidTransition(Exception):
    """An event does not follow from the state of its task."""


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as declared.

    Attributes
    ----------
    id : str
        Given by the operator or made by the system.
    team : str
        Who the job belongs to.
    tasks : int
        How many equal tasks it has.
    needs : Resources
        What one task takes.
    zones : list of str
        Availability zones where it may run.
    kind : JobKind
        Batch or service.
    job_class : str
        Name under which sizes, run times and interference are learnt.
    priority : int
        Higher goes first within a team.
    urgent : bool
        Whether it may evict other batch work.
    retries : int
        How often a task that fails is tried again.
    estimate_s : float
        Declared run time of one task, in seconds.
    latency_target_ms : float
        For a service, the tail latency that it must keep.
    """

    id: str
    team: str
    tasks: int
    needs: Resources
    zones: list[str]
    kind: JobKind = JobKind.BATCH
    job_class: str = ""
    priority: int = 0
    urgent: bool = False
    retries: int = 3
    estimate_s: float = 0.0
    latency_target_ms: float = 0.0


@dataclass(slots=True)
class Task:
    """One task of a job.

    Attributes
    ----------
    index : int
        Its place in the job.
    state : TaskState
        Its durable state.
    attempt : int
        Number of the latest attempt; 0 before the first.
    worker : str
        Where the latest attempt was assigned.
    failures : int
        Attempts that failed.
    checkpoint : str
        The object to resume from.
    detail : str
        Why the latest attempt ended.
    not_before_s : float
        On the owner's clock, when it may be assigned again.
    """

    index: int
    state: TaskState = TaskState.QUEUED
    attempt: int = 0
    worker: str = ""
    failures: int = 0
    checkpoint: str = ""
    detail: str = ""
    not_before_s: float = 0.0

    def assign(self, worker: str, attempt: int) -> None:
        """Give the task to a worker; raises InvalidTransition."""
        if self.state is not TaskState.QUEUED or attempt != self.attempt + 1:
            raise InvalidTransition(f"assign {attempt} after {self}")
        self.state = TaskState.ASSIGNED
        self.worker = worker
        self.attempt = attempt

    def end(
        self, status: AttemptStatus, checkpoint: str, detail: str, retries: int
    ) -> None:
        """Record the end of the latest attempt; raises InvalidTransition."""
        late = self.state is TaskState.QUEUED and status is AttemptStatus.DONE
        if self.state is not TaskState.ASSIGNED and not late:
            raise InvalidTransition(f"end {status} after {self}")
        self.detail = detail
        if status is AttemptStatus.DONE:
            self.state = TaskState.DONE
            return
        self.state = TaskState.QUEUED
        if status is AttemptStatus.CHECKPOINTED:
            self.checkpoint = checkpoint
        if status is AttemptStatus.FAILED:
            self.failures += 1
            if self.failures > retries:
                self.state = TaskState.FAILED

    def copy_for_move(self) -> "Task":
        """Return the task as another shard takes it over."""
        return Task(
            self.index,
            attempt=self.attempt,
            failures=self.failures,
            checkpoint=self.checkpoint,
            detail=self.detail,
        )

    def cancel(self) -> None:
        """Cancel the task unless an attempt may still run."""
        if self.state is TaskState.QUEUED:
            self.state = TaskState.CANCELLED


@dataclass(slots=True)
class Job:
    """The part of a job that a shard holds.

    Attributes
    ----------
    spec : JobSpec
        The job as declared.
    task_by_index : dict of int to Task
        The tasks.
    queued : dict of int to None
        Indexes of queued tasks, in order.
    unfinished_count : int
        How many tasks have not ended.
    cancelled : bool
        Whether the whole job was cancelled.
    retiring : set of int
        Indexes of tasks cancelled one by one.
    next_index : int
        An index that no task has had here.
    """

    spec: JobSpec
    task_by_index: dict[int, Task] = field(default_factory=dict)
    queued: dict[int, None] = field(default_factory=dict)
    unfinished_count: int = 0
    cancelled: bool = False
    retiring: set[int] = field(default_factory=set)
    next_index: int = 0

    def add(self, task: Task) -> None:
        """Take in a queued task; it is cancelled at once if the job was."""
        self.task_by_index[task.index] = task
        self.next_index = max(self.next_index, task.index + 1)
        self.unfinished_count += 1
        self.queued[task.index] = None
        if self.cancelled:
            task.cancel()
        self._finish_if_ended(task)

    def assign(self, index: int, worker: str, attempt: int) -> None:
        """Give a task to a worker."""
        self.task_by_index[index].assign(worker, attempt)
        del self.queued[index]

    def end(
        self, index: int, status: AttemptStatus, checkpoint: str, detail: str
    ) -> None:
        """Record the end of a task's latest attempt."""
        task = self.task_by_index[index]
        task.end(status, checkpoint, detail, self.spec.retries)
        if self.is_cancelled(index):
            task.cancel()
        if task.state is TaskState.QUEUED:
            self.queued[index] = None
        self._finish_if_ended(task)

    def is_cancelled(self, index: int) -> bool:
        """Return whether a task must not be started again."""
        return self.cancelled or index in self.retiring

    def cancel(self) -> None:
        """Cancel the job: queued tasks at once, others when they end."""
        self.cancelled = True
        for index in list(self.queued):
            self._cancel(index)

    def cancel_tasks(self, indexes: list[int]) -> None:
        """Cancel single tasks."""
        for index in indexes:
            self.retiring.add(index)
            if index in self.queued:
                self._cancel(index)

    def move_out(self, index: int) -> None:
        """Note that another shard holds a queued task from now on."""
        task = self.task_by_index[index]
        if task.state is not TaskState.QUEUED:
            raise InvalidTransition(f"move {task}")
        task.state = TaskState.MOVED
        self._finish_if_ended(task)

    def _cancel(self, index: int) -> None:
        task = self.task_by_index[index]
        task.cancel()
        self._finish_if_ended(task)

    def _finish_if_ended(self, task: Task) -> None:
        if task.state not in ENDED_STATES:
            return
        self.queued.pop(task.index, None)
        self.unfinished_count -= 1
        if self.spec.kind is JobKind.SERVICE:
            del self.task_by_index[task.index]
            self.retiring.discard(task.index)


def task_id(job: str, index: int) -> str:
    """Return the name that workers know a task by."""
    return f"{job}/{index}"


def split_task_id(name: str) -> tuple[str, int]:
    """Return the job and the index of a task."""
    job, _, index = name.rpartition("/")
    return job, int(index)
