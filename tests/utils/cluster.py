"""Instances, a store and runners in memory, on one event loop in virtual time."""

import random
from contextlib import asynccontextmanager

import anyio
import orjson

from flamingoweir.daemon._instance import Instance
from flamingoweir.dispatch import RunnerLink, RunnerUnreachable, StartResult
from flamingoweir.jobs import JobSpec, JobState, Outcome, QueuePolicy, StepSpec, TaskId
from flamingoweir.links import PlatformLinks
from flamingoweir.metrics import NoMetrics
from flamingoweir.ownership import LEASE_VALID_S, longest_lease_s
from flamingoweir.platform import PlatformRowDecoder
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources
from flamingoweir.settings import FleetSettings
from flamingoweir.standins import (
    ContentionModel,
    MemoryRows,
    MemoryRunner,
    MemoryRunnerLink,
    RowsLink,
)
from flamingoweir.storage import RowId, VersionedRow
from flamingoweir.transport import split_address
from tests.utils.virtual_time import Process, VirtualClock, current_process

SERVICE = "turning"
QUEUE = "orders"
HOST = "orders.example"
PREFIX = "/orders/"
#: Seconds after the former owner's last write by which its attempts on an unreachable
#: runner have lapsed.
SILENT_RUNNER_LAPSE_S = longest_lease_s(LEASE_VALID_S)


def make_step(count: int = 1, processors: float = 1.0, **fields) -> StepSpec:
    fields.setdefault("demand", Resources(round(processors * 1000), 0, 0))
    fields.setdefault("estimate_s", 1.0)
    return StepSpec(count, **fields)


def make_job(number: int, *steps: StepSpec, **fields) -> JobSpec:
    fields.setdefault("policy", QueuePolicy(SERVICE, 1, 3, 2.0, 1.0))
    return JobSpec(f"{number:016x}", QUEUE, "(text)", steps or (make_step(),), **fields)


def make_configuration(
    version: int,
    cap_by_customer: dict[str, Resources] | None = None,
    public: bool = False,
    **fields,
) -> bytes:
    """Return a configuration with one queue; `fields` are added to it as they are."""
    route = {
        "Name": QUEUE,
        "Host": HOST,
        "PathPrefix": PREFIX,
        "Service": SERVICE,
        "MaxAttempts": 3,
        "Stretch": 2.0,
        "TargetLatencyMs": 1000,
    }
    if public:
        route["Public"] = True
    row = {
        "Version": version,
        "Routes": [route],
        "Services": [{"Name": SERVICE}],
        **fields,
    }
    if cap_by_customer is not None:
        row["Tenants"] = []
        for name, cap in cap_by_customer.items():
            amounts = {
                "Cpu": cap.processors_milli,
                "MemMb": cap.memory_mb,
                "Gpu": cap.accelerators,
            }
            row["Tenants"].append({"Name": name, "ApiKeys": [], "Cap": amounts})
    return orjson.dumps(row)


class AbsentRunnerLink:
    """Link to an address at which nothing listens."""

    def __init__(self, entry: RunnerEntry):
        split_address(entry.address)

    async def start(self, order, may_send=None) -> tuple[StartResult, float | None]:
        return StartResult.UNSENT, None

    async def stop(self, task, run, fence) -> None:
        raise RunnerUnreachable("nothing listens")

    async def stop_runs(self, runs, fence, in_a_turn) -> int:
        raise RunnerUnreachable("nothing listens")

    async def set_pace(self, task, run, percent, fence) -> None:
        raise RunnerUnreachable("nothing listens")

    async def poll(self, fence, acknowledged, deadline_ms, wait_s):
        raise RunnerUnreachable("nothing listens")

    async def renew(self, fence, deadline_ms) -> None:
        raise RunnerUnreachable("nothing listens")

    async def probe(self, fence) -> float | None:
        raise RunnerUnreachable("nothing listens")

    async def aclose(self) -> None:
        return


