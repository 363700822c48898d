"""Tables, parts and keys of the rows that are kept in the store."""

import orjson

from ..hashing import stable_hash
from ..jobs import row_key
from ..storage import RowId, VersionedRow

#: Table of accepted jobs and their cancellations. The rows are kept for some time
#: after the end of a job.
JOB_TABLE = "jobs"
#: Table of cancellations that came before their job. Owners don't follow it.
EARLY_CANCEL_TABLE = "early_cancels"
#: Seconds for which these are kept: longer than a submission may be late, by a frozen
#: instance, its deadline of 30 s, a late write of the store and a client's own repeats.
EARLY_CANCEL_KEPT_S = 300.0
#: Table of the tasks of accepted jobs.
TASK_TABLE = "tasks"
#: Table of the states of jobs that have started or ended.
STATE_TABLE = "states"
#: Table of what owners have learnt of how images disturb each other.
EFFECT_TABLE = "effects"
#: Table of the owners of shards.
OWNER_TABLE = "owners"

#: Number of parts that the jobs of a shard are spread over. The store applies the
#: transactions of a part one after another, so submissions to a part that the owner
#: also writes to would delay the owner's writes.
JOB_PARTS = 8

OWNER_KEY = "owner"
EFFECT_KEY = "effects"
CANCEL_SUFFIX = ".cancel"


def job_parts(shard: str) -> tuple[str, ...]:
    """Return the parts of the job table that hold the jobs of a shard."""
    return tuple(f"{shard}.{number}" for number in range(JOB_PARTS))


def _job_part(shard: str, job: str) -> str:
    return f"{shard}.{stable_hash(job) % JOB_PARTS}"


def job_row(shard: str, job: str) -> RowId:
    """Return the id of the row of an accepted job."""
    return RowId(JOB_TABLE, _job_part(shard, job), job)


def cancel_row(shard: str, job: str) -> RowId:
    """Return the id of the row that cancels a job."""
    return RowId(JOB_TABLE, _job_part(shard, job), job + CANCEL_SUFFIX)


def early_cancel_row(shard: str, job: str, customer: str) -> RowId:
    """Return the id of the row that keeps a customer's job from being stored.

    It is in the part of the job row, so that a transaction can have both.

    Parameters
    ----------
    shard, job : str
        Name of the shard and id of the job.
    customer : str
        Name of the customer; empty if there is none.
    """
    key = f"{job}.{stable_hash(customer):016x}"
    return RowId(EARLY_CANCEL_TABLE, _job_part(shard, job), key)


def read_early_cancel_ms(row: VersionedRow) -> float:
    """Return when an early cancellation was written, in milliseconds since 1970.

    The result is 0 for a row that can't be read.
    """
    try:
        at_ms = orjson.loads(row.value or b"")["at_ms"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return 0.0
    return at_ms if isinstance(at_ms, (int, float)) else 0.0


def state_row(shard: str, job: str) -> RowId:
    """Return the id of the row of a job's state."""
    return RowId(STATE_TABLE, shard, job)


def tasks_row(shard: str, job: str, row: tuple[int, int, int]) -> RowId:
    """Return the id of a row of a job's tasks.

    Parameters
    ----------
    shard, job : str
        Name of the shard and id of the job.
    row : tuple of (int, int, int)
        Occurrence, step, and number of the row within the step.
    """
    return RowId(TASK_TABLE, shard, row_key(job, row))


def find_job_of_row(row: RowId) -> str | None:
    """Return the id of the job that a row of the owner's describes, or None."""
    if row.table == STATE_TABLE:
        return row.key
    if row.table == TASK_TABLE:
        return row.key.rsplit(".", 3)[0]
    return None


def owner_row(shard: str) -> RowId:
    """Return the id of the row that names the owner of a shard."""
    return RowId(OWNER_TABLE, shard, OWNER_KEY)


def effect_row(shard: str) -> RowId:
    """Return the id of the row with the effects that owners of a shard have learnt."""
    return RowId(EFFECT_TABLE, shard, EFFECT_KEY)


def shard_name(number: int) -> str:
    """Return the name of a shard, which is also the part that holds its rows."""
    return f"s{number}"
