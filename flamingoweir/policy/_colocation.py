"""How much tasks that use spare processors may work beside tasks that serve.

Answers load that swings and images that disturb each other by unknown amounts: what
each pair does is learnt from the runners' figures; such tasks are placed where serving
tasks are expected to stay below their target, are slowed down, the worst first, as
soon as the headroom that is expected gets short, and are let go when it has returned.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ..fleet import Allocation, Runner
from ..jobs import Attempt, AttemptState, StepSpec
from ._effects import PRIOR_BASELINE, BaselineHeadroom, EffectModel, new_baseline

#: Headroom (target over tail) that paces keep; 1.0 is at the target.
LOWER_PACE_HEADROOM = 1.1
#: Headroom that is left when a paced task is let work more.
RAISE_PACE_HEADROOM = 1.2
#: Headroom that a runner must be expected to keep to be given a task.
PLACEMENT_HEADROOM = 1.1
#: Headroom at the load's peak below which a place counts as harmful.
PEAK_HEADROOM = 1.1
#: Part that counts of a loss which leaves more than that.
SAFE_LOSS_WEIGHT = 0.1
#: Headroom above which a figure counts as calm.
RECOVERED_HEADROOM = 1.02
#: Figures in a row above `RECOVERED_HEADROOM` that end an excess; one may be noise.
RECOVERED_MEASUREMENTS = 2
#: Seconds over the target after which all are held back, blamed or not; with the
#: time between figures this stays below the four seconds of the rules.
MAX_OVER_TARGET_S = 2.0
#: Most by which tasks may want more spare processors than a runner has left; beyond
#: that it is better for them to wait.
MAX_OVERSUBSCRIPTION = 0.4
#: Seconds that a job of which nothing runs waits for a runner where it disturbs
#: nobody; then it gets one where it disturbs least, and its pace protects the serving
#: tasks there. Users count a job that waits for three seconds beside free room as lost.
MAX_PLACEMENT_WAIT_S = 1.5
#: Loss of headroom below which a task is not blamed.
NEGLIGIBLE_LOSS = 0.02
#: A lower pace than this, in percent, is none.
MIN_PACE_PERCENT = 15
#: Percent by which a pace has to differ to be changed.
PACE_STEP_PERCENT = 10
#: Weight of the latest figure in a task's own deviation from its image's model.
DEVIATION_WEIGHT = 0.2
#: A task held at this pace or below, in percent, is better run elsewhere.
MOVE_PACE_PERCENT = 50
#: Seconds at such a pace after which it is moved.
MOVE_AFTER_S = 0.8
#: Most by which tasks may want more spare processors than are left where it goes.
MOVE_MAX_OVERSUBSCRIPTION = 0.2
#: Percent of its work after which a task is not moved any more.
MOVE_MAX_PROGRESS_PERCENT = 70
#: Seconds after which a step without figures is forgotten.
BASELINE_EXPIRY_S = 60.0


@dataclass(frozen=True, slots=True)
class PaceChange:
    """A new pace for an attempt, in percent, and the headroom that decided it."""

    attempt: Attempt
    pace_percent: int
    headroom: float


class ColocationPolicy:
    """Learns effects and decides on paces and places."""

    def __init__(self) -> None:
        self._model_by_image: dict[str, EffectModel] = {}
        self._baseline_by_step: dict[tuple, BaselineHeadroom] = {}
        self._recovered_count_by_runner: dict[str, int] = {}
        self._over_since_s_by_runner: dict[str, float] = {}
        self._pruned_s = 0.0
        self._headrooms_by_runner: dict[str, tuple[int, list]] = {}

    def learn(self, runner: Runner, now_s: float) -> None:
        """Take the figures of a look."""
        self._headrooms_by_runner.pop(runner.id, None)
        if not runner.serving_count:
            self.remove_runner(runner.id)
            return
        self._prune(now_s)
        share_by_image: dict[str, float] = {}
        total_milli = max(1, runner.entry.capacity.processors_milli)
        for allocation in _spare_allocations(runner):
            used = (
                allocation.load
                if allocation.load is not None
                else _demand_milli(allocation)
            )
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
            allocation.log_latency_deviation += DEVIATION_WEIGHT * (
                error - allocation.log_latency_deviation
            )
        lowest = _lowest_headroom(runner)
        if lowest is not None:
            self._update_over_target(runner, lowest, now_s)

    def allows(self, spec: StepSpec, runner: Runner, waited_s: float) -> bool:
        """Return whether a task that uses spare processors may be placed there."""
        if runner.spare_oversubscription(spec) > MAX_OVERSUBSCRIPTION:
            return False
        if runner.id in self._over_since_s_by_runner:
            return False
        if waited_s > MAX_PLACEMENT_WAIT_S:
            return True
        share = _share(spec, runner)
        for model, headroom in self._expected_headrooms(runner):
            loss = model.effect(spec.image) * share
            if loss >= NEGLIGIBLE_LOSS and headroom - loss < PLACEMENT_HEADROOM:
                return False
        return True

    def expected_interference(self, spec: StepSpec, runner: Runner) -> float:
        """Return the headroom that a task is expected to take at the load's peak.

        What is taken above `PEAK_HEADROOM` hardly counts.
        """
        total_milli = 0.0
        share = _share(spec, runner)
        for allocation in _serving_allocations(runner):
            model = self._effect_model(allocation.spec.image)
            loss = model.effect(spec.image) * share
            baseline = self._baseline_by_step.get(_step_key(allocation))
            low = baseline.recent_low if baseline else PRIOR_BASELINE
            left = low - self._expected_loss(runner, model) - loss
            total_milli += min(loss, max(SAFE_LOSS_WEIGHT * loss, PEAK_HEADROOM - left))
        return total_milli

    def decide_paces(self, runner: Runner, now_s: float) -> list[PaceChange]:
        """Return the paces that have to change after a look."""
        allocations = [p for p in _spare_allocations(runner) if _is_running(p)]
        if not allocations:
            return []
        if not runner.serving_count:
            return _restore_full_pace(allocations)
        lowest = _lowest_headroom(runner)
        if lowest is None:
            return []
        over_target_s = now_s - self._over_since_s_by_runner.get(runner.id, now_s)
        if over_target_s >= MAX_OVER_TARGET_S:
            return _pause_all(allocations, lowest)
        ceilings = self._highest_paces(runner, allocations, LOWER_PACE_HEADROOM)
        changes = _lower_paces(allocations, ceilings, lowest)
        if runner.id in self._over_since_s_by_runner:
            return changes
        floors = self._highest_paces(runner, allocations, RAISE_PACE_HEADROOM)
        return changes + _raise_paces(allocations, floors, lowest)

    def find_attempts_to_move(
        self, runner: Runner, others: Iterable[Runner], now_s: float
    ) -> list[Attempt]:
        """Return an attempt that is held back and would find room elsewhere.

        One at a time, so that the room is not counted on twice.
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
            if any(self._can_take_moved(allocation.spec, other) for other in others):
                found.append(attempt)
        return found

    def remove_runner(self, runner: str) -> None:
        """Drop what is known of a runner that has gone."""
        self._over_since_s_by_runner.pop(runner, None)
        self._recovered_count_by_runner.pop(runner, None)
        self._headrooms_by_runner.pop(runner, None)

    def _update_over_target(self, runner: Runner, lowest: float, now_s: float) -> None:
        """Note whether a task is over its target; a calm figure may be noise."""
        recovered_count = 0
        if lowest > RECOVERED_HEADROOM:
            recovered_count = self._recovered_count_by_runner.get(runner.id, 0) + 1
        self._recovered_count_by_runner[runner.id] = recovered_count
        if recovered_count >= RECOVERED_MEASUREMENTS:
            self._over_since_s_by_runner.pop(runner.id, None)
        elif lowest < 1.0:
            self._over_since_s_by_runner.setdefault(runner.id, now_s)

    def _can_take_moved(self, spec: StepSpec, runner: Runner) -> bool:
        """Return whether a task would work at full speed there and disturb nobody."""
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
            0.0, allocation.log_latency_deviation
        )

    def _expected_headrooms(self, runner: Runner) -> list[tuple[EffectModel, float]]:
        """Return the lowest headroom expected of each image that serves there.

        Kept until the runner's places change or its next figures come.
        """
        cached = self._headrooms_by_runner.get(runner.id)
        if cached is not None and cached[0] == runner.revision:
            return cached[1]
        lowest: dict[str, float] = {}
        for allocation in _serving_allocations(runner):
            baseline = self._baseline_headroom(allocation)
            known = lowest.get(allocation.spec.image, baseline)
            lowest[allocation.spec.image] = min(known, baseline)
        found = []
        for image, baseline in lowest.items():
            model = self._effect_model(image)
            found.append((model, baseline - self._expected_loss(runner, model)))
        self._headrooms_by_runner[runner.id] = (runner.revision, found)
        return found

    @staticmethod
    def _expected_loss(runner: Runner, model: EffectModel) -> float:
        """Return the headroom that all on a runner take from an image there."""
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
        self, runner: Runner, allocations: list[Allocation], keep: float
    ) -> list[int]:
        """Return the highest paces that leave every serving task a headroom."""
        total_milli = max(1, runner.entry.capacity.processors_milli)
        paces = [100] * len(allocations)
        for serving in _serving_allocations(runner):
            model = self._effect_model(serving.spec.image)
            losses = []
            for allocation in allocations:
                share = allocation.spec.demand.processors_milli / total_milli
                losses.append(model.effect(allocation.spec.image) * share)
            left = self._baseline_headroom(serving)
            for loss, pace in zip(losses, paces, strict=True):
                left -= loss * pace / 100
            for number in sorted(range(len(allocations)), key=lambda n: -losses[n]):
                loss = losses[number]
                if left >= keep or loss < NEGLIGIBLE_LOSS:
                    break
                former = paces[number]
                pace = round(max(0.0, former - 100 * (keep - left) / loss))
                paces[number] = pace if pace >= MIN_PACE_PERCENT else 0
                left += loss * (former - paces[number]) / 100
        return paces

    def _prune(self, now_s: float) -> None:
        if now_s - self._pruned_s < BASELINE_EXPIRY_S:
            return
        self._pruned_s = now_s
        for step, baseline in list(self._baseline_by_step.items()):
            if now_s - baseline.updated_s > BASELINE_EXPIRY_S:
                del self._baseline_by_step[step]


