"""Waits that each owner of a shard begins anew, while owners follow one another.

All instances are restarted, one each two seconds: the owner is stopped in order, and
its instance is back three seconds later. Incident 0018. No runner is lost for good,
except where owners die.
"""

import anyio
import pytest

from flamingoweir.dispatch._effect_store import encode_effects
from flamingoweir.jobs import JobState, Outcome
from flamingoweir.ownership import effect_row, shard_name
from flamingoweir.policy import Effect
from flamingoweir.standins import ContentionModel
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.losses import (
    check_runs,
    kill,
    last_start_s,
    lose_runner,
    start_lasting,
    stop_in_order,
)
from tests.utils.virtual_time import run_virtual

#: Longest time in seconds for which a long-running task may be away: 6 from the end of
#: its last run, and 3 in which nothing of it runs. One owner takes under 4 for each of
#: the waits here, so that it is asked of batch as well.
MAX_AWAY_S = 9.0
INSTANCES = 9
STOP_INTERVAL_S = 2.0
DOWN_S = 3.0


def slow_down_store(cluster, call_s: float) -> None:
    """Let each call to the store take ``call_s``, also of instances added later."""
    add_member = cluster.add_member

    def add_slow_member(name, *args):
        member = add_member(name, *args)
        member.store.delay_s = call_s
        return member

    for member in cluster.member_by_name.values():
        member.store.delay_s = call_s
    cluster.add_member = add_slow_member


async def restart_owners(cluster) -> None:
    """Stop one owner after another, as many as there are instances."""
    began_s = anyio.current_time()
    for number in range(INSTANCES):
        until_s = began_s + number * STOP_INTERVAL_S
        await anyio.sleep(max(0.0, until_s - anyio.current_time()))
        owner = await cluster.owner()
        cluster.tasks.start_soon(_return, cluster, owner.name)
        await stop_in_order(cluster, owner)


async def _return(cluster, name: str) -> None:
    await anyio.sleep(DOWN_S)
    cluster.add_member(name)


async def submit_batch(cluster, number: int, run_s: float, step):
    """Submit a job whose tasks all run for ``run_s``."""
    job = make_job(number, step)
    for index in range(step.count):
        cluster.plan_by_task[f"{job.id}.0.0.{index}"] = (run_s, Outcome.DONE)
    return await cluster.submit(job)


async def check_started(cluster, job, starts: int, since_s: float) -> None:
    """Check that the only task of a job was started soon, and not again much later."""
    await anyio.sleep(5.0)
    assert len(cluster.starts(f"{job.id}.0.0.0")) >= starts
    assert last_start_s(cluster, job) - since_s < MAX_AWAY_S
    check_runs(cluster)


@pytest.mark.parametrize("call_s", [0.004, 0.1, 0.25])
@pytest.mark.parametrize("is_full", [False, True], ids=["free", "full"])
def test_absent_task_is_away_for_as_long_as_owners_change(is_full, call_s):
    """Guards against an owner that gets no further than the one before.

    The runner has restarted and drains, so that its runs end without a wait. With a
    fleet full of batch, each owner waits before it evicts some of that. With slow calls
    to the store, each one reads the shard for most of its time.
    """

    async def scenario():
        async with run_cluster(INSTANCES, runners=4, processors=8) as cluster:
            slow_down_store(cluster, call_s)
            await cluster.owner()
            await anyio.sleep(3.0)
            job = await cluster.submit(make_job(1, make_step(1, 6.0, lasting=True)))
            await cluster.wait_for(job, JobState.RUNNING, 5.0)
            if is_full:
                step = make_step(64, 2.0, estimate_s=60.0)
                await submit_batch(cluster, 2, 60.0, step)
            await anyio.sleep(2.0)
            (runner_id,) = cluster.starts(f"{job.id}.0.0.0")
            for runner in cluster.runner_by_id.values():
                runner.stop_s = 1.0
            cluster.runner_by_id[runner_id].restart()
            cluster.list_runner(runner_id, state="draining")
            lost_s = anyio.current_time()
            await restart_owners(cluster)
            await check_started(cluster, job, 2, lost_s)

    run_virtual(scenario)


