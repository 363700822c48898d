"""Moves of tasks that are slowed down: soon, with few looks at other runners."""

from flamingoweir.fleet import Runner
from flamingoweir.jobs import Attempt, AttemptState, StepSpec, TaskId
from flamingoweir.policy import ColocationPolicy
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources

#: Seconds between the polls of a runner.
POLL_S = 0.02
#: Longest delay of a move, in seconds, after a runner has become free.
MAX_DELAY_S = 0.25


class CountedRunners:
    """Runners that count how often they are looked at one after another."""

    def __init__(self, runners: list[Runner]):
        self.searches = 0
        self._runners = runners

    def __iter__(self):
        self.searches += 1
        return iter(self._runners)


def make_runner(runner_id: str) -> Runner:
    capacity = Resources(16_000, 64_000, 0)
    return Runner(RunnerEntry(runner_id, 1, "s", "a:1", "z", capacity=capacity), 10.0)


def add_slow_task(runner: Runner, index: int):
    spec = StepSpec(
        1, Resources(12_000, 1_000, 0), image="loud", uses_spare=True, checkpoints=True
    )
    task = TaskId("job", 0, 0, index)
    attempt = Attempt(task, 1, runner.id, 1, AttemptState.RUNNING)
    attempt.requested_pace_percent = 20
    return runner.add(attempt, spec)


def test_fruitless_search_is_not_repeated_for_each_task_and_poll():
    """Guards against looks at all runners for each slow task at each poll.

    Tasks of an image that disturbs many are slow on many runners, and none of these
    has room for another.
    """
    colocation = ColocationPolicy()
    runners = [make_runner(f"r-{number}") for number in range(8)]
    for number, runner in enumerate(runners):
        add_slow_task(runner, 2 * number)
        add_slow_task(runner, 2 * number + 1)
    others = CountedRunners(runners)
    now_s = 100.0
    while now_s < 102.0:
        now_s += POLL_S
        for runner in runners:
            assert colocation.find_attempts_to_move(runner, others, now_s) == []
    assert 5 <= others.searches <= 10


def test_slow_task_moves_soon_after_a_runner_becomes_free():
    """Guards against a search that is put off for long after one without result."""
    colocation = ColocationPolicy()
    slow, other = make_runner("slow"), make_runner("other")
    add_slow_task(slow, 0)
    allocation = add_slow_task(other, 1)
    now_s = 100.0
    while now_s < 102.0:
        now_s += POLL_S
        assert colocation.find_attempts_to_move(slow, [slow, other], now_s) == []
    other.remove(allocation.attempt.task, 1)
    free_s = now_s
    found = []
    while not found:
        now_s += POLL_S
        assert now_s < free_s + MAX_DELAY_S
        found = colocation.find_attempts_to_move(slow, [slow, other], now_s)
    assert [attempt.task.index for attempt in found] == [0]
