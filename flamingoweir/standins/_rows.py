"""A row store in memory, with injected outages, lost responses and lost history."""

import anyio

from ..storage import (
    DEFAULT_MAX_ROW_BYTES,
    HistoryTruncated,
    RowId,
    RowPage,
    RowStore,
    RowVersionConflict,
    StoreOutcomeUnknown,
    StoreRefused,
    StoreRejected,
    Transaction,
    VersionedRow,
)

#: Seconds between checks for changes in a call of `follow` that waits.
FOLLOW_CHECK_INTERVAL_S = 0.01


class MemoryRows:
    """The rows of the store, shared by all instances; see `RowsLink`.

    Attributes
    ----------
    row_by_id : dict of RowId to VersionedRow
        All rows that exist.
    max_row_bytes : int
        Largest size of a row's value, in bytes.
    rejected_rows : set of RowId
        Rows that can't be written, whatever their value.
    version : int
        Version of the latest transaction; 0 before the first.
    feeds_withheld : bool
        Whether feeds get no changes, as from a store that is about to drop its history.
    """

    #: Seconds that the store's clock shows at time 0 of the event loop.
    CLOCK_OFFSET_S = 5000.0

    def __init__(self) -> None:
        self.row_by_id: dict[RowId, VersionedRow] = {}
        self.max_row_bytes = DEFAULT_MAX_ROW_BYTES
        self.rejected_rows: set[RowId] = set()
        self.version = 0
        self.feeds_withheld = False
        self._history: list[VersionedRow] = []
        self._discarded_version = 0
        self._discarded_version_by_table: dict[str, int] = {}

    def now_s(self) -> float:
        """Return the time on the store's clock, in seconds."""
        return anyio.current_time() + self.CLOCK_OFFSET_S

    def apply(self, transaction: Transaction) -> int:
        """Apply a transaction atomically and return its version.

        Raises
        ------
        RowVersionConflict
            If a row has another version than expected; nothing is written.
        """
        current_rows = []
        versions_match = True
        for row_id, version in transaction.expected:
            row = self.row_by_id.get(row_id)
            if row is not None:
                current_rows.append(row)
            versions_match = versions_match and (row.version if row else 0) == version
        if not versions_match:
            raise RowVersionConflict(current_rows)
        self.version += 1
        for row_id, value in transaction.puts:
            row = VersionedRow(row_id, value, self.version)
            self.row_by_id[row_id] = row
            self._history.append(row)
        for row_id in transaction.deletes:
            if self.row_by_id.pop(row_id, None) is not None:
                tombstone = VersionedRow(row_id, None, self.version, deleted=True)
                self._history.append(tombstone)
        return self.version

    def put(self, row_id: RowId, value: bytes) -> int:
        """Write a row without a precondition, as operators and runners do."""
        return self.apply(Transaction((), [(row_id, value)], ()))

    def delete(self, row_id: RowId) -> int:
        """Delete a row without a precondition."""
        return self.apply(Transaction((), (), [row_id]))

    def rows(self, table: str, part: str) -> list[VersionedRow]:
        """Return the rows of a part of a table, sorted by key."""
        found = []
        for row_id in sorted(self.row_by_id, key=lambda row: row.key):
            if (row_id.table, row_id.part) == (table, part):
                found.append(self.row_by_id[row_id])
        return found

    def changes(self, table: str, after: int) -> list[VersionedRow]:
        """Return the latest state of each row changed after a version.

        Raises
        ------
        HistoryTruncated
            If the history after this version was discarded.
        """
        discarded_version = max(
            self._discarded_version, self._discarded_version_by_table.get(table, 0)
        )
        if after < discarded_version:
            raise HistoryTruncated(f"table {table!r} after version {after}")
        if self.feeds_withheld:
            return []
        latest: dict[RowId, VersionedRow] = {}
        for row in self._history:
            if row.id.table == table and row.version > after:
                latest[row.id] = row
        return sorted(latest.values(), key=lambda row: row.version)

    def discard_history(self) -> None:
        """Discard the history, so that followers must read whole tables again."""
        self._discarded_version = self.version
        self._history.clear()

    def discard_table_history(self, table: str) -> None:
        """Discard the history of one table, up to its latest change."""
        kept = []
        for row in self._history:
            if row.id.table != table:
                kept.append(row)
                continue
            self._discarded_version_by_table[table] = row.version
        self._history = kept


