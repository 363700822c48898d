"""Decides which ready tasks start, and on which runners."""

import anyio

from ..fleet import Runner
from ..jobs import StepRun
from ..logs import get_logger
from ..policy import (
    MAX_PLACEMENT_WAIT_S,
    PlacementPolicy,
    StepPlacement,
    place_gang,
    sort_key,
    unplaced_s,
)
from ..resources import Resources
from ._context import Permit, TermContext

log = get_logger()

#: Seconds between passes when nothing has changed; occurrences of scheduled jobs may
#: come due meanwhile.
PASS_INTERVAL_S = 0.1
#: Shortest time between the starts of two passes, in seconds. A pass tries every
#: waiting step; with a long backlog, passes without a pause would delay polls and
#: orders.
MIN_PASS_INTERVAL_S = 0.025
#: Seconds that a step waits before a runner is reserved for it.
RESERVE_AFTER_S = 0.5
#: Seconds until a runner is reserved for a step with long-running tasks, whose absence
#: users notice at once.
RESERVE_AFTER_LASTING_S = 0.1
#: Largest number of runners reserved at the same time.
MAX_RESERVED_RUNNERS = 4
#: Seconds between log lines on the load of the runners.
LOAD_LOG_INTERVAL_S = 2.0
#: Number of unplaced steps after which a pass ends, as the remaining steps are unlikely
#: to find resources.
MAX_UNPLACED_STEPS = 40


class UnplacedSteps:
    """Steps that found no runner in the current pass.

    Free resources only shrink within a pass, so that a step of the same kind with the
    same or a larger demand need not be tried.

    Parameters
    ----------
    now_s : float
        Start of the pass on the owner's clock, in seconds.
    """

    def __init__(self, now_s: float) -> None:
        self._now_s = now_s
        self._demands_by_kind: dict[tuple, list[Resources]] = {}

    def rules_out(self, step: StepRun) -> bool:
        """Return whether a step can't be placed in this pass."""
        spec = step.spec
        if spec.gang or step.unplaced_since_s is None:
            return False
        for demand in self._demands_by_kind.get(self._demand_kind(step), ()):
            if demand.fits_in(spec.demand):
                return True
        return False

    def add(self, step: StepRun) -> None:
        """Record a step that was not placed.

        A gang, or a step with a limit per runner, a data rack or runners on which its
        tasks failed, is left out: a step without that constraint may still fit.
        """
        spec = step.spec
        if spec.gang or spec.max_per_runner or spec.data_rack:
            return
        if any(task.failed_runners for task in step.tasks):
            return
        self._demands_by_kind.setdefault(self._demand_kind(step), []).append(
            spec.demand
        )

    def _demand_kind(self, step: StepRun) -> tuple:
        spec = step.spec
        # Past the maximum wait, a task may run where it disturbs serving tasks.
        past_max_wait = unplaced_s(step, self._now_s) > MAX_PLACEMENT_WAIT_S
        service = step.job.spec.policy.service
        return service, spec.label, spec.image, spec.uses_spare, past_max_wait


