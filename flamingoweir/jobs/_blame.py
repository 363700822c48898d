"""Which tasks of a job may have crashed the runners that started them."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from ._attempt import TaskId

#: Blame for crashed runners from which a task is given up. A crash adds at most half of
#: it, so that two runners at least have crashed.
MAX_BLAME = 4
#: Largest numbers of tasks of a job that are blamed and of runs that are suspected. The
#: loss of a zone makes suspects of all tasks there; of so many, hardly one is at fault.
MAX_BLAMED_TASKS = 500
MAX_SUSPECTED_RUNS = 200


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A lost runner that a task may have crashed, while nothing shows a crash yet.

    Attributes
    ----------
    runner : str
        Id of the runner.
    machine : str
        Its machine, or its address if the machine is not known.
    incarnation : int
        Its incarnation. A later one of the machine shows that the runner has crashed.
    blame : int
        Blame of the task for the crash.
    until_s : float
        Until when a crash counts, in seconds: on the owner's clock in a `Job`, since
        1970 in a `StateRecord`.
    """

    runner: str
    machine: str
    incarnation: int
    blame: int
    until_s: float


class CrashBlame:
    """Blame and suspicions of a job's tasks, bounded in number.

    Where there are more, those are dropped that say least: the least blame, and the
    earliest suspicions. A task without them is given up one crash later at the most,
    while a job that fails for blame that it doesn't deserve is lost.

    Attributes
    ----------
    blame_by_task : dict of TaskId to int
        How much tasks are suspected of crashing the runners that start them; tasks that
        are not suspected are missing.
    dropped_count : int
        How often blame or a suspicion was dropped.
    """

    def __init__(self) -> None:
        self.blame_by_task: dict[TaskId, int] = {}
        self.dropped_count = 0
        self._tasks_by_blame: dict[int, dict[TaskId, None]] = {}
        #: Runs with suspicions, in the order in which these were recorded.
        self._suspicion_by_run: dict[tuple[TaskId, int], Suspicion] = {}
        self._runs_by_task: dict[TaskId, set[int]] = {}

    def __bool__(self) -> bool:
        return bool(self.blame_by_task or self._suspicion_by_run)

    @property
    def suspicion_by_run(self) -> Mapping[tuple[TaskId, int], Suspicion]:
        """Suspicions by task and run."""
        return self._suspicion_by_run

    def set(self, task: TaskId, blame: int) -> None:
        """Set the blame of a task."""
        former = self.blame_by_task.pop(task, None)
        if former is not None:
            self._remove_from_level(task, former)
        elif len(self.blame_by_task) >= MAX_BLAMED_TASKS:
            least = min(self._tasks_by_blame)
            self.dropped_count += 1
            if least >= blame:
                return
            self._drop_one(least)
        self.blame_by_task[task] = blame
        self._tasks_by_blame.setdefault(blame, {})[task] = None

    def add(self, task: TaskId, blame: int) -> int:
        """Add to the blame of a task; return its blame."""
        total = self.blame_by_task.get(task, 0) + blame
        self.set(task, total)
        return total

    def suspect(self, task: TaskId, run: int, suspicion: Suspicion) -> None:
        """Record that a run may have crashed a runner."""
        self.end_suspicion(task, run)
        if len(self._suspicion_by_run) >= MAX_SUSPECTED_RUNS:
            self.dropped_count += 1
            self.end_suspicion(*next(iter(self._suspicion_by_run)))
        self._suspicion_by_run[task, run] = suspicion
        self._runs_by_task.setdefault(task, set()).add(run)

    def end_suspicion(self, task: TaskId, run: int) -> bool:
        """End the suspicion of a run; return whether it had one."""
        if self._suspicion_by_run.pop((task, run), None) is None:
            return False
        runs = self._runs_by_task[task]
        runs.discard(run)
        if not runs:
            del self._runs_by_task[task]
        return True

    def clear(self, task: TaskId) -> bool:
        """Drop the blame and the suspicions of a task; return whether it had any."""
        blame = self.blame_by_task.pop(task, None)
        if blame is not None:
            self._remove_from_level(task, blame)
        runs = list(self._runs_by_task.get(task, ()))
        for run in runs:
            self.end_suspicion(task, run)
        return blame is not None or bool(runs)

    def clear_occurrences(self, occurrences: Iterable[int]) -> None:
        """Drop the blame and the suspicions of all tasks in some occurrences."""
        for task in [*self.blame_by_task, *self._runs_by_task]:
            if task.occurrence in occurrences:
                self.clear(task)

    def find_total(self, task: TaskId) -> int:
        """Return the blame of a task if all its suspicions prove true."""
        return self.blame_by_task.get(task, 0) + sum(self._list_suspected(task))

    def _list_suspected(self, task: TaskId) -> Iterator[int]:
        for run in self._runs_by_task.get(task, ()):
            yield self._suspicion_by_run[task, run].blame

    def _drop_one(self, blame: int) -> None:
        """Drop the blame of the task that has had this much for longest."""
        task = next(iter(self._tasks_by_blame[blame]))
        del self.blame_by_task[task]
        self._remove_from_level(task, blame)

    def _remove_from_level(self, task: TaskId, blame: int) -> None:
        tasks = self._tasks_by_blame[blame]
        del tasks[task]
        if not tasks:
            del self._tasks_by_blame[blame]
