"""Bytes and microseconds per unit of state, message or operation.

Run ``python -m benchmarks.slopes``; docs/CAPACITY.md uses these figures. They are
measured on the real code on one core, with a table in memory. A memory figure is the
slope between two sizes; times are printed with the sizes that they belong to.
"""

import gc
import io
import os
import random
import resource
import time
import tracemalloc
from collections.abc import Callable

import anyio
import orjson

from flamingoweir import logs
from flamingoweir.clock import BootClock
from flamingoweir.membership import (
    Directory,
    Hold,
    Peer,
    Ping,
    Pong,
    Request,
    TcpPeerTransport,
)
from flamingoweir.membership._peer import status_from_pong
from flamingoweir.membership._wire import encode_frame
from flamingoweir.metrics import NoMetrics
from flamingoweir.resources import Resources
from flamingoweir.scheduling import JobSpec, OwnerContext, ShardOwner, ShardState
from flamingoweir.scheduling._assignment import Assignment
from flamingoweir.scheduling._events import TaskAssigned, TasksAdded, encode_events
from flamingoweir.scheduling._journal import Journal
from flamingoweir.scheduling._session import WorkerSession
from flamingoweir.scheduling._team_usage import TeamUsage
from flamingoweir.settings import SchedulingSettings, TimingSettings
from flamingoweir.standins import (
    MemoryInstanceList,
    MemoryObjectStore,
    MemoryTable,
    StandinWorker,
)
from flamingoweir.storage import Instance, InstanceKind
from flamingoweir.tree import Change, SettingsTree
from flamingoweir.upstreams import (
    AttemptStatus,
    Command,
    CommandKind,
    WorkerExchange,
    encode_report,
)

CAPACITY = Resources(64_000, 250_000, 2)


class SingleZoneFleetView:
    """A fleet view with one open zone, one shard and no state of other shards."""

    def may_start(self, zone: str) -> bool:
        """Return True: tasks may start in every zone."""
        return True

    def open_zones(self) -> list[str]:
        """Return the only zone."""
        return ["powys"]

    def open_shards(self) -> int:
        """Return 1, the number of shards."""
        return 1

    def shard_load(self, shard: str) -> None:
        """Return None: there is no state of other shards."""

    def count_running_elsewhere(self, service: str, shard: str) -> int:
        """Return 0: no other shard runs tasks of a service."""
        return 0


def make_spec(name: str, tasks: int, processors_milli: int = 1000) -> JobSpec:
    """Return a batch job whose tasks need 2000 MB each."""
    return JobSpec(name, "team", tasks, Resources(processors_milli, 2000), ["powys"])


def make_worker(number: int) -> Instance:
    """Return a worker of CAPACITY; 8 workers share a rack."""
    return Instance(
        f"powys-w{number}",
        InstanceKind.WORKER,
        "powys",
        f"rack-{number // 8}",
        "127.0.0.1:1",
        capacity=CAPACITY,
    )


def measure_bytes(build: Callable[[int], object], sizes: tuple[int, int]) -> float:
    """Return the bytes of memory per unit, from objects of two sizes.

    Parameters
    ----------
    build : callable
        Returns an object with the given number of units.
    sizes : tuple of int
        The two numbers of units.
    """
    used_bytes = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = build(size)
        used_bytes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    return (used_bytes[1] - used_bytes[0]) / (sizes[1] - sizes[0])


def print_figure(name: str, value: float, unit: str) -> None:
    """Print a figure with its name and unit."""
    print(f"{name:52s} {value:12.1f} {unit}")


