"""Model of how batch tasks on spare processors reduce the headroom of serving tasks.

Headroom is the latency target divided by the tail latency. Tail latency grows like
1 / (1 - utilization), so headroom falls by the same amount for each processor that
disturbs a task, whatever the load of the task itself:
headroom = baseline - sum of effect * share.

``baseline`` follows the user load, which all tasks of a step share. ``effect`` belongs
to a pair of images, and ``share`` is the fraction of the runner's processors that the
disturbing image uses. A Kalman filter learns both. It keeps the covariance of the
effects on one image, so that of several disturbing images the loss is attributed to the
right one.
"""

from dataclasses import dataclass

#: Mean and standard deviation of the effect of an unknown image. Most pairs of images
#: hardly disturb each other; some lose ten times their target.
PRIOR_EFFECT = 0.5
PRIOR_EFFECT_STD = 3.0
#: Upper bound of an effect.
MAX_EFFECT = 40.0
#: Standard deviation of the drift of an effect within a second.
EFFECT_DRIFT_STD = 0.1
#: Variance up to which an effect counts as learnt.
MAX_LISTED_VARIANCE = 0.5 * PRIOR_EFFECT_STD**2
#: Mean and standard deviation of the headroom of an unknown, undisturbed task.
PRIOR_BASELINE = 2.0
PRIOR_BASELINE_STD = 1.5
#: Standard deviation of the drift of a baseline within a second, by the user load.
BASELINE_DRIFT_STD = 0.5
#: Standard deviation of a measured headroom: a fraction of the headroom, and a
#: constant part.
MEASUREMENT_STD_RATIO = 0.1
MEASUREMENT_STD = 0.1
#: Lower bound of the expected headroom. Below it, queues are truncated and the tail
#: latency does not show how far the headroom fell.
MIN_HEADROOM = 0.05
#: Seconds in which the recent low closes two thirds of the gap to the mean.
LOW_DECAY_S = 30.0


@dataclass(frozen=True, slots=True)
class Effect:
    """A learnt effect of a batch image on a serving image.

    Attributes
    ----------
    serving_image, image : str
        The disturbed image and the disturbing one.
    mean, variance : float
        Headroom that is lost if the disturbing image uses all processors of a runner,
        and the variance of that estimate.
    """

    serving_image: str
    image: str
    mean: float
    variance: float


@dataclass(slots=True)
class BaselineHeadroom:
    """Headroom that the tasks of a step have without disturbance.

    Attributes
    ----------
    mean, variance : float
        Estimate of the headroom, and the variance of the estimate.
    recent_low : float
        Recent low of the mean, which stands for the peak of the user load.
    updated_s : float
        Time of the last update on the owner's clock, in seconds.
    """

    mean: float
    variance: float
    recent_low: float
    updated_s: float

    def predict(self, now_s: float) -> None:
        """Add the uncertainty of the time since the last update."""
        elapsed_s = min(LOW_DECAY_S, max(0.0, now_s - self.updated_s))
        self.updated_s = now_s
        grown_variance = self.variance + BASELINE_DRIFT_STD**2 * elapsed_s
        self.variance = min(PRIOR_BASELINE_STD**2, grown_variance)
        self.recent_low += (self.mean - self.recent_low) * elapsed_s / LOW_DECAY_S

    def correct(self, error: float, variance: float) -> None:
        """Correct the estimate by a measurement.

        Parameters
        ----------
        error : float
            Measured minus expected headroom.
        variance : float
            Expected variance of ``error``.
        """
        gain = self.variance / variance
        self.mean += gain * error
        self.variance -= gain * self.variance
        self.recent_low = min(self.recent_low, self.mean)


def new_baseline(now_s: float) -> BaselineHeadroom:
    """Return the baseline headroom of a step without measurements."""
    return BaselineHeadroom(
        PRIOR_BASELINE, PRIOR_BASELINE_STD**2, PRIOR_BASELINE, now_s
    )


