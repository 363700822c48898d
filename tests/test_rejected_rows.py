"""A row that the store refuses for good concerns its job alone, and is no outage."""

import anyio
import pytest

from flamingoweir.dispatch._effect_store import EffectStore
from flamingoweir.errors import ErrorCode, FlamingoweirError
from flamingoweir.jobs import JobState, decode_state
from flamingoweir.ownership import effect_row, job_row, owner_row, state_row, tasks_row
from flamingoweir.platform._store import PlatformStore
from flamingoweir.storage import StoreRefused, StoreRejected, Transaction
from flamingoweir.transport import HttpClient, Response
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual

REJECTED = make_job(1, make_step(3, lasting=True))


def find_rows(cluster, job) -> list:
    return [row for row in cluster.rows.row_by_id if row.key.startswith(job.id)]


@pytest.mark.parametrize("when", ["first", "later"])
@pytest.mark.parametrize(
    "row, is_recorded",
    [
        (tasks_row("s0", REJECTED.id, (0, 0, 0)), True),
        (state_row("s0", REJECTED.id), False),
    ],
)
def test_row_of_one_job_that_the_store_rejects_keeps_no_owner_from_writing(
    row, is_recorded, when
):
    """Guards against a refusal that is repeated until the ownership is lost.

    The next owner comes to the same row. Nothing of the job runs any more.
    """

    async def scenario():
        async with run_cluster(members=3, runners=2, processors=100) as cluster:
            owner = await cluster.owner()
            term = owner.instance.term
            await anyio.sleep(1)
            if when == "first":
                cluster.rows.rejected_rows.add(row)
            await cluster.submit(REJECTED)
            jobs = []
            for number in range(2, 32):
                jobs.append(await cluster.submit(make_job(number, make_step(2))))
            if when == "later":
                await cluster.wait_for(REJECTED, JobState.RUNNING, 2.0)
                cluster.rows.rejected_rows.add(row)
                runner = cluster.runner_by_id["runner-0"]
                runner.crash()
                await anyio.sleep(1.0)
                runner.restart()
                cluster.list_runner(runner.id)
            for job in jobs:
                await cluster.wait_for(job, JobState.DONE, 12.0)
            assert owner.instance.term is term
            await anyio.sleep(3.0)
            assert not any(runner.tasks for runner in cluster.runner_by_id.values())
            assert not cluster.find_overlaps()
            if is_recorded:
                state = cluster.rows.row_by_id[state_row("s0", REJECTED.id)]
                assert decode_state(REJECTED.id, state.value).set_aside
            for number in (40, 41):
                cluster.kill_member(await cluster.owner())
                owner = await cluster.owner()
                term = owner.instance.term
                job = await cluster.submit(make_job(number))
                await cluster.wait_for(job, JobState.DONE, 12.0)
                assert owner.instance.term is term

    run_virtual(scenario)


def test_store_that_rejects_all_writes_for_a_while_is_an_outage():
    """Guards against jobs that are set aside for what the store refuses to anyone."""

    async def scenario():
        async with run_cluster(members=1, runners=2) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(2, lasting=True)))
            await cluster.wait_for(job, JobState.RUNNING, 2.0)
            term = owner.instance.term
            cluster.rows.rejected_rows.add(owner_row("s0"))
            other = await cluster.submit(make_job(2))
            await anyio.sleep(1.5)
            cluster.rows.rejected_rows.clear()
            await cluster.wait_for(other, JobState.DONE, 4.0)
            assert owner.instance.term is term
            assert len(cluster.records("start")) == 3

    run_virtual(scenario)


def test_row_of_learnt_effects_that_the_store_rejects_is_given_up(monkeypatch):
    """Guards against a row that is no job's, and is rejected with each write."""
    offered = []

    def take_row(self):
        if not self._may_write:
            return None
        offered.append(self._row)
        return self._row, b"{}"

    monkeypatch.setattr(EffectStore, "take_row", take_row)

    async def scenario():
        async with run_cluster(members=1, runners=1) as cluster:
            cluster.rows.rejected_rows.add(effect_row("s0"))
            term = (await cluster.owner()).instance.term
            for number in (1, 2):
                job = await cluster.submit(make_job(number))
                await cluster.wait_for(job, JobState.DONE, 4.0)
            assert (await cluster.owner()).instance.term is term
            assert len(offered) == 1

    run_virtual(scenario)


def test_submission_that_the_store_rejects_is_refused_at_once():
    """Guards against a submission that is sent again until its deadline.

    The store responds, so that the instance goes on sending it others.
    """

    async def scenario():
        async with run_cluster() as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = make_job(1)
            cluster.rows.rejected_rows.add(job_row("s0", job.id))
            for _ in range(5):
                began_s = anyio.current_time()
                with pytest.raises(FlamingoweirError) as caught:
                    await owner.instance.handler.submit(job, 5.0)
                assert caught.value.code is ErrorCode.BAD_REQUEST
                assert anyio.current_time() - began_s < 0.1
            other = await cluster.submit(make_job(2))
            await cluster.wait_for(other, JobState.DONE, 4.0)
            assert not find_rows(cluster, job)

    run_virtual(scenario)


@pytest.mark.parametrize(
    "status, is_rejected",
    [(400, True), (403, True), (404, True), (413, True)]
    + [(408, False), (429, False), (500, False), (503, False), (507, False)],
)
def test_platform_tells_a_refusal_for_good_from_an_outage(
    status, is_rejected, monkeypatch
):
    async def call(self, *args, **kwargs):
        return Response(status, b"")

    monkeypatch.setattr(HttpClient, "call", call)

    async def scenario():
        store = PlatformStore("127.0.0.1:1")
        with pytest.raises(StoreRefused) as caught:
            await store.transact(Transaction((), (), ()))
        assert isinstance(caught.value, StoreRejected) is is_rejected

    run_virtual(scenario)
