"""Policies that choose the runner of a request."""

import random
from collections.abc import Sequence
from typing import Protocol

from ._runner import Runner


class RunnerChoice(Protocol):
    """Policy that chooses one of the runners with a free slot."""

    def choose(self, runners: Sequence[Runner]) -> Runner:
        """Return one of ``runners``, which must not be empty."""
        ...


class TwoChoices:
    """Chooses the less loaded of two random runners.

    See Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001.
    Of two runners with equal load, it chooses the one with the lower latency, as
    Prequal does (NSDI 2024).

    Parameters
    ----------
    generator : random.Random
        Source of the random choices.
    """

    def __init__(self, generator: random.Random):
        self._random = generator

    def choose(self, runners: Sequence[Runner]) -> Runner:
        """See `RunnerChoice.choose`."""
        if len(runners) == 1:
            return runners[0]
        first, second = self._random.sample(runners, 2)
        if (second.expected_load(), second.latency_s) < (
            first.expected_load(),
            first.latency_s,
        ):
            return second
        return first


class Random:
    """Chooses a random runner.

    Parameters
    ----------
    generator : random.Random
        Source of the random choices.
    """

    def __init__(self, generator: random.Random):
        self._random = generator

    def choose(self, runners: Sequence[Runner]) -> Runner:
        """See `RunnerChoice.choose`."""
        return self._random.choice(runners)


class RoundRobin:
    """Chooses the runners one after the other.

    Parameters
    ----------
    generator : random.Random
        Source of the start position.
    """

    def __init__(self, generator: random.Random):
        self._position = generator.randrange(1_000_000)

    def choose(self, runners: Sequence[Runner]) -> Runner:
        """See `RunnerChoice.choose`."""
        self._position += 1
        return runners[self._position % len(runners)]


CHOICE_BY_NAME = {
    "two_choices": TwoChoices,
    "random": Random,
    "round_robin": RoundRobin,
}
