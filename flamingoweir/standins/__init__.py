"""Stand-ins for the platform, workers and runners, small and in memory."""

from ._platform import MemoryInstanceList, MemoryObjectStore, MemoryTable
from ._runner import RunnerFault, StandinRunner
from ._servers import PlatformApp, RunnerApp, WorkerApp
from ._worker import StandinWorker, WorkerEvent

__all__ = [
    "MemoryInstanceList",
    "MemoryObjectStore",
    "MemoryTable",
    "PlatformApp",
    "RunnerApp",
    "RunnerFault",
    "StandinRunner",
    "StandinWorker",
    "WorkerApp",
    "WorkerEvent",
]
