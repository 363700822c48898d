"""Runners that are slow to report keep their work."""

import anyio

from flamingoweir.dispatch import StartOrder
from flamingoweir.jobs import JobState, Outcome, TaskId
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual


def test_report_that_arrives_late_takes_no_progress_for_a_stall():
    """Guards against work that is given up because its runner was slow to report.

    The response was made right after the poll was sent and then held up for three
    seconds, so that it shows little progress.
    """

    async def scenario():
        async with run_cluster(members=1, runners=1) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = make_job(1, make_step(1, estimate_s=100.0))
            cluster.plan_by_task[f"{job.id}.0.0.0"] = (100.0, Outcome.DONE)
            await cluster.submit(job)
            await cluster.wait_for(job, JobState.RUNNING, 2.0)
            await anyio.sleep(2.0)
            link = owner.link_by_runner["runner-0"]
            poll = link.poll

            async def poll_slowly(*args):
                report = await poll(*args[:-1], 0.0)
                await anyio.sleep(3.0)
                return report

            link.poll = poll_slowly
            await anyio.sleep(10.0)
            assert not cluster.records("stopped")

    run_virtual(scenario)


def test_checkpoint_of_a_run_is_that_of_its_end():
    """Guards against a stand-in whose next run is done before it was started.

    The runner is not called for a while after the run has failed.
    """

    async def scenario():
        async with run_cluster(members=0, runners=1) as cluster:
            job = make_job(1, make_step(1, checkpoints=True))
            cluster.spec_by_id[job.id] = job
            task = TaskId(job.id, 0, 0, 0)
            cluster.plan_by_task[f"{task}#1"] = (0.5, Outcome.FAILED)
            runner = cluster.runner_by_id["runner-0"]
            runner.start(StartOrder(task, 1, "", 9_000, 1, "", ""))
            await anyio.sleep(3.0)
            (end,) = runner.poll(1, 0, 9_000).ended
            assert float(end.checkpoint) == 0.5

    run_virtual(scenario)
