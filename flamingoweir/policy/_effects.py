"""What tasks that use spare processors do to the tail latency of serving tasks.

The model is log(tail / target) = base + sum of effect * share, where share is the part
of the runner's processors that an image uses. Base and effects are learnt for each
image that serves by recursive least squares; a random walk of the coefficients lets
old samples fade, as effects change within seconds.
"""

import math

#: Expected effect of an image of which nothing is known, and its spread.
PRIOR_EFFECT = 3.0
PRIOR_SPREAD = 4.0
#: Expected log of tail over target when nothing disturbs, and its spread.
PRIOR_BASE = -0.9
PRIOR_BASE_SPREAD = 0.3
#: Spread of a single sample.
SAMPLE_SPREAD = 0.35
#: Spread that a coefficient gains in a second, as a part of its prior spread.
WALK = 0.06

#: Name of the constant term among the coefficients.
BASE = ""


class ServingModel:
    """Base and effects for one image that serves.

    Attributes
    ----------
    mean_by_image : dict of str to float
        Effect of each image; the base under `BASE`.
    """

    def __init__(self) -> None:
        self.mean_by_image: dict[str, float] = {BASE: PRIOR_BASE}
        self._covariance: dict[tuple[str, str], float] = {
            (BASE, BASE): PRIOR_BASE_SPREAD**2
        }
        self._walked_s: float | None = None

    def effect(self, image: str) -> float:
        """Return the effect of an image; never negative."""
        return max(0.0, self.mean_by_image.get(image, PRIOR_EFFECT))

    @property
    def base(self) -> float:
        """The log of tail over target when nothing disturbs."""
        return self.mean_by_image[BASE]

    def learn(
        self, log_ratio: float, share_by_image: dict[str, float], now_s: float
    ) -> None:
        """Take one sample.

        Parameters
        ----------
        log_ratio : float
            Log of the tail over its target.
        share_by_image : dict of str to float
            Parts of the runner's processors that each image used meanwhile.
        now_s : float
            When it was taken.
        """
        self._walk(now_s)
        inputs = {BASE: 1.0}
        for image, share in share_by_image.items():
            self._add(image)
            inputs[image] = share
        gains = self._project(inputs)
        scale = SAMPLE_SPREAD**2
        expected = 0.0
        for image, value in inputs.items():
            scale += value * gains[image]
            expected += value * self.mean_by_image[image]
        error = log_ratio - expected
        for image, gain in gains.items():
            self.mean_by_image[image] += gain * error / scale
        for first, second in self._covariance:
            self._covariance[first, second] -= gains[first] * gains[second] / scale

    def _add(self, image: str) -> None:
        if image in self.mean_by_image:
            return
        for other in list(self.mean_by_image):
            self._covariance[image, other] = 0.0
            self._covariance[other, image] = 0.0
        self._covariance[image, image] = PRIOR_SPREAD**2
        self.mean_by_image[image] = PRIOR_EFFECT

    def _project(self, inputs: dict[str, float]) -> dict[str, float]:
        """Return the covariance times the inputs."""
        gains = {}
        for image in self.mean_by_image:
            total = 0.0
            for other, value in inputs.items():
                total += self._covariance[image, other] * value
            gains[image] = total
        return gains

    def _walk(self, now_s: float) -> None:
        if self._walked_s is not None:
            passed_s = min(10.0, max(0.0, now_s - self._walked_s))
            for image in self.mean_by_image:
                prior = PRIOR_BASE_SPREAD if image == BASE else PRIOR_SPREAD
                widened = (
                    self._covariance[image, image] + passed_s * (WALK * prior) ** 2
                )
                self._covariance[image, image] = min(prior**2, widened)
        self._walked_s = now_s


def log_ratio(tail_ms: float, target_ms: float) -> float:
    """Return the log of a tail over its target; tails are at least half a ms."""
    return math.log(max(0.5, tail_ms) / target_ms)
