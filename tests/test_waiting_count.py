"""The number of waiting jobs that instances report must not leave waiting jobs out."""

import random

import anyio
import pytest

from flamingoweir.errors import FlamingoweirError, Verdict
from flamingoweir.metrics import NoMetrics
from flamingoweir.ownership import (
    JOB_TABLE,
    Backlog,
    FencedWriter,
    Standby,
    decode_owner_record,
    owner_row,
)
from flamingoweir.standins import MemoryRows, RowsLink
from flamingoweir.storage import StoreRefused
from tests.utils.cluster import QUEUE, Cluster, Member, make_job, make_step, run_cluster
from tests.utils.virtual_time import VirtualClock, run_virtual

#: Seconds after which a count must include an accepted job: the job is visible within
#: three, and a count may be two old.
VISIBLE_S = 5.0
#: Seconds from the encoding of a write until the store applies it: calls that wait for
#: one of the connections to the store, or are repeated after a 429.
WRITE_S = 1.1


async def report_counts(member: Member, duration_s: float) -> set[int]:
    """Return the counts that an instance reports within a time; it may refuse."""
    queue = member.instance.operators.configuration.queue_by_name[QUEUE]
    counts = set()
    until_s = anyio.current_time() + duration_s
    while anyio.current_time() < until_s:
        await anyio.sleep(0.05)
        try:
            counts.add(member.instance.handler.count_waiting(queue))
        except FlamingoweirError as error:
            assert error.verdict is Verdict.NOT_RUN
    return counts


def lose_all_starts(cluster: Cluster, member: Member) -> None:
    """Let no start order of an instance reach a runner."""
    for runner in cluster.runner_by_id:
        link = member.link_by_runner[runner]
        link.lose_starts = 1_000_000
        link.delivery_delay_s = 1_000_000.0


async def submit_jobs(cluster: Cluster, count: int, member: Member) -> None:
    for number in range(count):
        await cluster.submit(make_job(number, make_step()), member)


def test_job_whose_start_never_arrived_counts_as_waiting():
    """A job that is placed has not begun until a runner has started a task."""

    async def scenario():
        async with run_cluster(members=2, runners=4) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            lose_all_starts(cluster, owner)
            await submit_jobs(cluster, 4, owner)
            await anyio.sleep(VISIBLE_S)
            for member in cluster.member_by_name.values():
                assert await report_counts(member, 2.0) == {4}

    run_virtual(scenario)


def test_new_owner_counts_jobs_that_were_only_placed():
    """Attempts of the former owner don't show that a task has started."""

    async def scenario():
        async with run_cluster(members=2, runners=4) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            lose_all_starts(cluster, owner)
            await submit_jobs(cluster, 4, owner)
            await anyio.sleep(VISIBLE_S)
            for runner in cluster.runner_by_id.values():
                runner.crash()
            cluster.kill_member(owner)
            other = next(iter(cluster.member_by_name.values()))
            assert await report_counts(other, 4.0) == {4}

    run_virtual(scenario)


def test_no_count_is_reported_while_the_feed_of_jobs_is_lost(monkeypatch):
    """An owner that does not read new jobs must not publish a count without them."""

    async def scenario():
        async with run_cluster(members=2, runners=0) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            follow, read = owner.store.follow, owner.store.read

            async def follow_others(table, after, wait_s):
                if table == JOB_TABLE:
                    raise StoreRefused("not available")
                return await follow(table, after, wait_s)

            async def read_others(table, *args, **fields):
                if table == JOB_TABLE:
                    raise StoreRefused("not available")
                return await read(table, *args, **fields)

            monkeypatch.setattr(owner.store, "follow", follow_others)
            monkeypatch.setattr(owner.store, "read", read_others)
            # The feed's call that waits may still return the next change.
            await anyio.sleep(1)
            (other,) = set(cluster.member_by_name.values()) - {owner}
            await submit_jobs(cluster, 4, other)
            await anyio.sleep(VISIBLE_S)
            for member in cluster.member_by_name.values():
                assert await report_counts(member, 2.0) <= {4}

    run_virtual(scenario)