@pytest.mark.parametrize("call_s", [0.1, 0.25])
def test_running_tasks_lapse_while_owners_change(call_s):
    """Guards against owners that are replaced before they have renewed a lease."""

    async def scenario():
        async with run_cluster(INSTANCES, runners=4, processors=8) as cluster:
            slow_down_store(cluster, call_s)
            await cluster.owner()
            await anyio.sleep(3.0)
            job = await cluster.submit(make_job(1, make_step(8, 2.0, lasting=True)))
            await cluster.wait_for(job, JobState.RUNNING, 5.0)
            await anyio.sleep(2.0)
            await restart_owners(cluster)
            await anyio.sleep(5.0)
            check_runs(cluster)
            assert not cluster.records("lapsed")

    run_virtual(scenario)


@pytest.mark.parametrize("deaths", [2, 3, 4])
def test_task_waits_for_leases_of_owners_that_granted_none(deaths):
    """Guards against a full lease that each owner publishes when it takes the shard.

    All owners but the first die before their first write of their own findings.
    """

    async def scenario():
        async with run_cluster(INSTANCES) as cluster:
            job, runner = await start_lasting(cluster)
            await anyio.sleep(1.0)
            lost_s = anyio.current_time()
            lose_runner(cluster, runner, listed=True)
            for _ in range(deaths):
                await kill(cluster, await cluster.owner())
            await anyio.sleep(20.0)
            await check_started(cluster, job, 2, lost_s)

    run_virtual(scenario)


def test_hung_batch_task_is_stopped_only_once_owners_last():
    """Guards against a time without progress that counts from the start of a term."""

    async def scenario():
        async with run_cluster(INSTANCES) as cluster:
            await cluster.owner()
            await anyio.sleep(3.0)
            job = make_job(1)
            cluster.plan_by_task[f"{job.id}.0.0.0#1"] = (1000.0, Outcome.DONE)
            await cluster.submit(job)
            await cluster.wait_for(job, JobState.RUNNING, 2.0)
            started_s = anyio.current_time()
            await restart_owners(cluster)
            await check_started(cluster, job, 2, started_s)

    run_virtual(scenario)


@pytest.mark.parametrize("call_s", [0.004, 0.05])
def test_job_waits_beside_spare_processors_for_as_long_as_owners_change(call_s):
    """Guards against a longest wait for a runner that counts from the start of a term.

    Spare processors are free on all runners, where the job disturbs serving tasks.
    """
    contention = ContentionModel(lambda job, now_s: 0.7, lambda serving, other: 3.0)

    async def scenario():
        async with run_cluster(INSTANCES, contention=contention) as cluster:
            slow_down_store(cluster, call_s)
            effects = [Effect("web", "batch", 3.0, 0.001)]
            value = encode_effects(effects, cluster.wall_ms())
            cluster.rows.put(effect_row(shard_name(0)), value)
            await cluster.owner()
            web = make_step(
                3,
                2.0,
                lasting=True,
                image="web",
                latency_target_ms=50.0,
                max_per_runner=1,
            )
            web = await cluster.submit(make_job(1, web))
            await cluster.wait_for(web, JobState.RUNNING, 2.0)
            await anyio.sleep(3.0)
            step = make_step(1, uses_spare=True, image="batch")
            job = await cluster.submit(make_job(2, step))
            submitted_s = anyio.current_time()
            await restart_owners(cluster)
            await check_started(cluster, job, 1, submitted_s)

    run_virtual(scenario)


def test_large_task_waits_beside_small_ones_for_as_long_as_owners_change():
    """Guards against a runner whose room is given away with each change of the owner.

    Small tasks keep the fleet full; the large one needs all of a runner.
    """

    async def scenario():
        async with run_cluster(INSTANCES, runners=2, processors=8) as cluster:
            await cluster.owner()
            await anyio.sleep(3.0)

            async def submit_small():
                number = 100
                while True:
                    number += 1
                    small = make_step(1, 1.5, estimate_s=2.0)
                    await submit_batch(cluster, number, 2.0, small)
                    await anyio.sleep(0.15)

            cluster.tasks.start_soon(submit_small)
            await anyio.sleep(6.0)
            job = await cluster.submit(make_job(1, make_step(1, 8.0)))
            submitted_s = anyio.current_time()
            await anyio.sleep(1.7)
            await restart_owners(cluster)
            await check_started(cluster, job, 1, submitted_s)

    run_virtual(scenario)
