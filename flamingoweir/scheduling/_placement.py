"""Which worker a task goes to."""

from collections.abc import Sequence
from typing import Protocol

from ..resources import Resources
from ._job import JobSpec


class Candidate(Protocol):
    """A worker as placement sees it."""

    @property
    def capacity(self) -> Resources:
        """What the worker has."""
        ...

    @property
    def free_resources(self) -> Resources:
        """What is not promised to any task."""
        ...


class PlacementPolicy(Protocol):
    """A policy that orders the workers that have room for a task."""

    def score(self, spec: JobSpec, candidate: Candidate) -> float:
        """Return how good a worker is for a task; the lowest wins."""
        ...


class FirstFit:
    """Takes the first worker that has room."""

    def score(self, spec: JobSpec, candidate: Candidate) -> float:
        """See `PlacementPolicy.score`."""
        return 0.0


class BestFit:
    """Takes the worker that has the least processors left afterwards."""

    def score(self, spec: JobSpec, candidate: Candidate) -> float:
        """See `PlacementPolicy.score`."""
        return candidate.free_resources.processors_milli - spec.needs.processors_milli


class DominantFit:
    """Packs by the dominant resource and keeps accelerators for those in need.

    The score is the spread between the fractions left of each resource, so that
    no resource is stranded (Grandl et al., Tetris, SIGCOMM 2014, align demand
    with what is left), plus a charge for accelerators left idle under a task that
    needs none.
    """

    IDLE_ACCELERATOR_PENALTY = 4.0

    def score(self, spec: JobSpec, candidate: Candidate) -> float:
        """See `PlacementPolicy.score`."""
        capacity = candidate.capacity
        left = candidate.free_resources - spec.needs
        processors = left.processors_milli / max(1, capacity.processors_milli)
        memory = left.memory_mb / max(1, capacity.memory_mb)
        score = max(processors, memory) + abs(processors - memory)
        if not spec.needs.accelerators and left.accelerators:
            score += self.IDLE_ACCELERATOR_PENALTY
        return score


PLACEMENT_POLICY_BY_NAME: dict[str, PlacementPolicy] = {
    "first_fit": FirstFit(),
    "best_fit": BestFit(),
    "dominant": DominantFit(),
}


def fits_any_worker(needs: Resources, capacities: Sequence[Resources]) -> bool:
    """Return whether any of the workers could ever hold a task."""
    return any(needs.fits_in(capacity) for capacity in capacities)
