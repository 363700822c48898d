"""Placement and interference policies compared on simulated workers.

Run ``python -m benchmarks.policy [--seeds 10] [--plot FILE]``. The real owner of one
shard decides in virtual time. Batch tasks slow down the services on their worker by
effects that the policies don't know. Prints for each policy the 99th percentile of the
services' latency relative to services that run alone, the batch work relative to a run
without protection, evictions, and lost run time.
"""

import argparse
import concurrent.futures
import dataclasses
import io
import math
import random
import statistics
from collections import deque
from dataclasses import dataclass, field

import anyio

from benchmarks.slopes import SingleZoneFleetView
from flamingoweir import logs
from flamingoweir.clock import Clock
from flamingoweir.interference import ColocatedWorker, InterferenceController, NoControl
from flamingoweir.membership import Directory
from flamingoweir.metrics import NoMetrics
from flamingoweir.resources import Resources
from flamingoweir.scheduling import (
    JobKind,
    JobSpec,
    Journal,
    OwnerContext,
    ShardOwner,
    ShardState,
)
from flamingoweir.scheduling._events import TasksAdded
from flamingoweir.settings import SchedulingSettings, TimingSettings
from flamingoweir.standins import (
    MemoryInstanceList,
    MemoryObjectStore,
    MemoryTable,
    StandinWorker,
)
from flamingoweir.storage import Instance, InstanceKind
from flamingoweir.tree import SettingsTree
from flamingoweir.upstreams import AttemptStatus, Command, WorkerExchange
from tests.utils.virtual_time import VirtualClock, run_virtual

ZONE, SHARD = "powys", "powys/0"
RUN_S = 900.0
#: Latencies of this time at the start of a run are discarded.
WARM_UP_S = 150.0
#: Delay of the workers' measurements.
USAGE_LAG_S = 30.0
#: Latency of a service that runs alone.
BASE_MS = 10.0
TARGET_MS = 11.0
#: Run time that a task loses at each restart.
RESTART_S = 2.0
SERVICES = ("quotes", "orders")
JOB_CLASSES = ("plan", "sums", "maps", "scan", "pack", "noisy")
#: In the last WAVE_S of each period half of the new jobs are of class ``noisy``.
WAVE_PERIOD_S = 240.0
WAVE_S = 80.0
#: Number of workers on which all batch tasks fail.
BROKEN_WORKERS = 2


@dataclass(frozen=True)
class Deployment:
    """The size of a simulated fleet.

    Attributes
    ----------
    name : str
        Name in the output.
    workers : int
        Number of workers.
    processors, memory_mb : int
        Resources of each worker.
    """

    name: str
    workers: int
    processors: int
    memory_mb: int


DEPLOYMENTS = (
    Deployment("tomen-dail", 30, 64, 250_000),
    Deployment("kathiawar", 25, 32, 125_000),
)


@dataclass(frozen=True)
class Policy:
    """A policy to compare.

    Attributes
    ----------
    name : str
        Name in the output.
    placement, interference : str
        Settings of the section ``[scheduling]``.
    threshold_only : bool
        Whether `ThresholdOnly` replaces the interference controller.
    """

    name: str
    placement: str
    interference: str
    threshold_only: bool = False


POLICIES = (
    Policy("no protection", "best_fit", "off"),
    Policy("first fit", "first_fit", "off"),
    Policy("threshold only", "best_fit", "off", threshold_only=True),
    Policy("no throttling", "dominant", "evict"),
    Policy("ladder", "dominant", "ladder"),
)


class WorkloadModel:
    """Properties of services and batch tasks that the policies don't know.

    Parameters
    ----------
    seed : int
        Seed of all random numbers of a run.

    Attributes
    ----------
    effect_by_classes : dict of tuple to float
        Slowdown of a service, by (job class of the service, job class of batch), if
        the batch tasks use the whole worker and the service has load 1. Class
        ``noisy`` has a strong effect.
    size_by_class : dict of str to float
        Actual use of a batch task relative to the declared resources, by job class.
    load_phase : float
        Phase of the services' load, in radians.
    """

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        self.effect_by_classes = {}
        for service in SERVICES:
            mild = [0.0, 0.02, 0.05, 0.1, 0.2]
            self.random.shuffle(mild)
            for job_class, value in zip(JOB_CLASSES, [*mild, 1.2], strict=True):
                factor = self.random.uniform(0.7, 1.3)
                self.effect_by_classes[(f"service:{service}", job_class)] = (
                    value * factor
                )
        self.size_by_class = {
            name: 2 ** self.random.uniform(-2, 2) for name in JOB_CLASSES
        }
        self.load_phase = self.random.uniform(0, 2 * math.pi)

    def load(self, now_s: float) -> float:
        """Return the services' load, from 0.3 to 0.9, with a period of 400 s."""
        return 0.6 + 0.3 * math.sin(self.load_phase + 2 * math.pi * now_s / 400)


