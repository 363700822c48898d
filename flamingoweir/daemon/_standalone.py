"""Runs a daemon on embedded stand-ins, to try the system out."""

import dataclasses
from contextlib import AsyncExitStack

import anyio
from anyio.abc import TaskGroup

from ..clock import BootClock
from ..environment import Environment
from ..exit_status import ExitStatus
from ..logs import get_logger
from ..resources import Resources
from ..settings import Settings
from ..standins import (
    MemoryInstanceList,
    MemoryObjectStore,
    MemoryTable,
    PlatformApp,
    RunnerApp,
    StandinRunner,
    StandinWorker,
    WorkerApp,
)
from ..storage import Instance, InstanceKind
from ..upstreams import AttemptStatus, Command
from ._daemon import Daemon, _serve_signals
from ._demo import run_demo
from ._server import HttpServer

log = get_logger()

HOST = "127.0.0.1"
WORKERS = 3
RUNNERS = 3
WORKER_CAPACITY = Resources(8_000, 32_000, 1)
TASK_S = 1.0
SERVICE_S = 0.002
SERVICE = "quotes"
LONG_S = 1e9


def run_time(command: Command) -> tuple[float, AttemptStatus]:
    """Return how long a task takes and how it ends; service tasks never do."""
    if command.job_class.startswith("service:"):
        return LONG_S, AttemptStatus.DONE
    if command.job_class == "failing":
        return TASK_S, AttemptStatus.FAILED
    return TASK_S, AttemptStatus.DONE


class Standins:
    """Platform, workers and runners of one zone on loopback.

    Attributes
    ----------
    instances, table, objects
        The platform.
    worker_by_name, runner_by_name : dict
        The workers and runners.
    platform_port : int
        Where the platform listens.
    """

    def __init__(self, zone: str):
        self.zone = zone
        self.instances = MemoryInstanceList()
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.worker_by_name: dict[str, StandinWorker] = {}
        self.runner_by_name: dict[str, StandinRunner] = {}
        self.platform_port = 0
        self._servers: list[HttpServer] = []

    async def start(self, tasks: TaskGroup) -> None:
        """Start all servers in a task group."""
        app = PlatformApp(self.table, self.objects, self.instances)
        self.platform_port = await self._serve(tasks, app)
        for number in range(1, WORKERS + 1):
            await self._add_worker(tasks, number)
        for number in range(1, RUNNERS + 1):
            await self._add_runner(tasks, number)

    def stop(self) -> None:
        """Stop all servers."""
        for server in self._servers:
            server.stop()

    async def _add_worker(self, tasks: TaskGroup, number: int) -> None:
        name = f"worker-{number}"
        worker = StandinWorker(
            name, WORKER_CAPACITY, BootClock(), run_time, self.objects
        )
        self.worker_by_name[name] = worker
        port = await self._serve(tasks, WorkerApp(worker))
        self.instances.add(
            Instance(
                name,
                InstanceKind.WORKER,
                self.zone,
                f"rack-{(number + 1) // 2}",
                f"{HOST}:{port}",
                capacity=WORKER_CAPACITY,
            )
        )

    async def _add_runner(self, tasks: TaskGroup, number: int) -> None:
        name = f"runner-{number}"
        runner = StandinRunner(name, service_s=SERVICE_S)
        self.runner_by_name[name] = runner
        port = await self._serve(tasks, RunnerApp(runner))
        self.instances.add(
            Instance(
                name,
                InstanceKind.RUNNER,
                self.zone,
                f"rack-{number}",
                f"{HOST}:{port}",
                service=SERVICE,
            )
        )

    async def _serve(self, tasks: TaskGroup, app) -> int:
        server = HttpServer(app, HOST, 0)
        self._servers.append(server)
        return await tasks.start(server.run)


async def run_standalone(
    settings: Settings, env: Environment, demo: bool
) -> ExitStatus:
    """Run stand-ins and a daemon until told to stop, or until the demo ends."""
    async with AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        standins = Standins(settings.instance.zone)
        await standins.start(tasks)
        platform = dataclasses.replace(
            settings.platform, address=f"{HOST}:{standins.platform_port}"
        )
        daemon = Daemon(dataclasses.replace(settings, platform=platform))
        await tasks.start(daemon.run)
        own = daemon.node.instance
        standins.instances.add(own)
        log.info("standins_ready", service=SERVICE, workers=WORKERS, runners=RUNNERS)
        if demo:
            status = await run_demo(daemon, env, SERVICE)
        else:
            status = await _serve_signals(daemon, env, None)
        standins.stop()
        tasks.cancel_scope.cancel()
    return status
