"""Real daemons and runners that restart under their ids and are cut off soon after.

Run ``python -m benchmarks.recut --seed N`` from the root of this build's sources. Three
daemons run jobs on runners in processes of their own. Half of the runners restart in
series, each time dark for `DARK_S`, at their address and under their id, and are cut
off `CUT_AFTER_S` later. What was sent to a runner while it was dark reaches its next
process (`benchmarks.recut_proxy`). By the runners' own records on the machine's steady
clock, no task may run twice at once, or start after an end ``done`` that was
acknowledged. Exits with status 1 if one does, and with 2 if the run shows nothing, as
no task ran on a runner that had restarted.
"""

import argparse
import contextlib
import pathlib
import random
import subprocess
import sys
import tempfile
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import anyio
import anyio.to_thread
import httpcore
import orjson

from benchmarks.mixed_builds import PlatformDaemon
from benchmarks.platform_standin import StoreApp
from benchmarks.process_fleet import HOST, ZONES
from benchmarks.recut_proxy import START_PATH, RunnerProxy
from benchmarks.recut_runner import describe_step
from flamingoweir.daemon._server import HttpServer
from flamingoweir.ownership import decode_owner_record, owner_row, shard_name
from flamingoweir.standins import MemoryRows
from flamingoweir.standins._rows import FOLLOW_CHECK_INTERVAL_S
from flamingoweir.storage import RowId, Transaction, VersionedRow

#: Root of the sources that the stand-ins are of.
ROOT = pathlib.Path(__file__).parent.parent
SERVICE, QUEUE, QUEUE_HOST, PREFIX = "turning", "orders", "orders.example", "/orders/"
DAEMONS = 3
RUNNER_PROCESSORS_MILLI = 8000
TASK_PROCESSORS_MILLI = 500
#: Clocks of new processes begin at any value below this.
MAX_CLOCK_S = 8000.0
#: Bounds of the rates of the runners' clocks.
RATES = (0.98, 1.0)
DARK_S = 0.6
CUT_AFTER_S = 2.0
#: A runner's entry is written this long after its start at most.
ENTRY_S = 1.1
#: When an owner is killed, after a restart, and how long it is down.
KILL_AFTER_S = 1.4
KILLED_S = 0.5
LASTING_JOBS = 10
SUBMISSION_INTERVAL_S = 0.3
#: Bounds of the run times of short and long tasks that are no long-running ones.
TASK_S = ((1.0, 5.0), (8.0, 16.0))
READY_LIMIT_S = 30.0
#: The rig waits this long for a task on a runner that has restarted.
RESTARTED_LIMIT_S = 20.0
CALL_LIMIT_S = 5.0


class SharedRows(MemoryRows):
    """Rows that many followers wait for at a low cost."""

    def __init__(self) -> None:
        super().__init__()
        self._version_by_table: dict[str, int] = {}
        self._followed_tables: set[str] = set()

    def wake_followers(self) -> None:
        """Write a row to each table that is followed."""
        for table in self._followed_tables:
            self.put(RowId(table, "", "end"), b"")

    def apply(self, transaction: Transaction) -> int:
        """See `MemoryRows.apply`."""
        version = super().apply(transaction)
        for row_id, _ in transaction.puts:
            self._version_by_table[row_id.table] = version
        for row_id in transaction.deletes:
            self._version_by_table[row_id.table] = version
        return version

    def changes(self, table: str, after: int) -> list[VersionedRow]:
        """See `MemoryRows.changes`."""
        self._followed_tables.add(table)
        if self._version_by_table.get(table, 0) <= after:
            return []
        return super().changes(table, after)


@dataclass(frozen=True, slots=True)
class RigRecord:
    """One event of a run.

    Attributes
    ----------
    at_s : float
        Time of the event on the machine's steady clock.
    kind : str
        See `RunRecord.kind`.
    task, runner : str
        Ids.
    run, life : int
        Numbers of the run and of the runner's process.
    """

    at_s: float
    kind: str
    task: str
    run: int
    runner: str
    life: int


