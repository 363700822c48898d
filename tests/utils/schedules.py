"""Builders of scheduled jobs, and of jobs that are in the store already."""

from flamingoweir.jobs import QueuePolicy, encode_spec
from flamingoweir.ownership import job_row
from tests.utils.cluster import SERVICE, Cluster, make_job

#: Seconds from the submission to the first due time.
LEAD_S = 1.0
#: Occurrences that are due of a job that is 60 days late, with one a minute.
DUE = 60 * 24 * 60


def make_scheduled(cluster: Cluster, number: int, *steps, interval_s, times, **fields):
    """Return a job whose first occurrence is due in `LEAD_S`."""
    return make_job(
        number,
        *steps,
        first_due_ms=round(cluster.wall_ms() + 1000 * LEAD_S),
        interval_ms=round(1000 * interval_s),
        occurrences=times,
        **fields,
    )


def make_late(number: int, *steps, due: int = DUE, **fields):
    """Return a scheduled job of which many occurrences are due at once."""
    policy = QueuePolicy(SERVICE, 1, 3, 2.0, 1.0)
    return make_job(
        number,
        *steps,
        first_due_ms=1,
        interval_ms=1,
        occurrences=due,
        policy=policy,
        **fields,
    )


def store_job(cluster, job) -> None:
    """Store a job as an instance does that does not know yet that the owner is full."""
    cluster.spec_by_id[job.id] = job
    cluster.rows.put(job_row("s0", job.id), encode_spec(job))
