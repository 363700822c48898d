"""Tasks that use spare processors beside tasks that serve."""

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
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources
from flamingoweir.standins import ContentionModel

LOOK_S = 0.4


def make_runner() -> Runner:
    entry = RunnerEntry("r", 1, "s", "a:1", "powys", capacity=Resources(64_000, 0, 0))
    return Runner(entry, 10.0)


def add_place(runner: Runner, index: int, spec: StepSpec):
    attempt = Attempt(TaskId("job", 0, 0, index), 1, "r", 1, AttemptState.RUNNING)
    return runner.add(attempt, spec)


def make_serving(image: str = "web") -> StepSpec:
    return StepSpec(
        1, Resources(16_000, 0, 0), image=image, latency_target_ms=50, lasting=True
    )


def make_spare(image: str) -> StepSpec:
    return StepSpec(1, Resources(8_000, 0, 0), image=image, uses_spare=True)


def show(
    colocation: ColocationPolicy,
    runner: Runner,
    serving,
    tail_latency_ms: float,
    seconds: float,
):
    """Let figures come for a while and apply what is decided."""
    start_s = show.now_s
    while show.now_s < start_s + seconds:
        show.now_s += LOOK_S
        serving.load = tail_latency_ms
        colocation.learn(runner, show.now_s)
        for change in colocation.decide_paces(runner, show.now_s):
            change.attempt.requested_pace_percent = change.pace_percent


show.now_s = 1000.0


def test_lasting_excess_holds_all_back_before_four_seconds():
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_place(runner, 0, make_serving())
    places = [add_place(runner, n, make_spare("batch")) for n in range(1, 4)]
    show(colocation, runner, serving, 400.0, 3.2)
    assert [place.attempt.requested_pace_percent for place in places] == [0, 0, 0]


def live(
    colocation: ColocationPolicy, runner: Runner, utilization: float, seconds: float
):
    """Let tasks live beside each other; ``loud`` disturbs, others hardly do."""
    contention = ContentionModel(
        lambda job, now_s: utilization,
        lambda serving, batch: 2.5 if batch == "loud" else 0.05,
    )
    until_s = show.now_s + seconds
    while show.now_s < until_s:
        show.now_s += LOOK_S
        places = runner.allocation_by_run.values()
        runs = [
            (p.attempt.task.job, p.spec, p.attempt.requested_pace_percent)
            for p in places
        ]
        for place in places:
            if place.spec.latency_target_ms:
                place.load = contention.tail_latency_ms(
                    "job", place.spec, 64_000, runs, show.now_s
                )
        colocation.learn(runner, show.now_s)
        for change in colocation.decide_paces(runner, show.now_s):
            change.attempt.requested_pace_percent = change.pace_percent


def test_image_that_disturbs_is_slowed_and_the_other_works_on():
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_place(runner, 0, make_serving())
    quiet = add_place(runner, 1, make_spare("quiet"))
    live(colocation, runner, 0.55, 4.0)
    loud = add_place(runner, 2, make_spare("loud"))
    live(colocation, runner, 0.55, 6.0)
    assert serving.load < 50.0
    assert 0 < loud.attempt.requested_pace_percent < 90
    assert quiet.attempt.requested_pace_percent == 100


def test_short_headroom_is_answered_before_the_target_is_missed():
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_place(runner, 0, make_serving())
    place = add_place(runner, 1, make_spare("batch"))
    for tail_latency_ms in (15.0, 18.0, 22.0, 27.0, 33.0, 39.0, 45.0, 47.0, 48.0):
        show(colocation, runner, serving, tail_latency_ms, 0.5)
    assert place.attempt.requested_pace_percent < 100


def test_users_load_that_swings_is_not_blamed_on_a_neighbour():
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_place(runner, 0, make_serving())
    place = add_place(runner, 1, make_spare("quiet"))
    for cycle in range(3):
        for utilization in (0.25, 0.4, 0.55, 0.65, 0.55, 0.4):
            show(colocation, runner, serving, 10.0 / (1 - utilization), 2.0)
            if cycle:
                assert place.attempt.requested_pace_percent == 100


