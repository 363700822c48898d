"""Model of the contention between tasks that share a runner.

A serving task's tail latency grows like 1 / (1 - utilization). The utilization is the
load by the users of the job, which varies over time, plus a part for each colocated
image.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..jobs import StepSpec

#: Tail latency of a serving task without load, as a fraction of its target.
IDLE_TAIL_FRACTION = 0.2
#: Upper bound of the utilization, as queues of serving tasks have a bounded length.
MAX_UTILIZATION = 0.985


@dataclass(frozen=True, slots=True)
class ContentionModel:
    """Speed and tail latency of tasks that share a runner.

    Attributes
    ----------
    load : callable
        Given a job and a time in seconds, returns the utilization of a serving task
        by the job's own users, from 0 to 1.
    effect : callable
        Given the image of a serving task and a colocated image, returns the
        utilization that the second adds when it uses all processors of the runner.
    """

    load: Callable[[str, float], float]
    effect: Callable[[str, str], float]

    def spare_speed(
        self,
        capacity_milli: int,
        runs: Iterable[tuple[str, StepSpec, int]],
        now_s: float,
    ) -> float:
        """Return the relative speed, from 0 to 1, of tasks on spare processors.

        ``runs`` holds the job, the step and the pace in percent of all runs.
        """
        spare_milli = float(capacity_milli)
        wanted_milli = 0.0
        for job, spec, pace in runs:
            if spec.uses_spare:
                wanted_milli += spec.demand.processors_milli * pace / 100
                continue
            use = self.load(job, now_s) if spec.latency_target_ms else 1.0
            spare_milli -= spec.demand.processors_milli * use
        return min(1.0, max(0.0, spare_milli) / wanted_milli) if wanted_milli else 1.0

    def tail_latency_ms(
        self,
        job: str,
        spec: StepSpec,
        capacity_milli: int,
        runs: Iterable[tuple[str, StepSpec, int]],
        now_s: float,
    ) -> float:
        """Return a serving task's tail latency in milliseconds beside all ``runs``."""
        utilization = self.load(job, now_s)
        for _, other, pace in runs:
            if not other.uses_spare:
                continue
            share = other.demand.processors_milli * pace / 100 / capacity_milli
            utilization += self.effect(spec.image, other.image) * share
        utilization = min(MAX_UTILIZATION, utilization)
        return spec.latency_target_ms * IDLE_TAIL_FRACTION / (1 - utilization)


def sinusoidal_load(
    mean: float, swing: float, period_s: float
) -> Callable[[str, float], float]:
    """Return a load that varies like a sine, with a phase of its own for each job.

    ``mean`` is a utilization, ``swing`` the amplitude as a fraction of the mean.
    """

    def load(job: str, now_s: float) -> float:
        phase = sum(job.encode()) * 0.7
        return mean * (1 + swing * math.sin(2 * math.pi * now_s / period_s + phase))

    return load
