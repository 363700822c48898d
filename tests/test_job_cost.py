"""What jobs cost an owner is bounded over all of them."""

import tracemalloc

import anyio
import pytest

from flamingoweir.dispatch._ready_steps import MAX_ALL_IDLE_STEPS
from flamingoweir.errors import ErrorCode, FlamingoweirError, Verdict
from flamingoweir.jobs import Job, JobState, Outcome, QueuePolicy
from flamingoweir.ownership import job_row
from tests.utils.cluster import SERVICE, make_job, make_step, run_cluster
from tests.utils.schedules import make_late, store_job
from tests.utils.virtual_time import run_virtual

#: Memory of an instance on the users' platform, in bytes.
INSTANCE_BYTES = 300_000_000


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


#: Memory at which an owner holds some 25 small jobs.
SMALL_MB = 0.3
SMALL_LIMIT_BYTES = SMALL_MB * 1e6 / 3


async def try_to_submit(cluster, job, member) -> bool:
    """Submit a job; return whether it was accepted, or else refused at once."""
    started_s = anyio.current_time()
    try:
        await cluster.submit(job, member)
    except FlamingoweirError as error:
        assert error.code is ErrorCode.OVERLOADED
        assert error.verdict is Verdict.NOT_RUN
        assert error.retry_after_s
        assert anyio.current_time() - started_s < 0.1
        return False
    return True


def test_jobs_are_refused_at_once_while_the_owner_can_hold_no_more():
    """Guards against jobs that can never be done and take each owner's memory.

    Requests for jobs that were accepted before are confirmed all the same.
    """

    async def scenario():
        async with run_cluster(members=3, memory_mb=SMALL_MB) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            members = list(cluster.member_by_name.values())
            accepted = []
            for number in range(1, 80):
                job = make_job(number, make_step(label="no-such"))
                if await try_to_submit(cluster, job, members[number % 3]):
                    accepted.append(job)
                await anyio.sleep(0.1)
                parking = owner.instance.term.owner_state.parking
                assert parking.held_bytes <= SMALL_LIMIT_BYTES
            assert 10 < len(accepted) < 50
            for job in accepted:
                assert await try_to_submit(cluster, job, members[0])
            for job in accepted:
                await members[1].instance.handler.cancel(job.id, 2.0)
            for job in accepted:
                await cluster.wait_for(job, JobState.CANCELLED, 3.0)
            await anyio.sleep(1.5)
            job = make_job(99, make_step(3))
            assert await try_to_submit(cluster, job, members[2])
            await cluster.wait_for(job, JobState.DONE, 3.0)

    run_virtual(scenario)


def test_small_jobs_are_accepted_beside_large_ones_that_are_refused():
    """Guards against a few large jobs, never to be done, that keep all others out."""

    async def scenario():
        async with run_cluster(members=3, memory_mb=3.0) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            member = next(iter(cluster.member_by_name.values()))
            refused = 0
            for number in range(1, 20):
                steps = [make_step(label="no-such")] * 50
                refused += not await try_to_submit(
                    cluster, make_job(number, *steps), member
                )
                await anyio.sleep(0.5)
            assert 10 < refused < 19
            for number in range(101, 121):
                job = make_job(number, make_step(2))
                assert await try_to_submit(cluster, job, member)
                await cluster.wait_for(job, JobState.DONE, 3.0)

    run_virtual(scenario)


@pytest.mark.parametrize("killed", [False, True])
def test_jobs_beyond_the_memory_of_an_owner_wait_and_run(killed):
    """Guards against accepted jobs that are lost for want of memory."""

    async def scenario():
        async with run_cluster(members=3, memory_mb=SMALL_MB) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            jobs = [make_job(number, make_step(2, 0.5)) for number in range(1, 121)]
            for job in jobs:
                store_job(cluster, job)
            await anyio.sleep(0.3)
            parking = owner.instance.term.owner_state.parking
            assert len(parking.queue_by_id) > 60
            waiting = owner.instance.term.owner_state.waiting_by_queue()
            assert sum(waiting.values()) > 60
            if killed:
                cluster.kill_member(owner)
                owner = await cluster.owner()
            for job in jobs:
                await cluster.wait_for(job, JobState.DONE, 60.0)
                parking = owner.instance.term.owner_state.parking
                assert parking.held_bytes <= SMALL_LIMIT_BYTES + jobs[0].memory_bytes
            assert not cluster.find_overlaps()
            assert len(cluster.records("done")) == 240

    run_virtual(scenario)


def test_cancelled_job_need_not_wait_for_memory():
    """Guards against a cancelled job that is shown as pending for ever."""

    async def scenario():
        async with run_cluster(members=2, memory_mb=SMALL_MB) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            jobs = [make_job(n, make_step(label="no-such")) for n in range(1, 60)]
            for job in jobs:
                store_job(cluster, job)
            await anyio.sleep(0.5)
            parked = list(owner.instance.term.owner_state.parking.queue_by_id)
            assert jobs[-1].id in parked
            await owner.instance.handler.cancel(jobs[-1].id, 2.0)
            await cluster.wait_for(jobs[-1], JobState.CANCELLED, 3.0)
            assert await cluster.state(jobs[-2]) is JobState.PENDING

    run_virtual(scenario)


def test_held_memory_is_given_back_by_every_way_in_which_a_job_ends():
    """Guards against an owner that refuses all jobs, as it counts ended ones."""

    async def scenario():
        async with run_cluster(members=2) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            failing = make_job(1, policy=QueuePolicy(SERVICE, 1, 1, 2.0, 1.0))
            cluster.plan_by_task[f"{failing.id}.0.0.0"] = (0.2, Outcome.FAILED)
            cancelled = make_job(2, make_step(label="no-such"))
            done = make_job(3, make_step(2))
            for job in (failing, cancelled, done):
                await cluster.submit(job)
            await owner.instance.handler.cancel(cancelled.id, 2.0)
            cluster.rows.put(job_row("s0", "4" * 16), b"{")
            await cluster.wait_for(done, JobState.DONE, 3.0)
            await anyio.sleep(1.0)
            assert not owner.instance.term.owner_state.parking.held_bytes

    run_virtual(scenario)
