"""Colocation of tasks on spare processors with serving tasks; quarantine of runners."""

import dataclasses
import random

import pytest

from flamingoweir.fleet import Runner
from flamingoweir.jobs import (
    Attempt,
    AttemptState,
    Job,
    JobSpec,
    QueuePolicy,
    StepSpec,
    TaskId,
)
from flamingoweir.policy import ColocationPolicy, PlacementPolicy, RunnerHealth
from flamingoweir.policy._effects import (
    EFFECT_DRIFT_STD,
    MAX_EFFECT,
    MEASUREMENT_STD,
    MEASUREMENT_STD_RATIO,
    PRIOR_EFFECT,
    PRIOR_EFFECT_STD,
    EffectModel,
    new_baseline,
)
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources
from flamingoweir.standins import ContentionModel

POLL_S = 0.4


def make_runner() -> Runner:
    entry = RunnerEntry("r", 1, "s", "a:1", "powys", capacity=Resources(64_000, 0, 0))
    return Runner(entry, 10.0)


def add_allocation(runner: Runner, index: int, spec: StepSpec):
    attempt = Attempt(TaskId("job", 0, 0, index), 1, "r", 1, AttemptState.RUNNING)
    return runner.add(attempt, spec)


def make_serving(image: str = "web") -> StepSpec:
    return StepSpec(
        1, Resources(16_000, 0, 0), image=image, latency_target_ms=50, lasting=True
    )


def make_spare(image: str) -> StepSpec:
    return StepSpec(1, Resources(8_000, 0, 0), image=image, uses_spare=True)


def replay_tail(
    colocation: ColocationPolicy,
    runner: Runner,
    serving,
    tail_latency_ms: float,
    seconds: float,
):
    """Report a constant tail for some seconds and apply the paces that are decided."""
    start_s = replay_tail.now_s
    while replay_tail.now_s < start_s + seconds:
        replay_tail.now_s += POLL_S
        serving.load = tail_latency_ms
        colocation.learn(runner, replay_tail.now_s)
        for change in colocation.decide_paces(runner, replay_tail.now_s):
            change.attempt.requested_pace_percent = change.pace_percent


replay_tail.now_s = 1000.0


def test_all_spare_tasks_pause_within_four_seconds_above_target():
    """Guards against a serving task that stays above its target for four seconds.

    The tail stays far above the target whatever the paces are, so all tasks on spare
    processors must be paused within that time.
    """
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_allocation(runner, 0, make_serving())
    allocations = [add_allocation(runner, n, make_spare("batch")) for n in range(1, 4)]
    replay_tail(colocation, runner, serving, 400.0, 3.2)
    assert [
        allocation.attempt.requested_pace_percent for allocation in allocations
    ] == [0, 0, 0]


def simulate(
    colocation: ColocationPolicy, runner: Runner, utilization: float, seconds: float
):
    """Report simulated tails for some seconds and apply the paces that are decided.

    Image ``loud`` disturbs serving tasks, other images hardly do.
    """
    contention = ContentionModel(
        lambda job, now_s: utilization,
        lambda serving, batch: 2.5 if batch == "loud" else 0.05,
    )
    until_s = replay_tail.now_s + seconds
    while replay_tail.now_s < until_s:
        replay_tail.now_s += POLL_S
        allocations = runner.allocation_by_run.values()
        runs = [
            (a.attempt.task.job, a.spec, a.attempt.requested_pace_percent)
            for a in allocations
        ]
        for allocation in allocations:
            if allocation.spec.latency_target_ms:
                allocation.load = contention.tail_latency_ms(
                    "job", allocation.spec, 64_000, runs, replay_tail.now_s
                )
        colocation.learn(runner, replay_tail.now_s)
        for change in colocation.decide_paces(runner, replay_tail.now_s):
            change.attempt.requested_pace_percent = change.pace_percent


def test_only_the_disturbing_image_is_slowed_down():
    """Guards against slowing down an image that hardly disturbs.

    A disturbing image joins a runner where a quiet one already runs. The loss of
    headroom must be attributed to the new image alone.
    """
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_allocation(runner, 0, make_serving())
    quiet = add_allocation(runner, 1, make_spare("quiet"))
    simulate(colocation, runner, 0.55, 4.0)
    loud = add_allocation(runner, 2, make_spare("loud"))
    simulate(colocation, runner, 0.55, 6.0)
    assert serving.load < 50.0
    assert 0 < loud.attempt.requested_pace_percent < 90
    assert quiet.attempt.requested_pace_percent == 100


def test_pace_falls_before_the_target_is_missed():
    """Guards against a reaction only after the tail has passed the target.

    The tail rises slowly to just below the target of 50 ms.
    """
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_allocation(runner, 0, make_serving())
    allocation = add_allocation(runner, 1, make_spare("batch"))
    for tail_latency_ms in (15.0, 18.0, 22.0, 27.0, 33.0, 39.0, 45.0, 47.0, 48.0):
        replay_tail(colocation, runner, serving, tail_latency_ms, 0.5)
    assert allocation.attempt.requested_pace_percent < 100


