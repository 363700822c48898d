"""How tasks in memory share a runner: spare processors, and tails that suffer.

A serving task's tail grows like 1 / (1 - utilization), where its users' load swings
and each image beside it adds a part of its own.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..jobs import StepSpec

#: Tail of a task without load, as a part of its target.
IDLE_TAIL = 0.2
#: Utilization at which the queues of a serving task are cut short.
MAX_UTILIZATION = 0.985


@dataclass(frozen=True, slots=True)
class ContentionModel:
    """Loads and effects.

    Attributes
    ----------
    load : callable
        Utilization by a job's own users at a time: of (job, seconds).
    effect : callable
        Utilization that an image adds to another one, for all processors of a
        runner: of (serving image, image beside it).
    """

    load: Callable[[str, float], float]
    effect: Callable[[str, str], float]

    def spare_speed(
        self,
        capacity_milli: int,
        runs: Iterable[tuple[str, StepSpec, int]],
        now_s: float,
    ) -> float:
        """Return the part of its speed that a task on spare processors reaches.

        ``runs`` holds the job, the step and the pace of all that runs there.
        """
        left = float(capacity_milli)
        wanted = 0.0
        for job, spec, pace in runs:
            if spec.uses_spare:
                wanted += spec.demand.processors_milli * pace / 100
                continue
            use = self.load(job, now_s) if spec.latency_target_ms else 1.0
            left -= spec.demand.processors_milli * use
        return min(1.0, max(0.0, left) / wanted) if wanted else 1.0

    def tail_latency_ms(
        self,
        job: str,
        spec: StepSpec,
        capacity_milli: int,
        runs: Iterable[tuple[str, StepSpec, int]],
        now_s: float,
    ) -> float:
        """Return the tail latency of a serving task beside all that runs there."""
        utilization = self.load(job, now_s)
        for _, other, pace in runs:
            if not other.uses_spare:
                continue
            share = other.demand.processors_milli * pace / 100 / capacity_milli
            utilization += self.effect(spec.image, other.image) * share
        utilization = min(MAX_UTILIZATION, utilization)
        return spec.latency_target_ms * IDLE_TAIL / (1 - utilization)


def sinusoidal_load(
    mean: float, swing: float, period_s: float
) -> Callable[[str, float], float]:
    """Return a load that swings, each job at its own time."""

    def load(job: str, now_s: float) -> float:
        phase = sum(job.encode()) * 0.7
        return mean * (1 + swing * math.sin(2 * math.pi * now_s / period_s + phase))

    return load
