"""Polls a shard's owner row, and takes the shard when its owner stops writing."""

import random
from dataclasses import dataclass

import anyio

from ..clock import Clock
from ..logs import get_logger
from ..metrics import Metrics
from ..storage import RowStore, StoreOutcomeUnknown, StoreRefused, VersionedRow
from ._owner_record import Backlog, OwnerRecord, decode_owner_record
from ._rows import OWNER_KEY, OWNER_TABLE
from ._writer import FencedWriter, OwnershipLost

log = get_logger()

#: Seconds without a write of the owner after which a standby takes the shard.
TAKEOVER_S = 1.6
#: Seconds between reads of the owner row.
POLL_INTERVAL_S = 0.45
#: Fraction by which POLL_INTERVAL_S varies, so that standbys don't read at the same
#: time.
POLL_JITTER = 0.2


@dataclass(frozen=True, slots=True)
class OwnerObservation:
    """Result of the latest successful read of an owner row.

    Attributes
    ----------
    record : OwnerRecord or None
        Content of the row; None if the row is missing or malformed.
    read_s : float
        Clock time of the read, in seconds.
    changed_s : float
        Clock time in seconds at which the row's version was first read, or at which
        the store became reachable again, whichever is later.
    written_after_s : float
        Clock time in seconds after which the row was surely written: when the last read
        that returned an older version was sent; minus infinity if there was none.
    """

    record: OwnerRecord | None
    read_s: float
    changed_s: float
    written_after_s: float


class Standby:
    """Polls a shard's owner row, and takes the shard when it has no live owner.

    Parameters
    ----------
    store : RowStore
        Store that holds the rows.
    shard : str
        Name of the shard.
    holder, process : str
        Name of this instance, and id of its process.
    clock : Clock
        Monotonic clock of this instance.
    generator : random.Random
        Source of the jitter between reads.
    metrics : Metrics
        Receives counters and durations.

    Attributes
    ----------
    observation : OwnerObservation or None
        Latest read of the owner row; None before the first.
    eligible : bool
        Whether this instance may take the shard; false while it shuts down.
    """

    def __init__(
        self,
        store: RowStore,
        shard: str,
        holder: str,
        process: str,
        clock: Clock,
        generator: random.Random,
        metrics: Metrics,
    ):
        self.observation: OwnerObservation | None = None
        self.eligible = True
        self._store = store
        self._shard = shard
        self._holder = holder
        self._process = process
        self._clock = clock
        self._generator = generator
        self._metrics = metrics
        self._version = -1
        self._changed_s = clock.now()
        self._read_sent_s = float("-inf")
        self._written_after_s = float("-inf")
        self._reachable = True
        self._acquire_count = 0

    def backlog(self, max_age_s: float) -> Backlog | None:
        """Return the backlog that the owner published.

        Parameters
        ----------
        max_age_s : float
            Seconds since the owner row was written, at most.

        Returns
        -------
        Backlog or None
            None if the backlog is unknown or too old.
        """
        observation = self.observation
        if observation is None or observation.record is None:
            return None
        if self._clock.now() - observation.written_after_s > max_age_s:
            return None
        return observation.record.backlog

    async def wait_for_ownership(self) -> FencedWriter:
        """Poll the owner row until this instance owns the shard; return the writer."""
        while True:
            row = await self._read_owner_row()
            if row is not False and self.eligible and self._is_vacant(row):
                writer = await self._acquire(row)
                if writer is not None:
                    return writer
            jitter = 1 + POLL_JITTER * self._generator.uniform(-1, 1)
            await anyio.sleep(POLL_INTERVAL_S * jitter)

    async def watch(self) -> None:
        """Poll the owner row until cancelled, without taking the shard."""
        while True:
            await self._read_owner_row()
            await anyio.sleep(POLL_INTERVAL_S)

    async def _read_owner_row(self) -> VersionedRow | None | bool:
        """Return the row, None if there is none, False if the store is unreachable."""
        sent_s = self._clock.now()
        try:
            page = await self._store.read(
                OWNER_TABLE, self._shard, first=OWNER_KEY, limit=1
            )
        except (StoreRefused, StoreOutcomeUnknown) as error:
            if self._reachable:
                log.warning("store_lost", shard=self._shard, detail=str(error))
            self._reachable = False
            return False
        now_s = self._clock.now()
        row = page.rows[0] if page.rows else None
        version = row.version if row else 0
        if version != self._version:
            self._written_after_s = self._read_sent_s
        self._read_sent_s = sent_s
        if version != self._version or not self._reachable:
            # During an outage of the store the owner could not write either, so the
            # time without a write counts from the end of the outage.
            self._version = version
            self._changed_s = now_s
        if not self._reachable:
            log.info("store_regained", shard=self._shard)
        self._reachable = True
        record = decode_owner_record(row) if row else None
        self.observation = OwnerObservation(
            record, now_s, self._changed_s, self._written_after_s
        )
        return row

    def _is_vacant(self, row: VersionedRow | None) -> bool:
        record = self.observation.record
        if row is None or record is None or record.released:
            return True
        if record.holder == self._holder:
            # Written by an earlier process or an earlier term of this instance.
            return True
        return self._clock.now() - self._changed_s >= TAKEOVER_S

    async def _acquire(self, row: VersionedRow | None) -> FencedWriter | None:
        self._acquire_count += 1
        writer = FencedWriter(
            self._store,
            self._shard,
            self._holder,
            f"{self._process}/{self._acquire_count}",
            self._clock,
            self._metrics,
        )
        try:
            await writer.acquire(row)
        except OwnershipLost as error:
            log.info("shard_not_taken", shard=self._shard, detail=str(error))
            return None
        former = self.observation.record
        log.info(
            "shard_taken",
            shard=self._shard,
            fence=writer.fence,
            former=former.holder if former else "",
            unchanged_s=round(self._clock.now() - self._changed_s, 2),
        )
        return writer
