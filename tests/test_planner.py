"""Which steps a pass of the planner tries."""

from flamingoweir.dispatch._planner import UnplacedSteps
from flamingoweir.jobs import Job, JobSpec, QueuePolicy, StepSpec
from flamingoweir.policy import MAX_PLACEMENT_WAIT_S
from flamingoweir.resources import Resources

NOW_S = 100.0


def make_step(processors: int, memory_mb: int = 0, waited_s: float = 0.5, **fields):
    demand = Resources(processors * 1000, memory_mb, 0)
    spec = JobSpec(
        "job", "queue", "", (StepSpec(2, demand, **fields),), QueuePolicy("s")
    )
    step = Job(spec).run_by_step[0, 0]
    step.unplaced_since_s = NOW_S - waited_s
    return step


def test_step_that_asks_for_more_is_not_tried_again():
    unplaced = UnplacedSteps(NOW_S)
    unplaced.add(make_step(8, 100))
    assert unplaced.rules_out(make_step(9, 100))
    assert not unplaced.rules_out(make_step(7, 100))
    assert not unplaced.rules_out(make_step(9, 50))


def test_step_of_another_kind_is_tried():
    unplaced = UnplacedSteps(NOW_S)
    unplaced.add(make_step(4, image="loud", uses_spare=True))
    assert unplaced.rules_out(make_step(4, image="loud", uses_spare=True))
    assert not unplaced.rules_out(make_step(4, image="quiet", uses_spare=True))
    assert not unplaced.rules_out(make_step(4, image="loud"))


def test_job_that_has_waited_too_long_is_tried_after_one_that_has_not():
    unplaced = UnplacedSteps(NOW_S)
    unplaced.add(make_step(4, image="loud", uses_spare=True))
    late = make_step(
        4, image="loud", uses_spare=True, waited_s=MAX_PLACEMENT_WAIT_S + 0.1
    )
    assert not unplaced.rules_out(late)


def test_step_with_wishes_of_its_own_says_nothing_of_others():
    unplaced = UnplacedSteps(NOW_S)
    unplaced.add(make_step(4, max_per_runner=1))
    unplaced.add(make_step(4, data_rack="r1"))
    failed = make_step(4)
    failed.tasks[0].failed_runners.add("runner")
    unplaced.add(failed)
    assert not unplaced.rules_out(make_step(4))


def test_step_that_was_never_tried_is_tried():
    unplaced = UnplacedSteps(NOW_S)
    unplaced.add(make_step(4))
    fresh = make_step(4)
    fresh.unplaced_since_s = None
    assert not unplaced.rules_out(fresh)
