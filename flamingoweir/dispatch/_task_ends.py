"""Ends of batch tasks since they were last collected."""

from collections import deque
from dataclasses import dataclass

from ..fleet import Allocation
from ..jobs import Job, StepSpec

#: Largest number of ends that are kept. They are collected several times a second; an
#: owner that plans nothing doesn't collect them.
MAX_ENDS = 5_000


@dataclass(frozen=True, slots=True)
class TaskEnd:
    """A batch task that is done.

    Attributes
    ----------
    job : Job
        Its job.
    spec : StepSpec
        Its step.
    run_s : float or None
        Seconds from the confirmed start of its last run; None if they aren't known.
    """

    job: Job
    spec: StepSpec
    run_s: float | None


class TaskEnds:
    """Keeps the ends of batch tasks until they are collected."""

    def __init__(self) -> None:
        self._ends: deque[TaskEnd] = deque(maxlen=MAX_ENDS)

    def record(self, job: Job, allocation: Allocation, now_s: float) -> None:
        """Record that a task is done, unless it is a long-running one."""
        spec = allocation.spec
        if spec.lasting:
            return
        run_s = None
        started_s = allocation.started_s
        if started_s is not None and started_s != float("-inf"):
            run_s = now_s - started_s
        self._ends.append(TaskEnd(job, spec, run_s))

    def collect(self) -> list[TaskEnd]:
        """Return the ends that were recorded since the last call."""
        ends = list(self._ends)
        self._ends.clear()
        return ends
