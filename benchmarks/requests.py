"""Runner choice, overload and retries in virtual time, and the overhead of a daemon.

Run ``python -m benchmarks.requests``. The parts in virtual time send requests through
the real routers of 8 entry instances to 27 runners with 8 slots each. The part
``daemon`` sends requests over HTTP through a daemon and, as a baseline, through a
minimal relay in this module.
"""

import argparse
import io
import pathlib
import random
import subprocess
import sys
import tempfile
import time

import anyio
import httpcore
import uvicorn

from benchmarks.process_fleet import HOST, ProcessFleet, find_free_port
from flamingoweir import logs
from flamingoweir.errors import FlamingoweirError, Verdict
from flamingoweir.membership import Directory
from flamingoweir.metrics import NoMetrics
from flamingoweir.routing import Router, RunnerTable
from flamingoweir.settings import RequestSettings
from flamingoweir.standins import MemoryInstanceList, RunnerFault, StandinRunner
from flamingoweir.storage import Instance, InstanceKind
from flamingoweir.transport import new_connection
from flamingoweir.tree import SettingsTree
from tests.utils.runners import FakeRunnerLink, make_request
from tests.utils.virtual_time import VirtualClock, run_virtual

ENTRIES, RUNNERS, SLOTS = 8, 27, 8
ZONES = ("gwynedd", "powys", "morgannwg")
#: Mean time of a request on a runner at normal speed.
SERVICE_S = 0.05
#: Fraction of slow runners, and the factor by which their requests take longer.
SLOW_SHARE, SLOW_FACTOR = 0.1, 5.0
RUN_S = 15.0
DEADLINE_S = 1.0


class VaryingRunner(StandinRunner):
    """A runner whose requests take an exponentially distributed time.

    Parameters
    ----------
    name : str
        Name of the runner.
    mean_s : float
        Mean time of a request in seconds.
    generator : random.Random
        Source of the times.
    """

    def __init__(self, name: str, mean_s: float, generator: random.Random):
        super().__init__(name, slots=SLOTS)
        self._mean_s = mean_s
        self._random = generator

    async def execute(self, request_id: str, service_s=None) -> None:
        """See `StandinRunner.execute`."""
        await super().execute(request_id, self._random.expovariate(1 / self._mean_s))


class LoadGenerator:
    """Requests sent at random times, whether or not earlier ones ended, and results.

    Attributes
    ----------
    latencies_s : list of float
        Seconds from sending to the answer, for answered requests.
    refusals_s : list of float
        Seconds until the error, for requests with verdict NOT_RUN.
    failed : int
        Number of requests that failed with another verdict.
    """

    def __init__(self):
        self.latencies_s: list[float] = []
        self.refusals_s: list[float] = []
        self.failed = 0

    async def call(self, router: Router, number: int) -> None:
        """Send a request through a router and record its result."""
        started_s = anyio.current_time()
        request = make_request(number, number % 2 == 0, started_s + DEADLINE_S)
        await request.body.prefetch()
        try:
            await router.serve(request)
        except FlamingoweirError as error:
            spent_s = anyio.current_time() - started_s
            if error.verdict is Verdict.NOT_RUN:
                self.refusals_s.append(spent_s)
            else:
                self.failed += 1
            return
        router.finish(request)
        self.latencies_s.append(anyio.current_time() - started_s)

    def percentile(self, fraction: float) -> float:
        """Return a percentile of the latency in milliseconds, 0 without answers.

        `fraction` is from 0 to 1.
        """
        ordered = sorted(self.latencies_s)
        return ordered[int(fraction * (len(ordered) - 1))] * 1000 if ordered else 0.0


