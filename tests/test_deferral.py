"""Deferral of jobs while the load exceeds the fleet.

Replays the load of design 0015: bursts of 2.2 times a demand that varies by 55%, and
jobs of two steps with 19 tasks a step on average.
"""

import random

import anyio
import pytest

from flamingoweir.dispatch import _deferrals
from flamingoweir.jobs import Job, JobSpec, JobState, Outcome, QueuePolicy, StepSpec
from flamingoweir.policy import (
    DrainRate,
    OpenWork,
    RunRatio,
    SizeClasses,
    WaitingJob,
    choose_deferred,
    job_value,
    objective_s,
)
from flamingoweir.resources import Resources
from tests.utils.cluster import SERVICE, make_job, make_step, run_cluster
from tests.utils.overload import Load, measure_rate, order_present, replay
from tests.utils.virtual_time import run_virtual

#: Drain rate at which `PROMISED_FRACTION` of it is 1 on spare processors.
RATES = (1.25, None)


def make_waiting(job_id, due_s, work, density, **fields) -> WaitingJob:
    fields.setdefault("priority", 1)
    open_work = (OpenWork(due_s, 0, work),)
    return WaitingJob(job_id, density=density, open_work=open_work, **fields)


def choose(*jobs, rates=RATES, may_defer=lambda job_id: True) -> set[str]:
    return choose_deferred(jobs, rates, 0.0, may_defer)


def test_job_with_least_value_for_its_work_is_deferred_until_the_rest_fits():
    """Guards against a job that makes others late which are worth more."""
    first = make_waiting("first", 4.0, 3.0, 0.2)
    second, third = (
        make_waiting("second", 5.0, 3.0, 0.4),
        make_waiting("third", 6, 3, 1),
    )
    assert choose(third, second, first) == {"first"}
    assert choose(first, make_waiting("later", 8.0, 3.0, 0.1)) == set()


def test_job_with_little_work_left_is_kept():
    """Guards against work thrown away on a large job that is nearly done."""
    nearly_done = make_waiting("nearly-done", 4.0, 3.0, 4.0)
    assert choose(nearly_done, make_waiting("new", 4.0, 3.0, 1.0)) == {"new"}


def test_higher_priority_takes_its_part_first():
    """Guards against capacity that is promised twice."""
    urgent = make_waiting("urgent", 9.0, 4.0, 0.1, priority=0)
    assert choose(urgent, make_waiting("other", 4.0, 2.0, 9.0)) == {"other"}
    late = urgent._replace(can_end_in_time=False)
    assert choose(late, make_waiting("other", 4.0, 2.0, 9.0)) == {"other"}


def test_late_job_takes_nothing_from_its_equals():
    """Guards against jobs deferred for others that are placed after them."""
    late = make_waiting("late", 1.0, 9.0, 9.0, can_end_in_time=False)
    assert choose(late, make_waiting("other", 4.0, 4.0, 0.1)) == set()


def test_deferred_job_is_taken_back_only_into_clearly_more_room():
    """Guards against jobs that change places with each decision."""
    kept = make_waiting("kept", 4.0, 2.0, 1.0)
    deferred = make_waiting("deferred", 4.0, 1.9, 0.5, is_deferred=True)
    assert choose(kept, deferred) == {"deferred"}
    assert choose(kept, deferred._replace(is_deferred=False)) == set()
    room = make_waiting("deferred", 4.0, 1.5, 0.5, is_deferred=True)
    assert choose(kept, room) == set()


def test_nothing_is_deferred_without_a_drain_rate():
    """Guards against a decision by an unknown capacity, as after a take-over."""
    job = make_waiting("job", 1.0, 99.0, 0.1)
    assert choose(job, rates=(None, 1.0)) == set()
    assert choose(job) == {"job"}


def test_spared_job_stays_and_others_are_deferred():
    """Guards against a class of jobs that is never served."""
    spared, other = make_waiting("spared", 3, 3, 0.1), make_waiting("other", 4, 3, 0.9)
    assert choose(spared, other, may_defer=lambda job_id: job_id != "spared") == {
        "other"
    }


@pytest.mark.parametrize("density", [0.01, 9.0])
def test_nothing_is_deferred_for_a_spared_job_that_does_not_fit(density):
    """Guards against small jobs that are all deferred in vain for a large one."""
    jobs = [make_waiting(f"job-{n}", 8.0 + 0.1 * n, 0.5, 1.0) for n in range(8)]
    spared = make_waiting("spared", 9.0, 100.0, density)
    assert choose(*jobs, spared, may_defer=lambda job_id: job_id != "spared") == set()


