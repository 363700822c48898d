"""Tests of job submission: duplicates, refusals, waiting counts and retention."""

import os
import random

import anyio
import orjson
import pytest

from flamingoweir.dispatch import _retention
from flamingoweir.errors import ErrorCode, FlamingoweirError, Verdict
from flamingoweir.jobs import (
    JobState,
    StateRecord,
    encode_spec,
    encode_state,
)
from flamingoweir.ownership import (
    EARLY_CANCEL_KEPT_S,
    EARLY_CANCEL_TABLE,
    early_cancel_row,
    job_row,
    state_row,
    tasks_row,
)
from flamingoweir.policy import CancellationBudget
from flamingoweir.queues._handler import MAX_BACKLOG_AGE_S
from flamingoweir.storage import RowId, StoreRefused
from tests.utils.cluster import QUEUE, Cluster, make_job, make_step, run_cluster
from tests.utils.virtual_time import current_process, run_virtual


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


def find_early_rows(cluster: Cluster) -> set[RowId]:
    """Return the ids of the cancellations of jobs that aren't stored."""
    return {row for row in cluster.rows.row_by_id if row.table == EARLY_CANCEL_TABLE}


async def freeze(cluster: Cluster, job, hold_s: float) -> FlamingoweirError | None:
    """Submit a job to an instance that is frozen; return the error, if any."""
    member = cluster.add_member("late")
    await anyio.sleep(1)
    current_process.set(member.process)
    cluster.tasks.start_soon(resume_after, member, hold_s)
    member.process.paused = True
    try:
        await cluster.submit(job, member)
    except FlamingoweirError as error:
        return error
    return None


async def resume_after(member, pause_s: float) -> None:
    current_process.set(None)
    await anyio.sleep(pause_s)
    member.process.resume()


async def write_late(cluster: Cluster, job, hold_s: float) -> None:
    """Submit a job whose write gets no answer and takes effect later."""
    member = cluster.add_member("late")
    await anyio.sleep(1)
    member.store.lose_answers, member.store.delivery_delay_s = 10, hold_s
    with pytest.raises(FlamingoweirError):
        await cluster.submit(job, member)
    await anyio.sleep(hold_s)
    member.store.lose_answers = 0
    await member.instance.handler.find_state("f" * 16, 2.0)


async def repeat(cluster: Cluster, job, hold_s: float) -> FlamingoweirError | None:
    """Submit a job late, as the first time; return the error, if any."""
    await anyio.sleep(hold_s)
    try:
        await cluster.submit(job, list(cluster.member_by_name.values())[-1])
    except FlamingoweirError as error:
        return error
    return None


@pytest.mark.parametrize("submit_late", [freeze, write_late, repeat])
@pytest.mark.parametrize("hold_s", [3.0, 8.0])
@pytest.mark.parametrize("owner_lost", [False, True])
def test_submission_is_stored_after_its_cancellation(submit_late, hold_s, owner_lost):
    """Guards against a job that runs though its cancellation was acknowledged."""

    async def scenario():
        async with run_cluster(members=3) as cluster:
            owner = await cluster.owner()
            job = make_job(1, make_step(2, lasting=True))
            errors = []

            async def submit() -> None:
                errors.append(await submit_late(cluster, job, hold_s))

            cluster.tasks.start_soon(submit)
            await anyio.sleep(1.5)
            handler = list(cluster.member_by_name.values())[1].instance.handler
            assert await handler.cancel(job.id, 2.0) is False
            if owner_lost:
                cluster.kill_member(owner)
            await anyio.sleep(hold_s + 4)
            if submit_late is repeat:
                assert errors[0].code is ErrorCode.CONFLICT
                assert errors[0].verdict is Verdict.NOT_RUN
            assert not cluster.records("start")
            assert await cluster.state(job) is None

    run_virtual(scenario)


async def refuse_write(transaction) -> int:
    raise StoreRefused("the store can only be read")


