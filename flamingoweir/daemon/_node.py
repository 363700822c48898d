"""An entry instance without its servers: routing, scheduling and membership."""

import random
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from ..clock import Clock
from ..entry import OperatorHandler
from ..logs import get_logger
from ..membership import Directory, Hold, Peers, PeerTransport, StartPermit
from ..metrics import Metrics
from ..routing import IdempotencyKeys, Router, RunnerLink, RunnerTable
from ..scheduling import (
    JobHandler,
    OwnerContext,
    PeerFleetView,
    ShardManager,
    describe_job,
    describe_task,
)
from ..settings import Settings
from ..storage import (
    Instance,
    InstanceKind,
    InstanceList,
    ObjectStore,
    Table,
    TableUnavailable,
)
from ..tree import TreeStore
from ..upstreams import WorkerLink
from ._dump import describe_node

log = get_logger()

#: Seconds between attempts to send waiting requests to runners that became free
#: without a response to this instance.
ROUTER_PUMP_INTERVAL_S = 0.1
#: Seconds between deletions of old idempotency keys.
KEY_SWEEP_INTERVAL_S = 600.0


@dataclass(frozen=True, slots=True)
class NodeLinks:
    """Connections from an instance to the platform, workers, runners and peers.

    Attributes
    ----------
    table : Table
        Table service of the platform.
    objects : ObjectStore
        Object store of the platform.
    instances : InstanceList
        List of instances of the platform.
    connect_worker, connect_runner : callable
        Create the link to a worker or a runner, given its entry in the list.
    connect_peer : callable
        Creates the transport to a peer, given ``host:port``.
    """

    table: Table
    objects: ObjectStore
    instances: InstanceList
    connect_worker: Callable[[Instance], WorkerLink]
    connect_runner: Callable[[Instance], RunnerLink]
    connect_peer: Callable[[str], PeerTransport]


