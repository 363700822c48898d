"""How much tasks that use spare processors may work beside tasks that serve.

Answers load that swings and images that disturb each other by unknown amounts: what
each pair does is learnt from the runners' figures; such tasks are placed only where
serving tasks are expected to stay below their target, are slowed down, the worst
first, when figures stay over the target, and are let go as soon as they are calm.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ..fleet import Place, Runner
from ..jobs import Attempt, Standing, StepSpec
from ._effects import ServingModel, log_ratio

#: Seconds over the target after which those that cause it are slowed down; the rules
#: allow four, and short excesses pass by themselves.
OVER_S = 1.5
#: Seconds over the target after which all are held back, blamed or not; with the
#: time between figures this stays below the four seconds of the rules.
MAX_OVER_S = 2.3
#: Figures in a row below `CALM` that end an excess; one alone may be noise.
CALM_FIGURES = 2
#: Log of tail over target that pacing aims at: 0.8 of the target.
AIM = -0.2
#: Log of tail over target up to which tasks are placed: 0.7 of the target.
GOAL = -0.35
#: Below this, paced tasks are let work more: 0.9 of the target.
CALM = -0.1
#: Most by which tasks may want more spare processors than a runner has left; beyond
#: that it is better for them to wait.
MAX_CROWDING = 0.4
#: Sum of expected effects that is worth a move.
LITTLE_HARM = 0.2
#: Seconds between changes on one runner; its figures cover half a second.
SETTLE_S = 0.6
#: Effect below which a task is not blamed.
LITTLE_EFFECT = 0.03
#: A lower pace than this, in percent, is none.
MIN_PACE = 15
#: Percent by which a pace rises at once.
PACE_STEP = 100
#: Weight of the latest figure in a task's own deviation from its image's model.
DEVIATION_WEIGHT = 0.25
#: A task held at this pace or below, in percent, is better run elsewhere.
MOVE_PACE = 30
#: Seconds at such a pace after which it is moved.
MOVE_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class PaceChange:
    """A new pace for an attempt, in percent, and what decided it."""

    attempt: Attempt
    percent: int
    worst: float


class Sharing:
    """Learns effects and decides on paces and places."""

    def __init__(self) -> None:
        self._model_by_image: dict[str, ServingModel] = {}
        self._settled_s_by_runner: dict[str, float] = {}
        self._calm_by_runner: dict[str, int] = {}
        self._over_since_s: dict[str, float] = {}

    def learn(self, runner: Runner, now_s: float) -> None:
        """Take the figures of a look."""
        if not runner.serving:
            return
        shares: dict[str, float] = {}
        total = max(1, runner.entry.capacity.processors_milli)
        for place in _spare_places(runner):
            used = place.load if place.load is not None else _wanted_milli(place)
            shares[place.spec.image] = shares.get(place.spec.image, 0.0) + used / total
        for place in _serving_places(runner):
            if not place.load:
                continue
            ratio = log_ratio(place.load, place.spec.latency_target_ms)
            model = self._model(place.spec.image)
            expected = model.base
            for image, share in shares.items():
                expected += model.effect(image) * share
            model.learn(ratio, shares, now_s)
            error = ratio - expected - place.deviation
            place.deviation += DEVIATION_WEIGHT * error

    def allows(self, spec: StepSpec, runner: Runner) -> bool:
        """Return whether a task that uses spare processors may be placed there."""
        if runner.crowding(spec) > MAX_CROWDING:
            return False
        share = _share(spec, runner)
        for place in _serving_places(runner):
            effect = self._model(place.spec.image).effect(spec.image) * share
            if effect < LITTLE_EFFECT:
                continue
            if self._expected(runner, place) + effect > GOAL:
                return False
        return True

    def harm(self, spec: StepSpec, runner: Runner) -> float:
        """Return how much a task is expected to disturb the serving tasks there."""
        total = 0.0
        for place in _serving_places(runner):
            total += self._model(place.spec.image).effect(spec.image)
        return total * _share(spec, runner)

    def decide(self, runner: Runner, now_s: float) -> list[PaceChange]:
        """Return the paces that have to change after a look."""
        places = [p for p in _spare_places(runner) if _working(p)]
        if not places:
            return []
        if not runner.serving:
            return _resume(places)
        worst, suffering = _worst(runner)
        if suffering is None:
            return []
        over_s = now_s - self._note_over(runner, worst, now_s)
        settled_s = self._settled_s_by_runner.get(runner.id, float("-inf"))
        if now_s - settled_s < SETTLE_S and over_s < MAX_OVER_S:
            return []
        changes = []
        if over_s >= MAX_OVER_S:
            changes = _halt(places, worst)
        elif over_s >= OVER_S:
            changes = self._slow_down(runner, suffering, places, worst)
        elif over_s == 0.0 and worst < CALM:
            changes = self._speed_up(runner, places, worst)
        if changes:
            self._settled_s_by_runner[runner.id] = now_s
        return changes

    def _note_over(self, runner: Runner, worst: float, now_s: float) -> float:
        """Return since when a task has been over its target; now if none is."""
        calm = self._calm_by_runner.get(runner.id, 0) + 1 if worst < CALM else 0
        self._calm_by_runner[runner.id] = calm
        if calm >= CALM_FIGURES:
            self._over_since_s.pop(runner.id, None)
        elif worst > 0.0:
            self._over_since_s.setdefault(runner.id, now_s)
        return self._over_since_s.get(runner.id, now_s)

    def to_move(
        self, runner: Runner, others: Iterable[Runner], now_s: float
    ) -> list[Attempt]:
        """Return an attempt that is held back and would find room elsewhere.

        One at a time, so that the room is not counted on twice.
        """
        found: list[Attempt] = []
        for place in _spare_places(runner):
            attempt = place.attempt
            if attempt.pace_asked > MOVE_PACE or not _working(place):
                place.slow_since_s = None
                continue
            if place.slow_since_s is None:
                place.slow_since_s = now_s
            slow_s = now_s - place.slow_since_s
            if found or slow_s < MOVE_AFTER_S or not place.spec.checkpoints:
                continue
            if any(self._welcomes(place.spec, other) for other in others):
                found.append(attempt)
        return found

    def forget(self, runner: str) -> None:
        """Drop what is known of a runner that has gone."""
        self._settled_s_by_runner.pop(runner, None)
        self._over_since_s.pop(runner, None)
        self._calm_by_runner.pop(runner, None)

    def _welcomes(self, spec: StepSpec, runner: Runner) -> bool:
        """Return whether a task would work at full speed there and disturb little."""
        if not spec.reserved.fits_in(runner.room) or runner.crowding(spec) > 0:
            return False
        return self.allows(spec, runner) and self.harm(spec, runner) < LITTLE_HARM

    def _model(self, image: str) -> ServingModel:
        model = self._model_by_image.get(image)
        if model is None:
            model = self._model_by_image[image] = ServingModel()
        return model

    def _expected(self, runner: Runner, place: Place) -> float:
        """Return the expected log of tail over target of a serving task."""
        model = self._model(place.spec.image)
        total = max(1, runner.entry.capacity.processors_milli)
        expected = model.base + place.deviation
        for other in _spare_places(runner):
            share = _wanted_milli(other) / total
            expected += model.effect(other.spec.image) * share
        return expected

    def _slow_down(
        self, runner: Runner, suffering: Place, places: list[Place], worst: float
    ) -> list[PaceChange]:
        """Take the excess from the tasks that are expected to cause most of it."""
        excess = worst - AIM
        model = self._model(suffering.spec.image)
        total = max(1, runner.entry.capacity.processors_milli)

        def caused(place: Place) -> float:
            return model.effect(place.spec.image) * _wanted_milli(place) / total

        changes = []
        for place in sorted(places, key=caused, reverse=True):
            share = caused(place)
            if excess <= 0 or share < LITTLE_EFFECT:
                break
            keep = max(0.0, 1 - excess / share)
            percent = round(place.attempt.pace_asked * keep)
            if percent < MIN_PACE:
                percent = 0
            excess -= share * (1 - percent / place.attempt.pace_asked)
            changes.append(PaceChange(place.attempt, percent, worst))
        return changes

    def _speed_up(
        self, runner: Runner, places: list[Place], worst: float
    ) -> list[PaceChange]:
        """Let tasks work more, as far as the serving ones are expected to bear it."""
        expected = max(self._expected(runner, p) for p in _serving_places(runner))
        slowed = [p for p in places if p.attempt.pace_asked < 100]
        changes = []
        for place in sorted(slowed, key=lambda p: self.harm(p.spec, runner)):
            percent = min(100, place.attempt.pace_asked + PACE_STEP)
            step = (percent - place.attempt.pace_asked) / 100
            expected += step * self.harm(place.spec, runner)
            if changes and expected > GOAL:
                break
            changes.append(PaceChange(place.attempt, percent, worst))
        return changes


def _worst(runner: Runner) -> tuple[float, Place | None]:
    """Return the highest log of tail over target on a runner, and whose it is."""
    worst, suffering = float("-inf"), None
    for place in _serving_places(runner):
        if not place.load:
            continue
        ratio = log_ratio(place.load, place.spec.latency_target_ms)
        if ratio > worst:
            worst, suffering = ratio, place
    return worst, suffering


def _halt(places: list[Place], worst: float) -> list[PaceChange]:
    """Hold all back: figures stay high although those blamed were slowed down."""
    changes = []
    for place in places:
        if place.attempt.pace_asked:
            changes.append(PaceChange(place.attempt, 0, worst))
    return changes


def _resume(places: list[Place]) -> list[PaceChange]:
    """Let tasks work freely beside which nothing serves any more."""
    changes = []
    for place in places:
        if place.attempt.pace_asked < 100:
            changes.append(PaceChange(place.attempt, 100, float("-inf")))
    return changes


def _spare_places(runner: Runner) -> Iterator[Place]:
    for place in runner.place_by_run.values():
        if place.spec.uses_spare:
            yield place


def _serving_places(runner: Runner) -> Iterator[Place]:
    for place in runner.place_by_run.values():
        if place.spec.latency_target_ms:
            yield place


def _working(place: Place) -> bool:
    return place.attempt.standing is Standing.RUNNING


def _wanted_milli(place: Place) -> float:
    return place.spec.demand.processors_milli * place.attempt.pace_asked / 100


def _share(spec: StepSpec, runner: Runner) -> float:
    return spec.demand.processors_milli / max(1, runner.entry.capacity.processors_milli)
