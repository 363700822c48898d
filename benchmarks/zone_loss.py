"""Placement passes after the loss of a zone in a fleet full of batch.

Run ``python -m benchmarks.zone_loss [--absent 745 --runners 2568 --seconds 9 --real]``.
Absent long-running tasks of different demands are placed as batch is evicted for them.
In virtual time, prints the processor time of the passes, how often they read what is
free on a runner, and a digest of the starts, by which two builds can be compared. In
real time, prints how many passes there were in a second.
"""

import argparse
import hashlib
import io
import itertools
import random
import statistics
import time

import anyio

from flamingoweir import logs
from flamingoweir.dispatch import _owner_state
from flamingoweir.fleet import Runner
from flamingoweir.jobs import Outcome, StepSpec
from flamingoweir.resources import Resources
from tests.test_absent_tasks_and_room import Fleet
from tests.utils.virtual_time import run_virtual

#: Processors of each runner, of which each batch task takes one.
PROCESSORS = 8
#: Tasks of a batch job.
BATCH_TASKS = 40
#: Seconds that a stop takes in real time, and between looks at what has ended.
STOP_S, CHECK_INTERVAL_S = 1.0, 0.02


class CountedRunner(Runner):
    """A runner that counts the readings of what is free on any."""

    looks = 0

    @property
    def free_resources(self) -> Resources:
        """Capacity that is not reserved."""
        CountedRunner.looks += 1
        return self._free_resources

    @free_resources.setter
    def free_resources(self, free: Resources) -> None:
        self._free_resources = free


def make_fleet(absent: int, runners: int, generator: random.Random) -> Fleet:
    """Return a fleet full of batch, with one more runner that is lost."""
    steps = []
    for _ in range(absent):
        processors = generator.randint(1, 3)
        memory_mb = 250 * generator.randint(1, 12)
        demand = Resources(1000 * processors, memory_mb, 0)
        steps.append(StepSpec(1, demand, lasting=True))
    batch = StepSpec(BATCH_TASKS, Resources(1000, 1000, 0))
    batch_jobs = PROCESSORS * runners // BATCH_TASKS
    fleet = Fleet(runners + 1, *steps, *batch_jobs * [batch])
    fleet.lose(runners, absent)
    for number in range(batch_jobs * BATCH_TASKS):
        job, index = divmod(number, BATCH_TASKS)
        attempt = fleet.state.add_attempt(
            fleet.steps[absent + job], index, fleet.runners[number % runners]
        )
        fleet.state.record_start(attempt)
    for number in range(absent):
        task = fleet.steps[number].task_id(0)
        fleet.state.end_attempt(fleet.runners[runners], task, 1, Outcome.LAPSED, "")
    return fleet


async def play(absent: int, runners: int, seconds: float, seed: int):
    """Play the loss; return seconds and looks of each pass, tasks placed, a digest."""
    fleet = make_fleet(absent, runners, random.Random(seed))
    plan = fleet.planner.plan
    pass_s, looks = [], []

    async def measured() -> None:
        looks_before, started_s = CountedRunner.looks, time.process_time()
        await plan()
        pass_s.append(time.process_time() - started_s)
        looks.append(CountedRunner.looks - looks_before)

    fleet.planner.plan = measured
    await fleet.pass_for(seconds)
    digest = hashlib.sha256()
    for attempt in fleet.state.pending_starts:
        digest.update(f"{attempt.task} {attempt.runner};".encode())
    placed = sum(map(fleet.is_placed, range(absent)))
    return pass_s, looks, placed, digest.hexdigest()[:16]


async def play_real(absent: int, runners: int, seconds: float, seed: int):
    """Run the planner in real time; return when each pass began, and tasks placed."""
    fleet = make_fleet(absent, runners, random.Random(seed))
    state, plan = fleet.state, fleet.planner.plan
    begun_s = []

    async def recorded() -> None:
        begun_s.append(anyio.current_time())
        await plan()

    fleet.planner.plan = recorded
    end_s = anyio.current_time() + seconds
    end_by_stop = {}
    recorded_starts = 0
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.planner.run)
        while anyio.current_time() < end_s:
            if all(map(fleet.is_placed, range(absent))):
                break
            now_s = anyio.current_time()
            for attempt in state.pending_starts[recorded_starts:]:
                state.record_start(attempt)
            recorded_starts = len(state.pending_starts)
            for attempt in list(state.stops.pending):
                key = attempt.task, attempt.run
                if now_s >= end_by_stop.setdefault(key, now_s + STOP_S):
                    runner = state.runner_by_id[attempt.runner]
                    state.end_attempt(runner, *key, Outcome.STOPPED, "")
                    state.stops.pending.remove(attempt)
            await anyio.sleep(CHECK_INTERVAL_S)
        begun_s.append(anyio.current_time())
        tasks.cancel_scope.cancel()
    return begun_s, sum(map(fleet.is_placed, range(absent)))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--absent", type=int, default=745)
    parser.add_argument("--runners", type=int, default=2568)
    parser.add_argument("--seconds", type=float, default=9.0)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--real", action="store_true")
    args = parser.parse_args()
    logs.configure(io.StringIO(), "error")
    load = args.absent, args.runners, args.seconds, args.seed
    if args.real:
        begun_s, placed = anyio.run(play_real, *load)
        took_s = begun_s[-1] - begun_s[0]
        between_s = [later - begun for begun, later in itertools.pairwise(begun_s)]
        print(
            f"placed {placed}  s {took_s:.1f}  passes a second"
            f" {len(between_s) / took_s:.1f}  ms between them: median"
            f" {1000 * statistics.median(between_s):.0f}"
            f" longest {1000 * max(between_s):.0f}"
        )
        return
    pass_s, _, placed, digest = run_virtual(play, *load)
    # Counting takes time, so that it has a play of its own.
    _owner_state.Runner = CountedRunner
    _, looks, _, counted_digest = run_virtual(play, *load)
    assert digest == counted_digest
    print(
        f"placed {placed}  passes {len(pass_s)}"
        f"  ms a pass: median {1000 * statistics.median(pass_s):.0f}"
        f" mean {1000 * statistics.mean(pass_s):.0f} longest {1000 * max(pass_s):.0f}"
        f"  looks a pass: mean {statistics.mean(looks):.0f} most {max(looks)}"
        f"  starts {digest}"
    )


if __name__ == "__main__":
    main()