def test_nothing_is_deferred_for_what_goes_first():
    """Guards against deferral of all jobs where higher priorities need all capacity."""
    urgent = make_waiting("urgent", 9.0, 40.0, 0.1, priority=0)
    urgent = urgent._replace(can_end_in_time=False)
    jobs = [make_waiting(f"job-{n}", 5.0 + n, 1.0, 1.0) for n in range(8)]
    assert choose(urgent, *jobs) == set()
    # A job of two kinds that is late by one of them takes nothing of the other.
    parts = (OpenWork(3.0, 1, 2.0), OpenWork(4.0, 0, 1.0))
    both = WaitingJob("both", 1, 9.0, parts)
    other = WaitingJob("other", 1, 0.1, (OpenWork(20.0, 1, 19.0),))
    assert choose(urgent, both, other, rates=(1.25, 1.25)) == set()


def test_value_grows_with_work_up_to_a_limit():
    """Guards against large jobs that count as little as small ones, or for too much."""
    assert job_value(10.0, 10.0) == pytest.approx(1.0)
    assert job_value(0.0, 10.0) == pytest.approx(0.3)
    assert job_value(900.0, 10.0) == 4.0


def test_drain_rate_is_measured_only_while_tasks_wait():
    """Guards against a small load that is taken for a small fleet."""
    rate = DrainRate()
    for number in range(20):
        rate.update(1.0, 0.3, False, 0.3 * number, run_count=20)
    assert rate.per_s() is None
    for number in range(20, 40):
        rate.update(6.0, 0.3, True, 0.3 * number, run_count=20)
    assert rate.per_s() == pytest.approx(20.0)
    for number in range(40, 60):
        rate.update(0.0, 0.0, False, 0.3 * number, run_count=0)
    assert rate.per_s() is None


def test_tasks_that_started_on_a_free_fleet_say_nothing_about_its_capacity():
    """Guards against deferral at the begin of each burst, when little ends as yet."""
    rate = DrainRate()
    for number in range(10):
        rate.update(3.0, 2.0, False, 0.3 * number, run_count=20)
    for number in range(10, 16):
        rate.update(0.3, 2.0, True, 0.3 * number, run_count=20)
    assert rate.per_s() is None


def measure(seconds, begin_s=0.0, rate=None, run_s=1.5, count=3) -> DrainRate:
    """Update a rate every 0.3 s while tasks wait and 10 units of work end a second."""
    rate = rate or DrainRate()
    for number in range(round(seconds / 0.3)):
        now_s = begin_s + 0.3 * number
        rate.update(3.0, run_s, True, now_s, run_count=count, declared_run_s=run_s)
    return rate


def test_gap_in_planning_is_not_measured():
    """Guards against an outage of the store that is taken for a small fleet."""
    rate = measure(6.0)
    assert rate.per_s() == pytest.approx(10.0)
    # The first update after the gap reports all ends that came during it.
    rate = measure(2.7, begin_s=20.0, rate=rate)
    assert rate.per_s() is None
    assert measure(3.0, begin_s=22.7, rate=rate).per_s() == pytest.approx(10.0)


def test_updates_at_long_intended_intervals_are_measured():
    """Guards against a rate that is never known because very many jobs wait."""
    rate = DrainRate()
    for number in range(10):
        at = {"run_count": 20, "declared_run_s": 1.5, "interval_s": 1.5}
        rate.update(15.0, 1.5, True, 1.5 * number, **at)
    assert rate.per_s() == pytest.approx(10.0)


@pytest.mark.parametrize("seed", [0, 1, 2])
def test_rate_of_tasks_of_20_s_is_measured_over_their_run_time(seed):
    """Guards against the time before the first long tasks end taken for a low rate."""
    generator = random.Random(seed)
    rate = DrainRate()
    ends_s = [20.0 * generator.uniform(0.7, 1.3) for _ in range(40)]
    rates = []
    for number in range(1, 400):
        now_s = 0.3 * number
        ends = 0
        for index, end_s in enumerate(ends_s):
            if end_s <= now_s:
                ends += 1
                ends_s[index] = end_s + 20.0 * generator.uniform(0.7, 1.3)
        rate.update(20.0 * ends, 20.0, True, now_s, run_count=ends, declared_run_s=20.0)
        rates.append(rate.per_s())
    # Nothing is known until tasks that started on a full fleet have ended.
    assert not any(rates[:66])
    assert all(found is not None for found in rates[-100:])
    # 40 processors are busy. A quarter less is a promise that one more job would break.
    assert all(30.0 <= found <= 50.0 for found in rates if found is not None)


