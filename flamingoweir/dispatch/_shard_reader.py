"""Reads the tables of a shard, and the list of runners, for a new owner."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio

from ..clock import Clock
from ..ownership import JOB_TABLE, STATE_TABLE, TASK_TABLE, OwnershipLost, job_parts
from ..storage import (
    RowPage,
    RowStore,
    StoreOutcomeUnknown,
    StoreRefused,
    VersionedRow,
    read_all,
)

#: Seconds before a failed read of the shard's tables is repeated.
READ_RETRY_PAUSE_S = 0.1


@dataclass(frozen=True, slots=True)
class ShardTables:
    """The rows of a shard, and the list of runners.

    Attributes
    ----------
    states, tasks : list of VersionedRow
        States of jobs, and tasks.
    jobs : RowPage
        Accepted jobs and cancellations.
    runners : RowPage or None
        List of runners; None if it could not be read.
    read_s : float
        When the first reads were sent, on the owner's clock, in seconds.
    """

    states: list[VersionedRow]
    tasks: list[VersionedRow]
    jobs: RowPage
    runners: RowPage | None
    read_s: float


class ShardReader:
    """Reads the tables of a shard and the list of runners at the same time.

    The tables need not be read in any order: only the owner writes states and tasks,
    and a state is deleted after the job row is gone, so that no job without a state is
    one that has ended. The list of runners, which is followed anyway, is read once.

    Parameters
    ----------
    store : RowStore
        Store with the tables.
    shard : str
        Name of the shard.
    runner_table : str
        Name of the table in which runners announce themselves.
    clock : Clock
        The owner's clock.
    may_retry : callable
        Returns whether a failed read may be repeated.
    record_failure : callable
        Called for each failed read.
    """

    def __init__(
        self,
        store: RowStore,
        shard: str,
        runner_table: str,
        clock: Clock,
        may_retry: Callable[[], bool],
        record_failure: Callable[[], None],
    ):
        self._store = store
        self._shard = shard
        self._runner_table = runner_table
        self._clock = clock
        self._may_retry = may_retry
        self._record_failure = record_failure
        self._page_by_table: dict[str, RowPage] = {}
        self._errors: list[OwnershipLost] = []

    async def read(self) -> ShardTables:
        """Return the rows of all tables.

        Raises
        ------
        OwnershipLost
            If they can't be read in time.
        """
        sent_s = self._clock.now()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_table, STATE_TABLE, (self._shard,))
            tasks.start_soon(self._read_table, TASK_TABLE, (self._shard,))
            tasks.start_soon(self._read_table, JOB_TABLE, job_parts(self._shard))
            tasks.start_soon(self._read_runners)
        if self._errors:
            raise self._errors[0]
        return ShardTables(
            self._page_by_table[STATE_TABLE].rows,
            self._page_by_table[TASK_TABLE].rows,
            self._page_by_table[JOB_TABLE],
            self._page_by_table.get(self._runner_table),
            sent_s,
        )

    async def _read_runners(self) -> None:
        try:
            page = await read_all(self._store, self._runner_table, ("",))
        except (StoreRefused, StoreOutcomeUnknown):
            self._record_failure()
            return
        self._page_by_table[self._runner_table] = page

    async def _read_table(self, table: str, parts: Sequence[str]) -> None:
        while True:
            try:
                self._page_by_table[table] = await read_all(self._store, table, parts)
                return
            except (StoreRefused, StoreOutcomeUnknown) as error:
                self._record_failure()
                if not self._may_retry():
                    message = f"can't read the shard's tables: {error}"
                    self._errors.append(OwnershipLost(message))
                    return
                await anyio.sleep(READ_RETRY_PAUSE_S)
