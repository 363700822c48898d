"""Follows one table: reads it whole, then its changes, and knows how fresh that is."""

from collections.abc import Callable, Sequence

import anyio

from ..clock import Clock
from ..logs import get_logger
from ..storage import (
    HistoryTruncated,
    RowStore,
    StoreOutcomeUnknown,
    StoreRefused,
    VersionedRow,
    read_all,
)

log = get_logger()

#: Seconds between attempts while the store does not answer.
RETRY_PAUSE_S = 0.15


class TableFollower:
    """A copy of a table that is kept up to date.

    Parameters
    ----------
    store : RowStore
        The store.
    table : str
        What is followed.
    parts : sequence of str
        The parts of it.
    wait_s : float
        Seconds that one call waits for a change; an unchanged table is known to be
        unchanged this often.
    apply_rows : callable
        Called with rows and whether they are the whole table.
    clock : Clock
        This instance's clock.

    Attributes
    ----------
    last_synced_s : float
        When the copy was last known to be up to date; minus infinity: never.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        parts: Sequence[str],
        wait_s: float,
        take: Callable[[list[VersionedRow], bool], None],
        clock: Clock,
    ):
        self._store = store
        self._table = table
        self._parts = parts
        self._wait_s = wait_s
        self._take = take
        self._clock = clock
        self._version = 0
        self._reachable = True
        self.last_synced_s = float("-inf")

    async def run(self) -> None:
        """Follow the table until cancelled."""
        whole = False
        while True:
            sent_s = self._clock.now()
            try:
                if whole:
                    waited = await self._follow()
                else:
                    await self._read()
                    waited = False
                    whole = True
            except HistoryTruncated as error:
                log.info("feed_history_gone", table=self._table, detail=str(error))
                whole = False
                continue
            except (StoreRefused, StoreOutcomeUnknown) as error:
                self._note_lost(error)
                # A feed that broke may have hidden changes; the table is read again.
                whole = False
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            # A feed without changes answers only after its whole wait.
            self._note_answered(sent_s + self._wait_s if waited else sent_s)

    async def _read(self) -> None:
        page = await read_all(self._store, self._table, self._parts)
        self._take(page.rows, True)
        self._version = page.version

    async def _follow(self) -> bool:
        page = await self._store.follow(self._table, self._version, self._wait_s)
        rows = [row for row in page.rows if row.id.part in self._parts]
        if rows:
            self._take(rows, False)
        self._version = max(self._version, page.version)
        return not page.rows

    def _note_answered(self, complete_s: float) -> None:
        self.last_synced_s = max(self.last_synced_s, min(complete_s, self._clock.now()))
        if not self._reachable:
            self._reachable = True
            log.info("feed_regained", table=self._table, version=self._version)

    def _note_lost(self, error: Exception) -> None:
        if self._reachable:
            self._reachable = False
            log.warning("feed_lost", table=self._table, detail=str(error))