class Member:
    """An instance with its links to store and runners, which a test can break."""

    def __init__(self, cluster: "Cluster", name: str, processors: float):
        self.name = name
        self.process = Process()
        self.store = RowsLink(cluster.rows)
        self.link_by_runner: dict[str, MemoryRunnerLink] = {}
        self._cluster = cluster
        self._scope = anyio.CancelScope()
        settings = FleetSettings(
            name,
            "127.0.0.1",
            "powys",
            "127.0.0.1:1",
            "127.0.0.1:2",
            3,
            4,
            "store:1",
            processors=processors,
            memory_mb=cluster.memory_mb,
            **cluster.settings,
        )
        clock = VirtualClock(cluster.clock_rate_by_member.get(name, 1.0))
        links = PlatformLinks(
            self.store, self.store, PlatformRowDecoder(), "op", "servers", self._connect
        )
        generator = random.Random(f"{cluster.seed}/{name}/{cluster.start_count}")
        cluster.start_count += 1
        self.instance = Instance(
            settings, links, clock, generator, NoMetrics(), cluster.wall_ms
        )

    async def run(self) -> None:
        current_process.set(self.process)
        with self._scope:
            await self.instance.run()

    def kill(self) -> None:
        self._scope.cancel()

    def _connect(self, entry) -> RunnerLink:
        link = self.link_by_runner.get(entry.id)
        if entry.id not in self._cluster.runner_by_id:
            return AbsentRunnerLink(entry)
        if link is None:
            link = MemoryRunnerLink(self._cluster.runner_by_id[entry.id])
            sole_member = self._cluster.sole_member_by_runner.get(entry.id, self.name)
            link.disconnected = sole_member != self.name
            self.link_by_runner[entry.id] = link
            self._cluster.links.append(link)
        return link