class RunnerProcess:
    """A runner: its process, its proxy, and the records of all its processes.

    Parameters
    ----------
    runner_id, zone : str
        Id and zone of the runner.
    proxy : RunnerProxy
        Where daemons call the runner.
    seed : int
        Decides where clocks begin, and at which rate they go.
    max_lease_s : float
        Longest lease that it grants.
    """

    def __init__(
        self,
        runner_id: str,
        zone: str,
        proxy: RunnerProxy,
        seed: int,
        max_lease_s: float,
    ):
        self.id = runner_id
        self.zone = zone
        self.proxy = proxy
        self.life = 0
        self.born = 0
        self.records: list[RigRecord] = []
        self._source = random.Random(f"clocks {runner_id} {seed}")
        self._rate = random.Random(f"rate {runner_id} {seed}").uniform(*RATES)
        self._max_lease_s = max_lease_s
        self._process: anyio.abc.Process | None = None
        self._next_process: anyio.abc.Process | None = None

    async def prepare(self) -> None:
        """Start the next process, which waits for its life to begin."""
        command = [sys.executable, "-m", "benchmarks.recut_runner"]
        command += ["--id", self.id, "--max-lease-s", str(self._max_lease_s)]
        command += ["--processors-milli", str(RUNNER_PROCESSORS_MILLI)]
        command += ["--clock-s", f"{self._source.uniform(0, MAX_CLOCK_S):.3f}"]
        command += ["--rate", f"{self._rate:.5f}"]
        self._next_process = await anyio.open_process(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=None,
            cwd=ROOT,
        )

    async def start(self) -> int:
        """Let the life of the next process begin; return its port."""
        self._process, self._next_process = self._next_process, None
        await self._process.stdin.send(b"\n")
        self.life += 1
        self._lines = self._read_lines(self._process)
        port, self.born = orjson.loads(await anext(self._lines))
        return port

    async def collect(self) -> None:
        """Read the records of the process until it ends."""
        life = self.life
        async for line in self._lines:
            at_s, kind, task, run = orjson.loads(line)
            self.records.append(RigRecord(at_s, kind, task, run, self.id, life))

    async def kill(self) -> float:
        """Kill the process; return the time."""
        self._process.kill()
        await self._process.wait()
        return anyio.current_time()

    async def end(self) -> None:
        """End all processes."""
        for process in (self._process, self._next_process):
            if process is not None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()

    def record_crash(self, at_s: float, life: int) -> None:
        """Record what a process that was killed has lost.

        A process that ran on for a moment after its last record ended a run then, or
        never: nobody has heard of it.
        """
        lost: dict[tuple[str, int], str] = {}
        for line in self.records:
            if line.life != life:
                continue
            if line.kind in ("noted", "reopened"):
                lost.pop((line.task, line.run), None)
                continue
            kind = "crashed" if line.kind == "start" else "reopened"
            lost[line.task, line.run] = kind
        for (task, run), kind in lost.items():
            self.records.append(RigRecord(at_s, kind, task, run, self.id, life))

    @staticmethod
    async def _read_lines(process):
        data = b""
        async for part in process.stdout:
            data += part
            *lines, data = data.split(b"\n")
            for line in lines:
                yield line


def find_broken(records: list[RigRecord], began_s: float) -> list[str]:
    """Return tasks that ran twice at once, or after an acknowledged end ``done``.

    Parameters
    ----------
    records : list of RigRecord
        The records of all runners.
    began_s : float
        Time from which times are given.
    """
    noted_ends = set()
    for line in records:
        if line.kind == "noted":
            noted_ends.add((line.task, line.run, line.runner, line.life))
    for line in records:
        # Acknowledged later than the lease lapsed: that stands.
        if line.kind == "reopened":
            noted_ends.discard((line.task, line.run, line.runner, line.life))
    running: defaultdict[str, dict[tuple, RigRecord]] = defaultdict(dict)
    done: dict[str, RigRecord] = {}
    broken = []
    for line in sorted(records, key=lambda line: line.at_s):
        run_id = (line.task, line.run, line.runner, line.life)
        if line.kind in ("noted", "reopened"):
            continue
        if line.kind != "start":
            running[line.task].pop(run_id, None)
            if line.kind == "done" and run_id in noted_ends:
                done[line.task] = line
            continue
        text = f"task {line.task}: {_describe(line, began_s)}"
        for other in running[line.task].values():
            broken.append(f"{text} while {_describe(other, began_s)} is at work")
        if line.task in done:
            broken.append(f"{text} after {_describe(done[line.task], began_s)}")
        running[line.task][run_id] = line
    return broken


