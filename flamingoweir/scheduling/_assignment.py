"""Tasks assigned to a worker, and their state as known to their owner."""

import enum
from dataclasses import dataclass

from ..upstreams import AttemptId, AttemptReport, AttemptStatus, CommandKind
from ._job import JobSpec, task_id


class AssignmentState(enum.StrEnum):
    """State of an assignment, as known to the owner."""

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
    """An attempt at a task that is durably assigned to a worker.

    Attributes
    ----------
    spec : JobSpec
        Job of the task.
    index, attempt : int, int
        Index of the task and number of the attempt.
    resume_from : str
        Name of the checkpoint that the attempt starts from; empty if there is none.
    state : AssignmentState
        State, as known to the owner.
    end_command : CommandKind or None
        CHECKPOINT or STOP if the attempt has to end, otherwise None.
    end_reason : str
        Reason why the attempt has to end, shown to operators.
    throttle_percent : int
        Requested share of the attempt's processors, in percent.
    reported_throttle_percent : int
        Share of the attempt's processors in the worker's last report, in percent.
    start_by_s : float
        Time on the worker's clock, in seconds, until which the worker accepts the
        last START.
    started_s : float
        Time on the owner's clock, in seconds, when the attempt was first reported
        as running.
    report : AttemptReport or None
        Latest report of the attempt while it runs.
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
        """Id of the task, as the worker uses it."""
        return task_id(self.spec.id, self.index)

    @property
    def identity(self) -> AttemptId:
        """Id of the attempt."""
        return AttemptId(self.task, self.attempt)


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """End of an attempt, reported by its worker or certain from a lapsed lease.

    Attributes
    ----------
    worker : str
        Name of the worker.
    task, attempt : str, int
        Id of the task and number of the attempt.
    status : AttemptStatus
        How the attempt ended.
    checkpoint : str
        For CHECKPOINTED, the name of the object to resume from.
    detail : str
        Reason of the end.
    ran_s : float
        Seconds since the attempt was first reported as running; 0 if it never was.
    crashed : bool
        Whether the worker crashed soon after the start of the attempt.
    """

    worker: str
    task: str
    attempt: int
    status: AttemptStatus
    checkpoint: str = ""
    detail: str = ""
    ran_s: float = 0.0
    crashed: bool = False


@dataclass(slots=True)
class WorkerView:
    """State of a worker as of the owner's last exchanges with it.

    Attributes
    ----------
    incarnation : str
        Incarnation in the worker's last report; empty before the first report.
    clock_s : float
        Time on the worker's clock in that report, in seconds.
    lapse_s : float
        Time on the owner's clock, in seconds, by which every attempt on the worker
        has ended unless the worker responds.
    reachable : bool
        Whether the worker responded to the last exchange.
    unresponsive_since_s : float
        Time on the owner's clock, in seconds, of the last response; before the
        first, the time when the session was created.
    """

    incarnation: str = ""
    clock_s: float = 0.0
    lapse_s: float = 0.0
    reachable: bool = False
    unresponsive_since_s: float = 0.0