def test_rate_needs_ends():
    """Guards against an owner without any ends as yet that counts a rate of 0."""
    assert measure(30.0, count=0).per_s() is None
    rate = measure(6.0)
    for number in range(20, 60):
        rate.update(0.0, 0.0, True, 0.3 * number, run_count=0)
    assert rate.per_s() is None


@pytest.mark.parametrize(
    ("run_s", "count", "expected"),
    [(1.5, 19, 1), (1.5, 20, 1.5), (9, 20, 3), (0.1, 20, 1 / 3)],
)
def test_run_ratio_is_bounded_and_needs_enough_tasks(run_s, count, expected):
    """Guards against a few odd tasks by which a whole queue counts as late."""
    ratio = RunRatio()
    for _ in range(count):
        ratio.record(run_s, 1.0)
    assert ratio.value == pytest.approx(expected)


def test_class_that_is_served_far_less_often_than_its_queue_is_spared():
    """Guards against the largest jobs of a queue being deferred for ever."""
    classes = SizeClasses()
    for size in range(40):
        size_class = classes.classify(float(size))
    assert size_class == 2
    assert classes.allows(2)
    for _ in range(20):
        classes.record_outcome(0, True)
        classes.record_outcome(2, False)
    assert not classes.allows(2)
    assert classes.allows(0) and classes.allows(1)


@pytest.mark.parametrize("factor", [1.0, 1.3, 1.6])
def test_more_jobs_end_in_time_and_the_largest_are_served(factor):
    """Guards against jobs that can't end in time and make the next ones late."""
    load = Load(factor, seed=1, seconds=45.0)
    before, now = replay(load, order_present), replay(load)
    assert now.in_time > before.in_time
    assert now.worth > before.worth
    assert now.deferred
    # What callers need: each class is served at least half as often as the queue.
    for in_time in now.in_time_by_class:
        assert in_time >= 0.5 * now.in_time


@pytest.mark.parametrize(("run_factor", "objective"), [(1 / 3, 1.0), (3.0, 10.0)])
def test_wrong_estimates_lose_nothing(run_factor, objective):
    """Guards against deferral by estimates that are off by a factor of 3."""
    load = Load(1.3, seed=1, seconds=40.0, run_factor=run_factor, objective_s=objective)
    before, now = replay(load, order_present), replay(load)
    assert now.in_time >= before.in_time
    assert now.worth >= before.worth


@pytest.mark.parametrize(
    "load",
    [
        # The order without deferral has all jobs of these loads in time.
        Load(0.4, 0, seconds=30.0, bursts=()),
        Load(0.4, 1, seconds=30.0, bursts=()),
        Load(0.5, 1, seconds=30.0, bursts=()),
        # Without an objective, nothing is measured or deferred under any load.
        Load(1.6, seconds=30.0, objective_s=0.0),
    ],
)
def test_order_is_as_before_without_overload_or_objective(load):
    """Guards against deferral on a fleet that carries its load, or not asked for."""
    now = replay(load)
    assert now.deferred == 0
    assert now.placed == replay(load, order_present).placed


def test_new_owner_defers_nothing_at_first():
    """Guards against deferral of restored jobs before the drain rate is known."""
    burst = Load(8.0, seconds=1.5, bursts=())
    now = replay(burst, seconds=1.5)
    assert now.deferred == 0
    assert now.placed == replay(burst, order_present, seconds=1.5).placed
    # Jobs that fit: 3 s of work, with an objective that leaves 12 s more.
    fitting = Load(2.0, seconds=1.5, bursts=(), objective_s=12.0)
    now = replay(fitting, seconds=10.0)
    assert now.deferred == 0
    assert now.in_time == 1.0
    assert now.placed == replay(fitting, order_present, seconds=10.0).placed


