"""Replays a load that exceeds the fleet in virtual time, with the order alone.

The load is that of design 0015: bursts of 1.9 to 2.5 times the usual load, demand that
varies by 55% with a period of 17 s, jobs of two steps with 19 tasks a step on average
and estimates of 1.7 s a task, run times that vary. Tasks take free processors in the
order of `sort_key`, without placement, colocation or a store.
"""

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from flamingoweir.dispatch._customer_load import CustomerLoad
from flamingoweir.dispatch._deferrals import Deferrals
from flamingoweir.dispatch._task_ends import TaskEnds
from flamingoweir.faults import FaultLog
from flamingoweir.fleet import Allocation
from flamingoweir.jobs import Attempt, Job, JobSpec, Outcome, QueuePolicy, StepSpec
from flamingoweir.policy import job_value, objective_s, sort_key, total_work
from flamingoweir.resources import Resources

SERVICE = "turning"
TICK_S = 0.05
#: Fraction of its value that a job keeps which ends late, within three objectives.
LATE_FRACTION = 0.15
TASKS_PER_STEP = 19
ESTIMATE_S = 1.7


@dataclass
class Load:
    """A load, given by what one fleet of ``processors`` carries.

    Attributes
    ----------
    factor : float
        Mean demand, bursts included, divided by what the fleet carries.
    run_factor : float
        Real divided by declared run times, on average.
    """

    factor: float
    seed: int = 0
    processors: int = 200
    seconds: float = 60.0
    run_factor: float = 1.0
    uses_spare: bool = True
    objective_s: float = 1.0
    priorities: tuple[int, ...] = (1,)
    bursts: tuple[tuple[float, float, float], ...] = ((15.0, 27.0, 2.2),)

    def intensity(self, at_s: float) -> float:
        """Return the load at a time, relative to the usual one."""
        level = 1.0 + 0.55 * math.sin(2 * math.pi * at_s / 17.0)
        for begin_s, end_s, burst in self.bursts:
            if begin_s <= at_s < end_s:
                level *= burst
        return level

    def arrivals(self) -> list[tuple[float, JobSpec]]:
        """Return the times and jobs, the same for each way of ordering them."""
        generator = random.Random(self.seed)
        steps = int(self.seconds / TICK_S)
        levels = [self.intensity(TICK_S * n) for n in range(steps)]
        work = 2 * TASKS_PER_STEP * ESTIMATE_S * self.run_factor
        jobs_per_s = self.factor * self.processors / work * len(levels) / sum(levels)
        found = []
        for number, level in enumerate(levels):
            due = jobs_per_s * level * TICK_S
            while due > 0 and generator.random() < due:
                priority = generator.choice(self.priorities)
                found.append((TICK_S * number, self._job(generator, priority, found)))
                due -= 1
        return found

    def _job(self, generator: random.Random, priority: int, found: list) -> JobSpec:
        # Sizes whose largest tenth has a third of the work.
        size = generator.lognormvariate(-0.32, 0.8)
        steps = []
        for number in range(2):
            count = max(1, round(TASKS_PER_STEP * size))
            estimate_s = generator.uniform(0.8, 1.2) * ESTIMATE_S
            steps.append(
                StepSpec(
                    count,
                    Resources(1000, 0, 0),
                    estimate_s,
                    (number - 1,) if number else (),
                    uses_spare=self.uses_spare,
                )
            )
        policy = QueuePolicy(SERVICE, priority, 3, 2.0, self.objective_s)
        queue = f"queue-{priority}"
        return JobSpec(f"{len(found):016x}", queue, "", tuple(steps), policy)


@dataclass
class Result:
    """What callers got.

    Attributes
    ----------
    in_time_by_class : list of float
        Fraction of jobs in time of the lower 70%, the next fifth and the largest tenth
        of the jobs by size.
    """

    in_time: float
    worth: float
    in_time_by_class: list[float]
    deferred: int
    changes: int
    placed: list[str] = field(repr=False)


class _OwnerState:
    """Stands for the parts of the owner's state that deferral reads."""

    def __init__(self) -> None:
        self.job_by_id: dict[str, Job] = {}
        self.task_ends = TaskEnds()
        self.fault_log = FaultLog()
        self.customer_load = CustomerLoad()


def order_present(step, now_s, order) -> tuple:
    """Return the sort key without deferral."""
    return sort_key(step, now_s, 1000 * now_s)


def order_deferred(step, now_s, order) -> tuple:
    """Return the sort key with deferral."""
    return sort_key(step, now_s, 1000 * now_s, *order)


