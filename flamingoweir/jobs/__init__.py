"""Jobs of several steps: specification, state and encoding for the store."""

from ._attempt import Attempt, AttemptState, Outcome, TaskId
from ._index_set import IndexSet
from ._job import (
    FINAL_STATES,
    MAX_IDLE_STEPS,
    TASKS_PER_ROW,
    Job,
    JobState,
    StepRun,
    Suspicion,
)
from ._record import (
    StateRecord,
    decode_attempts,
    decode_customer,
    decode_spec,
    decode_state,
    encode_spec,
    encode_state,
    encode_tasks,
    restore_tasks,
    row_key,
)
from ._spec import JobSpec, QueuePolicy, StepSpec, find_invalid_dependency
from ._task_table import Task

__all__ = [
    "FINAL_STATES",
    "MAX_IDLE_STEPS",
    "TASKS_PER_ROW",
    "Attempt",
    "AttemptState",
    "IndexSet",
    "Job",
    "JobSpec",
    "JobState",
    "Outcome",
    "QueuePolicy",
    "StateRecord",
    "StepRun",
    "StepSpec",
    "Suspicion",
    "Task",
    "TaskId",
    "decode_attempts",
    "decode_customer",
    "decode_spec",
    "decode_state",
    "encode_spec",
    "encode_state",
    "encode_tasks",
    "find_invalid_dependency",
    "restore_tasks",
    "row_key",
]