class EffectModel:
    """Effects of other images on the headroom of one serving image.

    Attributes
    ----------
    mean_by_image : dict of str to float
        Headroom lost to an image, if the image used all processors of a runner.
    """

    def __init__(self) -> None:
        self.mean_by_image: dict[str, float] = {}
        #: Position of each image in the rows of the covariance matrix.
        self._position_by_image: dict[str, int] = {}
        self._covariance: list[list[float]] = []
        self._predicted_s: float | None = None

    def effect(self, image: str) -> float:
        """Return the expected effect of an image, at least 0."""
        return self.mean_by_image.get(image, PRIOR_EFFECT)

    @property
    def measured_s(self) -> float:
        """When an effect was last measured here, on the owner's clock, in seconds."""
        return float("-inf") if self._predicted_s is None else self._predicted_s

    def list_effects(self, now_s: float) -> list[tuple[str, float, float]]:
        """Return image, mean and variance as of now of each effect that was learnt.

        Those that are hardly more certain than an unknown one are left out.
        """
        effects = []
        age_s = 0.0 if self._predicted_s is None else now_s - self._predicted_s
        for image, position in self._position_by_image.items():
            variance = self._covariance[position][position]
            variance += EFFECT_DRIFT_STD**2 * max(0.0, age_s)
            if variance <= MAX_LISTED_VARIANCE:
                effects.append((image, self.mean_by_image[image], variance))
        return effects

    def restore(self, image: str, mean: float, variance: float, age_s: float) -> None:
        """Add an effect that was learnt earlier, if it is more certain than here.

        Its covariance with other effects is not restored.

        Parameters
        ----------
        image : str
            The disturbing image.
        mean, variance : float
            Estimate of the effect, and the variance of the estimate.
        age_s : float
            Seconds since the effect was learnt.
        """
        self._add_image(image)
        position = self._position_by_image[image]
        grown_variance = max(0.0, variance) + EFFECT_DRIFT_STD**2 * max(0.0, age_s)
        if grown_variance >= self._covariance[position][position]:
            return
        self.mean_by_image[image] = min(MAX_EFFECT, max(0.0, mean))
        for row in self._covariance:
            row[position] = 0.0
        self._covariance[position] = [0.0] * len(self._covariance)
        self._covariance[position][position] = grown_variance

    def learn(
        self,
        headroom: float,
        share_by_image: dict[str, float],
        baseline: BaselineHeadroom,
        now_s: float,
    ) -> float:
        """Update the model with a measured headroom of a task.

        Parameters
        ----------
        headroom : float
            Latency target divided by the measured tail latency.
        share_by_image : dict of str to float
            Fraction of the runner's processors that each image used.
        baseline : BaselineHeadroom
            Baseline of the task's step, which is corrected too.
        now_s : float
            Time of the measurement on the owner's clock, in seconds.

        Returns
        -------
        float
            Measured minus expected headroom.
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
        variance = baseline.variance + measurement_std**2 + MEASUREMENT_STD**2
        for image, share in share_by_image.items():
            variance += share * projected[self._position_by_image[image]]
        error = headroom - expected
        baseline.correct(error, variance)
        if share_by_image:
            self._correct(projected, error, variance)
        return error

    def _add_image(self, image: str) -> None:
        if image in self.mean_by_image:
            return
        self.mean_by_image[image] = PRIOR_EFFECT
        position = self._position_by_image[image] = len(self._covariance)
        for row in self._covariance:
            row.append(0.0)
        self._covariance.append([0.0] * (position + 1))
        self._covariance[position][position] = PRIOR_EFFECT_STD**2

    def _predict(self, now_s: float) -> None:
        predicted_s, self._predicted_s = self._predicted_s, now_s
        if predicted_s is None or now_s <= predicted_s:
            return
        added_variance = EFFECT_DRIFT_STD**2 * (now_s - predicted_s)
        for position, row in enumerate(self._covariance):
            row[position] = min(PRIOR_EFFECT_STD**2, row[position] + added_variance)

    def _project(self, share_by_image: dict[str, float]) -> list[float]:
        """Return the covariance matrix multiplied by the shares."""
        projected = [0.0] * len(self._covariance)
        for image, share in share_by_image.items():
            # The matrix is symmetric: its rows are its columns.
            row = self._covariance[self._position_by_image[image]]
            projected = [
                total + share * value
                for total, value in zip(projected, row, strict=True)
            ]
        return projected

    def _correct(self, projected: list[float], error: float, variance: float) -> None:
        for image, position in self._position_by_image.items():
            gain = projected[position] / variance
            if not gain:
                continue
            mean = self.mean_by_image[image] - gain * error
            self.mean_by_image[image] = min(MAX_EFFECT, max(0.0, mean))
            row = self._covariance[position]
            self._covariance[position] = [
                value - gain * other
                for value, other in zip(row, projected, strict=True)
            ]
