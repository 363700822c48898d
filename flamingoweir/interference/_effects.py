"""Model of the slowdown of services beside classes of batch work.

The model is latency = baseline * (1 + sum of effect * load * share), where load is the
service's load and share the part of the worker's processors that a batch class holds.
Baseline and effects are fitted by least squares to the samples of all workers. Effects
are shrunk towards a prior and are never negative. The weight of a sample decays
exponentially with its age.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from ._load import LoadForecast

#: Mean and standard deviation of the prior distribution of an effect.
PRIOR_EFFECT = 0.1
PRIOR_EFFECT_STD = 0.4
#: Standard deviation of a measured latency, relative to the baseline.
NOISE_STD = 0.02
#: Seconds in which the weight of a sample halves.
HALF_LIFE_S = 600.0
#: Least time between two fits, in seconds.
FIT_INTERVAL_S = 1.0
#: Sweeps of coordinate descent for each fit.
DESCENT_SWEEPS = 30


@dataclass(slots=True)
class ServiceModel:
    """Fitted model of one service.

    The input of a batch class is the service's load times the class's share.

    Attributes
    ----------
    baseline_ms : float
        Tail latency without batch in milliseconds; 0 before the first sample.
    effect_by_class : dict of str to float
        Relative slowdown at full load if a batch class holds all processors.
    forecast : LoadForecast
        Forecast of the service's load.
    weight : float
        Decayed number of samples.
    latency_sum : float
        Decayed sum of latencies in milliseconds.
    input_sum_by_class : dict of str to float
        Decayed sum of inputs by class.
    input_latency_sum_by_class : dict of str to float
        Decayed sum of input times latency by class.
    input_product_sum_by_pair : dict of (str, str) to float
        Decayed sum of the product of two classes' inputs, by pair of classes.
    decayed_s : float
        Time of the latest decay in seconds; 0 before the first.
    fitted_s : float
        Time of the latest fit in seconds.
    """

    baseline_ms: float = 0.0
    effect_by_class: dict[str, float] = field(default_factory=dict)
    forecast: LoadForecast = field(default_factory=LoadForecast)
    weight: float = 0.0
    latency_sum: float = 0.0
    input_sum_by_class: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    input_latency_sum_by_class: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    input_product_sum_by_pair: dict[tuple[str, str], float] = field(
        default_factory=lambda: defaultdict(float)
    )
    decayed_s: float = 0.0
    fitted_s: float = float("-inf")

    def add(self, latency_ms: float, load: float, shares: dict[str, float]) -> None:
        """Add one sample to the sums."""
        self.weight += 1
        self.latency_sum += latency_ms
        inputs = {name: load * share for name, share in shares.items() if share}
        for name, value in inputs.items():
            self.input_sum_by_class[name] += value
            self.input_latency_sum_by_class[name] += value * latency_ms
            for other, other_value in inputs.items():
                self.input_product_sum_by_pair[name, other] += value * other_value

    def decay(self, now_s: float) -> None:
        """Decay the sums by the time since the latest decay."""
        if self.decayed_s:
            elapsed_s = now_s - self.decayed_s
            factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
            self.weight *= factor
            self.latency_sum *= factor
            for sums in (
                self.input_sum_by_class,
                self.input_latency_sum_by_class,
                self.input_product_sum_by_pair,
            ):
                for name in sums:
                    sums[name] *= factor
        self.decayed_s = now_s

    def fit(self) -> None:
        """Fit baseline and effects to the sums by coordinate descent."""
        if not self.baseline_ms:
            self.baseline_ms = self.latency_sum / self.weight
        for _ in range(DESCENT_SWEEPS):
            self._fit_baseline()
            for name in self.input_sum_by_class:
                self._fit_effect(name)

    def information(self, job_class: str) -> float:
        """Return the information on an effect, in units of 1 / NOISE_STD ** 2."""
        return self.input_product_sum_by_pair.get((job_class, job_class), 0.0)

    def _fit_baseline(self) -> None:
        """Fit the baseline while the effects are fixed."""
        denominator = self.weight
        numerator = self.latency_sum
        for name in self.input_sum_by_class:
            effect = self.effect(name)
            denominator += 2 * effect * self.input_sum_by_class[name]
            numerator += effect * self.input_latency_sum_by_class[name]
            for other in self.input_sum_by_class:
                denominator += (
                    effect
                    * self.effect(other)
                    * self.input_product_sum_by_pair[name, other]
                )
        self.baseline_ms = numerator / denominator

    def _fit_effect(self, name: str) -> None:
        """Fit one class's effect while the baseline and other effects are fixed."""
        residual = (
            self.input_latency_sum_by_class[name] / self.baseline_ms
            - self.input_sum_by_class[name]
        )
        for other in self.input_sum_by_class:
            if other != name:
                residual -= (
                    self.effect(other) * self.input_product_sum_by_pair[name, other]
                )
        shrink = (NOISE_STD / PRIOR_EFFECT_STD) ** 2
        fitted_effect = (residual + shrink * PRIOR_EFFECT) / (
            self.input_product_sum_by_pair[name, name] + shrink
        )
        self.effect_by_class[name] = max(0.0, fitted_effect)

    def effect(self, job_class: str) -> float:
        """Return the fitted effect of a class, or the prior mean without samples."""
        return self.effect_by_class.get(job_class, PRIOR_EFFECT)


