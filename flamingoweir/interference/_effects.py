"""How much a service slows beside a class of batch work.

The model is latency = baseline * (1 + sum of effect * load * share), where share is the
part of the worker's processors that a class holds. Baseline and effects are fitted by
least squares over all workers' samples, shrunk towards a prior and weighted so that old
samples fade; effects are never negative.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from ._load import LoadForecast

PRIOR_EFFECT = 0.1
PRIOR_EFFECT_STD = 0.4
NOISE_STD = 0.02
HALF_LIFE_S = 600.0
FIT_PERIOD_S = 1.0
DESCENT_SWEEPS = 30


@dataclass(slots=True)
class ServiceModel:
    """What is learnt of one service.

    Attributes
    ----------
    baseline_ms : float
        Its latency when nothing disturbs it; 0 before the first sample.
    effect_by_class : dict of str to float
        Slowdown at full load beside a worker full of a class.
    forecast : LoadForecast
        Its load.
    weight, latency, inputs, products, cross
        Faded sums of 1, latency, inputs, inputs times latency, and inputs times
        inputs.
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
        """Take one sample into the sums."""
        self.weight += 1
        self.latency_sum += latency_ms
        inputs = {name: load * share for name, share in shares.items() if share}
        for name, value in inputs.items():
            self.input_sum_by_class[name] += value
            self.input_latency_sum_by_class[name] += value * latency_ms
            for other, other_value in inputs.items():
                self.input_product_sum_by_pair[name, other] += value * other_value

    def decay(self, now_s: float) -> None:
        """Let old samples count less."""
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
        """Fit baseline and effects to the sums, by coordinate descent."""
        if not self.baseline_ms:
            self.baseline_ms = self.latency_sum / self.weight
        for _ in range(DESCENT_SWEEPS):
            self._fit_baseline()
            for name in self.input_sum_by_class:
                self._fit_effect(name)

    def information(self, job_class: str) -> float:
        """Return how much is known of a class, in the unit of 1 / NOISE ** 2."""
        return self.input_product_sum_by_pair.get((job_class, job_class), 0.0)

    def _fit_baseline(self) -> None:
        """Fit the baseline, given the effects."""
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
        """Fit one effect, given the others."""
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
        """Return a class's effect as far as it is known."""
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
        """Take one measurement into account.

        Parameters
        ----------
        service : str
            The service's class.
        latency_ms : float
            Its tail latency.
        load : float
            Its processors used, as a part of what it declared.
        share_by_class : dict of str to float
            What its neighbours held when that was measured.
        now_s : float
            The learner's clock.
        age_s : float
            How long ago that was measured.
        """
        model = self._model_by_service.setdefault(service, ServiceModel())
        model.forecast.add(now_s - age_s, load)
        model.add(latency_ms, load, share_by_class)
        if now_s - model.fitted_s < FIT_PERIOD_S:
            return
        model.fitted_s = now_s
        model.decay(now_s)
        model.fit()

    def effect(self, service: str, job_class: str) -> float:
        """Return the slowdown of a service beside a worker full of a class."""
        model = self._model_by_service.get(service)
        return PRIOR_EFFECT if model is None else model.effect(job_class)

    def effect_upper_bound(self, service: str, job_class: str) -> float:
        """Return an effect with an allowance for what is not known of it."""
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
        """Return a service's highest latency in a span, in ms; 0 if not known."""
        model = self._model_by_service.get(service)
        if model is None:
            return 0.0
        slowdown = sum(
            self.effect_upper_bound(service, name) * share
            for name, share in share_by_class.items()
        )
        load = model.forecast.predict_max(from_s, until_s)
        return model.baseline_ms * (1 + load * slowdown)
