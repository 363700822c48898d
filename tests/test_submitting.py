"""Tests of job submission: duplicates, refusals, waiting counts and retention."""

import anyio
import orjson
import pytest

from flamingoweir.dispatch import _retention
from flamingoweir.errors import FlamingoweirError, Verdict
from flamingoweir.jobs import (
    JobState,
    StateRecord,
    encode_spec,
    encode_state,
)
from flamingoweir.ownership import job_row, state_row, tasks_row
from flamingoweir.queues._handler import MAX_BACKLOG_AGE_S
from tests.utils.cluster import QUEUE, make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual


def test_repeated_submission_is_one_job():
    """A submitter may repeat a submission, also to another instance.

    The job would run twice if its id were not recognised.
    """

    async def scenario():
        async with run_cluster() as cluster:
            await cluster.owner()
            job = make_job(1)
            for member in list(cluster.member_by_name.values()):
                await cluster.submit(job, member)
            await cluster.wait_for(job, JobState.DONE, 4.0)
            await cluster.submit(job)
            await anyio.sleep(3)
            assert len(cluster.records("start")) == 1

    run_virtual(scenario)


def test_lost_store_response_is_not_reported_as_refusal():
    """The store may have written a job although its responses are lost.

    A submitter that receives a refusal relies on the job not being run.
    """

    async def scenario():
        async with run_cluster() as cluster:
            member = cluster.add_member("far")
            member.store.lose_answers = 10
            member.store.delivery_delay_s = 1.0
            await anyio.sleep(1)
            with pytest.raises(FlamingoweirError) as caught:
                await cluster.submit(make_job(1), member)
            assert caught.value.verdict is Verdict.MAY_HAVE_RUN

    run_virtual(scenario)


def test_refused_submission_never_runs():
    """A refused submission must not be stored by a later retry."""

    async def scenario():
        async with run_cluster() as cluster:
            await cluster.owner()
            member = cluster.add_member("far")
            member.store.down = True
            with pytest.raises(FlamingoweirError) as caught:
                await cluster.submit(make_job(1), member)
            assert caught.value.verdict is Verdict.NOT_RUN
            member.store.down = False
            await anyio.sleep(5)
            assert not cluster.records("start")

    run_virtual(scenario)


def test_every_instance_counts_waiting_jobs():
    """Instances that own no shard must report the number that the owner publishes."""

    async def scenario():
        async with run_cluster(members=2, runners=1) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            for number in range(3):
                await cluster.submit(make_job(number, make_step(1, 4.0)))
            await anyio.sleep(0.95)
            for member in cluster.member_by_name.values():
                queue = member.instance.operators.configuration.queue_by_name["orders"]
                assert member.instance.handler.count_waiting(queue) == 2

    run_virtual(scenario)


def test_new_owner_reports_no_count_before_it_has_read_the_shard():
    """An owner that has not read the shard knows no jobs.

    If it published their number as 0, waiting work would be hidden.
    """

    async def scenario():
        async with run_cluster(members=2, runners=0) as cluster:
            owner = await cluster.owner()
            for number in range(4):
                await cluster.submit(make_job(number, make_step()))
            await anyio.sleep(2)
            cluster.kill_member(owner)
            other = next(iter(cluster.member_by_name.values()))
            other.store.delay_s = 0.3
            queue = other.instance.operators.configuration.queue_by_name[QUEUE]
            reported_counts = set()
            for _ in range(120):
                await anyio.sleep(0.05)
                try:
                    reported_counts.add(other.instance.handler.count_waiting(queue))
                except FlamingoweirError as error:
                    assert error.verdict is Verdict.NOT_RUN
            assert reported_counts == {4}

    run_virtual(scenario)


def test_number_in_a_late_response_is_as_old_as_the_call():
    """A busy instance must not report a number as new because it came late.

    Its callers would be told that nothing waits seconds after work began to.
    """

    async def scenario():
        async with run_cluster(members=2, runners=0) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            (other,) = [m for m in cluster.member_by_name.values() if m is not owner]
            other.store.response_delay_s = 2.5
            await anyio.sleep(0.6)
            for number in range(4):
                await cluster.submit(make_job(number, make_step()), owner)
            queue = other.instance.operators.configuration.queue_by_name[QUEUE]
            await anyio.sleep(MAX_BACKLOG_AGE_S)
            for _ in range(100):
                await anyio.sleep(0.05)
                try:
                    assert other.instance.handler.count_waiting(queue) == 4
                except FlamingoweirError as error:
                    assert error.verdict is Verdict.NOT_RUN

    run_virtual(scenario)


