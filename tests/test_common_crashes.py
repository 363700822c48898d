"""Blame for crashes that several runners share, as where a rack loses power."""

import anyio
import pytest

from flamingoweir.jobs import JobState
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.crashes import CrashingTasks
from tests.utils.virtual_time import run_virtual


@pytest.mark.parametrize("lasting", [True, False], ids=["lasting", "batch"])
def test_task_is_not_given_up_for_crashes_of_many_runners_at_once(lasting):
    """Guards against a job that fails as two racks lose power soon after its starts.

    Runners that have no task of the job crash in the same moment.
    """

    async def scenario():
        async with run_cluster(runners=10) as cluster:
            crashing = CrashingTasks(cluster, set(), down_s=0.6)
            await cluster.owner()
            await anyio.sleep(1)
            job = make_job(1, make_step(1, lasting=lasting, estimate_s=30.0))
            cluster.plan_by_task[f"{job.id}.0.0.0"] = (30.0, None)
            await cluster.submit(job)
            for crash in range(1, 3):
                while len(cluster.starts(f"{job.id}.0.0.0")) < crash:
                    await anyio.sleep(0.02)
                await anyio.sleep(0.3)
                own = cluster.starts(f"{job.id}.0.0.0")[-1]
                others = [i for i in cluster.runner_by_id if i != own][-3:]
                for runner_id in (own, *others):
                    crashing.crash(cluster.runner_by_id[runner_id])
            await anyio.sleep(10)
            assert await cluster.state(job) is JobState.RUNNING

    run_virtual(scenario)
