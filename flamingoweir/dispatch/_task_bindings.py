"""Tasks that may run on one runner only, as a start order may still arrive there."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..jobs import Job, TaskId
from ..ownership import BOUND_KEPT_S, BoundTask, hash_run, make_bound_row

#: Largest total length of the bound tasks that the owner row names.
MAX_PUBLISHED_BYTES = 8_000
#: Largest length of what it says of a bound task, or of a runner besides its id.
ROW_BYTES = 24


@dataclass(frozen=True, slots=True)
class Binding:
    """Restricts a task to the runner at which a start order of it may arrive late.

    Attributes
    ----------
    runner : str
        Id of the runner; "": none is safe.
    address : str
        Address that the orders were sent to; "": not known.
    until_s : float
        When none of them can arrive any more, on the owner's clock, in seconds.
    ran_s : float
        When the task was last known to run, on the owner's clock, in seconds.
    failures : int
        How often the task has failed there, from the end that bound it on; the next
        owner doesn't know.
    """

    runner: str
    address: str
    until_s: float
    ran_s: float
    failures: int = 0


class TaskBindings:
    """Bindings of tasks, also those that an earlier owner has published.

    Parameters
    ----------
    former : iterable of BoundTask
        What the former owner has published, with times on the owner's clock.
    """

    def __init__(self, former: Iterable[BoundTask] = ()):
        self._by_task: dict[TaskId, dict[str, Binding]] = {}
        self._former_by_hash: dict[str, list[BoundTask]] = {}
        for bound in former:
            self._former_by_hash.setdefault(bound.task_hash, []).append(bound)

    def __bool__(self) -> bool:
        return bool(self._by_task or self._former_by_hash)

    def bind(self, task: TaskId, binding: Binding) -> None:
        """Bind a task to a runner, in place of its former binding to that runner."""
        self._by_task.setdefault(task, {})[binding.runner] = binding

    def release(self, task: TaskId) -> None:
        """Forget the bindings of a task that is done."""
        self._by_task.pop(task, None)

    def find_on(self, task: TaskId, runner: str) -> Binding | None:
        """Return the binding of a task to a runner, or None; it may have expired."""
        binding_by_runner = self._find_by_runner(task)
        return binding_by_runner.get(runner) or binding_by_runner.get("")

    def find_all(self, task: TaskId) -> list[Binding]:
        """Return the bindings of a task, one for each runner; some may have expired."""
        return list(self._find_by_runner(task).values())

    def list_bound(
        self, job_by_id: Mapping[str, Job], now_s: float
    ) -> dict[str, list[tuple[str, float, float]]]:
        """Return `OwnerRecord.bound_tasks` to publish, and forget what has expired.

        Parameters
        ----------
        job_by_id : mapping of str to Job
            All jobs; tasks of others, or of those that have ended, start no more.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        bound_by_runner: dict[str, list[tuple[str, float, float]]] = {}
        left_bytes = MAX_PUBLISHED_BYTES
        rest_left_s, rest_ago_s = 0.0, float("inf")
        for runner, row in self._list_rows(job_by_id, now_s):
            if runner not in bound_by_runner:
                left_bytes -= len(runner.encode()) + ROW_BYTES
            left_bytes -= ROW_BYTES
            if left_bytes < 0:
                _, left_s, ago_s = row
                rest_left_s = max(rest_left_s, left_s)
                rest_ago_s = min(rest_ago_s, ago_s)
                continue
            bound_by_runner.setdefault(runner, []).append(row)
        if rest_left_s:
            any_task = ("", rest_left_s, rest_ago_s)
            bound_by_runner.setdefault("", []).append(any_task)
        return bound_by_runner

    def _list_rows(
        self, job_by_id: Mapping[str, Job], now_s: float
    ) -> Iterable[tuple[str, tuple[str, float, float]]]:
        own = set()
        for task, binding_by_runner in list(self._by_task.items()):
            job = job_by_id.get(task.job)
            for runner, binding in list(binding_by_runner.items()):
                is_over = binding.until_s + BOUND_KEPT_S <= now_s
                if is_over or job is None or job.is_final:
                    del binding_by_runner[runner]
                    continue
                task_hash = hash_run(str(task))
                own.add((task_hash, runner))
                yield (
                    runner,
                    make_bound_row(task_hash, binding.until_s, binding.ran_s, now_s),
                )
            if not binding_by_runner:
                del self._by_task[task]
        for task_hash, former in list(self._former_by_hash.items()):
            former = [b for b in former if now_s < b.until_s + BOUND_KEPT_S]
            self._former_by_hash[task_hash] = former
            for bound in former:
                if (task_hash, bound.runner) not in own:
                    yield (
                        bound.runner,
                        make_bound_row(task_hash, bound.until_s, bound.ran_s, now_s),
                    )
            if not former:
                del self._former_by_hash[task_hash]

    def _find_by_runner(self, task: TaskId) -> Mapping[str, Binding]:
        """Return the bindings of a task by runner; some may have expired."""
        own = self._by_task.get(task, {})
        if not self._former_by_hash:
            return own
        found = {}
        # An empty hash stands for any task.
        for task_hash in ("", hash_run(str(task))):
            for bound in self._former_by_hash.get(task_hash, ()):
                found[bound.runner] = Binding(
                    bound.runner, "", bound.until_s, bound.ran_s
                )
        return {**found, **own}
