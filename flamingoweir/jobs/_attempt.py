"""Attempts, each of which is one start of a task on one runner."""

import enum
import re
from dataclasses import dataclass

#: Id of the job, and the three numbers in the form in which ``str`` writes them.
TASK_ID = re.compile(
    r"(.+)\.(0|[1-9][0-9]{0,17})\.(0|[1-9][0-9]{0,17})\.(0|[1-9][0-9]{0,17})"
)


class Outcome(enum.StrEnum):
    """Result of an attempt."""

    DONE = "done"
    #: Failed by a fault of the task or the runner; counts towards `max_attempts`.
    FAILED = "failed"
    STOPPED = "stopped"
    #: The lease of the runner's tasks lapsed.
    LAPSED = "lapsed"
    #: Another member of the gang ended.
    GANG_BROKEN = "broken"
    #: The other members of the gang did not start in time.
    GANG_INCOMPLETE = "alone"


class AttemptState(enum.Enum):
    """State of an attempt that has not ended, as far as the owner knows."""

    #: Created. The start order is sent once the attempt is durable, and may be in
    #: transit.
    ORDERED = "ordered"
    #: The runner has confirmed the start or reported the attempt as running.
    RUNNING = "running"
    #: To be stopped; the attempt uses its resources until the runner reports the end.
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class TaskId:
    """Id of a task.

    Attributes
    ----------
    job : str
        Id of the job.
    occurrence, step, index : int
        Numbers of the occurrence, of the step in the job and of the task in the step,
        each from 0.
    """

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> "TaskId":
        """Parse the text form that ``str`` returns.

        Raises
        ------
        ValueError
            If the text is malformed.
        """
        match = TASK_ID.fullmatch(text)
        if match is None:
            raise ValueError(f"{text[:100]!r} is not a task id; use JOB.N.N.N")
        job, occurrence, step, index = match.groups()
        return cls(job, int(occurrence), int(step), int(index))


@dataclass(slots=True, eq=False)
class Attempt:
    """One start of a task on one runner, as the owner records it.

    The execution on the runner is called a run and has the same run number.

    Attributes
    ----------
    task : TaskId
        Id of the task.
    run : int
        Run number, which rises with each attempt at the task.
    runner : str
        Id of the runner.
    incarnation : int
        Incarnation of the runner: time of its start in milliseconds.
    state : AttemptState
        State of the attempt.
    created_s : float
        Time of creation or restoration on the owner's clock, in seconds.
    progress_percent : float
        Progress in percent, as last recorded from the runner's reports.
    last_progress_s : float
        Time of the last progress on the owner's clock, in seconds.
    slowest_percent_s : float
        Longest time in seconds that a percent of progress has taken.
    pace_percent : int
        Pace that the runner confirmed, in percent of full speed; negative if unknown.
    requested_pace_percent : int
        Pace that the attempt should have, in percent of full speed.
    """

    task: TaskId
    run: int
    runner: str
    incarnation: int
    state: AttemptState = AttemptState.ORDERED
    created_s: float = 0.0
    progress_percent: float = 0.0
    last_progress_s: float = 0.0
    slowest_percent_s: float = 0.0
    pace_percent: int = 100
    requested_pace_percent: int = 100

    def restart(self, incarnation: int, now_s: float) -> None:
        """Record that another incarnation of the runner has begun the run anew.

        Parameters
        ----------
        incarnation : int
            That incarnation.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        self.incarnation = incarnation
        self.progress_percent = 0.0
        self.last_progress_s = now_s

    def record_progress(self, percent: float, now_s: float) -> None:
        """Record progress that a runner reported.

        Parameters
        ----------
        percent : float
            Progress in percent, more than before.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        if self.progress_percent:
            # Until the first progress, some of the time passes before the start.
            passed_s = now_s - self.last_progress_s
            percent_s = passed_s / (percent - self.progress_percent)
            if percent_s > self.slowest_percent_s:
                self.slowest_percent_s = percent_s
        self.progress_percent = percent
        self.last_progress_s = now_s
