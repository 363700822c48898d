"""Long-running tasks whose runner is lost together with the owner of their shard.

The next owner can't ask such a runner what runs there, and waits until the leases have
lapsed that the former owner may have granted. Incident 0016.
"""

import anyio
import pytest

from flamingoweir.jobs import JobState
from flamingoweir.ownership import decode_owner_record, owner_row, shard_name
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.losses import (
    check_runs,
    cut_after_next_owner,
    cut_from_store,
    freeze,
    isolate,
    isolate_listed,
    kill,
    last_start_s,
    lose_runner,
    start_lasting,
    stop_in_order,
)
from tests.utils.virtual_time import run_virtual

#: Longest time in seconds for which a long-running task may be away: 6 from the end of
#: its last run, and 3 in which nothing of it runs.
MAX_AWAY_S = 9.0
#: Seconds of a history, within which all leases have lapsed and all tasks run again.
HISTORY_S = 25.0
OWNER_LOSSES = {
    "killed": kill,
    "frozen": freeze,
    "stopped": stop_in_order,
    "cut-from-the-store": cut_from_store,
}


@pytest.mark.parametrize("listed", [True, False], ids=["listed", "unlisted"])
@pytest.mark.parametrize("offset_s", [0.0, 0.3, 0.6, 0.9])
@pytest.mark.parametrize("lose_owner", OWNER_LOSSES.values(), ids=OWNER_LOSSES)
def test_task_waits_for_leases_that_its_former_owner_did_not_grant(
    lose_owner, offset_s, listed
):
    """Guards against a wait that takes no account of how the former owner ended."""

    async def scenario():
        async with run_cluster(members=3) as cluster:
            job, runner = await start_lasting(cluster)
            await anyio.sleep(offset_s)
            lost_s = anyio.current_time()
            lose_runner(cluster, runner, listed)
            await lose_owner(cluster, await cluster.owner())
            await anyio.sleep(lost_s + HISTORY_S - anyio.current_time())
            assert lost_s < last_start_s(cluster, job) < lost_s + MAX_AWAY_S
            check_runs(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("pause_s", [2.7, 3.5, 4.5, 5.5])
def test_task_waits_anew_with_each_owner_that_dies(pause_s):
    """Guards against a wait that begins again with each of several owners."""

    async def scenario():
        async with run_cluster(members=4) as cluster:
            job, runner = await start_lasting(cluster)
            lost_s = anyio.current_time()
            lose_runner(cluster, runner, listed=True)
            await kill(cluster, await cluster.owner())
            await anyio.sleep(pause_s)
            await kill(cluster, await cluster.owner())
            await anyio.sleep(HISTORY_S)
            assert lost_s < last_start_s(cluster, job) < lost_s + MAX_AWAY_S
            check_runs(cluster)

    run_virtual(scenario)


def test_task_waits_for_leases_that_lapsed_while_no_instance_was_up():
    """Guards against a wait from the take-over on, however long nobody owned the shard.

    All instances lose power with the runner, and are back after 9.5 s. The task must
    run again in the 3 s in which nothing may run, counted from the take-over.
    """

    async def scenario():
        async with run_cluster(members=3) as cluster:
            job, runner = await start_lasting(cluster)
            lose_runner(cluster, runner, listed=False)
            for member in list(cluster.member_by_name.values()):
                await kill(cluster, member)
            await anyio.sleep(9.5)
            for number in range(3):
                cluster.add_member(f"front-{number}")
            await cluster.owner()
            taken_s = anyio.current_time()
            await anyio.sleep(HISTORY_S)
            assert taken_s <= last_start_s(cluster, job) < taken_s + 3.0
            check_runs(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("rate", [1.0, 0.98], ids=["exact", "slow-clock"])
@pytest.mark.parametrize("away_s", [0.0, 0.3, 3.0, 6.0, 6.9])
@pytest.mark.parametrize("offset_s", [0.0, 0.4, 0.8])
def test_task_runs_twice_on_a_runner_that_only_its_former_owner_reaches(
    offset_s, away_s, rate
):
    """Guards against leases that last longer than the next owner waits.

    The former owner is cut from the store, but not from the runner. Meanwhile it is
    paused for ``away_s``, and then acts on what it held before.
    """

    async def scenario():
        async with run_cluster(members=3, rate=rate) as cluster:
            job, runner = await start_lasting(cluster)
            await anyio.sleep(offset_s)
            owner = await cluster.owner()
            isolate(cluster, owner, runner)
            owner.process.paused = True
            await anyio.sleep(away_s)
            owner.process.resume()
            await anyio.sleep(HISTORY_S)
            assert len(cluster.starts(f"{job.id}.0.0.0")) == 2
            check_runs(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("rate", [1.0, 0.98], ids=["exact", "slow-clock"])
@pytest.mark.parametrize("pause_s", [2.5, 3.5, 4.5, 6.0])
@pytest.mark.parametrize("offset_s", [0.0, 0.3, 0.6, 0.9])
def test_task_runs_twice_after_two_owners_that_die_in_a_row(offset_s, pause_s, rate):
    """Guards against an owner that passes on less than the rest of its own wait."""

    async def scenario():
        async with run_cluster(members=4, rate=rate) as cluster:
            job, runner = await start_lasting(cluster)
            await anyio.sleep(offset_s)
            isolate(cluster, await cluster.owner(), runner)
            await anyio.sleep(pause_s)
            await kill(cluster, await cluster.owner())
            await anyio.sleep(HISTORY_S)
            assert len(cluster.starts(f"{job.id}.0.0.0")) == 2
            check_runs(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("stays_s", [0.0, 0.5, 1.2, 2.5])
@pytest.mark.parametrize("offset_s", [0.0, 0.4, 0.8])
def test_task_runs_twice_after_its_owner_has_left_in_order(offset_s, stays_s):
    """Guards against a release that comes before the last lease is granted.

    Only the owner that leaves reaches the runner, whose leases run on.
    """

    async def scenario():
        async with run_cluster(members=3) as cluster:
            job, runner = await start_lasting(cluster)
            await anyio.sleep(offset_s)
            owner = await cluster.owner()
            isolate_listed(cluster, owner, runner)
            await anyio.sleep(stays_s)
            await stop_in_order(cluster, owner)
            await anyio.sleep(HISTORY_S)
            assert len(cluster.starts(f"{job.id}.0.0.0")) == 2
            check_runs(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("rate", [1.0, 0.98], ids=["exact", "slow-clock"])
@pytest.mark.parametrize("offset_s", [0.0, 0.3, 0.6, 0.9])
@pytest.mark.parametrize("state", ["ready", "draining"])
def test_task_runs_twice_on_a_runner_that_responds_once_to_its_next_owner(
    state, offset_s, rate
):
    """Guards against an owner that forgets earlier leases with the first response.

    The former owner is cut from the store and renews leases until the next one calls.
    Then nobody reaches the runner any more. Only the next owner knows that the runner
    drains, and grants a shorter lease than the former one has granted.
    """

    async def scenario():
        async with run_cluster(members=3, rate=rate) as cluster:
            job, runner = await start_lasting(cluster)
            await anyio.sleep(offset_s)
            cut_after_next_owner(cluster, runner)
            await cut_from_store(cluster, await cluster.owner())
            cluster.list_runner(runner.id, state=state)
            lost_s = anyio.current_time()
            await anyio.sleep(HISTORY_S)
            assert len(cluster.starts(f"{job.id}.0.0.0")) == 2
            assert last_start_s(cluster, job) < lost_s + MAX_AWAY_S
            check_runs(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("missing_s", [0.0, 0.5, 1.5])
def test_task_that_was_done_is_started_before_its_runner_is_asked(missing_s):
    """Guards against a wait that is over before the new owner has read the runners.

    No instance is up for longer than leases last. The runner lives, has an end to
    report, and is listed again ``missing_s`` after the instances are back.
    """

    async def scenario():
        async with run_cluster(members=3, runners=2) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step()))
            await cluster.wait_for(job, JobState.RUNNING, 2.0)
            (runner_id,) = cluster.starts(f"{job.id}.0.0.0")
            for member in list(cluster.member_by_name.values()):
                await kill(cluster, member)
            await anyio.sleep(9.5)
            if missing_s:
                cluster.unlist_runner(runner_id)
            for number in range(3):
                cluster.add_member(f"front-{number}")
            await cluster.owner()
            await anyio.sleep(missing_s)
            cluster.list_runner(runner_id)
            await cluster.wait_for(job, JobState.DONE, 5.0)
            assert len(cluster.starts(f"{job.id}.0.0.0")) == 1

    run_virtual(scenario)


#: Tasks that are started at once on as many runners: the owner row names neither all of
#: these runners nor all of these runs in full.
MASS_TASKS = 250


@pytest.mark.parametrize("offset_s", [0.0, 0.05])
def test_next_owner_waits_for_start_orders_of_runs_that_have_long_begun(offset_s):
    """Guards against an owner row without space for the starts of a whole fleet."""

    async def scenario():
        async with run_cluster(members=3, runners=0) as cluster:
            await cluster.owner()
            cluster.add_runner("runner-lost", processors=0.28)
            await anyio.sleep(1.5)
            job = await cluster.submit(make_job(1, make_step(2, 0.1, lasting=True)))
            await cluster.wait_for(job, JobState.RUNNING, 2.0)
            cluster.add_runner("runner-full", processors=0.12 * MASS_TASKS)
            await anyio.sleep(1.5)
            for number in range(MASS_TASKS // 50):
                step = make_step(50, 0.1, lasting=True)
                other = await cluster.submit(make_job(number + 2, step))
                await cluster.wait_for(other, JobState.RUNNING, 2.0)
            for number in range(MASS_TASKS + 40):
                cluster.add_runner(f"i-{number:010x}", processors=0.13)
            await anyio.sleep(10)
            cluster.runner_by_id["runner-full"].crash()
            with anyio.fail_after(6.0):
                while not find_late_starts(cluster):
                    await anyio.sleep(0.002)
            await anyio.sleep(offset_s)
            lost_s = anyio.current_time()
            cluster.runner_by_id["runner-lost"].crash()
            await kill(cluster, await cluster.owner())
            await anyio.sleep(HISTORY_S + 5)
            assert lost_s < last_start_s(cluster, job) < lost_s + MAX_AWAY_S
            check_runs(cluster)

    run_virtual(scenario)


def find_late_starts(cluster) -> bool:
    """Return whether the owner row tells of start orders, by runner or for all."""
    row = cluster.rows.row_by_id[owner_row(shard_name(0))]
    return decode_owner_record(row).late_starts_end_in_s_by_runner != {}
