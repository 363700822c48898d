"""Policies that select an action against batch that slows a service.

The order of actions follows PARTIES (ASPLOS 2019) and Heracles (ISCA 2015): take the
mildest action first, then wait until its effect has been measured.
"""

import enum
from typing import Protocol

from ..upstreams import CommandKind

#: Percentages of the declared processors that a task keeps at the throttle levels, in
#: falling order.
THROTTLE_LEVELS_PERCENT = (100, 50, 25)


class Action(enum.Enum):
    """An action against a batch task."""

    NONE = "none"
    THROTTLE = "throttle"
    EVICT = "evict"


class InterferencePolicy(Protocol):
    """Selects the next action against a batch task that slows a service."""

    def next_action(self, throttle_percent: int) -> Action:
        """Return the next action against a batch task.

        Parameters
        ----------
        throttle_percent : int
            Percentage of the declared processors that the task keeps now.
        """
        ...


class ThrottleThenEvict:
    """Throttles level by level down to the lowest level, then evicts."""

    def next_action(self, throttle_percent: int) -> Action:
        """See `InterferencePolicy.next_action`."""
        if throttle_percent > THROTTLE_LEVELS_PERCENT[-1]:
            return Action.THROTTLE
        return Action.EVICT


class EvictOnly:
    """Evicts without throttling first."""

    def next_action(self, throttle_percent: int) -> Action:
        """See `InterferencePolicy.next_action`."""
        return Action.EVICT


class NoControl:
    """Never throttles or evicts."""

    def next_action(self, throttle_percent: int) -> Action:
        """See `InterferencePolicy.next_action`."""
        return Action.NONE


INTERFERENCE_POLICY_BY_NAME: dict[str, InterferencePolicy] = {
    "ladder": ThrottleThenEvict(),
    "evict": EvictOnly(),
    "off": NoControl(),
}


def next_lower_percent(percent: int) -> int:
    """Return the next lower throttle level; raise StopIteration at the lowest."""
    return next(level for level in THROTTLE_LEVELS_PERCENT if level < percent)


def next_higher_percent(percent: int) -> int:
    """Return the next higher throttle level, at most 100."""
    weaker = [level for level in THROTTLE_LEVELS_PERCENT if level > percent]
    return min(weaker, default=100)


def command_of(action: Action) -> CommandKind:
    """Return the worker command that carries out an action."""
    if action is Action.THROTTLE:
        return CommandKind.THROTTLE
    return CommandKind.CHECKPOINT
