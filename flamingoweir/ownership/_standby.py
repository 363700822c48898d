"""Watches a shard's row, and takes the shard when its owner falls silent."""

import random
from dataclasses import dataclass

import anyio

from ..clock import Clock
from ..logs import get_logger
from ..metrics import Metrics
from ..storage import RowStore, StoreOutcomeUnknown, StoreRefused, VersionedRow
from ._holding import Backlog, OwnerRecord, decode_owner_record
from ._journal import FencedWriter, OwnershipLost
from ._rows import OWNER_KEY, OWNER_TABLE

log = get_logger()

#: Seconds without a write of the owner after which a standby takes the shard.
TAKEOVER_S = 1.6
#: Seconds between looks at the row.
POLL_S = 0.45
#: Fraction of the pause by which it varies, so that standbys don't look at once.
POLL_JITTER = 0.2


@dataclass(frozen=True, slots=True)
class OwnerObservation:
    """The owner's row as last seen.

    Attributes
    ----------
    holding : Holding or None
        What it said.
    seen_s : float
        When it was last read.
    changed_s : float
        When its latest version was first seen.
    """

    holding: OwnerRecord | None
    seen_s: float
    changed_s: float


class Standby:
    """Reads the owner's row in turns.

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
    generator : random.Random
        For the pauses.
    metrics : Metrics
        Where counts go.

    Attributes
    ----------
    observation : Sighting or None
        The row as last seen.
    eligible : bool
        Whether this instance takes the shard; false while it shuts down.
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
        self._reachable = True
        self._terms = 0

    def backlog(self, max_age_s: float) -> Backlog | None:
        """Return what the owner says of waiting work, unless that is too old."""
        seen = self.observation
        if seen is None or seen.holding is None:
            return None
        if self._clock.now() - seen.changed_s > max_age_s:
            return None
        return seen.holding.backlog

    async def wait_for_ownership(self) -> FencedWriter:
        """Watch until this instance owns the shard; return its journal."""
        while True:
            row = await self._look()
            if row is not False and self.eligible and self._vacant(row):
                writer = await self._acquire(row)
                if writer is not None:
                    return writer
            jitter = 1 + POLL_JITTER * self._generator.uniform(-1, 1)
            await anyio.sleep(POLL_S * jitter)

    async def watch(self) -> None:
        """Look at the row in turns until cancelled, without taking the shard."""
        while True:
            await self._look()
            await anyio.sleep(POLL_S)

    async def _look(self) -> VersionedRow | None | bool:
        """Return the row, None if there is none, False if the store is away."""
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
        if version != self._version or not self._reachable:
            # While the store was away the owner could not write either.
            self._version = version
            self._changed_s = now_s
        if not self._reachable:
            log.info("store_regained", shard=self._shard)
        self._reachable = True
        holding = decode_owner_record(row) if row else None
        self.observation = OwnerObservation(holding, now_s, self._changed_s)
        return row

    def _vacant(self, row: VersionedRow | None) -> bool:
        holding = self.observation.holding
        if row is None or holding is None or holding.released:
            return True
        if holding.holder == self._holder:
            # Held by a former life or a former term of this instance.
            return True
        return self._clock.now() - self._changed_s >= TAKEOVER_S

    async def _acquire(self, row: VersionedRow | None) -> FencedWriter | None:
        self._terms += 1
        writer = FencedWriter(
            self._store,
            self._shard,
            self._holder,
            f"{self._process}/{self._terms}",
            self._clock,
            self._metrics,
        )
        try:
            await writer.acquire(row)
        except OwnershipLost as error:
            log.info("shard_not_taken", shard=self._shard, detail=str(error))
            return None
        former = self.observation.holding
        log.info(
            "shard_taken",
            shard=self._shard,
            fence=writer.fence,
            former=former.holder if former else "",
            silent_s=round(self._clock.now() - self._changed_s, 2),
        )
        return writer
