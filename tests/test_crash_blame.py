"""Limits of the blame for crashed runners: tasks that escape it, and innocent ones."""

import anyio
import pytest

from flamingoweir.jobs import JobState
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.crashes import CrashingTasks
from tests.utils.virtual_time import run_virtual

#: Starts after which a task that crashes its runners must be given up.
MAX_STARTS = 5


class LateListedCrashes(CrashingTasks):
    """Runners that are up under their former id some time before they are listed."""

    listed_after_s = 0.5
    unlists = False

    async def _return(self, runner) -> None:
        if self.unlists:
            self._cluster.tasks.start_soon(self._unlist, runner.id)
        await anyio.sleep(self._down_s)
        runner.restart()
        await anyio.sleep(self.listed_after_s)
        self._cluster.list_runner(runner.id)


@pytest.mark.parametrize("silent", [False, True], ids=["closes", "silent"])
@pytest.mark.parametrize("unlists", [False, True], ids=["stays_listed", "unlisted"])
@pytest.mark.parametrize("listed_after_s", [0.5, 1.5])
@pytest.mark.parametrize("down_s", [3.2, 6.0])
def test_task_is_given_up_if_its_runners_respond_before_they_are_listed(
    down_s, listed_after_s, unlists, silent
):
    """Guards against crashes that are forgotten when the next life responds."""

    async def scenario():
        async with run_cluster(runners=6) as cluster:
            job = make_job(1)
            crashing = LateListedCrashes(
                cluster, {f"{job.id}.0.0.0"}, down_s=down_s, silent=silent
            )
            crashing.unlists = unlists
            crashing.listed_after_s = listed_after_s
            cluster.tasks.start_soon(crashing.run)
            await cluster.owner()
            await anyio.sleep(1)
            await cluster.submit(job)
            await anyio.sleep(80)
            starts = len(cluster.starts(f"{job.id}.0.0.0"))
            assert starts <= MAX_STARTS, f"{starts} starts"
            assert await cluster.state(job) is JobState.FAILED

    run_virtual(scenario)


@pytest.mark.parametrize("kills", [2, 4])
@pytest.mark.parametrize("kill_after_s", [0.0, 0.1, 1.0, 2.0, 3.0, 4.5, 6.0])
@pytest.mark.parametrize("down_s", [3.2, 8.0])
def test_task_is_given_up_whenever_owners_die(down_s, kill_after_s, kills):
    """Guards against crashes that are forgotten with the owner that saw them."""

    async def scenario():
        async with run_cluster(members=kills + 3, runners=8) as cluster:

            async def kill_owner():
                await anyio.sleep(kill_after_s)
                cluster.kill_member(await cluster.owner())

            def on_crash():
                if crashing.crashes <= kills:
                    cluster.tasks.start_soon(kill_owner)

            job = make_job(1)
            crashing = CrashingTasks(
                cluster, {f"{job.id}.0.0.0"}, down_s=down_s, on_crash=on_crash
            )
            cluster.tasks.start_soon(crashing.run)
            await cluster.owner()
            await anyio.sleep(1)
            await cluster.submit(job)
            await anyio.sleep(100)
            starts = len(cluster.starts(f"{job.id}.0.0.0"))
            assert starts <= MAX_STARTS, f"{starts} starts"
            assert await cluster.state(job) is JobState.FAILED

    run_virtual(scenario)


@pytest.mark.parametrize("crash_after_s", [0.1, 0.3, 1.0, 1.5])
@pytest.mark.parametrize("crashes", [2, 4])
def test_lasting_task_that_ran_for_long_is_not_given_up(crashes, crash_after_s):
    """Guards against blame for crashes of runners that had run a task for a minute.

    A new owner has just seen the task when its runner crashes.
    """

    async def scenario():
        async with run_cluster(members=crashes + 1, runners=8) as cluster:
            crashing = CrashingTasks(cluster, set())
            await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(1, lasting=True)))
            for crash in range(1, crashes + 1):
                await anyio.sleep(60)
                starts = cluster.starts(f"{job.id}.0.0.0")
                assert len(starts) == crash
                cluster.kill_member(await cluster.owner())
                await cluster.owner()
                await anyio.sleep(crash_after_s)
                crashing.crash(cluster.runner_by_id[starts[-1]])
            await anyio.sleep(30)
            assert await cluster.state(job) is JobState.RUNNING

    run_virtual(scenario)


def test_task_that_ran_for_long_since_is_not_given_up_for_an_earlier_crash():
    """Guards against blame for a crash that is told after a later run has cleared it.

    The machines of the first and of the third run crash right after the start; the
    first one comes back when the third run has begun.
    """

    async def scenario():
        async with run_cluster(runners=6) as cluster:
            first_crash = CrashingTasks(cluster, set(), down_s=25.0)
            crashing = CrashingTasks(cluster, set())
            await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(1, lasting=True)))
            task = f"{job.id}.0.0.0"
            for run in range(1, 4):
                while len(cluster.starts(task)) < run:
                    await anyio.sleep(0.01)
                runner = cluster.runner_by_id[cluster.starts(task)[-1]]
                if run == 1:
                    first_crash.crash(runner)
                    back_s = anyio.current_time() + 25.0
                elif run == 2:
                    await anyio.sleep_until(back_s - 4.0)
                    crashing.crash(runner)
                else:
                    assert anyio.current_time() < back_s + 0.5
                    crashing.crash(runner)
            await anyio.sleep(15)
            assert await cluster.state(job) is JobState.RUNNING

    run_virtual(scenario)


def test_task_whose_start_order_waits_is_not_suspected_of_a_crash():
    """Guards against tasks that are given up for crashes before they were ordered."""

    async def scenario():
        async with run_cluster(runners=1, processors=300) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            link = owner.link_by_runner["runner-0"]
            link._delay_s = 0.01
            job = await cluster.submit(make_job(1, make_step(300)))
            await anyio.sleep(0.5)
            cluster.runner_by_id["runner-0"].crash()
            ordered = len(cluster.records("start")) + len(link.unanswered_starts)
            await anyio.sleep(1.5)
            job = owner.instance.term.owner_state.job_by_id[job.id]
            assert 0 < len(job.crash_blame.suspicion_by_run) <= ordered < 100

    run_virtual(scenario)
