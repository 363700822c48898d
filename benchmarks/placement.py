"""Placement passes over a large fleet in memory, without a store or network.

Run ``python -m benchmarks.placement [--runners 246 --jobs 100]``. Serving tasks take
half of the processors; then batch jobs of 3 to 14 tasks, half of them on spare
processors, arrive at once. Prints the processor time for each placed task and the
longest time for which no other coroutine ran.
"""

import argparse
import io
import random
import time
from types import SimpleNamespace

import anyio

from flamingoweir import logs
from flamingoweir.clock import BootClock
from flamingoweir.dispatch._owner_state import OwnerState
from flamingoweir.dispatch._planner import Planner
from flamingoweir.jobs import JobSpec, QueuePolicy, StepSpec
from flamingoweir.metrics import NoMetrics
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources

SERVICE = "service"
PROCESSORS = (64, 64, 96)
SERVING_SHARE = 0.5
#: The run ends after this time in seconds without a placed task.
STALLED_S = 2.0


class AllRunners:
    """A permit that allows every start."""

    def is_valid(self) -> bool:
        """Return True."""
        return True

    def allows_runner(self, _runner) -> bool:
        """Return True."""
        return True


def make_owner_state(clock: BootClock, runners: int) -> OwnerState:
    owner_state = OwnerState(clock, NoMetrics(), 10.0)
    entry_by_id = {}
    for number in range(runners):
        capacity = Resources(PROCESSORS[number % 3] * 1000, 256_000, 0)
        entry_by_id[f"r{number}"] = RunnerEntry(
            f"r{number}", 1, SERVICE, "host:1", "zone", capacity=capacity
        )
    for runner in owner_state.update_runners(entry_by_id):
        runner.begin_incarnation(1, clock.now())
    return owner_state


def add_serving_jobs(owner_state: OwnerState, generator: random.Random) -> None:
    """Start serving tasks on every runner, up to their share of its processors."""
    for runner in owner_state.runner_by_id.values():
        share_milli = SERVING_SHARE * runner.entry.capacity.processors_milli
        while runner.reserved.processors_milli < share_milli:
            step = StepSpec(
                1,
                Resources(generator.randint(4, 12) * 1000, 8_000, 0),
                lasting=True,
                image=f"serve-{generator.randrange(5)}",
                latency_target_ms=50.0,
            )
            job = add_job(owner_state, step)
            owner_state.add_attempt(job.run_by_step[0, 0], 0, runner)


def add_batch_job(owner_state: OwnerState, generator: random.Random) -> int:
    """Add a batch job; return its number of tasks."""
    uses_spare = generator.random() < 0.5
    step = StepSpec(
        generator.randint(3, 14),
        Resources(generator.randint(1, 4) * 1000, 2_000, 0),
        estimate_s=generator.uniform(1.3, 4.0),
        image=f"batch-{generator.randrange(9)}",
        uses_spare=uses_spare,
    )
    add_job(owner_state, step)
    return step.count


def add_job(owner_state: OwnerState, step: StepSpec):
    number = len(owner_state.job_by_id)
    policy = QueuePolicy(SERVICE)
    return owner_state.add_job(JobSpec(f"job-{number}", "q", "", (step,), policy))


async def place(runners: int, jobs: int, seed: int) -> dict[str, float]:
    """Place the tasks of batch jobs; return the figures."""
    generator = random.Random(seed)
    clock = BootClock()
    owner_state = make_owner_state(clock, runners)
    add_serving_jobs(owner_state, generator)
    owner_state.pending_starts.clear()
    wanted = sum(add_batch_job(owner_state, generator) for _ in range(jobs))
    context = SimpleNamespace(
        owner_state=owner_state,
        clock=clock,
        wall_ms=lambda: 1000 * time.time(),
        operators=SimpleNamespace(configuration=SimpleNamespace(version=1)),
        metrics=NoMetrics(),
    )
    planner = Planner(context, AllRunners())
    longest_s = 0.0
    placed = 0
    async with anyio.create_task_group() as tasks:
        started_s = last_placed_s = turned_s = clock.now()
        started_cpu_s = time.process_time()
        tasks.start_soon(planner.run)
        while placed < wanted and turned_s - last_placed_s < STALLED_S:
            await anyio.sleep(0.001)
            now_s = clock.now()
            longest_s = max(longest_s, now_s - turned_s)
            turned_s = now_s
            if len(owner_state.pending_starts) > placed:
                placed = len(owner_state.pending_starts)
                last_placed_s = now_s
                used_s = time.process_time() - started_cpu_s
        tasks.cancel_scope.cancel()
    return {
        "placed": placed,
        "wanted": wanted,
        "us_per_task": 1e6 * used_s / placed,
        "taken_ms": 1000 * (last_placed_s - started_s),
        "longest_hold_ms": 1000 * longest_s,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runners", type=int, nargs="+", default=[246, 2800])
    parser.add_argument("--jobs", type=int, default=100)
    parser.add_argument("--seed", type=int, default=0)
    args = parser.parse_args()
    logs.configure(io.StringIO(), "error")
    for runners in args.runners:
        figures = anyio.run(place, runners, args.jobs, args.seed)
        line = "  ".join(f"{name} {value:.0f}" for name, value in figures.items())
        print(f"runners {runners}  {line}", flush=True)


if __name__ == "__main__":
    main()
