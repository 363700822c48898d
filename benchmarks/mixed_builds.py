"""Daemons of this build and of another one together, each the owner in turn.

Run ``python -m benchmarks.mixed_builds --other PATH`` from the root of this build's
sources; PATH is the root of the other build's sources. Both parts run real processes
and count tasks that ran in two places or again after their end, and jobs that did not
end: daemons on the platform's store and runners, and daemons with workers and peers.
Exits with status 1 if there are any, or if a build owned no shard.
"""

import argparse
import contextlib
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field

import anyio
import anyio.to_thread
import httpcore
import orjson

from benchmarks.faults import check_records, wait_for_jobs
from benchmarks.platform_standin import RunnerApp, StoreApp
from benchmarks.process_fleet import (
    HOST,
    ZONES,
    DaemonProcess,
    ProcessFleet,
    find_free_port,
)
from flamingoweir.daemon._server import HttpServer
from flamingoweir.jobs import Outcome, StepSpec, TaskId
from flamingoweir.ownership import decode_owner_record, owner_row, shard_name
from flamingoweir.resources import Resources
from flamingoweir.standins import MemoryRows, MemoryRunner
from flamingoweir.storage import RowId

SERVICE, QUEUE, QUEUE_HOST, PREFIX = "turning", "orders", "orders.example", "/orders/"
RUNNERS = 6
RUNNER_PROCESSORS_MILLI = 8000
TASK_S = 0.8
#: Jobs submitted after each change of owner.
JOBS_A_ROUND = 8
OWNER_LIMIT_S = 20.0
JOBS_LIMIT_S = 90.0
#: A change of settings is in force on every daemon within this time.
SETTINGS_LIMIT_S = 15.0
#: How an owner ends, in turn.
SIGNALS = (signal.SIGTERM, signal.SIGTERM, signal.SIGKILL, signal.SIGKILL)
LASTING = 3


def plan_job(number: int) -> tuple[dict, tuple[StepSpec, ...]]:
    """Return a submission and its steps; each fourth one is lasting."""
    processors_milli = 500
    demand = Resources(processors_milli, 0, 0)
    phase = {"Count": 6, "Cpu": processors_milli, "EstimateMs": 1000 * TASK_S}
    if number % 4 == LASTING:
        lasting = {**phase, "Count": 2, "LongRunning": True}
        return {"Spec": "x", "Phases": [lasting]}, (
            StepSpec(2, demand, TASK_S, lasting=True),
        )
    checkpoint = number % 4 == 1
    second = {**phase, "Count": 3, "After": [0], "Gang": number % 4 == 2}
    first = {**phase, "Checkpoint": checkpoint}
    return {"Spec": "x", "Phases": [first, second]}, (
        StepSpec(6, demand, TASK_S, checkpoints=checkpoint),
        StepSpec(3, demand, TASK_S, after=(0,), gang=number % 4 == 2),
    )


