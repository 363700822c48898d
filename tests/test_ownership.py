"""Fencing of an owner's writes, and the permit that is checked before an order."""

import anyio
import pytest

from flamingoweir.jobs import JobState
from flamingoweir.metrics import NoMetrics
from flamingoweir.ownership import JOB_TABLE, FencedWriter, OwnershipLost, owner_row
from flamingoweir.standins import MemoryRows, RowsLink
from flamingoweir.storage import RowId
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import VirtualClock, run_virtual

ROW = RowId(JOB_TABLE, "s0", "job")


def make_writer(link: RowsLink, holder: str) -> FencedWriter:
    return FencedWriter(link, "s0", holder, holder + "/1", VirtualClock(), NoMetrics())


def test_former_owner_writes_nothing():
    """A former owner that continues after a takeover must not overwrite rows."""

    async def scenario():
        rows = MemoryRows()
        first = make_writer(RowsLink(rows), "one")
        second = make_writer(RowsLink(rows), "two")
        await first.acquire(None)
        await second.acquire(rows.row_by_id[owner_row("s0")])
        assert second.fence > first.fence
        with pytest.raises(OwnershipLost):
            await first.commit([(ROW, b"late")], [])
        assert ROW not in rows.row_by_id

    run_virtual(scenario)


def test_of_two_that_take_a_shard_one_has_it():
    """Of two instances that take a vacant shard, only one may own it."""

    async def scenario():
        rows = MemoryRows()
        await make_writer(RowsLink(rows), "one").acquire(None)
        with pytest.raises(OwnershipLost):
            await make_writer(RowsLink(rows), "two").acquire(None)

    run_virtual(scenario)


def test_write_whose_answer_was_lost_is_recognised():
    """An owner must recognise a write of its own whose response was lost.

    The repeated write fails, as the first one changed the owner row. An owner that took
    this for the write of another instance would lose the shard.
    """

    async def scenario():
        rows = MemoryRows()
        link = RowsLink(rows)
        writer = make_writer(link, "one")
        await writer.acquire(None)
        link.lose_answers = 1
        await writer.commit([(ROW, b"value")], [])
        assert rows.row_by_id[ROW].value == b"value"
        await writer.commit([], [ROW])
        assert ROW not in rows.row_by_id

    run_virtual(scenario)


def test_order_that_is_no_longer_permitted_is_not_sent():
    """No task may start in a zone that is evacuated while attempts are written.

    The permit has to be checked after that write, right before the order.
    """

    async def scenario():
        async with run_cluster(members=1, runners=1) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            # The write that makes the attempts durable takes 0.3 s; meanwhile the
            # zone is evacuated.
            owner.store.delay_s = 0.3
            job = await cluster.submit(make_job(1, make_step(2)))
            await anyio.sleep(0.1)
            while not owner.instance.term.owner_state.runner_by_id[
                "runner-0"
            ].has_attempts:
                await anyio.sleep(0.01)
            owner.instance.operators.apply_rows(
                [cluster.write_evacuation_row("powys")], False
            )
            await anyio.sleep(2)
            assert not cluster.records("start")
            assert await cluster.state(job) is not JobState.DONE

    run_virtual(scenario)
