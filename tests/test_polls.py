"""Polls of runners: ends must be seen soon, with no polls that bring nothing new."""

import anyio
import pytest

from flamingoweir.dispatch import _watch
from flamingoweir.dispatch._owner_state import OwnerState
from flamingoweir.dispatch._watch import DURABLE_WAIT_S, POLL_WAIT_S, RunnerWatch
from flamingoweir.fleet import Runner
from flamingoweir.jobs import JobState, Outcome
from flamingoweir.registry import RunnerEntry
from flamingoweir.standins import MemoryRunnerLink
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual

#: Longest time in seconds for which a long-running task may be kept from running.
MAX_NOTICED_S = 9.0


def test_starts_cause_no_poll_while_ends_are_not_durable(monkeypatch):
    """Guards against polls that list the same ends again.

    While ends can't be acknowledged yet, a runner answers every poll at once. A start
    that is confirmed meanwhile must not cause such a poll: where tasks are short, it
    would double the number of polls.
    """
    poll_end_s = {}
    early = []

    async def poll(link, fence, acknowledged, deadline_ms, wait_s):
        now_s = anyio.current_time()
        received, durable, at_s = poll_end_s.get(link, (0, 0, 0.0))
        if received > acknowledged and now_s < at_s + DURABLE_WAIT_S - 1e-6:
            early.append((now_s, received, acknowledged))
        report = await original_poll(link, fence, acknowledged, deadline_ms, wait_s)
        numbers = [end.number for end in report.ended]
        poll_end_s[link] = (max(numbers, default=0), acknowledged, anyio.current_time())
        return report

    original_poll = MemoryRunnerLink.poll
    monkeypatch.setattr(MemoryRunnerLink, "poll", poll)

    async def scenario():
        async with run_cluster(members=1, runners=3) as cluster:
            owner = await cluster.owner()
            owner.store.delay_s = 0.05
            await anyio.sleep(1)
            jobs = []
            for number in range(12):
                step = make_step(5, estimate_s=0.3)
                job = make_job(number, step, make_step(5, after=(0,), estimate_s=0.3))
                for index in range(5):
                    plan = (0.2 + 0.037 * index, Outcome.DONE)
                    cluster.plan_by_task[f"{job.id}.0.0.{index}"] = plan
                    cluster.plan_by_task[f"{job.id}.0.1.{index}"] = plan
                jobs.append(await cluster.submit(job))
                await anyio.sleep(0.1)
            for job in jobs:
                await cluster.wait_for(job, JobState.DONE, 20.0)

    run_virtual(scenario)
    assert early == []


def test_idle_runner_that_is_dark_keeps_its_task_for_long():
    """Guards against a loss that is noticed with the next poll of an idle runner only.

    Such a poll may be five seconds away. Seed 2887150612 of
    `test_long_running_tasks_run_again_in_time_and_never_twice`.
    """

    async def scenario():
        async with run_cluster(members=1, runners=2) as cluster:
            await cluster.owner()
            # Soon after the second poll of the idle runners has ended.
            await anyio.sleep(6.5)
            for runner in cluster.runner_by_id.values():
                runner.crash()
            job = await cluster.submit(make_job(1, make_step(lasting=True)))
            await anyio.sleep(0.2)
            cluster.add_runner("spare", 8)
            started_s = anyio.current_time()
            await cluster.wait_for(job, JobState.RUNNING, 15.0)
            assert anyio.current_time() - started_s < MAX_NOTICED_S

    run_virtual(scenario)


@pytest.mark.parametrize("offset_s", [0.0, 0.2, 0.4, 0.6, 0.8])
def test_run_that_never_started_keeps_its_task_for_two_polls(offset_s):
    """Guards against a poll that waits for the end of a run that is not there.

    The start order is lost, and its runner may be given no tasks by then. Seed
    887376376 of `test_long_running_tasks_run_again_in_time_and_never_twice`.
    """

    async def scenario():
        async with run_cluster(members=1, runners=1) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            # Keeps the runner polled.
            await cluster.submit(make_job(1, make_step(lasting=True)))
            await anyio.sleep(2 + offset_s)
            (link,) = owner.link_by_runner.values()
            link.lose_starts, link.delivery_delay_s = 1, 30.0
            job = await cluster.submit(make_job(2))
            await anyio.sleep(0.1)
            cluster.add_runner("other")
            cluster.list_runner("runner-0", state="draining")
            drained_s = anyio.current_time()
            while not cluster.starts(f"{job.id}.0.0.0"):
                await anyio.sleep(0.01)
            # The order times out, and the poll that is under way ends.
            assert anyio.current_time() - drained_s < 0.5 + POLL_WAIT_S + 0.2

    run_virtual(scenario)


@pytest.mark.parametrize("delay_s", [0.001, 0.03, 0.06])
def test_neither_ends_nor_starts_wait_for_a_steady_stream_of_the_others(delay_s):
    """Guards against ends that no poll acknowledges while start orders are under way.

    There are always some, and each has to have its response first.
    """

    async def scenario():
        async with run_cluster(members=1, runners=1, processors=200) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            (link,) = owner.link_by_runner.values()
            link._delay_s = delay_s
            submitted_s = {}
            for number in range(200):
                job = make_job(number)
                cluster.plan_by_task[f"{job.id}.0.0.0"] = (0.3, Outcome.DONE)
                submitted_s[job.id] = anyio.current_time()
                await cluster.submit(job)
                await anyio.sleep(0.02 + delay_s)
            await anyio.sleep(3.0)
            waited_s = {"start": [], "noted": []}
            for record in cluster.records():
                job_id = record.task.job
                if record.kind == "done":
                    submitted_s[job_id] = record.at_s
                if record.kind in waited_s:
                    waited_s[record.kind].append(record.at_s - submitted_s[job_id])
            assert len(waited_s["start"]) == len(waited_s["noted"]) == 200
            assert max(waited_s["start"]) < 1.0
            assert max(waited_s["noted"]) < 2.0

    run_virtual(scenario)


