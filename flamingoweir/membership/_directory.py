"""Cache of the platform's list of instances."""

from ..clock import Clock
from ..storage import Instance, InstanceKind, InstanceList, TableUnavailable


class Directory:
    """Instances by name, as in the latest list that could be read.

    The instances stay while the list can't be read.

    Parameters
    ----------
    source : InstanceList
        Reads the platform's list.
    clock : Clock
        Monotonic clock of this instance.

    Attributes
    ----------
    by_name : dict of str to Instance
        All instances on the list.
    revision : int
        Number of reads in which the list differed from the one before.
    last_read_s : float
        Time of the latest successful read in seconds on this instance's clock; ``-inf``
        before the first.
    """

    def __init__(self, source: InstanceList, clock: Clock):
        self.by_name: dict[str, Instance] = {}
        self.revision = 0
        self.last_read_s = float("-inf")
        self._source = source
        self._clock = clock

    @property
    def is_loaded(self) -> bool:
        """Whether the list has been read at least once."""
        return self.last_read_s > float("-inf")

    async def refresh(self) -> bool:
        """Read the list; return False if it can't be read."""
        try:
            instances = await self._source.instances()
        except TableUnavailable:
            return False
        by_name = {instance.name: instance for instance in instances}
        if by_name != self.by_name:
            self.by_name = by_name
            self.revision += 1
        self.last_read_s = self._clock.now()
        return True

    def of_kind(self, kind: InstanceKind, zone: str | None = None) -> list[Instance]:
        """Return the instances of a kind, in one zone or all, sorted by name."""
        instances = []
        for instance in self.by_name.values():
            if instance.kind is not kind:
                continue
            if zone is not None and instance.zone != zone:
                continue
            instances.append(instance)
        instances.sort(key=lambda instance: instance.name)
        return instances

    def runners(self, service: str) -> list[Instance]:
        """Return the runners of a service, sorted by name."""
        return [
            instance
            for instance in self.of_kind(InstanceKind.RUNNER)
            if instance.service == service
        ]

    def zones(self) -> list[str]:
        """Return the sorted names of all zones that have an instance."""
        return sorted({instance.zone for instance in self.by_name.values()})