class Planner:
    """Places the tasks of ready steps on runners.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    permit : Permit
        Checks whether tasks may be started, and on which runners.
    """

    def __init__(self, context: TermContext, permit: Permit):
        self._context = context
        self._owner_state = context.owner_state
        self._permit = permit
        self._load_logged_s = float("-inf")
        self._pass_started_s = float("-inf")
        self._placement = PlacementPolicy(
            context.owner_state.health, context.owner_state.colocation
        )

    async def run(self) -> None:
        """Run placement passes until cancelled."""
        while True:
            await self._owner_state.placement_wakeup.wait(PASS_INTERVAL_S)
            since_s = self._context.clock.now() - self._pass_started_s
            if since_s < MIN_PASS_INTERVAL_S:
                await anyio.sleep(MIN_PASS_INTERVAL_S - since_s)
            self._pass_started_s = self._context.clock.now()
            self._owner_state.remove_lapsed_unlisted()
            if self._permit.is_valid():
                self.plan()

    def plan(self) -> None:
        """Run one pass: create attempts for all tasks that can be placed."""
        now_s = self._context.clock.now()
        wall_ms = self._context.wall_ms()
        usable = [
            r
            for r in self._owner_state.runner_by_id.values()
            if self._permit.allows_runner(r)
        ]
        self._log_load(usable, now_s)
        unplaced_count = 0
        reserved_ids: set[str] = set()
        unplaced = UnplacedSteps(now_s)
        for step in self._find_ready_steps(now_s, wall_ms):
            free = [r for r in usable if r.id not in reserved_ids]
            if not unplaced.rules_out(step) and self._place(step, free, now_s):
                continue
            unplaced.add(step)
            unplaced_count += 1
            if unplaced_count > MAX_UNPLACED_STEPS:
                return
            self._reserve_runner(step, usable, reserved_ids, now_s)

    def _reserve_runner(
        self, step: StepRun, usable: list[Runner], reserved_ids: set[str], now_s: float
    ) -> None:
        """Reserve a runner for a step that has waited long for enough resources."""
        reserve_after_s = (
            RESERVE_AFTER_LASTING_S if step.spec.lasting else RESERVE_AFTER_S
        )
        if step.spec.uses_spare or step.spec.gang:
            return
        if (
            len(reserved_ids) >= MAX_RESERVED_RUNNERS
            or now_s - step.ready_since_s < reserve_after_s
        ):
            return
        candidates = self._placement.candidates(step, usable, now_s)
        runner = self._placement.reserve(step, candidates, frozenset(reserved_ids))
        if runner is not None:
            reserved_ids.add(runner.id)

    def _log_load(self, usable: list[Runner], now_s: float) -> None:
        """Log the load of the runners every `LOAD_LOG_INTERVAL_S`."""
        if now_s - self._load_logged_s < LOAD_LOG_INTERVAL_S:
            return
        self._load_logged_s = now_s
        runners = self._owner_state.runner_by_id.values()
        total = Resources()
        reserved = Resources()
        for runner in runners:
            total = total + runner.entry.capacity
            reserved = reserved + runner.reserved
        log.info(
            "fleet_load",
            runners=len(runners),
            usable=len(usable),
            serving=sum(1 for r in runners if r.serving_count),
            cores=total.processors_milli // 1000,
            cores_reserved=reserved.processors_milli // 1000,
            cores_wanted_spare=sum(r.spare_demand_milli for r in runners) // 1000,
            memory_share=round(reserved.memory_mb / max(1, total.memory_mb), 2),
            jobs=len(self._owner_state.job_by_id),
            open_tasks=sum(
                len(step.open_indexes)
                for job in self._owner_state.job_by_id.values()
                for step in job.ready_steps()
            ),
        )

    def _find_ready_steps(self, now_s: float, wall_ms: float) -> list[StepRun]:
        ready = []
        for job in self._owner_state.job_by_id.values():
            job.open_due(wall_ms)
            for step in job.ready_steps():
                if step.ready_since_s is None:
                    step.ready_since_s = now_s
                if step.retry_at_s <= now_s:
                    ready.append(step)
        ready.sort(key=lambda step: sort_key(step, now_s, wall_ms))
        return ready

    def _place(self, step: StepRun, usable: list[Runner], now_s: float) -> bool:
        """Place the open tasks of a step; return whether all were placed."""
        candidates = self._placement.candidates(step, usable, now_s)
        if step.spec.gang:
            return self._place_gang(step, candidates)
        placement = StepPlacement(self._placement, step, candidates, now_s)
        for index in sorted(step.open_indexes):
            runner = placement.choose(index)
            if runner is None:
                if step.unplaced_since_s is None:
                    step.unplaced_since_s = now_s
                return False
            self._start(step, index, runner, now_s)
            placement.record_placed()
        step.unplaced_since_s = None
        return True

    def _place_gang(self, step: StepRun, candidates: list[Runner]) -> bool:
        if len(step.open_indexes) < step.spec.count:
            return False
        runners = place_gang(step, candidates)
        if runners is None:
            return False
        self._owner_state.add_gang_attempts(step, runners)
        return True

    def _start(self, step: StepRun, index: int, runner: Runner, now_s: float) -> None:
        attempt = self._owner_state.add_attempt(step, index, runner)
        log.info(
            "attempt_placed",
            task=str(attempt.task),
            run=attempt.run,
            runner=runner.id,
            waited_ms=round(1000 * (now_s - step.ready_since_s)),
            free_milli=runner.free_resources.processors_milli,
            configuration=self._context.operators.configuration.version,
        )