def build_tasks(count: int) -> ShardState:
    """Return a state with `count` queued tasks, in jobs of 100 tasks."""
    state = ShardState()
    for number in range(count // 100):
        state.apply(TasksAdded(make_spec(f"job-{number:06d}", 100), 0, 100))
    return state


def build_jobs(count: int) -> ShardState:
    """Return a state with `count` jobs of one task each."""
    state = ShardState()
    for number in range(count):
        state.apply(TasksAdded(make_spec(f"job-{number:06d}", 1), 0, 1))
    return state


def build_assignments(count: int) -> list[Assignment]:
    """Return `count` assignments of one job."""
    spec = make_spec("job-000001", 100)
    return [Assignment(spec, number, 1) for number in range(count)]


def build_sessions(count: int) -> list[WorkerSession]:
    """Return sessions with `count` idle workers."""
    clock, timings = BootClock(), TimingSettings()
    sessions = []
    for number in range(count):
        sessions.append(
            WorkerSession(
                make_worker(number),
                None,
                "powys/0",
                1,
                None,
                lambda: True,
                lambda: None,
                clock,
                timings,
                0.0,
                TeamUsage(),
            )
        )
    return sessions


def build_tree(count: int) -> SettingsTree:
    """Return a settings tree with `count` values."""
    tree = SettingsTree()
    for number in range(count):
        path = f"quotas/team-{number}/weight"
        tree.by_path[path] = str(number)
    return tree


def build_peers(count: int) -> list[Peer]:
    """Return `count` peers that have answered a ping."""
    peers = []
    for number in range(count):
        name = f"powys-e{number}"
        address = f"127.0.0.1:{10_000 + number}"
        peer = Peer(name, "powys", address, TcpPeerTransport(address), BootClock())
        hold = Hold("powys/0", 3, 10, 5000, {})
        pong = Pong(name, "powys", 1, 5, True, -1, [hold], number, False)
        peer.status = status_from_pong(1000.0 + number, pong)
        peers.append(peer)
    return peers


def measure_memory() -> None:
    """Print the bytes per unit of state, and the resident memory of the process."""
    print_figure(
        "state: a queued task", measure_bytes(build_tasks, (1000, 21_000)), "B"
    )
    print_figure(
        "state: a job of one task", measure_bytes(build_jobs, (100, 5100)), "B"
    )
    print_figure(
        "state: an assignment", measure_bytes(build_assignments, (100, 10_100)), "B"
    )
    print_figure(
        "state: a worker's session", measure_bytes(build_sessions, (10, 1010)), "B"
    )
    print_figure("state: a peer", measure_bytes(build_peers, (10, 510)), "B")
    print_figure(
        "state: a settings value", measure_bytes(build_tree, (100, 10_100)), "B"
    )
    usage_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    print_figure(
        "resident: interpreter with everything imported", usage_kb / 1024, "MB"
    )


def measure_messages() -> None:
    """Print the bytes per journal entry and message."""
    assigned = [TaskAssigned("job-000001", n, "powys-w12", 1) for n in range(100)]
    print_figure("journal: an assignment", len(encode_events(assigned)) / 100, "B")
    hold = Hold("powys/0", 3, 10, 5000, {})
    pong = Pong("powys-e1", "powys", 1, 5, True, -1, [hold], 1, False)
    ping = Request(ping=Ping("powys-e1", "powys", "10.0.0.1:8081", 1, False))
    size = len(encode_frame(pong)) + len(encode_frame(ping))
    print_figure("peer: a ping and its pong", size, "B")
    exchange = WorkerExchange("powys/0", 1, "w:1", 1.0, 1.0)
    idle = len(orjson.dumps(exchange, default=tuple))
    print_figure("worker: an idle exchange's body", idle, "B")
    print_figure("worker: a START command", command_bytes() - idle, "B")
    print_figure("worker: an attempt in a report", attempt_bytes(), "B")
    change = Change(1, "change-1", "rounds", "quotas", {"quotas/rounds/weight": "2"})
    print_figure("settings: a change", len(orjson.dumps(change)), "B")


def command_bytes() -> int:
    """Return the bytes of an exchange with one START command."""
    command = Command(CommandKind.START, "job-000001/12", 1, Resources(1000, 2000))
    exchange = WorkerExchange("powys/0", 1, "w:1", 1.0, 1.0, [command])
    return len(orjson.dumps(exchange, default=tuple))


def attempt_bytes() -> int:
    """Return the bytes that one running attempt adds to a worker's report."""
    worker = StandinWorker(
        "powys-w1",
        CAPACITY,
        BootClock(),
        lambda command: (1e9, AttemptStatus.DONE),
        MemoryObjectStore(),
    )
    empty = worker.exchange(WorkerExchange("powys/0", 1))
    command = Command(CommandKind.START, "job-000001/12", 1, Resources(1000, 2000))
    until_s = empty.clock_s + 1000
    full = worker.exchange(
        WorkerExchange("powys/0", 1, empty.incarnation, until_s, until_s, [command])
    )
    return len(encode_report(full)) - len(encode_report(empty))


async def create_owner(workers: int) -> ShardOwner:
    """Return an owner of idle workers that have reported."""
    table, objects, clock = MemoryTable(), MemoryObjectStore(), BootClock()
    instances = MemoryInstanceList()
    directory = Directory(instances, clock)
    timings = TimingSettings()
    journal = Journal(table, objects, "powys/0", "e1:1", clock, timings)
    await journal.acquire(None)
    context = OwnerContext(
        "powys",
        "powys/0",
        table,
        directory,
        SettingsTree(),
        SingleZoneFleetView(),
        lambda worker: None,
        clock,
        timings,
        SchedulingSettings(),
        NoMetrics(),
    )
    owner = ShardOwner(context, journal, ShardState(), 0.0)
    for session in build_sessions(workers):
        session.view.incarnation = "w:1"
        owner.sessions.session_by_worker[session.instance.name] = session
    return owner


async def measure_placement() -> None:
    """Print the microseconds per placed task, by number of workers."""
    for workers in (30, 233, 2800):
        owner = await create_owner(workers)
        tasks = min(400, workers * 30)
        owner.state.apply(TasksAdded(make_spec("job", tasks), 0, tasks))
        started_s = time.process_time()
        choices = owner.placer.place_tasks()
        spent_s = time.process_time() - started_s
        name = f"placement: a task among {workers} workers"
        print_figure(name, spent_s / len(choices) * 1e6, "us")


async def measure_commits() -> None:
    """Print the rows and the microseconds per start, by starts in a commit."""
    for starts in (1, 10, 100):
        owner = await create_owner(233)
        owner.state.apply(
            TasksAdded(make_spec("job", 100 * starts, 10), 0, 100 * starts)
        )
        table = owner.context.table
        rows = table.rows_written
        started_s = time.process_time()
        for number in range(100):
            first = number * starts
            events = [
                TaskAssigned("job", first + n, "powys-w1", 1) for n in range(starts)
            ]
            for event in events:
                owner.state.apply(event)
            await owner.journal.commit(events)
        spent_s = time.process_time() - started_s
        written = (table.rows_written - rows) / 100 / starts
        print_figure(f"commit of {starts} starts: rows per start", written, "rows")
        print_figure(
            f"commit of {starts} starts: time per start",
            spent_s / 100 / starts * 1e6,
            "us",
        )


async def measure_exchange() -> None:
    """Print the microseconds that an owner needs for an exchange, by attempts.

    Building and encoding the message and processing the report count; the worker does
    not.
    """
    for attempts in (0, 12, 48):
        owner = await create_owner(1)
        session = next(iter(owner.sessions.session_by_worker.values()))
        worker = StandinWorker(
            "powys-w0",
            CAPACITY,
            BootClock(),
            lambda command: (1e9, AttemptStatus.DONE),
            MemoryObjectStore(),
        )
        session._lease = owner.journal.lease
        session.view.incarnation = ""
        session._process_report(
            session._build_message(), worker.exchange(session._build_message())
        )
        for assignment in build_assignments(attempts):
            session.assign(assignment)
        for _ in range(2):
            message = session._build_message()
            session._process_report(message, worker.exchange(message))
        rounds = 2000
        spent_s = 0.0
        for _ in range(rounds):
            started_s = time.process_time()
            message = session._build_message()
            body = orjson.dumps(message, default=tuple)
            spent_s += time.process_time() - started_s
            reported = worker.exchange(message)
            started_s = time.process_time()
            session._process_report(message, reported)
            spent_s += time.process_time() - started_s
        assert body
        name = f"exchange with {attempts} attempts, without HTTP"
        print_figure(name, spent_s / rounds * 1e6, "us")


def main() -> None:
    """Print all figures."""
    logs.configure(io.StringIO(), "error")
    random.seed(1)
    print(f"# {os.cpu_count()} cores")
    measure_memory()
    measure_messages()
    anyio.run(measure_placement)
    anyio.run(measure_commits)
    anyio.run(measure_exchange)


if __name__ == "__main__":
    main()
