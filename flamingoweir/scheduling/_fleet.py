"""Zones, start permits and loads of shards, as an owner of a shard uses them."""

from dataclasses import dataclass
from typing import Protocol

from ..membership import Directory, Peers, StartPermit
from ..storage import InstanceKind
from ..tree import SettingsTree


@dataclass(frozen=True, slots=True)
class ShardLoad:
    """Load of a shard, as its owner reports it.

    Attributes
    ----------
    queued : int
        Number of queued tasks for which no worker was found.
    free_processors_milli : int
        Processors that are not assigned to any task, in thousandths.
    """

    queued: int
    free_processors_milli: int


class FleetView(Protocol):
    """Zones, start permits and loads of other shards."""

    def may_start(self, zone: str) -> bool:
        """Return whether tasks may be started now in a zone."""
        ...

    def open_zones(self) -> list[str]:
        """Return the zones that have workers and are not out of service."""
        ...

    def open_shards(self) -> int:
        """Return the number of shards of the open zones."""
        ...

    def shard_load(self, shard: str) -> ShardLoad | None:
        """Return the load of a shard, or None if its owner does not report."""
        ...

    def count_running_elsewhere(self, service: str, shard: str) -> int:
        """Return the number of tasks of a service that run in other shards."""
        ...


class PeerFleetView:
    """Fleet view from the platform's list, the settings tree and the peers.

    Parameters
    ----------
    directory : Directory
        The platform's list of instances.
    tree : SettingsTree
        The fleet's settings.
    peers : Peers
        This and the other entry instances, which report the shards that they own.
    permit : StartPermit
        Permission to start tasks in a zone.
    shards_per_zone : int
        Number of shards of a zone.
    """

    def __init__(
        self,
        directory: Directory,
        tree: SettingsTree,
        peers: Peers,
        permit: StartPermit,
        shards_per_zone: int,
    ):
        self._directory = directory
        self._tree = tree
        self._peers = peers
        self._permit = permit
        self._shards_per_zone = shards_per_zone
        self._directory_revision = -1
        self._worker_zones: list[str] = []

    def may_start(self, zone: str) -> bool:
        """See `FleetView.may_start`."""
        return self._permit.allows(zone)

    def open_zones(self) -> list[str]:
        """See `FleetView.open_zones`."""
        if self._directory_revision != self._directory.revision:
            workers = self._directory.of_kind(InstanceKind.WORKER)
            self._worker_zones = sorted({worker.zone for worker in workers})
            self._directory_revision = self._directory.revision
        return [zone for zone in self._worker_zones if self._tree.is_zone_open(zone)]

    def open_shards(self) -> int:
        """See `FleetView.open_shards`."""
        return len(self.open_zones()) * self._shards_per_zone

    def shard_load(self, shard: str) -> ShardLoad | None:
        """See `FleetView.shard_load`."""
        for hold in self._peers.all_holds():
            if hold.shard == shard:
                return ShardLoad(hold.queued, hold.free_processors_milli)
        return None

    def count_running_elsewhere(self, service: str, shard: str) -> int:
        """See `FleetView.count_running_elsewhere`."""
        running = 0
        for hold in self._peers.all_holds():
            if hold.shard != shard:
                running += hold.running_by_service.get(service, 0)
        return running
