"""Outcome of a job's tasks in one shard."""

from collections import Counter
from dataclasses import dataclass

from ._job import Job, TaskState

MAX_DETAILS = 3


@dataclass(frozen=True, slots=True)
class Outcome:
    """Counts of a job's tasks in one shard.

    Attributes
    ----------
    by_state : dict of str to int
        Number of tasks by state. Moved tasks are counted by the shard that they were
        moved to.
    details : list of str
        Reasons of failures, for at most ``MAX_DETAILS`` failed tasks.
    """

    by_state: dict[str, int]
    details: list[str]

    @classmethod
    def from_job(cls, job: Job) -> "Outcome":
        """Count the tasks of a job."""
        by_state: Counter[str] = Counter()
        details = []
        for task in job.task_by_index.values():
            if task.state is TaskState.MOVED:
                continue
            by_state[str(task.state)] += 1
            failed = task.state is TaskState.FAILED
            if failed and task.detail and len(details) < MAX_DETAILS:
                details.append(f"task {task.index}: {task.detail}")
        return cls(dict(by_state), details)