@pytest.mark.parametrize("fault", ["not written", "written late"])
def test_early_cancellation_without_an_answer(fault):
    """Guards against cancellations that are acknowledged without having been stored.

    One that the store carries out late doesn't cancel what was submitted meanwhile.
    """

    async def scenario():
        async with run_cluster(members=3) as cluster:
            await cluster.owner()
            job = make_job(1, make_step(1, lasting=True))
            member = cluster.add_member("far")
            await anyio.sleep(1)
            if fault == "not written":
                member.store.transact = refuse_write
                with pytest.raises(FlamingoweirError) as caught:
                    await member.instance.handler.cancel(job.id, 2.0)
                assert caught.value.verdict is Verdict.NOT_RUN
            else:
                member.store.lose_answers, member.store.delivery_delay_s = 10, 3.0
                with pytest.raises(FlamingoweirError) as caught:
                    await member.instance.handler.cancel(job.id, 2.0)
                assert caught.value.verdict is Verdict.MAY_HAVE_RUN
            await cluster.submit(job)
            await anyio.sleep(4)
            if fault == "written late":
                await member.instance.handler.find_state(job.id, 2.0)
            await anyio.sleep(2)
            assert await cluster.state(job) is JobState.RUNNING

    run_virtual(scenario)


def test_job_is_stored_while_its_cancellation_is_written():
    """Guards against a cancellation that is acknowledged for a job that goes on."""

    async def scenario():
        async with run_cluster() as cluster:
            await cluster.owner()
            job = make_job(1, make_step(1, lasting=True))
            member = cluster.add_member("far")
            await anyio.sleep(1)
            transact = member.store.transact

            async def submit_before(transaction) -> int:
                member.store.transact = transact
                await cluster.submit(job)
                return await transact(transaction)

            member.store.transact = submit_before
            assert await member.instance.handler.cancel(job.id, 2.0) is True
            await cluster.wait_for(job, JobState.CANCELLED, 2.0)

    run_virtual(scenario)


def test_early_cancellation_keeps_out_jobs_of_its_customer_only():
    """Guards against customers who keep out each other's submissions."""

    async def scenario():
        async with run_cluster() as cluster:
            await cluster.owner()
            handler = next(iter(cluster.member_by_name.values())).instance.handler
            assert not await handler.cancel(make_job(1).id, 2.0, "kaje80")
            await cluster.submit(make_job(1, customer="lume22"))
            assert not await handler.cancel(make_job(2).id, 2.0, "kaje80")
            with pytest.raises(FlamingoweirError):
                await cluster.submit(make_job(2, customer="kaje80"))

    run_virtual(scenario)


def test_crowd_of_early_cancellations_is_bounded():
    """Guards against cancellations of unknown ids that take the store's writes.

    Nothing is acknowledged without a row, a repeat takes no write, and an ordinary
    submission is stored meanwhile.
    """

    async def scenario():
        async with run_cluster(members=1) as cluster:
            await cluster.owner()
            handler = next(iter(cluster.member_by_name.values())).instance.handler
            acknowledged, waits_s = [], []

            async def cancel(job_id: str, customer: str) -> None:
                try:
                    await handler.cancel(job_id, 2.0, customer)
                except FlamingoweirError as error:
                    assert error.code is ErrorCode.OVERLOADED
                    waits_s.append(error.retry_after_s)
                else:
                    acknowledged.append(early_cancel_row("s0", job_id, customer))

            async with anyio.create_task_group() as tasks:
                for number in range(300):
                    job_id = make_job(10 + number).id
                    tasks.start_soon(cancel, job_id, ("kaje80", "lume22")[number % 2])
                await cluster.submit(make_job(1))
            assert 15 <= len(acknowledged) <= 25
            assert len(waits_s) == 300 - len(acknowledged)
            assert min(waits_s) >= 1
            stored = find_early_rows(cluster)
            assert stored == set(acknowledged)
            job_id = acknowledged[0].key.partition(".")[0]
            version = cluster.rows.row_by_id[acknowledged[0]].version
            for customer in ("kaje80", "lume22"):
                if early_cancel_row("s0", job_id, customer) == acknowledged[0]:
                    assert not await handler.cancel(job_id, 2.0, customer)
            assert cluster.rows.row_by_id[acknowledged[0]].version == version

    run_virtual(scenario)


def test_cancellation_budget_counts_a_bounded_number_of_customers():
    """Guards against memory that grows with the names of customers."""
    budget = CancellationBudget()
    admitted = 0
    for second in range(10_000):
        admitted += not budget.admit(f"customer-{second}", second / 100)
    assert 500 <= admitted <= 520
    assert len(budget._by_customer) <= 1001


