"""Where the members of a gang are started: all of them, or none.

Answers gangs that would otherwise hold room while they wait for the last member.
"""

from collections.abc import Sequence

from ..fleet import Runner
from ..jobs import StepRun
from ..resources import Resources


def place_gang(step: StepRun, candidates: Sequence[Runner]) -> list[Runner] | None:
    """Return a runner for each member of a gang, or None if not all find room.

    A gang that slows down across racks is put on one rack if one has the room, and
    waits for one if one could ever have it.
    """
    if not step.spec.same_rack:
        return _assign_members(step, candidates)
    fits_when_empty = False
    by_rack: dict[str, list[Runner]] = {}
    for runner in candidates:
        by_rack.setdefault(runner.entry.rack, []).append(runner)
    for rack in sorted(by_rack):
        placed = _assign_members(step, by_rack[rack])
        if placed is not None:
            return placed
        fits_when_empty = fits_when_empty or _fits_when_empty(step, by_rack[rack])
    return None if fits_when_empty else _assign_members(step, candidates)


def _assign_members(step: StepRun, candidates: Sequence[Runner]) -> list[Runner] | None:
    """Give members to the emptiest runners first."""
    spec = step.spec
    placed: list[Runner] = []
    on_data_rack = [r for r in candidates if spec.data_rack in r.entry.labels]
    off_data_rack = [r for r in candidates if spec.data_rack not in r.entry.labels]
    for group in (on_data_rack, off_data_rack):
        for runner in sorted(group, key=lambda r: -r.free_resources.processors_milli):
            room = _count_fitting(spec.reserved, runner.free_resources)
            if spec.max_per_runner:
                room = min(room, spec.max_per_runner)
            placed.extend([runner] * min(room, spec.count - len(placed)))
            if len(placed) == spec.count:
                return placed
    return None


def _fits_when_empty(step: StepRun, runners: Sequence[Runner]) -> bool:
    """Return whether the runners could hold the gang if they were empty."""
    total = 0
    for runner in runners:
        room = _count_fitting(step.spec.reserved, runner.entry.capacity)
        if step.spec.max_per_runner:
            room = min(room, step.spec.max_per_runner)
        total += room
    return total >= step.spec.count


def _count_fitting(demand: Resources, room: Resources) -> int:
    """Return how many equal demands fit into a room."""
    counts = [10_000]
    if demand.processors_milli:
        counts.append(room.processors_milli // demand.processors_milli)
    if demand.memory_mb:
        counts.append(room.memory_mb // demand.memory_mb)
    if demand.accelerators:
        counts.append(room.accelerators // demand.accelerators)
    return max(0, min(counts))
