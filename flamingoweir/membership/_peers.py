"""All peers: one task for each, settings relayed, questions answered."""

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

REMOTE_PEERS_PER_ZONE = 3
REMOTE_PING_FACTOR = 4


class PeerService(Protocol):
    """What an instance answers to its peers besides pings."""

    def holds(self) -> list[object]:
        """Return a ``Hold`` for each shard that the instance owns."""
        ...

    async def answer(self, subject: str, argument: str) -> object | None:
        """Answer a question with something that goes into JSON, or None."""
        ...

    def nudge(self, shard: str) -> None:
        """Look at a shard's inbox soon."""
        ...


class Peers:
    """The peers of this instance.

    Parameters
    ----------
    instance : Instance
        This instance.
    directory : Directory
        The platform's list.
    store : TreeStore
        This instance's settings tree.
    service : PeerService
        What answers peers' questions.
    connect : callable
        Makes the way to a peer from its address.
    clock, timings : Clock, Timings
        This instance's clock and periods.
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
        """Whether some peer has heard of this instance, or there is none.

        Before that a change of the settings must not be accepted here: peers
        without the store would not count this instance among those to ask.
        """
        if self._has_reached_peer:
            return True
        return all(peer.refused for peer in self.by_name.values())

    async def run(self) -> None:
        """Keep one task for each peer on the list until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._update_peers(tasks)
                await anyio.sleep(self._timings.poll_s)

    def announce(self) -> None:
        """Ping every peer at once, so that it learns of newer settings."""
        for wakeup in self._wakeup_by_name.values():
            wakeup.set()

    def live_in_zone(self, zone: str) -> list[str]:
        """Return this instance and the peers of a zone that answer and stay."""
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
        """Return the peer that says that it owns a shard, by the newest epoch."""
        owner, highest_epoch = None, 0
        for peer in self.by_name.values():
            if peer.pong is None or not peer.reachable:
                continue
            for hold in peer.pong.holds:
                if hold.shard == shard and hold.epoch > highest_epoch:
                    owner, highest_epoch = peer, hold.epoch
        return owner

    def all_holds(self) -> list[Hold]:
        """Return what this instance and its reachable peers own."""
        holds = list(self._service.holds())
        for peer in self.by_name.values():
            if peer.reachable and peer.pong is not None:
                holds.extend(peer.pong.holds)
        return holds

    async def query_peer(
        self, peer: Peer, subject: str, argument: str
    ) -> object | None:
        """Put a question to a peer; None if it can't answer."""
        try:
            reply = await peer.call(Request(query=Query(subject, argument)))
        except PeerUnreachable:
            return None
        if reply.result is None or not reply.result.known:
            return None
        return orjson.loads(reply.result.body)

    async def nudge(self, shard: str) -> None:
        """Tell a shard's owner to look at its inbox."""
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
        """Return a hash of the names of all entry instances known."""
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
        if name not in listed:
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
        """Return the time between pings: remote peers matter while the store is away.

        Then permits rest on their word; else they only pass on hints and settings,
        and newer settings are announced at once.
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
                log.warning("peer_silent", peer=peer.name, detail=str(error))
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
        log.info("settings_followed", peer=peer.name, version=self._store.tree.version)
        self.announce()


def rendezvous_weight(key: str, name: str) -> int:
    """Return the weight of ``name`` for ``key``; the lowest is preferred."""
    return stable_hash(f"{key}\n{name}")
