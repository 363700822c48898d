"""Headroom: new long-running tasks leave processors to batch.

Replays the load of kpst-orders `quiet-1` (hunted day 519591916962): long-running jobs
reserve 93% of the fleet from the first second, and batch of short tasks arrives
steadily.
"""

import anyio
import pytest

from flamingoweir.jobs import JobState, Outcome
from flamingoweir.policy import BatchHeadroom, ServiceLoad
from flamingoweir.storage import RowId
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.entries import encode_entry
from tests.utils.virtual_time import run_virtual

SERVICE = "turning"
#: Run time of a batch task and objective of a batch job in seconds; see `make_job`.
RUN_S = 1.0
OBJECTIVE_S = 3.0


def make_headroom(capacity=100_000, lasting=0, batch=0) -> BatchHeadroom:
    headroom = BatchHeadroom()
    headroom.update({SERVICE: ServiceLoad(capacity, lasting, batch)}, 0.0)
    return headroom


@pytest.mark.parametrize("odd_entry", [False, True])
def test_short_batch_is_in_time_beside_more_long_running_jobs_than_fit(odd_entry):
    """Guards against batch that waits until a long-running job ends.

    An entry of another writer, with a capacity that no runner has, must not count.
    """

    async def scenario():
        async with run_cluster(runners=4, processors=8) as cluster:
            await cluster.owner()
            if odd_entry:
                capacity = {"Cpu": 2**60, "MemMb": 2**60}
                entry = encode_entry(Capacity=capacity)
                cluster.rows.put(RowId("servers", "", "odd"), entry)
            await anyio.sleep(1)
            batch = []
            for number in range(1, 13):
                # Long-running jobs ask for twice the processors that there are.
                step = make_step(3, 2.0, lasting=True)
                await cluster.submit(make_job(number, step))
                spec = make_job(100 + number, make_step(2, 1.0, estimate_s=RUN_S))
                for index in range(2):
                    task = f"{spec.id}.0.0.{index}"
                    cluster.plan_by_task[task] = (RUN_S, Outcome.DONE)
                batch.append(await cluster.submit(spec))
                await anyio.sleep(0.7)
            for spec in batch:
                await cluster.wait_for(spec, JobState.DONE, OBJECTIVE_S)
            lasting = {r.task for r in cluster.records("start") if r.task.job < "1"}
            assert len([r for r in cluster.records("start")]) > 24 + 10, lasting
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_long_running_tasks_may_take_half_of_the_fleet_whatever_batch_needs():
    """Guards against a task as large as its runner that is never placed."""
    headroom = make_headroom(lasting=49_000, batch=90_000)
    assert headroom.allows(SERVICE, 51_000, 0.0)
    assert not make_headroom(lasting=50_000, batch=90_000).allows(SERVICE, 50_000, 0.0)


def test_headroom_follows_the_peak_of_batch_and_returns():
    """Guards against headroom that is gone between two waves, or kept for good."""
    headroom = make_headroom(lasting=80_000, batch=12_000)
    headroom.update({SERVICE: ServiceLoad(100_000, 80_000, 0)}, 2.0)
    assert not headroom.allows(SERVICE, 10_000, 0.0)
    headroom.update({SERVICE: ServiceLoad(100_000, 80_000, 0)}, 60.0)
    assert headroom.allows(SERVICE, 10_000, 0.0)


def test_a_share_is_kept_for_tasks_that_have_to_move():
    """Guards against a fleet without room for the tasks of a lost runner."""
    headroom = make_headroom(lasting=90_000)
    assert headroom.allows(SERVICE, 5_000, 0.0)
    headroom.record_placed(SERVICE, 5_000)
    assert not headroom.allows(SERVICE, 1_000, 0.0)


def test_long_running_step_is_not_held_back_for_good():
    """Guards against a job that never runs beside a constant flow of batch."""
    headroom = make_headroom(lasting=90_000, batch=50_000)
    assert not headroom.allows(SERVICE, 5_000, 10.0)
    assert headroom.allows(SERVICE, 5_000, 61.0)