def replay(
    load: Load,
    order: Callable[..., tuple] = order_deferred,
    seconds: float | None = None,
) -> Result:
    """Replay a load; return what callers got.

    The replay ends after ``seconds``, by default 40 s after the last arrivals.
    """
    arrivals = load.arrivals()
    generator = random.Random(load.seed + 1)
    state = _OwnerState()
    deferrals = Deferrals(state)
    free = load.processors
    running: list[tuple] = []
    ended_s: dict[str, float] = {}
    placed: list[str] = []
    deferred: set[str] = set()
    changes = 0
    waiting = list(reversed(arrivals))
    sequence = 0
    for tick in range(int((seconds or load.seconds + 40) / TICK_S)):
        now_s = tick * TICK_S
        while waiting and waiting[-1][0] <= now_s:
            _, spec = waiting.pop()
            job = Job(spec)
            job.accepted_s = now_s
            state.job_by_id[spec.id] = job
        while running and running[0][0] <= now_s:
            end_s, _, step, attempt, started_s = heapq.heappop(running)
            free += 1
            allocation = Allocation(attempt, step.spec)
            allocation.started_s = started_s
            step.job.end(attempt.task, attempt.run, Outcome.DONE, "")
            state.task_ends.record(step.job, allocation, end_s)
            if step.job.is_final:
                ended_s[step.job.spec.id] = end_s
                del state.job_by_id[step.job.spec.id]
        ready = [s for job in state.job_by_id.values() for s in job.ready_steps()]
        ready.sort(
            key=lambda s: (order(s, now_s, deferrals.order_of(s.job)), s.job.spec.id)
        )
        for step in ready:
            for index in list(step.placing_order()):
                if not free:
                    break
                free -= 1
                attempt = step.job.start(step, index, "runner", 1, now_s)
                run_s = step.spec.estimate_s * load.run_factor
                run_s *= generator.uniform(0.7, 1.3)
                sequence += 1
                entry = (now_s + run_s, sequence, step, attempt, now_s)
                heapq.heappush(running, entry)
                placed.append(str(attempt.task))
            if step.open_indexes and step.unplaced_since_s is None:
                step.unplaced_since_s = now_s
        known = set(deferrals.job_ids)
        deferrals.update(ready, lambda step: True, now_s)
        changes += len(known ^ deferrals.job_ids)
        deferred |= deferrals.job_ids
    return _summarize(arrivals, ended_s, len(deferred), changes, placed)


def measure_rate(specs: list[JobSpec], processors: int) -> tuple[Deferrals, float]:
    """Return deferrals of jobs that wait, with a known drain rate, and the time.

    Jobs of their own drain ``processors`` of work a second while the others wait.
    """
    state = _OwnerState()
    deferrals = Deferrals(state)
    policy = QueuePolicy(SERVICE, 1, 3, 2.0, 1.0)
    step = StepSpec(1, Resources(1000, 0, 0), ESTIMATE_S, uses_spare=True)
    ended = Job(JobSpec("ended", "queue-1", "", (step,), policy))
    waiting = Job(JobSpec("waiting", "queue-1", "", (step,), policy))
    waiting.run_by_step[0, 0].unplaced_since_s = 0.0
    now_s = 0.0
    while now_s < 6.0:
        now_s += 0.31
        attempt = Attempt(ended.run_by_step[0, 0].task_id(0), 1, "runner", 1)
        allocation = Allocation(attempt, step)
        allocation.started_s = now_s - ESTIMATE_S
        for _ in range(round(0.31 * processors / ESTIMATE_S)):
            state.task_ends.record(ended, allocation, now_s)
        deferrals.update([waiting.run_by_step[0, 0]], lambda step: True, now_s)
    for spec in specs:
        job = Job(spec)
        job.accepted_s = now_s
        state.job_by_id[spec.id] = job
    return deferrals, now_s


def _summarize(arrivals, ended_s, deferred, changes, placed) -> Result:
    jobs = []
    for at_s, spec in arrivals:
        job = Job(spec)
        age_s = ended_s.get(spec.id, math.inf) - at_s
        jobs.append((total_work(job), age_s / objective_s(job)))
    jobs.sort()
    mean_work = sum(work for work, _ in jobs) / len(jobs)
    worth = total = 0.0
    for work, age in jobs:
        value = job_value(work, mean_work)
        total += value
        worth += value * (1.0 if age <= 1 else LATE_FRACTION if age <= 3 else 0.0)
    bounds = [0, int(0.7 * len(jobs)), int(0.9 * len(jobs)), len(jobs)]
    by_class = []
    for begin, end in zip(bounds, bounds[1:], strict=False):
        ages = [age for _, age in jobs[begin:end]]
        by_class.append(sum(age <= 1 for age in ages) / len(ages))
    in_time = sum(age <= 1 for _, age in jobs) / len(jobs)
    return Result(in_time, worth / total, by_class, deferred, changes, placed)