def _describe(line: RigRecord, began_s: float) -> str:
    return (
        f"run {line.run} on {line.runner} (process {line.life}, {line.kind} at "
        f"{line.at_s - began_s:.3f} s)"
    )


@dataclass
class RecutOptions:
    """What a run is like.

    Attributes
    ----------
    build : pathlib.Path
        Root of the sources that the daemons run.
    folder : pathlib.Path
        Where settings, logs and records are written.
    seed : int
        Seed of the load and of the faults.
    restarts : int
        Number of restarts in series.
    kills_owners : bool
        Whether the owner is killed between restart and cut.
    late_starts, late_calls : float
        Shares of the start orders, and of other calls, that get no response and are
        carried out seconds later.
    handed_on : float
        Share of the calls without a response at the end of a process that its next one
        gets, too.
    lost_reports : float
        Share of the restarts after which polls get no response until the cut, while
        orders do.
    max_lease_s : float
        Longest lease that runners grant; the daemons know it.
    runners : int
        Number of runners; every second one restarts.
    warm_up_s, cut_s, calm_s : float
        Time before the first restart, length of a cut, and time after it.
    """

    build: pathlib.Path
    folder: pathlib.Path
    seed: int = 1
    restarts: int = 3
    kills_owners: bool = False
    late_starts: float = 0.0
    late_calls: float = 0.0
    handed_on: float = 0.0
    lost_reports: float = 0.0
    max_lease_s: float = 10.0
    runners: int = 6
    warm_up_s: float = 8.0
    cut_s: float = 9.0
    calm_s: float = 3.0


@dataclass
class RecutResult:
    """What a run has shown.

    Attributes
    ----------
    broken : list of str
        Tasks that ran twice at once, or again after they were done.
    counts : Counter
        Numbers of jobs, runs and calls by what became of them.
    """

    broken: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


