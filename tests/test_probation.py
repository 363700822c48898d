"""Runners on probation that run long-running tasks, which never end successfully.

After its quarantine, a runner gets tasks only while it has no attempts, and of one step
only, until a task on it succeeds. A long-running task never succeeds: a runner on which
only such tasks run would get no other task for good, whatever is free there. Seen on
tomen-dail: two tasks fail on a runner within 0.6 s, and it gets no task any more in the
next 57 s, while other long-running tasks run there.
"""

import anyio
import pytest

from flamingoweir.dispatch._early_probes import EarlyProbes
from flamingoweir.dispatch._evictions import Evictions
from flamingoweir.dispatch._owner_state import OwnerState
from flamingoweir.jobs import JobState, Outcome, TaskId
from flamingoweir.metrics import NoMetrics
from flamingoweir.policy import PlacementPolicy
from flamingoweir.policy._health import QUARANTINE_S
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources
from tests.utils.cluster import SERVICE, make_job, make_step, run_cluster
from tests.utils.virtual_time import VirtualClock, run_virtual

#: Longest time in seconds that a long-running task may be away in calm times.
MAX_AWAY_S = 6.0
#: Longest time in seconds that a long-running task may be away after a disruption.
MAX_AWAY_AFTER_FAULT_S = 7.0


async def start_lasting(cluster, count: int):
    """Start jobs of one long-running task each; return them."""
    await cluster.owner()
    await anyio.sleep(1)
    jobs = []
    for number in range(1, count + 1):
        step = make_step(1, 1.5, lasting=True)
        jobs.append(await cluster.submit(make_job(number, step)))
    for job in jobs:
        await cluster.wait_for(job, JobState.RUNNING, 2.0)
    return jobs


def fail_task(cluster, job) -> None:
    """Let the only task of a job fail where it runs."""
    task = TaskId(job.id, 0, 0, 0)
    cluster.runner_by_id[cluster.starts(str(task))[-1]].fail(task)


@pytest.mark.parametrize("failed_count", [1, 2, 3])
def test_failed_lasting_tasks_run_again_beside_others_that_run_on(failed_count):
    """Guards against a runner that gets no tasks while long-running ones run there."""

    async def scenario():
        async with run_cluster(runners=1, processors=8) as cluster:
            jobs = await start_lasting(cluster, failed_count + 1)
            failed = jobs[:failed_count]
            for job in failed:
                fail_task(cluster, job)
                await anyio.sleep(0.5)
            await anyio.sleep(QUARANTINE_S + MAX_AWAY_S)
            counts = [len(cluster.starts(f"{job.id}.0.0.0")) for job in failed]
            assert counts == [2] * failed_count, "failed tasks did not run again"
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_lasting_tasks_run_again_beside_one_that_probes_their_runner():
    """Guards against a runner that is probed by a long-running task for good."""

    async def scenario():
        async with run_cluster(runners=1, processors=8) as cluster:
            jobs = await start_lasting(cluster, 3)
            for job in jobs:
                fail_task(cluster, job)
            await anyio.sleep(QUARANTINE_S + MAX_AWAY_S)
            counts = [len(cluster.starts(f"{job.id}.0.0.0")) for job in jobs]
            assert counts == [2, 2, 2], "failed tasks did not run again"
            assert not cluster.find_overlaps()

    run_virtual(scenario)


@pytest.mark.parametrize("sound", [0, 2], ids=["all", "some"])
@pytest.mark.parametrize("fault_s", [3.0, 6.5, 9.5, 12.0, 22.0])
def test_task_is_not_absent_for_the_quarantines_of_runners_that_are_sound(
    fault_s, sound
):
    """Guards against a quarantine that outlasts the fault of all runners with room."""

    async def scenario():
        async with run_cluster(runners=5, processors=2) as cluster:
            jobs = await start_lasting(cluster, 5)
            faulty = list(cluster.runner_by_id.values())[sound:]
            for runner in faulty:
                runner.faulty = True
            for job in jobs:
                fail_task(cluster, job)
            await anyio.sleep(fault_s)
            for runner in faulty:
                runner.faulty = False
            await anyio.sleep(MAX_AWAY_AFTER_FAULT_S)
            runners = cluster.runner_by_id.values()
            idle = [r.id for r in runners if not r.reserved.processors_milli]
            assert not idle
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def find_lasting(cluster) -> list[TaskId]:
    """Return the long-running tasks that run."""
    found = []
    for runner in cluster.runner_by_id.values():
        found += [task for task in runner.tasks if cluster.find_spec(task).lasting]
    return found


@pytest.mark.parametrize(("fault_s", "stagger_s"), [(15.5, 0.0), (15.5, 0.5)])
def test_tasks_are_not_absent_for_the_probes_of_their_runner_one_after_another(
    fault_s, stagger_s
):
    """Guards against an early probe that counts no more once the quarantine is over."""

    async def scenario():
        async with run_cluster(runners=1, processors=16) as cluster:
            jobs = await start_lasting(cluster, 4)
            (runner,) = cluster.runner_by_id.values()
            runner.faulty = True
            for job in jobs[1:]:
                fail_task(cluster, job)
                await anyio.sleep(stagger_s)
            await anyio.sleep(fault_s - stagger_s * len(jobs[1:]))
            runner.faulty = False
            await anyio.sleep(MAX_AWAY_AFTER_FAULT_S)
            assert len(runner.tasks) == len(jobs)
            assert not cluster.find_overlaps()

    run_virtual(scenario)


