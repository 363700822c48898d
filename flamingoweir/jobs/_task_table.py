"""The tasks of a step, of which only some have a state of their own."""

from collections.abc import Iterator, Mapping, Set
from dataclasses import dataclass, field
from types import MappingProxyType

from ._attempt import Attempt
from ._index_set import IndexSet


@dataclass(slots=True)
class Task:
    """State of a task; all of it but `failed_runners` and `stalls` is durable.

    Attributes
    ----------
    last_run : int
        Run number of the latest attempt; 0 if the task was never started.
    failures : int
        Number of attempts that ended as failed.
    checkpoint : str
        Latest checkpoint; empty if there is none.
    done : bool
        Whether an attempt of the task, or of any member of a gang, ended as done.
    attempt_by_run : dict of int to Attempt
        Attempts that have not ended, by run number.
    failed_runners : set of str
        Ids of runners on which the task failed; not durable.
    stalls : int
        Number of attempts that were stopped as they made no progress; not durable.
    """

    last_run: int = 0
    failures: int = 0
    checkpoint: str = ""
    done: bool = False
    attempt_by_run: dict[int, Attempt] = field(default_factory=dict)
    failed_runners: set[str] = field(default_factory=set)
    stalls: int = 0


#: Stand for all tasks that were never started, and for those that are done and have no
#: attempt. They can't be changed by mistake, as their collections are read-only.
_NO_ATTEMPTS: Mapping[int, Attempt] = MappingProxyType({})
_NO_RUNNERS: Set[str] = frozenset()
_NEW_TASK = Task(0, 0, "", False, _NO_ATTEMPTS, _NO_RUNNERS)
_DONE_TASK = Task(0, 0, "", True, _NO_ATTEMPTS, _NO_RUNNERS)


class TaskTable:
    """The tasks of a step by index, which take memory once they are started.

    A done task without attempts takes none any more: its index is one of a range.

    Parameters
    ----------
    count : int
        Number of tasks.
    """

    __slots__ = ("_count", "_done", "_kept_by_index")

    def __init__(self, count: int):
        self._count = count
        self._done = IndexSet()
        self._kept_by_index: dict[int, Task] = {}

    def __len__(self) -> int:
        return self._count

    def __getitem__(self, index: int) -> Task:
        """Return a task in order to change it; it is kept from then on."""
        if not 0 <= index < self._count:
            raise IndexError(f"the step has no task {index}")
        task = self._kept_by_index.get(index)
        if task is None:
            task = self._kept_by_index[index] = Task(done=index in self._done)
        return task

    def view(self, index: int) -> Task:
        """Return a task in order to read it."""
        task = self._kept_by_index.get(index)
        if task is not None:
            return task
        return _DONE_TASK if index in self._done else _NEW_TASK

    def kept(self) -> Iterator[tuple[int, Task]]:
        """Yield index and state of the tasks that were started and are not settled."""
        yield from self._kept_by_index.items()

    @property
    def done_count(self) -> int:
        """Number of tasks that are done."""
        return len(self._done)

    def restore(self, index: int, task: Task) -> None:
        """Set the state of a task that was read from the store."""
        if task == _NEW_TASK:
            return
        self._kept_by_index[index] = task
        if task.done:
            self.mark_done(index)

    def mark_done(self, index: int) -> None:
        """Record that a task is done."""
        self._done.add(index)
        task = self._kept_by_index.get(index)
        if task is not None:
            task.done = True
            self.settle(index)

    def settle(self, index: int) -> None:
        """Drop the state of a task that is done and has no attempt."""
        task = self._kept_by_index.get(index)
        if task is not None and task.done and not task.attempt_by_run:
            del self._kept_by_index[index]
