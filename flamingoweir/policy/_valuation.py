"""Value of a job to its caller, and the work that it still needs.

Addresses a load that exceeds the fleet: not every job can end in time, and callers lose
least if the jobs to delay are those with little value for the work that they need. The
value grows with the work of a job, relative to that of its queue, so that the size of a
job alone does not make it the one to delay.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from ..jobs import Job, StepRun

#: Value of a job without work, and the value that work as large as the queue's mean
#: adds to it.
BASE_VALUE = 0.3
VALUE_OF_MEAN_WORK = 0.7
#: Largest value of a job, however large its work is.
MAX_VALUE = 4.0
#: Number of the latest jobs of a queue over which the mean work is taken.
MEAN_JOBS = 200


def job_value(work: float, mean_work: float) -> float:
    """Return the value of a job that ends in time; a job of mean work has 1.

    Parameters
    ----------
    work : float
        Work of all tasks of the job, in processor-seconds.
    mean_work : float
        Mean work of the jobs of its queue; 0 if it isn't known.
    """
    if mean_work <= 0.0:
        return BASE_VALUE
    return min(MAX_VALUE, BASE_VALUE + VALUE_OF_MEAN_WORK * work / mean_work)


def total_work(job: Job) -> float:
    """Return the work of all tasks of one occurrence, in processor-seconds."""
    work = 0.0
    for spec in job.spec.steps:
        work += spec.count * spec.demand.processors_milli * spec.estimate_s
    return work / 1000


def remaining_work(job: Job) -> tuple[float, float]:
    """Return the work of the tasks that are not done, in processor-seconds.

    Returns
    -------
    tuple of (float, float)
        Work of tasks on spare and on reserved processors.
    """
    spare = reserved = 0.0
    for step in job.run_by_step.values():
        spec = step.spec
        left = spec.count - step.tasks.done_count
        work = left * spec.demand.processors_milli * spec.estimate_s / 1000
        if spec.uses_spare:
            spare += work
        else:
            reserved += work
    return spare, reserved


class StepWork(NamedTuple):
    """What a decision has to know of a step; it does not change.

    Attributes
    ----------
    run : StepRun
        The step.
    kind : int
        0 for spare and 1 for reserved processors.
    task_work : float
        Estimated work of a task in processor-seconds.
    path_s : float
        Estimated seconds of the longest chain that starts with the step.
    """

    run: StepRun
    kind: int
    task_work: float
    path_s: float


class OpenWork(NamedTuple):
    """Tasks of a step that have not started.

    Attributes
    ----------
    due_s : float
        Time by which they must start for the job to end in time, on the owner's clock,
        in seconds.
    kind : int
        0 for spare and 1 for reserved processors.
    work : float
        Their estimated work in processor-seconds.
    """

    due_s: float
    kind: int
    work: float


def list_steps(job: Job) -> list[StepWork]:
    """Return the steps of a job that has one occurrence."""
    steps = []
    for run in job.run_by_step.values():
        spec = run.spec
        task_work = spec.demand.processors_milli * spec.estimate_s / 1000
        path_s = job.critical_paths_s[run.step]
        steps.append(StepWork(run, 0 if spec.uses_spare else 1, task_work, path_s))
    return steps


def find_open_work(
    steps: Iterable[StepWork], deadline_s: float, run_ratio: float
) -> tuple[float, list[OpenWork]]:
    """Return the remaining work of a job, and its tasks that have not started.

    Parameters
    ----------
    steps : iterable of StepWork
        The steps of the job.
    deadline_s : float
        End of its objective on the owner's clock, in seconds.
    run_ratio : float
        Factor for declared run times.

    Returns
    -------
    tuple of (float, list of OpenWork)
        Work of the tasks that are not done, in processor-seconds, and those that have
        not started, by step.
    """
    remaining = 0.0
    found = []
    for run, kind, task_work, path_s in steps:
        remaining += (run.spec.count - run.tasks.done_count) * task_work
        open_count = len(run.open_indexes)
        if open_count:
            due_s = deadline_s - run_ratio * path_s
            found.append(OpenWork(due_s, kind, open_count * task_work))
    return remaining, found


class MeanWork:
    """Mean work of the latest jobs of a queue."""

    def __init__(self) -> None:
        self._latest: deque[float] = deque()
        self._sum = 0.0

    def record(self, work: float) -> None:
        """Record the work of an accepted job, in processor-seconds."""
        self._latest.append(work)
        self._sum += work
        if len(self._latest) > MEAN_JOBS:
            self._sum -= self._latest.popleft()

    @property
    def mean(self) -> float:
        """The mean, in processor-seconds; 0 if no job was recorded."""
        return self._sum / len(self._latest) if self._latest else 0.0