async def run_load(choice: str, utilisation: float, seed: int, failing: float) -> tuple:
    """Send requests at a fraction of the runners' capacity for RUN_S seconds.

    Parameters
    ----------
    choice : str
        Policy by which routers choose runners.
    utilisation : float
        Request rate as a fraction of the capacity; may be above 1.
    seed : int
        Seed of arrivals, request times and routers.
    failing : float
        Fraction of the runners that reset each connection after execution.

    Returns
    -------
    load : Load
        Results of the requests.
    received : int
        Number of requests that the runners received, with retries.
    number : int
        Number of requests sent.
    capacity_per_s : float
        Requests per second that all runners can execute.
    """
    generator = random.Random(seed)
    clock = VirtualClock()
    load = LoadGenerator()
    async with anyio.create_task_group() as tasks:
        instances = MemoryInstanceList()
        runner_by_name = {}
        capacity_per_s = 0.0
        for number in range(RUNNERS):
            name = f"x{number}"
            slow = generator.random() < SLOW_SHARE
            mean_s = SERVICE_S * (SLOW_FACTOR if slow else 1.0)
            capacity_per_s += SLOTS / mean_s
            runner = VaryingRunner(name, mean_s, generator)
            if number < failing * RUNNERS:
                runner.faults = [RunnerFault.RESET_AFTER] * 1_000_000
            runner_by_name[name] = runner
            zone = ZONES[number % len(ZONES)]
            instances.add(
                Instance(name, InstanceKind.RUNNER, zone, "", "", service="quotes")
            )
        directory = Directory(instances, clock)
        await directory.refresh()
        requests = RequestSettings(choice=choice, team_limit=100_000)
        routers = [
            Router(
                RunnerTable(
                    ZONES[number % len(ZONES)],
                    directory,
                    lambda instance: FakeRunnerLink(
                        runner_by_name[instance.name], tasks
                    ),
                    lambda: ENTRIES,
                    requests,
                    clock,
                ),
                SettingsTree(),
                requests,
                clock,
                random.Random(seed + number),
                NoMetrics(),
            )
            for number in range(ENTRIES)
        ]
        for router in routers:
            tasks.start_soon(admit_waiting, router)
        number = 0
        until_s = anyio.current_time() + RUN_S
        while anyio.current_time() < until_s:
            tasks.start_soon(load.call, routers[number % ENTRIES], number)
            number += 1
            await anyio.sleep(generator.expovariate(capacity_per_s * utilisation))
        await anyio.sleep(3.0)
        tasks.cancel_scope.cancel()
    received = sum(runner.received for runner in runner_by_name.values())
    return load, received, number, capacity_per_s


async def admit_waiting(router: Router) -> None:
    """Admit waiting requests of a router every 0.1 s, as its node does."""
    while True:
        router.admit_waiting()
        await anyio.sleep(0.1)


def compare_choices() -> None:
    """Print latency and refusals by policy of runner choice and load."""
    print("choice        load   p50 ms   p99 ms   refused   p99 / two_choices")
    for utilisation in (0.5, 0.8, 0.95):
        base_p99 = 0.0
        for choice in ("two_choices", "random", "round_robin"):
            load, _, sent, _ = run_virtual(run_load, choice, utilisation, 1, 0.0)
            p99 = load.percentile(0.99)
            base_p99 = base_p99 or p99
            print(
                f"{choice:12s} {utilisation:5.0%} {load.percentile(0.5):8.1f}"
                f" {p99:8.1f} {len(load.refusals_s) / sent:9.2%} {p99 / base_p99:8.2f}"
            )


def measure_overload() -> None:
    """Print goodput and refusals at a request rate of twice the capacity."""
    load, _, sent, capacity_per_s = run_virtual(run_load, "two_choices", 2.0, 1, 0.0)
    goodput = len(load.latencies_s) / RUN_S / capacity_per_s
    late = sum(spent_s > DEADLINE_S + 0.01 for spent_s in load.refusals_s)
    print(
        f"twice capacity: goodput {goodput:.1%} of capacity, {len(load.refusals_s)} of "
        f"{sent} refused, {late} after their deadline, {load.failed} may have run"
    )


def measure_retries() -> None:
    """Print the number of retries when a third of the runners fail."""
    load, received, sent, _ = run_virtual(run_load, "two_choices", 0.4, 1, 1 / 3)
    print(
        f"a third of the runners fail: {received / sent - 1:.1%} more attempts than "
        f"requests, {len(load.latencies_s) / sent:.1%} answered"
    )