@pytest.mark.parametrize("batch_s", [1.0, 30.0])
def test_task_is_not_absent_for_batch_that_probes_all_runners_with_room(batch_s):
    """Guards against a probe that keeps a runner closed for as long as it runs."""

    async def scenario():
        async with run_cluster(runners=3, processors=4) as cluster:
            (job,) = await start_lasting(cluster, 1)
            (former,) = (r for r in cluster.runner_by_id.values() if r.tasks)
            others = [r for r in cluster.runner_by_id.values() if r is not former]
            for runner in others:
                runner.faulty = True
            for number in range(2, 22):
                batch = make_job(number, make_step())
                cluster.plan_by_task[f"{batch.id}.0.0.0"] = (batch_s, Outcome.DONE)
                await cluster.submit(batch)
            await anyio.sleep(0.3)
            for runner in others:
                runner.faulty = False
            await anyio.sleep(QUARANTINE_S)
            former.crash()
            cluster.unlist_runner(former.id)
            await anyio.sleep(MAX_AWAY_AFTER_FAULT_S)
            assert [task.job for task in find_lasting(cluster)] == [job.id]
            assert not cluster.find_overlaps()

    run_virtual(scenario)


@pytest.mark.parametrize("fault_s", [3.0, 10.5])
def test_room_is_made_for_absent_tasks_on_quarantined_runners_that_are_sound(fault_s):
    """Guards against batch that stays on all runners that a task may probe."""

    async def scenario():
        async with run_cluster(runners=3, processors=4) as cluster:
            (job,) = await start_lasting(cluster, 1)
            (former,) = (r for r in cluster.runner_by_id.values() if r.tasks)
            others = [r for r in cluster.runner_by_id.values() if r is not former]
            batch = make_job(2, make_step(8, 1.3))
            cluster.plan_by_task.update(
                {f"{batch.id}.0.0.{index}": (80.0, Outcome.DONE) for index in range(8)}
            )
            await cluster.submit(batch)
            await anyio.sleep(0.5)
            for runner in others:
                runner.faulty = True
            await cluster.submit(make_job(3, make_step(400, 0.05)))
            await anyio.sleep(fault_s)
            for runner in others:
                runner.faulty = False
            former.crash()
            cluster.unlist_runner(former.id)
            await anyio.sleep(MAX_AWAY_AFTER_FAULT_S)
            assert [task.job for task in find_lasting(cluster)] == [job.id]
            assert not cluster.find_overlaps()

    run_virtual(scenario)


@pytest.mark.parametrize(("memory_mb", "placed"), [(50, 20), (500, 0)])
def test_absent_tasks_of_a_step_look_at_each_quarantined_runner_once(
    memory_mb, placed, monkeypatch
):
    """Guards against a slice of a pass that grows with tasks times runners."""
    looks = []
    early_probes = PlacementPolicy.early_probes

    def count(policy, step, runners, now_s):
        looks.extend(runners)
        return early_probes(policy, step, runners, now_s)

    async def scenario():
        clock = VirtualClock()
        state = OwnerState(clock, NoMetrics(), 10.0)
        entry_by_id = {}
        for number in range(20):
            capacity = Resources(64_000, 100, 0)
            entry = RunnerEntry(
                f"r{number}", 1, SERVICE, f"h{number}:1", "z", capacity=capacity
            )
            entry_by_id[entry.id] = entry
        runners = state.update_runners(entry_by_id)
        for runner in runners:
            runner.begin_incarnation(1, clock.now())
        demand = Resources(1000, memory_mb, 0)
        job = state.add_job(make_job(1, make_step(60, demand=demand, lasting=True)))
        (step,) = job.ready_steps()
        for index in range(60):
            attempt = state.add_attempt(step, index, runners[index % 20])
            state.discard_attempt(attempt, "lost")
        now_s = clock.now()
        for runner in runners:
            # The second fault doubles the length of the quarantine.
            state.health.record_fault(runner.id, now_s - QUARANTINE_S)
            state.health.record_fault(runner.id, now_s)
        await anyio.sleep(QUARANTINE_S)
        step.unplaced_since_s = now_s
        placement = PlacementPolicy(state.health, state.colocation)
        probes = EarlyProbes(placement, Evictions(state))
        monkeypatch.setattr(PlacementPolicy, "early_probes", count)
        for index, runner in probes.choose(step, runners, {}, clock.now()):
            state.add_attempt(step, index, runner)
        probed = [runner for runner in runners if runner.has_attempts]
        assert len(probed) == placed
        assert len(step.open_indexes) == 60 - placed
        # Those without room are not looked at.
        assert len(looks) == placed

    run_virtual(scenario)
