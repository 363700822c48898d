"""Leases on a runner that a write under way names as silent."""

import anyio
import pytest

from flamingoweir.ownership import decode_owner_record, owner_row, shard_name
from tests.utils.cluster import run_cluster
from tests.utils.losses import check_runs, isolate_listed, start_lasting
from tests.utils.virtual_time import run_virtual


@pytest.mark.parametrize("offset_s", [0.0, 0.35, 0.7])
@pytest.mark.parametrize("silent_s", [0.9, 1.05])
def test_runner_that_responds_during_a_write_is_granted_more_than_it_says(
    silent_s, offset_s
):
    """Guards against leases beyond a row that was written, but not confirmed.

    The response of the first write that names the runner is lost. Then the runner
    responds again, to an owner that is cut from the store.
    """

    async def scenario():
        async with run_cluster(members=4) as cluster:
            job, runner = await start_lasting(cluster)
            await anyio.sleep(offset_s)
            owner = await cluster.owner()
            isolate_listed(cluster, owner, runner)
            link = owner.link_by_runner[runner.id]
            link.disconnected = True
            await anyio.sleep(silent_s)
            owner.store.lose_answers = 1
            with anyio.move_on_after(2.0):
                while not _names(cluster, runner):
                    await anyio.sleep(0.002)
            link.disconnected = False
            owner.store.silent = True
            del cluster.member_by_name[owner.name]
            await anyio.sleep(22)
            assert len(cluster.starts(f"{job.id}.0.0.0")) == 2
            check_runs(cluster)

    run_virtual(scenario)


def _names(cluster, runner) -> bool:
    record = decode_owner_record(cluster.rows.row_by_id[owner_row(shard_name(0))])
    return runner.id in record.leases_end_in_s_by_runner
