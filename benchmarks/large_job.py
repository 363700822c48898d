"""Processor time of an owner for a job with very many tasks, as it ends or is lost.

Run ``python -m benchmarks.large_job [--sizes 1000 3000 12000 48000]``. The job is
cancelled, fails, loses its leases, or is taken over by a next owner. Prints for each
the time for one task and the longest time for which the owner doesn't give way; the
first must not grow with the number of tasks.
"""

import argparse
import dataclasses
import gc
import io
import time
from collections.abc import Callable, Iterator

from flamingoweir import logs
from flamingoweir.dispatch._owner_state import OwnerState
from flamingoweir.dispatch._term import RESTORED_AT_ONCE
from flamingoweir.jobs import Attempt, Job, Outcome
from flamingoweir.metrics import NoMetrics
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources
from tests.utils.cluster import make_job, make_step

RUNNERS = 12
SIZES = (1_000, 3_000, 12_000, 48_000)
#: Seconds after which all leases of the runners have lapsed.
LONG_S = 1_000.0


class Clock:
    """A clock that a benchmark sets."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def now(self) -> float:
        """Return the time in seconds."""
        return self.now_s


class LargeJob:
    """An owner's state with one job of which all tasks run, beside a small one."""

    def __init__(self, tasks: int, restored: bool = False):
        self.clock = Clock()
        self.state = OwnerState(self.clock, NoMetrics(), 10.0)
        capacity = Resources(10**9, 10**9, 0)
        entries = {}
        for number in range(RUNNERS):
            name = f"runner-{number}"
            entries[name] = RunnerEntry(
                name, 1, "zone", "127.0.0.1:1", "", capacity=capacity
            )
        self.state.update_runners(entries)
        self.runners = list(self.state.runner_by_id.values())
        for runner in self.runners:
            runner.incarnation = 1
            runner.record_response(0.0, self.clock.now())
        spec = make_job(1, make_step(tasks))
        policy = dataclasses.replace(spec.policy, max_attempts=1)
        self.job: Job = self.state.add_job(dataclasses.replace(spec, policy=policy))
        step = self.job.run_by_step[0, 0]
        self.attempts: list[Attempt] = []
        for index in range(tasks):
            runner = self.runners[index % RUNNERS]
            if restored:
                self.job.restore_attempt(step, index, 1, runner.id, 1)
                continue
            attempt = self.state.add_attempt(step, index, runner)
            self.state.record_start(attempt)
            self.attempts.append(attempt)
        self.state.pending_starts.clear()

    def end(self, attempt: Attempt, outcome: Outcome) -> None:
        """Apply the end of an attempt that its runner reports."""
        runner = self.state.runner_by_id[attempt.runner]
        self.state.end_attempt(runner, attempt.task, attempt.run, outcome, "")

    def end_all(self, outcome: Outcome) -> Iterator[Callable]:
        """Yield what an owner does from when the job has ended until all is stopped."""
        yield self.state.stops.take
        while self.state.stops.mark_more():
            yield self.state.stops.take
        for attempt in self.attempts:
            yield lambda attempt=attempt: self.end(attempt, outcome)


def cancel(tasks: int) -> Iterator[Callable]:
    """Yield the parts of a cancellation."""
    large = LargeJob(tasks)
    yield lambda: large.state.cancel_job(large.job.spec.id)
    yield from large.end_all(Outcome.STOPPED)


def fail(tasks: int) -> Iterator[Callable]:
    """Yield the parts of a failure."""
    large = LargeJob(tasks)
    yield lambda: large.end(large.attempts.pop(), Outcome.FAILED)
    yield from large.end_all(Outcome.STOPPED)


def lapse(tasks: int) -> Iterator[Callable]:
    """Yield the parts of a loss of all runners."""
    large = LargeJob(tasks)
    for runner in large.runners:
        runner.record_no_response(large.clock.now())
    large.clock.now_s += LONG_S
    for runner in large.runners:
        while runner.has_attempts:
            yield lambda runner=runner: large.state.lapses.end_lapsed(runner)


def take_over(tasks: int) -> Iterator[Callable]:
    """Yield the parts of a takeover of a job that was cancelled."""
    large = LargeJob(tasks, restored=True)
    large.job.cancel()
    large.attempts = list(large.job.attempts())
    for first in range(0, tasks, RESTORED_AT_ONCE):
        some = large.attempts[first : first + RESTORED_AT_ONCE]
        yield lambda some=some: large.state.restore_attempts(large.job, some)
    yield lambda: large.state.finish_restore(large.job)
    yield from large.end_all(Outcome.STOPPED)


def main() -> None:
    """Print the figures for each play and size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    options = parser.parse_args()
    logs.configure(io.StringIO(), "error")
    # Collections of what the benchmark holds would count as an owner's time.
    gc.disable()
    for play in (cancel, fail, lapse, take_over):
        for tasks in options.sizes:
            total_s = longest_s = 0.0
            for part in play(tasks):
                began_s = time.perf_counter()
                part()
                part_s = time.perf_counter() - began_s
                total_s += part_s
                longest_s = max(longest_s, part_s)
            print(
                f"{play.__name__:10} {tasks:6} tasks: "
                f"{1e6 * total_s / tasks:6.1f} us a task, "
                f"longest {1e3 * longest_s:6.1f} ms"
            )


if __name__ == "__main__":
    main()
