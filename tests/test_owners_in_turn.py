"""Owners that follow one another while a runner is gone, as where instances restart.

Each is stopped in order some two seconds after it took the shard. Incident 0018.
"""

import anyio
import pytest

from tests.utils.cluster import run_cluster
from tests.utils.losses import (
    check_runs,
    last_start_s,
    lose_runner,
    start_lasting,
    stop_in_order,
)
from tests.utils.virtual_time import run_virtual

#: Longest time in seconds for which a long-running task may be away: 6 from the end of
#: its last run, and 3 in which nothing of it runs.
MAX_AWAY_S = 9.0
#: Seconds for which owners follow one another after the loss of the runner.
RESTARTS_S = 14.0
#: Seconds until an instance that was stopped is back.
BACK_AFTER_S = 3.0
#: Seconds for which a runner drains before it leaves.
DRAINS_S = 5.0


async def restart_owners(cluster, interval_s: float) -> None:
    """Stop one owner after the other in order; each instance is back later."""

    async def restart(owner) -> None:
        await stop_in_order(cluster, owner)
        await anyio.sleep(BACK_AFTER_S)
        cluster.add_member(owner.name)

    until_s = anyio.current_time() + RESTARTS_S
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < until_s:
            tasks.start_soon(restart, await cluster.owner())
            await anyio.sleep(interval_s)


@pytest.mark.parametrize("listed", [True, False], ids=["listed", "unlisted"])
@pytest.mark.parametrize("drains_s", [0.0, DRAINS_S], ids=["crashes", "leaves"])
@pytest.mark.parametrize("offset_s", [0.1, 0.8, 1.5])
@pytest.mark.parametrize("interval_s", [1.2, 2.0, 2.4])
def test_task_is_away_for_as_long_as_owners_follow_one_another(
    interval_s, offset_s, drains_s, listed
):
    """Guards against waits that each owner begins anew."""

    async def scenario():
        async with run_cluster(members=9) as cluster:
            job, runner = await start_lasting(cluster)
            if drains_s:
                cluster.list_runner(runner.id, state="draining")
                await anyio.sleep(drains_s)
            await anyio.sleep(offset_s)
            lost_s = anyio.current_time()
            lose_runner(cluster, runner, listed)
            await anyio.sleep(interval_s - offset_s / 2)
            await restart_owners(cluster, interval_s)
            assert lost_s < last_start_s(cluster, job) < lost_s + MAX_AWAY_S
            check_runs(cluster)

    run_virtual(scenario)
