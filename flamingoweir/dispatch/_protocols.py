"""What the owner needs of a runner, whatever its wire format."""

import enum
from dataclasses import dataclass, field
from typing import Protocol

from ..jobs import Outcome, TaskId


class StartResult(enum.Enum):
    """What is known of a start after one call."""

    #: The run is there.
    STARTED = "started"
    #: The runner has seen a higher fencing token.
    FENCED = "fenced"
    #: A run as high has ended or was stopped there.
    STALE = "stale"
    #: The order's due time had passed.
    LATE = "late"
    #: The runner has no room for it.
    NO_ROOM = "no_room"
    #: The advice service's ticket is missing or no longer valid.
    BAD_TICKET = "bad_ticket"
    #: The runner is unhealthy and did nothing.
    UNHEALTHY = "unhealthy"
    #: The order was turned away for another reason and nothing was done.
    REJECTED = "rejected"
    #: The order did not leave this instance.
    UNSENT = "unsent"
    #: The order may be carried out, even seconds later.
    UNKNOWN = "unknown"


class Fenced(Exception):
    """The runner has seen a higher fencing token."""


class RunnerUnreachable(Exception):
    """No answer came."""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start a run of a task.

    Attributes
    ----------
    task : TaskId
        The task.
    run : int
        Number of the start.
    payload : str
        The job's text.
    deadline_ms : int
        On the runner's clock: the end of its lease; also the latest time at which
        the order is carried out.
    fence : int
        The owner's fencing token.
    checkpoint : str
        Checkpoint to resume from; empty: none.
    ticket : str
        Leave of the advice service; empty: none needed.
    """

    task: TaskId
    run: int
    payload: str
    deadline_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that a runner runs.

    Attributes
    ----------
    task : TaskId
        The task.
    run : int
        The start's number.
    checkpoint : str
        Its latest checkpoint.
    progress_percent : float
        Progress; for a lasting task 100 once it is at work.
    load : float or None
        For a serving task its tail latency in milliseconds, otherwise the
        processors in use, in thousandths; over the last half second.
    """

    task: TaskId
    run: int
    checkpoint: str = ""
    progress_percent: float = 0.0
    load: float | None = None


@dataclass(frozen=True, slots=True)
class EndedTask:
    """An end that a runner repeats until it is acknowledged.

    Attributes
    ----------
    number : int
        Rises by one with each end of the runner's incarnation.
    task : TaskId
        The task.
    run : int
        The start's number.
    outcome : Outcome
        How it ended.
    checkpoint : str
        The checkpoint it left.
    """

    number: int
    task: TaskId
    run: int
    outcome: Outcome
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class RunnerReport:
    """What a runner runs and what has ended there.

    Attributes
    ----------
    incarnation : int
        The runner's incarnation.
    clock_ms : float
        Its clock.
    running : list of RunningTask
        All that runs there.
    ended : list of EndedTask
        Ends that are not acknowledged, the oldest first.
    """

    incarnation: int
    clock_ms: float
    running: list[RunningTask] = field(default_factory=list)
    ended: list[EndedTask] = field(default_factory=list)


class RunnerLink(Protocol):
    """The way to one runner."""

    async def start(self, order: StartOrder) -> tuple[StartResult, float | None]:
        """Order a start; return the result and the runner's clock, if it told it."""
        ...

    async def stop(self, task: TaskId, run: int, fence: int) -> None:
        """Stop a run; raises RunnerUnreachable or Fenced."""
        ...

    async def set_pace(self, task: TaskId, run: int, percent: int, fence: int) -> None:
        """Let a run work at a share; raises RunnerUnreachable or Fenced."""
        ...

    async def poll(
        self, fence: int, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> RunnerReport:
        """Raise the fence, prolong the lease, acknowledge ends; return both lists.

        Parameters
        ----------
        fence : int
            The owner's fencing token.
        acknowledged : int
            Ends up to this number are durable and may be forgotten.
        deadline_ms : int or None
            The new end of the lease on the runner's clock; None: unchanged.
        wait_s : float
            Seconds to wait for an end, if none is listed.

        Raises
        ------
        RunnerUnreachable, Fenced
            If there is no answer, or a newer owner.
        """
        ...

    async def aclose(self) -> None:
        """Close all connections."""
        ...
