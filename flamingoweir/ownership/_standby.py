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
from ._store_clock import StoreClock
from ._writer import FencedWriter, OwnershipLost

log = get_logger()

#: Seconds without a write of the owner after which a standby takes the shard.
TAKEOVER_S = 1.6
#: Seconds between reads of the owner row.
POLL_INTERVAL_S = 0.45
#: Seconds between reads of a standby that defers to no other. It finds a vacant shard
#: before a standby that defers takes it; such instances are few.
STRONG_POLL_INTERVAL_S = 0.25
#: Largest age in seconds of an owner's limit on the memory of a job.
MAX_LIMIT_AGE_S = 3.0
#: Fraction by which the interval varies, so that standbys don't read at the same time.
POLL_JITTER = 0.2
#: Processors from which a standby defers to no other. An owner of some 250 runners
#: needs more than one processor under load.
STRONG_PROCESSORS = 2.0
#: Processors up to which a standby defers for MAX_DEFERENCE_S.
WEAK_PROCESSORS = 0.5
#: Longest extra time in seconds before a standby takes a vacant shard. It exceeds the
#: longest time between two reads of a strong standby (0.3 s) by the time of a read and
#: a write. With it, a lone weak standby takes a shard at most 2.5 s after the last
#: write: POLL_INTERVAL_S with jitter (0.54 s), TAKEOVER_S, and this time.
MAX_DEFERENCE_S = 0.36


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


def deference_s(processors: float) -> float:
    """Return how long a standby leaves a vacant shard to stronger ones, in seconds.

    The time falls linearly from `WEAK_PROCESSORS` to `STRONG_PROCESSORS`.

    Parameters
    ----------
    processors : float
        Processors of the standby's instance.
    """
    lacking = STRONG_PROCESSORS - processors
    fraction = lacking / (STRONG_PROCESSORS - WEAK_PROCESSORS)
    return MAX_DEFERENCE_S * min(1.0, max(0.0, fraction))


class Standby:
    """Polls a shard's owner row, and takes the shard when it has no live owner.

    Standbys of instances with few processors wait longer, so that the strongest
    instance that is alive takes the shard. Nothing but the owner row is shared.

    Parameters
    ----------
    store : RowStore
        Store that holds the rows.
    shard : str
        Name of the shard.
    holder, process : str
        Name of this instance, and id of its process.
    processors : float
        Processors of this instance.
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
        processors: float,
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
        self._deference_s = deference_s(processors)
        self._clock = clock
        self._generator = generator
        self._metrics = metrics
        self._version = -1
        self._changed_s = clock.now()
        self._read_sent_s = float("-inf")
        self._written_after_s = float("-inf")
        self._reachable = True
        self._store_clock = StoreClock()
        self._acquire_count = 0
        self._acquire_lock = anyio.Lock()

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

    def max_job_bytes(self) -> int | None:
        """Return the largest memory of a job that the owner can hold; None for any.

        The limit of an owner that has published nothing for `MAX_LIMIT_AGE_S` does not
        count: it is being replaced.
        """
        observation = self.observation
        if observation is None or observation.record is None:
            return None
        if self._clock.now() - observation.changed_s > MAX_LIMIT_AGE_S:
            return None
        return observation.record.max_job_bytes

    async def wait_for_ownership(self) -> FencedWriter:
        """Poll the owner row until this instance owns the shard; return the writer."""
        interval_s = POLL_INTERVAL_S if self._deference_s else STRONG_POLL_INTERVAL_S
        while True:
            row = await self._read_owner_row()
            pause_s = interval_s * (1 + POLL_JITTER * self._generator.uniform(-1, 1))
            if row is not False:
                vacant_in_s = self._vacant_from_s(row) - self._clock.now()
                if vacant_in_s > 0:
                    pause_s = min(pause_s, vacant_in_s)
                elif self.eligible:
                    async with self._acquire_lock:
                        writer = await self._acquire(row)
                    if writer is not None:
                        return writer
            await anyio.sleep(pause_s)

    async def retire(self) -> None:
        """Stop taking the shard, and wait until a try that is under way has ended."""
        self.eligible = False
        async with self._acquire_lock:
            return

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
        self._store_clock.record(page.now_s, sent_s, now_s)
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

    def _vacant_from_s(self, row: VersionedRow | None) -> float:
        """Return the time from which this instance may take the unchanged row."""
        deferred_s = self._changed_s + self._deference_s
        if row is None:
            return deferred_s
        record = self.observation.record
        if record is None:
            # Another build may have written it, whose owner is alive while it changes.
            return deferred_s + TAKEOVER_S
        if record.released:
            return deferred_s
        if record.holder == self._holder and not self._deference_s:
            # Written by an earlier process or an earlier term of this instance. A
            # weaker instance waits as for any row: it would go first otherwise.
            return deferred_s
        return deferred_s + TAKEOVER_S

    async def _acquire(self, row: VersionedRow | None) -> FencedWriter | None:
        self._acquire_count += 1
        writer = FencedWriter(
            self._store,
            self._shard,
            self._holder,
            f"{self._process}/{self._acquire_count}",
            self._clock,
            self._metrics,
            self._store_clock,
        )
        try:
            await writer.acquire(row, self._changed_s)
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
