"""Placement of gangs: all members get a runner, or none does.

A gang that is placed in part would hold resources while it waits for the last member.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from types import MappingProxyType

from ..fleet import Runner
from ..jobs import StepRun
from ..resources import Resources


def place_gang(
    step: StepRun,
    candidates: Sequence[Runner],
    withheld_by_runner: Mapping[str, Resources] | None = None,
    bound_runners: Mapping[int, str] = MappingProxyType({}),
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
    bound_runners : mapping of int to str, optional
        Id of the only runner that may get a member, by its index; left out: none.
    """
    withheld_by_runner = withheld_by_runner or {}
    if bound_runners:
        return _assign_bound(step, candidates, withheld_by_runner, bound_runners)
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


def _assign_bound(
    step: StepRun,
    candidates: Sequence[Runner],
    withheld_by_runner: Mapping[str, Resources],
    bound_runners: Mapping[int, str],
) -> list[Runner] | None:
    """Assign members of which some may run on one runner only, for some seconds.

    On several racks such a gang is slowed down. It doesn't wait for one rack, which may
    not have the runners that its members are bound to.
    """
    members = _assign_members(step, candidates, withheld_by_runner)
    if members is None:
        return None
    runner_by_id = {runner.id: runner for runner in candidates}
    count_by_runner = Counter(bound_runners.values())
    placed: dict[int, Runner] = {}
    for index, runner_id in bound_runners.items():
        runner = runner_by_id.get(runner_id)
        if runner is None:
            return None
        free = runner.free_resources
        if runner.id in withheld_by_runner:
            free = free.leaving(withheld_by_runner[runner.id])
        count = _count_fitting(step.spec.reserved, free)
        if step.spec.max_per_runner:
            count = min(count, step.spec.max_per_runner)
        if count < count_by_runner[runner_id]:
            return None
        placed[index] = runner
    # Those that were chosen where bound members go make way for these.
    others = list(members)
    for runner in placed.values():
        others.remove(runner if runner in others else others[-1])
    for index in range(step.spec.count):
        if index not in placed:
            placed[index] = others.pop(0)
    return [placed[index] for index in range(step.spec.count)]


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
