"""Eviction: batch that can be repeated makes room for absent long-running tasks.

Replays the load of kpst-orders `quiet-1` and `mix` (hunted days 519591916962,
274093298986 and 441594795200) and of tomen-dail-large `scale-2`: batch holds almost all
reserved processors when a long-running task fails.
"""

import anyio
import pytest

from flamingoweir.fleet import RUNNER_LEASE_S, Runner
from flamingoweir.jobs import Job, JobState, Outcome, QueuePolicy, StepSpec, TaskId
from flamingoweir.policy import ENOUGH_RUNNERS, choose_evictions
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources
from tests.utils.cluster import SERVICE, make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual

#: Longest time in seconds that a long-running task may be away in calm times.
MAX_AWAY_S = 6.0
BATCH_S = 20.0


def make_runner(runner_id: str, processors: int = 8, memory_mb: int = 8000) -> Runner:
    capacity = Resources(1000 * processors, memory_mb, 0)
    entry = RunnerEntry(runner_id, 1, SERVICE, "host:1", "zone", capacity=capacity)
    runner = Runner(entry, 10.0)
    runner.begin_incarnation(1, 0.0)
    return runner


def run_on(
    runner: Runner,
    number: int,
    spec: StepSpec,
    started_s: float = 0.0,
    priority: int = 1,
):
    """Run a task of a job of its own; return its allocation."""
    policy = QueuePolicy(SERVICE, priority, 3, 2.0, 1.0)
    job = Job(make_job(number, spec, policy=policy))
    attempt = job.start(job.run_by_step[0, 0], 0, runner.id, 1, started_s)
    job.record_start(attempt)
    return runner.add(attempt, spec)


def absent_step(processors: float = 4.0, **fields):
    """Return the step of a long-running task that has run before."""
    job = Job(make_job(99, make_step(1, processors, lasting=True, **fields)))
    step = job.run_by_step[0, 0]
    attempt = job.start(step, 0, "former", 1, 0.0)
    job.end(attempt.task, attempt.run, Outcome.FAILED, "")
    return step


async def submit_long_batch(cluster, numbers, count: int, processors: float):
    """Submit jobs of tasks that run for `BATCH_S`; return the last job."""
    for number in numbers:
        step = make_step(count, processors, estimate_s=BATCH_S)
        batch = await cluster.submit(make_job(number, step))
        for index in range(count):
            cluster.plan_by_task[f"{batch.id}.0.0.{index}"] = (BATCH_S, Outcome.DONE)
    return batch


def fail_task(cluster, job) -> float:
    """Let the only task of a job fail where it runs; return the time in seconds."""
    task = TaskId(job.id, 0, 0, 0)
    (runner_id,) = cluster.starts(str(task))
    cluster.runner_by_id[runner_id].fail(task)
    return anyio.current_time()


def test_failed_lasting_task_runs_again_although_batch_fills_the_fleet():
    """Guards against a long-running task that waits for a gap until batch ends.

    The gap that it left itself is large enough, on the runner on which it failed.
    """

    async def scenario():
        async with run_cluster(runners=2, processors=8) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            lasting = await cluster.submit(make_job(1, make_step(1, 6.0, lasting=True)))
            await cluster.wait_for(lasting, JobState.RUNNING, 2.0)
            await submit_long_batch(cluster, range(2, 12), 4, 2.0)
            await anyio.sleep(1.0)
            failed_s = fail_task(cluster, lasting)
            await anyio.sleep(MAX_AWAY_S)
            starts = [r for r in cluster.records("start") if r.task.job == lasting.id]
            assert len(starts) == 2, "the task did not run again"
            assert starts[1].at_s - failed_s < MAX_AWAY_S
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_lasting_task_of_a_lost_runner_runs_although_batch_fills_the_others():
    """Guards against an absent task that waits for batch, and against lost batch.

    No more batch is evicted than needed, and what was evicted runs again.
    """

    async def scenario():
        async with run_cluster(runners=2, processors=8) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            lasting = await cluster.submit(make_job(1, make_step(1, 5.0, lasting=True)))
            await cluster.wait_for(lasting, JobState.RUNNING, 2.0)
            batch = await submit_long_batch(cluster, range(2, 3), 12, 2.0)
            await anyio.sleep(1.0)
            (former,) = cluster.starts(f"{lasting.id}.0.0.0")
            crashed_s = anyio.current_time()
            cluster.runner_by_id[former].crash()
            cluster.unlist_runner(former)
            await anyio.sleep(RUNNER_LEASE_S + MAX_AWAY_S)
            starts = [r for r in cluster.records("start") if r.task.job == lasting.id]
            assert len(starts) == 2, "the task did not run again"
            assert starts[1].at_s - crashed_s < RUNNER_LEASE_S + MAX_AWAY_S - 1.0
            assert 1 <= len(cluster.records("stopped")) <= 3
            await cluster.wait_for(batch, JobState.DONE, 12 * BATCH_S)
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_least_work_is_thrown_away():
    """Guards against the loss of more processor time than is needed."""
    old, young = make_runner("old"), make_runner("young")
    run_on(old, 1, make_step(1, 8.0), started_s=0.0)
    expected = run_on(young, 2, make_step(1, 8.0), started_s=9.0)
    found = choose_evictions(absent_step(), [old, young], {}, 10.0)
    assert found == (young, [expected])


