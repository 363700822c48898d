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
from ._effects import PRIOR_OWN, EffectModel, OwnHeadroom, new_own

#: Headroom (target over tail) that paces keep; 1.0 is at the target.
KEEP_HEADROOM = 1.1
#: Headroom that is left when a paced task is let work more.
RAISE_HEADROOM = 1.2
#: Headroom that a runner must be expected to keep to be given a task.
PLACE_HEADROOM = 1.1
#: Headroom at the load's peak below which a place counts as harmful.
PEAK_HEADROOM = 1.1
#: Part that counts of a loss which leaves more than that.
SAFE_LOSS_WEIGHT = 0.1
#: Headroom above which a figure counts as calm.
CALM_HEADROOM = 1.02
#: Figures in a row above `CALM_HEADROOM` that end an excess; one may be noise.
CALM_FIGURES = 2
#: Seconds over the target after which all are held back, blamed or not; with the
#: time between figures this stays below the four seconds of the rules.
MAX_OVER_S = 2.0
#: Most by which tasks may want more spare processors than a runner has left; beyond
#: that it is better for them to wait.
MAX_CROWDING = 0.4
#: Seconds that a job of which nothing runs waits for a runner where it disturbs
#: nobody; then it gets one where it disturbs least, and its pace protects the serving
#: tasks there. Users count a job that waits for three seconds beside free room as lost.
MAX_PLACEMENT_WAIT_S = 1.5
#: Loss of headroom below which a task is not blamed.
LITTLE_EFFECT = 0.02
#: A lower pace than this, in percent, is none.
MIN_PACE = 15
#: Percent by which a pace has to differ to be changed.
PACE_STEP = 10
#: Weight of the latest figure in a task's own deviation from its image's model.
DEVIATION_WEIGHT = 0.2
#: A task held at this pace or below, in percent, is better run elsewhere.
MOVE_PACE = 50
#: Seconds at such a pace after which it is moved.
MOVE_AFTER_S = 0.8
#: Most by which tasks may want more spare processors than are left where it goes.
MOVE_CROWDING = 0.2
#: Percent of its work after which a task is not moved any more.
MOVE_UNTIL_PERCENT = 70
#: Seconds after which a step without figures is forgotten.
STEP_MEMORY_S = 60.0


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
        self._own_by_step: dict[tuple, OwnHeadroom] = {}
        self._calm_by_runner: dict[str, int] = {}
        self._over_since_s: dict[str, float] = {}
        self._pruned_s = 0.0
        self._headroom_by_runner: dict[str, tuple[int, list]] = {}

    def learn(self, runner: Runner, now_s: float) -> None:
        """Take the figures of a look."""
        self._headroom_by_runner.pop(runner.id, None)
        if not runner.serving_count:
            self.remove_runner(runner.id)
            return
        self._prune(now_s)
        shares: dict[str, float] = {}
        total = max(1, runner.entry.capacity.processors_milli)
        for place in _spare_places(runner):
            used = place.load if place.load is not None else _wanted_milli(place)
            shares[place.spec.image] = shares.get(place.spec.image, 0.0) + used / total
        for place in _serving_places(runner):
            headroom = _headroom(place)
            if headroom is None:
                continue
            step = _step_key(place)
            own = self._own_by_step.get(step)
            if own is None:
                own = self._own_by_step[step] = new_own(now_s)
            error = self._model(place.spec.image).learn(headroom, shares, own, now_s)
            place.log_latency_deviation += DEVIATION_WEIGHT * (
                error - place.log_latency_deviation
            )
        lowest = _lowest_headroom(runner)
        if lowest is not None:
            self._note_over(runner, lowest, now_s)

    def allows(self, spec: StepSpec, runner: Runner, waited_s: float) -> bool:
        """Return whether a task that uses spare processors may be placed there."""
        if runner.spare_oversubscription(spec) > MAX_CROWDING:
            return False
        if runner.id in self._over_since_s:
            return False
        if waited_s > MAX_PLACEMENT_WAIT_S:
            return True
        share = _share(spec, runner)
        for model, headroom in self._headrooms(runner):
            loss = model.effect(spec.image) * share
            if loss >= LITTLE_EFFECT and headroom - loss < PLACE_HEADROOM:
                return False
        return True

    def expected_interference(self, spec: StepSpec, runner: Runner) -> float:
        """Return the headroom that a task is expected to take at the load's peak.

        What is taken above `PEAK_HEADROOM` hardly counts.
        """
        total = 0.0
        share = _share(spec, runner)
        for place in _serving_places(runner):
            model = self._model(place.spec.image)
            loss = model.effect(spec.image) * share
            own = self._own_by_step.get(_step_key(place))
            low = own.low if own else PRIOR_OWN
            left = low - self._taken(runner, model) - loss
            total += min(loss, max(SAFE_LOSS_WEIGHT * loss, PEAK_HEADROOM - left))
        return total

    def decide_paces(self, runner: Runner, now_s: float) -> list[PaceChange]:
        """Return the paces that have to change after a look."""
        places = [p for p in _spare_places(runner) if _working(p)]
        if not places:
            return []
        if not runner.serving_count:
            return _resume(places)
        lowest = _lowest_headroom(runner)
        if lowest is None:
            return []
        over_s = now_s - self._over_since_s.get(runner.id, now_s)
        if over_s >= MAX_OVER_S:
            return _halt(places, lowest)
        ceilings = self._paces(runner, places, KEEP_HEADROOM)
        changes = _lower(places, ceilings, lowest)
        if runner.id in self._over_since_s:
            return changes
        floors = self._paces(runner, places, RAISE_HEADROOM)
        return changes + _raise(places, floors, lowest)

    def find_attempts_to_move(
        self, runner: Runner, others: Iterable[Runner], now_s: float
    ) -> list[Attempt]:
        """Return an attempt that is held back and would find room elsewhere.

        One at a time, so that the room is not counted on twice.
        """
        found: list[Attempt] = []
        for place in _spare_places(runner):
            attempt = place.attempt
            if attempt.requested_pace_percent > MOVE_PACE or not _working(place):
                place.throttled_since_s = None
                continue
            if place.throttled_since_s is None:
                place.throttled_since_s = now_s
            slow_s = now_s - place.throttled_since_s
            if found or slow_s < MOVE_AFTER_S or not place.spec.checkpoints:
                continue
            if attempt.progress_percent > MOVE_UNTIL_PERCENT:
                continue
            if any(self._welcomes(place.spec, other) for other in others):
                found.append(attempt)
        return found

    def remove_runner(self, runner: str) -> None:
        """Drop what is known of a runner that has gone."""
        self._over_since_s.pop(runner, None)
        self._calm_by_runner.pop(runner, None)
        self._headroom_by_runner.pop(runner, None)

    def _note_over(self, runner: Runner, lowest: float, now_s: float) -> None:
        """Note whether a task is over its target; a calm figure may be noise."""
        calm = 0
        if lowest > CALM_HEADROOM:
            calm = self._calm_by_runner.get(runner.id, 0) + 1
        self._calm_by_runner[runner.id] = calm
        if calm >= CALM_FIGURES:
            self._over_since_s.pop(runner.id, None)
        elif lowest < 1.0:
            self._over_since_s.setdefault(runner.id, now_s)

    def _welcomes(self, spec: StepSpec, runner: Runner) -> bool:
        """Return whether a task would work at full speed there and disturb nobody."""
        if not spec.reserved.fits_in(runner.free_resources):
            return False
        if runner.spare_oversubscription(spec) > MOVE_CROWDING:
            return False
        return self.allows(spec, runner, 0.0)

    def _model(self, image: str) -> EffectModel:
        model = self._model_by_image.get(image)
        if model is None:
            model = self._model_by_image[image] = EffectModel()
        return model

    def _undisturbed(self, place: Allocation) -> float:
        own = self._own_by_step.get(_step_key(place))
        return (own.mean if own else PRIOR_OWN) + min(0.0, place.log_latency_deviation)

    def _headrooms(self, runner: Runner) -> list[tuple[EffectModel, float]]:
        """Return the lowest headroom expected of each image that serves there.

        Kept until the runner's places change or its next figures come.
        """
        kept = self._headroom_by_runner.get(runner.id)
        if kept is not None and kept[0] == runner.revision:
            return kept[1]
        lowest: dict[str, float] = {}
        for place in _serving_places(runner):
            undisturbed = self._undisturbed(place)
            known = lowest.get(place.spec.image, undisturbed)
            lowest[place.spec.image] = min(known, undisturbed)
        found = []
        for image, undisturbed in lowest.items():
            model = self._model(image)
            found.append((model, undisturbed - self._taken(runner, model)))
        self._headroom_by_runner[runner.id] = (runner.revision, found)
        return found

    @staticmethod
    def _taken(runner: Runner, model: EffectModel) -> float:
        """Return the headroom that all on a runner take from an image there."""
        total = max(1, runner.entry.capacity.processors_milli)
        taken = 0.0
        for place in _spare_places(runner):
            taken += model.effect(place.spec.image) * _wanted_milli(place) / total
        return taken

    def _paces(
        self, runner: Runner, places: list[Allocation], keep: float
    ) -> list[int]:
        """Return the highest paces that leave every serving task a headroom."""
        total = max(1, runner.entry.capacity.processors_milli)
        paces = [100] * len(places)
        for serving in _serving_places(runner):
            model = self._model(serving.spec.image)
            losses = []
            for place in places:
                share = place.spec.demand.processors_milli / total
                losses.append(model.effect(place.spec.image) * share)
            left = self._undisturbed(serving)
            for loss, pace in zip(losses, paces, strict=True):
                left -= loss * pace / 100
            for number in sorted(range(len(places)), key=lambda n: -losses[n]):
                loss = losses[number]
                if left >= keep or loss < LITTLE_EFFECT:
                    break
                former = paces[number]
                pace = round(max(0.0, former - 100 * (keep - left) / loss))
                paces[number] = pace if pace >= MIN_PACE else 0
                left += loss * (former - paces[number]) / 100
        return paces

    def _prune(self, now_s: float) -> None:
        if now_s - self._pruned_s < STEP_MEMORY_S:
            return
        self._pruned_s = now_s
        for step, own in list(self._own_by_step.items()):
            if now_s - own.learnt_s > STEP_MEMORY_S:
                del self._own_by_step[step]


