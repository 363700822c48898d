"""Paces of tasks on spare processors, compared with a plain computation."""

import math
import random

import pytest

from flamingoweir.fleet import Runner
from flamingoweir.jobs import Attempt, AttemptState, StepSpec, TaskId
from flamingoweir.policy import ColocationPolicy
from flamingoweir.policy._colocation import MIN_PACE_PERCENT, NEGLIGIBLE_LOSS
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources

TOTAL_MILLI = 96_000


def make_runner(generator: random.Random) -> Runner:
    capacity = Resources(TOTAL_MILLI, 0, 0)
    runner = Runner(RunnerEntry("r", 1, "s", "a:1", "z", capacity=capacity), 10.0)
    for index in range(generator.randint(2, 30)):
        demand = Resources(generator.randint(2, 16) * 1000, 0, 0)
        if generator.random() < 0.5:
            image = f"serve-{generator.randrange(4)}"
            spec = StepSpec(1, demand, image=image, latency_target_ms=50, lasting=True)
        else:
            image = f"batch-{generator.randrange(6)}"
            spec = StepSpec(1, demand, image=image, uses_spare=True)
        task = TaskId(f"job-{generator.randrange(12)}", 0, 0, index)
        runner.add(Attempt(task, 1, "r", 1, AttemptState.RUNNING), spec)
    return runner


def highest_paces(policy, runner, allocations, min_headroom) -> list[int]:
    """Return the paces as computed for each serving task by itself."""
    paces = [100] * len(allocations)
    for serving in runner.allocation_by_run.values():
        if not serving.spec.latency_target_ms:
            continue
        model = policy._effect_model(serving.spec.image)
        losses = []
        for allocation in allocations:
            share = allocation.spec.demand.processors_milli / TOTAL_MILLI
            losses.append(model.effect(allocation.spec.image) * share)
        left = policy._baseline_headroom(serving)
        for loss, pace in zip(losses, paces, strict=True):
            left -= loss * pace / 100
        for index in sorted(range(len(allocations)), key=lambda n: -losses[n]):
            if left >= min_headroom or losses[index] < NEGLIGIBLE_LOSS:
                break
            former = paces[index]
            pace = former - 100 * (min_headroom - left) / losses[index]
            pace = round(max(0.0, pace))
            paces[index] = pace if pace >= MIN_PACE_PERCENT else 0
            left += losses[index] * (former - paces[index]) / 100
    return paces


@pytest.mark.parametrize("seed", range(20))
def test_paces_equal_those_of_each_serving_task_by_itself(seed):
    """Guards against paces that differ because losses are shared by image."""
    generator = random.Random(seed)
    policy = ColocationPolicy()
    lowered = 0
    for _ in range(5):
        runner = make_runner(generator)
        allocations = [
            a for a in runner.allocation_by_run.values() if a.spec.uses_spare
        ]
        for poll in range(6):
            for allocation in runner.allocation_by_run.values():
                if allocation.spec.latency_target_ms:
                    allocation.load = generator.uniform(15.0, 90.0)
            policy.learn(runner, 1000.0 + poll)
            for min_headroom in (1.1, 1.2):
                expected = highest_paces(policy, runner, allocations, min_headroom)
                found = policy._highest_paces(runner, allocations, min_headroom)
                assert found == expected
                lowered += sum(pace < 100 for pace in found)
    assert lowered


@pytest.mark.parametrize("target_ms", [1.7e308, 1e300, 5e-324])
@pytest.mark.parametrize("load", [5.0, 1e308, 5e-324, -5.0])
def test_odd_target_or_load_of_one_task_leaves_the_paces_of_others_alone(
    target_ms, load
):
    """Guards against an overflow by one task, which ends the learning for all others.

    A submitter chooses the target, and a runner reports the load.
    """
    capacity = Resources(TOTAL_MILLI, 0, 0)
    runner = Runner(RunnerEntry("r", 1, "s", "a:1", "z", capacity=capacity), 10.0)
    demand = Resources(8_000, 0, 0)
    steps = {
        "odd": StepSpec(
            1, demand, image="odd", latency_target_ms=target_ms, lasting=True
        ),
        "web": StepSpec(1, demand, image="web", latency_target_ms=50, lasting=True),
        "batch": StepSpec(1, demand, image="batch", uses_spare=True),
        "more": StepSpec(1, demand, image="batch", uses_spare=True),
    }
    for job, spec in steps.items():
        attempt = Attempt(TaskId(job, 0, 0, 0), 1, "r", 1, AttemptState.RUNNING)
        runner.add(attempt, spec)
    loads = {"odd": load, "web": 100.0, "batch": load, "more": 4_000.0}
    policy = ColocationPolicy()
    changes = []
    for second in range(1, 9):
        for allocation in runner.allocation_by_run.values():
            allocation.load = loads[allocation.attempt.task.job]
        policy.learn(runner, float(second))
        changes += policy.decide_paces(runner, float(second))
        for image in ("odd", "web"):
            assert 0 <= policy._effect_model(image).effect("batch") < math.inf
    # A serving task is at twice its target: what may disturb it is slowed down.
    assert changes
