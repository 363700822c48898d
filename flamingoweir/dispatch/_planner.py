"""Gives room to steps whose turn has come."""

from ..fleet import Runner
from ..jobs import StepRun
from ..logs import get_logger
from ..policy import Placement, place_gang, rank
from ._context import Permit, TermContext

log = get_logger()

#: Seconds between passes when nothing has changed; occurrences come due meanwhile.
TICK_S = 0.1
#: Steps that found no room after which a pass ends; the rest would hardly fare better.
MAX_MISSES = 40


class Planner:
    """Decides which task is started where.

    Parameters
    ----------
    context : TermContext
        The term.
    permit : Permit
        Whether anything may be started.
    """

    def __init__(self, context: TermContext, permit: Permit):
        self._context = context
        self._book = context.book
        self._permit = permit
        self._placement = Placement(context.book.trust)

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            await self._book.work.wait(TICK_S)
            self._book.lapse_unlisted()
            if self._permit.valid():
                self.plan()

    def plan(self) -> None:
        """Make attempts for all that finds room."""
        now_s = self._context.clock.now()
        wall_ms = self._context.wall_ms()
        usable = [r for r in self._book.runner_by_id.values() if self._permit.allows(r)]
        misses = 0
        for step in self._ready(now_s, wall_ms):
            if not self._place(step, usable, now_s):
                misses += 1
            if misses > MAX_MISSES:
                return

    def _ready(self, now_s: float, wall_ms: float) -> list[StepRun]:
        ready = []
        for job in self._book.job_by_id.values():
            job.open_due(wall_ms)
            for step in job.ready_steps():
                if step.ready_since_s is None:
                    step.ready_since_s = now_s
                if step.retry_at_s <= now_s:
                    ready.append(step)
        ready.sort(key=lambda step: rank(step, now_s, wall_ms))
        return ready

    def _place(self, step: StepRun, usable: list[Runner], now_s: float) -> bool:
        """Place all open tasks of a step; return whether all found room."""
        candidates = self._placement.candidates(step, usable, now_s)
        if step.spec.gang:
            return self._place_gang(step, candidates)
        for index in sorted(step.open):
            runner = self._placement.choose(step, index, candidates, now_s)
            if runner is None:
                return False
            self._start(step, index, runner, now_s)
        return True

    def _place_gang(self, step: StepRun, candidates: list[Runner]) -> bool:
        if len(step.open) < step.spec.count:
            return False
        runners = place_gang(step, candidates)
        if runners is None:
            return False
        self._book.start_gang(step, runners)
        return True

    def _start(self, step: StepRun, index: int, runner: Runner, now_s: float) -> None:
        attempt = self._book.start(step, index, runner)
        log.info(
            "attempt_placed",
            task=str(attempt.task),
            run=attempt.run,
            runner=runner.id,
            waited_ms=round(1000 * (now_s - step.ready_since_s)),
            room_milli=runner.room.processors_milli,
            configuration=self._context.operators.configuration.version,
        )
