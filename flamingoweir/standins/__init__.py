"""Stand-ins for the platform, workers and runners, small and in memory."""

from ._fleet_runner import FleetRunner, FleetRunnerLink, RunRecord
from ._neighbours import Neighbours, swinging_load
from ._platform import MemoryInstanceList, MemoryObjectStore, MemoryTable
from ._rows import MemoryRows, RowsLink
from ._runner import RunnerFault, StandinRunner
from ._servers import PlatformApp, RunnerApp, WorkerApp
from ._worker import StandinWorker, WorkerEvent

__all__ = [
    "FleetRunner",
    "FleetRunnerLink",
    "MemoryInstanceList",
    "MemoryObjectStore",
    "MemoryRows",
    "MemoryTable",
    "Neighbours",
    "PlatformApp",
    "RowsLink",
    "RunRecord",
    "RunnerApp",
    "RunnerFault",
    "StandinRunner",
    "StandinWorker",
    "WorkerApp",
    "WorkerEvent",
    "swinging_load",
]
