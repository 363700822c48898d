"""Writes of a shard's owner: sequential transactions, each of them fenced."""

import dataclasses
from collections.abc import Callable, Sequence

import anyio

from ..clock import CLOCK_DRIFT, Clock
from ..logs import get_logger
from ..metrics import Metrics
from ..storage import (
    RowId,
    RowStore,
    RowVersionConflict,
    StoreOutcomeUnknown,
    StoreRefused,
    StoreRejected,
    Transaction,
    VersionedRow,
)
from ._earlier_leases import EarlierLeases
from ._late_runs import encode_run_hashes
from ._owner_record import (
    Backlog,
    OwnerRecord,
    decode_owner_record,
    fit_owner_record,
)
from ._rows import owner_row
from ._store_clock import StoreClock
from ._waits import Waits

log = get_logger()

#: Seconds after the latest confirmed write during which an owner may start tasks.
#: Shorter than TAKEOVER_S, after which a standby takes the shard.
START_VALID_S = 1.4
#: Seconds after the latest confirmed write by which all leases end that an owner
#: grants. Tasks run on for as long while the store is unreachable, and a task whose
#: runner is lost with its owner is away for as long.
LEASE_VALID_S = 7.0
#: The same for a runner of which the owner row says that its leases end earlier.
SHORT_LEASE_VALID_S = 2.5
#: Seconds added to the end of a lease on the owner's clock. The owner estimates the
#: runner's clock from a response up to five seconds old, which may be off by 0.1 s.
LEASE_MARGIN_S = 0.2
#: Seconds for which a standby tries to take a shard before it reads the row again.
ACQUIRE_TIMEOUT_S = 1.0
#: Longest time in seconds between the last write of an owner and the first of the next
#: one for which the store counts as reachable throughout. It exceeds the time after
#: which a lone weak standby takes the shard.
MAX_HANDOVER_S = 3.0
#: Longest time in seconds from an owner's write until a standby sees it, if the store
#: responds. It exceeds the time between two reads and that of a slow one.
MAX_UNSEEN_S = 1.0
#: Seconds before a write that was refused or got no response is repeated.
RETRY_PAUSE_S = 0.03
#: Maximum entries of a transaction, including the owner row and its precondition.
#: The store accepts 100.
MAX_ENTRIES = 96
#: Maximum bytes of values in a transaction. The store accepts 1 MB, in which the
#: values are base64 within JSON.
MAX_BYTES = 500_000


def longest_lease_s(granted_s: float) -> float:
    """Return the longest time that a lease lasts, on the clock of who granted it.

    Parameters
    ----------
    granted_s : float
        Seconds for which it was granted.
    """
    return granted_s / (1 - CLOCK_DRIFT) + LEASE_MARGIN_S


def _named_valid_s(end_in_s: float) -> float:
    """Return for how long after a write a named lease may last by the owner's clock.

    Parameters
    ----------
    end_in_s : float
        Seconds after the write by which the lease has lapsed, as the owner row says.
    """
    if end_in_s >= longest_lease_s(LEASE_VALID_S):
        return LEASE_VALID_S
    longest_s = (end_in_s - LEASE_MARGIN_S) * (1 - CLOCK_DRIFT)
    return min(SHORT_LEASE_VALID_S, longest_s)


class OwnershipLost(Exception):
    """Another instance owns the shard, or ownership can no longer be confirmed."""


def _unknown_backlog() -> None:
    """Return no backlog, as long as the owner has not read the shard."""


def _halve(rows: list) -> list[list]:
    """Return the halves of a list that are not empty."""
    middle = len(rows) // 2
    return [half for half in (rows[:middle], rows[middle:]) if half]


