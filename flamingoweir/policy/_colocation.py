"""Colocation of batch tasks on spare processors with serving tasks.

User load varies, and images disturb each other by amounts that are not known in
advance, so the effect of each pair of images is learnt from what runners measure.
Tasks on spare processors are placed where serving tasks are expected to keep their
latency target. They are slowed down as soon as the expected headroom gets short, those
with the largest effect first, and sped up again when the headroom has returned.
"""

from collections.abc import Iterable, Iterator

from ..fleet import Allocation, Runner
from ..jobs import Attempt, AttemptState, StepSpec
from ._effects import (
    PRIOR_BASELINE,
    BaselineHeadroom,
    Effect,
    EffectModel,
    new_baseline,
)
from ._paces import (
    PaceChange,
    lower_paces,
    pause_all,
    raise_paces,
    restore_full_pace,
)

#: Expected headroom (target divided by tail latency) below which paces are lowered; at
#: 1.0 the tail latency equals the target.
LOWER_PACE_HEADROOM = 1.1
#: Headroom that must be expected to remain after a pace is raised.
RAISE_PACE_HEADROOM = 1.2
#: Headroom that serving tasks must be expected to keep after a task is placed.
PLACEMENT_HEADROOM = 1.1
#: Headroom at peak load below which a loss of headroom counts in full.
PEAK_HEADROOM = 1.1
#: Weight of a loss that leaves more than `PEAK_HEADROOM`.
SAFE_LOSS_WEIGHT = 0.1
#: Lowest measured headroom on a runner above which a measurement counts as recovered.
RECOVERED_HEADROOM = 1.02
#: Recovered measurements in a row that end the time above the target; a single one
#: may be noise.
RECOVERED_MEASUREMENTS = 2
#: Seconds above the latency target after which all tasks on spare processors are
#: paused, whatever their learnt effects. With the time between measurements this stays
#: below the limit of four seconds above the target.
MAX_OVER_TARGET_S = 2.0
#: Largest fraction by which the demand for spare processors may exceed the spare
#: processors of a runner; beyond it, it is better for a task to wait.
MAX_OVERSUBSCRIPTION = 0.4
#: Seconds that a job without attempts waits for a runner where it disturbs no serving
#: task. Then it is placed where it disturbs least, and its pace protects the serving
#: tasks. Users count a job as lost that waits for three seconds beside free resources.
MAX_PLACEMENT_WAIT_S = 1.5
#: Loss of headroom below which a task is neither slowed down nor refused on a runner.
NEGLIGIBLE_LOSS = 0.02
#: Lowest pace in percent; a task that would have to be slower is paused.
MIN_PACE_PERCENT = 15
#: Weight of the latest error in the average deviation of a task from the model.
DEVIATION_WEIGHT = 0.2
#: Shortest time in seconds between measurements of a runner from which effects are
#: learnt. Each covers half a second, so that closer ones would count the same twice.
MIN_LEARN_INTERVAL_S = 0.25
#: Runners from which an owner learns in a second, at most; a larger fleet has more
#: measurements than are needed, and each costs the owner processor time.
MAX_LEARNT_PER_S = 900
#: Seconds between measurements of a runner that shares its processors.
MEASURE_INTERVAL_S = 0.4
#: Longest time in seconds between measurements of a runner with safe headroom.
MAX_MEASURE_INTERVAL_S = 1.0
#: Runners with safe headroom that are measured in a second, at most.
MAX_SAFE_MEASURED_PER_S = 450
#: Pace in percent at or below which a task should move to another runner.
MOVE_PACE_PERCENT = 50
#: Seconds at or below `MOVE_PACE_PERCENT` after which a task is moved.
MOVE_AFTER_S = 0.8
#: Largest fraction by which the demand for spare processors may exceed the spare
#: processors of the runner to which a task is moved.
MOVE_MAX_OVERSUBSCRIPTION = 0.2
#: Progress in percent above which a task is not moved.
MOVE_MAX_PROGRESS_PERCENT = 70
#: Seconds for which tasks alike are not moved after no runner was found for one.
#: Runners free resources when tasks end, a few times a second.
MOVE_RETRY_S = 0.2
#: Lowest measured headroom on a runner above which it need not be measured often. The
#: load of users does not rise enough within a second to use it up.
SAFE_HEADROOM = 1.6
#: Largest headroom that is told apart; submitters choose targets of any size.
MAX_HEADROOM = 1_000.0
#: Seconds without measurements after which the baseline of a step is discarded.
BASELINE_EXPIRY_S = 60.0


