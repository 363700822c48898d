"""Tasks that crash the runners that start them, and tasks that run beside them.

Found by the day ``deploy/days/deadly.toml``: one task was started eleven times, and
each of its crashes ended ten other attempts.
"""

import anyio
import pytest

from flamingoweir.fleet import RUNNER_LEASE_S
from flamingoweir.jobs import JobState, Outcome
from tests.utils.cluster import SILENT_RUNNER_LAPSE_S, make_job, make_step, run_cluster
from tests.utils.crashes import DOWN_S, CrashingTasks
from tests.utils.virtual_time import run_virtual

#: Starts after which a task that crashes its runners must be given up: three that crash
#: a runner, and fewer than three more.
MAX_STARTS = 5


async def run_crashing(cluster, job, **fields) -> CrashingTasks:
    """Submit a job whose first task crashes its runners; run the crashes."""
    crashing = CrashingTasks(cluster, {f"{job.id}.0.0.0"}, **fields)
    cluster.tasks.start_soon(crashing.run)
    await cluster.owner()
    await anyio.sleep(1)
    await cluster.submit(job)
    return crashing


def check_overlaps(cluster) -> None:
    for runner in cluster.runner_by_id.values():
        # Records the ends of runs whose lease has lapsed without a call.
        runner.advance()
    assert not cluster.find_overlaps()


def starts_of(cluster, job) -> list[str]:
    return cluster.starts(f"{job.id}.0.0.0")


@pytest.mark.parametrize("lasting", [False, True], ids=["batch", "lasting"])
@pytest.mark.parametrize("down_s", [DOWN_S, 8.0])
@pytest.mark.parametrize("keeps_id", [False, True], ids=["new_id", "same_id"])
@pytest.mark.parametrize("silent", [False, True], ids=["closes", "silent"])
def test_task_that_crashes_each_runner_is_given_up(silent, keeps_id, down_s, lasting):
    """Guards against one task that crashes runner after runner."""

    async def scenario():
        async with run_cluster(runners=6) as cluster:
            job = make_job(1, make_step(1, lasting=lasting))
            await run_crashing(
                cluster, job, silent=silent, keeps_id=keeps_id, down_s=down_s
            )
            await cluster.wait_for(job, JobState.FAILED, 60.0)
            await anyio.sleep(10)
            assert 2 <= len(starts_of(cluster, job)) <= MAX_STARTS
            check_overlaps(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("down_s", [DOWN_S, 8.0])
@pytest.mark.parametrize("kill_after_s", [0.5, 3.9])
def test_task_that_crashes_runners_is_given_up_although_owners_die(
    kill_after_s, down_s
):
    """Guards against crashes that are forgotten with the owner that saw them.

    Two owners die, each some time after a crash.
    """

    async def scenario():
        async with run_cluster(members=5, runners=6) as cluster:

            async def kill_owner():
                await anyio.sleep(kill_after_s)
                cluster.kill_member(await cluster.owner())

            def on_crash():
                if crashing.crashes <= 2:
                    cluster.tasks.start_soon(kill_owner)

            job = make_job(1)
            crashing = await run_crashing(
                cluster, job, on_crash=on_crash, down_s=down_s
            )
            await cluster.wait_for(job, JobState.FAILED, 120.0)
            await anyio.sleep(10)
            assert len(starts_of(cluster, job)) <= MAX_STARTS
            check_overlaps(cluster)

    run_virtual(scenario)


def test_tasks_beside_one_that_crashes_its_runners_are_done():
    """Guards against tasks that are given up for a crash that another one caused."""

    async def scenario():
        async with run_cluster(runners=6, processors=8) as cluster:
            job = make_job(1, make_step(6))
            await run_crashing(cluster, job)
            others = []
            for number in range(2, 42):
                step = make_step(4)
                others.append(await cluster.submit(make_job(number, step)))
                await anyio.sleep(0.25)
            await cluster.wait_for(job, JobState.FAILED, 60.0)
            for other in others:
                await cluster.wait_for(other, JobState.DONE, 60.0)
            assert len(starts_of(cluster, job)) <= MAX_STARTS
            check_overlaps(cluster)

    run_virtual(scenario)


def test_task_whose_runners_are_cut_off_is_not_given_up():
    """Guards against a cut link that is taken for a crash."""

    async def scenario():
        async with run_cluster(members=1, runners=8) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1))
            cluster.plan_by_task[f"{job.id}.0.0.0"] = (2.0, Outcome.DONE)
            for cut in range(1, 5):
                while len(starts_of(cluster, job)) < cut:
                    await anyio.sleep(0.01)
                runner_id = starts_of(cluster, job)[-1]
                owner.link_by_runner[runner_id].disconnected = True
                await anyio.sleep(0.2)
                cluster.unlist_runner(runner_id)
            await cluster.wait_for(job, JobState.DONE, 3 * SILENT_RUNNER_LAPSE_S)
            check_overlaps(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("keeps_id", [False, True], ids=["new_id", "same_id"])
def test_lasting_task_whose_runners_crash_later_is_not_given_up(keeps_id):
    """Guards against a count of crashes that a task has not caused."""

    async def scenario():
        async with run_cluster(members=1, runners=6) as cluster:
            crashing = CrashingTasks(cluster, set(), keeps_id=keeps_id)
            await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(1, lasting=True)))
            for crash in range(1, 6):
                while len(starts_of(cluster, job)) < crash:
                    await anyio.sleep(0.01)
                await anyio.sleep(6)
                crashing.crash(cluster.runner_by_id[starts_of(cluster, job)[-1]])
            await anyio.sleep(2 * RUNNER_LEASE_S)
            assert await cluster.state(job) is JobState.RUNNING
            assert len(starts_of(cluster, job)) == 6
            check_overlaps(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("down_s", [2.0, DOWN_S])
def test_tasks_that_start_with_one_that_crashes_its_runners_are_done(down_s):
    """Guards against tasks that are placed beside it again, and given up with it."""

    async def scenario():
        async with run_cluster(runners=6, processors=8) as cluster:
            job, other = make_job(1), make_job(2, make_step(5))
            crashing = CrashingTasks(cluster, {f"{job.id}.0.0.0"}, down_s=down_s)
            cluster.tasks.start_soon(crashing.run)
            await cluster.owner()
            await anyio.sleep(1)
            async with anyio.create_task_group() as submissions:
                submissions.start_soon(cluster.submit, other)
                submissions.start_soon(cluster.submit, job)
            await cluster.wait_for(job, JobState.FAILED, 60.0)
            await cluster.wait_for(other, JobState.DONE, 30.0)
            first = cluster.starts(f"{other.id}.0.0.0")[0]
            assert first == starts_of(cluster, job)[0]
            assert len(starts_of(cluster, job)) <= MAX_STARTS
            check_overlaps(cluster)

    run_virtual(scenario)
