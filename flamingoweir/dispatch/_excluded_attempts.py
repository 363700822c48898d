"""Restores the attempts of jobs that a new owner excludes, so that they count."""

from collections.abc import Iterable, Mapping

from ..faults import FaultLog
from ..jobs import JobSpec, decode_attempts, decode_spec
from ..logs import get_logger
from ..storage import VersionedRow
from ._owner_state import OwnerState

log = get_logger()


def restore_excluded_attempts(
    owner_state: OwnerState,
    task_rows: Iterable[VersionedRow],
    job_rows: Iterable[VersionedRow],
    now_s: float,
) -> None:
    """Allocate resources for the attempts of jobs that aren't loaded, and stop them.

    A job that was set aside, or can't be read, may have runs that earlier owners have
    started. They use resources of their runners and count against the cap of their
    customer until a runner no longer lists them or the leases of earlier owners have
    lapsed.

    Parameters
    ----------
    owner_state : OwnerState
        Its jobs and their attempts have been restored.
    task_rows, job_rows : iterable of VersionedRow
        All rows of the shard's tables of tasks and of jobs.
    now_s : float
        Time on the owner's clock, in seconds.
    """
    rows_by_job: dict[str, list[VersionedRow]] = {}
    for row in task_rows:
        job_id = row.id.key.rsplit(".", 3)[0]
        if job_id not in owner_state.job_by_id and row.value is not None:
            rows_by_job.setdefault(job_id, []).append(row)
    if not rows_by_job:
        return
    value_by_job = {row.id.key: row.value for row in job_rows}
    for job_id, rows in rows_by_job.items():
        spec = _read_spec(owner_state.fault_log, value_by_job, job_id)
        if spec is None:
            log.warning("attempts_not_counted", job=job_id, task_rows=len(rows))
            continue
        count = 0
        for row in rows:
            with owner_state.fault_log.contain(
                "attempts_not_counted", key=row.id.key, customer=spec.customer
            ):
                count += _restore_row(owner_state, spec, row, now_s)
        log.info(
            "excluded_attempts_restored",
            job=job_id,
            customer=spec.customer,
            attempts=count,
        )


def _read_spec(
    fault_log: FaultLog, value_by_job: Mapping[str, bytes | None], job_id: str
) -> JobSpec | None:
    value = value_by_job.get(job_id)
    if value is None:
        return None
    spec = None
    with fault_log.contain("job_unreadable", job=job_id):
        spec = decode_spec(value)
    return spec


def _restore_row(
    owner_state: OwnerState, spec: JobSpec, row: VersionedRow, now_s: float
) -> int:
    """Restore the attempts of a row of tasks; return how many."""
    occurrence, step, number = map(int, row.id.key.rsplit(".", 3)[1:])
    step_spec = spec.steps[step]
    attempts = decode_attempts(spec.id, (occurrence, step, number), row.value)
    for attempt in attempts:
        runner = owner_state.find_or_add_runner(attempt.runner)
        allocation = runner.find(attempt.task, attempt.run)
        if allocation is not None:
            # The job was excluded after this attempt had been restored.
            owner_state.stop_attempt(allocation.attempt, "job_excluded")
            continue
        attempt.created_s = attempt.last_progress_s = now_s
        allocation = owner_state.customer_usage.restore(
            runner, attempt, step_spec, spec.customer
        )
        # As for the attempts of other jobs, see `OwnerState.restore_allocations`.
        allocation.expect_listed_after_s = float("-inf")
        allocation.started_s = float("-inf")
        owner_state.stop_attempt(attempt, "job_excluded")
    return len(attempts)
