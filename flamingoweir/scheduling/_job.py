"""Jobs as declared, and the state transitions of their tasks."""

import enum
from dataclasses import dataclass, field

from ..resources import Resources
from ..upstreams import AttemptStatus

#: Number of crashes of workers soon after the start of a batch task, after which the
#: task is given up. A task that others' crashes hit twice still has one try on its own.
MAX_CRASHES = 3


class JobKind(enum.StrEnum):
    """Kind of a job: batch tasks end, service tasks are kept running."""

    BATCH = "batch"
    SERVICE = "service"


class TaskState(enum.StrEnum):
    """Durable state of a task."""

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
    """The state of a task does not allow an event."""


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as declared.

    Attributes
    ----------
    id : str
        Id that the operator chose or the system generated.
    team : str
        Team that owns the job.
    tasks : int
        Number of equal tasks.
    needs : Resources
        Resources of one task.
    zones : list of str
        Availability zones where the job may run.
    kind : JobKind
        Batch or service.
    job_class : str
        Class of the job. Sizes, run times and interference are learnt for each
        class.
    priority : int
        Priority within the team; jobs with a higher one go first.
    urgent : bool
        Whether the job may evict other batch work.
    retries : int
        Number of times that a failed task is tried again.
    estimate_s : float
        Declared run time of one task, in seconds.
    latency_target_ms : float
        For a service, the upper limit of its tail latency, in milliseconds.
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
        Index of the task in its job.
    state : TaskState
        Durable state of the task.
    attempt : int
        Number of the latest attempt; 0 before the first.
    worker : str
        Name of the worker that the latest attempt was assigned to.
    failures : int
        Number of failed attempts.
    crashes : int
        Number of attempts soon after whose start the worker crashed.
    checkpoint : str
        Name of the object to resume from; empty if there is none.
    detail : str
        Reason why the latest attempt ended.
    not_before_s : float
        Time on the owner's clock, in seconds, before which the task is not assigned
        again.
    """

    index: int
    state: TaskState = TaskState.QUEUED
    attempt: int = 0
    worker: str = ""
    failures: int = 0
    checkpoint: str = ""
    detail: str = ""
    not_before_s: float = 0.0
    crashes: int = 0

    def assign(self, worker: str, attempt: int) -> None:
        """Assign the next attempt to a worker.

        Raises
        ------
        InvalidTransition
            If the task is not queued, or ``attempt`` is not the next number.
        """
        if self.state is not TaskState.QUEUED or attempt != self.attempt + 1:
            raise InvalidTransition(f"can't assign attempt {attempt} of {self}")
        self.state = TaskState.ASSIGNED
        self.worker = worker
        self.attempt = attempt

    def end(
        self,
        status: AttemptStatus,
        checkpoint: str,
        detail: str,
        retries: int,
        max_crashes: int | None = None,
        crashed: bool = False,
    ) -> None:
        """Record the end of the latest attempt.

        A queued task can still become DONE: the latest attempt was presumed lapsed,
        and the worker reported afterwards that the attempt had completed.

        Parameters
        ----------
        status : AttemptStatus
            How the attempt ended.
        checkpoint : str
            For CHECKPOINTED, the name of the object to resume from.
        detail : str
            Reason of the end.
        retries : int
            Number of failures after which the task is still tried again.
        max_crashes : int or None
            Number of crashes after which the task is given up; None for no limit.
        crashed : bool
            Whether the worker crashed soon after the start of the attempt.

        Raises
        ------
        InvalidTransition
            If the task is neither assigned nor queued with ``status`` DONE.
        """
        late = self.state is TaskState.QUEUED and status is AttemptStatus.DONE
        if self.state is not TaskState.ASSIGNED and not late:
            raise InvalidTransition(f"can't record the end {status} of {self}")
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
        if crashed:
            self.crashes += 1
            if max_crashes is not None and self.crashes >= max_crashes:
                self.state = TaskState.FAILED

    def copy_for_move(self) -> "Task":
        """Return a queued copy of the task for the shard that it is moved to."""
        return Task(
            self.index,
            attempt=self.attempt,
            failures=self.failures,
            checkpoint=self.checkpoint,
            detail=self.detail,
            crashes=self.crashes,
        )

    def cancel(self) -> None:
        """Cancel the task if it is queued; otherwise an attempt may still run."""
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
        Tasks of the job by their index. Ended tasks of a service are removed.
    queued : dict of int to None
        Indexes of queued tasks, in the order in which they were queued.
    unfinished_count : int
        Number of tasks that have not ended.
    cancelled : bool
        Whether the whole job was cancelled.
    retiring : set of int
        Indexes of tasks that were cancelled individually.
    next_index : int
        Lowest index above those of all tasks that this shard has held.
    """

    spec: JobSpec
    task_by_index: dict[int, Task] = field(default_factory=dict)
    queued: dict[int, None] = field(default_factory=dict)
    unfinished_count: int = 0
    cancelled: bool = False
    retiring: set[int] = field(default_factory=set)
    next_index: int = 0

    def add(self, task: Task) -> None:
        """Add a queued task, and cancel it if the job is cancelled."""
        self.task_by_index[task.index] = task
        self.next_index = max(self.next_index, task.index + 1)
        self.unfinished_count += 1
        self.queued[task.index] = None
        if self.cancelled:
            task.cancel()
        self._finish_if_ended(task)

    def assign(self, index: int, worker: str, attempt: int) -> None:
        """Assign the next attempt of a task to a worker; see `Task.assign`."""
        self.task_by_index[index].assign(worker, attempt)
        del self.queued[index]

    def end(
        self,
        index: int,
        status: AttemptStatus,
        checkpoint: str,
        detail: str,
        crashed: bool = False,
    ) -> None:
        """Record the end of a task's latest attempt; see `Task.end`.

        The tasks of a service are never given up, but the pauses before their starts
        get longer.
        """
        task = self.task_by_index[index]
        max_crashes = MAX_CRASHES if self.spec.kind is JobKind.BATCH else None
        task.end(status, checkpoint, detail, self.spec.retries, max_crashes, crashed)
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
        """Cancel individual tasks: queued ones at once, others when they end."""
        for index in indexes:
            self.retiring.add(index)
            if index in self.queued:
                self._cancel(index)

    def move_out(self, index: int) -> None:
        """Mark a queued task as moved to another shard.

        Raises
        ------
        InvalidTransition
            If the task is not queued.
        """
        task = self.task_by_index[index]
        if task.state is not TaskState.QUEUED:
            raise InvalidTransition(f"can't move {task}; only queued tasks can move")
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
    """Return the id of a task, as workers use it."""
    return f"{job}/{index}"


def split_task_id(name: str) -> tuple[str, int]:
    """Split the id of a task into the id of its job and its index."""
    job, _, index = name.rpartition("/")
    return job, int(index)
