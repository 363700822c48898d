"""Keeps a copy of a table current: reads all rows, then follows the changes."""

from collections.abc import Callable, Sequence

import anyio

from ..clock import Clock
from ..faults import FaultLog
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

#: Seconds between attempts while the store is unreachable.
RETRY_PAUSE_S = 0.15
#: Seconds for which an answer without changes is not trusted to be complete. A store
#: that is about to drop its history may withhold changes for up to a second.
WITHHELD_S = 1.1


class TableFollower:
    """Keeps a copy of a table current by passing rows and changes to a callback.

    Parameters
    ----------
    store : RowStore
        Store that holds the table.
    table : str
        Name of the table.
    parts : sequence of str
        Parts of the table that are followed.
    wait_s : float
        Seconds that one call waits for a change. An unchanged table is confirmed to
        be unchanged at this interval.
    apply_rows : callable
        Called with a list of rows and with whether they are the whole table.
    clock : Clock
        Monotonic clock of this instance.
    fault_log : FaultLog, optional
        Records unexpected errors, after which the whole table is read again.
    record_call : callable, optional
        Called with the time at which a call was sent and with whether the store has
        responded, at the end of each call.

    Attributes
    ----------
    interrupted : bool
        Whether a call has failed since the copy was last known to be current.
    last_synced_s : float
        Latest clock time, in seconds, at which the copy is known to have been
        current, if the store withholds no changes and waits as long as it is asked to;
        minus infinity if there is none.
    proof_sent_s : float
        Clock time, in seconds, at which the latest read was sent whose answer showed
        the copy to be current; minus infinity if there is none. It doesn't depend on
        how long the store waited, but changes of the last second before it may be
        missing.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        parts: Sequence[str],
        wait_s: float,
        apply_rows: Callable[[list[VersionedRow], bool], None],
        clock: Clock,
        fault_log: FaultLog | None = None,
        record_call: Callable[[float, bool], None] = lambda sent_s, answered: None,
    ):
        self._fault_log = fault_log or FaultLog()
        self._store = store
        self._table = table
        self._parts = parts
        self._wait_s = wait_s
        self._apply_rows = apply_rows
        self._clock = clock
        self._version = 0
        self._resumed = False
        self._reachable = True
        self._record_call = record_call
        self.interrupted = False
        self.last_synced_s = float("-inf")
        self.proof_sent_s = float("-inf")
        #: Version of an answer without changes, and when it was received.
        self._unchanged: tuple[int, float] | None = None

    def resume_from(self, version: int, synced_s: float) -> None:
        """Follow the changes after a version instead of reading the table first.

        Parameters
        ----------
        version : int
            Version of the store as of which the rows were read.
        synced_s : float
            Clock time, in seconds, at which that read was sent.
        """
        self._version = version
        self._resumed = True
        self.last_synced_s = synced_s
        self.proof_sent_s = synced_s

    async def run(self) -> None:
        """Follow the table until cancelled."""
        synced = self._resumed
        while True:
            sent_s = self._clock.now()
            try:
                if synced:
                    unchanged = await self._read_changes(sent_s)
                else:
                    await self._read_table()
                    unchanged = False
                    synced = True
            except HistoryTruncated as error:
                self._record_call(sent_s, True)
                log.info("feed_history_gone", table=self._table, detail=str(error))
                synced = False
                continue
            except (StoreRefused, StoreOutcomeUnknown) as error:
                self._record_failure(error)
                # A refusal by the rate limit is a response.
                self._record_call(sent_s, getattr(error, "overloaded", False))
                # The failed call may have missed changes, so the table is read again.
                synced = False
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            except Exception as error:
                self._fault_log.record("feed_failed", error, table=self._table)
                synced = False
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            self._record_call(sent_s, True)
            # A response without changes is sent only at the end of the wait.
            self._record_success(sent_s + self._wait_s if unchanged else sent_s)
            self.proof_sent_s = sent_s

    async def _read_table(self) -> None:
        page = await read_all(self._store, self._table, self._parts)
        self._apply_rows(page.rows, True)
        self._version = page.version
        self._unchanged = None

    async def _read_changes(self, sent_s: float) -> bool:
        page = await self._store.follow(self._table, self._version, self._wait_s)
        rows = [row for row in page.rows if row.id.part in self._parts]
        if rows:
            self._apply_rows(rows, False)
        if page.rows:
            self._version = max(self._version, page.version)
            self._unchanged = None
            return False
        self._advance_unchanged(page.version, sent_s)
        return True

    def _advance_unchanged(self, version: int, sent_s: float) -> None:
        """Follow from the version of an answer without changes, once it is complete.

        If the store has withheld changes up to that version, it drops the history
        within WITHHELD_S, and a call from the earlier version fails. A call from the
        later version would never receive them.
        """
        if self._unchanged is not None:
            unchanged_version, received_s = self._unchanged
            if sent_s - received_s < WITHHELD_S:
                return
            self._version = max(self._version, unchanged_version)
        self._unchanged = version, self._clock.now()

    def _record_success(self, synced_s: float) -> None:
        self.interrupted = False
        self.last_synced_s = max(self.last_synced_s, min(synced_s, self._clock.now()))
        if not self._reachable:
            self._reachable = True
            log.info("feed_regained", table=self._table, version=self._version)

    def _record_failure(self, error: Exception) -> None:
        self.interrupted = True
        if self._reachable:
            self._reachable = False
            log.warning("feed_lost", table=self._table, detail=str(error))
