"""What jobs cost an owner is bounded over all of them."""

import tracemalloc

import anyio
import pytest

from flamingoweir.dispatch._planner import MAX_ALL_IDLE_STEPS
from flamingoweir.jobs import Job, JobState, QueuePolicy
from tests.utils.cluster import SERVICE, make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual

#: Memory of an instance on the users' platform, in bytes.
INSTANCE_BYTES = 300_000_000
#: Occurrences that are due of a job that is 60 days late, with one a minute.
DUE = 60 * 24 * 60


def make_late(number: int, *steps, due: int = DUE, **fields):
    """Return a scheduled job of which many occurrences are due at once."""
    policy = QueuePolicy(SERVICE, 1, 3, 2.0, 1.0)
    return make_job(
        number,
        *steps,
        first_due_ms=1,
        interval_ms=1,
        occurrences=due,
        policy=policy,
        **fields,
    )


def count_steps(owner) -> int:
    """Return the number of steps that an owner keeps in memory."""
    jobs = owner.instance.term.owner_state.job_by_id.values()
    return sum(len(job.run_by_step) for job in jobs)


@pytest.mark.parametrize("jobs", [3, 60])
def test_due_occurrences_of_all_jobs_take_bounded_memory(jobs):
    """Guards against a few jobs that take each owner's memory, and then its process.

    No runner has the label that they require, so that they can never be done.
    """

    async def scenario():
        async with run_cluster(members=2) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            for number in range(1, jobs + 1):
                await cluster.submit(make_late(number, make_step(label="no-such")))
            for number in range(901, 905):
                job = await cluster.submit(make_job(number, make_step(3)))
                await cluster.wait_for(job, JobState.DONE, 3.0)
                assert count_steps(owner) <= MAX_ALL_IDLE_STEPS + jobs
            cluster.kill_member(owner)
            owner = await cluster.owner()
            job = await cluster.submit(make_job(909, make_step(3)))
            await cluster.wait_for(job, JobState.DONE, 5.0)
            assert count_steps(owner) <= MAX_ALL_IDLE_STEPS + jobs

    run_virtual(scenario)


def test_occurrences_that_cannot_go_on_take_bounded_memory():
    """Guards against occurrences that are no longer idle, and never done either.

    Their first step runs, and their second one never can.
    """

    async def scenario():
        async with run_cluster(members=2) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            steps = [make_step(processors=0.01), make_step(label="no-such", after=(0,))]
            job = make_late(1, *steps)
            for occurrence in range(1_000):
                task = f"{job.id}.{occurrence}.0.0"
                cluster.plan_by_task[task] = (0.05, cluster.plan(task, 1)[1])
            await cluster.submit(job)
            await anyio.sleep(30)
            assert count_steps(owner) <= MAX_ALL_IDLE_STEPS
            other = await cluster.submit(make_job(2, make_step(3)))
            await cluster.wait_for(other, JobState.DONE, 3.0)

    run_virtual(scenario)


def test_all_due_occurrences_run_although_few_are_open_at_a_time():
    """Guards against occurrences that are never opened."""

    async def scenario():
        async with run_cluster(members=2, runners=3) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = make_late(1, make_step(processors=0.04), due=900)
            for occurrence in range(900):
                task = f"{job.id}.{occurrence}.0.0"
                cluster.plan_by_task[task] = (0.3, cluster.plan(task, 1)[1])
            await cluster.submit(job)
            await anyio.sleep(0.7)
            assert count_steps(owner) < 600
            await cluster.wait_for(job, JobState.DONE, 15.0)
            ended = {record.task.occurrence for record in cluster.records("done")}
            assert ended == set(range(900))
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_tasks_that_were_not_started_or_are_done_take_no_memory():
    """Guards against jobs of 100,000 tasks each, of which seven filled an instance."""
    tracemalloc.start()
    try:
        jobs = [Job(make_job(number, make_step(100_000))) for number in range(100)]
        done = jobs[0].run_by_step[0, 0]
        for index in range(100_000):
            done.tasks.mark_done(index)
            done.open_indexes.discard(index)
        assert done.done
        assert tracemalloc.get_traced_memory()[0] < INSTANCE_BYTES / 100
    finally:
        tracemalloc.stop()
