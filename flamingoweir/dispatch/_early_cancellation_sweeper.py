"""Deletes cancellations of jobs that were never stored."""

from ..logs import get_logger
from ..ownership import (
    EARLY_CANCEL_KEPT_S,
    EARLY_CANCEL_TABLE,
    job_parts,
    read_early_cancel_ms,
)
from ..storage import (
    RowStore,
    RowVersionConflict,
    StoreOutcomeUnknown,
    StoreRefused,
    Transaction,
    VersionedRow,
)
from ._context import TermContext

log = get_logger()

#: Rows deleted in a transaction, which holds at most 100 entries; each row takes two.
ROWS_PER_TRANSACTION = 50


class EarlyCancellationSweeper:
    """Deletes the rows of `early_cancel_row` once no submission can be that late.

    The owner knows them from the store alone: it reads a page of rows at a time.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    store : RowStore
        Store with the rows.
    """

    def __init__(self, context: TermContext, store: RowStore):
        self._context = context
        self._store = store

    async def sweep(self) -> None:
        """Read all of these rows, and delete those that have expired."""
        for part in job_parts(self._context.writer.shard):
            try:
                await self._sweep_part(part)
            except (RowVersionConflict, StoreRefused, StoreOutcomeUnknown) as error:
                log.info("early_cancel_sweep_put_off", part=part, detail=str(error))

    async def _sweep_part(self, part: str) -> None:
        oldest_ms = self._context.wall_ms() - 1000 * EARLY_CANCEL_KEPT_S
        first, more = "", True
        while more:
            page = await self._store.read(EARLY_CANCEL_TABLE, part, first)
            expired = [r for r in page.rows if read_early_cancel_ms(r) < oldest_ms]
            for start in range(0, len(expired), ROWS_PER_TRANSACTION):
                await self._delete(expired[start : start + ROWS_PER_TRANSACTION])
            more = page.more and bool(page.rows)
            if more:
                first = page.rows[-1].id.key + "\0"

    async def _delete(self, rows: list[VersionedRow]) -> None:
        # A cancellation may have been repeated since.
        expected = [(row.id, row.version) for row in rows]
        deletes = [row.id for row in rows]
        await self._store.transact(Transaction(expected, (), deletes))
        log.info("early_cancels_expired", rows=len(rows))
