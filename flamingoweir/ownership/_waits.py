"""Waits that owners count over changes of the owner, as the owner row holds them."""

import math
from dataclasses import dataclass, field

import orjson


@dataclass(frozen=True, slots=True)
class StepWait:
    """How long a step with open tasks has waited for a runner.

    Attributes
    ----------
    ready_s : float
        Seconds since the step was ready, as `StepRun.ready_since_s` counts them.
    unplaced_s : float
        Seconds for which an open task has found no runner.
    """

    ready_s: float
    unplaced_s: float

    @property
    def is_valid(self) -> bool:
        """Whether all times are finite and not negative."""
        return 0 <= self.ready_s < math.inf and 0 <= self.unplaced_s < math.inf


@dataclass(frozen=True, slots=True)
class RunWait:
    """How long a run has made no progress.

    Attributes
    ----------
    progress_percent : float
        Its progress in percent.
    still_s : float
        Seconds without further progress.
    slowest_percent_s : float
        Longest time in seconds that a percent of progress has taken.
    earlier_stalls : int
        Number of earlier runs of the task that made no progress.
    """

    progress_percent: float
    still_s: float
    slowest_percent_s: float
    earlier_stalls: int

    @property
    def is_valid(self) -> bool:
        """Whether all values are finite and not negative."""
        values = (self.progress_percent, self.still_s, self.slowest_percent_s)
        return all(0 <= v < math.inf for v in values) and self.earlier_stalls >= 0


@dataclass(frozen=True, slots=True)
class Waits:
    """The waits that an owner passes on. Each counts the time that owners have seen.

    Attributes
    ----------
    by_step : dict of str to StepWait
        Waits of steps, by ``JOB.OCCURRENCE.STEP``.
    by_run : dict of str to RunWait
        Times without progress of runs, by ``TASK#RUN``.
    """

    by_step: dict[str, StepWait] = field(default_factory=dict)
    by_run: dict[str, RunWait] = field(default_factory=dict)

    def __bool__(self) -> bool:
        return bool(self.by_step or self.by_run)

    @property
    def is_valid(self) -> bool:
        """Whether no wait has an impossible value."""
        waits = (*self.by_step.values(), *self.by_run.values())
        return all(wait.is_valid for wait in waits)


def encoded_bytes(name: str, wait: StepWait | RunWait) -> int:
    """Return the bytes that a wait adds to the owner row."""
    return len(orjson.dumps({name: wait}))
