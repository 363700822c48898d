"""What is to become free on runners for absent tasks that room is made for."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..jobs import StepRun, TaskId
from ..resources import Resources


@dataclass(frozen=True, slots=True)
class Promise:
    """Resources of a runner that become free for one task.

    Attributes
    ----------
    runner : str
        Id of the runner; "" if no room could be made, so that this is only tried again
        later.
    resources : Resources
        What the task needs.
    until_s : float
        End of the time for which it lasts, on the owner's clock, in seconds.
    """

    runner: str
    resources: Resources
    until_s: float


class Promises:
    """Promises by task, with their sums by runner.

    The sums are kept up, as each step that is placed asks for them, and hundreds of
    tasks have promises after the loss of a zone.
    """

    def __init__(self) -> None:
        self._by_task: dict[TaskId, Promise] = {}
        self._tasks_by_step: dict[tuple[str, int, int], set[TaskId]] = {}
        self._by_runner: dict[str, Resources] = {}
        self._count_by_runner: dict[str, int] = {}

    def find(self, task: TaskId) -> Promise | None:
        """Return the promise to a task, or None."""
        return self._by_task.get(task)

    def items(self) -> Iterable[tuple[TaskId, Promise]]:
        """Return the tasks with their promises; they may be discarded meanwhile."""
        return list(self._by_task.items())

    def add(self, task: TaskId, promise: Promise) -> None:
        """Add the promise to a task that has none."""
        self._by_task[task] = promise
        if not promise.runner:
            return
        step = (task.job, task.occurrence, task.step)
        self._tasks_by_step.setdefault(step, set()).add(task)
        promised = self._by_runner.get(promise.runner, Resources())
        self._by_runner[promise.runner] = promised + promise.resources
        count = self._count_by_runner.get(promise.runner, 0)
        self._count_by_runner[promise.runner] = count + 1

    def discard(self, task: TaskId) -> None:
        """Discard the promise to a task, if there is one."""
        promise = self._by_task.pop(task, None)
        if promise is None or not promise.runner:
            return
        step = (task.job, task.occurrence, task.step)
        self._tasks_by_step[step].discard(task)
        if not self._tasks_by_step[step]:
            del self._tasks_by_step[step]
        self._by_runner[promise.runner] -= promise.resources
        self._count_by_runner[promise.runner] -= 1
        if not self._count_by_runner[promise.runner]:
            del self._by_runner[promise.runner]
            del self._count_by_runner[promise.runner]

    def has_step(self, step: StepRun) -> bool:
        """Return whether room is made for a task of a step."""
        return (step.job.spec.id, step.occurrence, step.step) in self._tasks_by_step

    def sum_by_runner(self) -> Mapping[str, Resources]:
        """Return what is promised, by runner; it changes with the promises."""
        return self._by_runner

    def sum_of_others(self, step: StepRun) -> dict[str, Resources]:
        """Return what is promised to tasks of other steps than one, by runner."""
        promised_by_runner = dict(self._by_runner)
        key = (step.job.spec.id, step.occurrence, step.step)
        own_count: dict[str, int] = {}
        for task in self._tasks_by_step.get(key, ()):
            promise = self._by_task[task]
            promised_by_runner[promise.runner] -= promise.resources
            own_count[promise.runner] = own_count.get(promise.runner, 0) + 1
        for runner, count in own_count.items():
            if count == self._count_by_runner[runner]:
                del promised_by_runner[runner]
        return promised_by_runner
