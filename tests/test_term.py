"""Jobs that instances run with a store and runners in memory, under faults."""

import anyio

from flamingoweir.jobs import (
    JobState,
    Outcome,
    QueuePolicy,
)
from tests.utils.cluster import SILENT_RUNNER_LAPSE_S, make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual


def test_job_of_two_steps_runs_in_order():
    """A step must not start before all tasks of the step it depends on have ended."""

    async def scenario():
        async with run_cluster() as cluster:
            await cluster.owner()
            job = await cluster.submit(
                make_job(1, make_step(3), make_step(2, after=(0,)))
            )
            await cluster.wait_for(job, JobState.DONE, 4.0)
            ends = [r.at_s for r in cluster.records("done") if r.task.step == 0]
            starts = [r.at_s for r in cluster.records("start") if r.task.step == 1]
            assert max(ends) <= min(starts)
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_next_step_starts_without_delay():
    """The next step starts at once, not after a poll or write interval.

    Two steps of one second each must be done within 2.3 s.
    """

    async def scenario():
        async with run_cluster() as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(), make_step(after=(0,))))
            taken_s = await cluster.wait_for(job, JobState.DONE, 4.0)
            assert taken_s < 2.3

    run_virtual(scenario)


def test_new_owner_continues_within_two_and_a_half_seconds():
    """A standby must take over before the leases that a killed owner granted lapse.

    Otherwise running tasks would be killed, or started twice, when an instance fails.
    """

    async def scenario():
        async with run_cluster(members=3) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(
                make_job(1, make_step(2), make_step(2, after=(0,)))
            )
            await anyio.sleep(0.5)
            cluster.kill_member(owner)
            taken_s = await cluster.wait_for(job, JobState.DONE, 8.0)
            assert taken_s < 0.5 + 2.5 + 1.0
            assert not cluster.find_overlaps()
            assert not cluster.records("lapsed")

    run_virtual(scenario)


def test_paused_owner_starts_nothing_after_it_resumes():
    """A paused process must not start tasks on stale state when it resumes.

    Another instance owns the shard by then, and tasks would run twice.
    """

    async def scenario():
        async with run_cluster(members=3) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            jobs = [await cluster.submit(make_job(n, make_step(4))) for n in range(3)]
            owner.process.paused = True
            await anyio.sleep(6)
            owner.process.resume()
            for job in jobs:
                await cluster.wait_for(job, JobState.DONE, 10.0)
            await anyio.sleep(5)
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_owner_without_store_connection_is_replaced():
    """An owner that gets no answers from the store must lose the shard to a standby.

    Otherwise no job would make progress while that instance stays up.
    """

    async def scenario():
        async with run_cluster(members=3) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            owner.store.silent = True
            del cluster.member_by_name[owner.name]
            job = await cluster.submit(make_job(1, make_step(4)))
            taken_s = await cluster.wait_for(job, JobState.DONE, 8.0)
            assert taken_s < 2.6 + 1.0
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_store_outage_lapses_no_lease():
    """A store outage of five seconds and a half must not end running tasks.

    The owner can't write, but continues to extend the leases of its runners.
    """

    async def scenario():
        async with run_cluster() as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(lasting=True)))
            await cluster.wait_for(job, JobState.RUNNING, 2.0)
            for member in cluster.member_by_name.values():
                member.store.down = True
            await anyio.sleep(5.5)
            for member in cluster.member_by_name.values():
                member.store.down = False
            await anyio.sleep(3)
            assert not cluster.records("lapsed")
            assert len(cluster.records("start")) == 1

    run_virtual(scenario)


def test_tasks_of_a_crashed_runner_move_after_its_lease():
    """Tasks of a crashed runner are started elsewhere once its leases have lapsed.

    Starting them earlier could run a task twice; not starting them would lose it.
    """

    async def scenario():
        async with run_cluster(runners=2) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            # Eight tasks need more than the remaining runner has, so that the owner
            # would use the crashed runner if it considered that runner usable.
            job = await cluster.submit(make_job(1, make_step(8, lasting=True)))
            await cluster.wait_for(job, JobState.RUNNING, 2.0)
            await anyio.sleep(1)
            cluster.runner_by_id["runner-0"].crash()
            cluster.unlist_runner("runner-0")
            cluster.add_runner("runner-2")
            await anyio.sleep(6)
            moved = [r for r in cluster.records("start") if r.runner == "runner-2"]
            assert len(moved) == 4
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_crashed_runner_that_stays_listed_loses_its_tasks():
    """A crashed runner whose entry stays in the table must not keep its tasks.

    Tasks would be lost if only the table decided which runners are in use.
    """

    async def scenario():
        async with run_cluster(runners=2) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(2, 3.0, lasting=True)))
            await cluster.wait_for(job, JobState.RUNNING, 2.0)
            cluster.runner_by_id["runner-0"].crash()
            cluster.add_runner("runner-2")
            await anyio.sleep(6)
            assert {r.runner for r in cluster.records("start")} >= {"runner-2"}

    run_virtual(scenario)


