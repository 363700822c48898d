"""Long-running tasks as probes of runners that are faulty still."""

import pytest

from flamingoweir.fleet import Runner
from flamingoweir.jobs import Attempt, TaskId
from flamingoweir.policy import RunnerHealth
from flamingoweir.policy._health import EARLY_PROBE_S, LASTING_PROBE_S, QUARANTINE_S
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources
from tests.utils.cluster import make_step


def probe_lasting(health, runner, run: int, now_s: float) -> float:
    """Run a long-running task on a runner until it counts as a success."""
    assert health.is_usable(runner, now_s)
    task = TaskId("1" * 16, 0, 0, 0)
    attempt = Attempt(task, run, runner.id, 1, created_s=now_s)
    allocation = runner.add(attempt, make_step(1, lasting=True))
    allocation.record_start(now_s)
    now_s += LASTING_PROBE_S
    allocation.listed_s = now_s
    assert health.is_usable(runner, now_s)
    return now_s


@pytest.mark.parametrize("fails", ["lasting", "stalled"])
def test_quarantine_grows_if_a_runner_fails_soon_after_a_lasting_probe(fails):
    """Guards against a faulty runner that is opened to all tasks every few seconds."""
    entry = RunnerEntry("r", 1, "a:1", "s", "z", capacity=Resources(8000, 9000, 0))
    runner = Runner(entry, 6.0)
    health = RunnerHealth()
    now_s = 100.0
    health.record_fault("r", now_s)
    now_s = probe_lasting(health, runner, 1, now_s + QUARANTINE_S)
    now_s += 0.5
    if fails == "lasting":
        runner.remove(TaskId("1" * 16, 0, 0, 0), 1)
        health.record_end("r", "1" * 16, True, now_s)
    else:
        # Tasks that were placed in between stand still.
        now_s += 2.5
        health.record_fault("r", now_s)
    assert not health.is_usable(runner, now_s + QUARANTINE_S + 0.1)


def test_absent_tasks_need_not_wait_until_an_earlier_one_has_survived():
    """Guards against absent tasks that share the room of a runner one by one."""
    entry = RunnerEntry("r", 1, "a:1", "s", "z", capacity=Resources(8000, 9000, 0))
    runner = Runner(entry, 6.0)
    health = RunnerHealth()
    health.record_fault("r", 100.0)
    now_s = 100.0 + EARLY_PROBE_S
    assert not health.may_probe_early(runner, now_s - 0.1)
    for index in range(3):
        assert health.may_probe_early(runner, now_s)
        task = TaskId("1" * 16, 0, 0, index)
        attempt = Attempt(task, 1, runner.id, 1, created_s=now_s)
        allocation = runner.add(attempt, make_step(3, lasting=True))
        assert not health.may_probe_early(runner, now_s)
        now_s += 0.1
        allocation.record_start(now_s)
    assert not health.is_usable(runner, now_s)
