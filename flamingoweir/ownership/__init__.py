"""Who owns a shard, and what it writes to the store."""

from ._holding import Backlog, Holding, decode_holding, encode_holding
from ._journal import LEASE_VALID_S, Journal, OwnershipLost
from ._rows import (
    CANCEL_SUFFIX,
    JOBS,
    OWNERS,
    STATES,
    TASKS,
    cancel_row,
    job_parts,
    job_row,
    owner_row,
    shard_name,
    state_row,
    tasks_row,
)
from ._standby import Sighting, Standby

__all__ = [
    "CANCEL_SUFFIX",
    "JOBS",
    "LEASE_VALID_S",
    "OWNERS",
    "STATES",
    "TASKS",
    "Backlog",
    "Holding",
    "Journal",
    "OwnershipLost",
    "Sighting",
    "Standby",
    "cancel_row",
    "decode_holding",
    "encode_holding",
    "job_parts",
    "job_row",
    "owner_row",
    "shard_name",
    "state_row",
    "tasks_row",
]
