"""Acquires the shards of this instance's zone that are released or have lapsed."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from ..clock import Clock
from ..logs import get_logger
from ..membership import Hold, rendezvous_weight
from ..metrics import Metrics
from ..settings import TimingSettings
from ..storage import ObjectStore, Row, Table, TableUnavailable
from ..tree import services_of
from ._assignment import AssignmentState
from ._context import OwnerContext
from ._journal import Journal, OwnershipLost, decode_shard_row, shard_key
from ._keys import shards_of_zone
from ._lease import orphan_wait_s, takeover_wait_s, worker_lapse_s
from ._owner import ShardOwner

log = get_logger()

RELEASE_LIMIT_S = 5.0
NEVER_S = float("-inf")


@dataclass(slots=True)
class Observation:
    """A shard's row, and for how long it has been unchanged.

    Times are in seconds on the instance's clock.

    Attributes
    ----------
    row : Row or None
        The row; None if it does not exist.
    since_s : float
        When this version was first read, plus the time for which the row could not
        be read: the owner could not renew its lease during that time either.
    read_s : float
        When the row was last read.
    read_failed : bool
        Whether a read has failed since then.
    """

    row: Row | None = None
    since_s: float = NEVER_S
    read_s: float = NEVER_S
    read_failed: bool = False

    def update(self, row: Row | None, now_s: float) -> None:
        """Record the row as read at ``now_s``."""
        old = self.row.version if self.row else 0
        new = row.version if row else 0
        if self.since_s == NEVER_S or new != old:
            self.row = row
            self.since_s = now_s
        elif self.read_failed:
            self.since_s += now_s - self.read_s
        self.read_s = now_s
        self.read_failed = False

    def record_failure(self) -> None:
        """Record that the row could not be read."""
        self.read_failed = True


class ShardManager:
    """Acquires shards of one zone and runs their owners.

    The zone's live instances are ranked for each shard by rendezvous hashing. An
    instance that ranks lower waits longer before it acquires the shard.

    Parameters
    ----------
    instance : str
        Name of this process, different after every start.
    context_for : callable
        Returns the `OwnerContext` for the name of a shard.
    is_directory_loaded : callable
        Returns whether the platform's list has been read. Without it, workers
        can't be reached.
    live_instances : callable
        Returns the names of the zone's entry instances that are alive and not
        leaving.
    zone : str
        Name of the zone.
    shards_per_zone : int
        Number of shards of the zone.
    table, objects : Table, ObjectStore
        The platform's table and object store.
    clock : Clock
        The instance's clock.
    timings : TimingSettings
        Lengths of leases, margins and periods.
    metrics : Metrics
        Receives counts.

    Attributes
    ----------
    owner_by_shard : dict of str to ShardOwner
        Owners that run in this process.
    """

    def __init__(
        self,
        instance: str,
        context_for: Callable[[str], OwnerContext],
        is_directory_loaded: Callable[[], bool],
        live_instances: Callable[[], list[str]],
        zone: str,
        shards_per_zone: int,
        table: Table,
        objects: ObjectStore,
        clock: Clock,
        timings: TimingSettings,
        metrics: Metrics,
    ):
        self.owner_by_shard: dict[str, ShardOwner] = {}
        self._instance = instance
        self._context_for = context_for
        self._is_directory_loaded = is_directory_loaded
        self._live_instances = live_instances
        self._zone = zone
        self._shards = shards_of_zone(zone, shards_per_zone)
        self._table = table
        self._objects = objects
        self._clock = clock
        self._timings = timings
        self._metrics = metrics
        self._stopping = False

    async def run(self) -> None:
        """Run one event-loop task for each shard of the zone until stopped."""
        async with anyio.create_task_group() as tasks:
            for shard in self._shards:
                tasks.start_soon(self._manage_shard, shard, name=f"shard {shard}")

    def stop(self) -> None:
        """Release all shards and acquire no more."""
        self._stopping = True
        for owner in self.owner_by_shard.values():
            owner.stop()

    def nudge(self, shard: str) -> None:
        """Have the owner of a shard read its inbox soon, if it runs here."""
        owner = self.owner_by_shard.get(shard)
        if owner is not None:
            owner.nudge()

    def holds(self) -> list[Hold]:
        """Return the state of the shards owned here, as it is sent to peers."""
        return [
            Hold(
                shard=shard,
                epoch=owner.journal.epoch,
                queued=owner.placer.count_unplaced(),
                free_processors_milli=owner.placer.free_processors_milli(),
                running_by_service=_count_displaced(owner),
            )
            for shard, owner in self.owner_by_shard.items()
        ]

    async def _manage_shard(self, shard: str) -> None:
        observation = Observation()
        while not self._stopping:
            try:
                row = await self._table.get(shard_key(shard))
            except TableUnavailable:
                observation.record_failure()
                await anyio.sleep(self._timings.poll_s)
                continue
            observation.update(row, self._clock.now())
            if self._is_directory_loaded() and self._can_acquire(shard, observation):
                await self._run_owner(shard, observation)
                observation = Observation()
            await anyio.sleep(self._timings.poll_s)

    def _can_acquire(self, shard: str, observation: Observation) -> bool:
        free_s = self._clock.now() - observation.since_s
        if decode_shard_row(observation.row).owner:
            free_s -= takeover_wait_s(self._timings)
        if free_s < 0:
            return False
        return free_s >= self._rank(shard) * 2 * self._timings.poll_s

    def _rank(self, shard: str) -> int:
        """Return the number of live instances that rank before this one."""
        names = self._live_instances()
        names.sort(key=lambda name: rendezvous_weight(shard, name))
        own_name = self._instance.partition(":")[0]
        return names.index(own_name) if own_name in names else len(names)

    async def _run_owner(self, shard: str, observation: Observation) -> None:
        """Acquire a shard, run its owner until it is stopped, and release the shard.

        Return if another instance acquires the shard, or after an unexpected error.
        """
        journal = Journal(
            self._table,
            self._objects,
            shard,
            self._instance,
            self._clock,
            self._timings,
        )
        inherited_lapse_s = self._inherited_lapse_s(observation)
        try:
            await journal.acquire(observation.row)
            log.info("shard_taken", shard=shard, epoch=journal.epoch)
            self._metrics.incr("shards.taken")
            owner = await self._recover(shard, journal, inherited_lapse_s)
            self.owner_by_shard[shard] = owner
            if self._stopping:
                owner.stop()
            await owner.run()
            await self._release(owner)
        except* OwnershipLost as group:
            detail = str(group.exceptions[0])
            log.warning("shard_lost", shard=shard, epoch=journal.epoch, detail=detail)
            self._metrics.incr("shards.lost")
        except* Exception as group:
            # The process owns other shards and routes requests. The lease of this
            # shard lapses, and any instance may take it then.
            log.error("owner_failed", shard=shard, epoch=journal.epoch, exc_info=group)
            self._metrics.incr("shards.failed")
        finally:
            self.owner_by_shard.pop(shard, None)

    async def _recover(
        self, shard: str, journal: Journal, inherited_lapse_s: float
    ) -> ShardOwner:
        while True:
            try:
                state = await journal.recover()
                break
            except TableUnavailable as error:
                log.warning("recovery_waits", shard=shard, detail=str(error))
                await anyio.sleep(self._timings.poll_s)
        return ShardOwner(self._context_for(shard), journal, state, inherited_lapse_s)

    def _inherited_lapse_s(self, observation: Observation) -> float:
        """Return the time by which leases that earlier owners granted have lapsed."""
        row = decode_shard_row(observation.row)
        if row.owner:
            return observation.since_s + orphan_wait_s(self._timings)
        wait_s = max(row.orphan_wait_s, worker_lapse_s(self._timings))
        return self._clock.now() + wait_s

    async def _release(self, owner: ShardOwner) -> None:
        """Release a shard, so that a successor need not wait for its lease to lapse.

        The row records how long attempts may still run on workers that this owner has
        not reached.
        """
        wait_s = 0.0
        for session in owner.sessions.session_by_worker.values():
            unknown = any(
                assignment.state is AssignmentState.UNKNOWN
                for assignment in session.assignment_by_task.values()
            )
            if unknown:
                wait_s = max(wait_s, session.view.lapse_s - self._clock.now())
        with anyio.move_on_after(RELEASE_LIMIT_S) as scope:
            await owner.journal.release(wait_s)
        log.info(
            "shard_released",
            shard=owner.context.shard,
            epoch=owner.journal.epoch,
            recorded=not scope.cancelled_caught,
        )


def _count_displaced(owner: ShardOwner) -> dict[str, int]:
    """Return the number of running tasks of each service with a zone out of service."""
    tree = owner.context.tree
    running_by_service = {}
    for declaration in services_of(tree):
        zones = declaration.instances_by_zone
        if all(tree.is_zone_open(zone) for zone in zones):
            continue
        running_by_service[declaration.name] = owner.count_running(declaration.name)
    return running_by_service
