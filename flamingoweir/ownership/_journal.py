"""An owner's writes: one transaction after another, each under its ownership."""

import dataclasses
from collections.abc import Sequence

import anyio

from ..clock import Clock
from ..logs import get_logger
from ..metrics import Metrics
from ..storage import (
    RowId,
    RowStore,
    RowVersionConflict,
    StoreOutcomeUnknown,
    StoreRefused,
    Transaction,
    VersionedRow,
)
from ._holding import Backlog, OwnerRecord, decode_owner_record, encode_owner_record
from ._rows import owner_row

log = get_logger()

#: Seconds after the latest confirmed write in which an owner may start tasks. A
#: standby takes over after TAKEOVER_S, which is longer.
START_VALID_S = 1.4
#: Seconds after the latest confirmed write in which an owner keeps runners' leases
#: alive while nobody can reach the store. A successor allows for it.
LEASE_VALID_S = 8.0
#: Seconds for which a standby tries to take a shard before it looks again.
ACQUIRE_PATIENCE_S = 1.0
#: Seconds between tries of an unanswered write.
RETRY_PAUSE_S = 0.03
#: Entries of a transaction at the most, the owner's own row and its precondition
#: included; the store takes 100.
MAX_ENTRIES = 96
#: Bytes of values in a transaction; the store takes 1 MB of base64 and JSON.
MAX_BYTES = 500_000


class OwnershipLost(Exception):
    """Another instance owns the shard, or this one can't tell any more."""


class FencedWriter:
    """Writes rows of a shard as its owner.

    Every transaction rewrites the owner's row under the condition that nobody else
    has, which fences the write and renews the ownership at once.

    Parameters
    ----------
    store : RowStore
        The store.
    shard : str
        The shard.
    holder, process : str
        This instance and its process.
    clock : Clock
        This instance's clock.
    metrics : Metrics
        Where counts go.

    Attributes
    ----------
    fence : int
        The fencing token; 0 before the shard was taken.
    backlog : Backlog or None
        Published with the next write; None: not known yet.
    """

    def __init__(
        self,
        store: RowStore,
        shard: str,
        holder: str,
        process: str,
        clock: Clock,
        metrics: Metrics,
    ):
        self.shard = shard
        self.fence = 0
        self.backlog: Backlog | None = None
        self._store = store
        self._row = owner_row(shard)
        self._holding = OwnerRecord(holder, process, 0)
        self._clock = clock
        self._metrics = metrics
        self._version = 0
        self._confirmed_s = float("-inf")

    async def acquire(self, found: VersionedRow | None) -> None:
        """Take the shard if its row is still as found; raises OwnershipLost."""
        self._version = found.version if found else 0
        await self._write((), ())
        self.fence = self._version

    def may_start(self) -> bool:
        """Return whether the ownership is fresh enough to start tasks."""
        return self._clock.now() - self._confirmed_s < START_VALID_S

    def may_renew_leases(self) -> bool:
        """Return whether leases of runners may still be prolonged."""
        return self._clock.now() - self._confirmed_s < LEASE_VALID_S

    async def commit(
        self, puts: Sequence[tuple[RowId, bytes]], deletes: Sequence[RowId]
    ) -> None:
        """Write rows, in as many transactions as it takes; raises OwnershipLost."""
        batch: list[tuple[RowId, bytes]] = []
        size = 0
        for row, value in puts:
            if len(batch) + 2 >= MAX_ENTRIES or size + len(value) > MAX_BYTES:
                await self._write(batch, ())
                batch, size = [], 0
            batch.append((row, value))
            size += len(value)
        drops = list(deletes)
        while True:
            room = MAX_ENTRIES - 2 - len(batch)
            await self._write(batch, drops[:room])
            drops = drops[room:]
            batch = []
            if not drops:
                return

    async def release(self) -> None:
        """Give the shard up, so that another instance takes it at once."""
        self._holding = dataclasses.replace(self._holding, released=True)
        await self._write((), ())

    async def _write(
        self, puts: Sequence[tuple[RowId, bytes]], deletes: Sequence[RowId]
    ) -> None:
        self._holding = dataclasses.replace(
            self._holding,
            number=self._holding.number + 1,
            fence=self.fence,
            backlog=self.backlog,
        )
        own = (self._row, encode_owner_record(self._holding))
        transaction = Transaction([(self._row, self._version)], [own, *puts], deletes)
        first_sent_s = self._clock.now()
        while True:
            sent_s = self._clock.now()
            try:
                version = await self._store.transact(transaction)
            except RowVersionConflict as error:
                version = self._find_own(error)
                sent_s = first_sent_s
            except (StoreRefused, StoreOutcomeUnknown) as error:
                self._metrics.incr("journal_retries")
                self._check_patience(first_sent_s, error)
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            self._version = version
            self._confirmed_s = sent_s
            self._metrics.timing(
                "journal_write_ms", 1000 * (self._clock.now() - first_sent_s)
            )
            return

    def _find_own(self, error: RowVersionConflict) -> int:
        """Return the version of this write if an unanswered try was carried out."""
        row = error.row_by_id.get(self._row)
        found = decode_owner_record(row) if row else None
        own = self._holding
        if found is None or (found.process, found.number) != (own.process, own.number):
            holder = found.holder if found else "nobody"
            raise OwnershipLost(f"shard {self.shard} is owned by {holder}")
        return row.version

    def _check_patience(self, first_sent_s: float, error: Exception) -> None:
        taking = self.fence == 0
        if taking and self._clock.now() - first_sent_s > ACQUIRE_PATIENCE_S:
            raise OwnershipLost(f"shard {self.shard} was not taken: {error}")
        if not taking and not self.may_renew_leases():
            raise OwnershipLost(f"the store does not answer: {error}")
