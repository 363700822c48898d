"""A shard's row and journal in the table, written by its owner alone.

Every commit rewrites the shard row under the precondition that it still has the
version of the owner's last commit. That fences out earlier owners, renews the
lease and orders commits; one commit carries all changes of a tick.
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
    """Another instance owns the shard, or the owner can't know that none does."""


@dataclass(frozen=True, slots=True)
class ShardRow:
    """The row that says who owns a shard.

    Attributes
    ----------
    owner : str
        The owner's instance name, or nothing if the shard was released.
    epoch : int
        Rises by one with every new owner.
    head : int
        Number of the newest journal entry.
    snapshot : str
        Object that holds the state up to ``snapshot_head``, or nothing.
    snapshot_head : int
        Number of the newest entry that the snapshot contains.
    transaction : str
        Names the transaction that wrote the row.
    orphan_wait_s : float
        In a released row, how much longer tasks may run on workers that the
        owner never reached.
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
    """Read a shard row; an absent one is that of a shard never owned."""
    if row is None:
        return ShardRow()
    return ShardRow(**orjson.loads(row.value))


class Journal:
    """The owner's hold on a shard.

    Parameters
    ----------
    table, objects : Table, ObjectStore
        The platform's services.
    shard : str
        The shard's name.
    instance : str
        This instance's name, new with every start of the process.
    clock : Clock
        This instance's clock.
    timings : Timings
        Lengths of leases and margins.
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
        """The epoch of this hold."""
        return self._row.epoch

    @property
    def entries_since_snapshot(self) -> int:
        """How many journal entries a successor would have to read."""
        return self._row.head - self._row.snapshot_head

    async def acquire(self, observed: Row | None) -> None:
        """Take the shard as last observed; raises OwnershipLost."""
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
        """Read snapshot and journal; raises TableUnavailable."""
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
        """Make events durable; with none, renew the lease.

        Tries until the outcome is known, however long the store is away; raises
        OwnershipLost.
        """
        row = self._row
        all_writes = list(writes)
        if events:
            row = replace(row, head=row.head + 1)
            all_writes.append(Write(self._entry_key(row.head), encode_events(events)))
        await self._write(row, list(preconditions), all_writes)

    async def save_snapshot(self, state: ShardState) -> None:
        """Store the state as an object and drop the entries that it contains.

        Raises
        ------
        TableUnavailable
            If the object was not stored; the journal stays as it is.
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
        """Give the shard up, so that a successor need not wait.

        Parameters
        ----------
        orphan_wait_s : float
            How much longer tasks may run on workers never reached.
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
