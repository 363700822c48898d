"""Placement of gangs: all members get a runner, or none does.

A gang that is placed in part would hold resources while it waits for the last member.
"""

from collections.abc import Mapping, Sequence

from ..fleet import Runner
from ..jobs import StepRun
from ..resources import Resources


def place_gang(
    step: StepRun,
    candidates: Sequence[Runner],
    withheld_by_runner: Mapping[str, Resources] | None = None,
) -> list[Runner] | None:
    """Return a runner for each member of a gang, or None if not all members fit.

    A gang that slows down across racks is placed on one rack. If no rack has enough
    free resources now, the gang waits as long as some rack could hold it when empty;
    otherwise it is spread over racks.

    Parameters
    ----------
    step : StepRun
        Step of the gang.
    candidates : sequence of Runner
        Runners that suit the step, without regard to free resources.
    withheld_by_runner : mapping of str to Resources, optional
        Resources that the members must leave free, by runner id; left out: none.
    """
    withheld_by_runner = withheld_by_runner or {}
    if not step.spec.same_rack:
        return _assign_members(step, candidates, withheld_by_runner)
    fits_when_empty = False
    runners_by_rack: dict[str, list[Runner]] = {}
    for runner in candidates:
        runners_by_rack.setdefault(runner.entry.rack, []).append(runner)
    for rack in sorted(runners_by_rack):
        placed = _assign_members(step, runners_by_rack[rack], withheld_by_runner)
        if placed is not None:
            return placed
        fits_when_empty = fits_when_empty or _fits_when_empty(
            step, runners_by_rack[rack]
        )
    if fits_when_empty:
        return None
    return _assign_members(step, candidates, withheld_by_runner)


def _assign_members(
    step: StepRun,
    candidates: Sequence[Runner],
    withheld_by_runner: Mapping[str, Resources],
) -> list[Runner] | None:
    """Assign members to runners: data rack first, then most free processors."""
    spec = step.spec
    placed: list[Runner] = []
    on_data_rack = [r for r in candidates if spec.data_rack in r.entry.labels]
    off_data_rack = [r for r in candidates if spec.data_rack not in r.entry.labels]
    for group in (on_data_rack, off_data_rack):
        for runner in sorted(group, key=lambda r: -r.free_resources.processors_milli):
            free = runner.free_resources
            if runner.id in withheld_by_runner:
                free = free.leaving(withheld_by_runner[runner.id])
            count = _count_fitting(spec.reserved, free)
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
