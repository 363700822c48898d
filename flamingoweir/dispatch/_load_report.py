"""Reports whether an owner keeps up with its work."""

import math

import anyio

from ..jobs import AttemptState, Job
from ..logs import get_logger
from ..registry import TableFollower
from ._context import TermContext

log = get_logger()

#: Seconds between measurements of the lag of the event loop.
MEASURE_INTERVAL_S = 0.1
#: Seconds between log lines.
LOG_INTERVAL_S = 2.0


class LoadReporter:
    """Measures how late the owner's event loop is and how current its view of jobs is.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    job_follower : TableFollower
        Follows the table of jobs.
    """

    def __init__(self, context: TermContext, job_follower: TableFollower):
        self._context = context
        self._job_follower = job_follower
        self._largest_lag_s = 0.0
        self._logged_s = context.clock.now()

    async def run(self) -> None:
        """Measure and log until cancelled."""
        clock = self._context.clock
        while True:
            started_s = clock.now()
            await anyio.sleep(MEASURE_INTERVAL_S)
            lag_s = max(0.0, clock.now() - started_s - MEASURE_INTERVAL_S)
            self._context.metrics.timing("loop_lag_ms", 1000 * lag_s)
            self._largest_lag_s = max(self._largest_lag_s, lag_s)
            if clock.now() - self._logged_s >= LOG_INTERVAL_S:
                self._log()

    def _log(self) -> None:
        now_s = self._context.clock.now()
        jobs = self._context.owner_state.job_by_id.values()
        log.info(
            "owner_load",
            fence=self._context.writer.fence,
            largest_lag_ms=round(1000 * self._largest_lag_s),
            jobs_age_ms=self._jobs_age_ms(now_s),
            jobs=len(jobs),
            parked=len(self._context.owner_state.parking.queue_by_id),
            held_kb=self._context.owner_state.parking.held_bytes // 1000,
            waiting=sum(1 for job in jobs if job.is_waiting),
            unconfirmed=sum(1 for job in jobs if is_unconfirmed(job)),
        )
        self._largest_lag_s = 0.0
        self._logged_s = now_s

    def _jobs_age_ms(self, now_s: float) -> int | None:
        """Return the age of the owner's copy of the table of jobs, if it has one."""
        synced_s = self._job_follower.last_synced_s
        return None if synced_s == -math.inf else round(1000 * (now_s - synced_s))


def is_unconfirmed(job: Job) -> bool:
    """Return whether a job counts as begun although no start of a task is confirmed."""
    if job.is_waiting or job.is_final or job.closed_occurrences:
        return False
    for step_run in job.run_by_step.values():
        if step_run.tasks.done_count:
            return False
        for _, task in step_run.tasks.kept():
            if task.failures or task.checkpoint:
                return False
            for attempt in task.attempt_by_run.values():
                if attempt.state is not AttemptState.ORDERED:
                    return False
    return True
