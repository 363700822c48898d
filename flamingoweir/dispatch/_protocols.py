"""Interface between a shard's owner and runners, independent of the wire format."""

import enum
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from ..jobs import Outcome, TaskId


class StartResult(enum.Enum):
    """The result of one call that sends a start order."""

    #: The run is on the runner.
    STARTED = "started"
    #: The runner has received a higher fencing token.
    FENCED = "fenced"
    #: A run with the same or a higher number has ended or was stopped on the runner.
    STALE = "stale"
    #: The order arrived after its deadline.
    LATE = "late"
    #: The runner has too few free resources.
    NO_ROOM = "no_room"
    #: The placement advice service's ticket is missing or no longer valid.
    BAD_TICKET = "bad_ticket"
    #: The runner is unhealthy and did nothing.
    UNHEALTHY = "unhealthy"
    #: The runner rejected the order for another reason and did nothing.
    REJECTED = "rejected"
    #: The order did not leave this instance.
    UNSENT = "unsent"
    #: No response arrived; the order may still be carried out, even seconds later.
    UNKNOWN = "unknown"


class OrderRank(enum.IntEnum):
    """Which of the calls that wait for a connection to a runner go first."""

    STOP = 0
    #: Probes and renewals of leases.
    PROBE = 1
    PACE = 2
    START = 3


class Fenced(Exception):
    """The runner has received a higher fencing token."""


class RunnerUnreachable(Exception):
    """A call to the runner got no usable response."""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start a run of a task.

    A run is the execution of one attempt on its runner, identified by the task and the
    run number. The owner records attempts; runners report runs.

    Attributes
    ----------
    task : TaskId
        Id of the task.
    run : int
        Number of the run.
    payload : str
        Text that the job hands to its tasks.
    deadline_ms : int
        Latest time at which the runner may carry out the order, and end of the lease
        that the order grants, in milliseconds on the runner's clock.
    fence : int
        The owner's fencing token.
    checkpoint : str
        Checkpoint to resume from; empty if there is none.
    ticket : str
        Ticket of the placement advice service; empty: none needed.
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
    """A run that a runner reports as running.

    Attributes
    ----------
    task : TaskId
        Id of the task.
    run : int
        Number of the run.
    checkpoint : str
        Latest checkpoint; empty if there is none.
    progress_percent : float
        Progress, 0 to 100; a long-running task reports 100 once it works.
    load : float or None
        For a serving task the tail latency in milliseconds, for others the processors
        in use, in thousandths; both over the last half second. None: not reported.
    """

    task: TaskId
    run: int
    checkpoint: str = ""
    progress_percent: float = 0.0
    load: float | None = None


@dataclass(frozen=True, slots=True)
class EndedTask:
    """The end of a run, which the runner reports until it is acknowledged.

    Attributes
    ----------
    number : int
        Sequence number; each end in an incarnation of the runner increments it by one.
    task : TaskId
        Id of the task.
    run : int
        Number of the run.
    outcome : Outcome
        How the run ended.
    checkpoint : str
        Last checkpoint; empty if there is none.
    """

    number: int
    task: TaskId
    run: int
    outcome: Outcome
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class RunnerReport:
    """The runs that a runner has and those that ended there.

    Attributes
    ----------
    incarnation : int
        Incarnation of the runner.
    clock_ms : float
        The runner's clock, in milliseconds.
    running : list of RunningTask
        All runs on the runner.
    ended : list of EndedTask
        Ends that are not acknowledged, oldest first.
    """

    incarnation: int
    clock_ms: float
    running: list[RunningTask] = field(default_factory=list)
    ended: list[EndedTask] = field(default_factory=list)


class RunnerLink(Protocol):
    """A connection to one runner."""

    async def start(
        self, order: StartOrder, may_send: Callable[[], bool] | None = None
    ) -> tuple[StartResult, float | None]:
        """Send a start order.

        Parameters
        ----------
        order : StartOrder
            The run and its conditions.
        may_send : callable, optional
            Asked right before the order is sent, which may have waited for a
            connection; if it returns False, the result is ``UNSENT``.

        Returns
        -------
        result : StartResult
            Result of the call.
        clock_ms : float or None
            The runner's clock in milliseconds, if the response contains it.
        """
        ...

    async def stop(self, task: TaskId, run: int, fence: int) -> None:
        """Send a stop order for a run.

        Raises
        ------
        RunnerUnreachable
            If no usable response arrives.
        Fenced
            If the runner has received a higher fencing token.
        """
        ...

    async def stop_runs(
        self, runs: Sequence[tuple[TaskId, int]], fence: int, in_a_turn: int
    ) -> int:
        """Send stop orders for several runs, without a wait between them.

        Any of the orders behind a missing response may be carried out. Other coroutines
        run after each ``in_a_turn`` responses.

        Returns
        -------
        int
            How many of the first orders got a usable response.

        Raises
        ------
        RunnerUnreachable
            If none did.
        Fenced
            If the runner has received a higher fencing token.
        """
        ...

    async def set_pace(self, task: TaskId, run: int, percent: int, fence: int) -> None:
        """Set a run's speed to ``percent`` of full speed.

        Raises
        ------
        RunnerUnreachable
            If no usable response arrives.
        Fenced
            If the runner has received a higher fencing token.
        """
        ...

    async def poll(
        self, fence: int, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> RunnerReport:
        """Renew the lease, acknowledge ends and return the runner's report.

        The runner rejects orders with lower fencing tokens from then on.

        Parameters
        ----------
        fence : int
            The owner's fencing token.
        acknowledged : int
            Ends up to this number are durable; the runner stops reporting them. 0
            acknowledges none.
        deadline_ms : int or None
            New end of the lease, in milliseconds on the runner's clock; None: keep the
            former one.
        wait_s : float
            Seconds for which the runner may wait for a run to end, if it has no end to
            report.

        Raises
        ------
        RunnerUnreachable
            If no usable response arrives.
        Fenced
            If the runner has received a higher fencing token.
        """
        ...

    async def renew(self, fence: int, deadline_ms: int) -> None:
        """Renew the lease beside a poll that waits, and acknowledge nothing.

        See `poll` for the parameters.

        Raises
        ------
        RunnerUnreachable
            If no usable response arrives.
        Fenced
            If the runner has received a higher fencing token.
        """
        ...

    async def probe(self, fence: int) -> float | None:
        """Call the runner without any effect but that of the fencing token.

        Returns
        -------
        float or None
            The runner's clock in milliseconds, if the response contains it.

        Raises
        ------
        RunnerUnreachable
            If no usable response arrives.
        Fenced
            If the runner has received a higher fencing token.
        """
        ...

    async def aclose(self) -> None:
        """Close all connections."""
        ...
