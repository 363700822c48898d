"""Occurrences of scheduled jobs, over changes of the owner."""

import random

import anyio
import pytest

from flamingoweir.jobs import JobState, QueuePolicy
from flamingoweir.ownership import state_row, tasks_row
from tests.utils.cluster import SERVICE, Cluster, make_job, make_step, run_cluster
from tests.utils.schedules import LEAD_S, make_scheduled
from tests.utils.virtual_time import run_virtual


def find_undone(cluster: Cluster, job) -> list[str]:
    """Return the tasks of a job that have not ended as done exactly once."""
    ended = [str(record.task) for record in cluster.records("done")]
    undone = []
    for occurrence in range(job.occurrences):
        for step, spec in enumerate(job.steps):
            for index in range(spec.count):
                task = f"{job.id}.{occurrence}.{step}.{index}"
                if ended.count(task) != 1:
                    undone.append(task)
    return undone


def count_task_rows(cluster: Cluster) -> int:
    return sum(1 for row_id in cluster.rows.row_by_id if row_id.table == "tasks")


@pytest.mark.parametrize("ending", ["kill", "shutdown", "two_kills"])
def test_occurrence_that_waits_is_not_lost_with_its_owner(ending):
    """Guards against a job shown as done although an occurrence was never started.

    Occurrence 0 is late already when there is room, so that occurrence 1 goes first.
    """

    async def scenario():
        async with run_cluster(members=3, runners=2) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            busy_s = LEAD_S + 5.5
            filling = make_job(1, make_step(2, 4.0, estimate_s=busy_s))
            for index in range(2):
                task = f"{filling.id}.0.0.{index}"
                cluster.plan_by_task[task] = (busy_s, cluster.plan(task, 1)[1])
            await cluster.submit(filling)
            policy = QueuePolicy(SERVICE, 2, 3, 1.0, 1.0)
            job = make_scheduled(
                cluster,
                2,
                make_step(2, 4.0, estimate_s=3.0),
                interval_s=4.0,
                times=3,
                policy=policy,
            )
            await cluster.submit(job)
            with anyio.fail_after(busy_s + 3.0):
                while not cluster.starts(f"{job.id}.1.0.0"):
                    await anyio.sleep(0.05)
            assert not cluster.starts(f"{job.id}.0.0.0")
            if ending != "shutdown":
                cluster.kill_member(owner)
                if ending == "two_kills":
                    cluster.kill_member(await cluster.owner())
            else:
                del cluster.member_by_name[owner.name]
                await owner.instance.leave()
            await cluster.wait_for(job, JobState.DONE, 20.0)
            assert not find_undone(cluster, job)
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_occurrences_that_are_done_take_no_rows():
    """Guards against a job whose rows grow with each occurrence, until it ends.

    Each new owner reads them all.
    """

    async def scenario():
        async with run_cluster(members=3) as cluster:
            owner = await cluster.owner()
            job = make_scheduled(
                cluster,
                1,
                make_step(2),
                make_step(after=(0,)),
                interval_s=0.5,
                times=60,
            )
            await cluster.submit(job)
            await anyio.sleep(LEAD_S + 20.0)
            # Two steps of each occurrence that runs, and those of the latest one.
            assert count_task_rows(cluster) <= 2 * 8
            kept = owner.instance.term.owner_state.job_by_id[job.id]
            assert len(kept.run_by_step) <= 2 * 8
            cluster.kill_member(owner)
            await cluster.wait_for(job, JobState.DONE, 30.0)
            assert not find_undone(cluster, job)
            assert not cluster.find_overlaps()
            await anyio.sleep(1.0)
            assert not count_task_rows(cluster)

    run_virtual(scenario)


def test_former_build_starts_no_occurrence_again():
    """Guards against occurrences that run twice while instances are replaced.

    A former build knows no closed occurrences, and continues after the latest one that
    has a row.
    """

    async def scenario():
        async with run_cluster() as cluster:
            await cluster.owner()
            job = make_scheduled(cluster, 1, make_step(), interval_s=2.0, times=5)
            await cluster.submit(job)
            for occurrence in range(4):
                await anyio.sleep(LEAD_S if occurrence == 0 else 2.0)
                await anyio.sleep(1.3 if occurrence == 0 else 0.0)
                rows = [k for k in cluster.rows.row_by_id if k.table == "tasks"]
                assert rows == [tasks_row("s0", job.id, (occurrence, 0, 0))]

    run_virtual(scenario)


def test_occurrence_that_a_former_build_lost_is_run():
    """Guards against a job of which the former build has lost an occurrence already.

    Its rows name occurrence 1 only, and no closed ones.
    """

    async def scenario():
        async with run_cluster(members=3) as cluster:
            owner = await cluster.owner()
            job = make_scheduled(cluster, 1, make_step(), interval_s=1.0, times=3)
            cluster.kill_member(owner)
            row = tasks_row("s0", job.id, (1, 0, 0))
            cluster.rows.put(row, b'[[1,true,0,"",[]]]')
            state = b'{"state":"running","ended_ms":0}'
            cluster.rows.put(state_row("s0", job.id), state)
            await cluster.submit(job)
            await cluster.wait_for(job, JobState.DONE, 12.0)
            ended = sorted(record.task.occurrence for record in cluster.records("done"))
            assert ended == [0, 2]

    run_virtual(scenario)


@pytest.mark.parametrize("seed", range(12))
def test_each_occurrence_is_done_once_over_many_owners(seed):
    """Guards against occurrences that are lost or doubled, whenever an owner ends."""
    generator = random.Random(seed)

    async def scenario():
        async with run_cluster(members=3, runners=2, seed=seed) as cluster:
            await cluster.owner()
            jobs = []
            for number in range(1, 4):
                steps = [make_step(generator.randint(1, 3), 2.0)]
                if generator.random() < 0.5:
                    steps.append(make_step(1, 2.0, after=(0,)))
                job = make_scheduled(
                    cluster,
                    number,
                    *steps,
                    interval_s=generator.choice([0.0, 0.3, 1.5]),
                    times=generator.randint(2, 6),
                )
                jobs.append(await cluster.submit(job))
            for number in range(5):
                await anyio.sleep(generator.uniform(0.2, 5.0))
                owner = await cluster.owner()
                cluster.kill_member(owner)
                cluster.add_member(f"front-{number}+")
            for job in jobs:
                await cluster.wait_for(job, JobState.DONE, 90.0)
                assert not find_undone(cluster, job)
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_occurrences_without_a_first_due_time_all_run():
    """Guards against a job that runs once and is never done.

    Its occurrences count from 1970, so that all of them are due.
    """

    async def scenario():
        async with run_cluster(members=2) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = make_job(1, make_step(2), occurrences=3, interval_ms=1000)
            await cluster.submit(job, owner)
            await cluster.wait_for(job, JobState.DONE, 6.0)
            assert not find_undone(cluster, job)
            assert not cluster.find_overlaps()

    run_virtual(scenario)
