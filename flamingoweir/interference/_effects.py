"""How much a service slows beside a class of batch work.

The model is latency = baseline * (1 + load * sum of effect * share), where share is
the part of the worker's processors that a class holds. Effects are fitted by
normalised least mean squares, which forgets as the world shifts, and start from a
prior; they are never negative.
"""

from dataclasses import dataclass, field

PRIOR_EFFECT = 0.1
LEARNING_RATE = 0.2
FORGETTING = 0.002
BASELINE_RISE = 0.002
BASELINE_FALL = 0.2
SHARE_FLOOR = 0.05


@dataclass(slots=True)
class ServiceModel:
    """What is learnt of one service.

    Attributes
    ----------
    baseline_ms : float
        Its latency when nothing disturbs it; 0 before the first sample.
    effect_by_class : dict of str to float
        Slowdown at full load beside a worker full of a class.
    samples : int
        How many measurements were taken in.
    """

    baseline_ms: float = 0.0
    effect_by_class: dict[str, float] = field(default_factory=dict)
    samples: int = 0


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
        """
        model = self._by_service.setdefault(service, ServiceModel())
        model.samples += 1
        self._learn_baseline(model, latency_ms, sum(share_by_class.values()))
        inputs = {name: load * share for name, share in share_by_class.items()}
        norm = sum(value * value for value in inputs.values())
        if not norm:
            return
        predicted = sum(
            self.effect(service, name) * value for name, value in inputs.items()
        )
        error = latency_ms / model.baseline_ms - 1 - predicted
        for name, value in inputs.items():
            old = self.effect(service, name)
            step = LEARNING_RATE * error * value / (norm + SHARE_FLOOR)
            drift = FORGETTING * (PRIOR_EFFECT - old)
            model.effect_by_class[name] = max(0.0, old + step + drift)

    def effect(self, service: str, job_class: str) -> float:
        """Return the slowdown of a service beside a worker full of a class."""
        model = self._by_service.get(service)
        if model is None:
            return PRIOR_EFFECT
        return model.effect_by_class.get(job_class, PRIOR_EFFECT)

    def predict(
        self, service: str, load: float, share_by_class: dict[str, float]
    ) -> float:
        """Return the latency in ms that a service would have, 0 if not known."""
        model = self._by_service.get(service)
        if model is None:
            return 0.0
        slowdown = sum(
            self.effect(service, name) * share for name, share in share_by_class.items()
        )
        return model.baseline_ms * (1 + load * slowdown)

    @staticmethod
    def _learn_baseline(model: ServiceModel, latency_ms: float, share: float) -> None:
        """Follow low latencies quickly and high ones slowly, or when alone."""
        if not model.baseline_ms:
            model.baseline_ms = latency_ms
            return
        gap_ms = latency_ms - model.baseline_ms
        rate = BASELINE_FALL if gap_ms < 0 or share < SHARE_FLOOR else BASELINE_RISE
        model.baseline_ms += rate * gap_ms
