"""A runner in memory that keeps a record of what it was made to do."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from ..dispatch import (
    EndedTask,
    Fenced,
    RunnerLink,
    RunnerReport,
    RunnerUnreachable,
    RunningTask,
    StartOrder,
    StartResult,
)
from ..jobs import Outcome, StepSpec, TaskId
from ..resources import Resources
from ._neighbours import ContentionModel

#: Seconds between looks of a waiting call.
POLL_S = 0.01


@dataclass(frozen=True, slots=True)
class RunRecord:
    """One line of a runner's own record.

    Attributes
    ----------
    at_s : float
        When it happened.
    runner : str
        The runner.
    kind : str
        ``start``, how the run ended, ``noted`` when that was acknowledged, or
        ``reopened`` when the lease ran out, or the runner crashed, before.
    task, run : TaskId, int
        The run.
    """

    at_s: float
    runner: str
    kind: str
    task: TaskId
    run: int


@dataclass(slots=True)
class _Run:
    order: StartOrder
    spec: StepSpec
    left_s: float
    outcome: Outcome
    pace: int = 100


#: How long a run takes and how it ends.
RunPlan = Callable[[TaskId, int], tuple[float, Outcome]]
#: Finds what a task asks for.
FindSpec = Callable[[TaskId], StepSpec]


class MemoryRunner:
    """A runner: fence, lease, room, lists, ends that are repeated.

    Parameters
    ----------
    runner_id : str
        Its id.
    capacity : Resources
        What it has; more is refused.
    find_spec : callable
        What a task asks for.
    plan : callable
        How long a run takes and how it ends.
    rate : float
        Speed of its clock.
    contention : Neighbours or None
        What its tasks do to each other; None: nothing.

    Attributes
    ----------
    records : list of RunRecord
        All starts and ends.
    up : bool
        Whether it runs; down runners answer nothing and lose everything.
    """

    def __init__(
        self,
        runner_id: str,
        capacity: Resources,
        find_spec: FindSpec,
        plan: RunPlan,
        rate: float = 1.0,
        contention: ContentionModel | None = None,
    ):
        self.id = runner_id
        self.capacity = capacity
        self.records: list[RunRecord] = []
        self.incarnation = 1
        self.up = True
        self.saves = True
        self._rate = rate
        self._neighbours = contention
        self._find_spec = find_spec
        self._plan = plan
        self._fence = 0
        self._due_ms = 0.0
        self._born_s = anyio.current_time()
        self._advanced_s = anyio.current_time()
        self._run_by_task: dict[TaskId, _Run] = {}
        self._highest_by_task: dict[TaskId, int] = {}
        self._ended: list[EndedTask] = []
        self._ends = 0
        self._reopened = 0

    @property
    def clock_ms(self) -> float:
        """Its own clock."""
        return 1000 * (anyio.current_time() - self._born_s) * self._rate

    @property
    def reserved(self) -> Resources:
        """What its runs take."""
        total = Resources()
        for run in self._run_by_task.values():
            total = total + run.spec.reserved
        return total

    def crash(self) -> None:
        """Lose everything; answers nothing until `restart`."""
        self.advance()
        for task, run in list(self._run_by_task.items()):
            self._note("crashed", task, run.order.run)
        # Ends that nobody has taken note of are lost with the runner.
        self._reopen_ends(anyio.current_time())
        self._run_by_task.clear()
        self._highest_by_task.clear()
        self._ended.clear()
        self.up = False

    def restart(self) -> None:
        """Begin a new life under the same id."""
        if self.up:
            self.crash()
        self.incarnation += 1
        self.up = True
        self._fence = 0
        self._due_ms = 0.0
        self._ends = 0
        self._reopened = 0
        self._born_s = self._advanced_s = anyio.current_time()

    def start(self, order: StartOrder) -> tuple[StartResult, float]:
        """Take an order to start."""
        self.advance()
        if order.fence < self._fence:
            return StartResult.FENCED, self.clock_ms
        self._fence = order.fence
        known = self._run_by_task.get(order.task)
        if known is not None and known.order.run == order.run:
            return StartResult.STARTED, self.clock_ms
        if order.run <= self._highest_by_task.get(order.task, 0):
            self._due_ms = max(self._due_ms, order.deadline_ms)
            return StartResult.STALE, self.clock_ms
        if order.deadline_ms <= self.clock_ms:
            return StartResult.LATE, self.clock_ms
        self._due_ms = max(self._due_ms, order.deadline_ms)
        spec = self._find_spec(order.task)
        if known is not None or not spec.reserved.fits_in(
            self.capacity - self.reserved
        ):
            return StartResult.NO_ROOM, self.clock_ms
        total_s, outcome = self._plan(order.task, order.run)
        left_s = total_s - float(order.checkpoint or 0)
        self._run_by_task[order.task] = _Run(order, spec, left_s, outcome)
        self._note("start", order.task, order.run)
        return StartResult.STARTED, self.clock_ms

    def stop(self, task: TaskId, run: int, fence: int) -> None:
        """Take an order to stop; raises Fenced."""
        self.advance()
        self._raise_fence(fence)
        highest = self._highest_by_task.get(task, 0)
        self._highest_by_task[task] = max(highest, run)
        known = self._run_by_task.get(task)
        if known is not None and known.order.run == run:
            self._end(task, Outcome.STOPPED)

    def set_pace(self, task: TaskId, run: int, percent: int, fence: int) -> None:
        """Take an order to work at a share; raises Fenced."""
        self.advance()
        self._raise_fence(fence)
        known = self._run_by_task.get(task)
        if known is not None and known.order.run == run:
            known.pace = percent

    def poll(
        self, fence: int, acknowledged: int, deadline_ms: int | None
    ) -> RunnerReport:
        """Prolong the lease and return both lists; raises Fenced."""
        self.advance()
        self._raise_fence(fence)
        if deadline_ms is not None:
            self._due_ms = max(self._due_ms, deadline_ms)
        kept = []
        for end in self._ended:
            if end.number > acknowledged:
                kept.append(end)
                continue
            self._note("noted", end.task, end.run)
        self._ended = kept
        running = []
        for task, run in self._run_by_task.items():
            total_s, _ = self._plan(task, run.order.run)
            percent = 100 * (1 - run.left_s / total_s) if total_s else 100
            if run.spec.lasting:
                percent = 100.0
            checkpoint, load = self._saved(run), self._load(task, run)
            running.append(RunningTask(task, run.order.run, checkpoint, percent, load))
        return RunnerReport(self.incarnation, self.clock_ms, running, list(kept))

    @property
    def unacknowledged_ends(self) -> int:
        """How many ends wait to be acknowledged."""
        return len(self._ended)

    def advance(self) -> None:
        """Bring runs up to the present: some end, or their lease runs out."""
        now_s = anyio.current_time()
        lapse_s = self._born_s + self._due_ms / 1000 / self._rate
        until_s = min(now_s, max(self._advanced_s, lapse_s))
        spare_speed = self._spare_speed()
        for task, run in list(self._run_by_task.items()):
            speed = run.pace / 100
            if run.spec.uses_spare:
                speed *= spare_speed
            if run.spec.lasting or not speed:
                continue
            end_s = self._advanced_s + run.left_s / speed
            run.left_s -= (until_s - self._advanced_s) * speed
            if run.left_s <= 1e-9:
                self._end(task, run.outcome, end_s)
        if now_s >= lapse_s:
            for task in list(self._run_by_task):
                self._end(task, Outcome.LAPSED, until_s)
            self._reopen_ends(until_s)
        self._advanced_s = now_s

    def tail_latencies(self) -> list[tuple[float, float]]:
        """Return tail and target of each serving task, in milliseconds."""
        found = []
        for task, run in self._run_by_task.items():
            if run.spec.latency_target_ms:
                tail_latency_ms = self._load(task, run) or 0.0
                found.append((tail_latency_ms, run.spec.latency_target_ms))
        return found

    def _neighbourhood(self) -> list[tuple[str, StepSpec, int]]:
        found = []
        for task, run in self._run_by_task.items():
            found.append((task.job, run.spec, run.pace))
        return found

    def _spare_speed(self) -> float:
        if self._neighbours is None:
            return 1.0
        total = self.capacity.processors_milli
        runs = self._neighbourhood()
        return self._neighbours.spare_speed(total, runs, anyio.current_time())

    def _load(self, task: TaskId, run: _Run) -> float | None:
        """Return the figure that a look tells of a run; see `RunningTask.load`."""
        if self._neighbours is None:
            return None
        if run.spec.latency_target_ms:
            total = self.capacity.processors_milli
            runs = self._neighbourhood()
            return self._neighbours.tail_latency_ms(
                task.job, run.spec, total, runs, anyio.current_time()
            )
        return run.spec.demand.processors_milli * run.pace / 100 * self._spare_speed()

    def _reopen_ends(self, at_s: float) -> None:
        """Note ends whose lease ran out before they were acknowledged."""
        for end in self._ended:
            if end.number > self._reopened:
                self._reopened = end.number
                self._note("reopened", end.task, end.run, at_s)

    def _raise_fence(self, fence: int) -> None:
        if fence < self._fence:
            raise Fenced(self.id)
        self._fence = fence

    def _saved(self, run: _Run) -> str:
        if not run.spec.checkpoints:
            return ""
        total_s, _ = self._plan(run.order.task, run.order.run)
        return f"{max(0.0, total_s - run.left_s):.3f}"

    def _end(self, task: TaskId, outcome: Outcome, at_s: float | None = None) -> None:
        run = self._run_by_task.pop(task)
        highest = self._highest_by_task.get(task, 0)
        self._highest_by_task[task] = max(highest, run.order.run)
        self._ends += 1
        checkpoint = self._saved(run) if outcome is not Outcome.DONE else ""
        self._ended.append(
            EndedTask(self._ends, task, run.order.run, outcome, checkpoint)
        )
        self._note(outcome.value, task, run.order.run, at_s)

    def _note(
        self, kind: str, task: TaskId, run: int, at_s: float | None = None
    ) -> None:
        if at_s is None:
            at_s = anyio.current_time()
        self.records.append(RunRecord(at_s, self.id, kind, task, run))


class MemoryRunnerLink(RunnerLink):
    """One instance's way to a runner in memory.

    Attributes
    ----------
    disconnected : bool
        Lets calls go unanswered, and nothing arrives.
    lose_starts : int
        How many of the next starts arrive without an answer.
    delivery_delay_s : float
        Seconds after which these starts arrive; 0: at once.
    """

    def __init__(self, runner: MemoryRunner, delay_s: float = 0.001):
        self.runner = runner
        self.disconnected = False
        self.lose_starts = 0
        self.delivery_delay_s = 0.0
        self._delay_s = delay_s
        self._late: list[tuple[float, StartOrder]] = []

    async def start(self, order: StartOrder) -> tuple[StartResult, float | None]:
        """See `RunnerLink.start`."""
        if not await self._reach():
            return StartResult.UNKNOWN, None
        if self.lose_starts:
            self.lose_starts -= 1
            if self.delivery_delay_s:
                self._late.append((anyio.current_time() + self.delivery_delay_s, order))
            else:
                self.runner.start(order)
            await anyio.sleep(0.5)
            return StartResult.UNKNOWN, None
        result = self.runner.start(order)
        await anyio.sleep(self._delay_s)
        return result

    async def stop(self, task: TaskId, run: int, fence: int) -> None:
        """See `RunnerLink.stop`."""
        await self._reach_or_fail()
        self.runner.stop(task, run, fence)

    async def set_pace(self, task: TaskId, run: int, percent: int, fence: int) -> None:
        """See `RunnerLink.set_pace`."""
        await self._reach_or_fail()
        self.runner.set_pace(task, run, percent, fence)

    async def poll(
        self, fence: int, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> RunnerReport:
        """See `RunnerLink.poll`."""
        await self._reach_or_fail()
        until_s = anyio.current_time() + wait_s
        report = self.runner.poll(fence, acknowledged, deadline_ms)
        while not report.ended and anyio.current_time() < until_s:
            await anyio.sleep(POLL_S)
            if self.disconnected or not self.runner.up:
                await self._reach_or_fail()
            self.runner.advance()
            if self.runner.unacknowledged_ends or anyio.current_time() >= until_s:
                report = self.runner.poll(fence, acknowledged, deadline_ms)
        return report

    async def aclose(self) -> None:
        """See `RunnerLink.aclose`."""

    async def _reach(self) -> bool:
        now_s = anyio.current_time()
        for item in [item for item in self._late if item[0] <= now_s]:
            self._late.remove(item)
            if self.runner.up:
                self.runner.start(item[1])
        await anyio.sleep(self._delay_s)
        if self.disconnected or not self.runner.up:
            await anyio.sleep(0.5)
            return False
        return True

    async def _reach_or_fail(self) -> None:
        if not await self._reach():
            raise RunnerUnreachable(self.runner.id)