def test_delayed_write_of_owner_publishes_the_count_of_its_sending(monkeypatch):
    """A write that is repeated for a second must not publish a count from its start."""

    async def scenario():
        async with run_cluster(members=2, runners=0) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            transact = owner.store.transact

            async def refuse(transaction):
                await anyio.sleep(0.004)
                raise StoreRefused("not available")

            monkeypatch.setattr(owner.store, "transact", refuse)
            # The first refused write begins before the jobs are submitted.
            await anyio.sleep(0.5)
            (other,) = set(cluster.member_by_name.values()) - {owner}
            await submit_jobs(cluster, 4, other)
            await anyio.sleep(0.5)
            version = cluster.rows.row_by_id[owner_row("s0")].version
            monkeypatch.setattr(owner.store, "transact", transact)
            while cluster.rows.row_by_id[owner_row("s0")].version == version:
                await anyio.sleep(0.001)
            record = decode_owner_record(cluster.rows.row_by_id[owner_row("s0")])
            assert record.backlog.waiting_by_queue == {QUEUE: 4}

    run_virtual(scenario)


@pytest.mark.parametrize("outage_s", [1.0, 3.0, 10.0])
def test_count_does_not_become_new_by_an_outage_of_the_store(outage_s):
    """A count that was read before an outage is old after it."""

    async def scenario():
        rows = MemoryRows()
        clock = VirtualClock()
        writer = FencedWriter(RowsLink(rows), "s0", "one", "one/1", clock, NoMetrics())
        writer.count_backlog = lambda: Backlog({QUEUE: 1})
        link = RowsLink(rows)
        standby = Standby(
            link, "s0", "two", "two", 1.0, clock, random.Random(0), NoMetrics()
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(standby.watch)
            await anyio.sleep(0.1)
            written_s = clock.now()
            await writer.acquire(None)
            await anyio.sleep(0.6)
            assert standby.backlog(1.9) == Backlog({QUEUE: 1})
            link.down = True
            await anyio.sleep(outage_s)
            link.down = False
            while clock.now() < written_s + outage_s + 4.0:
                await anyio.sleep(0.05)
                if clock.now() - written_s > 2.0:
                    assert standby.backlog(1.9) is None
            tasks.cancel_scope.cancel()

    run_virtual(scenario)


@pytest.mark.parametrize("phase_s", [2.70, 2.73, 2.76])
def test_count_leaves_out_no_job_that_was_accepted_five_seconds_before(
    monkeypatch, phase_s
):
    """Guards against ages that are each allowed and together are not.

    The owner's copy of the jobs may be 2.5 s old, a copy of the count 1.9 s.
    What the write takes in between comes on top.
    """

    async def scenario():
        async with run_cluster(members=2, runners=0) as cluster:
            owner = await cluster.owner()
            (other,) = set(cluster.member_by_name.values()) - {owner}
            await anyio.sleep(1)
            transact = owner.store.transact

            async def transact_late(transaction):
                await anyio.sleep(WRITE_S)
                return await transact(transaction)

            monkeypatch.setattr(owner.store, "transact", transact_late)
            await anyio.sleep(2 + phase_s)
            follow, read = owner.store.follow, owner.store.read

            async def follow_others(table, *args):
                if table == JOB_TABLE:
                    raise StoreRefused("not available")
                return await follow(table, *args)

            async def read_others(table, *args, **fields):
                if table == JOB_TABLE:
                    raise StoreRefused("not available")
                return await read(table, *args, **fields)

            monkeypatch.setattr(owner.store, "follow", follow_others)
            monkeypatch.setattr(owner.store, "read", read_others)
            feed = owner.instance.term._job_follower
            while feed._reachable:
                await anyio.sleep(0.005)
            await submit_jobs(cluster, 4, other)
            accepted_s = anyio.current_time()
            queue = other.instance.operators.configuration.queue_by_name[QUEUE]
            while anyio.current_time() < accepted_s + 8.0:
                await anyio.sleep(0.02)
                try:
                    count = other.instance.handler.count_waiting(queue)
                except FlamingoweirError:
                    continue
                age_s = anyio.current_time() - accepted_s
                assert count == 4 or age_s < VISIBLE_S, f"{count} after {age_s:.2f} s"
            assert owner.instance.term is not None

    run_virtual(scenario)