class Node:
    """One entry instance.

    Parameters
    ----------
    settings : Settings
        All settings.
    links : NodeLinks
        Connections to the platform, workers, runners and peers.
    clock : Clock
        Monotonic clock of this instance.
    generator : random.Random
        Source of random choices, jitter and the process id.
    metrics : Metrics
        Receives counters and gauges.

    Attributes
    ----------
    draining : bool
        Whether a shutdown has begun; the instance is then not ready.
    refusing : bool
        Whether new requests are refused, in the second phase of a shutdown.
    process : str
        Id of this process: the instance's name and 128 random bits.
    instance : Instance
        This instance's entry in the list of the platform.
    directory : Directory
        The list of instances as last read.
    store : TreeStore
        The settings tree.
    peers : Peers
        The other entry instances.
    permit : StartPermit
        Whether tasks may be started.
    shard_manager : ShardManager
        The shards that this process owns.
    router : Router
        Routes requests to runners.
    keys : IdempotencyKeys
        Stored responses by idempotency key.
    handler : OperatorHandler
        Handles the requests of operators.
    """

    def __init__(
        self,
        settings: Settings,
        links: NodeLinks,
        clock: Clock,
        generator: random.Random,
        metrics: Metrics,
    ):
        own = settings.instance
        self.settings = settings
        self.clock = clock
        self.links = links
        self.metrics = metrics
        self.draining = False
        self.refusing = False
        self.process = f"{own.name}:{uuid.UUID(int=generator.getrandbits(128)).hex}"
        self.instance = Instance(
            own.name,
            InstanceKind.ENTRY,
            own.zone,
            "",
            f"{own.host}:{own.peer_port}",
        )
        self.directory = Directory(links.instances, clock)
        self.store = TreeStore(links.table, links.objects, clock)
        self.peers = Peers(
            self.instance,
            self.directory,
            self.store,
            self,
            links.connect_peer,
            clock,
            settings.timings,
        )
        self.permit = StartPermit(
            self.store, self.peers, self.directory, clock, settings.timings
        )
        self.fleet = PeerFleetView(
            self.directory,
            self.store.tree,
            self.peers,
            self.permit,
            settings.scheduling.shards_per_zone,
        )
        self.shard_manager = ShardManager(
            self.process,
            self._create_owner_context,
            lambda: self.directory.is_loaded,
            lambda: self.peers.live_in_zone(own.zone),
            own.zone,
            settings.scheduling.shards_per_zone,
            links.table,
            links.objects,
            clock,
            settings.timings,
            metrics,
        )
        runners = RunnerTable(
            own.zone,
            self.directory,
            links.connect_runner,
            self._count_entry_instances,
            settings.requests,
            clock,
        )
        self.router = Router(
            runners,
            self.store.tree,
            settings.requests,
            clock,
            generator,
            metrics,
        )
        self.keys = IdempotencyKeys(links.table, time.time)
        self.handler = OperatorHandler(
            JobHandler(
                links.table,
                self.directory,
                self.fleet,
                self.peers.nudge,
                self._ask_shard,
                settings.scheduling.shards_per_zone,
            ),
            self.store,
            self.peers,
            self.directory,
            clock,
            settings.timings,
            lambda: describe_node(self),
            self.not_ready_reason,
            {},
        )

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._refresh_directory, name="list")
            tasks.start_soon(self._refresh_settings, name="settings")
            tasks.start_soon(self.peers.run, name="peers")
            tasks.start_soon(self.shard_manager.run, name="keeper")
            tasks.start_soon(self._pump_router, name="pump")
            tasks.start_soon(self._delete_old_keys, name="sweep")

    async def drain(self, notice_s: float, grace_s: float) -> bool:
        """Leave the ready state, finish requests in flight and release the shards.

        Parameters
        ----------
        notice_s : float
            Seconds during which new requests are still served.
        grace_s : float
            Seconds to wait for requests in flight, and again for the shards.

        Returns
        -------
        bool
            Whether all requests in flight were finished.
        """
        self.draining = True
        self.peers.leaving = True
        self.peers.announce()
        self.shard_manager.stop()
        await anyio.sleep(notice_s)
        self.refusing = True
        with anyio.move_on_after(grace_s):
            while self.router.in_flight:
                await anyio.sleep(0.02)
        with anyio.move_on_after(grace_s):
            while self.shard_manager.owner_by_shard:
                await anyio.sleep(0.02)
        return self.router.in_flight == 0

    def not_ready_reason(self) -> str:
        """Return why callers should use another instance; empty if ready."""
        if self.draining:
            return "shutting down"
        if not self.store.is_loaded:
            return "the settings have not been read yet"
        if not self.directory.is_loaded:
            return "the platform's list has not been read yet"
        return ""

    def holds(self) -> list[Hold]:
        """See `PeerService.holds`."""
        return self.shard_manager.holds()

    def nudge(self, shard: str) -> None:
        """See `PeerService.nudge`."""
        self.shard_manager.nudge(shard)

    async def answer(self, subject: str, argument: str) -> object | None:
        """See `PeerService.answer`."""
        shard, _, name = argument.partition(" ")
        owner = self.shard_manager.owner_by_shard.get(shard)
        if owner is None:
            return None
        if subject == "job":
            return describe_job(owner, name)
        if subject == "task":
            return describe_task(owner, name)
        return None

    async def _ask_shard(self, shard: str, name: str) -> dict | None:
        subject = "task" if "/" in name else "job"
        argument = f"{shard} {name}"
        if shard in self.shard_manager.owner_by_shard:
            return await self.answer(subject, argument)
        owner = self.peers.owner_of(shard)
        if owner is None:
            return None
        return await self.peers.query_peer(owner, subject, argument)

    def _create_owner_context(self, shard: str) -> OwnerContext:
        return OwnerContext(
            self.instance.zone,
            shard,
            self.links.table,
            self.directory,
            self.store.tree,
            self.fleet,
            self.links.connect_worker,
            self.clock,
            self.settings.timings,
            self.settings.scheduling,
            self.metrics,
        )

    def _count_entry_instances(self) -> int:
        return len(self.directory.of_kind(InstanceKind.ENTRY))

    async def _refresh_directory(self) -> None:
        while True:
            await self.directory.refresh()
            await anyio.sleep(2 * self.settings.timings.poll_s)

    async def _refresh_settings(self) -> None:
        while True:
            version = self.store.tree.version
            try:
                await self.store.refresh()
            except TableUnavailable as error:
                log.debug("settings_not_refreshed", detail=str(error))
            if self.store.tree.version > version:
                log.info("settings_in_force", version=self.store.tree.version)
                self.peers.announce()
            await anyio.sleep(self.settings.timings.poll_s)

    async def _pump_router(self) -> None:
        while True:
            self.router.admit_waiting()
            await anyio.sleep(ROUTER_PUMP_INTERVAL_S)

    async def _delete_old_keys(self) -> None:
        """Delete old idempotency keys, on the instance with the first name only."""
        while True:
            await anyio.sleep(KEY_SWEEP_INTERVAL_S)
            names = [
                peer.name for peer in self.peers.by_name.values() if peer.reachable
            ]
            if any(name < self.instance.name for name in names):
                continue
            deleted = await self.keys.sweep(self.settings.requests.key_keep_s)
            if deleted:
                log.info("idempotency_keys_deleted", deleted=deleted)
