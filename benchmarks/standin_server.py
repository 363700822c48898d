"""Stand-ins for the platform, workers and runners of several zones, in one process.

Prints the address of the platform and stops at the end of standard input.
"""

import argparse
import sys

import anyio
import anyio.to_thread

from flamingoweir.clock import BootClock
from flamingoweir.daemon._server import HttpServer
from flamingoweir.resources import Resources
from flamingoweir.standins import (
    MemoryInstanceList,
    MemoryObjectStore,
    MemoryTable,
    PlatformApp,
    RunnerApp,
    StandinRunner,
    StandinWorker,
    WorkerApp,
)
from flamingoweir.storage import Instance, InstanceKind
from flamingoweir.upstreams import AttemptStatus, Command

HOST = "127.0.0.1"
CAPACITY = Resources(64_000, 250_000, 2)
#: Run time of service tasks: they run until they are stopped.
SERVICE_RUN_S = 1e9


def run_time(command: Command) -> tuple[float, AttemptStatus]:
    """Return the run time in seconds and the final status of a command's task.

    Job class ``run-2.5`` means 2.5 s, a class without a number 1 s.
    """
    if command.job_class.startswith("service:"):
        return SERVICE_RUN_S, AttemptStatus.DONE
    return float(command.job_class.partition("-")[2] or 1), AttemptStatus.DONE


async def serve(zones: list[str], workers: int, runners: int, service_s: float) -> None:
    """Serve the stand-ins until standard input ends.

    Parameters
    ----------
    zones : list of str
        Zones to which workers and runners are assigned in turn.
    workers, runners : int
        Number of workers and runners in all zones.
    service_s : float
        Time that a runner takes for a request, in seconds.
    """
    instances, objects = MemoryInstanceList(), MemoryObjectStore()
    async with anyio.create_task_group() as tasks:
        for number in range(workers):
            zone = zones[number % len(zones)]
            name = f"{zone}-w{number}"
            worker = StandinWorker(name, CAPACITY, BootClock(), run_time, objects)
            port = await tasks.start(HttpServer(WorkerApp(worker), HOST, 0).run)
            instances.add(
                Instance(
                    name,
                    InstanceKind.WORKER,
                    zone,
                    f"{zone}-r{number // 8}",
                    f"{HOST}:{port}",
                    capacity=CAPACITY,
                )
            )
        for number in range(runners):
            zone = zones[number % len(zones)]
            name = f"{zone}-x{number}"
            runner = StandinRunner(name, service_s=service_s)
            port = await tasks.start(HttpServer(RunnerApp(runner), HOST, 0).run)
            instances.add(
                Instance(
                    name,
                    InstanceKind.RUNNER,
                    zone,
                    "",
                    f"{HOST}:{port}",
                    service="quotes",
                )
            )
        app = PlatformApp(MemoryTable(), objects, instances)
        port = await tasks.start(HttpServer(app, HOST, 0).run)
        print(f"{HOST}:{port}", flush=True)
        await anyio.to_thread.run_sync(sys.stdin.read)
        tasks.cancel_scope.cancel()


def main() -> None:
    """Read the arguments and serve the stand-ins."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--zones", default="gwynedd,powys,morgannwg")
    parser.add_argument("--workers", type=int, default=30)
    parser.add_argument("--runners", type=int, default=30)
    parser.add_argument("--service-ms", type=float, default=5.0)
    arguments = parser.parse_args()
    anyio.run(
        serve,
        arguments.zones.split(","),
        arguments.workers,
        arguments.runners,
        arguments.service_ms / 1000,
    )


if __name__ == "__main__":
    main()
