"""An unexpected error that concerns one runner or one job touches no other."""

import anyio
import pytest

from flamingoweir.dispatch import _committer, _ready_steps
from flamingoweir.dispatch._planner import Planner
from flamingoweir.jobs import Job, JobState
from flamingoweir.policy import PlacementPolicy
from flamingoweir.registry import OperatorView
from flamingoweir.standins import MemoryRunnerLink
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual

#: Seconds after which a runner with an error has lost its tasks, and a new one is done:
#: the lease of 4 s, the margin for a slow clock and a run of 1 s.
MAX_MOVE_S = 6.0


def fail_on(monkeypatch, method: str, runner_id: str, broken: list) -> None:
    """Let a method of the links to one runner raise while `broken` is not empty."""
    original = getattr(MemoryRunnerLink, method)

    async def fail(self, *args, **kwargs):
        if broken and self.runner.id == runner_id:
            raise RuntimeError(f"a fault in {method}")
        return await original(self, *args, **kwargs)

    monkeypatch.setattr(MemoryRunnerLink, method, fail)


@pytest.mark.parametrize("method", ["poll", "start", "stop", "set_pace"])
def test_error_in_a_call_to_one_runner_stops_no_other(monkeypatch, method):
    """Guards against a runner whose calls end the term of each owner."""
    broken = []
    fail_on(monkeypatch, method, "runner-0", broken)

    async def scenario():
        async with run_cluster(runners=3) as cluster:
            owner = await cluster.owner()
            term = owner.instance.term
            await anyio.sleep(1)
            broken.append(1)
            for number in range(1, 7):
                await cluster.submit(make_job(number, make_step(2)))
            cancelled = await cluster.submit(make_job(70, make_step(12, 0.1)))
            await anyio.sleep(0.4)
            await owner.instance.handler.cancel(cancelled.id, 2.0)
            for number in range(1, 7):
                await cluster.wait_for(make_job(number), JobState.DONE, 2 * MAX_MOVE_S)
            assert owner.instance.term is term
            assert not term.failed
            # A runner that nobody calls records its lapsed leases when it is asked.
            cluster.runner_by_id["runner-0"].advance()
            assert not cluster.find_overlaps()
            broken.clear()
            await anyio.sleep(MAX_MOVE_S)
            started = len([r for r in cluster.records("start") if r.runner[-1] == "0"])
            job = await cluster.submit(make_job(80, make_step(12)))
            await cluster.wait_for(job, JobState.DONE, 4.0)
            records = [r for r in cluster.records("start") if r.runner[-1] == "0"]
            assert len(records) > started, "the runner is used again"

    run_virtual(scenario)


def fail_for_job(monkeypatch, owner: type, method: str, job_id: str, find_job) -> list:
    """Let a method raise for one job; return the list of its calls for that job."""
    original = getattr(owner, method)
    calls = []

    def fail(*args, **kwargs):
        if find_job(args) == job_id:
            calls.append(anyio.current_time())
            raise RuntimeError(f"a fault in {method}")
        return original(*args, **kwargs)

    monkeypatch.setattr(owner, method, fail)
    return calls


@pytest.mark.parametrize(
    "module, method, find_job",
    [
        (_ready_steps, "sort_key", lambda args: args[0].job.spec.id),
        (Job, "open_due", lambda args: args[0].spec.id),
        (Planner, "_choose", lambda args: args[2].job.spec.id),
        (PlacementPolicy, "candidates", lambda args: args[1].job.spec.id),
    ],
    ids=["order", "occurrences", "choice", "candidates"],
)
def test_error_in_the_planning_of_one_job_stops_no_other(
    monkeypatch, module, method, find_job
):
    """Guards against a job that ends the term of each owner that plans it."""
    faulty = make_job(1, make_step(2, label="b"))
    calls = fail_for_job(monkeypatch, module, method, faulty.id, find_job)

    async def scenario():
        async with run_cluster(runners=3) as cluster:
            owner = await cluster.owner()
            term = owner.instance.term
            await anyio.sleep(1)
            await cluster.submit(faulty)
            for number in range(2, 6):
                job = await cluster.submit(make_job(number, make_step(3)))
                await cluster.wait_for(job, JobState.DONE, 3.0)
            await anyio.sleep(20)
            assert owner.instance.term is term
            assert 2 < len(calls) < 30, "it is tried again, and less and less often"

    run_virtual(scenario)


def test_job_whose_planning_failed_once_runs_soon(monkeypatch):
    """Guards against a single error that keeps a job away for good."""
    plan_order = _ready_steps.sort_key
    errors = []

    def fail_once(*args):
        if not errors:
            errors.append(1)
            raise RuntimeError("a fault")
        return plan_order(*args)

    monkeypatch.setattr(_ready_steps, "sort_key", fail_once)

    async def scenario():
        async with run_cluster() as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1))
            await cluster.wait_for(job, JobState.DONE, 2.5)
            assert errors

    run_virtual(scenario)


@pytest.mark.parametrize(
    "module, method, find_job",
    [
        (_committer, "encode_tasks", lambda args: args[0].spec.id),
        (Job, "end", lambda args: args[0].spec.id),
    ],
    ids=["encoding", "end"],
)
def test_job_whose_state_cannot_be_kept_is_set_aside_for_good(
    monkeypatch, module, method, find_job
):
    """Guards against a job that ends each term, or runs twice after such an error.

    Its tasks may be done, so that later owners must not start them either.
    """
    faulty = make_job(1, make_step(2))

    async def scenario():
        async with run_cluster(runners=3, members=3) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            with monkeypatch.context() as patch:
                fail_for_job(patch, module, method, faulty.id, find_job)
                await cluster.submit(faulty)
                for number in range(2, 6):
                    job = await cluster.submit(make_job(number, make_step(3)))
                    await cluster.wait_for(job, JobState.DONE, 3.0)
                assert (await cluster.owner()) is owner
                assert not owner.instance.term.failed
            started = len(cluster.starts(f"{faulty.id}.0.0.0"))
            cluster.kill_member(owner)
            await cluster.owner()
            job = await cluster.submit(make_job(9, make_step(3)))
            await cluster.wait_for(job, JobState.DONE, 6.0)
            assert len(cluster.starts(f"{faulty.id}.0.0.0")) == started
            assert not cluster.find_overlaps()
            # Its submitter can cancel it.
            member = next(iter(cluster.member_by_name.values()))
            await member.instance.handler.cancel(faulty.id, 2.0)
            await cluster.wait_for(faulty, JobState.CANCELLED, 3.0)

    run_virtual(scenario)


def test_operator_rows_that_cannot_be_applied_end_no_instance(monkeypatch):
    """Guards against an error outside a term, which ends process after process."""
    apply_rows = OperatorView.apply_rows
    errors = []

    def fail_twice(self, rows, is_whole_table):
        if len(errors) < 2 and self.configuration is not None:
            errors.append(1)
            raise RuntimeError("a fault in the view")
        apply_rows(self, rows, is_whole_table)

    monkeypatch.setattr(OperatorView, "apply_rows", fail_twice)

    async def scenario():
        async with run_cluster() as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            cluster.evacuate_zone("gwynedd")
            await anyio.sleep(1)
            assert errors
            for member in cluster.member_by_name.values():
                assert member.instance.operators.evacuated_zones == {"gwynedd"}
            job = await cluster.submit(make_job(1))
            await cluster.wait_for(job, JobState.DONE, 2.5)

    run_virtual(scenario)
