"""All peers of an instance.

One asynchronous task for each peer sends pings and fetches newer settings. Requests of
peers are answered here.
"""

from collections.abc import Callable
from typing import Protocol

import anyio
import orjson

from ..clock import Clock
from ..hashing import stable_hash
from ..logs import get_logger
from ..settings import TimingSettings
from ..storage import Instance, InstanceKind
from ..tree import TreeSnapshot, TreeStore, decode_change, encode_change
from ..wakeup import Wakeup
from ._directory import Directory
from ._peer import Peer, age_ms
from ._permit import latest_zone_outage
from ._transport import PeerTransport, PeerUnreachable
from ._wire import (
    Changes,
    ChangesAsked,
    Hold,
    Nudge,
    Ping,
    Pong,
    Query,
    QueryResult,
    Reply,
    Request,
)

log = get_logger()

#: Number of peers in each other zone that get pings.
REMOTE_PEERS_PER_ZONE = 3
#: Number of instances that are remembered although the platform doesn't list them, and
#: longest name of an instance.
MAX_UNLISTED = 256
MAX_NAME_LENGTH = 63
#: Ratio of the periods of pings to other zones and within the zone, while the store is
#: reachable.
REMOTE_PING_FACTOR = 4


class PeerService(Protocol):
    """Answers requests of peers other than pings."""

    def holds(self) -> list[object]:
        """Return a ``Hold`` for each shard that the instance owns."""
        ...

    async def answer(self, subject: str, argument: str) -> object | None:
        """Answer a query.

        Parameters
        ----------
        subject : str
            Kind of the requested object: ``job`` or ``task``.
        argument : str
            Shard and name of the object, separated by a space.

        Returns
        -------
        object or None
            A value that JSON can represent; None if the instance can't answer.
        """
        ...

    def nudge(self, shard: str) -> None:
        """Have a shard's owner, if it runs here, read the shard's inbox soon."""
        ...


