"""Leases on runners that were lost for a moment while the store does not respond."""

import anyio
import pytest

from flamingoweir.ownership import LEASE_VALID_S
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual

#: Seconds for which the store is away. Leases end `LEASE_VALID_S` after the last write,
#: up to 0.4 s before; once the store is back, a lost call may take 0.7 s to time out, and
#: a poll a second.
OUTAGE_S = LEASE_VALID_S - 2.1


@pytest.mark.parametrize("fault", ["down", "silent"])
@pytest.mark.parametrize("lost_s", [0.3, 0.7, 1.5])
def test_task_runs_on_if_its_runner_is_lost_for_a_moment_without_store(lost_s, fault):
    """Guards against an owner that renews nothing on a runner that responds again."""

    async def scenario():
        async with run_cluster(members=1) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(1, lasting=True)))
            await anyio.sleep(2)
            (runner_id,) = cluster.starts(f"{job.id}.0.0.0")
            setattr(owner.store, fault, True)
            await anyio.sleep(0.5)
            link = owner.link_by_runner[runner_id]
            link.disconnected = True
            await anyio.sleep(lost_s)
            link.disconnected = False
            await anyio.sleep(OUTAGE_S - 0.5 - lost_s)
            setattr(owner.store, fault, False)
            await anyio.sleep(5)
            assert len(cluster.starts(f"{job.id}.0.0.0")) == 1

    run_virtual(scenario)
