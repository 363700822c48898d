"""Entry instances, workers and a platform in one process, in virtual time.

Links between them are simulated by `Network`, which delays, loses and blocks messages.
"""

import contextvars
import random
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from flamingoweir.daemon._node import Node, NodeLinks
from flamingoweir.membership import PeerUnreachable
from flamingoweir.metrics import NoMetrics
from flamingoweir.settings import SchedulingSettings, TimingSettings
from flamingoweir.standins import (
    MemoryInstanceList,
    MemoryObjectStore,
    MemoryTable,
    StandinWorker,
)
from flamingoweir.storage import TableUnavailable, TransactionUnknown
from flamingoweir.upstreams import AttemptStatus, Command, WorkerUnreachable
from tests.utils.builders import make_entry, make_resources, make_settings, make_worker
from tests.utils.virtual_time import Process, VirtualClock, current_process

NETWORK_DELAY_S = 0.001
TIMEOUT_S = 1.0
#: Run time of service tasks: they run until they are stopped.
SERVICE_RUN_S = 1e9


def run_time(command: Command) -> tuple[float, AttemptStatus]:
    """Return the run time in seconds and the final status of a command's task.

    Job class ``run-12`` means DONE after 12 s, ``fail-3`` means FAILED after 3 s. A
    class without a number means 5 s.
    """
    if command.job_class.startswith("service:"):
        return SERVICE_RUN_S, AttemptStatus.DONE
    kind, _, seconds = command.job_class.partition("-")
    status = AttemptStatus.FAILED if kind == "fail" else AttemptStatus.DONE
    return float(seconds or 5), status


class Network:
    """Simulated network faults: disconnected pairs, lost messages, late messages.

    Parameters
    ----------
    tasks : TaskGroup
        Runs the late deliveries.
    seed : int
        Seed of the random numbers.

    Attributes
    ----------
    random : random.Random
        Source of losses and delays.
    disconnected_pairs : set of tuple of str
        Pairs of names that can't reach each other, in either direction.
    loss_probability : float
        Probability from 0 to 1 that a message or its answer is lost or late.
    delivery_delay_s_by_worker : dict of str to float
        Delay of the next exchange with commands to a worker. An entry is removed
        when it was used.
    """

    def __init__(self, tasks: TaskGroup, seed: int):
        self.random = random.Random(seed)
        self.disconnected_pairs: set[tuple[str, str]] = set()
        self.loss_probability = 0.0
        self.delivery_delay_s_by_worker: dict[str, float] = {}
        self._tasks = tasks
        self._context = contextvars.copy_context()

    def is_disconnected(self, one: str, other: str) -> bool:
        """Return whether two members can't reach each other."""
        return (one, other) in self.disconnected_pairs or (
            other,
            one,
        ) in self.disconnected_pairs

    def call_later(
        self, function: Callable[[], object], delay_s: float | None = None
    ) -> None:
        """Call a function after a delay, by default a random one from 0.5 to 20 s.

        The call runs in the context of the network, so that it happens even if the
        sender's process is paused or killed meanwhile.
        """
        if delay_s is None:
            delay_s = self.random.uniform(0.5, 20.0)

        async def deliver() -> None:
            await anyio.sleep(delay_s)
            result = function()
            if result is not None:
                await result

        self._context.run(self._tasks.start_soon, deliver)

    def draw_loss(self) -> bool:
        """Draw whether the next message is lost or late."""
        return self.random.random() < self.loss_probability


class TableLink:
    """The table service as one instance reaches it.

    A transaction that is hit by a loss is with equal probability applied late, applied
    at once without an answer, or not applied. All three raise `TransactionUnknown`.
    """

    def __init__(self, node: str, table: MemoryTable, network: Network):
        self._node = node
        self._table = table
        self._network = network

    async def transact(self, preconditions, writes):
        await self._pass_network()
        if self._network.draw_loss():
            loss_kind = self._network.random.randrange(3)
            if loss_kind == 0:
                self._network.call_later(
                    lambda: self._transact_ignoring_errors(preconditions, writes)
                )
            if loss_kind == 1:
                await self._table.transact(preconditions, writes)
            await anyio.sleep(TIMEOUT_S)
            raise TransactionUnknown("the transaction or its answer was lost")
        return await self._table.transact(preconditions, writes)

    async def get(self, key):
        await self._pass_network()
        return await self._table.get(key)

    async def scan(self, prefix, after="", limit=1000):
        await self._pass_network()
        return await self._table.scan(prefix, after, limit)

    async def _transact_ignoring_errors(self, preconditions, writes) -> None:
        try:
            await self._table.transact(preconditions, writes)
        except Exception:
            return

    async def _pass_network(self) -> None:
        """Wait for the network delay; raise TableUnavailable while disconnected."""
        await anyio.sleep(NETWORK_DELAY_S)
        if self._network.is_disconnected(self._node, "store"):
            await anyio.sleep(TIMEOUT_S)
            raise TableUnavailable("the store is disconnected")