class ContendedWorker(StandinWorker):
    """A worker whose services are slowed down by batch tasks.

    Measurements are reported with a delay of USAGE_LAG_S.

    Parameters
    ----------
    workload : WorkloadModel
        Effects, sizes and load.
    broken : bool
        Whether batch tasks fail on this worker.
    *args
        Arguments of `StandinWorker`.

    Attributes
    ----------
    samples : list of float
        Measured latencies of all services in milliseconds.
    """

    def __init__(self, workload: WorkloadModel, broken: bool, *args):
        super().__init__(*args)
        self.workload = workload
        self.broken = broken
        self.samples: list[float] = []
        self._measured: deque[tuple[float, dict[str, float]]] = deque()

    def measure(self, now_s: float) -> None:
        """Measure the latency of every service task that runs on this worker."""
        self.advance()
        attempts = [
            attempt
            for shard_state in self._state_by_shard.values()
            for attempt in shard_state.attempt_by_task.values()
        ]
        load = self.workload.load(now_s)
        latency_by_task = {}
        for attempt in attempts:
            service = attempt.command.job_class
            if not service.startswith("service:"):
                continue
            slowdown = 0.0
            for other in attempts:
                effect = self.workload.effect_by_classes.get(
                    (service, other.command.job_class)
                )
                if effect is None:
                    continue
                used = other.command.needs.processors_milli * other.rate
                used *= min(2.0, self.workload.size_by_class[other.command.job_class])
                slowdown += effect * used / self.capacity.processors_milli
            noise = self.workload.random.lognormvariate(0, 0.01)
            latency_by_task[attempt.command.task] = (
                BASE_MS * (1 + load * slowdown) * noise
            )
        self.samples.extend(latency_by_task.values())
        self._measured.append((now_s, latency_by_task))

    def _running(self, shard_state):
        now_s = self._clock.now()
        while len(self._measured) > 1 and self._measured[1][0] <= now_s - USAGE_LAG_S:
            self._measured.popleft()
        measured_s, latency_by_task = self._measured[0] if self._measured else (0, {})
        is_known = measured_s <= now_s - USAGE_LAG_S
        load = self.workload.load(measured_s)
        reports = []
        for report in super()._running(shard_state):
            latency_ms = latency_by_task.get(report.task, 0.0) if is_known else 0.0
            if latency_ms:
                used = int(report.processors_milli * load)
                report = dataclasses.replace(
                    report,
                    latency_ms=latency_ms,
                    measured_s=measured_s,
                    processors_milli=used,
                )
            reports.append(report)
        return reports


class DirectLink:
    """A link that calls a worker in memory, with a delay of 1 ms."""

    def __init__(self, worker: ContendedWorker):
        self._worker = worker

    async def exchange(self, message: WorkerExchange):
        """See `WorkerLink.exchange`."""
        await anyio.sleep(0.001)
        return self._worker.exchange(message)


class ThresholdOnly(InterferenceController):
    """Evicts the largest batch task beside a slow service, at most every 10 s.

    It does not learn which job classes interfere.
    """

    is_active = True
    pause_s = 10.0

    def __init__(self, *args):
        super().__init__(*args)
        self._acted_s: dict[str, float] = {}

    def control_worker(self, worker: ColocatedWorker) -> None:
        """Evict the largest batch task if any service exceeds its target."""
        late = [
            item
            for item in worker.services()
            if item.target_ms and item.latency_ms > item.target_ms
        ]
        batch = list(worker.batch())
        since_s = worker.worker_clock_s - self._acted_s.get(worker.name, 0.0)
        if late and batch and since_s > self.pause_s:
            self._acted_s[worker.name] = worker.worker_clock_s
            worker.evict(max(batch, key=lambda item: item.share).task, "")

    def may_place(self, worker, job_class: str, extra_share: float) -> bool:
        """Return True: placement is not restricted."""
        return True


@dataclass
class Result:
    """Results of a run.

    Attributes
    ----------
    p99_ratio : float
        99th percentile of the services' latency, relative to BASE_MS.
    late_share : float
        Fraction of the samples above TARGET_MS.
    batch_work : float
        Completed batch work in processor-seconds.
    evictions : int
        Number of evictions.
    lost_s : float
        Run time lost by restarts and failures.
    """

    p99_ratio: float
    late_share: float
    batch_work: float
    evictions: int
    lost_s: float
    by_second: list[float] = field(default_factory=list)


