"""Runners that are missing from the list as the store is back after an outage.

Their entries are back within two seconds of its return. Until then nothing may be
concluded from an entry that is missing, also not from one that was missing before.
"""

import anyio
import pytest

from flamingoweir.jobs import JobState
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.losses import kill, stop_in_order
from tests.utils.virtual_time import run_virtual

#: Seconds from the end of the outage until the runner's entry is back.
BACK_AFTER_S = 1.2


async def lose_all_owners(cluster):
    """Let a job be done while nobody owns the shard; then start new instances.

    Its runner, whose leases have lapsed, has the end to report and is not listed.
    """
    await cluster.owner()
    await anyio.sleep(1)
    job = await cluster.submit(make_job(1, make_step()))
    await cluster.wait_for(job, JobState.RUNNING, 2.0)
    (runner_id,) = cluster.starts(f"{job.id}.0.0.0")
    for member in list(cluster.member_by_name.values()):
        await kill(cluster, member)
    await anyio.sleep(9.5)
    cluster.unlist_runner(runner_id)
    for number in range(4):
        cluster.add_member(f"front-{number}")
    await cluster.owner()
    return job, runner_id


async def check_runs_once_after_outage(cluster, job, runner_id, away_s: float):
    """Let the store be away; then list the runner and check that its end counts."""
    members = list(cluster.member_by_name.values())
    for member in members:
        member.store.down = True
    await anyio.sleep(away_s)
    for member in members:
        member.store.down = False
    await anyio.sleep(BACK_AFTER_S)
    cluster.list_runner(runner_id)
    await cluster.wait_for(job, JobState.DONE, 8.0)
    assert len(cluster.starts(f"{job.id}.0.0.0")) == 1


@pytest.mark.parametrize("end", [kill, stop_in_order])
@pytest.mark.parametrize("away_s", [1.0, 4.0])
def test_time_that_a_former_owner_counted_goes_on_after_an_outage(away_s, end):
    """Guards against an owner that reads the list late, and goes on with old times.

    The former owner has counted for two seconds. The store is away as soon as the next
    one has taken the shard, before it has read the list.
    """

    async def scenario():
        async with run_cluster(members=3, runners=2) as cluster:
            job, runner_id = await lose_all_owners(cluster)
            await anyio.sleep(2.0)
            await end(cluster, await cluster.owner())
            await cluster.owner()
            await check_runs_once_after_outage(cluster, job, runner_id, away_s)

    run_virtual(scenario)


@pytest.mark.parametrize("counted_s", [0.5, 1.0])
@pytest.mark.parametrize("away_s", [2.0, 4.0])
def test_time_of_an_outage_counts_as_missing(away_s, counted_s):
    """Guards against an owner that gives a runner up while it can't read the list."""

    async def scenario():
        async with run_cluster(members=3, runners=2) as cluster:
            job, runner_id = await lose_all_owners(cluster)
            await anyio.sleep(counted_s)
            await check_runs_once_after_outage(cluster, job, runner_id, away_s)

    run_virtual(scenario)
