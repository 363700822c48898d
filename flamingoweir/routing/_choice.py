"""Which runner a request goes to."""

import random
from collections.abc import Sequence
from typing import Protocol

from ._runner import Runner


class RunnerChoice(Protocol):
    """A policy that picks a runner among those that have room."""

    def choose(self, runners: Sequence[Runner]) -> Runner:
        """Return one of at least one runner."""
        ...


class TwoChoices:
    """The less loaded of two random runners.

    Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001.
    Ties go to the lower latency, as in Prequal (NSDI 2024).
    """

    def __init__(self, generator: random.Random):
        self._random = generator

    def choose(self, runners: Sequence[Runner]) -> Runner:
        """See `RunnerChoice.choose`."""
        if len(runners) == 1:
            return runners[0]
        one, other = self._random.sample(runners, 2)
        if (other.expected_load(), other.latency_s) < (
            one.expected_load(),
            one.latency_s,
        ):
            return other
        return one


class Random:
    """Any runner."""

    def __init__(self, generator: random.Random):
        self._random = generator

    def choose(self, runners: Sequence[Runner]) -> Runner:
        """See `RunnerChoice.choose`."""
        return self._random.choice(runners)


class RoundRobin:
    """Each runner in turn."""

    def __init__(self, generator: random.Random):
        self._next = generator.randrange(1_000_000)

    def choose(self, runners: Sequence[Runner]) -> Runner:
        """See `RunnerChoice.choose`."""
        self._next += 1
        return runners[self._next % len(runners)]


CHOICE_BY_NAME = {
    "two_choices": TwoChoices,
    "random": Random,
    "round_robin": RoundRobin,
}