def make_job(workload: WorkloadModel, number: int, job_class: str) -> JobSpec:
    """Return a batch job of 20 tasks; every tenth one fits on no worker."""
    processors = workload.random.choice((1, 2, 4))
    if number % 10 == 9:
        processors = 1000
    needs = Resources(processors * 1000, processors * 1500)
    return JobSpec(f"job-{number}", f"team-{number % 5}", 20, needs, [ZONE],
                   job_class=job_class)  # fmt: skip


def make_service(name: str, processors: int) -> JobSpec:
    """Return the job of a service, with a latency target of TARGET_MS."""
    return JobSpec(
        f"service.{name}.{ZONE}",
        "shops",
        0,
        Resources(processors * 1000, processors * 2000),
        [ZONE],
        JobKind.SERVICE,
        f"service:{name}",
        retries=2**31,
        latency_target_ms=TARGET_MS,
    )


def run_time_of(workload: WorkloadModel, broken: bool):
    """Return the function that gives run time and status of a worker's tasks."""

    def run_time(command: Command) -> tuple[float, AttemptStatus]:
        if command.job_class.startswith("service:"):
            return 1e9, AttemptStatus.DONE
        if broken:
            return 3.0, AttemptStatus.FAILED
        length_s = 20 + hash_fraction(command.task) * 60
        return length_s + RESTART_S * (command.attempt > 1), AttemptStatus.DONE

    return run_time


def hash_fraction(text: str) -> float:
    """Return a pseudo-random number from 0 to 1 that depends on a text only."""
    return random.Random(text).random()