class Peers:
    """The peers of this instance.

    Parameters
    ----------
    instance : Instance
        This instance.
    directory : Directory
        The platform's list of instances.
    store : TreeStore
        Settings tree of this instance.
    service : PeerService
        Answers requests of peers other than pings.
    connect : callable
        Creates the transport to a peer from the peer's address.
    clock : Clock
        Monotonic clock of this instance.
    timings : TimingSettings
        Periods of pings and of reads of the directory.

    Attributes
    ----------
    by_name : dict of str to Peer
        Peers to which this instance sends pings.
    leaving : bool
        Whether this instance is shutting down, as pings and pongs report it.
    """

    def __init__(
        self,
        instance: Instance,
        directory: Directory,
        store: TreeStore,
        service: PeerService,
        connect: Callable[[str], PeerTransport],
        clock: Clock,
        timings: TimingSettings,
    ):
        self.instance = instance
        self.by_name: dict[str, Peer] = {}
        self.leaving = False
        self._directory = directory
        self._store = store
        self._service = service
        self._connect = connect
        self._clock = clock
        self._timings = timings
        self._wakeup_by_name: dict[str, Wakeup] = {}
        self._scope_by_name: dict[str, anyio.CancelScope] = {}
        self._unlisted_names: set[str] = set()
        self._has_reached_peer = False

    @property
    def is_known_to_peers(self) -> bool:
        """Whether a peer has answered a ping, or all peers, if any, refuse connections.

        While this is False, a change of the settings must not be accepted here. Peers
        that can't reach the store do not yet ask this instance whether it can reach the
        store, and would conclude that no instance does.
        """
        if self._has_reached_peer:
            return True
        return all(peer.refused for peer in self.by_name.values())

    async def run(self) -> None:
        """Run one asynchronous task for each chosen peer until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._update_peers(tasks)
                await anyio.sleep(self._timings.poll_s)

    def announce(self) -> None:
        """Send a ping to every peer now, so that it fetches newer settings."""
        for wakeup in self._wakeup_by_name.values():
            wakeup.set()

    def live_in_zone(self, zone: str) -> list[str]:
        """Return the sorted names of a zone's reachable instances that aren't leaving.

        This instance is included if it lies in the zone.
        """
        names = []
        if zone == self.instance.zone and not self.leaving:
            names.append(self.instance.name)
        for peer in self.by_name.values():
            if peer.zone != zone or not peer.reachable:
                continue
            if peer.pong is None or peer.pong.leaving:
                continue
            names.append(peer.name)
        return sorted(names)

    def owner_of(self, shard: str) -> Peer | None:
        """Return the reachable peer that reports a shard with the highest epoch.

        Return None if no reachable peer reports that it owns the shard.
        """
        owner, highest_epoch = None, 0
        for peer in self.by_name.values():
            if peer.pong is None or not peer.reachable:
                continue
            for hold in peer.pong.holds:
                if hold.shard == shard and hold.epoch > highest_epoch:
                    owner, highest_epoch = peer, hold.epoch
        return owner

    def all_holds(self) -> list[Hold]:
        """Return the holds of this instance and of its reachable peers."""
        holds = list(self._service.holds())
        for peer in self.by_name.values():
            if peer.reachable and peer.pong is not None:
                holds.extend(peer.pong.holds)
        return holds

    async def query_peer(
        self, peer: Peer, subject: str, argument: str
    ) -> object | None:
        """Send a query to a peer; return None if the peer can't answer."""
        try:
            reply = await peer.call(Request(query=Query(subject, argument)))
        except PeerUnreachable:
            return None
        if reply.result is None or not reply.result.known:
            return None
        return orjson.loads(reply.result.body)

    async def nudge(self, shard: str) -> None:
        """Have a shard's owner, here or on a peer, read the shard's inbox soon."""
        self._service.nudge(shard)
        owner = self.owner_of(shard)
        if owner is None:
            return
        try:
            await owner.call(Request(nudge=Nudge(shard)))
        except PeerUnreachable:
            return

    async def answer(self, request: Request) -> Reply:
        """Answer a peer's request."""
        if request.ping is not None:
            return Reply(pong=self._answer_ping(request.ping))
        if request.changes is not None:
            return Reply(changes=self._changes_after(request.changes.after_version))
        if request.nudge is not None:
            self._service.nudge(request.nudge.shard)
            return Reply()
        if request.query is not None:
            query = request.query
            result = await self._service.answer(query.subject, query.argument)
            body = orjson.dumps(result).decode()
            return Reply(result=QueryResult(result is not None, body))
        return Reply()

    def members_digest(self) -> int:
        """Return a hash of the names of all entry instances known here.

        Instances that sent a ping count even while they aren't in the directory.
        """
        names = self._unlisted_names | {self.instance.name}
        for instance in self._directory.of_kind(InstanceKind.ENTRY):
            names.add(instance.name)
        return stable_hash("\n".join(sorted(names))) >> 1

    def _answer_ping(self, ping: Ping) -> Pong:
        peer = self.by_name.get(ping.instance)
        self._record_unlisted(ping.instance)
        if ping.settings_version > self._store.tree.version and peer is not None:
            self._wakeup_by_name[peer.name].set()
        now_s = self._clock.now()
        return Pong(
            instance=self.instance.name,
            zone=self.instance.zone,
            settings_version=self._store.tree.version,
            settings_age_ms=age_ms(now_s, self._store.confirmed_s),
            store_reachable=self._store.reachable,
            zone_outage_ms=age_ms(now_s, latest_zone_outage(self, self._store, now_s)),
            holds=self._service.holds(),
            members_digest=self.members_digest(),
            leaving=self.leaving,
        )

    def _record_unlisted(self, name: str) -> None:
        listed = self._directory.by_name
        self._unlisted_names = {
            other for other in self._unlisted_names if other not in listed
        }
        if name in listed or len(name) > MAX_NAME_LENGTH:
            return
        if len(self._unlisted_names) < MAX_UNLISTED:
            self._unlisted_names.add(name)

    def _changes_after(self, version: int) -> Changes:
        changes = self._store.tree.changes_after(version)
        if changes is None:
            snapshot = orjson.dumps(self._store.tree.snapshot()).decode()
            return Changes([], snapshot)
        return Changes([encode_change(change) for change in changes], None)

    def _update_peers(self, tasks: anyio.abc.TaskGroup) -> None:
        instance_by_name = {peer.name: peer for peer in self._choose_peers()}
        for name in list(self.by_name):
            current_peer = self.by_name[name]
            if (
                name in instance_by_name
                and instance_by_name[name].address == current_peer.address
            ):
                continue
            self._scope_by_name.pop(name).cancel()
            del self.by_name[name]
            del self._wakeup_by_name[name]
        for name, instance in instance_by_name.items():
            if name in self.by_name:
                continue
            peer = Peer(
                name,
                instance.zone,
                instance.address,
                self._connect(instance.address),
                self._clock,
            )
            self.by_name[name] = peer
            self._wakeup_by_name[name] = Wakeup()
            self._scope_by_name[name] = anyio.CancelScope()
            tasks.start_soon(self._run_peer, peer, name=f"peer {name}")

    def _choose_peers(self) -> list[Instance]:
        """Return all peers of this zone and a few of each other zone."""
        chosen = []
        remote_by_zone: dict[str, list[Instance]] = {}
        for instance in self._directory.of_kind(InstanceKind.ENTRY):
            if instance.name == self.instance.name:
                continue
            if instance.zone == self.instance.zone:
                chosen.append(instance)
                continue
            remote_by_zone.setdefault(instance.zone, []).append(instance)
        for remote_instances in remote_by_zone.values():
            remote_instances.sort(
                key=lambda other: rendezvous_weight(self.instance.name, other.name)
            )
            chosen.extend(remote_instances[:REMOTE_PEERS_PER_ZONE])
        return chosen

    async def _run_peer(self, peer: Peer) -> None:
        wakeup = self._wakeup_by_name[peer.name]
        with self._scope_by_name[peer.name]:
            try:
                while True:
                    await self._ping_peer(peer)
                    await wakeup.wait(self._ping_interval_s(peer))
            finally:
                await peer.transport.aclose()

    def _ping_interval_s(self, peer: Peer) -> float:
        """Return the seconds until the next ping to a peer.

        Peers of other zones get pings less often while the store is reachable: start
        permits depend on their pongs only during an outage of the store. Otherwise
        those peers only pass on holds and settings, and newer settings cause a ping at
        once.
        """
        if peer.zone == self.instance.zone or not self._store.reachable:
            return self._timings.heartbeat_s
        return REMOTE_PING_FACTOR * self._timings.heartbeat_s

    async def _ping_peer(self, peer: Peer) -> None:
        was_reachable = peer.reachable
        try:
            status = await peer.ping(self._create_ping())
            if status.pong.settings_version > self._store.tree.version:
                await self._fetch_changes(peer)
        except PeerUnreachable as error:
            if was_reachable:
                log.warning("peer_unreachable", peer=peer.name, detail=str(error))
            return
        self._has_reached_peer = True
        if not was_reachable:
            log.info("peer_reached", peer=peer.name, zone=peer.zone)
        if self._store.tree.version >= status.pong.settings_version:
            self._store.confirm(status.settings_confirmed_s)

    def _create_ping(self) -> Request:
        return Request(
            ping=Ping(
                self.instance.name,
                self.instance.zone,
                self.instance.address,
                self._store.tree.version,
                self.leaving,
            )
        )

    async def _fetch_changes(self, peer: Peer) -> None:
        message = ChangesAsked(self._store.tree.version)
        changes = (await peer.call(Request(changes=message))).changes
        if changes is None:
            return
        if changes.snapshot:
            self._store.tree.replace(TreeSnapshot(**orjson.loads(changes.snapshot)))
        for text in changes.changes:
            self._store.tree.apply(decode_change(text))
        log.info("settings_fetched", peer=peer.name, version=self._store.tree.version)
        self.announce()


def rendezvous_weight(key: str, name: str) -> int:
    """Return the rendezvous hash of ``name`` for ``key``; the lowest is preferred."""
    return stable_hash(f"{key}\n{name}")
