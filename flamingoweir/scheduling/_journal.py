"""A shard's row and journal in the table, which only the shard's owner writes.

Every commit rewrites the shard row, on the precondition that the row still has the
version of the owner's last commit. This fences off earlier owners, renews the lease
and serialises commits. One commit holds all changes of a tick.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import anyio
import orjson

from ..clock import Clock
from ..settings import TimingSettings
from ..storage import (
    ABSENT_VERSION,
    ObjectStore,
    Precondition,
    PreconditionFailed,
    Row,
    Table,
    TableUnavailable,
    TransactionUnknown,
    Write,
)
from ._events import Event, decode_events, encode_events
from ._lease import ShardLease
from ._state import ShardState

RETRY_PAUSE_S = 0.1
SCAN_PAGE_ROWS = 200


class OwnershipLost(Exception):
    """Another instance owns the shard, or may have acquired it."""


@dataclass(frozen=True, slots=True)
class ShardRow:
    """Content of the row that names the owner of a shard.

    Attributes
    ----------
    owner : str
        Instance name of the owner; empty if the shard is released.
    epoch : int
        Number of the owner; it increases by one with every new owner.
    head : int
        Number of the newest journal entry.
    snapshot : str
        Name of the object that holds the state up to ``snapshot_head``; empty if
        there is none.
    snapshot_head : int
        Number of the newest journal entry that the snapshot contains.
    transaction : str
        Id of the transaction that wrote the row.
    orphan_wait_s : float
        In a released row, the seconds for which tasks may still run on workers that
        the owner never reached.
    """

    owner: str = ""
    epoch: int = 0
    head: int = 0
    snapshot: str = ""
    snapshot_head: int = 0
    transaction: str = ""
    orphan_wait_s: float = 0.0


def shard_key(shard: str) -> str:
    """Return the key of a shard's row."""
    return f"shard/{shard}"


def decode_shard_row(row: Row | None) -> ShardRow:
    """Decode a shard row; None, for an absent row, is decoded as never owned."""
    if row is None:
        return ShardRow()
    return ShardRow(**orjson.loads(row.value))