async def relay(scope, receive, send) -> None:
    """Forward one request to the runner over a kept connection, and return its answer.

    This ASGI application is the baseline for `measure_daemon`. Connections are kept in
    ``relay.idle``; ``relay.port`` is the port of the runner.
    """
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            break
    connection = relay.idle.pop() if relay.idle else new_connection(HOST, relay.port)
    target = scope["raw_path"].removeprefix(b"/call/quotes")
    response = await connection.handle_async_request(
        httpcore.Request(
            scope["method"],
            httpcore.URL(
                scheme=b"http", host=HOST.encode(), port=relay.port, target=target
            ),
            headers=[pair for pair in scope["headers"] if pair[0] != b"host"]
            + [(b"host", HOST.encode())],
            content=body,
        )
    )
    content = b"".join([part async for part in response.stream])
    await response.aclose()
    relay.idle.append(connection)
    headers = response.headers
    await send(
        {"type": "http.response.start", "status": response.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": content})


relay.idle = []
relay.port = 0


def run_relay(port: int, runner_port: int) -> None:
    """Serve the relay on a port, without logs."""
    relay.port = runner_port
    uvicorn.run(
        relay, host=HOST, port=port, log_config=None, access_log=False, lifespan="off"
    )


async def send_requests(
    port: int, callers: int, requests: int
) -> tuple[float, list[float]]:
    """Send requests of 200 bytes from concurrent callers to a port.

    Returns requests per second, and the sorted latencies in milliseconds.
    """
    latencies_ms: list[float] = []
    remaining = requests

    async def caller() -> None:
        nonlocal remaining
        connection = new_connection(HOST, port)
        while remaining > 0:
            remaining -= 1
            started_s = time.perf_counter()
            response = await connection.handle_async_request(
                httpcore.Request(
                    "POST",
                    f"http://{HOST}:{port}/call/quotes/price",
                    headers=[(b"host", HOST.encode()), (b"content-length", b"200")],
                    content=b"x" * 200,
                )
            )
            async for _ in response.stream:
                pass
            await response.aclose()
            latencies_ms.append((time.perf_counter() - started_s) * 1000)
        await connection.aclose()

    started_s = time.perf_counter()
    async with anyio.create_task_group() as tasks:
        for _ in range(callers):
            tasks.start_soon(caller)
    return requests / (time.perf_counter() - started_s), sorted(latencies_ms)


def measure_daemon() -> None:
    """Print throughput and latency of a daemon and the relay, and memory use."""
    fleet = ProcessFleet(
        pathlib.Path(tempfile.mkdtemp()), daemons=1, workers=0, runners=9, service_ms=0
    )
    runners = fleet.call_platform("GET", "/instances")
    runner_port = next(
        line["address"].rpartition(":")[2]
        for line in runners
        if line["kind"] == "runner"
    )
    port = find_free_port()
    relay_process = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.requests", "--relay", str(port), runner_port]
    )
    time.sleep(2)
    try:
        for callers in (1, 8, 32):
            for name, target_port in (
                ("bare relay", port),
                ("daemon", fleet.daemons[0].http_port),
            ):
                anyio.run(send_requests, target_port, callers, 200)
                rate, latencies_ms = anyio.run(
                    send_requests, target_port, callers, 3000
                )
                print(
                    f"{name:10s} {callers:3d} callers: {rate:7.0f} requests/s, "
                    f"p50 {latencies_ms[len(latencies_ms) // 2]:6.2f} ms, "
                    f"p99 {latencies_ms[int(len(latencies_ms) * 0.99)]:6.2f} ms"
                )
        print(f"daemon: {fleet.daemons[0].resident_mb():.1f} MB resident")
    finally:
        relay_process.terminate()
        relay_process.wait()
        fleet.stop()


def main() -> None:
    """Measure the given parts, all by default, or serve the relay."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--part",
        choices=("choices", "overload", "retries", "daemon"),
        action="append",
        help="measure only this",
    )
    parser.add_argument("--relay", nargs=2, type=int, metavar=("PORT", "RUNNER"))
    arguments = parser.parse_args()
    logs.configure(io.StringIO(), "error")
    if arguments.relay:
        run_relay(*arguments.relay)
        return
    measure_by_part = {
        "choices": compare_choices,
        "overload": measure_overload,
        "retries": measure_retries,
        "daemon": measure_daemon,
    }
    for part in arguments.part or measure_by_part:
        measure_by_part[part]()


if __name__ == "__main__":
    main()
