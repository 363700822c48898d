"""Waits of steps for a runner that go on with the next owner.

What comes of it in a cluster is in test_waits_begun_anew_by_owners.py.
"""

import pytest

from flamingoweir.dispatch._step_waits import MAX_FIRST_RESPONSES_S, StepWaits
from flamingoweir.fleet import Runner
from flamingoweir.jobs import Job
from flamingoweir.ownership import StepWait
from flamingoweir.registry import RunnerEntry
from tests.utils.cluster import make_job

FORMER = {f"{make_job(1).id}.0.0": StepWait(3.0, 2.0), "gone.0.0": StepWait(9.0, 9.0)}
NOW_S = 100.0


def take_over(waits, responds, now_s, job=None):
    """Let an owner find no room for a job in a pass; return the job and its step."""
    job = job or Job(make_job(1))
    runner = Runner(RunnerEntry("a", 1, "s", "host:1", "zone"), 10.0)
    if responds:
        runner.begin_incarnation(1, now_s)
    waits.begin_pass()
    waits.take_over({job.spec.id: job}, {"a": runner}, now_s)
    step = job.run_by_step[0, 0]
    if step.unplaced_since_s is None:
        step.unplaced_since_s = now_s
    waits.record_unplaced(step, now_s)
    return job, step


@pytest.mark.parametrize(("responds", "pause_s"), [(True, 0.1), (False, 0.6)])
def test_former_wait_counts_once_runners_have_had_time_to_respond(responds, pause_s):
    """Guards against evictions beside a runner with room that has yet to respond."""
    waits = StepWaits(FORMER)
    job, step = take_over(waits, False, NOW_S)
    assert step.ready_since_s == NOW_S - 3.0
    assert dict(waits.list_waits())[f"{job.spec.id}.0.0"] == StepWait(3.0, 2.0)
    take_over(waits, False, NOW_S + MAX_FIRST_RESPONSES_S - 0.1, job)
    assert step.unplaced_since_s == NOW_S
    later_s = NOW_S + MAX_FIRST_RESPONSES_S - 0.1 + pause_s
    take_over(waits, responds, later_s, job)
    assert step.unplaced_since_s == NOW_S - 2.0
    listed = dict(waits.list_waits())
    passed_s = later_s - NOW_S
    assert listed == {f"{job.spec.id}.0.0": StepWait(3.0 + passed_s, 2.0 + passed_s)}


@pytest.mark.parametrize(("outage", "counted_s"), [(False, 1.5), (True, 0.0)])
def test_time_between_owners_counts_if_the_store_responded(outage, counted_s):
    """Guards against waits that grow as the store is away, or lose the handover."""
    waits = StepWaits(FORMER, NOW_S - 1.5)
    if outage:
        waits.record_outage()
    job, step = take_over(waits, True, NOW_S)
    take_over(waits, True, NOW_S + 0.1, job)
    assert step.ready_since_s == NOW_S - 3.0 - counted_s
    assert step.unplaced_since_s == NOW_S - 2.0 - counted_s


def test_wait_of_a_step_that_was_placed_is_forgotten():
    """Guards against a task that counts as absent for longer than it is."""
    waits = StepWaits(FORMER)
    job = Job(make_job(1))
    job.start(job.run_by_step[0, 0], 0, "a", 1, NOW_S)
    take_over(waits, True, NOW_S, job)
    assert not dict(waits.list_waits())


def test_step_whose_occurrence_is_not_open_yet_keeps_its_wait():
    """Guards against a wait that is lost before the occurrences have been opened."""
    job = Job(make_job(1, occurrences=3, interval_ms=1000))
    waits = StepWaits(FORMER)
    waits.take_over({job.spec.id: job}, {}, NOW_S)
    assert list(dict(waits.list_waits())) == [f"{job.spec.id}.0.0"]
    job.open_occurrence(0)
    take_over(waits, True, NOW_S, job)
    _, step = take_over(waits, True, NOW_S + 1.0, job)
    assert step.unplaced_since_s == NOW_S - 2.0