@pytest.mark.parametrize("lasting, is_deferred", [(False, True), (True, False)])
def test_start_of_a_long_running_task_does_not_wait_for_ends(lasting, is_deferred):
    """Guards against a task that is held open for longer if its owner is lost then."""
    runner = Runner(RunnerEntry("r", 1, "", "host:1", ""), 10.0)
    spec = make_step(lasting=lasting)
    assert not runner.must_defer_start(spec, 0.0)
    runner.record_withheld(0.0)
    assert runner.must_defer_start(spec, 0.01) is is_deferred
    assert not runner.must_defer_start(spec, 0.5)
    # Neither waits for the other for good.
    assert runner.must_defer_start(spec, 1.1)
    assert not runner.must_defer_start(spec, 1.3)


def test_leases_on_a_leaving_runner_with_long_reports_are_renewed(monkeypatch):
    """Guards against a pause after each report in which short leases lapse."""
    monkeypatch.setattr(_watch, "SHORT_REPORT", 10)
    monkeypatch.setattr(_watch, "PAUSE_S_BY_ENTRY", 0.1)

    async def scenario():
        async with run_cluster(members=1, runners=1, processors=40) as cluster:
            job = await cluster.submit(make_job(1, make_step(30, lasting=True)))
            await cluster.wait_for(job, JobState.RUNNING, 3.0)
            await anyio.sleep(2.0)
            cluster.list_runner("runner-0", state="draining")
            await anyio.sleep(8.0)
            assert len(cluster.records("start")) == 30
            assert not cluster.records("lapsed")

    run_virtual(scenario)


def test_next_owner_renews_leases_soon_after_a_long_report(monkeypatch):
    """Guards against leases that lapse in the pause that follows its first poll.

    The owner that is lost has renewed them up to 1 s before, and the next one has read
    a large shard meanwhile.
    """
    monkeypatch.setattr(_watch, "SHORT_REPORT", 10)
    monkeypatch.setattr(_watch, "PAUSE_S_BY_ENTRY", 0.1)
    polled_s, renewed_s = {}, {}
    poll, renew = MemoryRunnerLink.poll, MemoryRunnerLink.renew

    async def note_poll(link, fence, acknowledged, deadline_ms, wait_s):
        polled_s.setdefault(link, anyio.current_time())
        if deadline_ms is not None:
            renewed_s.setdefault(link, anyio.current_time())
        return await poll(link, fence, acknowledged, deadline_ms, wait_s)

    async def note_renewal(link, fence, deadline_ms):
        renewed_s.setdefault(link, anyio.current_time())
        await renew(link, fence, deadline_ms)

    monkeypatch.setattr(MemoryRunnerLink, "poll", note_poll)
    monkeypatch.setattr(MemoryRunnerLink, "renew", note_renewal)

    async def scenario():
        async with run_cluster(members=2, runners=1, processors=40) as cluster:
            job = await cluster.submit(make_job(1, make_step(30, lasting=True)))
            await cluster.wait_for(job, JobState.RUNNING, 3.0)
            await anyio.sleep(3.0)
            cluster.kill_member(await cluster.owner())
            await anyio.sleep(4.0)
            [link] = (await cluster.owner()).link_by_runner.values()
            assert renewed_s[link] - polled_s[link] < 0.3

    run_virtual(scenario)


def test_long_reports_are_applied_one_after_another(monkeypatch):
    """Guards against many reports that hold up the event loop by a slice each."""
    monkeypatch.setattr(_watch, "SHORT_REPORT", 10)
    under_way, most = [], []
    apply = RunnerWatch._apply

    async def count(self, report, sent_s):
        is_long = len(report.running) > 10
        under_way.extend([self] * is_long)
        most.append(len(under_way))
        await anyio.sleep(0.02)
        await apply(self, report, sent_s)
        if is_long:
            under_way.remove(self)

    monkeypatch.setattr(RunnerWatch, "_apply", count)

    async def scenario():
        async with run_cluster(members=1, runners=5, processors=20) as cluster:
            job = await cluster.submit(make_job(1, make_step(80, lasting=True)))
            await cluster.wait_for(job, JobState.RUNNING, 3.0)
            await anyio.sleep(4.0)
            assert len(cluster.records("start")) == 80

    run_virtual(scenario)
    assert max(most) == 1


@pytest.mark.parametrize("is_cancelled", [True, False])
def test_reports_of_runs_that_are_being_stopped_cost_little(monkeypatch, is_cancelled):
    """Guards against reports of stopped runs that take an owner's time for stops."""
    listed = []
    record_listed = OwnerState.record_listed

    def count(self, allocation, now_s):
        listed.append(allocation)
        record_listed(self, allocation, now_s)

    async def scenario():
        async with run_cluster(members=1, runners=1, processors=40) as cluster:
            runner = cluster.runner_by_id["runner-0"]
            runner.stop_s = 5.0
            owner = await cluster.owner()
            job = await cluster.submit(make_job(1, make_step(30, lasting=True)))
            await cluster.wait_for(job, JobState.RUNNING, 3.0)
            await anyio.sleep(2.0)
            if is_cancelled:
                await owner.instance.handler.cancel(job.id, 2.0)
                await anyio.sleep(0.5)
            monkeypatch.setattr(OwnerState, "record_listed", count)
            await anyio.sleep(3.0)
            assert len(runner.tasks) == 30

    run_virtual(scenario)
    assert bool(listed) is not is_cancelled
