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
PRIOR_SPREAD = 0.4
NOISE = 0.02
HALF_LIFE_S = 600.0
SOLVE_PERIOD_S = 1.0
SWEEPS = 30


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
    latency: float = 0.0
    inputs: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    products: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    cross: dict[tuple[str, str], float] = field(
        default_factory=lambda: defaultdict(float)
    )
    faded_s: float = 0.0
    solved_s: float = float("-inf")

    def add(self, latency_ms: float, load: float, shares: dict[str, float]) -> None:
        """Take one sample into the sums."""
        self.weight += 1
        self.latency += latency_ms
        inputs = {name: load * share for name, share in shares.items() if share}
        for name, value in inputs.items():
            self.inputs[name] += value
            self.products[name] += value * latency_ms
            for other, other_value in inputs.items():
                self.cross[name, other] += value * other_value

    def fade(self, now_s: float) -> None:
        """Let old samples count less."""
        if self.faded_s:
            passed_s = now_s - self.faded_s
            factor = 0.5 ** (passed_s / HALF_LIFE_S)
            self.weight *= factor
            self.latency *= factor
            for sums in (self.inputs, self.products, self.cross):
                for name in sums:
                    sums[name] *= factor
        self.faded_s = now_s

    def solve(self) -> None:
        """Fit baseline and effects to the sums, by coordinate descent."""
        if not self.baseline_ms:
            self.baseline_ms = self.latency / self.weight
        for _ in range(SWEEPS):
            self._solve_baseline()
            for name in self.inputs:
                self._solve_effect(name)

    def evidence(self, job_class: str) -> float:
        """Return how much is known of a class, in the unit of 1 / NOISE ** 2."""
        return self.cross.get((job_class, job_class), 0.0)

    def _solve_baseline(self) -> None:
        """Fit the baseline, given the effects."""
        fitted = self.weight
        matched = self.latency
        for name in self.inputs:
            effect = self.effect(name)
            fitted += 2 * effect * self.inputs[name]
            matched += effect * self.products[name]
            for other in self.inputs:
                fitted += effect * self.effect(other) * self.cross[name, other]
        self.baseline_ms = matched / fitted

    def _solve_effect(self, name: str) -> None:
        """Fit one effect, given the others."""
        rest = self.products[name] / self.baseline_ms - self.inputs[name]
        for other in self.inputs:
            if other != name:
                rest -= self.effect(other) * self.cross[name, other]
        shrink = (NOISE / PRIOR_SPREAD) ** 2
        fitted = (rest + shrink * PRIOR_EFFECT) / (self.cross[name, name] + shrink)
        self.effect_by_class[name] = max(0.0, fitted)

    def effect(self, job_class: str) -> float:
        """Return a class's effect as far as it is known."""
        return self.effect_by_class.get(job_class, PRIOR_EFFECT)


class PairEffects:
    """Effects of batch classes on services."""

    def __init__(self) -> None:
        self._by_service: dict[str, ServiceModel] = {}

    def learn(
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
        model = self._by_service.setdefault(service, ServiceModel())
        model.forecast.add(now_s - age_s, load)
        model.add(latency_ms, load, share_by_class)
        if now_s - model.solved_s < SOLVE_PERIOD_S:
            return
        model.solved_s = now_s
        model.fade(now_s)
        model.solve()

    def effect(self, service: str, job_class: str) -> float:
        """Return the slowdown of a service beside a worker full of a class."""
        model = self._by_service.get(service)
        return PRIOR_EFFECT if model is None else model.effect(job_class)

    def cautious_effect(self, service: str, job_class: str) -> float:
        """Return an effect with an allowance for what is not known of it."""
        model = self._by_service.get(service)
        if model is None:
            return PRIOR_EFFECT + PRIOR_SPREAD
        shrink = (NOISE / PRIOR_SPREAD) ** 2
        doubt = NOISE / (model.evidence(job_class) + shrink) ** 0.5
        return model.effect(job_class) + doubt

    def predict(
        self,
        service: str,
        share_by_class: dict[str, float],
        from_s: float,
        until_s: float,
    ) -> float:
        """Return a service's highest latency in a span, in ms; 0 if not known."""
        model = self._by_service.get(service)
        if model is None:
            return 0.0
        slowdown = sum(
            self.cautious_effect(service, name) * share
            for name, share in share_by_class.items()
        )
        load = model.forecast.highest(from_s, until_s)
        return model.baseline_ms * (1 + load * slowdown)
