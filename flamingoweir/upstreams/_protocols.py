"""What the system needs of a worker, whatever its wire format.

All that an owner has to say to a worker goes in one exchange: it renews the
leases of every attempt, carries commands and acknowledges ended attempts; the
report carries the worker's whole inventory.
"""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from ..resources import Resources


class WorkerUnreachable(Exception):
    """No whole report came; the exchange may still have reached the worker."""


class AttemptId(NamedTuple):
    """One attempt at one task."""

    task: str
    attempt: int


class CommandKind(enum.StrEnum):
    """What a worker is told to do with an attempt."""

    START = "start"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Command:
    """One command to a worker.

    Attributes
    ----------
    kind : CommandKind
        What to do.
    task, attempt : str, int
        The attempt that it is about.
    needs : Resources
        For START, what the attempt takes.
    job_class : str
        For START, the kind of work.
    resume_from : str
        For START, the object that holds the checkpoint, or nothing.
    throttle_percent : int
        For THROTTLE, the share of its processors that the attempt keeps.
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
    """What an owner says to a worker.

    Attributes
    ----------
    shard, epoch : str, int
        The fence: a worker refuses an epoch lower than one it has seen.
    incarnation : str
        The worker's life that the commands are meant for; empty at first.
    lease_until_s : float
        On the worker's own clock, when the leases of all its attempts end.
    start_by_s : float
        On the worker's own clock, after which START is refused.
    commands : list of Command
        Commands, in order.
    acknowledged : list of AttemptId
        Ended attempts that the worker may forget.
    """

    shard: str
    epoch: int
    incarnation: str = ""
    lease_until_s: float = 0.0
    start_by_s: float = 0.0
    commands: list[Command] = field(default_factory=list)
    acknowledged: list[AttemptId] = field(default_factory=list)


class AttemptStatus(enum.StrEnum):
    """How an attempt stands on its worker."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LAPSED = "lapsed"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """One attempt in a worker's inventory.

    Attributes
    ----------
    task, attempt : str, int
        The attempt.
    status : AttemptStatus
        How it stands.
    checkpoint : str
        For CHECKPOINTED, the object that holds the checkpoint.
    detail : str
        Why it was refused or failed.
    processors_milli : int
        Processors used, as measured some time ago.
    latency_ms : float
        For a service, its recent tail latency, as measured some time ago.
    measured_s : float
        On the worker's clock, when usage and latency were measured.
    throttle_percent : int
        Share of its processors that it keeps.
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
    """What a worker answers.

    Attributes
    ----------
    incarnation : str
        Changes when the worker restarts; its attempts are then gone.
    clock_s : float
        The worker's own clock when it answered.
    epoch : int
        The highest epoch that it has seen for the shard.
    accepted : bool
        False if the exchange was refused as a whole: old epoch or another life.
    attempts : list of AttemptReport
        Every attempt that runs, and every ended one not acknowledged.
    """

    incarnation: str
    clock_s: float
    epoch: int
    accepted: bool
    attempts: list[AttemptReport]


class WorkerLink(Protocol):
    """The way to one worker."""

    async def exchange(self, message: WorkerExchange) -> WorkerReport:
        """Send one exchange and return the report; raises WorkerUnreachable."""
        ...
