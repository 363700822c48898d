"""Attempts: one start of a task on one runner."""

import enum
from dataclasses import dataclass


class Outcome(enum.StrEnum):
    """How an attempt ended."""

    DONE = "done"
    #: By the task's own fault or by the runner's; counts as an attempt.
    FAILED = "failed"
    STOPPED = "stopped"
    #: Its lease ran out.
    LAPSED = "lapsed"
    #: Another member of its gang ended.
    GANG_BROKEN = "broken"
    #: The other members of its gang did not come in time.
    GANG_INCOMPLETE = "alone"


class AttemptState(enum.Enum):
    """What is known of an attempt that has not ended."""

    #: Durable; its order may be on the way.
    ORDERED = "ordered"
    #: The runner has said that it has it.
    RUNNING = "running"
    #: A stop is on its way; its room is taken until its end is listed.
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class TaskId:
    """Names a task of a job.

    Attributes
    ----------
    job : str
        The job's id.
    occurrence, step, index : int
        Counted from 0.
    """

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> "TaskId":
        """Read what ``str`` wrote; raises ValueError."""
        job, occurrence, step, index = text.rsplit(".", 3)
        return cls(job, int(occurrence), int(step), int(index))


@dataclass(slots=True, eq=False)
class Attempt:
    """One start of a task.

    Attributes
    ----------
    task : TaskId
        The task.
    run : int
        Number of the start; rises with each start of the task.
    runner : str
        Id of the runner.
    incarnation : int
        The runner's incarnation: the millisecond of its start.
    state : Standing
        What is known of it.
    created_s : float
        When it was made, on the owner's clock.
    progress_percent : float
        Progress that the runner last reported.
    last_progress_s : float
        When ``progress_percent`` last rose, on the owner's clock.
    pace_percent : int
        Share of its speed that it was last told to work at, in percent.
    requested_pace_percent : int
        Share that it should work at.
    """

    task: TaskId
    run: int
    runner: str
    incarnation: int
    state: AttemptState = AttemptState.ORDERED
    created_s: float = 0.0
    progress_percent: float = 0.0
    last_progress_s: float = 0.0
    pace_percent: int = 100
    requested_pace_percent: int = 100
