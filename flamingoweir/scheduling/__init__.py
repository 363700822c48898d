"""Jobs and tasks: who decides, what is durable, where tasks run."""

from ._assignment import Assignment, Standing
from ._context import OwnerContext
from ._desk import JobHandler, JobStatus
from ._events import decode_events, encode_events
from ._fleet import FleetView, PeerFleetView, ShardRoom
from ._job import InvalidTransition, Job, JobKind, JobSpec, Task, TaskState
from ._journal import Journal, OwnershipLost
from ._keeper import ShardKeeper
from ._keys import shard_of, shards_of_zone
from ._ledger import Overcommit, WorkerLedger
from ._owner import ShardOwner
from ._placement import PLACEMENT_BY_NAME, Placement
from ._questions import describe_job, describe_task
from ._session import WorkerSession
from ._state import ShardState

__all__ = [
    "PLACEMENT_BY_NAME",
    "Assignment",
    "FleetView",
    "InvalidTransition",
    "Job",
    "JobHandler",
    "JobKind",
    "JobSpec",
    "JobStatus",
    "Journal",
    "Overcommit",
    "OwnerContext",
    "OwnershipLost",
    "PeerFleetView",
    "Placement",
    "ShardKeeper",
    "ShardOwner",
    "ShardRoom",
    "ShardState",
    "Standing",
    "Task",
    "TaskState",
    "WorkerLedger",
    "WorkerSession",
    "decode_events",
    "describe_job",
    "describe_task",
    "encode_events",
    "shard_of",
    "shards_of_zone",
]
