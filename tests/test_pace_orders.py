"""Pace orders must bring each task to the pace requested last, with few calls.

A task that fills must not stay at a high pace beside a serving task above its target.
"""

from types import SimpleNamespace

import anyio

from flamingoweir.dispatch import (
    EndedTask,
    Fenced,
    RunnerReport,
    RunnerUnreachable,
    RunningTask,
)
from flamingoweir.dispatch._context import TermEnd
from flamingoweir.dispatch._orders import OrderSender
from flamingoweir.dispatch._owner_state import OwnerState
from flamingoweir.dispatch._watch import RunnerWatch
from flamingoweir.jobs import Attempt, AttemptState, Outcome, StepSpec, TaskId
from flamingoweir.metrics import NoMetrics
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources
from tests.utils.virtual_time import VirtualClock, run_virtual

TASK = TaskId("job", 0, 0, 0)
#: Seconds that let all tasks of the event loop advance.
STEP_S = 0.001


class PaceLink:
    """A link that records pace orders; each waits for its response or its error.

    Attributes
    ----------
    sent : list of int
        Percent of each order, in the order of sending.
    applied : list of int
        Percent of each order that was carried out, in that order.
    """

    def __init__(self) -> None:
        self.sent: list[int] = []
        self.applied: list[int] = []
        self._answers: list[tuple[anyio.Event, list]] = []

    async def set_pace(self, task: TaskId, run: int, percent: int, fence: int) -> None:
        self.sent.append(percent)
        answered, errors = anyio.Event(), []
        self._answers.append((answered, errors))
        await answered.wait()
        if errors:
            raise errors[0]
        self.applied.append(percent)

    async def answer(self, number: int, error: Exception | None = None) -> None:
        """Let the order with a number, from 0, return or fail."""
        answered, errors = self._answers[number]
        if error is not None:
            errors.append(error)
        answered.set()
        await anyio.sleep(STEP_S)


class PacedRunner:
    """A runner with one running task that fills, its watch and its order sender."""

    def __init__(self, task_group):
        clock = VirtualClock()
        self.owner_state = OwnerState(clock, NoMetrics(), 10.0)
        entry = RunnerEntry("r", 1, "s", "a:1", "z", capacity=Resources(64_000, 0, 0))
        self.owner_state.update_runners({"r": entry})
        runner = self.owner_state.runner_by_id["r"]
        runner.incarnation = 1
        self.attempt = Attempt(TASK, 1, "r", 1, AttemptState.RUNNING, clock.now())
        self.attempt.last_progress_s = clock.now()
        spec = StepSpec(1, Resources(8_000, 0, 0), image="batch", uses_spare=True)
        runner.add(self.attempt, spec)
        # Without measurements of a serving task, the policy leaves the pace alone.
        serving = Attempt(TaskId("web", 0, 0, 0), 1, "r", 1, AttemptState.RUNNING)
        runner.add(
            serving,
            StepSpec(1, image="web", latency_target_ms=50, lasting=True),
        )
        self.link = PaceLink()
        self.term_end = TermEnd()
        context = SimpleNamespace(
            owner_state=self.owner_state,
            clock=clock,
            writer=SimpleNamespace(fence=7),
            metrics=NoMetrics(),
            wall_ms=lambda: 0.0,
        )
        link_by_runner = {"r": self.link}
        orders = OrderSender(context, None, self.term_end, task_group, link_by_runner)
        self._watch = RunnerWatch(context, orders, self.term_end, runner, self.link)

    async def restart(self) -> None:
        """Let the next incarnation report the runs, which late orders have started."""
        running = [RunningTask(TaskId("web", 0, 0, 0), 1), RunningTask(TASK, 1)]
        await self._watch._begin_incarnation(RunnerReport(2, 0.0, running, []), 7)

    async def poll(self, percent: int | None = None, ended: bool = False) -> None:
        """Apply a report after the requested pace has become ``percent``."""
        if percent is not None:
            self.attempt.requested_pace_percent = percent
        running = [RunningTask(TaskId("web", 0, 0, 0), 1)]
        ends = [EndedTask(1, TASK, 1, Outcome.DONE)] if ended else []
        if not ended:
            running.append(RunningTask(TASK, 1, progress_percent=1.0))
        await self._watch._apply_report(
            RunnerReport(1, 0.0, running, ends), anyio.current_time()
        )
        await anyio.sleep(STEP_S)


