"""Placement of gangs: all members get a runner, or none does.

A gang that is placed in part would hold resources while it waits for the last member.
"""

from collections.abc import Sequence

from ..fleet import Runner
from ..jobs import StepRun
from ..resources import Resources


def place_gang(step: StepRun, candidates: Sequence[Runner]) -> list[Runner] | None:
    """Return a runner for each member of a gang, or None if not all members fit.

    A gang that slows down across racks is placed on one rack. If no rack has enough
    free resources now, the gang waits as long as some rack could hold it when empty;
    otherwise it is spread over racks.
    """
    if not step.spec.same_rack:
        return _assign_members(step, candidates)
    fits_when_empty = False
    runners_by_rack: dict[str, list[Runner]] = {}
    for runner in candidates:
        runners_by_rack.setdefault(runner.entry.rack, []).append(runner)
    for rack in sorted(runners_by_rack):
        placed = _assign_members(step, runners_by_rack[rack])
        if placed is not None:
            return placed
        fits_when_empty = fits_when_empty or _fits_when_empty(
            step, runners_by_rack[rack]
        )
    return None if fits_when_empty else _assign_members(step, candidates)


def _assign_members(step: StepRun, candidates: Sequence[Runner]) -> list[Runner] | None:
    """Assign members to runners: data rack first, then most free processors."""
    spec = step.spec
    placed: list[Runner] = []
    on_data_rack = [r for r in candidates if spec.data_rack in r.entry.labels]
    off_data_rack = [r for r in candidates if spec.data_rack not in r.entry.labels]
    for group in (on_data_rack, off_data_rack):
        for runner in sorted(group, key=lambda r: -r.free_resources.processors_milli):
            count = _count_fitting(spec.reserved, runner.free_resources)
            if spec.max_per_runner:
                count = min(count, spec.max_per_runner)
            placed.extend([runner] * min(count, spec.count - len(placed)))
            if len(placed) == spec.count:
                return placed
    return None


def _fits_when_empty(step: StepRun, runners: Sequence[Runner]) -> bool:
    """Return whether empty runners could hold the whole gang."""
    total = 0
    for runner in runners:
        count = _count_fitting(step.spec.reserved, runner.entry.capacity)
        if step.spec.max_per_runner:
            count = min(count, step.spec.max_per_runner)
        total += count
    return total >= step.spec.count


def _count_fitting(demand: Resources, available: Resources) -> int:
    """Return how many times a demand fits into an amount of resources.

    Where a runner holds more of any resource than it has, nothing fits.
    """
    if not demand.fits_in(available):
        return 0
    counts = [10_000]
    if demand.processors_milli:
        counts.append(available.processors_milli // demand.processors_milli)
    if demand.memory_mb:
        counts.append(available.memory_mb // demand.memory_mb)
    if demand.accelerators:
        counts.append(available.accelerators // demand.accelerators)
    return min(counts)