class ColocationPolicy:
    """Learn effects between images, and decide on placement and pace by them.

    Attributes
    ----------
    runner_count : int
        Number of runners of the fleet; the larger, the less often each is measured.
    """

    def __init__(self) -> None:
        self.runner_count = 0
        self._model_by_image: dict[str, EffectModel] = {}
        self._baseline_by_step: dict[tuple, BaselineHeadroom] = {}
        self._recovered_count_by_runner: dict[str, int] = {}
        self._over_target_since_s_by_runner: dict[str, float] = {}
        self._learnt_s_by_runner: dict[str, float] = {}
        self._baselines_checked_s = 0.0
        self._headrooms_by_runner: dict[str, tuple[int, list, list]] = {}
        #: Kinds of tasks that no runner could take since `_unmovable_since_s`.
        self._unmovable_kinds: set[tuple] = set()
        self._unmovable_since_s = 0.0

    def learn(self, runner: Runner, now_s: float) -> None:
        """Update the model with the measurements of a poll.

        Parameters
        ----------
        runner : Runner
            The runner, with the loads that it reported.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        self._headrooms_by_runner.pop(runner.id, None)
        if not runner.serving_count:
            self.remove_runner(runner.id)
            return
        self._discard_stale_baselines(now_s)
        learnt_s = self._learnt_s_by_runner.get(runner.id)
        interval_s = max(MIN_LEARN_INTERVAL_S, self.runner_count / MAX_LEARNT_PER_S)
        if learnt_s is None or now_s - learnt_s >= interval_s:
            self._learnt_s_by_runner[runner.id] = now_s
            self._learn_effects(runner, now_s)
        lowest = _lowest_headroom(runner)
        if lowest is not None:
            self._update_over_target(runner, lowest, now_s)

    def allows(self, spec: StepSpec, runner: Runner, waited_s: float) -> bool:
        """Return whether a task on spare processors may be placed on a runner.

        Parameters
        ----------
        spec : StepSpec
            Step of the task.
        runner : Runner
            The runner.
        waited_s : float
            Seconds for which a job without attempts has found no runner. After
            `MAX_PLACEMENT_WAIT_S`, expected losses of headroom are ignored.
        """
        if runner.spare_oversubscription(spec) > MAX_OVERSUBSCRIPTION:
            return False
        if runner.id in self._over_target_since_s_by_runner:
            return False
        if waited_s > MAX_PLACEMENT_WAIT_S:
            return True
        share = _share(spec, runner)
        for model, headroom in self._expected_headrooms(runner)[0]:
            loss = model.effect(spec.image) * share
            if loss >= NEGLIGIBLE_LOSS and headroom - loss < PLACEMENT_HEADROOM:
                return False
        return True

    def expected_interference(self, spec: StepSpec, runner: Runner) -> float:
        """Return the expected loss of headroom by a task at peak load.

        The losses of all serving tasks on the runner are added up. A loss that leaves
        more than `PEAK_HEADROOM` counts with `SAFE_LOSS_WEIGHT` only.
        """
        if not runner.serving_count:
            return 0.0
        total_loss = 0.0
        image = spec.image
        share = _share(spec, runner)
        for model, low in self._expected_headrooms(runner)[1]:
            loss = model.effect(image) * share
            short = PEAK_HEADROOM - low + loss
            safe_loss = SAFE_LOSS_WEIGHT * loss
            # The lowest of the loss and what is short, but at least the safe loss.
            if short >= loss:
                total_loss += loss
            else:
                total_loss += short if short > safe_loss else safe_loss
        return total_loss

    def decide_paces(self, runner: Runner, now_s: float) -> list[PaceChange]:
        """Return the pace changes that are needed after a poll."""
        allocations = [a for a in _spare_allocations(runner) if _is_running(a)]
        if not allocations:
            return []
        if not runner.serving_count:
            return restore_full_pace(allocations)
        lowest = _lowest_headroom(runner)
        if lowest is None:
            return []
        over_target_s = now_s - self._over_target_since_s_by_runner.get(
            runner.id, now_s
        )
        if over_target_s >= MAX_OVER_TARGET_S:
            return pause_all(allocations, lowest)
        ceilings = self._highest_paces(runner, allocations, LOWER_PACE_HEADROOM)
        changes = lower_paces(allocations, ceilings, lowest)
        if runner.id in self._over_target_since_s_by_runner:
            return changes
        floors = self._highest_paces(runner, allocations, RAISE_PACE_HEADROOM)
        return changes + raise_paces(allocations, floors, lowest)

    def measure_interval_s(self, runner: Runner) -> float:
        """Return the seconds after which a runner should be measured again.

        The result is longer in a large fleet if all serving tasks on the runner were
        measured far below their target.
        """
        lowest = _lowest_headroom(runner)
        if lowest is None or lowest < SAFE_HEADROOM:
            return MEASURE_INTERVAL_S
        interval_s = self.runner_count / MAX_SAFE_MEASURED_PER_S
        return min(MAX_MEASURE_INTERVAL_S, max(MEASURE_INTERVAL_S, interval_s))

    def find_attempts_to_move(
        self, runner: Runner, others: Iterable[Runner], now_s: float
    ) -> list[Attempt]:
        """Return an attempt that was slowed down for long and fits on another runner.

        At most one attempt is returned, so that two attempts don't move to the same
        free resources.
        """
        found: list[Attempt] = []
        for allocation in _spare_allocations(runner):
            attempt = allocation.attempt
            if attempt.requested_pace_percent > MOVE_PACE_PERCENT or not _is_running(
                allocation
            ):
                allocation.throttled_since_s = None
                continue
            if allocation.throttled_since_s is None:
                allocation.throttled_since_s = now_s
            throttled_s = now_s - allocation.throttled_since_s
            if found or throttled_s < MOVE_AFTER_S or not allocation.spec.checkpoints:
                continue
            if attempt.progress_percent > MOVE_MAX_PROGRESS_PERCENT:
                continue
            if self._fits_elsewhere(allocation.spec, others, now_s):
                found.append(attempt)
        return found

    @property
    def measured_s(self) -> float:
        """When an effect was last measured, on the owner's clock, in seconds."""
        times_s = [model.measured_s for model in self._model_by_image.values()]
        return max(times_s, default=float("-inf"))

    def list_effects(self, now_s: float) -> list[Effect]:
        """Return the effects that were learnt, the most certain first.

        Parameters
        ----------
        now_s : float
            Time on the owner's clock, in seconds; older effects are less certain.
        """
        effects = []
        for serving_image, model in self._model_by_image.items():
            for image, mean, variance in model.list_effects(now_s):
                effects.append(Effect(serving_image, image, mean, variance))
        effects.sort(key=lambda effect: effect.variance)
        return effects

    def restore_effects(self, effects: Iterable[Effect], age_s: float) -> None:
        """Take over effects that another owner has learnt.

        Those of which this owner is more certain stay as they are.

        Parameters
        ----------
        effects : iterable of Effect
            The effects.
        age_s : float
            Seconds since they were learnt; the older, the less certain they are.
        """
        self._headrooms_by_runner.clear()
        for effect in effects:
            model = self._effect_model(effect.serving_image)
            model.restore(effect.image, effect.mean, effect.variance, age_s)

    def remove_runner(self, runner: str) -> None:
        """Discard the state of a runner that was removed or has no serving tasks."""
        self._over_target_since_s_by_runner.pop(runner, None)
        self._recovered_count_by_runner.pop(runner, None)
        self._headrooms_by_runner.pop(runner, None)
        self._learnt_s_by_runner.pop(runner, None)

    def _learn_effects(self, runner: Runner, now_s: float) -> None:
        share_by_image: dict[str, float] = {}
        total_milli = max(1, runner.entry.capacity.processors_milli)
        for allocation in _spare_allocations(runner):
            used = (
                allocation.load
                if allocation.load is not None
                else _demand_milli(allocation)
            )
            if used > total_milli:
                used = total_milli
            elif used < 0.0:
                used = 0.0
            share_by_image[allocation.spec.image] = (
                share_by_image.get(allocation.spec.image, 0.0) + used / total_milli
            )
        for allocation in _serving_allocations(runner):
            headroom = _measured_headroom(allocation)
            if headroom is None:
                continue
            step = _step_key(allocation)
            baseline = self._baseline_by_step.get(step)
            if baseline is None:
                baseline = self._baseline_by_step[step] = new_baseline(now_s)
            error = self._effect_model(allocation.spec.image).learn(
                headroom, share_by_image, baseline, now_s
            )
            allocation.headroom_deviation += DEVIATION_WEIGHT * (
                error - allocation.headroom_deviation
            )

    def _update_over_target(self, runner: Runner, lowest: float, now_s: float) -> None:
        """Update since when a serving task on a runner is above its target."""
        recovered_count = 0
        if lowest > RECOVERED_HEADROOM:
            recovered_count = self._recovered_count_by_runner.get(runner.id, 0) + 1
        self._recovered_count_by_runner[runner.id] = recovered_count
        if recovered_count >= RECOVERED_MEASUREMENTS:
            self._over_target_since_s_by_runner.pop(runner.id, None)
        elif lowest < 1.0:
            self._over_target_since_s_by_runner.setdefault(runner.id, now_s)

    def _fits_elsewhere(
        self, spec: StepSpec, runners: Iterable[Runner], now_s: float
    ) -> bool:
        """Return whether any runner can take a moved task.

        A search without result counts for all tasks alike for `MOVE_RETRY_S`, as
        tasks of an image that disturbs many are slowed down on many runners at once.
        """
        if now_s - self._unmovable_since_s >= MOVE_RETRY_S:
            self._unmovable_kinds.clear()
            self._unmovable_since_s = now_s
        kind = (spec.image, spec.demand, spec.reserved)
        if kind in self._unmovable_kinds:
            return False
        for runner in runners:
            if self._can_take_moved(spec, runner):
                return True
        self._unmovable_kinds.add(kind)
        return False

    def _can_take_moved(self, spec: StepSpec, runner: Runner) -> bool:
        """Return whether a moved task would run at full speed and disturb no other."""
        if not spec.reserved.fits_in(runner.free_resources):
            return False
        if runner.spare_oversubscription(spec) > MOVE_MAX_OVERSUBSCRIPTION:
            return False
        return self.allows(spec, runner, 0.0)

    def _effect_model(self, image: str) -> EffectModel:
        model = self._model_by_image.get(image)
        if model is None:
            model = self._model_by_image[image] = EffectModel()
        return model

    def _baseline_headroom(self, allocation: Allocation) -> float:
        baseline = self._baseline_by_step.get(_step_key(allocation))
        return (baseline.mean if baseline else PRIOR_BASELINE) + min(
            0.0, allocation.headroom_deviation
        )

    def _expected_headrooms(
        self, runner: Runner
    ) -> tuple[list[tuple[EffectModel, float]], list[tuple[EffectModel, float]]]:
        """Return the expected headrooms of the serving tasks on a runner.

        The result is cached until the allocations of the runner change or new
        measurements arrive.

        Returns
        -------
        lowest : list of (EffectModel, float)
            Lowest expected headroom of each serving image.
        at_peak : list of (EffectModel, float)
            Expected headroom of each serving task at peak load.
        """
        cached = self._headrooms_by_runner.get(runner.id)
        if cached is not None and cached[0] == runner.revision:
            return cached[1], cached[2]
        lowest: dict[str, float] = {}
        loss_by_image: dict[str, float] = {}
        at_peak = []
        for allocation in _serving_allocations(runner):
            image = allocation.spec.image
            model = self._effect_model(image)
            if image not in loss_by_image:
                loss_by_image[image] = self._expected_loss(runner, model)
            headroom = self._baseline_headroom(allocation)
            lowest[image] = min(lowest.get(image, headroom), headroom)
            baseline = self._baseline_by_step.get(_step_key(allocation))
            low = baseline.recent_low if baseline else PRIOR_BASELINE
            at_peak.append((model, low - loss_by_image[image]))
        found = []
        for image, headroom in lowest.items():
            found.append((self._effect_model(image), headroom - loss_by_image[image]))
        self._headrooms_by_runner[runner.id] = (runner.revision, found, at_peak)
        return found, at_peak

    @staticmethod
    def _expected_loss(runner: Runner, model: EffectModel) -> float:
        """Return the headroom that an image loses to all spare tasks on a runner."""
        total_milli = max(1, runner.entry.capacity.processors_milli)
        loss = 0.0
        for allocation in _spare_allocations(runner):
            loss += (
                model.effect(allocation.spec.image)
                * _demand_milli(allocation)
                / total_milli
            )
        return loss

    def _highest_paces(
        self, runner: Runner, allocations: list[Allocation], min_headroom: float
    ) -> list[int]:
        """Return the highest paces that leave every serving task a headroom.

        Parameters
        ----------
        runner : Runner
            The runner.
        allocations : list of Allocation
            Tasks on spare processors.
        min_headroom : float
            Headroom that each serving task should keep.

        Returns
        -------
        list of int
            Pace of each allocation in percent.
        """
        total_milli = max(1, runner.entry.capacity.processors_milli)
        paces = [100] * len(allocations)
        losses_by_image: dict[str, list[float]] = {}
        for serving in _serving_allocations(runner):
            losses = losses_by_image.get(serving.spec.image)
            if losses is None:
                model = self._effect_model(serving.spec.image)
                losses = []
                for allocation in allocations:
                    share = allocation.spec.demand.processors_milli / total_milli
                    losses.append(model.effect(allocation.spec.image) * share)
                losses_by_image[serving.spec.image] = losses
            left = self._baseline_headroom(serving)
            for loss, pace in zip(losses, paces, strict=True):
                left -= loss * pace / 100
            if left >= min_headroom:
                continue
            for index in sorted(range(len(allocations)), key=lambda n: -losses[n]):
                loss = losses[index]
                if left >= min_headroom or loss < NEGLIGIBLE_LOSS:
                    break
                former = paces[index]
                pace = round(max(0.0, former - 100 * (min_headroom - left) / loss))
                paces[index] = pace if pace >= MIN_PACE_PERCENT else 0
                left += loss * (former - paces[index]) / 100
        return paces

    def _discard_stale_baselines(self, now_s: float) -> None:
        if now_s - self._baselines_checked_s < BASELINE_EXPIRY_S:
            return
        self._baselines_checked_s = now_s
        for step, baseline in list(self._baseline_by_step.items()):
            if now_s - baseline.updated_s > BASELINE_EXPIRY_S:
                del self._baseline_by_step[step]


