"""Policies that choose the worker for a task."""

from collections.abc import Sequence
from typing import Protocol

from ..resources import Resources
from ._job import JobSpec


class Candidate(Protocol):
    """The properties of a worker that a placement policy uses."""

    @property
    def capacity(self) -> Resources:
        """Total resources of the worker."""
        ...

    @property
    def free_resources(self) -> Resources:
        """Resources that are not assigned to any task."""
        ...


class PlacementPolicy(Protocol):
    """A policy that ranks the workers on which a task fits."""

    def score(self, spec: JobSpec, candidate: Candidate) -> float:
        """Return the score of a worker for a task; the lowest score is chosen."""
        ...


class FirstFit:
    """Chooses the first worker on which the task fits."""

    def score(self, spec: JobSpec, candidate: Candidate) -> float:
        """See `PlacementPolicy.score`."""
        return 0.0


class BestFit:
    """Chooses the worker with the fewest free processors after placement."""

    def score(self, spec: JobSpec, candidate: Candidate) -> float:
        """See `PlacementPolicy.score`."""
        return candidate.free_resources.processors_milli - spec.needs.processors_milli


class DominantFit:
    """Packs by the dominant resource and spares accelerators for tasks that need them.

    The score is the larger of the free fractions of processors and memory after
    placement, plus the difference between them, so that neither resource is
    stranded (Grandl et al., Tetris, SIGCOMM 2014, align demand with the free
    resources). A penalty is added if a task that needs no accelerator is placed on
    a worker with free accelerators.
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
    """Return whether a task fits on at least one worker that is otherwise empty."""
    return any(needs.fits_in(capacity) for capacity in capacities)
