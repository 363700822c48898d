"""What an owner knows of the rest of the fleet."""

from dataclasses import dataclass
from typing import Protocol

from ..membership import Directory, Peers, StartPermit
from ..storage import InstanceKind
from ..tree import SettingsTree


@dataclass(frozen=True, slots=True)
class ShardLoad:
    """What a shard's owner says of it.

    Attributes
    ----------
    queued : int
        Tasks that found no worker.
    free_processors_milli : int
        Processors promised to nobody.
    """

    queued: int
    free_processors_milli: int


class FleetView(Protocol):
    """Zones, permits and other shards."""

    def may_start(self, zone: str) -> bool:
        """Return whether tasks may be started now in a zone."""
        ...

    def open_zones(self) -> list[str]:
        """Return the zones that have workers and are not taken out."""
        ...

    def open_shards(self) -> int:
        """Return how many shards the open zones have."""
        ...

    def shard_load(self, shard: str) -> ShardLoad | None:
        """Return a shard's room, or None if its owner is not heard."""
        ...

    def count_running_elsewhere(self, service: str, shard: str) -> int:
        """Return how many tasks of a service run in other shards."""
        ...


class PeerFleetView:
    """The fleet as the platform's list, the tree and the peers show it."""

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