def _step_key(place: Allocation) -> tuple:
    task = place.attempt.task
    return task.job, task.occurrence, task.step


def _headroom(place: Allocation) -> float | None:
    """Return a serving task's target over its tail, or None if it is not known."""
    if not place.load:
        return None
    return place.spec.latency_target_ms / place.load


def _lowest_headroom(runner: Runner) -> float | None:
    """Return the lowest headroom on a runner, or None if there is no figure."""
    lowest = None
    for place in _serving_places(runner):
        headroom = _headroom(place)
        if headroom is not None and (lowest is None or headroom < lowest):
            lowest = headroom
    return lowest


def _halt(places: list[Allocation], lowest: float) -> list[PaceChange]:
    """Hold all back: figures stay low although those blamed were slowed down."""
    return _lower(places, [0] * len(places), lowest)


def _lower(
    places: list[Allocation], paces: list[int], lowest: float
) -> list[PaceChange]:
    changes = []
    for place, percent in zip(places, paces, strict=True):
        asked = place.attempt.requested_pace_percent
        if percent <= asked - PACE_STEP or (not percent and asked):
            changes.append(PaceChange(place.attempt, percent, lowest))
    return changes


def _raise(
    places: list[Allocation], paces: list[int], lowest: float
) -> list[PaceChange]:
    changes = []
    for place, percent in zip(places, paces, strict=True):
        asked = place.attempt.requested_pace_percent
        if percent >= asked + PACE_STEP or (percent == 100 and asked < 100):
            changes.append(PaceChange(place.attempt, percent, lowest))
    return changes


def _resume(places: list[Allocation]) -> list[PaceChange]:
    """Let tasks work freely beside which nothing serves any more."""
    changes = []
    for place in places:
        if place.attempt.requested_pace_percent < 100:
            changes.append(PaceChange(place.attempt, 100, float("inf")))
    return changes


def _spare_places(runner: Runner) -> Iterator[Allocation]:
    for place in runner.allocation_by_run.values():
        if place.spec.uses_spare:
            yield place


def _serving_places(runner: Runner) -> Iterator[Allocation]:
    for place in runner.allocation_by_run.values():
        if place.spec.latency_target_ms:
            yield place


def _working(place: Allocation) -> bool:
    return place.attempt.state is AttemptState.RUNNING


def _wanted_milli(place: Allocation) -> float:
    return (
        place.spec.demand.processors_milli * place.attempt.requested_pace_percent / 100
    )


def _share(spec: StepSpec, runner: Runner) -> float:
    return spec.demand.processors_milli / max(1, runner.entry.capacity.processors_milli)
