"""One life of a runner as a process, in the platform's format.

The process waits for a line of its input, so that its life begins at once. Then it
prints its port and its start time, and each event of its runs, one JSON list a line. It
ends when its input is closed.
"""

import argparse
import sys
import time

import anyio
import anyio.to_thread
import orjson

from benchmarks.platform_standin import RunnerApp
from benchmarks.process_fleet import HOST
from flamingoweir.daemon._server import HttpServer
from flamingoweir.jobs import Outcome, StepSpec, TaskId
from flamingoweir.resources import Resources
from flamingoweir.standins import MemoryRunner

#: Seconds between checks for runs that have ended and leases that have lapsed.
TICK_S = 0.01


def describe_step(
    tasks: int, processors_milli: int, task_s: float, lasting: bool = False
) -> dict:
    """Return what a payload tells the runner of one step of a job."""
    return {
        "tasks": tasks,
        "processors_milli": processors_milli,
        "task_s": task_s,
        "lasting": lasting,
    }


class PayloadSteps:
    """The steps of jobs, as described in the payloads of start orders."""

    def __init__(self) -> None:
        self._steps_by_job: dict[str, list[dict]] = {}

    def add(self, task: TaskId, payload: str) -> None:
        """Read the payload of a task's start order."""
        self._steps_by_job[task.job] = orjson.loads(payload)

    def find_spec(self, task: TaskId) -> StepSpec:
        """Return the step of a task."""
        step = self._steps_by_job[task.job][task.step]
        demand = Resources(step["processors_milli"], 0, 0)
        return StepSpec(step["tasks"], demand, step["task_s"], lasting=step["lasting"])

    def plan(self, task: TaskId, run: int) -> tuple[float, Outcome]:
        """Return the run time and the outcome of a run."""
        return self._steps_by_job[task.job][task.step]["task_s"], Outcome.DONE


class LifeOfRunner(MemoryRunner):
    """A runner whose clock begins at any value; its start time is its incarnation."""

    def __init__(
        self,
        runner_id: str,
        capacity: Resources,
        steps: PayloadSteps,
        clock_s: float,
        rate: float,
        max_lease_s: float,
    ):
        super().__init__(
            runner_id,
            capacity,
            steps.find_spec,
            steps.plan,
            rate,
            max_lease_s=max_lease_s,
        )
        self.incarnation = time.time_ns() // 1_000_000
        self._started_s -= clock_s / rate


class LifeApp(RunnerApp):
    """Serves one life of a runner; it learns of jobs from start orders."""

    def __init__(self, runner: MemoryRunner, steps: PayloadSteps):
        super().__init__(runner)
        self._steps = steps

    async def _answer(self, path: str, message: dict) -> tuple[int, dict]:
        if path == "/-/run-start":
            self._steps.add(TaskId.parse(message["Task"]), message["Spec"])
        return await super()._answer(path, message)


def print_line(*fields: object) -> None:
    """Print one line at once, so that a kill loses none."""
    sys.stdout.buffer.write(orjson.dumps(fields) + b"\n")
    sys.stdout.buffer.flush()


async def run_life(arguments: argparse.Namespace) -> None:
    """Serve until the input is closed."""
    steps = PayloadSteps()
    runner = LifeOfRunner(
        arguments.id,
        Resources(arguments.processors_milli, 64_000, 0),
        steps,
        arguments.clock_s,
        arguments.rate,
        arguments.max_lease_s,
    )
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(HttpServer(LifeApp(runner, steps), HOST, 0).run)
        print_line(port, runner.incarnation)
        tasks.start_soon(_print_records, runner)
        await anyio.to_thread.run_sync(sys.stdin.buffer.read)
        tasks.cancel_scope.cancel()


async def _print_records(runner: MemoryRunner) -> None:
    while True:
        runner.advance()
        for line in runner.records:
            print_line(line.at_s, line.kind, str(line.task), line.run)
        runner.records.clear()
        await anyio.sleep(TICK_S)


def main() -> None:
    """Run one life."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--processors-milli", type=int, required=True)
    parser.add_argument("--clock-s", type=float, required=True)
    parser.add_argument("--rate", type=float, default=1.0)
    parser.add_argument("--max-lease-s", type=float, required=True)
    arguments = parser.parse_args()
    if sys.stdin.buffer.readline():
        anyio.run(run_life, arguments)


if __name__ == "__main__":
    main()