def spare_room_milli(runner: Runner) -> float:
    """Return the thousandths of spare processors that `ColocationPolicy` may allow."""
    available_milli = max(1, runner.spare_available_milli)
    return (1 + MAX_OVERSUBSCRIPTION) * available_milli - runner.spare_demand_milli


def _step_key(allocation: Allocation) -> tuple:
    task = allocation.attempt.task
    return task.job, task.occurrence, task.step


def _measured_headroom(allocation: Allocation) -> float | None:
    """Return target divided by tail latency, or None without a measurement."""
    if not allocation.load:
        return None
    headroom = allocation.spec.latency_target_ms / allocation.load
    if headroom > MAX_HEADROOM:
        return MAX_HEADROOM
    return headroom if headroom > 0.0 else 0.0


def _lowest_headroom(runner: Runner) -> float | None:
    """Return the lowest measured headroom on a runner, or None without any."""
    lowest = None
    for allocation in _serving_allocations(runner):
        headroom = _measured_headroom(allocation)
        if headroom is not None and (lowest is None or headroom < lowest):
            lowest = headroom
    return lowest


def _spare_allocations(runner: Runner) -> Iterator[Allocation]:
    for allocation in runner.allocation_by_run.values():
        if allocation.spec.uses_spare:
            yield allocation


def _serving_allocations(runner: Runner) -> Iterator[Allocation]:
    for allocation in runner.allocation_by_run.values():
        if allocation.spec.latency_target_ms:
            yield allocation


def _is_running(allocation: Allocation) -> bool:
    return allocation.attempt.state is AttemptState.RUNNING


def _demand_milli(allocation: Allocation) -> float:
    return (
        allocation.spec.demand.processors_milli
        * allocation.attempt.requested_pace_percent
        / 100
    )


def _share(spec: StepSpec, runner: Runner) -> float:
    return spec.demand.processors_milli / max(1, runner.entry.capacity.processors_milli)
