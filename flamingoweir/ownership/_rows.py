"""Names of the rows that this system keeps in the store."""

from ..jobs import row_key
from ..storage import RowId

#: Accepted jobs that have not ended, and their cancellations.
JOBS = "jobs"
#: Tasks of these jobs.
TASKS = "tasks"
#: States of jobs that have begun or ended.
STATES = "states"
#: Who owns a shard.
OWNERS = "owners"

OWNER_KEY = "owner"
CANCEL_SUFFIX = ".cancel"


def job_row(shard: str, job: str) -> RowId:
    """Return the row of an accepted job."""
    return RowId(JOBS, shard, job)


def cancel_row(shard: str, job: str) -> RowId:
    """Return the row that cancels a job."""
    return RowId(JOBS, shard, job + CANCEL_SUFFIX)


def state_row(shard: str, job: str) -> RowId:
    """Return the row of a job's state."""
    return RowId(STATES, shard, job)


def tasks_row(shard: str, job: str, row: tuple[int, int, int]) -> RowId:
    """Return a row of a job's tasks."""
    return RowId(TASKS, shard, row_key(job, row))


def owner_row(shard: str) -> RowId:
    """Return the row that says who owns a shard."""
    return RowId(OWNERS, shard, OWNER_KEY)


def shard_name(number: int) -> str:
    """Return the name of a shard, which is also the part of its rows."""
    return f"s{number}"