def test_varying_user_load_does_not_slow_down_a_quiet_task():
    """Guards against attributing the user load to a task on spare processors.

    The tail rises and falls with the utilization by users. After the first cycle the
    quiet task must keep its full pace.
    """
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_allocation(runner, 0, make_serving())
    allocation = add_allocation(runner, 1, make_spare("quiet"))
    for cycle in range(3):
        for utilization in (0.25, 0.4, 0.55, 0.65, 0.55, 0.4):
            replay_tail(colocation, runner, serving, 10.0 / (1 - utilization), 2.0)
            if cycle:
                assert allocation.attempt.requested_pace_percent == 100


def test_baseline_is_shared_by_the_tasks_of_a_step():
    """Guards against taking a disturbed task for a task with high user load.

    Another task of the same step runs undisturbed on a second runner with a low tail,
    so the high tail on the shared runner must be attributed to the ``loud`` task.
    """
    colocation, undisturbed, shared = ColocationPolicy(), make_runner(), make_runner()
    shared.entry = RunnerEntry(
        "r2", 1, "s", "a:2", "powys", capacity=Resources(64_000, 0, 0)
    )
    sibling = add_allocation(undisturbed, 0, make_serving())
    serving = add_allocation(shared, 1, make_serving())
    allocation = add_allocation(shared, 2, make_spare("loud"))
    for _ in range(20):
        replay_tail.now_s += POLL_S
        sibling.load, serving.load = 18.0, 49.0
        colocation.learn(undisturbed, replay_tail.now_s)
        colocation.learn(shared, replay_tail.now_s)
    changes = colocation.decide_paces(shared, replay_tail.now_s)
    assert [change.attempt for change in changes] == [allocation.attempt]
    assert colocation.expected_interference(make_spare("loud"), undisturbed) > 0.5


def test_one_measurement_within_target_does_not_reset_time_above_target():
    """Guards against noisy measurements that keep tasks from being paused.

    Single measurements within the target interrupt a tail above it, which must not
    restart the time until all tasks are paused.
    """
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_allocation(runner, 0, make_serving())
    allocation = add_allocation(runner, 1, make_spare("batch"))
    for _ in range(3):
        replay_tail(colocation, runner, serving, 300.0, 0.8)
        replay_tail(colocation, runner, serving, 30.0, 0.3)
    assert allocation.attempt.requested_pace_percent == 0


def test_full_pace_returns_when_the_tail_recovers():
    """Guards against a task that stays paused after the tail is below the target."""
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_allocation(runner, 0, make_serving())
    allocation = add_allocation(runner, 1, make_spare("batch"))
    replay_tail(colocation, runner, serving, 400.0, 3.2)
    replay_tail(colocation, runner, serving, 15.0, 3.0)
    assert allocation.attempt.requested_pace_percent == 100


def test_runner_accepts_tasks_again_after_its_batch_task_ended():
    """Guards against a runner that refuses batch tasks after the tail has recovered.

    The only batch task ends while the tail is above the target, so that no pace
    changes any more; the runner must be usable once the tail has recovered.
    """
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_allocation(runner, 0, make_serving())
    allocation = add_allocation(runner, 1, make_spare("batch"))
    replay_tail(colocation, runner, serving, 80.0, 0.8)
    assert not colocation.allows(make_spare("other"), runner, 0.0)
    runner.remove(allocation.attempt.task, 1)
    replay_tail(colocation, runner, serving, 15.0, 2.0)
    assert colocation.allows(make_spare("other"), runner, 0.0)


def test_job_without_attempts_is_placed_after_the_maximum_wait():
    """Guards against a job that waits forever for a runner where it does not disturb.

    The image is known to disturb the only serving task. The job must be placed there
    after the maximum wait of 1.5 s.
    """
    colocation, runner = ColocationPolicy(), make_runner()
    add_allocation(runner, 0, make_serving())
    spec = make_spare("loud")
    simulate(colocation, runner, 0.7, 2.0)
    allocation = add_allocation(runner, 1, spec)
    simulate(colocation, runner, 0.7, 4.0)
    runner.remove(allocation.attempt.task, 1)
    simulate(colocation, runner, 0.7, 2.0)
    step = Job(JobSpec("job", "q", "", (spec,), QueuePolicy("s"))).run_by_step[0, 0]
    placement = PlacementPolicy(RunnerHealth(), colocation)
    step.unplaced_since_s = 100.0
    assert placement.choose(step, 0, [runner], 101.0) is None
    assert placement.choose(step, 0, [runner], 101.6) is runner


