"""Leases that an owner grants before its first write of its own findings.

Its first writes pass on what earlier owners published. Incident 0016.
"""

import anyio
import pytest

from tests.utils.cluster import run_cluster
from tests.utils.losses import check_runs, isolate, kill, start_lasting
from tests.utils.virtual_time import run_virtual


@pytest.mark.parametrize("rate", [1.0, 0.98], ids=["exact", "slow-clock"])
@pytest.mark.parametrize("unreached_s", [0.9, 1.2, 1.5])
@pytest.mark.parametrize("offset_s", [0.0, 0.2, 0.4, 0.6, 0.8])
def test_task_runs_twice_after_an_owner_is_cut_off_in_its_first_moments(
    offset_s, unreached_s, rate
):
    """Guards against leases beyond what an owner passes on of the one before.

    The row of the first owner names the runner, which it doesn't reach. The second
    owner reaches it, and is cut off from all else before its second write.
    """

    async def scenario():
        async with run_cluster(members=4, rate=rate) as cluster:
            job, runner = await start_lasting(cluster)
            await anyio.sleep(offset_s)
            owner = await cluster.owner()
            owner.link_by_runner[runner.id].disconnected = True
            await anyio.sleep(unreached_s)
            await kill(cluster, owner)
            owner = await cluster.owner()
            runners = owner.instance.term.owner_state.runner_by_id
            with anyio.fail_after(5.0):
                while (
                    runner.id not in runners or runners[runner.id].incarnation is None
                ):
                    await anyio.sleep(0.002)
            # The second poll renews the lease.
            await anyio.sleep(0.01)
            isolate(cluster, owner, runner)
            await anyio.sleep(20.0)
            check_runs(cluster)

    run_virtual(scenario)
