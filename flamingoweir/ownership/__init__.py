"""Ownership of shards, and the rows that owners write to the store."""

from ._owner_record import (
    Backlog,
    OwnerRecord,
    decode_owner_record,
    encode_owner_record,
)
from ._rows import (
    CANCEL_SUFFIX,
    JOB_TABLE,
    OWNER_TABLE,
    STATE_TABLE,
    TASK_TABLE,
    cancel_row,
    job_parts,
    job_row,
    owner_row,
    shard_name,
    state_row,
    tasks_row,
)
from ._standby import OwnerObservation, Standby
from ._writer import LEASE_VALID_S, FencedWriter, OwnershipLost

__all__ = [
    "CANCEL_SUFFIX",
    "JOB_TABLE",
    "LEASE_VALID_S",
    "OWNER_TABLE",
    "STATE_TABLE",
    "TASK_TABLE",
    "Backlog",
    "FencedWriter",
    "OwnerObservation",
    "OwnerRecord",
    "OwnershipLost",
    "Standby",
    "cancel_row",
    "decode_owner_record",
    "encode_owner_record",
    "job_parts",
    "job_row",
    "owner_row",
    "shard_name",
    "state_row",
    "tasks_row",
]
