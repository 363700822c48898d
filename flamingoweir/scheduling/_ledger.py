"""Resources of a worker that are committed to attempts.

A commitment lasts from the decision to start an attempt until the end of the attempt
is confirmed.
"""

from dataclasses import dataclass, field

from ..resources import Resources


class Overcommit(Exception):
    """A commitment exceeds a worker's free resources, or the task already has one."""


@dataclass(slots=True)
class WorkerLedger:
    """Commitments of one worker.

    Attributes
    ----------
    capacity : Resources
        Total resources of the worker.
    needs_by_task : dict of str to Resources
        Resources of each task that may run on the worker, by the id of the task.
    committed : Resources
        Sum of ``needs_by_task``.
    """

    capacity: Resources
    needs_by_task: dict[str, Resources] = field(default_factory=dict)
    committed: Resources = field(default_factory=Resources)

    @property
    def free_resources(self) -> Resources:
        """Resources that are not committed."""
        return self.capacity - self.committed

    def commit(self, task: str, needs: Resources) -> None:
        """Commit resources to a task.

        Raises
        ------
        Overcommit
            If the task has a commitment, or its needs exceed the free resources.
        """
        if task in self.needs_by_task:
            raise Overcommit(f"resources are already committed to task {task}")
        if not needs.fits_in(self.free_resources):
            raise Overcommit(
                f"task {task} needs {needs}, but only {self.free_resources} is free"
            )
        self.commit_unchecked(task, needs)

    def commit_unchecked(self, task: str, needs: Resources) -> None:
        """Commit resources to a task without a check of the capacity.

        This records a commitment made by an earlier owner.
        """
        self.needs_by_task[task] = needs
        self.committed = self.committed + needs

    def release(self, task: str) -> None:
        """Release the resources committed to a task, if there are any."""
        needs = self.needs_by_task.pop(task, None)
        if needs is not None:
            self.committed = self.committed - needs