@pytest.mark.parametrize("kind", ["excess", "capped", "worthless", "too_large"])
def test_flood_that_takes_nothing_defers_no_normal_job(kind):
    """Guards against normal jobs that are deferred for others that go after them.

    400 jobs of another customer are in excess or wait for its cap, or 12 jobs of a
    higher priority are beyond three objectives or fit nowhere.
    """
    processors = Resources(1000, 0, 0)
    step = StepSpec(20, processors, 1.0, uses_spare=True)
    policy = QueuePolicy(SERVICE, 1, 3, 2.0, 4.0)
    normal = [JobSpec(f"n{n}", "queue-1", "", (step,), policy) for n in range(10)]
    deferrals, now_s = measure_rate(normal, processors=100)
    state = deferrals._owner_state
    count = 400
    if kind in ("worthless", "too_large"):
        # More would leave no capacity at all, so that nothing could be deferred.
        count = 12
        policy = QueuePolicy(SERVICE, 0, 3, 2.0, 4.0)
    for number in range(count):
        spec = JobSpec(f"f{number}", "queue-1", "", (step,), policy, customer="b")
        state.job_by_id[spec.id] = job = Job(spec)
        job.accepted_s = now_s - (100.0 if kind == "worthless" else 0.0)
        if kind == "excess":
            state.customer_load._excess_ids.add(spec.id)
    ready = []
    for job in state.job_by_id.values():
        if kind != "capped" or not job.spec.customer:
            ready += job.ready_steps()
    deferrals.update(
        ready,
        lambda step: kind != "too_large" or not step.job.spec.customer,
        now_s + 0.5,
    )
    assert not any(job_id.startswith("n") for job_id in deferrals.job_ids)
    assert not deferrals.job_ids


def test_decision_is_about_a_bounded_number_of_jobs(monkeypatch):
    """Guards against a decision that holds the event loop for tens of milliseconds."""
    sizes = []
    monkeypatch.setattr(
        _deferrals,
        "choose_deferred",
        lambda jobs, *args: sizes.append(len(jobs)) or set(),
    )
    step = StepSpec(20, Resources(1000, 0, 0), 1.0, uses_spare=True)
    policy = QueuePolicy(SERVICE, 1, 3, 2.0, 4.0)
    specs = [JobSpec(f"n{n}", "queue-1", "", (step,), policy) for n in range(900)]
    deferrals, now_s = measure_rate(specs, processors=100)
    deferrals.update((), lambda step: True, now_s + 0.5)
    assert sizes[-1] == 500


def test_failed_decision_leaves_the_order_as_it_is(monkeypatch):
    """Guards against run ratios that stay in force after an error."""
    step = StepSpec(20, Resources(1000, 0, 0), 1.0, uses_spare=True)
    policy = QueuePolicy(SERVICE, 1, 3, 2.0, 4.0)
    spec = JobSpec("n", "queue-1", "", (step,), policy)
    deferrals, now_s = measure_rate([spec], processors=100)

    def fail(*args):
        raise ValueError("a fault in the decision")

    monkeypatch.setattr(_deferrals, "choose_deferred", fail)
    deferrals.update((), lambda step: True, now_s + 0.5)
    assert not deferrals._ratio_by_queue and not deferrals.job_ids


def test_scheduled_gang_and_long_running_steps_keep_their_place():
    """Guards against deferral of work whose order follows other rules."""
    policy = QueuePolicy(SERVICE, 1, 3, 2.0, 1.0)
    fields = {"policy": policy}
    assert _deferrals._is_covered(Job(make_job(1, make_step(2), **fields)))
    for step in (make_step(2, gang=True), make_step(2, lasting=True)):
        assert not _deferrals._is_covered(Job(make_job(1, step, **fields)))
    due = make_job(1, make_step(2), first_due_ms=1, interval_ms=9, occurrences=2)
    assert not _deferrals._is_covered(Job(due))
    plain = make_job(1, make_step(2), policy=QueuePolicy(SERVICE, 1, 3, 2.0, 0.0))
    assert not _deferrals._is_covered(Job(plain))


@pytest.mark.parametrize("fails", [False, True])
def test_planner_defers_jobs_and_drops_none(fails, monkeypatch):
    """Guards against deferred jobs that are lost, and errors that stop the planner."""
    seen = set()
    choose_jobs = _deferrals.choose_deferred

    def record(*args):
        if fails:
            raise ValueError("a fault in the decision")
        found = choose_jobs(*args)
        seen.update(found)
        return found

    monkeypatch.setattr(_deferrals, "choose_deferred", record)

    async def scenario():
        async with run_cluster(members=1, runners=2, processors=4) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            specs = []
            for number in range(1, 41):
                count = 6 if number % 4 == 0 else 2
                step = make_step(count, 1.0, estimate_s=1.0)
                spec = make_job(number, step, accepted_ms=round(cluster.wall_ms()))
                for index in range(count):
                    cluster.plan_by_task[f"{spec.id}.0.0.{index}"] = (1.0, Outcome.DONE)
                specs.append(await cluster.submit(spec))
                await anyio.sleep(0.2)
            for spec in specs:
                await cluster.wait_for(spec, JobState.DONE, 30.0)
            assert not cluster.find_overlaps()

    run_virtual(scenario)
    assert bool(seen) is not fails
    assert objective_s(Job(make_job(1, make_step(2)))) == 3.0
