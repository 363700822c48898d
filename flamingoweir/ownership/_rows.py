"""Names of the rows that this system keeps in the store."""

from ..hashing import stable_hash
from ..jobs import row_key
from ..storage import RowId

#: Accepted jobs and their cancellations, until some time after their end.
JOB_TABLE = "jobs"
#: Tasks of these jobs.
TASK_TABLE = "tasks"
#: States of jobs that have begun or ended.
STATE_TABLE = "states"
#: Who owns a shard.
OWNER_TABLE = "owners"

#: Parts that the jobs of a shard are spread over: a part of the store applies one
#: transaction after another, and submissions would hold up the owner's writes.
JOB_PARTS = 8

OWNER_KEY = "owner"
CANCEL_SUFFIX = ".cancel"


def job_parts(shard: str) -> tuple[str, ...]:
    """Return the parts of the table of jobs that belong to a shard."""
    return tuple(f"{shard}.{number}" for number in range(JOB_PARTS))


def _job_part(shard: str, job: str) -> str:
    return f"{shard}.{stable_hash(job) % JOB_PARTS}"


def job_row(shard: str, job: str) -> RowId:
    """Return the row of an accepted job."""
    return RowId(JOB_TABLE, _job_part(shard, job), job)


def cancel_row(shard: str, job: str) -> RowId:
    """Return the row that cancels a job."""
    return RowId(JOB_TABLE, _job_part(shard, job), job + CANCEL_SUFFIX)


def state_row(shard: str, job: str) -> RowId:
    """Return the row of a job's state."""
    return RowId(STATE_TABLE, shard, job)


def tasks_row(shard: str, job: str, row: tuple[int, int, int]) -> RowId:
    """Return a row of a job's tasks."""
    return RowId(TASK_TABLE, shard, row_key(job, row))


def owner_row(shard: str) -> RowId:
    """Return the row that says who owns a shard."""
    return RowId(OWNER_TABLE, shard, OWNER_KEY)


def shard_name(number: int) -> str:
    """Return the name of a shard, which is also the part of its rows."""
    return f"s{number}"