@dataclass
class PlatformDaemon:
    """A daemon started with ``--platform``."""

    name: str
    build: pathlib.Path
    folder: pathlib.Path
    store_port: int
    max_hold_ms: int = 6000
    front_port: int = field(default_factory=find_free_port)
    process: subprocess.Popen = field(init=False)

    def start(self) -> None:
        """Start the process."""
        path = self.folder / f"{self.name}.toml"
        path.write_text(
            f'NodeName = "{self.name}"\nIp = "{HOST}"\nZone = "powys"\n'
            f"PortRange = [{find_free_port()},{find_free_port()}]\n"
            f'[Listen]\nFront = "{HOST}:{self.front_port}"\n'
            f'Ready = "{HOST}:{find_free_port()}"\n'
            f"[PolicyBounds]\nMaxHoldMs = {self.max_hold_ms}\nGraceS = 6\n"
            f'[platform]\nAddress = "{HOST}:{self.store_port}"\n'
        )
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "flamingoweir.daemon", "--platform"],
            cwd=self.build,
            env={"FLAMINGOWEIR_BOOT": str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()


class PlatformRounds:
    """Rounds on the platform's store and runners.

    Parameters
    ----------
    build_by_name : dict of str to pathlib.Path
        Roots of the sources of both builds.
    folder : pathlib.Path
        Where settings and logs are written.
    """

    def __init__(self, build_by_name: dict[str, pathlib.Path], folder: pathlib.Path):
        self._build_by_name = build_by_name
        self._folder = folder
        self._rows = MemoryRows()
        self._steps_by_job: dict[str, tuple[StepSpec, ...]] = {}
        self._runners: list[MemoryRunner] = []
        self._store_port = 0
        self._daemons = 0
        self.holders: Counter[str] = Counter()

    async def run(self) -> list[str]:
        """Let the builds own the shard in turn; return what went wrong."""
        daemons: list[PlatformDaemon] = []
        async with anyio.create_task_group() as tasks:
            await self._serve(tasks)
            try:
                old = await self._add("other", daemons)
                for number, ending in enumerate(SIGNALS):
                    await self._submit(old, JOBS_A_ROUND)
                    new = await self._add(("this", "other")[number % 2], daemons)
                    await self._submit(new, JOBS_A_ROUND)
                    await anyio.sleep(1.0)
                    old.process.send_signal(ending)
                    await self._wait_for_owner(new)
                    await anyio.to_thread.run_sync(old.process.wait)
                    old = new
                await self._submit(old, JOBS_A_ROUND)
                await self._cancel_lasting(old)
                wrong = await self._wait_for_ends(old)
            finally:
                for daemon in daemons:
                    if daemon.process.poll() is None:
                        daemon.process.terminate()
                        await anyio.to_thread.run_sync(daemon.process.wait)
            tasks.cancel_scope.cancel()
        wrong.extend(self._find_overlaps())
        return wrong

    def count_starts(self) -> int:
        """Return how many runs were started."""
        kinds = Counter(
            line.kind for runner in self._runners for line in runner.records
        )
        return kinds["start"]

    @property
    def jobs(self) -> int:
        """How many jobs were accepted."""
        return len(self._steps_by_job)

    async def _serve(self, tasks) -> None:
        server = HttpServer(StoreApp(self._rows), HOST, 0)
        self._store_port = await tasks.start(server.run)
        capacity = Resources(RUNNER_PROCESSORS_MILLI, 64_000, 0)
        for number in range(RUNNERS):
            runner = MemoryRunner(f"i-{number}", capacity, self._find_spec, self._plan)
            self._runners.append(runner)
            port = await tasks.start(HttpServer(RunnerApp(runner), HOST, 0).run)
            entry = {
                "Service": SERVICE,
                "Address": f"{HOST}:{port}",
                "Zone": "powys",
                "State": "ready",
                "Capacity": {"Cpu": RUNNER_PROCESSORS_MILLI, "MemMb": 64_000},
                "Labels": ["rack-1"],
                "born": runner.incarnation,
            }
            self._rows.put(RowId("servers", "", runner.id), orjson.dumps(entry))
        route = {
            "Name": QUEUE,
            "Host": QUEUE_HOST,
            "PathPrefix": PREFIX,
            "Service": SERVICE,
            "MaxAttempts": 3,
            "TargetLatencyMs": 1000,
        }
        services = [{"Name": SERVICE}]
        configuration = {"Version": 1, "Routes": [route], "Services": services}
        self._rows.put(RowId("op", "", "config"), orjson.dumps(configuration))

    def _find_spec(self, task: TaskId) -> StepSpec:
        return self._steps_by_job[task.job][task.step]

    @staticmethod
    def _plan(task: TaskId, run: int) -> tuple[float, Outcome]:
        return TASK_S, Outcome.DONE

    async def _add(self, build: str, daemons: list[PlatformDaemon]) -> PlatformDaemon:
        self._daemons += 1
        daemon = PlatformDaemon(
            f"{build}-{self._daemons}",
            self._build_by_name[build],
            self._folder,
            self._store_port,
        )
        daemon.start()
        daemons.append(daemon)
        if len(daemons) == 1:
            await self._wait_for_owner(daemon)
        return daemon

    async def _wait_for_owner(self, daemon: PlatformDaemon) -> None:
        with anyio.fail_after(OWNER_LIMIT_S):
            while True:
                row = self._rows.row_by_id.get(owner_row(shard_name(0)))
                holding = decode_owner_record(row) if row is not None else None
                if holding and holding.holder == daemon.name and holding.backlog:
                    break
                await anyio.sleep(0.05)
        self.holders[daemon.name.partition("-")[0]] += 1

    async def _submit(self, daemon: PlatformDaemon, count: int) -> None:
        for _ in range(count):
            number = len(self._steps_by_job)
            body, steps = plan_job(number)
            job = f"{number:016x}"
            self._steps_by_job[job] = steps
            await self._call(daemon, "POST", job, orjson.dumps(body), 200)

    async def _cancel_lasting(self, daemon: PlatformDaemon) -> None:
        for job, steps in self._steps_by_job.items():
            if steps[0].lasting:
                await self._call(daemon, "DELETE", job, b"", 200)

    async def _wait_for_ends(self, daemon: PlatformDaemon) -> list[str]:
        until_s = anyio.current_time() + JOBS_LIMIT_S
        wrong = []
        for job, steps in self._steps_by_job.items():
            wanted = "cancelled" if steps[0].lasting else "done"
            state = ""
            while anyio.current_time() < until_s:
                answer = await self._call(daemon, "GET", job, b"", 200)
                state = orjson.loads(answer)["State"]
                if state == wanted:
                    break
                await anyio.sleep(0.1)
            if state != wanted:
                wrong.append(f"job {job} is {state}, not {wanted}")
        return wrong

    async def _call(
        self, daemon: PlatformDaemon, method: str, job: str, body: bytes, status: int
    ) -> bytes:
        """Call a daemon until it answers with ``status``; calls are idempotent."""
        url = f"http://{HOST}:{daemon.front_port}{PREFIX}{job}"
        with anyio.fail_after(OWNER_LIMIT_S):
            while True:
                try:
                    async with httpcore.AsyncConnectionPool() as pool:
                        answer = await pool.request(
                            method, url, headers={"Host": QUEUE_HOST}, content=body
                        )
                    if answer.status == status:
                        return answer.content
                except (OSError, httpcore.NetworkError, httpcore.ProtocolError):
                    pass
                await anyio.sleep(0.1)

    def _find_overlaps(self) -> list[str]:
        """Return tasks that ran twice at once, or again after they were done."""
        lines = [line for runner in self._runners for line in runner.records]
        wrong = []
        running: dict[str, set[str]] = {}
        done: set[str] = set()
        for line in sorted(lines, key=lambda line: line.at_s):
            task = str(line.task)
            if line.kind == "start":
                if running.get(task) or task in done:
                    wrong.append(f"task {task}: run {line.run} is one too many")
                running.setdefault(task, set()).add(line.runner)
                continue
            if line.kind == "noted":
                continue
            if line.kind == "reopened":
                done.discard(task)
                continue
            running.setdefault(task, set()).discard(line.runner)
            if line.kind == "done":
                done.add(task)
        return wrong


class MixedFleet(ProcessFleet):
    """Daemons with workers and peers; each is of one of two builds."""

    def __init__(self, folder: pathlib.Path, build_by_name: dict[str, pathlib.Path]):
        self._build_by_name = build_by_name
        super().__init__(folder, daemons=6, workers=12, runners=6)

    def build_of(self, daemon: DaemonProcess) -> str:
        """Return the build of a daemon: each zone has one of each."""
        return ("this", "other")[self.daemons.index(daemon) // len(ZONES)]

    def start(self, daemon: DaemonProcess) -> None:
        """Start a daemon in the root of its build's sources."""
        build = self._build_by_name[self.build_of(daemon)]
        with contextlib.chdir(build):
            super().start(daemon)


def run_fleet(
    build_by_name: dict[str, pathlib.Path], folder: pathlib.Path
) -> tuple[list[str], Counter[str]]:
    """Stop each zone's owner twice; return what went wrong, and who owned shards."""
    fleet = MixedFleet(folder, build_by_name)
    holders: Counter[str] = Counter()
    wrong = []
    try:
        jobs = [_submit(fleet, number) for number in range(12)]
        for ending in (signal.SIGTERM, signal.SIGKILL):
            for zone in ZONES:
                holders.update([_end_owner(fleet, zone, ending)])
            jobs += [_submit(fleet, len(jobs) + number) for number in range(12)]
        changed = fleet.call(
            fleet.daemons[0],
            "POST",
            "/v1/settings",
            {"values": {"teams/rounds/notice": "2"}},
        )
        wrong.extend(_wait_for_settings(fleet, changed["version"]))
        for daemon in fleet.daemons:
            for peer in fleet.call(daemon, "GET", "/v1/peers")["peers"]:
                if not peer["reachable"]:
                    wrong.append(f"{daemon.name} does not reach {peer['instance']}")
        wrong.extend(
            f"job {job} has not ended" for job in wait_for_jobs(fleet, jobs, 180)
        )
        starts, doubled, over = check_records(fleet.worker_records())
        print(f"workers: {len(jobs)} jobs, {starts} starts")
        if doubled or over:
            wrong.append(f"{doubled} tasks in two places, {over} over capacity")
    finally:
        print(f"workers: exit codes {fleet.stop()}")
    return wrong, holders


def _wait_for_settings(fleet: MixedFleet, version: int) -> list[str]:
    """Return the daemons without a settings version within its limit."""
    until_s = time.monotonic() + SETTINGS_LIMIT_S
    late = list(fleet.daemons)
    while late and time.monotonic() < until_s:
        health = fleet.call(late[0], "GET", "/v1/health")
        if health["settings_version"] >= version:
            late.pop(0)
            continue
        time.sleep(0.2)
    return [f"{daemon.name} has old settings" for daemon in late]


def _submit(fleet: MixedFleet, number: int) -> str:
    job_id = f"job-{number}"
    job = {
        "id": job_id,
        "zones": list(ZONES),
        "tasks": 60,
        "processors": 4.0,
        "job_class": "run-1",
    }
    daemon = fleet.daemons[number % len(fleet.daemons)]
    fleet.call(daemon, "POST", "/v1/jobs", job)
    return job_id


def _end_owner(fleet: MixedFleet, zone: str, ending: signal.Signals) -> str:
    """End the owner of a zone's shard; return the build of its successor."""
    owner = fleet.owner_of(f"{zone}/0")
    if owner is None or owner.process is None:
        raise RuntimeError(f"no owner in {zone}")
    owner.process.send_signal(ending)
    owner.process.wait()
    until_s = time.monotonic() + 60
    while time.monotonic() < until_s:
        successor = fleet.owner_of(f"{zone}/0")
        if successor is not None:
            fleet.start(owner)
            fleet.wait_ready(owner)
            return fleet.build_of(successor)
        time.sleep(0.5)
    raise RuntimeError(f"no successor in {zone}")


def main() -> int:
    """Run both parts and print what was seen."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--other", type=pathlib.Path, required=True, metavar="PATH")
    arguments = parser.parse_args()
    build_by_name = {
        "this": pathlib.Path.cwd(),
        "other": arguments.other.resolve(),
    }
    folder = pathlib.Path(tempfile.mkdtemp())
    rounds = PlatformRounds(build_by_name, folder)
    wrong = anyio.run(rounds.run)
    print(f"platform: {rounds.jobs} jobs, {rounds.count_starts()} starts")
    print(f"platform: owners by build {dict(rounds.holders)}")
    fleet_wrong, holders = run_fleet(build_by_name, folder)
    print(f"workers: successors by build {dict(holders)}")
    wrong.extend(fleet_wrong)
    for found in (rounds.holders, holders):
        wrong.extend(
            f"{name} build never owned" for name in build_by_name if not found[name]
        )
    for line in wrong:
        print(line)
    print(f"{len(wrong)} faults, logs in {folder}")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