class InstanceListLink:
    """The list of instances as one instance reaches it."""

    def __init__(self, node: str, instances: MemoryInstanceList, network: Network):
        self._node = node
        self._instances = instances
        self._network = network

    async def instances(self):
        await anyio.sleep(NETWORK_DELAY_S)
        if self._network.is_disconnected(self._node, "store"):
            raise TableUnavailable("the store is disconnected")
        return await self._instances.instances()


class FakeWorkerLink:
    """A worker as one instance reaches it.

    An exchange that is hit by a loss is with equal probability delivered late,
    delivered at once without an answer, or not delivered. All three raise
    `WorkerUnreachable`.
    """

    def __init__(self, node: str, worker: StandinWorker, network: Network):
        self._node = node
        self._worker = worker
        self._network = network

    async def exchange(self, message):
        await anyio.sleep(NETWORK_DELAY_S)
        if self._network.is_disconnected(self._node, self._worker.name):
            await anyio.sleep(TIMEOUT_S)
            raise WorkerUnreachable("the worker is disconnected")
        delay_s = self._network.delivery_delay_s_by_worker.get(self._worker.name)
        if delay_s is not None and message.commands:
            del self._network.delivery_delay_s_by_worker[self._worker.name]
            self._network.call_later(lambda: self._deliver(message), delay_s)
            await anyio.sleep(TIMEOUT_S)
            raise WorkerUnreachable("the message is delivered late")
        if self._network.draw_loss():
            loss_kind = self._network.random.randrange(3)
            if loss_kind == 0:
                self._network.call_later(lambda: self._deliver(message))
            if loss_kind == 1:
                self._worker.exchange(message)
            await anyio.sleep(TIMEOUT_S)
            raise WorkerUnreachable("the message or its answer was lost")
        report = self._worker.exchange(message)
        await anyio.sleep(NETWORK_DELAY_S)
        return report

    def _deliver(self, message) -> None:
        self._worker.exchange(message)


class FakePeerTransport:
    """A peer as one instance reaches it."""

    def __init__(self, node: str, peer: str, fleet: "Fleet"):
        self._node = node
        self._peer = peer
        self._fleet = fleet

    async def call(self, request):
        await anyio.sleep(NETWORK_DELAY_S)
        fleet = self._fleet
        member = fleet.by_name.get(self._peer)
        if fleet.network.is_disconnected(self._node, self._peer):
            await anyio.sleep(TIMEOUT_S)
            raise PeerUnreachable("the peer is disconnected")
        if member is None or member.node is None:
            raise PeerUnreachable("connection refused", refused=True)
        if member.process.paused:
            await anyio.sleep(TIMEOUT_S)
            raise PeerUnreachable("the peer's process is paused")
        return await member.node.peers.answer(request)

    async def aclose(self) -> None:
        return


class Member:
    """An entry instance and its current process, if it has one.

    Attributes
    ----------
    name, zone : str
        Name and zone of the instance.
    clock : VirtualClock
        Clock of the instance, with its drift.
    process : Process
        The current process; it can be paused.
    node : Node or None
        The instance's parts, None while no process runs.
    scope : anyio.CancelScope
        Cancelled to kill the process.
    """

    def __init__(self, name: str, zone: str, clock: VirtualClock):
        self.name = name
        self.zone = zone
        self.clock = clock
        self.process = Process()
        self.node: Node | None = None
        self.scope = anyio.CancelScope()


