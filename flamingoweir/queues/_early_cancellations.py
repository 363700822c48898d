"""Cancellations of jobs that are not stored, and may still be."""

import random
from collections.abc import Callable

import anyio
import orjson

from ..clock import Clock
from ..errors import ErrorCode, FlamingoweirError
from ..jobs import JobSpec
from ..logs import get_logger
from ..metrics import Metrics
from ..ownership import (
    EARLY_CANCEL_KEPT_S,
    early_cancel_row,
    job_row,
    read_early_cancel_ms,
    shard_name,
)
from ..policy import CancellationBudget
from ..storage import RowVersionConflict, Transaction, VersionedRow
from ._store_calls import StoreCalls

log = get_logger()

#: Number of these cancellations that an instance writes at the same time.
MAX_IN_FLIGHT = 2
#: Range of the factor of Retry-After; random, so that clients don't return together.
RETRY_JITTER = (1.0, 2.0)


class EarlyCancellations:
    """Keeps a job that is not stored from being stored.

    A submission may be under way on another instance, which is frozen, or in the store.
    Its transaction expects that there is no row of such a cancellation, and that of the
    cancellation expects that there is no row of the job.

    Parameters
    ----------
    calls : StoreCalls
        Calls to the store.
    clock : Clock
        Monotonic clock of this instance.
    wall_ms : callable
        Returns the wall-clock time in milliseconds since 1970.
    generator : random.Random
        Source of jitter.
    metrics : Metrics
        Receives counters.
    """

    def __init__(
        self,
        calls: StoreCalls,
        clock: Clock,
        wall_ms: Callable[[], float],
        generator: random.Random,
        metrics: Metrics,
    ):
        self._calls = calls
        self._clock = clock
        self._wall_ms = wall_ms
        self._generator = generator
        self._metrics = metrics
        self._budget = CancellationBudget()
        self._slots = anyio.Semaphore(MAX_IN_FLIGHT)

    async def record(self, job_id: str, customer: str, until_s: float) -> bool:
        """Cancel a job without a row durably; return False if it was stored meanwhile.

        Parameters
        ----------
        job_id : str
            Id of the job.
        customer : str
            Name of the customer who asks, whose submission alone is kept out; "": none.
        until_s : float
            Time on the instance's clock, in seconds, at which calls to the store end.

        Raises
        ------
        FlamingoweirError
            With code OVERLOADED if there are too many of them, or if the store can't be
            read, or does not confirm the cancellation in time.
        """
        row = early_cancel_row(shard_name(0), job_id, customer)
        stored = await self._calls.read_row(row, until_s)
        if stored is not None and self._is_fresh(stored):
            return True
        wait_s = self._budget.admit(customer, self._clock.now())
        if wait_s > 0:
            raise self._refuse(job_id, customer, wait_s)
        version = 0 if stored is None else stored.version
        transaction = Transaction(
            [(job_row(shard_name(0), job_id), 0), (row, version)],
            [(row, orjson.dumps({"at_ms": round(self._wall_ms())}))],
        )
        with anyio.move_on_after(until_s - self._clock.now()) as waiting:
            await self._slots.acquire()
        if waiting.cancelled_caught:
            raise self._refuse(job_id, customer, 1.0)
        try:
            await self._calls.transact(transaction, until_s - self._clock.now())
        except RowVersionConflict as conflict:
            # Written by another request, or by this one without a response.
            job = conflict.row_by_id.get(job_row(shard_name(0), job_id))
            return is_present(conflict.row_by_id.get(row)) and not is_present(job)
        finally:
            self._slots.release()
        log.info("cancel_accepted_early", job=job_id, customer=customer)
        self._metrics.incr("cancels_accepted_early")
        return True

    def refuse_submission(self, spec: JobSpec) -> FlamingoweirError:
        """Return the error for a job that was cancelled before it was stored."""
        log.info("cancelled_job_refused", job=spec.id, queue=spec.queue)
        self._metrics.incr("jobs_refused_cancelled")
        return FlamingoweirError(
            ErrorCode.CONFLICT,
            f"job {spec.id} was not accepted: it was cancelled before; submit it under "
            "another id",
        )

    def _refuse(self, job_id: str, customer: str, wait_s: float) -> FlamingoweirError:
        pause_s = max(1.0, wait_s) * self._generator.uniform(*RETRY_JITTER)
        log.info(
            "early_cancel_refused",
            job=job_id,
            customer=customer,
            retry_after_s=round(pause_s, 1),
        )
        self._metrics.incr("cancels_refused_early")
        return FlamingoweirError(
            ErrorCode.OVERLOADED,
            f"job {job_id} is not known, and too many such jobs are cancelled here; "
            f"nothing was cancelled, try again in {pause_s:.0f} s",
            retry_after_s=pause_s,
        )

    def _is_fresh(self, stored: VersionedRow) -> bool:
        """Return whether a cancellation is kept for long enough from now on."""
        age_s = (self._wall_ms() - read_early_cancel_ms(stored)) / 1000
        return age_s < EARLY_CANCEL_KEPT_S / 2


def is_present(row: VersionedRow | None) -> bool:
    """Return whether a row in the store's response to a failed precondition exists."""
    return row is not None and not row.deleted and row.version > 0
