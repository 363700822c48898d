"""Compares orders of waiting steps under a load that exceeds the fleet.

Run ``python -m benchmarks.overload``. The load is that of `tests.utils.overload`.
Prints the share of jobs in time, the share of their value that callers get, the share
in time of the lower 70%, the next fifth and the largest tenth of the jobs by size, how
many jobs were deferred and how often jobs were deferred or taken back. `--cost`
measures a decision with 2000 waiting jobs instead.
"""

import argparse
import io
import random
import statistics
import time

from flamingoweir import logs
from flamingoweir.policy import (
    OpenWork,
    WaitingJob,
    choose_deferred,
    job_value,
    remaining_work,
    sort_key,
    total_work,
)
from tests.utils import overload
from tests.utils.overload import Load, order_deferred, order_present, replay

#: Mean work of a job of the load in processor-seconds, up to rounding.
MEAN_WORK = 2 * overload.TASKS_PER_STEP * overload.ESTIMATE_S
#: Seconds of waiting that double the rank of a job with aging.
AGING_S = 3.0


def order_smith(step, now_s, order) -> tuple:
    """Return a key by value per remaining work, among jobs in time."""
    priority, rank, slack_s = order_present(step, now_s, order)
    return (priority, rank, slack_s if rank else -_density(step.job))


def order_aging(step, now_s, order) -> tuple:
    """Return a key by value per remaining work that grows with the age of a job."""
    priority, rank, slack_s = order_present(step, now_s, order)
    age_s = now_s - step.job.accepted_s
    density = _density(step.job) * 2 ** (age_s / AGING_S)
    return (priority, rank, slack_s if rank else -density)


def order_begun(step, now_s, order) -> tuple:
    """Return a key by which jobs that have begun go before others in time."""
    priority, rank, slack_s = order_present(step, now_s, order)
    is_new = rank == 0 and not _has_begun(step.job)
    return (priority, rank, is_new, slack_s)


def order_deferred_declared(step, now_s, order) -> tuple:
    """Return the key with deferral, but with declared run times."""
    return sort_key(step, now_s, 1000 * now_s, order[0])


def order_ratio(step, now_s, order) -> tuple:
    """Return the key with measured run times alone."""
    return sort_key(step, now_s, 1000 * now_s, False, order[1])


def order_deferred_smith(step, now_s, order) -> tuple:
    """Return the key with deferral; deferred jobs by value per remaining work."""
    priority, rank, slack_s = order_deferred(step, now_s, order)
    return (priority, rank, -_density(step.job) if rank == 1 else slack_s)


def order_deferred_last(step, now_s, order) -> tuple:
    """Return the key with deferral; deferred jobs among late ones by age."""
    priority, rank, slack_s = order_deferred(step, now_s, order)
    if rank == 1:
        return (priority, 2, now_s - step.job.accepted_s)
    return (priority, rank, slack_s)


WAYS = {
    "present": order_present,
    "smith": order_smith,
    "aging": order_aging,
    "begun": order_begun,
    "deferral": order_deferred,
    "deferral-declared": order_deferred_declared,
    "deferral-smith": order_deferred_smith,
    "ratio": order_ratio,
    "deferral-last": order_deferred_last,
}


def _density(job) -> float:
    left = sum(remaining_work(job))
    return job_value(total_work(job), MEAN_WORK) / max(left, 1e-9)


def _has_begun(job) -> bool:
    for step in job.run_by_step.values():
        if step.done or len(step.open_indexes) < step.spec.count:
            return True
    return False


def compare(args: argparse.Namespace) -> None:
    """Replay the loads in each way and print the means over the seeds."""
    for factor in args.loads:
        for name in args.ways:
            results = []
            for seed in range(args.first_seed, args.first_seed + args.seeds):
                load = Load(
                    factor,
                    seed,
                    run_factor=args.run_factor,
                    objective_s=args.objective_s,
                )
                results.append(replay(load, WAYS[name]))
            classes = []
            for number in range(3):
                classes.append(_mean(r.in_time_by_class[number] for r in results))
            print(
                f"load {factor:.1f}  {name:18}",
                f"in_time {_mean(r.in_time for r in results):.3f}",
                f"worth {_mean(r.worth for r in results):.3f}",
                "classes " + " ".join(f"{share:.2f}" for share in classes),
                f"deferred {_mean(r.deferred for r in results):.0f}",
                f"changes {_mean(r.changes for r in results):.0f}",
                sep="  ",
                flush=True,
            )


def measure_cost(count: int = 2_000, rounds: int = 5) -> None:
    """Print the processor time of a decision with many waiting jobs."""
    generator = random.Random(1)
    jobs = []
    total = 0.0
    for number in range(count):
        work = generator.lognormvariate(4, 0.8)
        due_s = generator.random() * 8
        parts = (OpenWork(due_s - 2, 0, work / 2), OpenWork(due_s, 0, work / 2))
        density = job_value(work, 70.0) / work
        jobs.append(WaitingJob(f"{number:016x}", 1, density, parts))
        total += work
    # The rate lets a third of the work start in time.
    rate = total / 3 / 8
    times_ms = []
    for _ in range(rounds):
        started_s = time.process_time()
        deferred = choose_deferred(jobs, (rate, None), 0.0, lambda job_id: True)
        times_ms.append(1000 * (time.process_time() - started_s))
    print(f"choose_deferred  jobs {count}  deferred {len(deferred)}", end="  ")
    print(f"median {statistics.median(times_ms):.2f} ms  max {max(times_ms):.2f} ms")
    _measure_update(count, rounds)


def _measure_update(count: int, rounds: int) -> None:
    """Print the processor time of an update, in which all of this is collected."""
    load = Load(1.0, processors=count, seconds=120.0)
    specs = [spec for _, spec in load.arrivals()][:count]
    deferrals, now_s = overload.measure_rate(specs, processors=count)
    times_ms = []
    for _ in range(rounds):
        now_s += 0.61
        started_s = time.process_time()
        deferrals.update((), lambda step: True, now_s)
        times_ms.append(1000 * (time.process_time() - started_s))
    print(f"update  jobs {len(specs)}  deferred {len(deferrals.job_ids)}", end="  ")
    print(f"median {statistics.median(times_ms):.2f} ms  max {max(times_ms):.2f} ms")


def _mean(figures) -> float:
    return statistics.mean(figures)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--loads", type=float, nargs="+", default=[1.0, 1.3, 1.6])
    parser.add_argument("--ways", nargs="+", choices=WAYS, default=list(WAYS))
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--run-factor", type=float, default=1.0)
    parser.add_argument("--objective-s", type=float, default=1.0)
    parser.add_argument("--cost", action="store_true")
    args = parser.parse_args()
    logs.configure(io.StringIO(), "error")
    if args.cost:
        measure_cost()
        return
    compare(args)


if __name__ == "__main__":
    main()