class EffectModel:
    """Effects of batch classes on services."""

    def __init__(self) -> None:
        self._model_by_service: dict[str, ServiceModel] = {}

    def add_measurement(
        self,
        service: str,
        latency_ms: float,
        load: float,
        share_by_class: dict[str, float],
        now_s: float,
        age_s: float,
    ) -> None:
        """Add one measurement; fit the model if the latest fit is old enough.

        Parameters
        ----------
        service : str
            Job class of the service.
        latency_ms : float
            Tail latency in milliseconds.
        load : float
            Processors used by the service, relative to the processors declared.
        share_by_class : dict of str to float
            Part of the worker's processors that each batch class held at the time of
            the measurement.
        now_s : float
            Time on the owner's clock, in seconds.
        age_s : float
            Age of the measurement in seconds.
        """
        model = self._model_by_service.setdefault(service, ServiceModel())
        model.forecast.add(now_s - age_s, load)
        model.add(latency_ms, load, share_by_class)
        if now_s - model.fitted_s < FIT_INTERVAL_S:
            return
        model.fitted_s = now_s
        model.decay(now_s)
        model.fit()

    def effect(self, service: str, job_class: str) -> float:
        """Return a service's relative slowdown if a class holds all processors."""
        model = self._model_by_service.get(service)
        return PRIOR_EFFECT if model is None else model.effect(job_class)

    def effect_upper_bound(self, service: str, job_class: str) -> float:
        """Return an effect plus the standard deviation of the fitted value."""
        model = self._model_by_service.get(service)
        if model is None:
            return PRIOR_EFFECT + PRIOR_EFFECT_STD
        shrink = (NOISE_STD / PRIOR_EFFECT_STD) ** 2
        deviation = NOISE_STD / (model.information(job_class) + shrink) ** 0.5
        return model.effect(job_class) + deviation

    def predict(
        self,
        service: str,
        share_by_class: dict[str, float],
        from_s: float,
        until_s: float,
    ) -> float:
        """Return a service's highest expected latency between two times.

        Parameters
        ----------
        service : str
            Job class of the service.
        share_by_class : dict of str to float
            Part of the worker's processors that each batch class holds.
        from_s, until_s : float
            Start and end of the time span, in seconds on the owner's clock.

        Returns
        -------
        float
            Latency in milliseconds, with effects as `effect_upper_bound` returns them;
            0 if the service was never measured.
        """
        model = self._model_by_service.get(service)
        if model is None:
            return 0.0
        slowdown = sum(
            self.effect_upper_bound(service, name) * share
            for name, share in share_by_class.items()
        )
        load = model.forecast.predict_max(from_s, until_s)
        return model.baseline_ms * (1 + load * slowdown)
