"""A task runner in memory that records the starts and ends of its runs."""

from collections.abc import Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio

from .._call_limit import CallLimit
from ..dispatch import (
    EndedTask,
    Fenced,
    OrderRank,
    RunnerLink,
    RunnerReport,
    RunnerUnreachable,
    RunningTask,
    StartOrder,
    StartResult,
)
from ..jobs import Outcome, StepSpec, TaskId
from ..resources import Resources
from ._contention import ContentionModel

#: Seconds between checks for new ends in a poll that waits.
POLL_CHECK_INTERVAL_S = 0.01
#: Largest number of orders that an instance sends to one runner at once.
ORDER_CONNECTIONS = 4
#: Time of an order that follows another one in a write, as a share of a call's.
FOLLOWING_SHARE = 0.05
#: Seconds for which a call waits in vain for a response.
LOST_RESPONSE_S = 0.5


@dataclass(frozen=True, slots=True)
class RunRecord:
    """One event of a run, as recorded by its runner.

    Attributes
    ----------
    at_s : float
        Time of the event in seconds on the event loop's clock.
    runner : str
        Id of the runner.
    kind : str
        ``start``; an outcome's value when the run ended; ``crashed`` when the runner
        crashed during the run; ``noted`` when the end was acknowledged; ``reopened``
        when the lease lapsed, or the runner crashed, before the acknowledgement.
    task : TaskId
        Id of the task.
    run : int
        Number of the run.
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
    remaining_s: float
    outcome: Outcome
    pace: int = 100
    #: When a stop that was ordered ends the run.
    stopped_s: float | None = None


#: Returns the run time in seconds and the outcome of a run of a task.
RunPlan = Callable[[TaskId, int], tuple[float, Outcome]]
#: Returns the step that a task belongs to.
FindSpec = Callable[[TaskId], StepSpec]
#: A call that a runner carries out.
Call = Callable[[], object]


class MemoryRunner:
    """A runner with fencing, a lease, limited capacity and acknowledged ends.

    Parameters
    ----------
    runner_id : str
        Id of the runner.
    capacity : Resources
        Total resources; a start that would exceed them is rejected unless
        `guards_capacity` is false. A test may change them.
    find_spec : callable
        Returns the step that a task belongs to.
    plan : callable
        Returns the run time in seconds and the outcome of a run.
    rate : float
        Rate of the runner's clock; 1 is the rate of the event loop's clock.
    contention : ContentionModel or None
        How colocated tasks slow each other down; None if they do not.
    max_lease_s : float
        Longest lease that the runner grants, in seconds from a call, on its clock.

    Attributes
    ----------
    records : list of RunRecord
        All events in the order in which they were recorded.
    incarnation : int
        Number of the runner's incarnation; `restart` adds one.
    up : bool
        Whether the runner is up; after a crash it has no runs and sends no responses.
    closes_connections : bool
        Whether calls fail at once while the runner is not up.
    guards_capacity : bool
        Whether starts that would exceed the capacity are rejected.
    starts_over_capacity : list of RunRecord
        Starts that were carried out although they exceeded the capacity.
    rejected_for_room : int
        Number of starts that were rejected because they would exceed the capacity.
    stop_s : float
        Seconds that a stop takes; until then the run holds its resources.
    faulty : bool
        Whether it rejects all starts as unhealthy, though it is listed as ready.
    """

    def __init__(
        self,
        runner_id: str,
        capacity: Resources,
        find_spec: FindSpec,
        plan: RunPlan,
        rate: float = 1.0,
        contention: ContentionModel | None = None,
        max_lease_s: float = 10.0,
    ):
        self.id = runner_id
        self.capacity = capacity
        self.records: list[RunRecord] = []
        self.incarnation = 1
        self.up = True
        self.closes_connections = False
        self.saves = True
        self.guards_capacity = True
        self.starts_over_capacity: list[RunRecord] = []
        self.rejected_for_room = 0
        self.stop_s = 0.0
        self.faulty = False
        self._rate = rate
        self._contention = contention
        self._find_spec = find_spec
        self._plan = plan
        self._max_lease_s = max_lease_s
        self._fence = 0
        self._lease_end_ms = 0.0
        self._started_s = anyio.current_time()
        self._advanced_s = anyio.current_time()
        #: Calls that are under way, by the time at which they arrive.
        self._calls_under_way: list[tuple[float, Call]] = []
        #: When the call arrived that is carried out; None: now.
        self._arrived_s: float | None = None
        self._run_by_task: dict[TaskId, _Run] = {}
        self._highest_run_by_task: dict[TaskId, int] = {}
        self._ended_tasks: list[EndedTask] = []
        self._end_count = 0
        self._last_reopened_end = 0

    @property
    def clock_ms(self) -> float:
        """Time on the runner's clock in milliseconds."""
        return 1000 * (self._now() - self._started_s) * self._rate

    @property
    def reserved(self) -> Resources:
        """Sum of the resources reserved by all runs."""
        total = Resources()
        for run in self._run_by_task.values():
            total = total + run.spec.reserved
        return total

    @property
    def tasks(self) -> list[TaskId]:
        """Tasks with a run."""
        return list(self._run_by_task)

    def crash(self, closes: bool = False) -> None:
        """Lose all runs and ends, and stop responding until `restart`.

        Parameters
        ----------
        closes : bool
            Whether only the process has crashed, so that its machine closes all
            connections at once. Otherwise calls time out.
        """
        self.closes_connections = closes
        self.advance()
        for task, run in list(self._run_by_task.items()):
            self._record_event("crashed", task, run.order.run)
        # Ends that were not acknowledged are lost with the runner.
        self._reopen_ends(self._now())
        self._run_by_task.clear()
        self._highest_run_by_task.clear()
        self._ended_tasks.clear()
        self.up = False

    def restart(self) -> None:
        """Begin a new incarnation with the same id."""
        if self.up:
            self.crash()
        self.incarnation += 1
        self.up = True
        self._fence = 0
        self._lease_end_ms = 0.0
        self._end_count = 0
        self._last_reopened_end = 0
        self._started_s = self._advanced_s = anyio.current_time()

    def deliver(self, arrives_s: float, call: Call) -> None:
        """Carry out a call that nobody waits for when it arrives.

        It is lost if the runner is not up then, and reaches any incarnation.

        Parameters
        ----------
        arrives_s : float
            Time of the arrival, in seconds on the event loop's clock.
        call : callable
            Calls a method of this runner.
        """
        self._calls_under_way.append((arrives_s, call))

    def start(self, order: StartOrder) -> tuple[StartResult, float | None]:
        """Carry out an order to start a run.

        Returns
        -------
        StartResult
            ``STARTED`` also for a run that is running already.
        float or None
            Time on the runner's clock in milliseconds; None from a faulty runner.
        """
        self.advance()
        if self.faulty:
            return StartResult.UNHEALTHY, None
        if order.fence < self._fence:
            return StartResult.FENCED, self.clock_ms
        self._fence = order.fence
        active = self._run_by_task.get(order.task)
        if active is not None and active.order.run == order.run:
            return StartResult.STARTED, self.clock_ms
        if order.run <= self._highest_run_by_task.get(order.task, 0):
            self._extend_lease(order.deadline_ms)
            return StartResult.STALE, self.clock_ms
        if order.deadline_ms <= self.clock_ms:
            return StartResult.LATE, self.clock_ms
        self._extend_lease(order.deadline_ms)
        spec = self._find_spec(order.task)
        has_room = spec.reserved.fits_in(self.capacity - self.reserved)
        if active is not None or (self.guards_capacity and not has_room):
            self.rejected_for_room += 1
            return StartResult.NO_ROOM, self.clock_ms
        total_s, outcome = self._plan(order.task, order.run)
        remaining_s = total_s - float(order.checkpoint or 0)
        self._run_by_task[order.task] = _Run(order, spec, remaining_s, outcome)
        self._record_event("start", order.task, order.run)
        if not has_room:
            self.starts_over_capacity.append(self.records[-1])
        return StartResult.STARTED, self.clock_ms

    def stop(self, task: TaskId, run: int, fence: int) -> None:
        """Stop a run; raise Fenced if the fencing token is stale."""
        self.advance()
        self._accept_fence(fence)
        highest = self._highest_run_by_task.get(task, 0)
        self._highest_run_by_task[task] = max(highest, run)
        active = self._run_by_task.get(task)
        if active is None or active.order.run != run:
            return
        if not self.stop_s:
            self._end(task, Outcome.STOPPED)
        elif active.stopped_s is None:
            active.stopped_s = self._now() + self.stop_s

    def fail(self, task: TaskId) -> None:
        """End the run of a task as failed."""
        self.end(task, Outcome.FAILED)

    def end(self, task: TaskId, outcome: Outcome) -> None:
        """End the run of a task."""
        self.advance()
        self._end(task, outcome)

    def set_pace(self, task: TaskId, run: int, percent: int, fence: int) -> None:
        """Set the speed of a run in percent; raise Fenced if the token is stale."""
        self.advance()
        self._accept_fence(fence)
        active = self._run_by_task.get(task)
        if active is not None and active.order.run == run:
            active.pace = percent

    def poll(
        self, fence: int, acknowledged: int, deadline_ms: int | None
    ) -> RunnerReport:
        """Renew the lease, drop acknowledged ends, and report runs and ends.

        For the arguments see `RunnerLink.poll`; raise Fenced if the token is stale.
        """
        self.advance()
        self._accept_fence(fence)
        if deadline_ms is not None:
            self._extend_lease(deadline_ms)
        unacknowledged = []
        for end in self._ended_tasks:
            if end.number > acknowledged:
                unacknowledged.append(end)
                continue
            self._record_event("noted", end.task, end.run)
        self._ended_tasks = unacknowledged
        running = []
        for task, run in self._run_by_task.items():
            total_s, _ = self._plan(task, run.order.run)
            percent = 100 * (1 - run.remaining_s / total_s) if total_s else 100
            if run.spec.lasting:
                percent = 100.0
            checkpoint, load = self._get_checkpoint(run), self._measure_load(task, run)
            running.append(RunningTask(task, run.order.run, checkpoint, percent, load))
        return RunnerReport(
            self.incarnation, self.clock_ms, running, list(unacknowledged)
        )

    @property
    def unacknowledged_ends(self) -> int:
        """Number of ends that have not been acknowledged."""
        return len(self._ended_tasks)

    def advance(self) -> None:
        """Carry out what has arrived; end runs that are finished or without a lease."""
        if self._arrived_s is None:
            self._carry_out_arrived()
        now_s = self._now()
        lease_end_s = self._started_s + self._lease_end_ms / 1000 / self._rate
        until_s = min(now_s, max(self._advanced_s, lease_end_s))
        spare_speed = self._spare_speed()
        for task, run in list(self._run_by_task.items()):
            if run.stopped_s is not None:
                if run.stopped_s <= until_s:
                    self._end(task, Outcome.STOPPED, run.stopped_s)
                continue
            speed = run.pace / 100
            if run.spec.uses_spare:
                speed *= spare_speed
            if run.spec.lasting or not speed:
                continue
            end_s = self._advanced_s + run.remaining_s / speed
            run.remaining_s -= (until_s - self._advanced_s) * speed
            if run.remaining_s <= 1e-9:
                # The checkpoint is that of the end, not of this call.
                run.remaining_s = 0.0
                self._end(task, run.outcome, end_s)
        if now_s >= lease_end_s:
            for task in list(self._run_by_task):
                self._end(task, Outcome.LAPSED, until_s)
            self._reopen_ends(until_s)
        self._advanced_s = now_s

    def tail_latencies(self) -> list[tuple[float, float]]:
        """Return tail latency and target of each serving task, in milliseconds."""
        found = []
        for task, run in self._run_by_task.items():
            if run.spec.latency_target_ms:
                tail_latency_ms = self._measure_load(task, run) or 0.0
                found.append((tail_latency_ms, run.spec.latency_target_ms))
        return found

    def _carry_out_arrived(self) -> None:
        """Carry out the calls under way that have arrived, each as of its arrival."""
        now_s = anyio.current_time()
        arrived = [item for item in self._calls_under_way if item[0] <= now_s]
        for item in sorted(arrived, key=lambda item: item[0]):
            self._calls_under_way.remove(item)
            if not self.up or item[0] < self._started_s:
                continue
            self._arrived_s = max(item[0], self._advanced_s)
            try:
                item[1]()
            except Fenced:
                continue
            finally:
                self._arrived_s = None

    def _now(self) -> float:
        """Return the present, or the arrival of the call that is carried out."""
        if self._arrived_s is not None:
            return self._arrived_s
        return anyio.current_time()

    def _extend_lease(self, deadline_ms: float) -> None:
        """Extend the lease to a deadline, by the longest lease at most."""
        longest_ms = self.clock_ms + 1000 * self._max_lease_s
        self._lease_end_ms = max(self._lease_end_ms, min(deadline_ms, longest_ms))

    def _list_runs(self) -> list[tuple[str, StepSpec, int]]:
        found = []
        for task, run in self._run_by_task.items():
            found.append((task.job, run.spec, run.pace))
        return found

    def _spare_speed(self) -> float:
        if self._contention is None:
            return 1.0
        total = self.capacity.processors_milli
        runs = self._list_runs()
        return self._contention.spare_speed(total, runs, self._now())

    def _measure_load(self, task: TaskId, run: _Run) -> float | None:
        """Return the value of `RunningTask.load` for a run."""
        if self._contention is None:
            return None
        if run.spec.latency_target_ms:
            total = self.capacity.processors_milli
            runs = self._list_runs()
            return self._contention.tail_latency_ms(
                task.job, run.spec, total, runs, self._now()
            )
        return run.spec.demand.processors_milli * run.pace / 100 * self._spare_speed()

    def _reopen_ends(self, at_s: float) -> None:
        """Record ends whose lease lapsed before they were acknowledged."""
        for end in self._ended_tasks:
            if end.number > self._last_reopened_end:
                self._last_reopened_end = end.number
                self._record_event("reopened", end.task, end.run, at_s)

    def _accept_fence(self, fence: int) -> None:
        """Store a fencing token; raise Fenced if a higher one is stored."""
        if fence < self._fence:
            raise Fenced(self.id)
        self._fence = fence

    def _get_checkpoint(self, run: _Run) -> str:
        if not run.spec.checkpoints:
            return ""
        total_s, _ = self._plan(run.order.task, run.order.run)
        return f"{max(0.0, total_s - run.remaining_s):.3f}"

    def _end(self, task: TaskId, outcome: Outcome, at_s: float | None = None) -> None:
        run = self._run_by_task.pop(task)
        highest = self._highest_run_by_task.get(task, 0)
        self._highest_run_by_task[task] = max(highest, run.order.run)
        self._end_count += 1
        checkpoint = self._get_checkpoint(run) if outcome is not Outcome.DONE else ""
        self._ended_tasks.append(
            EndedTask(self._end_count, task, run.order.run, outcome, checkpoint)
        )
        self._record_event(outcome.value, task, run.order.run, at_s)

    def _record_event(
        self, kind: str, task: TaskId, run: int, at_s: float | None = None
    ) -> None:
        if at_s is None:
            at_s = self._now()
        self.records.append(RunRecord(at_s, self.id, kind, task, run))


