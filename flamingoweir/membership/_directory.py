"""The platform's list of instances as last read."""

from ..clock import Clock
from ..storage import Instance, InstanceKind, InstanceList, TableUnavailable


class Directory:
    """Instances by name, kept through outages of the list.

    Attributes
    ----------
    by_name : dict of str to Instance
        All instances on the list.
    revision : int
        Rises whenever the list has changed.
    last_read_s : float
        When the list was last read, on this process's clock.
    """

    def __init__(self, source: InstanceList, clock: Clock):
        self.by_name: dict[str, Instance] = {}
        self.revision = 0
        self.last_read_s = float("-inf")
        self._source = source
        self._clock = clock

    @property
    def is_loaded(self) -> bool:
        """Whether the list was ever read."""
        return self.last_read_s > float("-inf")

    async def refresh(self) -> bool:
        """Read the list; return whether it could be read."""
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
        """Return instances of a kind, in all zones or in one, by name."""
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
        """Return the runners of a service, by name."""
        return [
            instance
            for instance in self.of_kind(InstanceKind.RUNNER)
            if instance.service == service
        ]

    def zones(self) -> list[str]:
        """Return every zone that has an instance, in order."""
        return sorted({instance.zone for instance in self.by_name.values()})
