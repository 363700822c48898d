"""Tasks assigned to a worker, as their owner knows them."""

import enum
from dataclasses import dataclass

from ..upstreams import AttemptId, AttemptReport, AttemptStatus, CommandKind
from ._job import JobSpec, task_id


class AssignmentState(enum.StrEnum):
    """What the owner knows of an assignment."""

    #: Durable, but not yet sent to the worker.
    UNSENT = "ahead"
    #: Sent to the worker, which has not confirmed it yet.
    SENT = "sent"
    #: Reported as running by the worker.
    RUNNING = "running"
    #: Made by an earlier owner; the worker has not reported to this owner yet.
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Assignment:
    """A task durably assigned to a worker.

    Attributes
    ----------
    spec : JobSpec
        The task's job.
    index, attempt : int, int
        The task and the attempt.
    resume_from : str
        The checkpoint that the attempt starts from.
    state : Standing
        What is known of it.
    end_command : CommandKind or None
        CHECKPOINT or STOP, once it has to end.
    end_reason : str
        Why it has to end, for operators.
    throttle_percent : int
        Share of its processors that it should keep.
    reported_throttle_percent : int
        Share that it keeps by the worker's last word.
    start_by_s : float
        On the worker's clock, until when a START sent may take effect.
    started_s : float
        On the owner's clock, when it was first seen running.
    report : AttemptReport or None
        The worker's latest word on it.
    """

    spec: JobSpec
    index: int
    attempt: int
    resume_from: str = ""
    state: AssignmentState = AssignmentState.UNSENT
    end_command: CommandKind | None = None
    end_reason: str = ""
    throttle_percent: int = 100
    reported_throttle_percent: int = 100
    start_by_s: float = 0.0
    started_s: float = 0.0
    report: AttemptReport | None = None

    @property
    def task(self) -> str:
        """The name that the worker knows the task by."""
        return task_id(self.spec.id, self.index)

    @property
    def identity(self) -> AttemptId:
        """The attempt."""
        return AttemptId(self.task, self.attempt)


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The confirmed or certain end of an attempt."""

    worker: str
    task: str
    attempt: int
    status: AttemptStatus
    checkpoint: str = ""
    detail: str = ""
    ran_s: float = 0.0


@dataclass(slots=True)
class WorkerView:
    """What the owner knows of a worker between exchanges.

    Attributes
    ----------
    incarnation : str
        The worker's life, as of its last report; empty before the first.
    clock_s : float
        The worker's clock in that report.
    lapse_s : float
        On the owner's clock, when every attempt there has surely ended unless
        the worker answers.
    reachable : bool
        Whether the last exchange was answered.
    unresponsive_since_s : float
        When the last exchange was answered, on the owner's clock.
    """

    incarnation: str = ""
    clock_s: float = 0.0
    lapse_s: float = 0.0
    reachable: bool = False
    unresponsive_since_s: float = 0.0