def _step_key(allocation: Allocation) -> tuple:
    task = allocation.attempt.task
    return task.job, task.occurrence, task.step


def _measured_headroom(allocation: Allocation) -> float | None:
    """Return a serving task's target over its tail, or None if it is not known."""
    if not allocation.load:
        return None
    return allocation.spec.latency_target_ms / allocation.load


def _lowest_headroom(runner: Runner) -> float | None:
    """Return the lowest headroom on a runner, or None if there is no figure."""
    lowest = None
    for allocation in _serving_allocations(runner):
        headroom = _measured_headroom(allocation)
        if headroom is not None and (lowest is None or headroom < lowest):
            lowest = headroom
    return lowest


def _pause_all(allocations: list[Allocation], lowest: float) -> list[PaceChange]:
    """Hold all back: figures stay low although those blamed were slowed down."""
    return _lower_paces(allocations, [0] * len(allocations), lowest)


def _lower_paces(
    allocations: list[Allocation], paces: list[int], lowest: float
) -> list[PaceChange]:
    changes = []
    for allocation, percent in zip(allocations, paces, strict=True):
        requested = allocation.attempt.requested_pace_percent
        if percent <= requested - PACE_STEP_PERCENT or (not percent and requested):
            changes.append(PaceChange(allocation.attempt, percent, lowest))
    return changes


def _raise_paces(
    allocations: list[Allocation], paces: list[int], lowest: float
) -> list[PaceChange]:
    changes = []
    for allocation, percent in zip(allocations, paces, strict=True):
        requested = allocation.attempt.requested_pace_percent
        if percent >= requested + PACE_STEP_PERCENT or (
            percent == 100 and requested < 100
        ):
            changes.append(PaceChange(allocation.attempt, percent, lowest))
    return changes


def _restore_full_pace(allocations: list[Allocation]) -> list[PaceChange]:
    """Let tasks work freely beside which nothing serves any more."""
    changes = []
    for allocation in allocations:
        if allocation.attempt.requested_pace_percent < 100:
            changes.append(PaceChange(allocation.attempt, 100, float("inf")))
    return changes


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
