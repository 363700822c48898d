"""What is done to a neighbour that hurts: throttle, move, or nothing.

The order follows PARTIES (ASPLOS 2019) and Heracles (ISCA 2015): the mildest step
first, then a wait for its effect to be measured.
"""

import enum
from typing import Protocol

from ..upstreams import CommandKind

THROTTLE_LEVELS_PERCENT = (100, 50, 25)


class Action(enum.Enum):
    """One thing done to one batch task."""

    NONE = "none"
    THROTTLE = "throttle"
    EVICT = "evict"


class InterferencePolicy(Protocol):
    """How far to go against a neighbour."""

    def next_action(self, throttle_percent: int) -> Action:
        """Return the next step against a task that keeps ``throttle_percent``."""
        ...


class ThrottleThenEvict:
    """Throttles in steps, then evicts."""

    def next_action(self, throttle_percent: int) -> Action:
        """See `InterferencePolicy.next_action`."""
        if throttle_percent > THROTTLE_LEVELS_PERCENT[-1]:
            return Action.THROTTLE
        return Action.EVICT


class EvictOnly:
    """Evicts at once."""

    def next_action(self, throttle_percent: int) -> Action:
        """See `InterferencePolicy.next_action`."""
        return Action.EVICT


class NoControl:
    """Leaves neighbours alone."""

    def next_action(self, throttle_percent: int) -> Action:
        """See `InterferencePolicy.next_action`."""
        return Action.NONE


INTERFERENCE_POLICY_BY_NAME: dict[str, InterferencePolicy] = {
    "ladder": ThrottleThenEvict(),
    "evict": EvictOnly(),
    "off": NoControl(),
}


def next_lower_percent(percent: int) -> int:
    """Return the next stronger throttle."""
    return next(level for level in THROTTLE_LEVELS_PERCENT if level < percent)


def next_higher_percent(percent: int) -> int:
    """Return the next weaker throttle."""
    weaker = [level for level in THROTTLE_LEVELS_PERCENT if level > percent]
    return min(weaker, default=100)


def command_of(action: Action) -> CommandKind:
    """Return the command that carries out a step."""
    if action is Action.THROTTLE:
        return CommandKind.THROTTLE
    return CommandKind.CHECKPOINT