def run_paced(scenario) -> None:
    """Run a scenario with a runner; orders still in flight at its end are dropped."""

    async def run():
        async with anyio.create_task_group() as task_group:
            await scenario(PacedRunner(task_group))
            task_group.cancel_scope.cancel()

    run_virtual(run)


def test_pace_order_is_not_sent_again_while_one_is_in_flight():
    """Guards against one order at each poll until the first has a response."""

    async def scenario(paced: PacedRunner):
        await paced.poll(40)
        for _ in range(5):
            await paced.poll()
        assert paced.link.sent == [40]
        await paced.link.answer(0)
        await paced.poll()
        assert paced.link.sent == [40]
        assert paced.attempt.pace_percent == 40

    run_paced(scenario)


def test_newer_pace_wins_over_a_delayed_older_one():
    """Guards against an order that is carried out after a newer one of the same task.

    The runner would keep the older pace, while the owner takes the newer one for
    confirmed, or sends the older one again and again.
    """

    async def scenario(paced: PacedRunner):
        await paced.poll(80)
        await paced.poll(20)
        # The newer order overtakes the older one where both are in flight.
        for number in reversed(range(len(paced.link.sent))):
            await paced.link.answer(number)
        for number in range(len(paced.link.applied), len(paced.link.sent)):
            await paced.link.answer(number)
        assert paced.link.applied[-1] == 20
        assert paced.attempt.pace_percent == 20

    run_paced(scenario)


def test_newest_pace_is_sent_as_soon_as_the_order_in_flight_returns():
    """Guards against a lowering that waits for the next poll, or sends stale paces."""

    async def scenario(paced: PacedRunner):
        await paced.poll(80)
        await paced.poll(60)
        await paced.poll(0)
        await paced.link.answer(0)
        assert paced.link.sent == [80, 0]
        await paced.link.answer(1)
        assert paced.attempt.pace_percent == 0

    run_paced(scenario)


def test_lost_pace_order_is_repeated_after_the_next_poll():
    """Guards against a task that keeps its pace because one order was lost."""

    async def scenario(paced: PacedRunner):
        await paced.poll(40)
        await paced.link.answer(0, RunnerUnreachable("r"))
        await paced.poll()
        assert paced.link.sent == [40, 40]
        await paced.link.answer(1)
        assert paced.attempt.pace_percent == 40

    run_paced(scenario)


def test_pace_is_sent_again_to_the_next_incarnation():
    """Guards against a late start that works at full pace beside serving tasks."""

    async def scenario(paced: PacedRunner):
        await paced.poll(40)
        await paced.link.answer(0)
        await paced.restart()
        await paced.poll(40)
        assert paced.link.sent == [40, 40]

    run_paced(scenario)


def test_newest_pace_is_sent_at_once_after_a_lost_order():
    """Guards against a lowering that waits for a poll after a lost order."""

    async def scenario(paced: PacedRunner):
        await paced.poll(80)
        await paced.poll(0)
        await paced.link.answer(0, RunnerUnreachable("r"))
        assert paced.link.sent == [80, 0]

    run_paced(scenario)


def test_former_pace_is_sent_after_an_order_that_may_have_been_carried_out():
    """Guards against a task that stays slow by an order whose response was lost.

    The requested pace returns to the one that was confirmed last, which the runner may
    have left on the lost order.
    """

    async def scenario(paced: PacedRunner):
        await paced.poll(40)
        await paced.link.answer(0, RunnerUnreachable("r"))
        await paced.poll(100)
        assert paced.link.sent == [40, 100]

    run_paced(scenario)


def test_attempt_that_ends_during_a_pace_order_gets_no_other():
    """Guards against orders for a run that has ended."""

    async def scenario(paced: PacedRunner):
        await paced.poll(40)
        paced.attempt.requested_pace_percent = 0
        await paced.poll(ended=True)
        await paced.link.answer(0, RunnerUnreachable("r"))
        await paced.poll(ended=True)
        assert paced.link.sent == [40]

    run_paced(scenario)


def test_fenced_pace_order_ends_the_term():
    """Guards against an owner that goes on after another has taken its runner."""

    async def scenario(paced: PacedRunner):
        await paced.poll(40)
        await paced.link.answer(0, Fenced("r"))
        assert "higher fencing token" in paced.term_end.reason

    run_paced(scenario)