class Journal:
    """Reads and writes a shard's row, journal and snapshots, for the shard's owner.

    Parameters
    ----------
    table, objects : Table, ObjectStore
        The platform's table and object store.
    shard : str
        Name of the shard.
    instance : str
        Name of this process, different after every start.
    clock : Clock
        The instance's clock.
    timings : TimingSettings
        Lengths of leases and margins.

    Attributes
    ----------
    lease : ShardLease
        Lease of the shard. Every commit renews it.
    store_reachable : bool
        False while requests to the store fail and are repeated.
    transactions : int
        Number of transactions that took effect.
    on_store_failure : callable
        Called when a transaction fails and is tried again.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        shard: str,
        instance: str,
        clock: Clock,
        timings: TimingSettings,
    ):
        self._table = table
        self._objects = objects
        self._shard = shard
        self._instance = instance
        self._clock = clock
        self._row = ShardRow()
        self._version = ABSENT_VERSION
        self._transaction_number = 0
        self.lease = ShardLease(clock, timings, float("-inf"))
        self.store_reachable = True
        self.transactions = 0
        self.on_store_failure: Callable[[], None] = lambda: None

    @property
    def epoch(self) -> int:
        """Number of this owner among the owners of the shard."""
        return self._row.epoch

    @property
    def entries_since_snapshot(self) -> int:
        """Number of journal entries that a successor would have to read."""
        return self._row.head - self._row.snapshot_head

    async def acquire(self, observed: Row | None) -> None:
        """Acquire the shard.

        Parameters
        ----------
        observed : Row or None
            The shard row as last read; None if it does not exist.

        Raises
        ------
        OwnershipLost
            If the row has changed since.
        """
        self._row = decode_shard_row(observed)
        self._version = observed.version if observed else ABSENT_VERSION
        row = replace(
            self._row,
            owner=self._instance,
            epoch=self._row.epoch + 1,
            orphan_wait_s=0.0,
        )
        await self._write(row, [], [])

    async def recover(self) -> ShardState:
        """Rebuild the shard's state from the snapshot and the journal.

        Raises
        ------
        TableUnavailable
            If the store can't be reached or the snapshot is missing.
        """
        state = ShardState()
        if self._row.snapshot:
            content = await self._objects.get(self._row.snapshot)
            if content is None:
                raise TableUnavailable(f"object {self._row.snapshot!r} is missing")
            for event in decode_events(content):
                state.apply(event)
        after = self._entry_key(self._row.snapshot_head)
        while True:
            rows = await self._table.scan(
                f"journal/{self._shard}/", after, SCAN_PAGE_ROWS
            )
            for row in rows:
                for event in decode_events(row.value):
                    state.apply(event)
            if len(rows) < SCAN_PAGE_ROWS:
                return state
            after = rows[-1].key

    async def commit(
        self,
        events: list[Event],
        preconditions: Sequence[Precondition] = (),
        writes: Sequence[Write] = (),
    ) -> None:
        """Write events as a journal entry and renew the lease.

        Without events, only the lease is renewed. The transaction is repeated until
        its outcome is known, however long the store is unavailable.

        Parameters
        ----------
        events : list of Event
            Events, in order.
        preconditions, writes : sequence of Precondition, sequence of Write
            Added to the transaction.

        Raises
        ------
        OwnershipLost
            If another instance owns the shard, or a precondition does not hold.
        """
        row = self._row
        all_writes = list(writes)
        if events:
            row = replace(row, head=row.head + 1)
            all_writes.append(Write(self._entry_key(row.head), encode_events(events)))
        await self._write(row, list(preconditions), all_writes)

    async def save_snapshot(self, state: ShardState) -> None:
        """Store the state as an object and delete the entries that it contains.

        Raises
        ------
        TableUnavailable
            If the object was not stored. The journal is then unchanged.
        OwnershipLost
            If another instance owns the shard.
        """
        old = self._row
        name = f"snapshot/{self._shard}/{old.epoch}-{old.head}"
        await self._objects.put(name, encode_events(state.snapshot()).encode())
        row = replace(old, snapshot=name, snapshot_head=old.head)
        dropped = [
            Write(self._entry_key(number), None)
            for number in range(old.snapshot_head + 1, old.head + 1)
        ]
        await self._write(row, [], dropped)
        if old.snapshot:
            await self._objects.delete(old.snapshot)

    async def release(self, orphan_wait_s: float) -> None:
        """Release the shard, so that a successor need not wait for the lease to lapse.

        Parameters
        ----------
        orphan_wait_s : float
            Seconds for which tasks may still run on workers that the owner never
            reached.

        Raises
        ------
        OwnershipLost
            If another instance owns the shard.
        """
        row = replace(self._row, owner="", orphan_wait_s=orphan_wait_s)
        await self._write(row, [], [])

    def _entry_key(self, number: int) -> str:
        return f"journal/{self._shard}/{number:012d}"

    async def _write(
        self, row: ShardRow, preconditions: list[Precondition], writes: list[Write]
    ) -> None:
        self._transaction_number += 1
        name = f"{self._instance}:{row.epoch}:{self._transaction_number}"
        row = replace(row, transaction=name)
        key = shard_key(self._shard)
        row_unchanged = Precondition(key, self._version)
        row_write = Write(key, orjson.dumps(row).decode())
        first_sent_s = self._clock.now()
        while True:
            sent_s = self._clock.now()
            try:
                version = await self._table.transact(
                    [row_unchanged, *preconditions], [row_write, *writes]
                )
                break
            except (TableUnavailable, TransactionUnknown):
                self.store_reachable = False
                self.on_store_failure()
                await anyio.sleep(RETRY_PAUSE_S)
            except PreconditionFailed as error:
                current = await self._read_row()
                if decode_shard_row(current).transaction != name:
                    raise OwnershipLost(str(error)) from error
                version = current.version
                sent_s = first_sent_s
                break
        self.store_reachable = True
        self.transactions += 1
        self._row = row
        self._version = version
        self.lease.renew(sent_s)

    async def _read_row(self) -> Row | None:
        while True:
            try:
                return await self._table.get(shard_key(self._shard))
            except TableUnavailable:
                self.store_reachable = False
                await anyio.sleep(RETRY_PAUSE_S)
