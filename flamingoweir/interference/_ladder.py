"""What is done to a neighbour that hurts: throttle, move, or nothing.

The order follows PARTIES (ASPLOS 2019) and Heracles (ISCA 2015): the mildest step
first, then a wait for its effect to be measured.
"""

import enum
from typing import Protocol

from ..upstreams import CommandKind

THROTTLE_STEPS_PERCENT = (100, 50, 25)


class Step(enum.Enum):
    """One thing done to one batch task."""

    NONE = "none"
    THROTTLE = "throttle"
    EVICT = "evict"


class StepPolicy(Protocol):
    """How far to go against a neighbour."""

    def next_step(self, throttle_percent: int) -> Step:
        """Return the next step against a task that keeps ``throttle_percent``."""
        ...


class Ladder:
    """Throttles in steps, then evicts."""

    def next_step(self, throttle_percent: int) -> Step:
        """See `StepPolicy.next_step`."""
        if throttle_percent > THROTTLE_STEPS_PERCENT[-1]:
            return Step.THROTTLE
        return Step.EVICT


class EvictOnly:
    """Evicts at once."""

    def next_step(self, throttle_percent: int) -> Step:
        """See `StepPolicy.next_step`."""
        return Step.EVICT


class NoControl:
    """Leaves neighbours alone."""

    def next_step(self, throttle_percent: int) -> Step:
        """See `StepPolicy.next_step`."""
        return Step.NONE


INTERFERENCE_POLICY_BY_NAME: dict[str, StepPolicy] = {
    "ladder": Ladder(),
    "evict": EvictOnly(),
    "off": NoControl(),
}


def lower_throttle(percent: int) -> int:
    """Return the next stronger throttle."""
    return next(step for step in THROTTLE_STEPS_PERCENT if step < percent)


def higher_throttle(percent: int) -> int:
    """Return the next weaker throttle."""
    weaker = [step for step in THROTTLE_STEPS_PERCENT if step > percent]
    return min(weaker, default=100)


def command_of(step: Step) -> CommandKind:
    """Return the command that carries out a step."""
    if step is Step.THROTTLE:
        return CommandKind.THROTTLE
    return CommandKind.CHECKPOINT
