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
class Waits:
    """The waits that an owner passes on. Each counts the time that owners have seen.

    Attributes
    ----------
    by_step : dict of str to StepWait
        Waits of steps, by ``JOB.OCCURRENCE.STEP``.
    """

    by_step: dict[str, StepWait] = field(default_factory=dict)

    def __bool__(self) -> bool:
        return bool(self.by_step)

    @property
    def is_valid(self) -> bool:
        """Whether no wait has an impossible value."""
        return all(wait.is_valid for wait in self.by_step.values())


def encoded_bytes(name: str, wait: StepWait) -> int:
    """Return the bytes that a wait adds to the owner row."""
    return len(orjson.dumps({name: wait}))