def test_number_from_before_a_store_outage_is_not_reported():
    """The end of an outage must not make an old number count as new.

    The owner fails as well, and jobs that were accepted before wait for a new one.
    """

    async def scenario():
        async with run_cluster(members=2, runners=0) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            cluster.kill_member(owner)
            (other,) = cluster.member_by_name.values()
            for number in range(4):
                await cluster.submit(make_job(number, make_step()), other)
            other.store.down = True
            await anyio.sleep(MAX_BACKLOG_AGE_S + 1)
            other.store.down = False
            queue = other.instance.operators.configuration.queue_by_name[QUEUE]
            reported_counts = set()
            for _ in range(100):
                await anyio.sleep(0.05)
                try:
                    reported_counts.add(other.instance.handler.count_waiting(queue))
                except FlamingoweirError as error:
                    assert error.verdict is Verdict.NOT_RUN
            assert reported_counts == {4}

    run_virtual(scenario)


def test_ended_job_is_not_run_again_by_new_owner_or_repeated_submission():
    """A new owner must find the durable state of an ended job.

    Otherwise the new owner or a repeated submission would run the job again.
    """

    async def scenario():
        async with run_cluster(members=3) as cluster:
            owner = await cluster.owner()
            job = await cluster.submit(make_job(1, make_step(2)))
            await cluster.wait_for(job, JobState.DONE, 4.0)
            await anyio.sleep(1)
            cluster.kill_member(owner)
            await anyio.sleep(6)
            await cluster.submit(job)
            await anyio.sleep(4)
            assert len(cluster.records("start")) == 2
            assert await cluster.state(job) is JobState.DONE

    run_virtual(scenario)


def test_partly_deleted_tasks_of_ended_job_are_not_started_again():
    """An owner may stop between the transactions that delete a large job's tasks.

    The next owner must delete the remaining rows and start none of their tasks.
    """

    async def scenario():
        async with run_cluster(members=0) as cluster:
            job = make_job(1, make_step(400, 0.001))
            cluster.spec_by_id[job.id] = job
            cluster.rows.put(job_row("s0", job.id), encode_spec(job))
            ended = encode_state(StateRecord(JobState.DONE, 1))
            cluster.rows.put(state_row("s0", job.id), ended)
            task_state = [1, True, 0, "", []]
            tasks = tasks_row("s0", job.id, (0, 0, 1))
            cluster.rows.put(tasks, orjson.dumps([task_state] * 200))
            cluster.add_member("front-0")
            await cluster.owner()
            await anyio.sleep(5)
            assert not cluster.records("start")
            assert not cluster.rows.rows("tasks", "s0")
            assert await cluster.state(job) is JobState.DONE

    run_virtual(scenario)


def test_rows_of_ended_jobs_are_deleted_after_retention(monkeypatch):
    """The store would grow without limit if rows of ended jobs were kept.

    Until the retention ends, the state is kept so that submitters can read it.
    """
    monkeypatch.setattr(_retention, "RETENTION_S", 20.0)
    monkeypatch.setattr(_retention, "SWEEP_INTERVAL_S", 4.0)

    async def scenario():
        async with run_cluster(members=1) as cluster:
            await cluster.owner()
            for number in range(3):
                job = await cluster.submit(make_job(number, make_step()))
                await cluster.wait_for(job, JobState.DONE, 4.0)
            await anyio.sleep(12)
            assert state_row("s0", job.id) in cluster.rows.row_by_id
            await anyio.sleep(18)
            left = [
                row.id
                for row in cluster.rows.row_by_id.values()
                if row.id.table in ("jobs", "states", "tasks")
            ]
            assert left == []

    run_virtual(scenario)


@pytest.mark.parametrize("fault", ["silent", "down"])
def test_submitter_is_answered_in_time_to_try_another_instance(fault):
    """A store that one instance can't reach may still answer other instances."""

    async def scenario():
        async with run_cluster() as cluster:
            await cluster.owner()
            member = cluster.add_member("far")
            await anyio.sleep(1)
            setattr(member.store, fault, True)
            started_s = anyio.current_time()
            with pytest.raises(FlamingoweirError) as caught:
                await member.instance.handler.submit(make_job(1), 1.26)
            assert anyio.current_time() - started_s < 1.5
            expected = Verdict.MAY_HAVE_RUN if fault == "silent" else Verdict.NOT_RUN
            assert caught.value.verdict is expected
            await cluster.submit(make_job(1))

    run_virtual(scenario)
