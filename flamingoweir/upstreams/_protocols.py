"""Messages between an owner and a worker, independent of the wire format.

One exchange renews the leases of every attempt, carries commands and acknowledges
ended attempts. The worker's report lists all of its attempts.
"""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from ..resources import Resources


class WorkerUnreachable(Exception):
    """No complete report came; the worker may still have received the exchange."""


class AttemptId(NamedTuple):
    """Id of one attempt at a task."""

    task: str
    attempt: int


class CommandKind(enum.StrEnum):
    """Kind of a command to a worker."""

    START = "start"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Command:
    """A command to a worker about one attempt.

    Attributes
    ----------
    kind : CommandKind
        Kind of the command.
    task : str
        Task of the attempt.
    attempt : int
        Number of the attempt.
    needs : Resources
        For START, the resources that the attempt needs.
    job_class : str
        For START, the job class of the task.
    resume_from : str
        For START, the name of the object that contains the checkpoint; empty for none.
    throttle_percent : int
        For THROTTLE, the percentage of its processors that the attempt keeps.
    """

    kind: CommandKind
    task: str
    attempt: int
    needs: Resources = field(default_factory=Resources)
    job_class: str = ""
    resume_from: str = ""
    throttle_percent: int = 100


@dataclass(frozen=True, slots=True)
class WorkerExchange:
    """Message from an owner to a worker.

    Attributes
    ----------
    shard, epoch : str, int
        Fencing token: a worker refuses an epoch lower than one received for the shard.
    incarnation : str
        Incarnation of the worker for which the commands are meant; empty before the
        first report.
    lease_until_s : float
        End of the leases of all attempts, in seconds on the worker's clock.
    start_by_s : float
        Time after which START is refused, in seconds on the worker's clock.
    commands : list of Command
        Commands in the order in which they are carried out.
    acknowledged : list of AttemptId
        Ended attempts that the worker may remove from its reports.
    """

    shard: str
    epoch: int
    incarnation: str = ""
    lease_until_s: float = 0.0
    start_by_s: float = 0.0
    commands: list[Command] = field(default_factory=list)
    acknowledged: list[AttemptId] = field(default_factory=list)


class AttemptStatus(enum.StrEnum):
    """State of an attempt on a worker."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LAPSED = "lapsed"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """State of one attempt in a worker's report.

    Attributes
    ----------
    task : str
        Task of the attempt.
    attempt : int
        Number of the attempt.
    status : AttemptStatus
        State of the attempt.
    checkpoint : str
        For CHECKPOINTED, the name of the object that contains the checkpoint.
    detail : str
        Reason why the attempt was refused or failed.
    processors_milli : int
        Processors used, in thousandths of a processor, as of ``measured_s``.
    latency_ms : float
        For a service, the tail latency in milliseconds, as of ``measured_s``.
    measured_s : float
        Time at which usage and latency were measured, in seconds on the worker's
        clock. It may lie well before the report.
    throttle_percent : int
        Percentage of its processors that the attempt keeps.
    """

    task: str
    attempt: int
    status: AttemptStatus
    checkpoint: str = ""
    detail: str = ""
    processors_milli: int = 0
    latency_ms: float = 0.0
    measured_s: float = 0.0
    throttle_percent: int = 100


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Response of a worker to an exchange.

    Attributes
    ----------
    incarnation : str
        Id that changes when the worker restarts; a restart loses all attempts.
    clock_s : float
        Reading of the worker's clock at the response, in seconds.
    epoch : int
        Highest epoch that the worker received for the shard.
    accepted : bool
        False if the whole exchange was refused, because of a lower epoch or another
        incarnation.
    attempts : list of AttemptReport
        Every running attempt, and every ended attempt that isn't acknowledged.
    """

    incarnation: str
    clock_s: float
    epoch: int
    accepted: bool
    attempts: list[AttemptReport]


class WorkerLink(Protocol):
    """Client of one worker."""

    async def exchange(self, message: WorkerExchange) -> WorkerReport:
        """Send an exchange and return the worker's report.

        Raises
        ------
        WorkerUnreachable
            If no complete report came.
        """
        ...
