"""Decides which ready tasks start, and on which runners."""

import anyio

from ..fleet import Runner
from ..jobs import StepRun
from ..logs import get_logger
from ..policy import (
    SUSPECT_WAIT_S,
    BatchHeadroom,
    PlacementPolicy,
    StepPlacement,
    place_gang,
)
from ._candidates import CandidateLists
from ._context import Permit, PermitWithdrawn, TermContext
from ._customer_caps import CustomerCaps
from ._deferrals import Deferrals
from ._early_probes import EarlyProbes
from ._evictions import Evictions
from ._fleet_load import FleetLoadLog, measure_load
from ._job_pauses import JobPauses
from ._ready_steps import ReadySteps
from ._task_bindings import Binding
from ._time_slice import TimeSlice
from ._unplaced_steps import UnplacedSteps

log = get_logger()

#: Seconds between passes when nothing has changed; occurrences of scheduled jobs may
#: come due meanwhile.
PASS_INTERVAL_S = 0.1
#: Shortest time between the starts of two passes, in seconds. A pass tries every
#: waiting step; with a long backlog, passes without a pause would delay polls and
#: orders.
MIN_PASS_INTERVAL_S = 0.025
#: Longest pause after a pass in seconds. A pass is followed by a pause as long as it
#: held the event loop, so that futile passes take at most half of the time; this bound
#: lets the next step of a job start in about a tenth of a second.
MAX_PASS_PAUSE_S = 0.1
#: Seconds that a step waits before a runner is reserved for it.
RESERVE_AFTER_S = 0.5
#: Seconds until a runner is reserved for a step with long-running tasks, whose absence
#: users notice at once.
RESERVE_AFTER_LASTING_S = 0.1
#: Largest number of runners reserved at the same time.
MAX_RESERVED_RUNNERS = 4
#: Number of unplaced steps after which a pass ends, as the remaining steps are unlikely
#: to find resources. Steps with long-running tasks, which come first, don't count.
MAX_UNPLACED_STEPS = 40
#: Number of failures after which a task waits no longer for a start on the only runner
#: that it may run on, but for that restriction to end.
MAX_BOUND_FAILURES = 2
#: Seconds after which a pass looks for steps that have become ready meanwhile, so that
#: the next step of a job, or an urgent one, need not wait for the end of the pass.
COLLECT_INTERVAL_S = 0.1
#: Seconds after which a pass ends once all steps that were ready at its start have had
#: their turn, so that resources that became free since go to the most urgent steps.
MAX_PASS_S = 0.5


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
        self._next_pass_s = float("-inf")
        self._now_s = 0.0
        #: Runners with attempts of suspected tasks; None: not looked for since the pass
        #: has begun or given way.
        self._suspect_runners: set[str] | None = None
        self._runner_by_step: dict[StepRun, Runner] = {}
        self._placement = PlacementPolicy(
            context.owner_state.health, context.owner_state.colocation
        )
        self._time_slice = TimeSlice(context.clock)
        self._candidates = CandidateLists(self._placement, [], {}, 0.0)
        self._evictions = Evictions(context.owner_state)
        self._early_probes = EarlyProbes(self._placement, self._evictions)
        self._late_runs = context.owner_state.late_runs
        self._waits = context.owner_state.waits.steps
        self._headroom = BatchHeadroom()
        self._pauses = JobPauses(context.owner_state)
        self._caps = CustomerCaps(context)
        self._deferrals = Deferrals(context.owner_state)
        self._ready_steps = ReadySteps(
            context, self._pauses, self._caps, self._deferrals
        )
        self._load_log = FleetLoadLog(context.owner_state)

    async def run(self) -> None:
        """Run placement passes until cancelled."""
        while True:
            await self._owner_state.placement_wakeup.wait(PASS_INTERVAL_S)
            pause_s = self._next_pass_s - self._context.clock.now()
            if pause_s > 0:
                await anyio.sleep(pause_s)
            started_s = self._context.clock.now()
            self._next_pass_s = started_s + MIN_PASS_INTERVAL_S
            if not self._permit.is_valid():
                continue
            self._owner_state.remove_lapsed_unlisted()
            await self.plan()
            pass_s = self._context.clock.now() - started_s
            self._context.metrics.timing("placement_pass_ms", 1000 * pass_s)
            self._load_log.record_pass(pass_s)
            pause_s = min(self._time_slice.busy_s, MAX_PASS_PAUSE_S)
            self._next_pass_s = max(
                self._next_pass_s, self._context.clock.now() + pause_s
            )

    async def plan(self) -> None:
        """Run one pass: create attempts for all tasks that can be placed.

        The pass gives way to other coroutines after each slice, and ends early if the
        permit is withdrawn meanwhile.
        """
        self._time_slice = TimeSlice(self._context.clock)
        self._runner_by_step = {}
        self._collect_runners()
        self._evictions.begin_pass(self._now_s)
        self._waits.begin_pass()
        try:
            await self._place_ready_steps()
        except PermitWithdrawn:
            log.info("pass_ended", reason="no_permit")
        self._time_slice.stop()

    async def _place_ready_steps(self) -> None:
        unplaced = UnplacedSteps(self._now_s)
        started_s = self._now_s
        steps = self._ready_steps.make_queue(await self._find_ready_steps())
        collected_s = self._context.clock.now()
        in_first_list = set(steps)
        tried: set[StepRun] = set()
        unplaced_count = 0
        while steps:
            now_s = self._context.clock.now()
            if now_s - collected_s > COLLECT_INTERVAL_S:
                # Steps have become ready since, and may be more urgent.
                ready = await self._find_ready_steps()
                steps = self._ready_steps.make_queue(
                    step for step in ready if step not in tried
                )
                collected_s = self._context.clock.now()
                await self._retry_absent([s for s in ready if s in tried and s.is_away])
                if not steps or (
                    now_s - started_s > MAX_PASS_S and in_first_list.isdisjoint(steps)
                ):
                    return
            step = steps.pop()
            in_first_list.discard(step)
            try:
                was_placed = await self._place_or_make_room(step, unplaced)
                if not was_placed:
                    tried.add(step)
                    self._waits.record_unplaced(step, self._now_s)
                    unplaced_count += self._shows_lack_of_room(step)
            except PermitWithdrawn:
                raise
            except Exception as error:
                self._pauses.add(step.job.spec.id, error, self._now_s)
            if unplaced_count > MAX_UNPLACED_STEPS:
                return
            if self._time_slice.is_over():
                await self._give_way()

    async def _retry_absent(self, steps: list[StepRun]) -> None:
        """Try steps again that found no room earlier in the pass, as in a new pass.

        Under a high load a pass may last for half a minute, as more urgent steps than
        the last ones keep coming. Users notice the absence of a long-running task at
        once.
        """
        if not steps:
            return
        self._evictions.begin_pass(self._now_s)
        unplaced = UnplacedSteps(self._now_s)
        for step in steps:
            try:
                await self._place_or_make_room(step, unplaced)
            except PermitWithdrawn:
                raise
            except Exception as error:
                self._pauses.add(step.job.spec.id, error, self._now_s)
            if self._time_slice.is_over():
                await self._give_way()

    def _shows_lack_of_room(self, step: StepRun) -> bool:
        """Return whether an unplaced step makes it unlikely that others find room.

        One that fits on no runner, even an empty one, says nothing about that, nor does
        one that waits for a certain runner.
        """
        if step.spec.lasting or self._late_runs.binds_all(step):
            return False
        return self._candidates.has_large_enough(step)

    async def _place_or_make_room(self, step: StepRun, unplaced: UnplacedSteps) -> bool:
        """Place the open tasks of a step; return whether all were placed.

        For a step that found no runner, resources are made free. One whose customer is
        at its cap counts as placed.
        """
        if not self._is_ready(step):
            return True
        if self._caps.holds(step):
            self._candidates.release(step)
            return True
        # A smaller one had no part in what is promised to this step.
        is_tried = (
            not unplaced.rules_out(step)
            or self._evictions.has_promise(step)
            or self._late_runs.binds_any(step)
        )
        if is_tried and await self._place(step):
            self._candidates.release(step)
            return True
        first = next(step.placing_order(), None)
        if first is not None and self._late_runs.binds_all(step):
            self._caps.end_wait(step)
            self._evict_for(step)
            return False
        if first is not None and not self._must_leave_room(step, first):
            unplaced.add(step)
            self._caps.end_wait(step)
            self._make_room(step)
            return self._probe_early(step)
        return False

    def _probe_early(self, step: StepRun) -> bool:
        """Place absent tasks without other room on quarantined runners.

        Return whether no task of the step is left.
        """
        quarantined = self._candidates.quarantined
        if not quarantined:
            return False
        probes = self._early_probes.choose(
            step,
            quarantined,
            self._evictions.promised_to_others(step),
            self._now_s,
        )
        for index, runner in probes:
            if self._caps.holds(step):
                return False
            if self._late_runs.find_binding(step, index) is not None:
                continue
            log.info(
                "runner_probed_early", runner=runner.id, task=str(step.task_id(index))
            )
            self._start(step, index, runner)
        if step.open_indexes:
            return False
        step.unplaced_since_s = None
        self._candidates.release(step)
        return True

    async def _give_way(self) -> None:
        """Let other coroutines run, then check again what may have changed.

        Raises
        ------
        PermitWithdrawn
            If no task may be started any more.
        """
        await self._time_slice.give_way()
        if not self._permit.is_valid():
            raise PermitWithdrawn
        self._owner_state.remove_lapsed_unlisted()
        self._collect_runners()
        # Work that each slice repeats must not use the slice up.
        self._time_slice.stop()

    async def _give_way_if_over(self) -> None:
        if self._time_slice.is_over():
            await self._give_way()

    def _collect_runners(self) -> None:
        """Collect the runners that may be given tasks now."""
        self._now_s = self._context.clock.now()
        self._suspect_runners = None
        usable = [
            r
            for r in self._owner_state.runner_by_id.values()
            if self._permit.allows_runner(r)
        ]
        self._candidates = CandidateLists(
            self._placement, usable, self._runner_by_step, self._now_s
        )

    def _is_ready(self, step: StepRun) -> bool:
        """Return whether a step that was ready earlier in the pass still is."""
        job = step.job
        if self._owner_state.job_by_id.get(job.spec.id) is not job or job.is_final:
            return False
        if self._pauses.is_paused(job.spec.id, self._now_s):
            return False
        return bool(step.open_indexes) and step.retry_at_s <= self._now_s

    def _make_room(self, step: StepRun) -> None:
        """Free resources for a step that found too few, and keep them free."""
        self._evict_for(step)
        if self._candidates.has_large_enough(step):
            self._reserve_runner(step)

    def _evict_for(self, step: StepRun) -> None:
        """Evict batch for tasks of a step that have run before."""
        candidates = self._candidates.find_all(step)

        def find_others() -> list[Runner]:
            quarantined = self._candidates.quarantined
            return self._placement.early_probes(step, quarantined, self._now_s)

        self._evictions.make_room(step, candidates, find_others, self._now_s)

    def _reserve_runner(self, step: StepRun) -> None:
        """Reserve a runner for a step that has waited long for enough resources."""
        reserve_after_s = (
            RESERVE_AFTER_LASTING_S if step.spec.lasting else RESERVE_AFTER_S
        )
        if step.spec.uses_spare or step.spec.gang:
            return
        if self._now_s - step.ready_since_s < reserve_after_s:
            return
        # A step that is tried again in the same pass gets a better choice.
        self._candidates.release(step)
        reserved_ids = self._candidates.reserved_ids
        if len(reserved_ids) >= MAX_RESERVED_RUNNERS:
            return
        if not self._candidates.may_reserve(step):
            return
        candidates = self._candidates.find_all(step)
        index = self._candidates.find_index(step, is_absent=True)
        runner = self._placement.reserve(step, candidates, reserved_ids, index)
        if runner is not None:
            self._candidates.reserve(step, runner)

    async def _find_ready_steps(self) -> list[StepRun]:
        """Return the ready steps, the most urgent first."""
        self._waits.take_over(
            self._owner_state.job_by_id, self._owner_state.runner_by_id, self._now_s
        )
        steps = await self._ready_steps.find(
            lambda: self._now_s,
            self._give_way_if_over,
            lambda: self._candidates.runners,
        )
        self._load_log.log(
            self._candidates.runners,
            self._ready_steps.job_count,
            self._ready_steps.open_tasks,
            self._now_s,
        )
        load_by_service = measure_load(
            self._candidates.runners, self._owner_state.runner_by_id.values(), steps
        )
        self._headroom.update(load_by_service, self._now_s)
        self._deferrals.update(steps, self._candidates.has_large_enough, self._now_s)
        return steps

    async def _place(self, step: StepRun) -> bool:
        """Place the open tasks of a step; return whether all were placed.

        A step that is no longer ready after a slice counts as placed.
        """
        if step.spec.gang:
            return self._place_gang(step)
        placement = None
        places_absent = False
        evaluated_s = 0.0
        placed_on: dict[str, Runner] = {}
        waits_for_runner = False
        for index in step.placing_order():
            if placement is not None and self._time_slice.is_over(evaluated_s):
                await self._give_way()
                placement = None
                placed_on.clear()
                if not self._is_ready(step):
                    return True
            if index not in step.open_indexes:
                continue
            if self._caps.holds(step):
                break
            binding = self._late_runs.find_binding(step, index)
            if binding is not None:
                runner = self._choose_bound(step, index, binding)
                if runner is None:
                    waits_for_runner = True
                    continue
                self._start(step, index, runner)
                placed_on[runner.id] = runner
                placement = None
                continue
            is_absent = step.is_absent(index)
            if placement is None or is_absent != places_absent:
                places_absent = is_absent
                placement = StepPlacement(
                    self._placement,
                    step,
                    self._candidates.find(step, is_absent),
                    self._now_s,
                    self._evictions.promised_to_others(step),
                    self._candidates.find_index(step, is_absent),
                )
                evaluated_s = self._context.clock.now()
            leaves_room = self._must_leave_room(step, index)
            runner = None if leaves_room else self._choose(placement, step, index)
            if runner is None:
                if step.unplaced_since_s is None:
                    step.unplaced_since_s = self._now_s
                self._candidates.recheck(step, placed_on.values())
                return False
            self._start(step, index, runner)
            if step.spec.lasting:
                service = step.job.spec.policy.service
                self._headroom.record_placed(
                    service, step.spec.reserved.processors_milli
                )
            placement.record_placed()
            placed_on[runner.id] = runner
        self._candidates.recheck(step, placed_on.values())
        if waits_for_runner:
            if step.unplaced_since_s is None:
                step.unplaced_since_s = self._now_s
            return False
        step.unplaced_since_s = None
        return True

    def _choose_bound(
        self, step: StepRun, index: int, binding: Binding
    ) -> Runner | None:
        """Return the runner that a task waits for, if the task may start there now.

        The runner may fail all that it starts. So a task that has failed there twice is
        not tried there again, nor a batch task with one attempt left.
        """
        if binding.failures >= MAX_BOUND_FAILURES:
            return None
        task, spec = step.tasks.view(index), step.spec
        left = step.job.spec.policy.max_attempts - task.failures
        if not spec.lasting and task.failures and left < 2:
            return None
        runner = self._owner_state.runner_by_id.get(binding.runner)
        if runner is None or not self._permit.allows_runner(runner):
            return None
        candidates = self._placement.candidates(step, [runner], self._now_s)
        withheld = self._evictions.promised_to_others(step)
        placement = StepPlacement(
            self._placement, step, candidates, self._now_s, withheld
        )
        return placement.choose(index)

    def _choose(
        self, placement: StepPlacement, step: StepRun, index: int
    ) -> Runner | None:
        """Choose a runner for a task.

        Tasks that are suspected of the same crash are kept apart, if there is room, so
        that the next crash shows which one has caused it. Batch waits for a runner
        without suspects, as those that survive are suspects no more.
        """
        if step.task_id(index) not in step.job.crash_blame.blame_by_task:
            return placement.choose(index)
        if self._suspect_runners is None:
            self._suspect_runners = set(self._owner_state.find_suspect_runners())
        runner = placement.choose(index, self._suspect_runners)
        if runner is None:
            waited_s = self._now_s - (step.unplaced_since_s or self._now_s)
            if not step.spec.lasting and waited_s < SUSPECT_WAIT_S:
                return None
            runner = placement.choose(index)
        if runner is not None:
            self._suspect_runners.add(runner.id)
        return runner

    def _must_leave_room(self, step: StepRun, index: int) -> bool:
        """Return whether a task must leave its resources to batch work for now."""
        if not step.spec.lasting or step.tasks.view(index).last_run:
            return False
        return not self._headroom.allows(
            step.job.spec.policy.service,
            step.spec.reserved.processors_milli,
            self._now_s - step.ready_since_s,
        )

    def _place_gang(self, step: StepRun) -> bool:
        if len(step.open_indexes) < step.spec.count:
            return False
        candidates = self._candidates.find(step, step.is_away)
        bound_runners: dict[int, str] = {}
        for index in step.open_indexes:
            binding = self._late_runs.find_binding(step, index)
            if binding is not None:
                bound_runners[index] = binding.runner
        runners = place_gang(
            step, candidates, self._evictions.promised_to_others(step), bound_runners
        )
        if runners is None:
            return False
        self._owner_state.add_gang_attempts(step, runners)
        self._candidates.recheck(step, {r.id: r for r in runners}.values())
        return True

    def _start(self, step: StepRun, index: int, runner: Runner) -> None:
        attempt = self._owner_state.add_attempt(step, index, runner)
        self._evictions.record_placed(attempt.task)
        log.info(
            "attempt_placed",
            task=str(attempt.task),
            run=attempt.run,
            runner=runner.id,
            waited_ms=round(1000 * (self._now_s - step.first_ready_s)),
            free_milli=runner.free_resources.processors_milli,
            configuration=self._context.operators.configuration.version,
        )
