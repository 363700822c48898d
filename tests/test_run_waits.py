"""Times without progress that go on with the next owner.

What comes of it for a hung task is in test_waits_begun_anew_by_owners.py.
"""

import anyio
import pytest

from flamingoweir.dispatch._run_waits import RunWaits
from flamingoweir.fleet import Runner
from flamingoweir.jobs import AttemptState, Job, JobState, Outcome
from flamingoweir.ownership import RunWait
from flamingoweir.policy import find_stalled, stall_s
from flamingoweir.registry import RunnerEntry
from tests.test_waits_begun_anew_by_owners import INSTANCES, restart_owners
from tests.utils.cluster import make_job, run_cluster
from tests.utils.virtual_time import run_virtual

NAME = f"{make_job(1).id}.0.0.0#1"
NOW_S = 100.0


def start_run(since_s):
    """Return a job, its runner and the allocation of its run without progress."""
    job = Job(make_job(1))
    attempt = job.start(job.run_by_step[0, 0], 0, "a", 1, since_s)
    attempt.state = AttemptState.RUNNING
    attempt.last_progress_s = since_s
    runner = Runner(RunnerEntry("a", 1, "s", "host:1", "zone"), 10.0)
    allocation = runner.add(attempt, job.spec.steps[0])
    return job, runner, allocation


def test_time_without_progress_goes_on_with_the_next_owner():
    """Guards against a limit that is not the one the former owner had reached."""
    waits = RunWaits()
    job, runner, allocation = start_run(NOW_S)
    allocation.earlier_stalls = 1
    allocation.attempt.progress_percent = 40.0
    allocation.attempt.slowest_percent_s = 0.5
    runner.record_response(0.0, NOW_S + 2.0)
    waits.record_report(runner, NOW_S + 2.0)
    listed = dict(waits.list_waits())
    assert listed == {NAME: RunWait(40.0, 2.0, 0.5, 1)}

    later = RunWaits(listed)
    job, runner, restored = start_run(500.0)
    later.restore(runner, restored)
    assert dict(later.list_waits()) == listed
    later.take_over(restored, job, 501.0)
    assert restored.attempt.progress_percent == 40.0
    assert stall_s(restored) == stall_s(allocation)
    assert not find_stalled(runner, 501.0 + stall_s(restored) - 2.1)
    assert find_stalled(runner, 501.0 + stall_s(restored) - 1.9)
    assert not dict(later.list_waits())
    assert job.run_by_step[0, 0].tasks[0].stalls == 1


@pytest.mark.parametrize(
    ("still_s", "state", "is_held"),
    [
        (0.5, AttemptState.RUNNING, True),
        (2.0, AttemptState.STOPPING, True),
        (2.0, AttemptState.RUNNING, False),
    ],
)
def test_run_that_may_not_be_hung_is_not_passed_on(still_s, state, is_held):
    """Guards against a row that is full of runs that get on or are gone."""
    waits = RunWaits({NAME: RunWait(0.0, 9.0, 0.0, 0)})
    _, runner, allocation = start_run(NOW_S)
    waits.restore(runner, allocation)
    if not is_held:
        runner.remove(allocation.attempt.task, allocation.attempt.run)
        assert not dict(waits.list_waits())
        return
    allocation.attempt.state = state
    runner.record_response(0.0, NOW_S + still_s)
    fresh = RunWaits()
    fresh.record_report(runner, NOW_S + still_s)
    assert not dict(fresh.list_waits())


def test_time_since_the_latest_response_does_not_count():
    """Guards against a runner that stands still, whose runs count as hung."""
    waits = RunWaits()
    _, runner, _ = start_run(NOW_S)
    runner.record_response(0.0, NOW_S + 1.0)
    waits.record_report(runner, NOW_S + 5.0)
    assert dict(waits.list_waits())[NAME].still_s == 1.0


def test_slow_task_is_not_taken_for_a_hung_one_as_owners_change():
    """Guards against progress between two owners that does not count."""

    async def scenario():
        async with run_cluster(INSTANCES) as cluster:
            await cluster.owner()
            await anyio.sleep(3.0)
            job = make_job(1)
            cluster.plan_by_task[f"{job.id}.0.0.0"] = (200.0, Outcome.DONE)
            await cluster.submit(job)
            await cluster.wait_for(job, JobState.RUNNING, 2.0)
            await restart_owners(cluster)
            await anyio.sleep(5.0)
            assert not cluster.records("stopped")

    run_virtual(scenario)
