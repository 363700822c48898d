"""What tasks that use spare processors do to the tail latency of serving tasks.

A server's tail grows like 1 / (1 - utilization), so that its headroom, the target
divided by the tail, falls by the same amount for each processor that disturbs it,
whatever its own load. The model is headroom = own - sum of effect * share. ``baseline``
follows the users' load, which the tasks of a step share; an effect belongs to a pair
of images, and share is the part of the runner's processors that the disturbing image
uses. Both are learnt by a Kalman filter, in which the effects on one image are
correlated, so that of several neighbours the right one is blamed.
"""

from dataclasses import dataclass

#: Expected effect of an image of which nothing is known, and its spread. Most pairs
#: hardly disturb each other, some lose ten times their target.
PRIOR_EFFECT = 0.5
PRIOR_EFFECT_STD = 3.0
#: Largest effect that is believed.
MAX_EFFECT = 40.0
#: Spread that an effect gains within a second.
EFFECT_DRIFT_STD = 0.1
#: Expected headroom of an undisturbed task, and its spread.
PRIOR_BASELINE = 2.0
PRIOR_BASELINE_STD = 1.5
#: Spread that the users' load adds to an undisturbed headroom within a second.
BASELINE_DRIFT_STD = 0.5
#: Spread of a figure, as a part of it and beyond that.
MEASUREMENT_STD_RATIO = 0.1
MIN_MEASUREMENT_STD = 0.1
#: Below this headroom queues are cut short and say nothing of how far it fell.
MIN_HEADROOM = 0.05
#: Seconds in which the lowest headroom seen rises by two thirds to the present one.
LOW_DECAY_S = 30.0


@dataclass(slots=True)
class BaselineHeadroom:
    """The undisturbed headroom of a step's tasks.

    Attributes
    ----------
    mean, variance : float
        What it is, and how sure that is.
    recent_low : float
        The lowest of late, as the load of users swings.
    updated_s : float
        When it was last corrected.
    """

    mean: float
    variance: float
    recent_low: float
    updated_s: float

    def predict(self, now_s: float) -> None:
        """Let time pass since the latest figure."""
        elapsed_s = min(LOW_DECAY_S, max(0.0, now_s - self.updated_s))
        self.updated_s = now_s
        grown_variance = self.variance + BASELINE_DRIFT_STD**2 * elapsed_s
        self.variance = min(PRIOR_BASELINE_STD**2, grown_variance)
        self.recent_low += (self.mean - self.recent_low) * elapsed_s / LOW_DECAY_S

    def correct(self, error: float, variance: float) -> None:
        """Take the error of a figure, and the variance that was expected of it."""
        gain = self.variance / variance
        self.mean += gain * error
        self.variance -= gain * self.variance
        self.recent_low = min(self.recent_low, self.mean)


def new_baseline(now_s: float) -> BaselineHeadroom:
    """Return the headroom of a step of which nothing is known."""
    return BaselineHeadroom(
        PRIOR_BASELINE, PRIOR_BASELINE_STD**2, PRIOR_BASELINE, now_s
    )


class EffectModel:
    """Effects of images on one image that serves.

    Attributes
    ----------
    mean_by_image : dict of str to float
        Headroom that is lost to an image that uses all processors of a runner.
    """

    def __init__(self) -> None:
        self.mean_by_image: dict[str, float] = {}
        self._covariance: dict[str, dict[str, float]] = {}
        self._predicted_s: float | None = None

    def effect(self, image: str) -> float:
        """Return the expected effect of an image; never negative."""
        return self.mean_by_image.get(image, PRIOR_EFFECT)

    def learn(
        self,
        headroom: float,
        share_by_image: dict[str, float],
        baseline: BaselineHeadroom,
        now_s: float,
    ) -> float:
        """Take one figure of a task; return how far it was from what was expected.

        Parameters
        ----------
        headroom : float
            The target divided by the tail.
        share_by_image : dict of str to float
            Parts of the runner's processors that each image used meanwhile.
        baseline : BaselineHeadroom
            Of the task's step; corrected too.
        now_s : float
            When the figure was taken.
        """
        baseline.predict(now_s)
        self._predict(now_s)
        expected = baseline.mean
        for image, share in share_by_image.items():
            self._add_image(image)
            expected -= self.mean_by_image[image] * share
        expected = max(MIN_HEADROOM, expected)
        projected = self._project(share_by_image)
        measurement_std = MEASUREMENT_STD_RATIO * max(headroom, expected)
        variance = baseline.variance + measurement_std**2 + MIN_MEASUREMENT_STD**2
        for image, share in share_by_image.items():
            variance += share * projected[image]
        error = headroom - expected
        baseline.correct(error, variance)
        if share_by_image:
            self._correct(projected, error, variance)
        return error

    def _add_image(self, image: str) -> None:
        if image in self.mean_by_image:
            return
        self.mean_by_image[image] = PRIOR_EFFECT
        row = dict.fromkeys(self._covariance, 0.0)
        for other in self._covariance.values():
            other[image] = 0.0
        row[image] = PRIOR_EFFECT_STD**2
        self._covariance[image] = row

    def _predict(self, now_s: float) -> None:
        predicted_s, self._predicted_s = self._predicted_s, now_s
        if predicted_s is None or now_s <= predicted_s:
            return
        added_variance = EFFECT_DRIFT_STD**2 * (now_s - predicted_s)
        for image, row in self._covariance.items():
            row[image] = min(PRIOR_EFFECT_STD**2, row[image] + added_variance)

    def _project(self, share_by_image: dict[str, float]) -> dict[str, float]:
        """Return the covariance times the shares."""
        projected = {}
        for image, row in self._covariance.items():
            total = 0.0
            for other, share in share_by_image.items():
                total += row[other] * share
            projected[image] = total
        return projected

    def _correct(
        self, projected: dict[str, float], error: float, variance: float
    ) -> None:
        for image, gain in projected.items():
            mean = self.mean_by_image[image] - gain * error / variance
            self.mean_by_image[image] = min(MAX_EFFECT, max(0.0, mean))
            row = self._covariance[image]
            scaled = gain / variance
            for other, other_gain in projected.items():
                row[other] -= scaled * other_gain