def test_task_with_checkpoint_is_evicted_first():
    """Guards against lost work where a task resumes from its checkpoint."""
    runner = make_runner("r")
    run_on(runner, 1, make_step(1, 4.0), started_s=8.0)
    saved = run_on(runner, 2, make_step(1, 4.0, checkpoints=True), started_s=1.0)
    assert choose_evictions(absent_step(), [runner], {}, 10.0) == (runner, [saved])


def test_tasks_whose_stop_frees_nothing_that_is_needed_run_on():
    """Guards against the eviction of small tasks beside one that is large enough."""
    runner = make_runner("r")
    for number in range(4):
        run_on(runner, number, make_step(1, 1.0, checkpoints=True))
    large = run_on(runner, 9, make_step(1, 4.0), started_s=9.0)
    step = absent_step(4.0)
    assert choose_evictions(step, [runner], {}, 10.0)[1] != []
    step = absent_step(8.0)
    assert large in choose_evictions(step, [runner], {}, 10.0)[1]
    memory = make_runner("m", memory_mb=1000)
    spare = StepSpec(1, Resources(4000, 600, 0), uses_spare=True)
    held = run_on(memory, 20, spare)
    run_on(memory, 21, make_step(1, 1.0, checkpoints=True))
    step = absent_step(demand=Resources(2000, 800, 0))
    assert choose_evictions(step, [memory], {}, 10.0) == (memory, [held])


@pytest.mark.parametrize("kind", ["lasting", "gang"])
def test_lasting_tasks_and_gangs_are_not_evicted(kind):
    """Guards against one absence cured by another, and against broken gangs."""
    runner = make_runner("r")
    run_on(runner, 1, make_step(1, 8.0, **{kind: True}))
    assert choose_evictions(absent_step(), [runner], {}, 10.0) is None


def test_room_of_attempts_that_stop_already_is_counted_once():
    """Guards against a second eviction for room that is promised to another task."""
    runner = make_runner("r")
    first = run_on(runner, 1, make_step(1, 4.0), started_s=9.0)
    second = run_on(runner, 2, make_step(1, 4.0), started_s=1.0)
    assert choose_evictions(absent_step(), [runner], {}, 10.0) == (runner, [first])
    first.attempt.state = first.attempt.state.STOPPING
    assert choose_evictions(absent_step(), [runner], {}, 10.0) == (runner, [])
    promised = {"r": Resources(4000, 0, 0)}
    found = choose_evictions(absent_step(), [runner], promised, 10.0)
    assert found == (runner, [second])


def test_task_is_not_put_beyond_the_limit_per_runner():
    """Guards against evictions that make no room, as the step's limit is reached."""
    runner = make_runner("r")
    job = Job(make_job(99, make_step(2, 4.0, lasting=True, max_per_runner=1)))
    step = job.run_by_step[0, 0]
    runner.add(job.start(step, 1, "r", 1, 0.0), step.spec)
    ended = job.start(step, 0, "former", 1, 0.0)
    job.end(ended.task, ended.run, Outcome.FAILED, "")
    run_on(runner, 1, make_step(1, 4.0))
    assert choose_evictions(step, [runner], {}, 10.0) is None


@pytest.mark.parametrize("first", [0, 150])
def test_choice_in_a_large_fleet_compares_some_runners_that_have_room(first):
    """Guards against hundreds of choices that each look at the whole fleet.

    The fleet begins anew after its last runner. One that is full of long-running
    tasks is none of those that are compared.
    """
    runners, batch = [], []
    for number in range(200):
        runner = make_runner(f"r{number}")
        is_batch = number % 2
        spec = make_step(1, 8.0, lasting=not is_batch)
        batch.append(run_on(runner, number, spec, started_s=number / 100))
        runners.append(runner)
    # The youngest of those that are compared is the last one.
    last = (first + 2 * ENOUGH_RUNNERS - 1) % len(runners)
    expected = last if last > first else len(runners) - 1
    found = choose_evictions(absent_step(), runners, {}, 10.0, first)
    assert found == (runners[expected], [batch[expected]])


def test_choice_in_a_large_fleet_finds_the_only_room():
    """Guards against a task that is away as only some runners are looked at."""
    runners = [make_runner(f"r{number}") for number in range(3 * ENOUGH_RUNNERS)]
    for number, runner in enumerate(runners[:-1]):
        run_on(runner, number, make_step(1, 8.0, lasting=True))
    batch = run_on(runners[-1], 999, make_step(1, 8.0))
    found = choose_evictions(absent_step(), runners, {}, 10.0)
    assert found == (runners[-1], [batch])
