"""Jobs of several steps: specification, state and encoding for the store."""

from ._attempt import Attempt, AttemptState, Outcome, TaskId
from ._blame import MAX_BLAMED_TASKS, MAX_SUSPECTED_RUNS, Suspicion
from ._index_set import IndexSet
from ._job import (
    FINAL_STATES,
    MAX_IDLE_STEPS,
    TASKS_PER_ROW,
    Job,
    JobState,
    StepRun,
)
from ._record import (
    StateRecord,
    decode_customer,
    decode_spec,
    decode_state,
    encode_spec,
    encode_state,
    fit_state,
)
from ._spec import JobSpec, QueuePolicy, StepSpec, find_invalid_dependency
from ._task_rows import decode_attempts, encode_tasks, restore_tasks, row_key
from ._task_table import Task

__all__ = [
    "FINAL_STATES",
    "MAX_BLAMED_TASKS",
    "MAX_IDLE_STEPS",
    "MAX_SUSPECTED_RUNS",
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
    "fit_state",
    "restore_tasks",
    "row_key",
]