def test_late_start_order_starts_nothing():
    """A start order that arrives three seconds late must not start its task.

    The order got no answer, and a later order has started the task meanwhile.
    """

    async def scenario():
        async with run_cluster(members=1, runners=2) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            for link in owner.link_by_runner.values():
                link.lose_starts = 1
                link.delivery_delay_s = 3.0
            job = await cluster.submit(make_job(1, make_step(4)))
            await cluster.wait_for(job, JobState.DONE, 8.0)
            await anyio.sleep(5)
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_restarted_runner_runs_its_tasks_once_more():
    """Tasks that a runner lost in a restart are started again, and only once.

    The new incarnation has the same id and could be taken for the former one.
    """

    async def scenario():
        async with run_cluster(runners=1) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(2)))
            await anyio.sleep(0.5)
            cluster.runner_by_id["runner-0"].restart()
            cluster.list_runner("runner-0")
            await cluster.wait_for(job, JobState.DONE, 6.0)
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_end_is_acknowledged_once_it_is_durable():
    """An end is acknowledged only after it was written to the store.

    A runner discards acknowledged ends, so that an end acknowledged too early would be
    lost if the owner failed.
    """

    async def scenario():
        async with run_cluster(members=1, runners=1) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1))
            await anyio.sleep(0.5)
            owner.store.down = True
            await anyio.sleep(1.5)
            assert cluster.records("done")
            assert not cluster.records("noted")
            owner.store.down = False
            await cluster.wait_for(job, JobState.DONE, 3.0)
            await anyio.sleep(0.5)
            assert cluster.records("noted")

    run_virtual(scenario)


def test_cancelled_job_stops_and_starts_nothing():
    """Cancelling a job stops its tasks; an unknown job can't be cancelled."""

    async def scenario():
        async with run_cluster() as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(2, lasting=True)))
            await cluster.wait_for(job, JobState.RUNNING, 2.0)
            assert await owner.instance.handler.cancel(job.id, 2.0)
            await anyio.sleep(0.5)
            assert len(cluster.records("stopped")) == 2
            assert await cluster.state(job) is JobState.CANCELLED
            assert not await owner.instance.handler.cancel("f" * 16, 2.0)

    run_virtual(scenario)


def test_new_owner_stops_a_job_cancelled_without_an_owner():
    """A cancellation that is accepted while no instance owns the shard takes effect.

    It is only a row in the store, which the new owner must read.
    """

    async def scenario():
        async with run_cluster(members=3) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(2, lasting=True)))
            await cluster.wait_for(job, JobState.RUNNING, 2.0)
            cluster.kill_member(owner)
            other = next(iter(cluster.member_by_name.values()))
            assert await other.instance.handler.cancel(job.id, 2.0)
            await anyio.sleep(2.8)
            assert len(cluster.records("stopped")) == 2

    run_virtual(scenario)


def test_task_that_fails_too_often_fails_its_job():
    """A task that fails ``max_attempts`` times fails its job and is started no more."""

    async def scenario():
        async with run_cluster() as cluster:
            await cluster.owner()
            job = make_job(1, policy=QueuePolicy("turning", 1, 2))
            cluster.plan_by_task[f"{job.id}.0.0.0"] = (0.2, Outcome.FAILED)
            await cluster.submit(job)
            await cluster.wait_for(job, JobState.FAILED, 4.0)
            await anyio.sleep(1)
            assert len(cluster.records("start")) == 2

    run_virtual(scenario)


def test_next_attempt_resumes_from_the_checkpoint():
    """A task of three seconds that is stopped resumes from its checkpoint.

    Without the checkpoint it would repeat the work that was done before the stop.
    """

    async def scenario():
        async with run_cluster(runners=1) as cluster:
            await cluster.owner()
            job = make_job(1, make_step(checkpoints=True))
            task = f"{job.id}.0.0.0"
            cluster.plan_by_task[task] = (3.0, Outcome.DONE)
            await cluster.submit(job)
            await cluster.wait_for(job, JobState.RUNNING, 2.0)
            await anyio.sleep(1.5)
            owner = await cluster.owner()
            owner_state = owner.instance.term.owner_state
            (attempt,) = owner_state.job_by_id[job.id].attempts()
            owner_state.stop_attempt(attempt, "test")
            taken_s = await cluster.wait_for(job, JobState.DONE, 3.0)
            assert taken_s < 2.0

    run_virtual(scenario)


