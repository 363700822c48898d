"""Tasks that use spare processors beside tasks that serve."""

from flamingoweir.fleet import Runner
from flamingoweir.jobs import Attempt, Standing, StepSpec, TaskId
from flamingoweir.policy import RunnerTrust, Sharing
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources

LOOK_S = 0.4


def make_runner() -> Runner:
    entry = RunnerEntry("r", 1, "s", "a:1", "powys", capacity=Resources(64_000, 0, 0))
    return Runner(entry, 10.0)


def add_place(runner: Runner, index: int, spec: StepSpec):
    attempt = Attempt(TaskId("job", 0, 0, index), 1, "r", 1, Standing.RUNNING)
    return runner.add(attempt, spec)


def make_serving(image: str = "web") -> StepSpec:
    return StepSpec(
        1, Resources(16_000, 0, 0), image=image, latency_target_ms=50, lasting=True
    )


def make_spare(image: str) -> StepSpec:
    return StepSpec(1, Resources(8_000, 0, 0), image=image, uses_spare=True)


def show(sharing: Sharing, runner: Runner, serving, tail_ms: float, seconds: float):
    """Let figures come for a while and apply what is decided."""
    start_s = show.now_s
    while show.now_s < start_s + seconds:
        show.now_s += LOOK_S
        serving.load = tail_ms
        sharing.learn(runner, show.now_s)
        for change in sharing.decide(runner, show.now_s):
            change.attempt.pace_asked = change.percent


show.now_s = 1000.0


def test_lasting_excess_holds_all_back_before_four_seconds():
    sharing, runner = Sharing(), make_runner()
    serving = add_place(runner, 0, make_serving())
    places = [add_place(runner, n, make_spare("batch")) for n in range(1, 4)]
    show(sharing, runner, serving, 400.0, 3.2)
    assert [place.attempt.pace_asked for place in places] == [0, 0, 0]


def test_short_excess_slows_nobody():
    sharing, runner = Sharing(), make_runner()
    serving = add_place(runner, 0, make_serving())
    place = add_place(runner, 1, make_spare("batch"))
    show(sharing, runner, serving, 80.0, 0.8)
    show(sharing, runner, serving, 20.0, 2.0)
    show(sharing, runner, serving, 80.0, 0.8)
    assert place.attempt.pace_asked == 100


def test_one_low_figure_does_not_end_an_excess():
    sharing, runner = Sharing(), make_runner()
    serving = add_place(runner, 0, make_serving())
    place = add_place(runner, 1, make_spare("batch"))
    for _ in range(3):
        show(sharing, runner, serving, 300.0, 0.8)
        show(sharing, runner, serving, 30.0, 0.3)
    assert place.attempt.pace_asked == 0


def test_speed_comes_back_when_the_tail_is_calm():
    sharing, runner = Sharing(), make_runner()
    serving = add_place(runner, 0, make_serving())
    place = add_place(runner, 1, make_spare("batch"))
    show(sharing, runner, serving, 400.0, 3.2)
    show(sharing, runner, serving, 15.0, 3.0)
    assert place.attempt.pace_asked == 100


def test_image_that_disturbs_is_learnt_and_kept_away():
    sharing, runner = Sharing(), make_runner()
    serving = add_place(runner, 0, make_serving())
    quiet = add_place(runner, 1, make_spare("quiet"))
    show(sharing, runner, serving, 20.0, 8.0)
    runner.remove(quiet.attempt.task, 1)
    loud = add_place(runner, 2, make_spare("loud"))
    for _ in range(20):
        show.now_s += LOOK_S
        serving.load = 60.0
        sharing.learn(runner, show.now_s)
    runner.remove(loud.attempt.task, 1)
    assert sharing.harm(make_spare("quiet"), runner) < 0.15
    assert sharing.harm(make_spare("loud"), runner) > 0.5
    assert sharing.allows(make_spare("quiet"), runner)


def test_runner_on_which_two_jobs_fail_in_a_row_is_left_alone():
    trust = RunnerTrust()
    trust.note_end("r", "one", True, 0.0)
    assert trust.usable("r", False, 0.1)
    trust.note_end("r", "one", True, 0.2)
    assert trust.usable("r", False, 0.3)
    trust.note_end("r", "two", True, 0.4)
    assert not trust.usable("r", False, 0.5)
    assert trust.usable("r", False, 4.0)
    assert not trust.usable("r", True, 4.1)
    trust.note_end("r", "three", False, 4.5)
    assert trust.usable("r", True, 4.6)