def test_tasks_of_a_step_tell_of_each_other():
    """A disturbed task is told from a busy one by its calm sibling elsewhere."""
    colocation, calm, shared = ColocationPolicy(), make_runner(), make_runner()
    shared.entry = RunnerEntry(
        "r2", 1, "s", "a:2", "powys", capacity=Resources(64_000, 0, 0)
    )
    sibling = add_place(calm, 0, make_serving())
    serving = add_place(shared, 1, make_serving())
    place = add_place(shared, 2, make_spare("loud"))
    for _ in range(20):
        show.now_s += LOOK_S
        sibling.load, serving.load = 18.0, 49.0
        colocation.learn(calm, show.now_s)
        colocation.learn(shared, show.now_s)
    changes = colocation.decide_paces(shared, show.now_s)
    assert [change.attempt for change in changes] == [place.attempt]
    assert colocation.expected_interference(make_spare("loud"), calm) > 0.5


def test_one_low_figure_does_not_end_an_excess():
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_place(runner, 0, make_serving())
    place = add_place(runner, 1, make_spare("batch"))
    for _ in range(3):
        show(colocation, runner, serving, 300.0, 0.8)
        show(colocation, runner, serving, 30.0, 0.3)
    assert place.attempt.requested_pace_percent == 0


def test_speed_comes_back_when_the_tail_is_calm():
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_place(runner, 0, make_serving())
    place = add_place(runner, 1, make_spare("batch"))
    show(colocation, runner, serving, 400.0, 3.2)
    show(colocation, runner, serving, 15.0, 3.0)
    assert place.attempt.requested_pace_percent == 100


def test_excess_is_forgotten_where_no_batch_is_left():
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_place(runner, 0, make_serving())
    place = add_place(runner, 1, make_spare("batch"))
    show(colocation, runner, serving, 80.0, 0.8)
    assert not colocation.allows(make_spare("other"), runner, 0.0)
    runner.remove(place.attempt.task, 1)
    show(colocation, runner, serving, 15.0, 2.0)
    assert colocation.allows(make_spare("other"), runner, 0.0)


def test_job_of_which_nothing_runs_does_not_wait_for_a_calm_runner_for_ever():
    colocation, runner = ColocationPolicy(), make_runner()
    add_place(runner, 0, make_serving())
    spec = make_spare("loud")
    live(colocation, runner, 0.7, 2.0)
    place = add_place(runner, 1, spec)
    live(colocation, runner, 0.7, 4.0)
    runner.remove(place.attempt.task, 1)
    live(colocation, runner, 0.7, 2.0)
    step = Job(JobSpec("job", "q", "", (spec,), QueuePolicy("s"))).run_by_step[0, 0]
    placement = PlacementPolicy(RunnerHealth(), colocation)
    step.unplaced_since_s = 100.0
    assert placement.choose(step, 0, [runner], 101.0) is None
    assert placement.choose(step, 0, [runner], 101.6) is runner


def test_image_that_disturbs_is_learnt_and_kept_away():
    colocation, runner = ColocationPolicy(), make_runner()
    serving = add_place(runner, 0, make_serving())
    quiet = add_place(runner, 1, make_spare("quiet"))
    show(colocation, runner, serving, 20.0, 8.0)
    runner.remove(quiet.attempt.task, 1)
    loud = add_place(runner, 2, make_spare("loud"))
    for _ in range(20):
        show.now_s += LOOK_S
        serving.load = 60.0
        colocation.learn(runner, show.now_s)
    runner.remove(loud.attempt.task, 1)
    serving.load = 20.0
    for _ in range(4):
        show.now_s += LOOK_S
        colocation.learn(runner, show.now_s)
    quiet_harm = colocation.expected_interference(make_spare("quiet"), runner)
    assert quiet_harm < 0.15
    assert colocation.expected_interference(make_spare("loud"), runner) > 3 * quiet_harm
    assert colocation.allows(make_spare("quiet"), runner, 0.0)


def test_runner_on_which_two_jobs_fail_in_a_row_is_left_alone():
    health = RunnerHealth()
    health.record_end("r", "one", True, 0.0)
    assert health.is_usable("r", False, 0.1)
    health.record_end("r", "one", True, 0.2)
    assert health.is_usable("r", False, 0.3)
    health.record_end("r", "two", True, 0.4)
    assert not health.is_usable("r", False, 0.5)
    assert health.is_usable("r", False, 4.0)
    assert not health.is_usable("r", True, 4.1)
    health.record_end("r", "three", False, 4.5)
    assert health.is_usable("r", True, 4.6)