class RowsLink(RowStore):
    """An instance's link to the rows, with faults that a test can inject.

    Parameters
    ----------
    rows : MemoryRows
        The rows.
    delay_s : float
        Seconds that a call takes.

    Attributes
    ----------
    down : bool
        Whether every call is refused.
    silent : bool
        Whether calls time out without a response; they have no effect.
    lose_answers : int
        How many of the next transactions time out although they take effect.
    delivery_delay_s : float
        Seconds after which these transactions take effect; 0 applies them at once.
    response_delay_s : float
        Seconds from the effect of a read or transaction until its response.
    timeout_s : float
        Seconds until a call without a response fails.
    longest_wait_s : float
        Seconds after which a call of `follow` is answered, if that is before its wait
        ends.
    """

    def __init__(self, rows: MemoryRows, delay_s: float = 0.004):
        self.rows = rows
        self.down = False
        self.silent = False
        self.lose_answers = 0
        self.delivery_delay_s = 0.0
        self.response_delay_s = 0.0
        self.delay_s = delay_s
        self.timeout_s = 0.7
        self.longest_wait_s = float("inf")
        self._delayed_transactions: list[tuple[float, Transaction]] = []

    @property
    def max_row_bytes(self) -> int:
        """See `RowStore.max_row_bytes`."""
        return self.rows.max_row_bytes

    async def transact(self, transaction: Transaction) -> int:
        """See `RowStore.transact`."""
        await self._simulate_call()
        for row, value in transaction.puts:
            if len(value) > self.max_row_bytes:
                raise StoreRejected(f"row {row} has {len(value)} bytes")
            if row in self.rows.rejected_rows:
                raise StoreRejected(f"row {row} is rejected")
        if self.lose_answers:
            self.lose_answers -= 1
            if self.delivery_delay_s:
                self._delayed_transactions.append(
                    (anyio.current_time() + self.delivery_delay_s, transaction)
                )
            else:
                self._apply_ignoring_conflict(transaction)
            await anyio.sleep(self.timeout_s)
            raise StoreOutcomeUnknown("response lost")
        try:
            return self.rows.apply(transaction)
        finally:
            await anyio.sleep(self.response_delay_s)

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """See `RowStore.read`."""
        await self._simulate_call()
        found = []
        for row in self.rows.rows(table, part):
            if row.id.key >= first and (not end or row.id.key < end):
                found.append(row)
        version, now_s = self.rows.version, self.rows.now_s()
        await anyio.sleep(self.response_delay_s)
        return RowPage(found[:limit], len(found) > limit, version, now_s)

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """See `RowStore.follow`."""
        await self._simulate_call()
        until_s = anyio.current_time() + min(wait_s, self.longest_wait_s)
        while True:
            changed = self.rows.changes(table, after)
            if changed or anyio.current_time() >= until_s:
                return RowPage(changed, False, self.rows.version, self.rows.now_s())
            await anyio.sleep(FOLLOW_CHECK_INTERVAL_S)
            if self.down or self.silent:
                await self._simulate_call()

    def _apply_ignoring_conflict(self, transaction: Transaction) -> None:
        try:
            self.rows.apply(transaction)
        except RowVersionConflict:
            return

    async def _simulate_call(self) -> None:
        now_s = anyio.current_time()
        due = [item for item in self._delayed_transactions if item[0] <= now_s]
        for item in due:
            self._delayed_transactions.remove(item)
            self._apply_ignoring_conflict(item[1])
        await anyio.sleep(self.delay_s)
        if self.down:
            raise StoreRefused("the store is down")
        if self.silent:
            await anyio.sleep(self.timeout_s)
            raise StoreOutcomeUnknown("no response")
