"""Ownership of shards, and the rows that owners write to the store."""

from ._earlier_leases import UNBOUNDED_STARTS_END_IN_S, EarlierLeases
from ._late_runs import HASH_LENGTH, BoundTask, encode_run_hashes, hash_run
from ._owner_record import (
    UNBOUNDED_LEASES_END_IN_S,
    Backlog,
    OwnerRecord,
    decode_owner_record,
    encode_owner_record,
)
from ._rows import (
    CANCEL_SUFFIX,
    EFFECT_TABLE,
    JOB_TABLE,
    OWNER_TABLE,
    STATE_TABLE,
    TASK_TABLE,
    cancel_row,
    effect_row,
    find_job_of_row,
    job_parts,
    job_row,
    owner_row,
    shard_name,
    state_row,
    tasks_row,
)
from ._standby import OwnerObservation, Standby
from ._store_clock import StoreClock
from ._waits import RunWait, StepWait, Waits, encoded_bytes
from ._writer import (
    LEASE_VALID_S,
    SHORT_LEASE_VALID_S,
    START_VALID_S,
    FencedWriter,
    OwnershipLost,
    longest_lease_s,
)

__all__ = [
    "CANCEL_SUFFIX",
    "EFFECT_TABLE",
    "HASH_LENGTH",
    "JOB_TABLE",
    "LEASE_VALID_S",
    "OWNER_TABLE",
    "SHORT_LEASE_VALID_S",
    "START_VALID_S",
    "STATE_TABLE",
    "TASK_TABLE",
    "UNBOUNDED_LEASES_END_IN_S",
    "UNBOUNDED_STARTS_END_IN_S",
    "Backlog",
    "BoundTask",
    "EarlierLeases",
    "FencedWriter",
    "OwnerObservation",
    "OwnerRecord",
    "OwnershipLost",
    "RunWait",
    "Standby",
    "StepWait",
    "StoreClock",
    "Waits",
    "cancel_row",
    "decode_owner_record",
    "effect_row",
    "encode_owner_record",
    "encode_run_hashes",
    "encoded_bytes",
    "find_job_of_row",
    "hash_run",
    "job_parts",
    "job_row",
    "longest_lease_s",
    "owner_row",
    "shard_name",
    "state_row",
    "tasks_row",
]
