"""Deletes the rows of jobs after a retention time."""

import itertools

import anyio

from ..logs import get_logger
from ..ownership import cancel_row, job_row
from ..storage import (
    RowId,
    RowStore,
    RowVersionConflict,
    StoreOutcomeUnknown,
    StoreRefused,
    Transaction,
)
from ._context import TermContext
from ._early_cancellation_sweeper import EarlyCancellationSweeper

log = get_logger()

#: Seconds for which the rows of an ended job are kept. Submitters may request its state
#: for two minutes, and may repeat a submission some seconds after it was accepted.
RETENTION_S = 900.0
#: Seconds between sweeps.
SWEEP_INTERVAL_S = 20.0
#: Number of sweeps for each one of early cancellations, which reads all of them.
SWEEPS_BY_EARLY_SWEEP = 3
#: Largest number of jobs deleted in a sweep, to keep sweeps small beside other writes.
MAX_JOBS_PER_SWEEP = 200
#: Jobs deleted in a transaction, which holds at most 100 entries; each job takes two.
JOBS_PER_TRANSACTION = 40


class RetentionSweeper:
    """Deletes the rows of expired jobs, so that the tables don't grow without bound.

    The state row is deleted last: to a new owner, a job without a state row looks like
    one that has not ended.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    store : RowStore
        Store with the rows of the jobs.
    """

    def __init__(self, context: TermContext, store: RowStore):
        self._context = context
        self._owner_state = context.owner_state
        self._store = store
        self._early_cancellations = EarlyCancellationSweeper(context, store)

    async def run(self) -> None:
        """Delete expired jobs and early cancellations until cancelled."""
        for number in itertools.count(1):
            await anyio.sleep(SWEEP_INTERVAL_S)
            await self._sweep()
            if number % SWEEPS_BY_EARLY_SWEEP == 0:
                await self._early_cancellations.sweep()

    async def _sweep(self) -> None:
        oldest_ms = self._context.wall_ms() - 1000 * RETENTION_S
        expired_by_part: dict[str, list[str]] = {}
        found = 0
        for job_id, ended_ms in self._owner_state.ended_ms_by_job.items():
            if ended_ms >= oldest_ms or found >= MAX_JOBS_PER_SWEEP:
                continue
            found += 1
            part = job_row(self._context.writer.shard, job_id).part
            expired_by_part.setdefault(part, []).append(job_id)
        for jobs in expired_by_part.values():
            for first in range(0, len(jobs), JOBS_PER_TRANSACTION):
                await self._delete(jobs[first : first + JOBS_PER_TRANSACTION])

    async def _delete(self, jobs: list[str]) -> None:
        shard = self._context.writer.shard
        rows: list[RowId] = []
        for job_id in jobs:
            rows.append(job_row(shard, job_id))
            rows.append(cancel_row(shard, job_id))
        try:
            await self._store.transact(Transaction((), (), rows))
        except (RowVersionConflict, StoreRefused, StoreOutcomeUnknown) as error:
            log.info("sweep_put_off", jobs=len(jobs), detail=str(error))
            return
        for job_id in jobs:
            del self._owner_state.ended_ms_by_job[job_id]
        self._owner_state.expired_job_ids.extend(jobs)
        self._owner_state.write_wakeup.set()
        log.info("jobs_expired", jobs=len(jobs))
