"""Tasks of minutes are not taken for tasks that hang."""

import anyio
import pytest

from flamingoweir.dispatch import RunnerReport
from flamingoweir.fleet import Allocation, Runner
from flamingoweir.jobs import Attempt, AttemptState, Outcome, TaskId
from flamingoweir.policy import find_stalled
from flamingoweir.policy._stragglers import MAX_DOUBLINGS, STALL_S, stall_s
from flamingoweir.registry import RunnerEntry
from flamingoweir.standins import MemoryRunnerLink
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual


@pytest.fixture(autouse=True)
def whole_percents(monkeypatch):
    """Let runners report progress in whole percents, as the platform's do."""
    poll = MemoryRunnerLink.poll

    async def poll_rounded(self, *args):
        report = await poll(self, *args)
        running = []
        for task in report.running:
            percent = float(int(task.progress_percent))
            running.append(type(task)(task.task, task.run, task.checkpoint, percent))
        return RunnerReport(
            report.incarnation, report.clock_ms, running, list(report.ended)
        )

    monkeypatch.setattr(MemoryRunnerLink, "poll", poll_rounded)


#: Seconds of the first run that may be lost for a task of ten minutes whose declared
#: run time is far too low: it is stopped after 2.5 s, then after 5 s.
MAX_LOST_S = 15.0


@pytest.mark.parametrize("declared_s", [600.0, 1.0], ids=["right", "too_low"])
def test_task_of_ten_minutes_is_not_begun_anew_for_ever(declared_s):
    """Guards against a task that is stopped each time before its first percent."""

    async def scenario():
        async with run_cluster(members=2, runners=3) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            job = make_job(1, make_step(3, 3.0, estimate_s=declared_s))
            for index in range(3):
                task = f"{job.id}.0.0.{index}"
                cluster.plan_by_task[task] = (600.0, Outcome.DONE)
            await cluster.submit(job)
            await anyio.sleep(40.0)
            stopped = cluster.records("stopped")
            if declared_s == 600.0:
                assert not stopped
            latest_start_s = max(record.at_s for record in cluster.records("start"))
            assert anyio.current_time() - latest_start_s > 40.0 - MAX_LOST_S
            assert not cluster.find_overlaps()

    run_virtual(scenario)


@pytest.mark.parametrize("percent_s", [3.0, 6.0, 60.0, 150.0])
def test_time_to_a_stall_grows_until_a_slow_task_gets_on(percent_s):
    """Guards against a limit below the time that a percent takes, whatever it is."""
    step = make_step(estimate_s=1.0)
    for stalls in range(MAX_DOUBLINGS + 1):
        allocation = Allocation(Attempt(TaskId("job", 0, 0, 0), 1, "r", 1), step)
        allocation.earlier_stalls = stalls
        if stall_s(allocation) > percent_s:
            return
    raise AssertionError(f"a percent of {percent_s} s is never waited for")


def test_time_to_a_stall_begins_with_the_start():
    """Guards against a run that is stopped as hung since its start order has waited."""
    runner = Runner(RunnerEntry("r", 1, "s", "host:1", "zone"), 10.0)
    attempt = Attempt(TaskId("job", 0, 0, 0), 1, "r", 1, created_s=100.0)
    attempt.last_progress_s = attempt.created_s
    attempt.state = AttemptState.RUNNING
    allocation = runner.add(attempt, make_step(estimate_s=1.0))
    allocation.record_start(110.0)
    allocation.record_start(115.0)
    assert not find_stalled(runner, 110.0 + STALL_S - 0.1)
    assert find_stalled(runner, 110.0 + STALL_S + 0.1)


def test_slow_task_quarantines_one_runner_at_most():
    """Guards against sound runners that get nothing, as one task is slow on them."""

    async def scenario():
        async with run_cluster(members=2, runners=3) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = make_job(1, make_step(1, 3.0, estimate_s=1.0))
            cluster.plan_by_task[f"{job.id}.0.0.0"] = (900.0, Outcome.DONE)
            await cluster.submit(job)
            await anyio.sleep(12.0)
            assert len(cluster.records("stopped")) > 1
            records = owner.instance.term.owner_state.health._record_by_runner
            assert sum(bool(r.quarantine_s) for r in records.values()) <= 1

    run_virtual(scenario)


def test_rare_reports_do_not_make_a_quick_task_a_slow_one():
    """Guards against a hung task that is kept for long, as it was seldom polled."""
    allocation = Allocation(
        Attempt(TaskId("job", 0, 0, 0), 1, "r", 1), make_step(estimate_s=3.0)
    )
    for second, percent in enumerate((20.0, 50.0, 80.0)):
        allocation.attempt.record_progress(percent, 2.0 * second)
    assert stall_s(allocation) == STALL_S