class Cluster:
    """The system in memory: a store, runners and instances.

    Attributes
    ----------
    rows : MemoryRows
        The rows of the store.
    runner_by_id : dict of str to MemoryRunner
        The runners, also those without a row in the store.
    address_by_runner : dict of str to str
        The addresses at which the runners listen.
    sole_member_by_runner : dict of str to str
        Names of the instances that alone reach a runner over links made later.
    member_by_name : dict of str to Member
        The instances that run.
    links : list of MemoryRunnerLink
        The links of all instances, also of those that have ended.
    spec_by_id : dict of str to JobSpec
        The jobs submitted, by job id.
    settings : dict
        Further fields of the settings of instances that are added later.
    clock_rate_by_member : dict of str to float
        Rates of the clocks of instances that are added later, by name.
    plan_by_task : dict of str to (float, Outcome)
        Run time in seconds and outcome, by ``TASK#RUN`` or by ``TASK`` for all runs;
        other runs take one second and succeed.
    """

    def __init__(self, seed: int = 0, memory_mb: float = 300.0):
        self.seed = seed
        self.memory_mb = memory_mb
        self.start_count = 0
        self.rows = MemoryRows()
        self.runner_by_id: dict[str, MemoryRunner] = {}
        self.address_by_runner: dict[str, str] = {}
        self.sole_member_by_runner: dict[str, str] = {}
        self.member_by_name: dict[str, Member] = {}
        self.links: list[MemoryRunnerLink] = []
        self.spec_by_id: dict[str, JobSpec] = {}
        self.settings: dict = {}
        self.clock_rate_by_member: dict[str, float] = {}
        self.plan_by_task: dict[str, tuple[float, Outcome]] = {}
        self.tasks = None

    @staticmethod
    def wall_ms() -> float:
        return 1000 * anyio.current_time()

    def configure(
        self,
        version: int = 1,
        cap_by_customer: dict[str, Resources] | None = None,
        **fields,
    ) -> None:
        """Write a configuration; see `make_configuration`."""
        value = make_configuration(version, cap_by_customer, **fields)
        self.rows.put(RowId("op", "", "config"), value)

    def evacuate_zone(self, zone: str) -> None:
        self.rows.put(RowId("op", "", f"evacuate/{zone}"), b"{}")

    def write_evacuation_row(self, zone: str) -> VersionedRow:
        """Evacuate a zone; return the row that asks for the evacuation."""
        self.evacuate_zone(zone)
        return self.rows.row_by_id[RowId("op", "", f"evacuate/{zone}")]

    def add_runner(
        self,
        runner_id: str,
        processors: float = 4,
        zone: str = "powys",
        contention: ContentionModel | None = None,
        address: str = "",
        accelerators: int = 0,
        rate: float = 1.0,
    ):
        capacity = Resources(round(processors * 1000), 256_000, accelerators)
        runner = MemoryRunner(
            runner_id, capacity, self.find_spec, self.plan, rate, contention
        )
        self.runner_by_id[runner_id] = runner
        self.address_by_runner[runner_id] = address or self._next_address()
        self.list_runner(runner_id, zone)
        return runner

    def _next_address(self) -> str:
        number = len(self.runner_by_id)
        return f"10.0.{number // 250}.{number % 250 + 1}:1"

    def list_runner(
        self,
        runner_id: str,
        zone: str = "powys",
        state: str = "ready",
        capacity: Resources | None = None,
    ):
        """Write the row of a runner; by default it announces the capacity it has."""
        runner = self.runner_by_id[runner_id]
        capacity = capacity or runner.capacity
        entry = {
            "Service": SERVICE,
            "Address": self.address_by_runner[runner_id],
            "Zone": zone,
            "State": state,
            "Capacity": {
                "Cpu": capacity.processors_milli,
                "MemMb": capacity.memory_mb,
                "Gpu": capacity.accelerators,
            },
            "Labels": ["a", "rack-1"],
            "born": runner.incarnation,
        }
        self.rows.put(RowId("servers", "", runner_id), orjson.dumps(entry))

    def unlist_runner(self, runner_id: str) -> None:
        self.rows.delete(RowId("servers", "", runner_id))

    def add_member(self, name: str, processors: float = 1.0) -> Member:
        member = Member(self, name, processors)
        self.member_by_name[name] = member
        self.tasks.start_soon(member.run)
        return member

    def find_spec(self, task: TaskId) -> StepSpec:
        return self.spec_by_id[task.job].steps[task.step]

    def plan(self, task: TaskId, run: int) -> tuple[float, Outcome]:
        planned = self.plan_by_task.get(f"{task}#{run}")
        return planned or self.plan_by_task.get(str(task), (1.0, Outcome.DONE))

    async def submit(self, spec: JobSpec, member: Member | None = None) -> JobSpec:
        self.spec_by_id[spec.id] = spec
        member = member or next(iter(self.member_by_name.values()))
        await member.instance.handler.submit(spec, 2.0)
        return spec

    async def state(self, spec: JobSpec) -> JobState | None:
        member = next(iter(self.member_by_name.values()))
        return await member.instance.handler.find_state(spec.id, 2.0)

    async def wait_for(self, spec: JobSpec, state: JobState, timeout_s: float) -> float:
        """Wait until a job has a state; return the seconds waited."""
        started_s = anyio.current_time()
        while await self.state(spec) is not state:
            waited_s = anyio.current_time() - started_s
            assert waited_s < timeout_s, f"job {spec.id} is not {state} in time"
            await anyio.sleep(0.05)
        return anyio.current_time() - started_s

    async def owner(self, timeout_s: float = 5.0) -> Member:
        """Wait until an instance owns the shard; return that instance."""
        with anyio.fail_after(timeout_s):
            while True:
                for member in self.member_by_name.values():
                    if member.instance.term is not None:
                        return member
                await anyio.sleep(0.02)

    def kill_member(self, member: Member) -> None:
        member.kill()
        del self.member_by_name[member.name]

    def records(self, kind: str | None = None):
        """Return the records of all runners in the order of time."""
        found = []
        for runner in self.runner_by_id.values():
            runner_records = runner.records
            for record in runner_records:
                if kind is None or record.kind == kind:
                    found.append(record)
        return sorted(found, key=lambda record: record.at_s)

    def starts(self, task: str) -> list[str]:
        """Return the runners on which a task was started, in order."""
        return [r.runner for r in self.records("start") if str(r.task) == task]

    def find_overlaps(self) -> list[str]:
        """Return runs of a task that overlapped, or began after the task was done."""
        overlaps = []
        running: dict[str, set[str]] = {}
        done: set[str] = set()
        for record in self.records():
            task = str(record.task)
            if record.kind == "start":
                if running.get(task) or task in done:
                    overlaps.append(f"{task} run {record.run} at {record.at_s:.3f}")
                running.setdefault(task, set()).add(record.runner)
                continue
            if record.kind == "noted":
                continue
            if record.kind == "reopened":
                done.discard(task)
                continue
            running.setdefault(task, set()).discard(record.runner)
            if record.kind == "done":
                done.add(task)
        return overlaps


@asynccontextmanager
async def run_cluster(
    members: int = 2,
    runners: int = 3,
    seed: int = 0,
    memory_mb: float = 300.0,
    **fields,
):
    """Run a cluster until the block ends; then end all instances."""
    cluster = Cluster(seed, memory_mb)
    cluster.configure()
    for number in range(runners):
        cluster.add_runner(f"runner-{number}", **fields)
    async with anyio.create_task_group() as tasks:
        cluster.tasks = tasks
        for number in range(members):
            cluster.add_member(f"front-{number}")
        yield cluster
        tasks.cancel_scope.cancel()
