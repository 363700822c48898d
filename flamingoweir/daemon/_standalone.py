"""Run a daemon with embedded stand-ins, to try the system on one machine."""

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
from ._daemon import Daemon, _handle_signals
from ._demo import run_demo
from ._server import HttpServer

log = get_logger()

LOOPBACK = "127.0.0.1"
WORKER_COUNT = 3
RUNNER_COUNT = 3
WORKER_CAPACITY = Resources(8_000, 32_000, 1)
#: Seconds that a task of a batch job runs.
BATCH_TASK_S = 1.0
#: Seconds that a runner takes for a request.
REQUEST_S = 0.002
SERVICE = "quotes"
#: Run time in seconds of a service task, which never ends by itself.
SERVICE_TASK_S = 1e9


def run_time(command: Command) -> tuple[float, AttemptStatus]:
    """Return the run time of a task in seconds and the status that it ends with.

    Tasks of class ``failing`` fail; service tasks run for `SERVICE_TASK_S`.
    """
    if command.job_class.startswith("service:"):
        return SERVICE_TASK_S, AttemptStatus.DONE
    if command.job_class == "failing":
        return BATCH_TASK_S, AttemptStatus.FAILED
    return BATCH_TASK_S, AttemptStatus.DONE


class Standins:
    """Platform, workers and runners of one zone on the loopback interface.

    Parameters
    ----------
    zone : str
        Availability zone of all workers and runners.

    Attributes
    ----------
    instances : MemoryInstanceList
        List of instances of the platform.
    table : MemoryTable
        Table service of the platform.
    objects : MemoryObjectStore
        Object store of the platform.
    worker_by_name : dict of str to StandinWorker
        The workers.
    runner_by_name : dict of str to StandinRunner
        The runners.
    platform_port : int
        Port of the platform; 0 before `start`.
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
        """Start the servers of platform, workers and runners in a task group."""
        app = PlatformApp(self.table, self.objects, self.instances)
        self.platform_port = await self._serve(tasks, app)
        for number in range(1, WORKER_COUNT + 1):
            await self._add_worker(tasks, number)
        for number in range(1, RUNNER_COUNT + 1):
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
                f"{LOOPBACK}:{port}",
                capacity=WORKER_CAPACITY,
            )
        )

    async def _add_runner(self, tasks: TaskGroup, number: int) -> None:
        name = f"runner-{number}"
        runner = StandinRunner(name, service_s=REQUEST_S)
        self.runner_by_name[name] = runner
        port = await self._serve(tasks, RunnerApp(runner))
        self.instances.add(
            Instance(
                name,
                InstanceKind.RUNNER,
                self.zone,
                f"rack-{number}",
                f"{LOOPBACK}:{port}",
                service=SERVICE,
            )
        )

    async def _serve(self, tasks: TaskGroup, app) -> int:
        server = HttpServer(app, LOOPBACK, 0)
        self._servers.append(server)
        return await tasks.start(server.run)


async def run_standalone(
    settings: Settings, env: Environment, demo: bool
) -> ExitStatus:
    """Run stand-ins and a daemon until a signal or the end of the demonstration.

    Parameters
    ----------
    settings : Settings
        All settings; the platform's address is replaced by that of the stand-in.
    env : Environment
        Streams for logs and for the output of the demonstration.
    demo : bool
        Whether to run the demonstration and exit.

    Returns
    -------
    ExitStatus
        Exit status of the process.
    """
    async with AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        standins = Standins(settings.instance.zone)
        await standins.start(tasks)
        platform = dataclasses.replace(
            settings.platform, address=f"{LOOPBACK}:{standins.platform_port}"
        )
        daemon = Daemon(dataclasses.replace(settings, platform=platform))
        await tasks.start(daemon.run)
        own = daemon.node.instance
        standins.instances.add(own)
        log.info(
            "standins_ready",
            service=SERVICE,
            workers=WORKER_COUNT,
            runners=RUNNER_COUNT,
        )
        if demo:
            exit_status = await run_demo(daemon, env, SERVICE)
        else:
            exit_status = await _handle_signals(daemon, env, None)
        standins.stop()
        tasks.cancel_scope.cancel()
    return exit_status
