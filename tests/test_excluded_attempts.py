"""Runs of jobs that a new owner excludes must count, and be stopped."""

import dataclasses
import io

import anyio
import pytest

from flamingoweir import logs
from flamingoweir.dispatch._excluded_attempts import restore_excluded_attempts
from flamingoweir.dispatch._owner_state import OwnerState
from flamingoweir.jobs import Outcome, encode_spec, encode_tasks
from flamingoweir.metrics import NoMetrics
from flamingoweir.ownership import STATE_TABLE
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources
from flamingoweir.storage import RowId, VersionedRow
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import VirtualClock, run_virtual

CUSTOMER = "kaje80"
TASKS = 4


def make_capped(number: int):
    return make_job(number, make_step(TASKS), customer=CUSTOMER)


def find_most_running(cluster) -> int:
    """Return the largest number of runs at a time, by the records of the runners."""
    running, most = set(), 0
    for record in cluster.records():
        key = (record.runner, record.task, record.run)
        if record.kind == "start":
            running.add(key)
        elif record.kind not in ("noted", "reopened"):
            running.discard(key)
        most = max(most, len(running))
    return most


@pytest.mark.parametrize("cause", ["set_aside", "state_unreadable"])
def test_runs_of_an_excluded_job_count_after_a_take_over(cause):
    """Guards against a new owner that starts tasks beside runs that it excluded."""

    async def scenario():
        async with run_cluster(members=2, runners=2, processors=8) as cluster:
            cluster.configure(2, {CUSTOMER: Resources(1000 * TASKS, 0, 0)})
            for runner in cluster.runner_by_id.values():
                runner.stop_s = 4.0
            owner = await cluster.owner()
            await anyio.sleep(1)
            first = make_capped(1)
            for index in range(TASKS):
                plan = (30.0, Outcome.DONE)
                cluster.plan_by_task[f"{first.id}.0.0.{index}"] = plan
            await cluster.submit(first)
            await anyio.sleep(1)
            assert len(cluster.records("start")) == TASKS
            state = owner.instance.term.owner_state
            if cause == "set_aside":
                job = state.job_by_id[first.id]
                state.set_aside_job(job, "test_failed", ValueError())
                await anyio.sleep(0.4)
            cluster.kill_member(owner)
            if cause == "state_unreadable":
                shard = owner.instance.term._writer.shard
                cluster.rows.put(RowId(STATE_TABLE, shard, first.id), b"{")
            second = await cluster.submit(make_capped(2))
            await anyio.sleep(14)
            started = [r.task.job for r in cluster.records("start")]
            assert started.count(second.id) == TASKS
            assert find_most_running(cluster) <= TASKS + 1
            assert started.count(first.id) == TASKS
            # Nothing counts that has ended.
            state = (await cluster.owner()).instance.term.owner_state
            assert state.customer_usage.used_by(CUSTOMER) == Resources()

    run_virtual(scenario)


def make_task_row(spec) -> VersionedRow:
    """Return the row of a job with a running attempt at its first task."""
    former = OwnerState(VirtualClock(), NoMetrics(), 10.0)
    job = former.add_job(spec)
    job.restore_attempt(job.run_by_step[0, 0], 0, 1, "r", 1)
    row_id = RowId("tasks", "0", f"{spec.id}.0.0.0")
    return VersionedRow(row_id, encode_tasks(job, (0, 0, 0)), 1)


def test_attempts_of_an_excluded_job_are_released_and_counted_once():
    """Guards against usage that never ends, and against an attempt counted twice."""

    async def scenario():
        clock = VirtualClock()
        state = OwnerState(clock, NoMetrics(), 10.0)
        entry = RunnerEntry("r", 1, "s", "h:1", "z", capacity=Resources(8000, 0, 0))
        state.update_runners({"r": entry})
        spec = make_capped(1)
        rows = [make_task_row(spec)]
        jobs = [VersionedRow(RowId("jobs", "", spec.id), encode_spec(spec), 1)]
        for _ in range(2):
            restore_excluded_attempts(state, rows, jobs, clock.now())
            assert state.customer_usage.used_by(CUSTOMER) == Resources(1000, 0, 0)
        assert len(state.stops.pending) == 1
        state.discard_attempt(state.stops.pending[0], "not_listed")
        assert state.customer_usage.used_by(CUSTOMER) == Resources()

    run_virtual(scenario)


@pytest.mark.parametrize("job_value", [None, b"{"])
def test_task_rows_whose_job_cannot_be_read_stop_no_take_over(job_value):
    """Guards against runs left out of the sum without a line in the log."""
    stream = io.StringIO()
    logs.configure(stream, "info")

    async def scenario():
        clock = VirtualClock()
        state = OwnerState(clock, NoMetrics(), 10.0)
        spec = make_capped(1)
        job = VersionedRow(RowId("jobs", "", spec.id), job_value, 1)
        restore_excluded_attempts(state, [make_task_row(spec)], [job], clock.now())
        broken = dataclasses.replace(make_task_row(spec), value=b"{")
        job = dataclasses.replace(job, value=encode_spec(spec))
        restore_excluded_attempts(state, [broken], [job], clock.now())
        assert not state.runner_by_id
        assert not state.stops.pending

    try:
        run_virtual(scenario)
    finally:
        logs.configure(io.StringIO(), "error")
    assert stream.getvalue().count("event=attempts_not_counted") == 2