def test_restarted_instances_use_no_runner_that_has_left_or_is_in_an_evacuated_zone():
    """Guards against decisions that are forgotten when all processes restart."""

    async def scenario():
        async with run_cluster(members=2, runners=2) as cluster:
            cluster.add_runner("runner-far", zone="gwynedd")
            await cluster.owner()
            await anyio.sleep(1)
            cluster.evacuate_zone("gwynedd")
            # It left the table, but still responds.
            cluster.unlist_runner("runner-0")
            await anyio.sleep(4)
            for member in list(cluster.member_by_name.values()):
                cluster.kill_member(member)
            for number in range(2):
                cluster.add_member(f"front-{number}")
            await cluster.owner()
            job = await cluster.submit(make_job(1, make_step(8)))
            await cluster.wait_for(job, JobState.DONE, 8.0)
            assert {r.runner for r in cluster.records("start")} == {"runner-1"}

    run_virtual(scenario)


def test_evacuated_zone_gets_no_tasks():
    """No task may start in a zone that operators have evacuated."""

    async def scenario():
        async with run_cluster(runners=2) as cluster:
            cluster.add_runner("elsewhere", zone="gwynedd")
            await cluster.owner()
            await anyio.sleep(1)
            cluster.evacuate_zone("powys")
            await anyio.sleep(0.1)
            job = await cluster.submit(make_job(1, make_step(4)))
            await cluster.wait_for(job, JobState.DONE, 4.0)
            assert {r.runner for r in cluster.records("start")} == {"elsewhere"}

    run_virtual(scenario)


def test_draining_runner_gets_no_new_tasks():
    """A draining runner is about to stop, which would interrupt new tasks."""

    async def scenario():
        async with run_cluster(runners=2) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            cluster.list_runner("runner-0", state="draining")
            await anyio.sleep(0.1)
            job = await cluster.submit(make_job(1, make_step(3)))
            await cluster.wait_for(job, JobState.DONE, 4.0)
            assert {r.runner for r in cluster.records("start")} == {"runner-1"}

    run_virtual(scenario)


def test_gang_starts_whole_or_not_at_all():
    """A gang that does not fit must not hold resources while it waits.

    The smaller gang runs first, and each gang starts in a single run.
    """

    async def scenario():
        async with run_cluster(runners=2) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            big = await cluster.submit(make_job(1, make_step(3, 3.0, gang=True)))
            small = await cluster.submit(make_job(2, make_step(2, 3.0, gang=True)))
            await cluster.wait_for(small, JobState.DONE, 4.0)
            assert await cluster.state(big) is JobState.PENDING
            cluster.add_runner("runner-2")
            await cluster.wait_for(big, JobState.DONE, 4.0)
            runs = {r.run for r in cluster.records("start")}
            assert runs == {1}

    run_virtual(scenario)


def test_truncated_history_hides_no_job():
    """A job that is added while the store discards its history must be found.

    A feed that continues after the gap would never report the job.
    """

    async def scenario():
        async with run_cluster() as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            cluster.rows.discard_history()
            job = await cluster.submit(make_job(1))
            cluster.rows.discard_history()
            await cluster.wait_for(job, JobState.DONE, 4.0)

    run_virtual(scenario)


def test_restart_of_all_instances_loses_no_job():
    """Jobs survive a restart of all instances at once, without overlapping runs.

    The new owner must restore attempts whose runners have not answered it yet.
    """

    async def scenario():
        async with run_cluster(members=2) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(
                make_job(1, make_step(4), make_step(4, after=(0,)))
            )
            for member in list(cluster.member_by_name.values()):
                cluster.kill_member(member)
            await anyio.sleep(1.4)
            for number in range(2):
                cluster.add_member(f"front-{number}")
            await cluster.wait_for(job, JobState.DONE, 3.5 + SILENT_RUNNER_LAPSE_S)
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_stalled_task_is_started_elsewhere():
    """A task whose progress stops must be stopped and started on another runner.

    The runner answers polls, so that no lease lapses.
    """

    async def scenario():
        async with run_cluster(runners=2) as cluster:
            await cluster.owner()
            job = make_job(1)
            cluster.plan_by_task[f"{job.id}.0.0.0#1"] = (10_000.0, Outcome.DONE)
            await cluster.submit(job)
            await cluster.wait_for(job, JobState.DONE, 7.0)
            first, second = cluster.starts(f"{job.id}.0.0.0")
            assert first != second

    run_virtual(scenario)
