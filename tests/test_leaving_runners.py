"""Leases on runners that leave while the owner changes.

A new owner can't ask a runner that has left what runs there; it waits until the leases
that the former owner may have granted have lapsed. Found by the hunted day
989220422284 of tomen-dail: long-running tasks were away for 12.4 s.
"""

import anyio
import orjson
import pytest

from flamingoweir.fleet import LEAVING_LEASE_S, RUNNER_LEASE_S
from flamingoweir.ownership import OwnerRecord, decode_owner_record, encode_owner_record
from flamingoweir.storage import RowId, VersionedRow
from tests.utils.cluster import run_cluster
from tests.utils.losses import check_runs, isolate, last_start_s, start_lasting
from tests.utils.virtual_time import run_virtual

#: Longest time in seconds after an owner's death for which a long-running task may be
#: away: four until the time counts as calm, and three more.
MAX_AWAY_S = 7.0
#: Seconds for which the runner drains before it leaves.
DRAINS_S = 5.0


def test_task_of_a_runner_that_left_with_the_owner_runs_again_soon():
    """Guards against a new owner that waits for leases which nobody granted."""

    async def scenario():
        async with run_cluster(members=3) as cluster:
            job, runner = await start_lasting(cluster)
            cluster.list_runner(runner.id, state="draining")
            await anyio.sleep(DRAINS_S)
            runner.crash()
            cluster.unlist_runner(runner.id)
            killed_s = anyio.current_time()
            cluster.kill_member(await cluster.owner())
            await anyio.sleep(MAX_AWAY_S)
            assert killed_s < last_start_s(cluster, job) < killed_s + MAX_AWAY_S
            check_runs(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("silent", [False, True], ids=["closes", "silent"])
@pytest.mark.parametrize("owner_lives_s", [1.2, 2.4, 3.6])
def test_task_of_a_runner_that_crashed_before_the_owner_runs_again_soon(
    owner_lives_s, silent
):
    """Guards against a new owner that waits for leases on a runner lost before.

    The runner's entry is removed after the owner's death.
    """

    async def scenario():
        async with run_cluster(members=3) as cluster:
            job, runner = await start_lasting(cluster)
            runner.crash(closes=not silent)
            await anyio.sleep(owner_lives_s)
            killed_s = anyio.current_time()
            cluster.kill_member(await cluster.owner())
            await anyio.sleep(3.7 - owner_lives_s)
            cluster.unlist_runner(runner.id)
            await anyio.sleep(MAX_AWAY_S)
            assert killed_s < last_start_s(cluster, job) < killed_s + MAX_AWAY_S
            check_runs(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("lost_s", [0.3, 0.8, 1.6, 3.0])
@pytest.mark.parametrize("offset_s", [0.0, 0.2, 0.4, 0.6, 0.8])
def test_task_on_a_runner_that_was_lost_for_a_while_never_runs_twice(offset_s, lost_s):
    """Guards against an owner that renews leases on a runner that it had lost.

    The owner reaches the runner again, but neither the store nor the other runners; no
    other instance reaches the runner, which is listed no more.
    """

    async def scenario():
        async with run_cluster(members=3) as cluster:
            job, runner = await start_lasting(cluster)
            await anyio.sleep(offset_s)
            owner = await cluster.owner()
            owner.link_by_runner[runner.id].disconnected = True
            await anyio.sleep(lost_s)
            isolate(cluster, owner, runner)
            await anyio.sleep(20)
            assert len(cluster.starts(f"{job.id}.0.0.0")) == 2
            check_runs(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("drains_s", [0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.5, DRAINS_S])
@pytest.mark.parametrize("offset_s", [0.0, 0.3, 0.6, 0.9])
def test_task_on_a_leaving_runner_never_runs_twice(drains_s, offset_s):
    """Guards against a former owner that renews a lease which the new one ignores.

    The runner is listed no more and can be reached by the former owner only, which
    can't reach the store.
    """

    async def scenario():
        async with run_cluster(members=3) as cluster:
            job, runner = await start_lasting(cluster)
            await anyio.sleep(offset_s)
            cluster.list_runner(runner.id, state="draining")
            await anyio.sleep(drains_s)
            isolate(cluster, await cluster.owner(), runner)
            await anyio.sleep(20)
            assert len(cluster.starts(f"{job.id}.0.0.0")) == 2
            check_runs(cluster)

    run_virtual(scenario)


def test_task_never_runs_twice_if_the_next_owner_dies_soon():
    """Guards against a bound that the second of two new owners takes from the first.

    The first owner has granted a full lease on a runner that it reaches but the store
    does not; the second one has never reached that runner.
    """

    async def scenario():
        async with run_cluster(members=4) as cluster:
            job, runner = await start_lasting(cluster)
            isolate(cluster, await cluster.owner(), runner)
            await anyio.sleep(4)
            cluster.kill_member(await cluster.owner())
            await anyio.sleep(25)
            assert len(cluster.starts(f"{job.id}.0.0.0")) == 2
            check_runs(cluster)

    run_virtual(scenario)


def test_task_stays_on_a_runner_that_is_listed_again():
    """Guards against short leases for good after a runner was missing for a while."""

    async def scenario():
        async with run_cluster(members=2) as cluster:
            job, runner = await start_lasting(cluster)
            cluster.unlist_runner(runner.id)
            await anyio.sleep(4)
            cluster.list_runner(runner.id)
            await anyio.sleep(2)
            # Longer than a short lease, shorter than a full one.
            for member in cluster.member_by_name.values():
                if runner.id in member.link_by_runner:
                    member.link_by_runner[runner.id].disconnected = True
            await anyio.sleep((LEAVING_LEASE_S + RUNNER_LEASE_S) / 2 - 0.5)
            for member in cluster.member_by_name.values():
                if runner.id in member.link_by_runner:
                    member.link_by_runner[runner.id].disconnected = False
            await anyio.sleep(3)
            assert len(cluster.starts(f"{job.id}.0.0.0")) == 1

    run_virtual(scenario)


def test_owner_record_of_an_older_build_is_read():
    """Guards against records without the field, or with another type in it."""
    row = RowId("owners", "s0", "owner")
    value = encode_owner_record(OwnerRecord("a", "a/1", 3, 2))
    fields = orjson.loads(value)
    for name in ("written_s", "leases_end_in_s", "leases_end_in_s_by_runner"):
        del fields[name]
    fields["leaving_s_by_runner"] = {"runner-0": 3.0}
    found = decode_owner_record(VersionedRow(row, orjson.dumps(fields), 5))
    assert found.holder == "a"
    # Such an owner renews for 8 s without the store, each time for 4 s and a margin.
    assert found.leases_end_in_s >= 8 + 4 / 0.98
    assert found.leases_end_in_s_by_runner == {}
    for malformed in ([1], {"runner-0": -1.0}, {"runner-0": "x"}, None):
        fields["leases_end_in_s_by_runner"] = malformed
        value = orjson.dumps(fields)
        assert decode_owner_record(VersionedRow(row, value, 5)) is None