async def run_once(policy: Policy, deployment: Deployment, seed: int) -> Result:
    """Run one policy on one fleet and return the results."""
    workload = WorkloadModel(seed)
    clock: Clock = VirtualClock()
    table, objects = MemoryTable(), MemoryObjectStore()
    instances = MemoryInstanceList()
    capacity = Resources(deployment.processors * 1000, deployment.memory_mb, 0)
    worker_by_name = {}
    for number in range(deployment.workers):
        name = f"w{number}"
        broken = number < BROKEN_WORKERS
        worker_by_name[name] = ContendedWorker(
            workload,
            broken,
            name,
            capacity,
            clock,
            run_time_of(workload, broken),
            objects,
        )
        instances.add(
            Instance(
                name,
                InstanceKind.WORKER,
                ZONE,
                f"rack-{number // 8}",
                "127.0.0.1:1",
                capacity=capacity,
            )
        )
    directory = Directory(instances, clock)
    await directory.refresh()
    journal = Journal(table, objects, SHARD, "e1:1", clock, TimingSettings())
    await journal.acquire(None)
    context = OwnerContext(
        ZONE,
        SHARD,
        table,
        directory,
        SettingsTree(),
        SingleZoneFleetView(),
        lambda worker: DirectLink(worker_by_name[worker.name]),
        clock,
        TimingSettings(),
        SchedulingSettings(
            placement=policy.placement, interference=policy.interference
        ),
        NoMetrics(),
    )
    state = ShardState()
    owner = ShardOwner(context, journal, state, 0.0)
    owner._scaler.decide = lambda: []
    if policy.threshold_only:
        controller = ThresholdOnly(NoControl(), clock, NoMetrics())
        owner.interference = controller
        owner.placer._interference = controller
    for name in SERVICES:
        spec = make_service(name, deployment.processors // 8)
        state.apply(TasksAdded(spec, 0, deployment.workers))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(owner.run)
        await submit_and_measure(workload, owner, worker_by_name, clock)
        tasks.cancel_scope.cancel()
    return summarise(worker_by_name, state)


async def submit_and_measure(
    workload: WorkloadModel, owner: ShardOwner, worker_by_name, clock
) -> None:
    """Keep at least 400 tasks queued and measure latencies, every second for RUN_S.

    Tasks that fit on no worker are not counted.
    """
    started_s = clock.now()
    number = 0
    while clock.now() - started_s < RUN_S:
        elapsed_s = clock.now() - started_s
        in_wave = elapsed_s % WAVE_PERIOD_S > WAVE_PERIOD_S - WAVE_S
        waiting_tasks = sum(
            len(job.queued)
            for job in owner.state.job_by_id.values()
            if job.spec.needs.processors_milli < 1000_000
        )
        while waiting_tasks < 400:
            noisy = in_wave and workload.random.random() < 0.5
            job_class = "noisy" if noisy else workload.random.choice(JOB_CLASSES[:-1])
            spec = make_job(workload, number, job_class)
            owner.state.apply(TasksAdded(spec, 0, spec.tasks))
            number += 1
            waiting_tasks += spec.tasks if spec.needs.processors_milli < 1000_000 else 0
        for worker in worker_by_name.values():
            if elapsed_s < WARM_UP_S:
                worker.samples.clear()
            worker.measure(clock.now())
        await anyio.sleep(1.0)


def summarise(worker_by_name, state: ShardState) -> Result:
    """Return the results from the latencies and events of the workers."""
    samples: list[float] = []
    work = lost_s = 0.0
    evictions = 0
    for worker in worker_by_name.values():
        samples.extend(worker.samples)
        started = {}
        for event in worker.records:
            if event.kind == "start":
                started[event.task] = event.at_s
                continue
            ran_s = event.at_s - started.get(event.task, event.at_s)
            if event.kind == "done":
                work += (
                    20 + hash_fraction(event.task) * 60
                ) * event.needs.processors_milli
            if event.kind == "checkpointed":
                evictions += 1
                lost_s += RESTART_S
            if event.kind == "failed":
                lost_s += ran_s
    samples.sort()
    p99 = samples[int(0.99 * len(samples))] if samples else math.nan
    late = sum(value > TARGET_MS for value in samples) / max(1, len(samples))
    return Result(p99 / BASE_MS, late, work / 1000, evictions, lost_s)


def measure(job: tuple[int, int, int]) -> tuple[int, int, Result]:
    """Run a policy on a deployment in a subprocess; both are given by index."""
    policy, deployment, seed = job
    logs.configure(io.StringIO(), "error")
    result = run_virtual(run_once, POLICIES[policy], DEPLOYMENTS[deployment], seed)
    return policy, deployment, result


def format_spread(values: list[float]) -> str:
    """Return mean and standard deviation as a text."""
    deviation = statistics.stdev(values) if len(values) > 1 else 0.0
    return f"{statistics.mean(values):7.3f} ± {deviation:5.3f}"


def main() -> None:
    """Run all policies on all deployments and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--processes", type=int, default=5)
    parser.add_argument("--plot", metavar="FILE")
    arguments = parser.parse_args()
    jobs = [
        (policy, deployment, seed)
        for deployment in range(len(DEPLOYMENTS))
        for policy in range(len(POLICIES))
        for seed in range(arguments.seeds)
    ]
    results: dict[tuple[int, int], list[Result]] = {}
    with concurrent.futures.ProcessPoolExecutor(arguments.processes) as pool:
        for policy, deployment, result in pool.map(measure, jobs):
            results.setdefault((deployment, policy), []).append(result)
    for deployment, fleet in enumerate(DEPLOYMENTS):
        print(f"\n{fleet.name}: {fleet.workers} workers, {arguments.seeds} seeds")
        print(f"{'':16s} {'p99/alone':16s} {'late share':16s} {'work ratio':16s}"
              f" {'evictions':16s} lost s")  # fmt: skip
        base_results = results[(deployment, 0)]
        for number, policy in enumerate(POLICIES):
            runs = results[(deployment, number)]
            ratio = [
                one.batch_work / other.batch_work
                for one, other in zip(runs, base_results, strict=True)
            ]
            print(
                f"{policy.name:16s} {format_spread([r.p99_ratio for r in runs])}"
                f" {format_spread([r.late_share for r in runs])} {format_spread(ratio)}"
                f" {format_spread([r.evictions for r in runs])}"
                f" {statistics.mean(r.lost_s for r in runs):8.0f}"
            )
    if arguments.plot:
        draw(results, arguments.plot)


def draw(results, path: str) -> None:
    """Write a plot of tail latency over batch work to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(DEPLOYMENTS), figsize=(11, 4))
    for deployment, fleet in enumerate(DEPLOYMENTS):
        base_results = results[(deployment, 0)]
        for number, policy in enumerate(POLICIES):
            runs = results[(deployment, number)]
            work = [
                one.batch_work / other.batch_work
                for one, other in zip(runs, base_results, strict=True)
            ]
            axes[deployment].scatter(
                work, [one.p99_ratio for one in runs], label=policy.name, s=14
            )
        axes[deployment].axhline(1.1, linewidth=0.8, color="gray")
        axes[deployment].set_title(fleet.name)
        axes[deployment].set_xlabel("batch work, relative to no protection")
        axes[deployment].set_ylabel("p99 of services, relative to running alone")
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)


if __name__ == "__main__":
    main()
