"""Serving tasks and batch tasks on spare processors, on runners in memory.

Run ``python -m benchmarks.colocation``. The load is that of one owner: serving jobs
that fill three quarters of 33 runners of different sizes, and batch jobs of one to
three steps that need half of the remaining processors. A third of all pairs of images
disturb each other. Prints the share of time that serving tasks were above their
target, the share of jobs that met their objective, the median time of jobs in
objectives, and the processor time of the whole system in memory.
"""

import argparse
import cProfile
import io
import pstats
import random
import statistics
import time

import anyio

from flamingoweir import logs
from flamingoweir.jobs import Job, Outcome, QueuePolicy
from flamingoweir.policy import objective_s
from flamingoweir.resources import Resources
from flamingoweir.standins import ContentionModel, sinusoidal_load
from tests.utils.cluster import SERVICE, Cluster, make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual

SERVING_IMAGES = 5
BATCH_IMAGES = 9
#: Fraction of the pairs of images that disturb each other, and effects of pairs: the
#: range for disturbing pairs, and the value for other pairs.
HEAVY_PAIR_SHARE = 0.33
HEAVY_EFFECT = (0.9, 3.0)
LIGHT_EFFECT = 0.1
RUNNERS = 33
#: Fraction of all processors that serving tasks reserve at the start.
SERVING_SHARE = 0.75
SAMPLE_S = 0.5


class Workload:
    """Jobs that are submitted, and measurements of them."""

    def __init__(self, cluster: Cluster, seed: int, jobs_per_s: float):
        self._cluster = cluster
        self._random = random.Random(seed)
        self._jobs_per_s = jobs_per_s
        self._number = 0
        self._image_weights = [self._random.uniform(0.3, 1) for _ in range(9)]
        self.submitted: list[tuple] = []
        self.over_target_s = 0.0
        self.serving_s = 0.0

    async def submit_serving(self, total_milli: float) -> None:
        """Submit the serving jobs that run from the start."""
        reserved = 0
        while reserved < SERVING_SHARE * total_milli:
            count = self._random.randint(3, 9)
            demand = Resources(self._random.randint(8, 18) * 1000, 26_000, 0)
            spread = self._random.choice((0, 1))
            step = make_step(
                count,
                demand=demand,
                lasting=True,
                image=f"serve-{self._random.randrange(SERVING_IMAGES)}",
                latency_target_ms=50.0,
                max_per_runner=spread,
            )
            reserved += count * demand.processors_milli
            await self._submit(make_job(self._next_number(), step))

    async def submit_batch(self, seconds: float) -> None:
        """Submit batch jobs at random times."""
        until_s = anyio.current_time() + seconds
        while anyio.current_time() < until_s:
            await anyio.sleep(self._random.expovariate(self._jobs_per_s))
            image = self._random.choices(range(9), self._image_weights)[0]
            steps = []
            for number in range(self._random.choice((1, 2, 2, 3))):
                run_s = self._random.uniform(1.3, 4.0)
                step = make_step(
                    self._random.randint(3, 14),
                    demand=Resources(self._random.randint(5, 9) * 1000, 13_000, 0),
                    estimate_s=run_s,
                    after=(number - 1,) if number else (),
                    image=f"batch-{image}",
                    uses_spare=True,
                    checkpoints=True,
                )
                steps.append(step)
            job = make_job(
                self._next_number(),
                *steps,
                policy=QueuePolicy(SERVICE, 2, 2, 2.0, 1.0),
                accepted_ms=round(self._cluster.wall_ms()),
            )
            for number, step in enumerate(steps):
                for index in range(step.count):
                    plan = (step.estimate_s, Outcome.DONE)
                    task = f"{job.id}.0.{number}.{index}"
                    self._cluster.plan_by_task[task] = plan
            await self._submit(job)

    async def sample_tails(self) -> None:
        """Add up the time of serving tasks, and the time above their target."""
        while True:
            await anyio.sleep(SAMPLE_S)
            for runner in self._cluster.runner_by_id.values():
                for tail_latency_ms, target_ms in runner.tail_latencies():
                    self.serving_s += SAMPLE_S
                    if tail_latency_ms > target_ms:
                        self.over_target_s += SAMPLE_S

    async def objective_ratios(self) -> list[float | None]:
        """Return the time of each batch job in objectives, or None if not done."""
        ratios = []
        member = next(iter(self._cluster.member_by_name.values()))
        owner_state = member.instance.term.owner_state
        for job, submitted_s in self.submitted:
            if job.lasting:
                continue
            done_s = None
            if job.id not in owner_state.job_by_id:
                done_s = max(
                    r.at_s
                    for runner in self._cluster.runner_by_id.values()
                    for r in runner.records
                    if r.kind == "done" and r.task.job == job.id
                )
            objective_ratio = (
                (done_s - submitted_s) / _objective_s(job) if done_s else None
            )
            ratios.append(objective_ratio)
        return ratios

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    async def _submit(self, job) -> None:
        self.submitted.append((job, anyio.current_time()))
        await self._cluster.submit(job)


def _objective_s(job) -> float:
    return objective_s(Job(job))


def make_effects(seed: int):
    generator = random.Random(seed)
    effects = {}
    for serving in range(SERVING_IMAGES):
        for batch in range(BATCH_IMAGES):
            heavy = generator.random() < HEAVY_PAIR_SHARE
            effect = generator.uniform(*HEAVY_EFFECT) if heavy else LIGHT_EFFECT
            effects[f"serve-{serving}", f"batch-{batch}"] = effect
    return lambda serving, batch: effects[serving, batch]


async def run_workload(
    seed: int, seconds: float, jobs_per_s: float
) -> dict[str, float]:
    """Run one workload and return its results."""
    contention = ContentionModel(sinusoidal_load(0.45, 0.5, 14.0), make_effects(seed))
    async with run_cluster(members=1, runners=0) as cluster:
        total = 0
        for number in range(RUNNERS):
            processors = (64, 64, 96)[number % 3]
            total += processors * 1000
            cluster.add_runner(f"runner-{number}", processors, contention=contention)
        await cluster.owner()
        workload = Workload(cluster, seed, jobs_per_s)
        await workload.submit_serving(total)
        await anyio.sleep(4)
        started_s = time.process_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(workload.sample_tails)
            await workload.submit_batch(seconds)
            tasks.cancel_scope.cancel()
        used_s = time.process_time() - started_s
        await anyio.sleep(15)
        ratios = await workload.objective_ratios()
    return {
        "over": workload.over_target_s / workload.serving_s,
        "in_time": sum(1 for t in ratios if t and t <= 1) / len(ratios),
        "median": statistics.median(t or 9.0 for t in ratios),
        "cpu_ms_per_s": 1000 * used_s / seconds,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--jobs-per-s", type=float, default=2.77)
    parser.add_argument("--profile", action="store_true")
    args = parser.parse_args()
    logs.configure(io.StringIO(), "error")
    profile = cProfile.Profile()
    if args.profile:
        profile.enable()
    for seed in range(args.seeds):
        figures = run_virtual(run_workload, seed, args.seconds, args.jobs_per_s)
        line = "  ".join(f"{name} {value:.3f}" for name, value in figures.items())
        print(f"seed {seed}  {line}", flush=True)
    if args.profile:
        profile.disable()
        pstats.Stats(profile).sort_stats("cumtime").print_stats(
            "flamingoweir/(dispatch|policy|fleet|jobs|ownership)", 40
        )


if __name__ == "__main__":
    main()
