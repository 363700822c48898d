"""Processor time of an owner with a full fleet, in memory and in virtual time.

Run ``python -m benchmarks.owner [--runners 490 --seconds 10 --profile]``. Serving tasks
and batch fill the fleet, jobs of both kinds keep coming, and after a third of the time
a share of the runners is lost, so that long-running tasks are away. One instance owns
the shard and writes its rows; store and runners are those in memory. Prints the
processor time in the modules of an owner by package, the number of their function
calls, which is the same in each run, and a digest of the starts, by which two builds
can be compared.
"""

import argparse
import cProfile
import gc
import hashlib
import io
import pstats
import random
from collections import Counter

import anyio

from flamingoweir import logs
from flamingoweir.jobs import Outcome
from flamingoweir.resources import Resources
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual

PACKAGES = ("dispatch", "fleet", "policy", "jobs", "ownership", "registry")
PROCESSORS = (64, 64, 96)
SERVING_IMAGES, BATCH_IMAGES = 10, 18
#: Serving tasks for each runner when the load begins.
SERVING_TASKS = 5.6
#: Batch jobs and serving jobs a second for each runner.
BATCH_RATE, SERVING_RATE = 0.05, 0.002
#: Seconds in which the fleet is filled before anything is measured.
FILL_S = 4.0
#: Share of the runners that are lost.
LOST_SHARE = 0.1


class Load:
    """Jobs for a cluster, drawn from a generator."""

    def __init__(self, cluster, generator: random.Random):
        self._cluster = cluster
        self._random = generator
        self._count = 0

    async def submit_serving(self, width: int = 14) -> None:
        """Submit a job of long-running serving tasks."""
        demand = Resources(self._random.randint(8, 18) * 1000, 26_000, 0)
        step = make_step(
            width,
            demand=demand,
            lasting=True,
            image=f"serve-{self._random.randrange(SERVING_IMAGES)}",
            latency_target_ms=50.0,
            max_per_runner=self._random.choice((0, 1)),
        )
        await self._submit(step, lambda: 10_000.0)

    async def submit_batch(self) -> None:
        """Submit a batch job."""
        uses_spare = self._random.random() < 0.5
        demand = Resources(self._random.randint(4, 12) * 1000, 13_000, 0)
        step = make_step(
            self._random.randint(3, 30),
            demand=demand,
            estimate_s=2.0,
            image=f"batch-{self._random.randrange(BATCH_IMAGES)}",
            uses_spare=uses_spare,
        )
        await self._submit(step, lambda: self._random.uniform(0.8, 4.0))

    async def _submit(self, step, draw_run_s) -> None:
        self._count += 1
        spec = make_job(self._count, step)
        for index in range(step.count):
            planned = draw_run_s(), Outcome.DONE
            self._cluster.plan_by_task[f"{spec.id}.0.0.{index}"] = planned
        await self._cluster.submit(spec)


async def play(runners: int, seconds: float, seed: int) -> tuple[pstats.Stats, str]:
    """Play the load; return the profile of the owner and a digest of the starts."""
    generator = random.Random(seed)
    async with run_cluster(members=1, runners=0, seed=seed) as cluster:
        for number in range(runners):
            cluster.add_runner(f"runner-{number}", PROCESSORS[number % 3])
        await cluster.owner()
        load = Load(cluster, generator)
        for _ in range(round(SERVING_TASKS * runners / 14)):
            await load.submit_serving()
        for _ in range(round(BATCH_RATE * runners * FILL_S)):
            await load.submit_batch()
        await anyio.sleep(FILL_S)
        gc.collect()
        profile = cProfile.Profile()
        profile.enable()
        lost = generator.sample(range(runners), round(LOST_SHARE * runners))
        step_s = 0.1
        for step in range(round(seconds / step_s)):
            if step == round(seconds / step_s / 3):
                lose(cluster, lost)
            for _ in range(draw_count(generator, BATCH_RATE * runners * step_s)):
                await load.submit_batch()
            for _ in range(draw_count(generator, SERVING_RATE * runners * step_s)):
                await load.submit_serving()
            await anyio.sleep(step_s)
        profile.disable()
        digest = hashlib.sha256()
        starts = cluster.records("start")
        for record in starts:
            digest.update(f"{record.at_s:.3f} {record.runner} {record.task}".encode())
    return pstats.Stats(profile), f"{len(starts)} {digest.hexdigest()[:16]}"


def lose(cluster, lost) -> None:
    """Cut runners off."""
    for member in cluster.member_by_name.values():
        for number in lost:
            member.link_by_runner[f"runner-{number}"].disconnected = True


def draw_count(generator: random.Random, mean: float) -> int:
    """Return a whole number with a mean."""
    return int(mean) + (generator.random() < mean % 1)


def sum_packages(stats: pstats.Stats) -> tuple[Counter[str], Counter[str]]:
    """Return seconds and calls by package, with what is called outside of it."""
    used_s, calls = Counter[str](), Counter[str]()
    for (path, _, _), (_, count, own_s, _, _) in stats.stats.items():
        for package in PACKAGES:
            if f"/flamingoweir/{package}/" in path:
                used_s[package] += own_s
                calls[package] += count
    return used_s, calls


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runners", type=int, default=490)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--dump", default="", help="file for the profile")
    args = parser.parse_args()
    logs.configure(io.StringIO(), "error")
    stats, digest = run_virtual(play, args.runners, args.seconds, args.seed)
    if args.dump:
        stats.dump_stats(args.dump)
    used_s, calls = sum_packages(stats)
    if args.profile:
        stats.sort_stats("tottime").print_stats("flamingoweir", 60)
    for package in PACKAGES:
        print(f"{package}  ms {1000 * used_s[package]:.0f}  calls {calls[package]}")
    print(
        f"all  ms {1000 * sum(used_s.values()):.0f}  calls {sum(calls.values())}"
        f"  starts {digest}"
    )


if __name__ == "__main__":
    main()
