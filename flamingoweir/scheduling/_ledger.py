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
    by_task : dict of str to Resources
        What each task that may run there takes.
    committed : Resources
        The sum of ``by_task``.
    """

    capacity: Resources
    by_task: dict[str, Resources] = field(default_factory=dict)
    committed: Resources = field(default_factory=Resources)

    @property
    def room(self) -> Resources:
        """What is not committed."""
        return self.capacity - self.committed

    def commit(self, task: str, needs: Resources) -> None:
        """Commit to a task; raises Overcommit."""
        if task in self.by_task:
            raise Overcommit(f"{task} is committed already")
        if not needs.fits_in(self.room):
            raise Overcommit(f"{task} needs {needs}, room is {self.room}")
        self.force(task, needs)

    def force(self, task: str, needs: Resources) -> None:
        """Record a commitment made by an earlier owner, whatever the room."""
        self.by_task[task] = needs
        self.committed = self.committed + needs

    def release(self, task: str) -> None:
        """End the commitment to a task, if there is one."""
        needs = self.by_task.pop(task, None)
        if needs is not None:
            self.committed = self.committed - needs
