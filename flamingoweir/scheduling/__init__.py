"""Scheduling of jobs: shards and their owners, durable state, placement of tasks."""

from ._assignment import Assignment, AssignmentState
from ._context import OwnerContext
from ._describe import describe_job, describe_task
from ._events import decode_events, encode_events
from ._fleet import FleetView, PeerFleetView, ShardLoad
from ._handler import JobHandler, JobStatus
from ._job import InvalidTransition, Job, JobKind, JobSpec, Task, TaskState
from ._journal import Journal, OwnershipLost
from ._keys import shard_of, shards_of_zone
from ._ledger import Overcommit, WorkerLedger
from ._manager import ShardManager
from ._owner import ShardOwner
from ._placement import PLACEMENT_POLICY_BY_NAME, PlacementPolicy
from ._session import WorkerSession
from ._state import ShardState

__all__ = [
    "PLACEMENT_POLICY_BY_NAME",
    "Assignment",
    "AssignmentState",
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
    "PlacementPolicy",
    "ShardLoad",
    "ShardManager",
    "ShardOwner",
    "ShardState",
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