def test_early_cancellations_are_deleted():
    """Guards against rows that nobody deletes, also after changes of owner.

    One that is repeated is kept for as long again.
    """

    async def scenario():
        async with run_cluster(members=3) as cluster:
            owner = await cluster.owner()
            first, second = make_job(1), make_job(2)
            for job in (first, second):
                await owner.instance.handler.cancel(job.id, 2.0)
            await anyio.sleep(EARLY_CANCEL_KEPT_S - 80)
            cluster.kill_member(owner)
            owner = await cluster.owner()
            await owner.instance.handler.cancel(second.id, 2.0)
            await anyio.sleep(70)
            for job in (first, second):
                with pytest.raises(FlamingoweirError):
                    await cluster.submit(job)
            await anyio.sleep(90)
            stored = find_early_rows(cluster)
            assert stored == {early_cancel_row("s0", second.id, "")}
            await cluster.submit(first)
            await anyio.sleep(EARLY_CANCEL_KEPT_S)
            assert not find_early_rows(cluster)

    run_virtual(scenario)


def test_job_without_a_job_row_that_has_ended_is_cancelled_for_good():
    """Guards against a repeat that is stored while the rows of its job are deleted."""

    async def scenario():
        async with run_cluster() as cluster:
            await cluster.owner()
            job = make_job(1)
            state = encode_state(StateRecord(JobState.DONE))
            cluster.rows.put(state_row("s0", job.id), state)
            handler = next(iter(cluster.member_by_name.values())).instance.handler
            assert await handler.cancel(job.id, 2.0) is True
            with pytest.raises(FlamingoweirError):
                await cluster.submit(job)

    run_virtual(scenario)


async def play_cancellation(generator: random.Random) -> str:
    """Submit a job and cancel it, each at an instance of its own; return the order.

    One of the instances is frozen meanwhile, or its writes are carried out late.
    """
    async with run_cluster(members=4, seed=generator.randrange(1000)) as cluster:
        owner = await cluster.owner()
        others = [m for m in cluster.member_by_name.values() if m is not owner]
        submitter, canceller = generator.sample(others, 2)
        job = make_job(1, make_step(2, lasting=True))
        done_s: dict[str, float] = {}

        async def submit() -> None:
            await anyio.sleep(generator.uniform(0, 1))
            current_process.set(submitter.process)
            cluster.spec_by_id[job.id] = job
            for _ in range(generator.choice((1, 2))):
                try:
                    await submitter.instance.handler.submit(job, 2.0)
                    done_s["accepted"] = anyio.current_time()
                    return
                except FlamingoweirError as error:
                    done_s["refused"] = anyio.current_time()
                    if error.verdict is Verdict.NOT_RUN:
                        return

        async def cancel() -> None:
            await anyio.sleep(generator.uniform(0, 1))
            current_process.set(canceller.process)
            try:
                await canceller.instance.handler.cancel(job.id, 2.0)
            except FlamingoweirError:
                return
            done_s["cancelled"] = anyio.current_time()

        async def disturb() -> None:
            member = generator.choice((submitter, submitter, canceller))
            await anyio.sleep(generator.uniform(0, 1))
            if generator.random() < 0.5:
                member.process.paused = True
                await anyio.sleep(generator.uniform(0.2, 3))
                member.process.resume()
                return
            member.store.lose_answers = generator.choice((1, 2, 10))
            member.store.delivery_delay_s = generator.uniform(0, 4)
            await anyio.sleep(4)
            member.store.lose_answers = 0

        async with anyio.create_task_group() as tasks:
            for step in (submit, cancel, disturb):
                tasks.start_soon(step)
        if generator.random() < 0.3:
            cluster.kill_member(await cluster.owner())
        await anyio.sleep(2)
        # The store carries out what is late with the next call.
        for member in (submitter, canceller):
            await member.instance.handler.find_state(job.id, 2.0)
        await anyio.sleep(5)
        running = [r.id for r in cluster.runner_by_id.values() if r.tasks]
        if "cancelled" in done_s:
            assert not running
            assert await cluster.state(job) in (None, JobState.CANCELLED)
        elif "accepted" in done_s:
            assert await cluster.state(job) is not None
        if "cancelled" not in done_s:
            return "none"
        accepted_s = done_s.get("accepted", float("inf"))
        return "before" if done_s["cancelled"] < accepted_s else "after"


def test_cancelled_jobs_do_not_run_whenever_they_are_cancelled(capsys):
    """Guards against jobs that run after a cancellation before, during or after it."""
    examples = int(os.environ.get("HISTORY_EXAMPLES", "40"))
    count_by_order = {"before": 0, "after": 0, "none": 0}
    for seed in range(examples):
        count_by_order[run_virtual(play_cancellation, random.Random(seed))] += 1
    with capsys.disabled():
        print(f"\ncancelled before or after the accept, or not: {count_by_order}")
    assert count_by_order["before"] > examples / 8
    assert count_by_order["after"] > examples / 8