class MemoryRunnerLink(RunnerLink):
    """An instance's link to a runner in memory, with faults that a test can inject.

    Parameters
    ----------
    runner : MemoryRunner
        The runner.
    delay_s : float
        Seconds that a call takes.

    Attributes
    ----------
    disconnected : bool
        Whether calls are lost: they do not reach the runner and get no response.
    loses_polls : bool
        Whether polls reach the runner without a response, unlike orders.
    loses_responses : bool
        Whether calls reach the runner without a response.
    lose_starts : int
        How many of the next starts reach the runner without a response.
    lose_renewals : int
        The same for polls and renewals that extend a lease.
    lose_acknowledgements : int
        The same for polls that acknowledge ends.
    delivery_delay_s : float
        Seconds after which these calls reach the runner; 0 delivers them at once.
    acknowledgement_delay_s : float or None
        The same for polls that acknowledge ends; None: as for the others.
    answered_stops : int
        How many of several stop orders in one write get a response.
    unanswered_starts : list of (float, TaskId, int)
        Time of sending, task and run of each start order without a response, also if
        its caller ended before that.
    """

    def __init__(self, runner: MemoryRunner, delay_s: float = 0.001):
        self.runner = runner
        self.disconnected = False
        self.loses_polls = False
        self.loses_responses = False
        self.lose_starts = 0
        self.lose_renewals = 0
        self.lose_acknowledgements = 0
        self.delivery_delay_s = 0.0
        self.acknowledgement_delay_s: float | None = None
        self.answered_stops = 1_000
        self.unanswered_starts: list[tuple[float, TaskId, int]] = []
        self._delay_s = delay_s
        self._order_limit = CallLimit(ORDER_CONNECTIONS)

    async def start(
        self, order: StartOrder, may_send: Callable[[], bool] | None = None
    ) -> tuple[StartResult, float | None]:
        """See `RunnerLink.start`."""
        async with self._hold_connection(OrderRank.START):
            if may_send is not None and not may_send():
                return StartResult.UNSENT, None
            sent = anyio.current_time(), order.task, order.run
            self.unanswered_starts.append(sent)
            result, clock_ms = await self._start(order)
            if result is not StartResult.UNKNOWN:
                self.unanswered_starts.remove(sent)
            return result, clock_ms

    async def _start(self, order: StartOrder) -> tuple[StartResult, float | None]:
        if not await self._reach():
            return StartResult.UNKNOWN, None
        if self.lose_starts:
            self.lose_starts -= 1
            await self._lose(lambda: self.runner.start(order))
            return StartResult.UNKNOWN, None
        result = self.runner.start(order)
        if self.loses_responses:
            await anyio.sleep(LOST_RESPONSE_S)
            return StartResult.UNKNOWN, None
        await anyio.sleep(self._delay_s)
        return result

    async def stop(self, task: TaskId, run: int, fence: int) -> None:
        """See `RunnerLink.stop`."""
        async with self._hold_connection(OrderRank.STOP):
            await self._reach_or_fail()
            self.runner.stop(task, run, fence)
            await self._return_or_fail()

    async def stop_runs(
        self, runs: Sequence[tuple[TaskId, int]], fence: int, in_a_turn: int
    ) -> int:
        """See `RunnerLink.stop_runs`."""
        async with self._hold_connection(OrderRank.STOP):
            await self._reach_or_fail()
            answered = 0
            begun_s = anyio.current_time()
            for task, run in runs:
                # A runner doesn't wait for the owner's event loop in between.
                due_s = begun_s + answered * self._delay_s * FOLLOWING_SHARE
                if due_s > anyio.current_time():
                    await anyio.sleep(due_s - anyio.current_time())
                if self.disconnected or not self.runner.up:
                    break
                self.runner.stop(task, run, fence)
                if answered == self.answered_stops:
                    # It is carried out without a response.
                    break
                answered += 1
                if answered % in_a_turn == 0:
                    await anyio.sleep(0)
            await self._return_or_fail()
            if not answered:
                raise RunnerUnreachable(self.runner.id)
            return answered

    async def set_pace(self, task: TaskId, run: int, percent: int, fence: int) -> None:
        """See `RunnerLink.set_pace`."""
        async with self._hold_connection(OrderRank.PACE):
            await self._reach_or_fail()
            self.runner.set_pace(task, run, percent, fence)
            await self._return_or_fail()

    async def poll(
        self, fence: int, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> RunnerReport:
        """See `RunnerLink.poll`."""
        until_s = anyio.current_time() + wait_s
        await self._reach_or_fail()
        await self._lose_renewal(fence, acknowledged, deadline_ms)
        report = self.runner.poll(fence, acknowledged, deadline_ms)
        await self._return_or_fail()
        while not report.ended and anyio.current_time() < until_s:
            await anyio.sleep(POLL_CHECK_INTERVAL_S)
            if self.loses_polls:
                break
            if self.runner.incarnation != report.incarnation:
                # The deadline is on the clock of the incarnation that was called.
                deadline_ms = None
            if self.disconnected or not self.runner.up:
                await self._reach_or_fail()
            self.runner.advance()
            if self.runner.unacknowledged_ends or anyio.current_time() >= until_s:
                report = self.runner.poll(fence, acknowledged, deadline_ms)
        if self.loses_polls:
            await anyio.sleep(until_s + LOST_RESPONSE_S - anyio.current_time())
            raise RunnerUnreachable(self.runner.id)
        return report

    async def renew(self, fence: int, deadline_ms: int) -> None:
        """See `RunnerLink.renew`."""
        async with self._hold_connection(OrderRank.PROBE):
            await self._reach_or_fail()
            await self._lose_renewal(fence, 0, deadline_ms)
            self.runner.poll(fence, 0, deadline_ms)
            await self._return_or_fail()

    async def probe(self, fence: int) -> float | None:
        """See `RunnerLink.probe`."""
        async with self._hold_connection(OrderRank.PROBE):
            await self._reach_or_fail()
            clock_ms = self.runner.poll(fence, 0, None).clock_ms
            await self._return_or_fail()
            return clock_ms

    async def aclose(self) -> None:
        """See `RunnerLink.aclose`."""

    @asynccontextmanager
    async def _hold_connection(self, rank: OrderRank):
        await self._order_limit.acquire(rank)
        try:
            yield
        finally:
            self._order_limit.release()

    async def _lose(self, call: Call, delay_s: float | None = None) -> None:
        """Deliver a call late, or at once, and wait in vain for its response."""
        delay_s = self.delivery_delay_s if delay_s is None else delay_s
        if delay_s:
            self.runner.deliver(anyio.current_time() + delay_s, call)
        else:
            call()
        await anyio.sleep(LOST_RESPONSE_S)

    async def _lose_renewal(
        self, fence: int, acknowledged: int, deadline_ms: int | None
    ) -> None:
        """Lose a renewal or an acknowledgement, if that is asked for."""
        delay_s = None
        if acknowledged and self.lose_acknowledgements:
            self.lose_acknowledgements -= 1
            delay_s = self.acknowledgement_delay_s
        elif deadline_ms is not None and self.lose_renewals:
            self.lose_renewals -= 1
        else:
            return
        await self._lose(
            lambda: self.runner.poll(fence, acknowledged, deadline_ms), delay_s
        )
        raise RunnerUnreachable(self.runner.id)

    async def _reach(self) -> bool:
        await anyio.sleep(self._delay_s)
        if self.disconnected or not self.runner.up:
            if self.disconnected or not self.runner.closes_connections:
                await anyio.sleep(LOST_RESPONSE_S)
            return False
        return True

    async def _reach_or_fail(self) -> None:
        if not await self._reach():
            raise RunnerUnreachable(self.runner.id)

    async def _return_or_fail(self) -> None:
        if self.loses_responses:
            await anyio.sleep(LOST_RESPONSE_S)
            raise RunnerUnreachable(self.runner.id)
