"""Changes of the paces of tasks on spare processors."""

from dataclasses import dataclass

from ..fleet import Allocation
from ..jobs import Attempt

#: Percentage points by which a new pace must differ from the requested one; a pause and
#: full pace always apply.
PACE_STEP_PERCENT = 10


@dataclass(frozen=True, slots=True)
class PaceChange:
    """New pace of an attempt.

    Attributes
    ----------
    attempt : Attempt
        The attempt.
    pace_percent : int
        Share of full speed, from 0 to 100.
    headroom : float
        Lowest measured headroom on the runner; infinity without serving tasks.
    """

    attempt: Attempt
    pace_percent: int
    headroom: float


def pause_all(allocations: list[Allocation], lowest: float) -> list[PaceChange]:
    """Pause all tasks: slowing down the disturbing ones did not restore headroom."""
    return lower_paces(allocations, [0] * len(allocations), lowest)


def lower_paces(
    allocations: list[Allocation], paces: list[int], lowest: float
) -> list[PaceChange]:
    """Return the changes to paces that are clearly lower than the requested ones."""
    changes = []
    for allocation, percent in zip(allocations, paces, strict=True):
        requested = allocation.attempt.requested_pace_percent
        if percent <= requested - PACE_STEP_PERCENT or (not percent and requested):
            changes.append(PaceChange(allocation.attempt, percent, lowest))
    return changes


def raise_paces(
    allocations: list[Allocation], paces: list[int], lowest: float
) -> list[PaceChange]:
    """Return the changes to paces that are clearly higher than the requested ones."""
    changes = []
    for allocation, percent in zip(allocations, paces, strict=True):
        requested = allocation.attempt.requested_pace_percent
        if percent >= requested + PACE_STEP_PERCENT or (
            percent == 100 and requested < 100
        ):
            changes.append(PaceChange(allocation.attempt, percent, lowest))
    return changes


def restore_full_pace(allocations: list[Allocation]) -> list[PaceChange]:
    """Return to full pace on a runner without serving tasks."""
    changes = []
    for allocation in allocations:
        if allocation.attempt.requested_pace_percent < 100:
            changes.append(PaceChange(allocation.attempt, 100, float("inf")))
    return changes
