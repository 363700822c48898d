"""In-memory stand-ins for the platform, workers and runners."""

from ._contention import ContentionModel, sinusoidal_load
from ._memory_runner import MemoryRunner, MemoryRunnerLink, RunRecord
from ._platform import MemoryInstanceList, MemoryObjectStore, MemoryTable
from ._rows import MemoryRows, RowsLink
from ._runner import RunnerFault, StandinRunner
from ._servers import PlatformApp, RunnerApp, WorkerApp
from ._worker import StandinWorker, WorkerEvent

__all__ = [
    "ContentionModel",
    "MemoryInstanceList",
    "MemoryObjectStore",
    "MemoryRows",
    "MemoryRunner",
    "MemoryRunnerLink",
    "MemoryTable",
    "PlatformApp",
    "RowsLink",
    "RunRecord",
    "RunnerApp",
    "RunnerFault",
    "StandinRunner",
    "StandinWorker",
    "WorkerApp",
    "WorkerEvent",
    "sinusoidal_load",
]
