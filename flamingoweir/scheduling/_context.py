"""Components of an instance that the owner of a shard uses."""

from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock
from ..membership import Directory
from ..metrics import Metrics
from ..settings import SchedulingSettings, TimingSettings
from ..storage import Instance, Table
from ..tree import SettingsTree
from ..upstreams import WorkerLink
from ._fleet import FleetView


@dataclass(slots=True)
class OwnerContext:
    """Components and settings of an instance that the owner of a shard uses.

    Attributes
    ----------
    zone, shard : str
        Names of the zone and of its shard.
    table : Table
        The platform's table.
    directory : Directory
        The platform's list of instances.
    tree : SettingsTree
        The fleet's settings.
    fleet : FleetView
        Zones, start permits and loads of other shards.
    connect_worker : callable
        Returns a link to a worker, given its entry in the list of instances.
    clock : Clock
        The instance's clock.
    timings, scheduling : TimingSettings, SchedulingSettings
        The instance's settings.
    metrics : Metrics
        Receives counts.
    """

    zone: str
    shard: str
    table: Table
    directory: Directory
    tree: SettingsTree
    fleet: FleetView
    connect_worker: Callable[[Instance], WorkerLink]
    clock: Clock
    timings: TimingSettings
    scheduling: SchedulingSettings
    metrics: Metrics
