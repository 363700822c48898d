"""Processor time of an owner for the reports of runners.

Run ``python -m benchmarks.polls``. Reports of runners in memory, on which serving tasks
share the processors with tasks on spare ones, are applied one after another; no calls
are made. Prints the processor time of a report, the number of pace changes and of pace
orders, and a digest of all decisions, by which two builds can be compared.
"""

import argparse
import cProfile
import hashlib
import io
import pstats
import random
import time
from types import SimpleNamespace

from flamingoweir import logs
from flamingoweir.clock import Clock
from flamingoweir.dispatch import EndedTask, RunnerReport, RunningTask
from flamingoweir.dispatch._owner_state import OwnerState
from flamingoweir.dispatch._watch import RunnerWatch
from flamingoweir.jobs import Attempt, AttemptState, Outcome, StepSpec, TaskId
from flamingoweir.metrics import NoMetrics
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources
from flamingoweir.standins import ContentionModel, sinusoidal_load

from .colocation import BATCH_IMAGES, SERVING_IMAGES, make_effects

#: Seconds between two reports of a runner.
POLL_S = 0.2
#: Share of the reports that list the end of a task.
END_SHARE = 0.4


def run_at_once(coroutine) -> None:
    """Run a coroutine that has nothing to wait for: on this clock no slice is over."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise RuntimeError("the coroutine waits")


class _SteppedClock(Clock):
    def __init__(self) -> None:
        self.now_s = 1000.0

    def now(self) -> float:
        return self.now_s


class _Orders:
    """Confirms each pace order when the runner's next report is applied."""

    def __init__(self) -> None:
        self.count = 0
        self.sent: list[Attempt] = []

    def set_pace(self, attempt: Attempt) -> None:
        self.count += 1
        self.sent.append(attempt)

    def confirm(self) -> None:
        for attempt in self.sent:
            attempt.pace_percent = attempt.requested_pace_percent
        self.sent.clear()


class Fleet:
    """Runners with running tasks, and one watch for each."""

    def __init__(self, seed: int, runners: int, tasks: int):
        self._random = random.Random(seed)
        self._clock = _SteppedClock()
        self._contention = ContentionModel(
            sinusoidal_load(0.45, 0.5, 14.0), make_effects(seed)
        )
        self.orders = _Orders()
        self.owner_state = OwnerState(self._clock, NoMetrics(), 10.0)
        self._task_count = 0
        self._end_counts: dict[str, int] = {}
        self._watches = []
        context = SimpleNamespace(owner_state=self.owner_state, clock=self._clock)
        for number in range(runners):
            runner_id = f"runner-{number}"
            entry = RunnerEntry(
                runner_id,
                1,
                "s",
                "a:1",
                "z",
                capacity=Resources(96_000, 256_000, 0),
            )
            self.owner_state.update_runners(
                {**self._entries(), runner_id: entry},
            )
            runner = self.owner_state.runner_by_id[runner_id]
            runner.incarnation = 1
            for _ in range(self._random.randint(tasks - 5, tasks + 5)):
                self._add(runner, self._random.random() < 0.5)
            watch = RunnerWatch(context, self.orders, None, runner, None)
            self._watches.append(watch)

    def _entries(self) -> dict[str, RunnerEntry]:
        return {r.id: r.entry for r in self.owner_state.runner_by_id.values()}

    def _add(self, runner, serving: bool) -> None:
        self._task_count += 1
        task = TaskId(f"job-{self._task_count // 4}", 0, 0, self._task_count)
        if serving:
            image = f"serve-{self._random.randrange(SERVING_IMAGES)}"
            spec = StepSpec(
                1,
                Resources(5_000, 5_000, 0),
                image=image,
                latency_target_ms=50,
                lasting=True,
            )
        else:
            image = f"batch-{self._random.randrange(BATCH_IMAGES)}"
            spec = StepSpec(
                1,
                Resources(4_000, 5_000, 0),
                image=image,
                uses_spare=True,
                checkpoints=True,
            )
        attempt = Attempt(
            task, 1, runner.id, 1, AttemptState.RUNNING, self._clock.now_s
        )
        attempt.last_progress_s = self._clock.now_s
        runner.add(attempt, spec)

    def _report(self, runner) -> RunnerReport:
        now_s = self._clock.now_s
        ended = []
        for allocation in list(runner.allocation_by_run.values()):
            attempt = allocation.attempt
            finished = not ended and allocation.spec.uses_spare
            finished = finished and self._random.random() < END_SHARE
            if not finished and attempt.state is not AttemptState.STOPPING:
                continue
            number = self._end_counts.get(runner.id, 0) + 1
            self._end_counts[runner.id] = number
            ended.append(EndedTask(number, attempt.task, 1, Outcome.DONE))
        ended_tasks = {end.task for end in ended}
        capacity = runner.entry.capacity.processors_milli
        runs = [
            (a.attempt.task.job, a.spec, a.attempt.pace_percent)
            for a in runner.allocation_by_run.values()
        ]
        running = []
        for allocation in runner.allocation_by_run.values():
            attempt, spec = allocation.attempt, allocation.spec
            if attempt.task in ended_tasks:
                continue
            load = spec.demand.processors_milli * attempt.pace_percent / 100
            if spec.latency_target_ms:
                load = self._contention.tail_latency_ms(
                    attempt.task.job, spec, capacity, runs, now_s
                )
            progress = min(99.0, attempt.progress_percent + 3)
            running.append(RunningTask(attempt.task, 1, "", progress, load))
        return RunnerReport(1, 1000 * now_s, running, ended)

    def play(self, seconds: float) -> tuple[int, float, str]:
        """Apply reports; return their number, the time in seconds and a digest."""
        digest = hashlib.sha256()
        count, used_s = 0, 0.0
        until_s = self._clock.now_s + seconds
        while self._clock.now_s < until_s:
            self._clock.now_s += POLL_S
            self.orders.confirm()
            for watch in self._watches:
                runner = watch._runner
                report = self._report(runner)
                started_s = time.process_time()
                run_at_once(watch._apply_report(report, self._clock.now_s))
                used_s += time.process_time() - started_s
                count += 1
                self._update_digest(digest, runner)
                for _ in report.ended:
                    self._add(runner, False)
        return count, used_s, digest.hexdigest()[:16]

    @staticmethod
    def _update_digest(digest, runner) -> None:
        for allocation in runner.allocation_by_run.values():
            attempt = allocation.attempt
            row = (
                str(attempt.task),
                attempt.requested_pace_percent,
                attempt.state.value,
                allocation.headroom_deviation,
            )
            digest.update(repr(row).encode())


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--runners", type=int, default=246)
    parser.add_argument("--tasks", type=int, default=25)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--profile", action="store_true")
    args = parser.parse_args()
    lines = io.StringIO()
    logs.configure(lines)
    fleet = Fleet(args.seed, args.runners, args.tasks)
    profile = cProfile.Profile()
    if args.profile:
        profile.enable()
    count, used_s, digest = fleet.play(args.seconds)
    if args.profile:
        profile.disable()
        pstats.Stats(profile).sort_stats("cumtime").print_stats("flamingoweir", 45)
    print(f"reports {count}  us_per_report {1e6 * used_s / count:.0f}  digest {digest}")
    text = lines.getvalue()
    print(f"log_lines {text.count(chr(10))}  pace_orders {fleet.orders.count}")


if __name__ == "__main__":
    main()