class RecutRig:
    """Daemons, a store, and runners that restart and are cut off."""

    def __init__(self, options: RecutOptions):
        self._options = options
        # The load must not depend on how many calls were made.
        self._load_source = random.Random(f"load {options.seed}")
        self._fault_source = random.Random(f"faults {options.seed}")
        self._rows = SharedRows()
        self._daemons: list[PlatformDaemon] = []
        self._runners: list[RunnerProcess] = []
        self._began_s = 0.0
        self._jobs = 0
        self._kills = 0

    async def run(self) -> RecutResult:
        """Play all restarts; return what was seen."""
        for path in self._options.folder.glob("*.log"):
            path.unlink()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await self._start_all()
                self._began_s = anyio.current_time()
                tasks.start_soon(self._submit_all)
                await anyio.sleep(self._options.warm_up_s)
                for _ in range(self._options.restarts):
                    await self._restart_and_cut()
                    await anyio.sleep(self._options.calm_s)
                with anyio.move_on_after(RESTARTED_LIMIT_S):
                    while not self._count_starts_after_restart():
                        await anyio.sleep(0.05)
            finally:
                with anyio.CancelScope(shield=True):
                    await self._end_all()
            tasks.cancel_scope.cancel()
        return self._sum_up()

    async def _start_all(self) -> None:
        server = HttpServer(StoreApp(self._rows), HOST, 0)
        store_port = await self._tasks.start(server.run)
        route = {
            "Name": QUEUE,
            "Host": QUEUE_HOST,
            "PathPrefix": PREFIX,
            "Service": SERVICE,
            "MaxAttempts": 3,
            "TargetLatencyMs": 1000,
        }
        configuration = {
            "Version": 1,
            "Routes": [route],
            "Services": [{"Name": SERVICE}],
        }
        self._rows.put(RowId("op", "", "config"), orjson.dumps(configuration))
        late = {START_PATH: self._options.late_starts, b"": self._options.late_calls}
        for number in range(self._options.runners):
            proxy = RunnerProxy(
                random.Random(f"proxy {number} {self._options.seed}"),
                late,
                self._options.handed_on,
            )
            await proxy.serve(self._tasks)
            runner = RunnerProcess(
                f"i-{number}",
                ZONES[number % 2],
                proxy,
                self._options.seed,
                self._options.max_lease_s,
            )
            self._runners.append(runner)
            await runner.prepare()
        for runner in self._runners:
            await self._start_runner(runner)
            self._write_entry(runner)
            if runner.zone == ZONES[0]:
                await runner.prepare()
        for number in range(DAEMONS):
            daemon = PlatformDaemon(
                f"entry-{number}",
                self._options.build,
                self._options.folder,
                store_port,
                round(1000 * self._options.max_lease_s),
            )
            self._daemons.append(daemon)
            daemon.start()
        with anyio.fail_after(READY_LIMIT_S):
            while self._find_owner() is None:
                await anyio.sleep(0.05)

    async def _end_all(self) -> None:
        for daemon in self._daemons:
            if daemon.process.poll() is None:
                daemon.process.kill()
            await anyio.to_thread.run_sync(daemon.process.wait)
        for runner in self._runners:
            await runner.end()
        self._rows.wake_followers()
        await anyio.sleep(2 * FOLLOW_CHECK_INTERVAL_S)

    async def _start_runner(self, runner: RunnerProcess) -> None:
        port = await runner.start()
        self._tasks.start_soon(runner.collect)
        runner.proxy.pass_to(port)

    def _write_entry(self, runner: RunnerProcess) -> None:
        entry = {
            "Service": SERVICE,
            "Address": f"{HOST}:{runner.proxy.port}",
            "Zone": runner.zone,
            "State": "ready",
            "Capacity": {"Cpu": RUNNER_PROCESSORS_MILLI, "MemMb": 64_000},
            "Labels": [f"rack-{runner.id}"],
            "born": runner.born,
        }
        self._rows.put(RowId("servers", "", runner.id), orjson.dumps(entry))

    async def _restart_and_cut(self) -> None:
        restarting = [runner for runner in self._runners if runner.zone == ZONES[0]]
        async with anyio.create_task_group() as tasks:
            for runner in restarting:
                tasks.start_soon(self._restart, runner)
        up_s = anyio.current_time()
        if self._options.kills_owners:
            await anyio.sleep(KILL_AFTER_S)
            await self._kill_owner()
        await anyio.sleep(max(0.0, up_s + CUT_AFTER_S - anyio.current_time()))
        for runner in restarting:
            runner.proxy.cut()
            runner.proxy.loses_reports = False
        await anyio.sleep(self._options.cut_s)
        for runner in restarting:
            runner.proxy.heal()

    async def _restart(self, runner: RunnerProcess) -> None:
        life, until_s = runner.life, anyio.current_time() + DARK_S
        runner.proxy.darken()
        killed_s = await runner.kill()
        await anyio.sleep(max(0.0, until_s - anyio.current_time()))
        runner.record_crash(killed_s, life)
        draw = self._fault_source.random()
        runner.proxy.loses_reports = draw < self._options.lost_reports
        await self._start_runner(runner)
        await runner.prepare()
        self._tasks.start_soon(self._write_entry_later, runner)

    async def _write_entry_later(self, runner: RunnerProcess) -> None:
        await anyio.sleep(self._fault_source.uniform(0, ENTRY_S))
        self._write_entry(runner)

    async def _kill_owner(self) -> None:
        owner = self._find_owner()
        if owner is None:
            return
        self._kills += 1
        owner.process.kill()
        await anyio.to_thread.run_sync(owner.process.wait)
        self._tasks.start_soon(self._start_later, owner)

    @staticmethod
    async def _start_later(daemon: PlatformDaemon) -> None:
        await anyio.sleep(KILLED_S)
        daemon.start()

    def _find_owner(self) -> PlatformDaemon | None:
        row = self._rows.row_by_id.get(owner_row(shard_name(0)))
        holding = decode_owner_record(row) if row is not None else None
        for daemon in self._daemons:
            if holding is not None and daemon.name == holding.holder:
                return daemon
        return None

    async def _submit_all(self) -> None:
        for _ in range(LASTING_JOBS):
            await self._submit([describe_step(2, TASK_PROCESSORS_MILLI, 1.0, True)])
        while True:
            count = self._load_source.randint(1, 2)
            bounds_s = self._load_source.choices(TASK_S, (0.6, 0.4))[0]
            task_s = self._load_source.uniform(*bounds_s)
            steps = [describe_step(count, TASK_PROCESSORS_MILLI, task_s)]
            if self._load_source.random() < 0.2:
                steps.append(describe_step(1, TASK_PROCESSORS_MILLI, task_s / 2))
            await self._submit(steps)
            await anyio.sleep(SUBMISSION_INTERVAL_S)

    async def _submit(self, steps: list[dict]) -> None:
        """Submit a job to one instance after another until it is accepted."""
        phases = []
        for number, step in enumerate(steps):
            phase = {
                "Count": step["tasks"],
                "Cpu": step["processors_milli"],
                "EstimateMs": round(1000 * step["task_s"]),
            }
            if step["lasting"]:
                phase["LongRunning"] = True
            if number:
                phase["After"] = [number - 1]
            phases.append(phase)
        body = orjson.dumps({"Spec": orjson.dumps(steps).decode(), "Phases": phases})
        job = f"{self._load_source.getrandbits(64):016x}"
        attempt = 0
        while True:
            daemon = self._daemons[(self._jobs + attempt) % DAEMONS]
            attempt += 1
            with contextlib.suppress(
                OSError,
                TimeoutError,
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ):
                with anyio.fail_after(CALL_LIMIT_S):
                    async with httpcore.AsyncConnectionPool() as pool:
                        answer = await pool.request(
                            "POST",
                            f"http://{HOST}:{daemon.front_port}{PREFIX}{job}",
                            headers={"Host": QUEUE_HOST},
                            content=body,
                        )
                if answer.status == 200:
                    self._jobs += 1
                    return
            await anyio.sleep(0.1)

    def _count_starts_after_restart(self) -> int:
        count = 0
        for runner in self._runners:
            for line in runner.records:
                count += line.kind == "start" and line.life > 1
        return count

    def _sum_up(self) -> RecutResult:
        records: list[RigRecord] = []
        result = RecutResult()
        for runner in self._runners:
            records += runner.records
            result.counts.update(
                {f"calls {kind}": count for kind, count in runner.proxy.counts.items()}
            )
        result.broken = find_broken(records, self._began_s)
        for line in records:
            result.counts[line.kind] += 1
        result.counts["start after restart"] = self._count_starts_after_restart()
        result.counts["jobs"] = self._jobs
        result.counts["owners killed"] = self._kills
        with (self._options.folder / "records.jsonl").open("wb") as stream:
            for line in sorted(records, key=lambda line: line.at_s):
                stream.write(orjson.dumps(line) + b"\n")
        return result


