"""Steps that a placement pass skips because a similar step found no runner.

A pass that skips too much leaves tasks waiting beside free runners; one that skips
too little tries a long backlog step by step and delays polls and orders.
"""

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


def test_step_with_larger_demand_is_skipped():
    """Skip a step only if its demand covers that of an unplaced step."""
    unplaced = UnplacedSteps(NOW_S)
    unplaced.add(make_step(8, 100))
    assert unplaced.rules_out(make_step(9, 100))
    assert not unplaced.rules_out(make_step(7, 100))
    assert not unplaced.rules_out(make_step(9, 50))


def test_step_of_another_kind_is_tried():
    """Try a step with another image, or one that needs reserved processors."""
    unplaced = UnplacedSteps(NOW_S)
    unplaced.add(make_step(4, image="loud", uses_spare=True))
    assert unplaced.rules_out(make_step(4, image="loud", uses_spare=True))
    assert not unplaced.rules_out(make_step(4, image="quiet", uses_spare=True))
    assert not unplaced.rules_out(make_step(4, image="loud"))


def test_step_past_the_maximum_wait_is_tried():
    """Try a step past the maximum wait, which may run on more runners.

    Otherwise a step that has waited less, and may not disturb serving tasks, would
    keep the overdue step from being placed.
    """
    unplaced = UnplacedSteps(NOW_S)
    unplaced.add(make_step(4, image="loud", uses_spare=True))
    overdue = make_step(
        4, image="loud", uses_spare=True, waited_s=MAX_PLACEMENT_WAIT_S + 0.1
    )
    assert not unplaced.rules_out(overdue)


def test_step_with_own_constraints_rules_out_no_other():
    """Skip no step because of one with constraints of its own.

    Such a step may fail to be placed because of its limit per runner, its data rack or
    the runners on which its tasks failed, although resources are free.
    """
    unplaced = UnplacedSteps(NOW_S)
    unplaced.add(make_step(4, max_per_runner=1))
    unplaced.add(make_step(4, data_rack="r1"))
    failed = make_step(4)
    failed.tasks[0].failed_runners.add("runner")
    unplaced.add(failed)
    assert not unplaced.rules_out(make_step(4))


def test_untried_step_is_tried():
    """Try a step once before it is skipped: its waiting time starts with the try."""
    unplaced = UnplacedSteps(NOW_S)
    unplaced.add(make_step(4))
    untried = make_step(4)
    untried.unplaced_since_s = None
    assert not unplaced.rules_out(untried)