class Fleet:
    """Entry instances, workers and a platform.

    Parameters
    ----------
    tasks : TaskGroup
        Runs the instances and late deliveries.
    zones : sequence of str
        Names of the zones.
    entries, workers : int
        Entry instances and workers in each zone.
    seed : int
        Seed of the random numbers of the network and of the instances.
    timings : TimingSettings, optional
        Timings of the instances; by default those of `make_settings`.
    scheduling : SchedulingSettings, optional
        Scheduling settings of the instances.

    Attributes
    ----------
    network : Network
        Simulated faults of all links.
    table, objects, instances
        The platform: its table service, object store and list of instances.
    by_name : dict of str to Member
        Entry instances by name.
    worker_by_name : dict of str to StandinWorker
        Workers by name.
    clock_rate_by_worker : dict of str to float
        Rate of each worker's clock; at most a third of the tolerated drift from 1.
    incidents : list of tuple
        (worker, from, until) in seconds: spans in which a worker was disconnected or
        restarted.
    connect_runner : callable
        Creates the link to a runner, given its entry in the list.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        zones=("gwynedd", "powys"),
        entries: int = 2,
        workers: int = 2,
        seed: int = 0,
        timings: TimingSettings | None = None,
        scheduling: SchedulingSettings | None = None,
    ):
        self.tasks = tasks
        self.zones = list(zones)
        self.network = Network(tasks, seed)
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.instances = MemoryInstanceList()
        self.by_name: dict[str, Member] = {}
        self.worker_by_name: dict[str, StandinWorker] = {}
        self.clock_rate_by_worker: dict[str, float] = {}
        self.incidents: list[tuple[str, float, float]] = []
        self.connect_runner = lambda runner: None
        self._timings = timings
        self._scheduling = scheduling or SchedulingSettings()
        self._random = random.Random(seed)
        drift = (timings or make_settings().timings).drift / 3
        for zone in self.zones:
            for number in range(workers):
                self._add_worker(zone, number, drift)
            for number in range(entries):
                self._add_member(f"{zone}-e{number}", zone, drift)

    def start(self) -> None:
        """Start all entry instances."""
        for name in self.by_name:
            self.start_member(name)

    def start_member(self, name: str) -> None:
        """Start a new process for an entry instance."""
        member = self.by_name[name]
        member.process = Process()
        member.scope = anyio.CancelScope()
        settings = make_settings(name, member.zone, scheduling=self._scheduling)
        if self._timings is not None:
            settings = make_settings(
                name, member.zone, timings=self._timings, scheduling=self._scheduling
            )
        links = NodeLinks(
            TableLink(name, self.table, self.network),
            self.objects,
            InstanceListLink(name, self.instances, self.network),
            lambda worker: FakeWorkerLink(
                name, self.worker_by_name[worker.name], self.network
            ),
            lambda runner: self.connect_runner(runner),
            lambda address: FakePeerTransport(name, address, self),
        )
        seed = self._random.getrandbits(64)
        member.node = Node(
            settings, links, member.clock, random.Random(seed), NoMetrics()
        )
        context = contextvars.copy_context()
        context.run(current_process.set, member.process)
        context.run(self.tasks.start_soon, self._run_member, member, member.node)

    async def _run_member(self, member: Member, node: Node) -> None:
        with member.scope:
            node.instance = make_entry(member.name, member.zone)
            node.peers.instance = node.instance
            await node.run()

    def kill(self, name: str) -> None:
        """Kill the process of an entry instance, also if it is paused."""
        member = self.by_name[name]
        member.node = None
        member.scope.cancel()
        if member.process.paused:
            member.process.resume()

    def live_nodes(self) -> list[Node]:
        """Return the nodes whose processes run and are not paused."""
        nodes = []
        for member in self.by_name.values():
            if member.node is not None and not member.process.paused:
                nodes.append(member.node)
        return nodes

    def owner_name(self, shard: str) -> str | None:
        """Return the name of the first instance that owns a shard, or None."""
        for member in self.by_name.values():
            if member.node and shard in member.node.shard_manager.owner_by_shard:
                return member.name
        return None

    def restart_worker(self, name: str) -> None:
        """Restart a worker, which kills its attempts."""
        now_s = anyio.current_time()
        self.incidents.append((name, now_s, now_s))
        self.worker_by_name[name].restart()

    def disconnect_worker(self, name: str, until_s: float) -> None:
        """Disconnect a worker from all instances.

        `until_s` is when the caller will reconnect it; it is only recorded.
        """
        self.incidents.append((name, anyio.current_time(), until_s))
        for member in self.by_name:
            self.network.disconnected_pairs.add((member, name))

    def reconnect_worker(self, name: str) -> None:
        """Reconnect a worker to all instances."""
        for member in self.by_name:
            self.network.disconnected_pairs.discard((member, name))

    def _add_worker(self, zone: str, number: int, drift: float) -> None:
        name = f"{zone}-w{number}"
        worker = make_worker(name, zone, capacity=make_resources(8, 32_000))
        rate = 1 + self._random.uniform(-drift, drift)
        self.clock_rate_by_worker[name] = rate
        clock = VirtualClock(rate)
        self.worker_by_name[name] = StandinWorker(
            name, worker.capacity, clock, run_time, self.objects
        )
        self.instances.add(worker)

    def _add_member(self, name: str, zone: str, drift: float) -> None:
        clock = VirtualClock(1 + self._random.uniform(-drift, drift))
        self.by_name[name] = Member(name, zone, clock)
        self.instances.add(make_entry(name, zone))