def main() -> int:
    """Play seeds one after another and print what was seen."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, default=pathlib.Path.cwd())
    parser.add_argument("--folder", type=pathlib.Path, help="for logs and records")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--restarts", type=int, default=RecutOptions.restarts)
    parser.add_argument("--kill-owners", action="store_true")
    parser.add_argument("--late-starts", type=float, default=0.0, metavar="SHARE")
    parser.add_argument("--late-calls", type=float, default=0.0, metavar="SHARE")
    parser.add_argument("--handed-on", type=float, default=0.0, metavar="SHARE")
    parser.add_argument("--lost-reports", type=float, default=0.0, metavar="SHARE")
    parser.add_argument("--max-lease-s", type=float, default=RecutOptions.max_lease_s)
    arguments = parser.parse_args()
    parent = arguments.folder or pathlib.Path(tempfile.mkdtemp())
    status = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        folder = parent.resolve() / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        options = RecutOptions(
            arguments.build.resolve(),
            folder,
            seed,
            arguments.restarts,
            arguments.kill_owners,
            arguments.late_starts,
            arguments.late_calls,
            arguments.handed_on,
            arguments.lost_reports,
            arguments.max_lease_s,
        )
        result = anyio.run(RecutRig(options).run)
        counts = ", ".join(f"{result.counts[key]} {key}" for key in result.counts)
        print(
            f"seed {seed}: {len(result.broken)} broken; {counts}; logs in {folder}",
            flush=True,
        )
        for line in result.broken:
            print(f"  {line}", flush=True)
        if result.broken:
            status = 1
        elif not result.counts["start after restart"]:
            status = status or 2
    return status


if __name__ == "__main__":
    sys.exit(main())
