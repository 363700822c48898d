"""Calls to the store on behalf of a submitter, repeated until its deadline."""

import random

import anyio

from ..clock import Clock
from ..errors import (
    outcome_unknown_error,
    store_rejected_error,
    store_unavailable_error,
)
from ..logs import get_logger
from ..metrics import Metrics
from ..storage import (
    RowId,
    RowStore,
    StoreOutcomeUnknown,
    StoreRefused,
    StoreRejected,
    Transaction,
    VersionedRow,
)
from ._store_monitor import StoreMonitor

log = get_logger()

#: Mean pause before a failed call to the store is repeated, in seconds.
RETRY_PAUSE_S = 0.1
#: Shortest timeout of a call to the store, in seconds. An unloaded store takes 5 ms.
MIN_CALL_TIMEOUT_S = 0.05


class StoreCalls:
    """Reads and writes rows; repeats calls that failed.

    Parameters
    ----------
    store : RowStore
        The store.
    clock : Clock
        Monotonic clock of this instance.
    generator : random.Random
        Source of the jitter of retry pauses.
    metrics : Metrics
        Receives counters.
    monitor : StoreMonitor
        Observes every call.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        generator: random.Random,
        metrics: Metrics,
        monitor: StoreMonitor,
    ):
        self._store = store
        self._clock = clock
        self._generator = generator
        self._metrics = metrics
        self._monitor = monitor

    async def transact(self, transaction: Transaction, timeout_s: float) -> int:
        """Apply a transaction and return its version; retry until its outcome is known.

        Raises
        ------
        RowVersionConflict
            If a precondition did not hold.
        FlamingoweirError
            If the outcome is still unknown, or the store still refuses, at the end of
            `timeout_s`.
        """
        started_s = self._clock.now()
        outcome_unknown = False
        while True:
            remaining_s = timeout_s - (self._clock.now() - started_s)
            try:
                with anyio.fail_after(max(MIN_CALL_TIMEOUT_S, remaining_s)):
                    return await self._monitor.call(
                        lambda: self._store.transact(transaction)
                    )
            except TimeoutError:
                outcome_unknown = True
                detail = "no response before the submitter's deadline"
            except StoreOutcomeUnknown as error:
                outcome_unknown = True
                self._metrics.incr("store_silent")
                detail = str(error)
            except StoreRejected as error:
                self._metrics.incr("store_rejected")
                log.error("store_rejected_call", detail=str(error))
                if outcome_unknown:
                    raise outcome_unknown_error() from error
                raise store_rejected_error() from error
            except StoreRefused as error:
                self._metrics.incr("store_refused")
                detail = str(error)
            if self._clock.now() - started_s + RETRY_PAUSE_S >= timeout_s:
                log.warning(
                    "store_gave_no_answer", unsure=outcome_unknown, detail=detail
                )
                raise (
                    outcome_unknown_error()
                    if outcome_unknown
                    else store_unavailable_error()
                )
            await anyio.sleep(RETRY_PAUSE_S * self._generator.uniform(0.5, 1.5))

    async def read_row(self, row: RowId, until_s: float) -> VersionedRow | None:
        """Return a row, or None if it does not exist; retry failed reads.

        A read ends at ``until_s`` on the instance's clock, also one that still waits
        for a connection: the submitter can then ask another instance.
        """
        while True:
            remaining_s = until_s - self._clock.now()
            try:
                with anyio.fail_after(max(MIN_CALL_TIMEOUT_S, remaining_s)):
                    page = await self._monitor.call(
                        lambda: self._store.read(
                            row.table, row.part, row.key, row.key + "\0", 1
                        )
                    )
                return page.rows[0] if page.rows else None
            except TimeoutError:
                detail = "no response before the submitter's deadline"
            except (StoreRefused, StoreOutcomeUnknown) as error:
                detail = str(error)
            if self._clock.now() + RETRY_PAUSE_S >= until_s:
                log.warning("store_gave_no_answer", row=row.key, detail=detail)
                raise store_unavailable_error()
            await anyio.sleep(RETRY_PAUSE_S * self._generator.uniform(0.5, 1.5))
