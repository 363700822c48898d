"""The instance around an owner."""

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
    """What an owner needs of its instance.

    Attributes
    ----------
    zone, shard : str
        The shard and its zone.
    table : Table
        The platform's table.
    directory : Directory
        The platform's list.
    tree : SettingsTree
        The settings.
    fleet : FleetView
        Zones, permits and what other shards say of themselves.
    connect_worker : callable
        Makes the way to a worker.
    clock, timings, scheduling : Clock, Timings, Scheduling
        The instance's clock and settings.
    metrics : Metrics
        Where counts go.
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