class FencedWriter:
    """Writes rows of a shard as its owner.

    Every transaction also rewrites the owner row, on the precondition that no other
    process has written it. This fences the write and renews the ownership.

    Parameters
    ----------
    store : RowStore
        Store that holds the rows.
    shard : str
        Name of the shard.
    holder, process : str
        Name of this instance, and an id that differs for each `FencedWriter`.
    clock : Clock
        Monotonic clock of this instance.
    metrics : Metrics
        Receives counters and durations.
    store_clock : StoreClock, optional
        The store's clock, by which the next owner knows when a row was written.

    Attributes
    ----------
    fence : int
        Fencing token; 0 until the shard is acquired.
    count_backlog : callable
        Returns the `Backlog` to publish, or None while it is not known. Called for each
        transaction that is sent, also for one that is repeated.
    unnamed_leases_end_in_s : float
        Seconds in which the leases have lapsed that end after all others and that the
        row has no room to name; `list_named_leases` sets it.
    list_named_leases : callable
        Returns `OwnerRecord.leases_end_in_s_by_runner` to publish, called once a write.
    list_late_starts : callable
        Returns `OwnerRecord.late_starts_end_in_s_by_runner`, called once a write.
    list_late_run_hashes : callable
        Returns `OwnerRecord.late_run_hashes` to publish, called once a write.
    list_unanswered_starts : callable
        Returns `OwnerRecord.unanswered_starts_end_in_s_by_runner`, called once a write.
    list_bound_tasks : callable
        Returns `OwnerRecord.bound_tasks` to publish, called once a write.
    list_missing_runners : callable
        Returns `OwnerRecord.missing_s_by_runner`, called for each transaction.
    list_waits : callable
        Returns `OwnerRecord.waits` to publish, called for each transaction.
    grants_leases : bool
        Whether writes from now on allow leases. An owner that has not read the shard
        yet grants none, and its row says so.
    find_max_job_bytes : callable
        Returns `OwnerRecord.max_job_bytes` to publish, called for each transaction.
    former : OwnerRecord or None
        What the former owner published last; None if nothing was readable.
    former_missing_s_by_runner : dict of str to float
        `OwnerRecord.missing_s_by_runner` of the former owner; empty if its row is not
        recent.
    former_waits : Waits
        `OwnerRecord.waits` of the former owner; empty if its row is not recent.
    former_written_s : float or None
        Time on the owner's clock, in seconds, by which that row was surely written;
        None if it is not recent, or was seen so late that the store may have been away.
    earlier_leases : EarlierLeases
        When the leases have lapsed that earlier owners may have granted.
    """

    def __init__(
        self,
        store: RowStore,
        shard: str,
        holder: str,
        process: str,
        clock: Clock,
        metrics: Metrics,
        store_clock: StoreClock | None = None,
    ):
        self.shard = shard
        self.fence = 0
        self.count_backlog: Callable[[], Backlog | None] = _unknown_backlog
        self.unnamed_leases_end_in_s = 0.0
        self.list_named_leases = self._list_earlier_leases
        self.list_late_starts = lambda: self.earlier_leases.list_starts_left_s(
            self._clock.now()
        )
        self.list_late_run_hashes = self._list_earlier_late_run_hashes
        self.list_unanswered_starts = lambda: (
            self.earlier_leases.list_unanswered_left_s(self._clock.now())
        )
        self.list_bound_tasks = lambda: self.earlier_leases.list_bound_left(
            self._clock.now()
        )
        self.list_missing_runners = lambda: self.former_missing_s_by_runner
        self.list_waits = lambda: self.former_waits
        self.find_max_job_bytes: Callable[[], int | None] = lambda: None
        self.grants_leases = False
        self.former: OwnerRecord | None = None
        self.earlier_leases = EarlierLeases.none()
        self.former_missing_s_by_runner: dict[str, float] = {}
        self.former_waits = Waits()
        self.former_written_s: float | None = None
        self._store = store
        self._owner_row = owner_row(shard)
        self._record = OwnerRecord(holder, process, 0)
        self._clock = clock
        self._store_clock = store_clock or StoreClock()
        self._metrics = metrics
        self._version = 0
        self._confirmed_s = float("-inf")
        #: Whether the latest confirmed write allows leases.
        self._grants_in_store = False
        #: When the last lease ends that was granted, on the owner's clock.
        self._granted_until_s = float("-inf")
        #: Fields that the latest owner row has no room for.
        self._left_out: tuple[str, ...] = ()
        #: For how long leases are valid by `leases_end_in_s_by_runner` of the latest
        #: confirmed write.
        self._named_in_store: dict[str, float] = {}
        #: The same of writes that are not confirmed; the least of them.
        self._named_in_flight: dict[str, float] = {}

    async def acquire(
        self, row: VersionedRow | None, seen_s: float | None = None
    ) -> None:
        """Take the shard if its owner row is unchanged since it was read.

        Parameters
        ----------
        row : VersionedRow or None
            Owner row as read; None if it did not exist.
        seen_s : float or None
            When the row was first seen, on the owner's clock, in seconds; None: now.

        Raises
        ------
        OwnershipLost
            If another process wrote the row, or the write was not confirmed in time.
        """
        self._version = row.version if row else 0
        if row is not None:
            self.former = decode_owner_record(row)
            self.earlier_leases = EarlierLeases.of(
                self.former,
                self._clock.now() if seen_s is None else seen_s,
                self._store_clock,
            )
        if self.former is not None and self._is_recent(self.former):
            self.former_missing_s_by_runner = self.former.missing_s_by_runner
            self.former_waits = self.former.waits
            now_s = self._clock.now()
            written_s = self._store_clock.reached_by(self.former.written_s)
            if (now_s if seen_s is None else seen_s) - written_s < MAX_UNSEEN_S:
                self.former_written_s = min(written_s, now_s)
        await self._write((), ())
        self.fence = self._version

    def _is_recent(self, record: OwnerRecord) -> bool:
        """Return whether the shard was without an owner for a short time only.

        Longer, the store may have been away, so that entries of runners are missing.
        """
        store_s = self._store_clock.upper_bound_at(self._clock.now())
        if store_s is None or record.written_s is None:
            return False
        return abs(store_s - record.written_s) < MAX_HANDOVER_S

    @property
    def max_row_bytes(self) -> int:
        """Largest size of a row's value, in bytes."""
        return self._store.max_row_bytes

    @property
    def latest_fence(self) -> int:
        """Fencing token of the latest confirmed write.

        It is higher than those of writes before, and lower than the next owner's.
        """
        return self._version

    @property
    def confirmed_s(self) -> float:
        """When the latest confirmed write was sent, on the owner's clock."""
        return self._confirmed_s

    def may_start(self) -> bool:
        """Return whether the latest confirmed write is recent enough to start tasks."""
        return self._clock.now() - self._confirmed_s < START_VALID_S

    def may_renew_leases(self) -> bool:
        """Return whether leases of runners may still be renewed."""
        return self._clock.now() - self._confirmed_s < LEASE_VALID_S

    def limit_lease(self, runner: str, end_s: float) -> float:
        """Return until when a lease may last, and record that it is granted.

        No lease outlives what the owner row says of its runner, as the next owner
        relies on that.

        Parameters
        ----------
        runner : str
            Id of the runner.
        end_s : float
            Until when the lease is wanted, on the owner's clock, in seconds.
        """
        valid_s = min(
            LEASE_VALID_S if self._grants_in_store else 0.0,
            self._named_in_store.get(runner, LEASE_VALID_S),
            self._named_in_flight.get(runner, LEASE_VALID_S),
        )
        end_s = min(end_s, self._confirmed_s + valid_s)
        self._granted_until_s = max(self._granted_until_s, end_s)
        return end_s

    async def commit(
        self, puts: Sequence[tuple[RowId, bytes]], deletes: Sequence[RowId]
    ) -> list[RowId]:
        """Write and delete rows, in as many transactions as needed.

        A row that the store refuses for good keeps none of the others from being
        written.

        Parameters
        ----------
        puts : sequence of (RowId, bytes)
            Rows and their new values.
        deletes : sequence of RowId
            Rows to delete, in the transaction of the last put or after it.

        Returns
        -------
        list of RowId
            Rows that were not written or deleted, as the store refuses that for good.

        Raises
        ------
        OwnershipLost
            If the ownership is lost or can't be confirmed.
        """
        rejected: list[RowId] = []
        batch: list[tuple[RowId, bytes]] = []
        size = 0
        for row, value in puts:
            if len(batch) + 2 >= MAX_ENTRIES or size + len(value) > MAX_BYTES:
                rejected += await self._write_or_isolate(batch, [])
                batch, size = [], 0
            batch.append((row, value))
            size += len(value)
        remaining_deletes = list(deletes)
        while True:
            max_deletes = MAX_ENTRIES - 2 - len(batch)
            rejected += await self._write_or_isolate(
                batch, remaining_deletes[:max_deletes]
            )
            remaining_deletes = remaining_deletes[max_deletes:]
            batch = []
            if not remaining_deletes:
                return rejected

    async def _write_or_isolate(
        self, puts: list[tuple[RowId, bytes]], deletes: list[RowId]
    ) -> list[RowId]:
        """Write a transaction; if the store rejects it, write what it accepts of it.

        Returns
        -------
        list of RowId
            The rows for which the store rejects a transaction of their own, though it
            accepts one of the owner row alone.
        """
        try:
            await self._write(puts, deletes)
            return []
        except StoreRejected as error:
            log.warning(
                "transaction_rejected",
                shard=self.shard,
                puts=len(puts),
                deletes=len(deletes),
                detail=str(error),
            )
        if len(puts) + len(deletes) > 1:
            rejected = []
            # Rows are deleted after the others are written.
            for half in _halve(puts):
                rejected += await self._write_or_isolate(half, [])
            for half in _halve(deletes):
                rejected += await self._write_or_isolate([], half)
            return rejected
        # A store that rejects all calls says nothing about this row.
        await self._write((), ())
        try:
            await self._write(puts, deletes)
            return []
        except StoreRejected:
            return [*(row for row, _ in puts), *deletes]

    async def release(self) -> None:
        """Release the shard, so that another instance takes it at once."""
        self._record = dataclasses.replace(self._record, released=True)
        await self._write((), ())

    async def _write(
        self, puts: Sequence[tuple[RowId, bytes]], deletes: Sequence[RowId]
    ) -> None:
        self._record = dataclasses.replace(
            self._record, number=self._record.number + 1, fence=self.fence
        )
        first_sent_s = self._clock.now()
        grants_leases = self.grants_leases and not self._record.released
        # Runners that are lost while the write is repeated, as the store is away, keep
        # their full leases.
        named_leases = self.list_named_leases()
        late_starts = self.list_late_starts()
        late_run_hashes = self.list_late_run_hashes()
        unanswered_starts = self.list_unanswered_starts()
        bound_tasks = self.list_bound_tasks()
        for runner, end_in_s in named_leases.items():
            valid_s = _named_valid_s(end_in_s)
            known_s = self._named_in_flight.get(runner, valid_s)
            self._named_in_flight[runner] = min(known_s, valid_s)
        while True:
            sent_s = self._clock.now()
            record = dataclasses.replace(
                self._record,
                backlog=self.count_backlog(),
                written_s=self._store_clock.upper_bound_at(sent_s),
                leases_end_in_s=self._leases_end_in_s(sent_s, grants_leases),
                leases_end_in_s_by_runner=named_leases,
                late_starts_end_in_s_by_runner=late_starts,
                late_run_hashes=late_run_hashes,
                unanswered_starts_end_in_s_by_runner=unanswered_starts,
                bound_tasks=bound_tasks,
                missing_s_by_runner=self.list_missing_runners(),
                max_job_bytes=self.find_max_job_bytes(),
                waits=self.list_waits(),
            )
            own = (self._owner_row, self._encode_own(record))
            transaction = Transaction(
                [(self._owner_row, self._version)], [own, *puts], deletes
            )
            try:
                version = await self._store.transact(transaction)
            except RowVersionConflict as error:
                version, number = self._find_own_write(error)
                if number != self._record.number:
                    # An earlier write, which was cancelled before its response came.
                    self._version = version
                    continue
                # It is unknown which of the calls was applied; count from the first.
                sent_s = first_sent_s
            except (StoreRefused, StoreOutcomeUnknown) as error:
                if isinstance(error, StoreRejected) and (puts or deletes):
                    self._metrics.incr("journal_rejections")
                    raise
                self._metrics.incr("journal_retries")
                self._check_timeout(first_sent_s, error)
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            self._version = version
            self._confirmed_s = sent_s
            self._grants_in_store = grants_leases
            # Of a repeated write, it is unknown which transaction was applied.
            self._named_in_store, self._named_in_flight = self._named_in_flight, {}
            self._metrics.timing(
                "journal_write_ms", 1000 * (self._clock.now() - first_sent_s)
            )
            return

    def _encode_own(self, record: OwnerRecord) -> bytes:
        """Return the value of the owner row; log when it begins to lack something."""
        value, left_out = fit_owner_record(record, self.max_row_bytes)
        if left_out != self._left_out:
            self._left_out = left_out
            log.warning(
                "owner_row_shortened", shard=self.shard, left_out=",".join(left_out)
            )
            self._metrics.incr("owner_rows_shortened")
        return value

    def _leases_end_in_s(self, now_s: float, grants_leases: bool) -> float:
        """Return `OwnerRecord.leases_end_in_s` of a write that is sent now.

        Without further leases, those end that were granted. A runner that an earlier
        row named may be named no more, as it responds; what was granted there goes on.
        It is named as long as that may outlast the longest lease.
        """
        lease_s = LEASE_VALID_S
        if not grants_leases:
            lease_s = max(0.0, self._granted_until_s - now_s)
        earlier_s = self.earlier_leases.end_s - now_s
        named_s = self.earlier_leases.latest_end_s - now_s
        named_s = min(named_s, longest_lease_s(LEASE_VALID_S))
        unnamed_s = self.unnamed_leases_end_in_s
        return max(longest_lease_s(lease_s), earlier_s, named_s, unnamed_s)

    def _list_earlier_leases(self) -> dict[str, float]:
        """Return what an earlier owner published, until this owner knows more."""
        return self.earlier_leases.left_s_by_runner(self._clock.now())

    def _list_earlier_late_run_hashes(self) -> str | None:
        """Return what an earlier owner published, until this owner knows more."""
        hashes = self.earlier_leases.late_run_hashes
        return None if hashes is None else encode_run_hashes(sorted(hashes))

    def _find_own_write(self, error: RowVersionConflict) -> tuple[int, int]:
        """Return version and number of the write by this writer that the row holds.

        Raises
        ------
        OwnershipLost
            If another write has changed the owner row.
        """
        row = error.row_by_id.get(self._owner_row)
        found = decode_owner_record(row) if row else None
        if found is None or found.process != self._record.process:
            holder = found.holder if found else "nobody"
            raise OwnershipLost(f"shard {self.shard} is owned by {holder}")
        return row.version, found.number

    def _check_timeout(self, first_sent_s: float, error: Exception) -> None:
        acquiring = self.fence == 0
        if acquiring and self._clock.now() - first_sent_s > ACQUIRE_TIMEOUT_S:
            raise OwnershipLost(f"shard {self.shard} was not taken in time: {error}")
        if not acquiring and not self.may_renew_leases():
            raise OwnershipLost(f"the store did not confirm a write: {error}")
