"""What a worker is committed to, from the decision until the end is confirmed."""

from dataclasses import dataclass, field

from ..resources import Resources


class Overcommit(Exception):
    """A commitment would exceed the worker's capacity."""


@dataclass(slots=True)
class WorkerLedger:
    """Commitments of one worker.

    Attributes
    ----------
    capacity : Resources
        What the worker has.
    needs_by_task : dict of str to Resources
        What each task that may run there takes.
    committed : Resources
        The sum of ``needs_by_task``.
    """

    capacity: Resources
    needs_by_task: dict[str, Resources] = field(default_factory=dict)
    committed: Resources = field(default_factory=Resources)

    @property
    def free_resources(self) -> Resources:
        """What is not committed."""
        return self.capacity - self.committed

    def commit(self, task: str, needs: Resources) -> None:
        """Commit to a task; raises Overcommit."""
        if task in self.needs_by_task:
            raise Overcommit(f"{task} is committed already")
        if not needs.fits_in(self.free_resources):
            raise Overcommit(f"{task} needs {needs}, room is {self.free_resources}")
        self.commit_unchecked(task, needs)

    def commit_unchecked(self, task: str, needs: Resources) -> None:
        """Record a commitment made by an earlier owner, whatever the room."""
        self.needs_by_task[task] = needs
        self.committed = self.committed + needs

    def release(self, task: str) -> None:
        """End the commitment to a task, if there is one."""
        needs = self.needs_by_task.pop(task, None)
        if needs is not None:
            self.committed = self.committed - needs