def test_effect_of_a_disturbing_image_is_learnt():
    """Guards against an effect that is attributed to the wrong image.

    Two images run beside a serving task one after the other, and only the second
    raises the tail. The first must stay allowed and the second rank far worse.
    """
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_allocation(runner, 0, make_serving())
    quiet = add_allocation(runner, 1, make_spare("quiet"))
    replay_tail(colocation, runner, serving, 20.0, 8.0)
    runner.remove(quiet.attempt.task, 1)
    loud = add_allocation(runner, 2, make_spare("loud"))
    for _ in range(20):
        replay_tail.now_s += POLL_S
        serving.load = 60.0
        colocation.learn(runner, replay_tail.now_s)
    runner.remove(loud.attempt.task, 1)
    serving.load = 20.0
    for _ in range(4):
        replay_tail.now_s += POLL_S
        colocation.learn(runner, replay_tail.now_s)
    quiet_interference = colocation.expected_interference(make_spare("quiet"), runner)
    assert quiet_interference < 0.15
    assert (
        colocation.expected_interference(make_spare("loud"), runner)
        > 3 * quiet_interference
    )
    assert colocation.allows(make_spare("quiet"), runner, 0.0)


def test_polls_close_together_count_as_one_measurement():
    """Guards against learning several times from one half second of a runner.

    Ends of other tasks let polls follow each other within milliseconds. The reports
    then hold the same measurement, which must not count again.
    """
    interference = []
    for reports_per_poll in (1, 10):
        colocation, runner = ColocationPolicy(), make_runner()
        serving = add_allocation(runner, 0, make_serving())
        add_allocation(runner, 1, make_spare("batch"))
        for poll in range(3):
            for number in range(reports_per_poll):
                serving.load = 60.0
                colocation.learn(runner, 1000.0 + poll * POLL_S + number * 0.01)
        spec = make_spare("batch")
        interference.append(colocation.expected_interference(spec, runner))
    assert interference[0] == interference[1]


def test_runner_is_quarantined_after_failures_of_two_jobs():
    """Guards against work on a faulty runner, and against quarantine by one bad job.

    Repeated failures of one job count once. After a quarantine, a single task probes
    the runner, and its success ends the probing.
    """
    health = RunnerHealth()
    runner = make_runner()
    health.record_end("r", "one", True, 0.0)
    assert health.is_usable(runner, 0.1)
    health.record_end("r", "one", True, 0.2)
    assert health.is_usable(runner, 0.3)
    health.record_end("r", "two", True, 0.4)
    assert not health.is_usable(runner, 0.5)
    assert health.is_usable(runner, 4.0)
    probe = add_allocation(runner, 0, make_spare("batch"))
    probe.attempt.created_s = 4.0
    assert not health.is_usable(runner, 4.1)
    health.record_end("r", "three", False, 4.5)
    assert health.is_usable(runner, 4.6)


@pytest.mark.parametrize(
    ("runner_count", "tail_ms", "expected_s"),
    [(24, 10.0, 0.4), (445, 10.0, 0.99), (445, 40.0, 0.4), (2_800, 10.0, 1.0)],
)
def test_runners_of_a_large_fleet_are_measured_less_often_far_below_target(
    runner_count, tail_ms, expected_s
):
    """Guards against an owner whose processor is used up by polls of a large fleet.

    A runner near its target is polled as often as in a small fleet.
    """
    colocation, runner = ColocationPolicy(), make_runner()
    colocation.runner_count = runner_count
    serving = add_allocation(runner, 1, make_serving())
    serving.load = tail_ms
    assert colocation.measure_interval_s(runner) == pytest.approx(expected_s, abs=0.01)


def test_effects_are_learnt_as_by_the_full_covariance_matrix():
    """Guards against another estimate because of how the matrix is stored."""
    generator = random.Random(5)
    model, baseline = EffectModel(), new_baseline(0.0)
    images = [f"image-{number}" for number in range(6)]
    covariance = {a: {b: 0.0 for b in images} for a in images}
    for image in images:
        # The model meets all images in its first measurement.
        covariance[image][image] = PRIOR_EFFECT_STD**2
    mean_by_image = dict.fromkeys(images, PRIOR_EFFECT)
    shares = dict.fromkeys(images, 0.05)
    for number in range(40):
        now_s = 0.5 * number
        added = EFFECT_DRIFT_STD**2 * (0.5 if number else 0.0)
        for image in images:
            row = covariance[image]
            row[image] = min(PRIOR_EFFECT_STD**2, row[image] + added)
        reference = dataclasses.replace(baseline)
        reference.predict(now_s)
        headroom = generator.uniform(0.8, 3.0)
        error = model.learn(headroom, shares, baseline, now_s)
        projected = {
            a: sum(covariance[a][b] * share for b, share in shares.items())
            for a in images
        }
        expected = headroom - error
        std = MEASUREMENT_STD_RATIO * max(headroom, expected)
        variance = reference.variance + std**2 + MEASUREMENT_STD**2
        variance += sum(share * projected[a] for a, share in shares.items())
        for a in images:
            mean = mean_by_image[a] - projected[a] * error / variance
            mean_by_image[a] = min(MAX_EFFECT, max(0.0, mean))
            for b in images:
                covariance[a][b] -= projected[a] / variance * projected[b]
        shares = {a: generator.choice((0.0, 0.1, 0.3)) for a in images}
        assert model.mean_by_image == pytest.approx(mean_by_image)
