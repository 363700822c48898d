"""Decisions only: order, placement, trust; no input or output."""

from ._gangs import place_gang
from ._order import objective_s, sort_key
from ._placement import PlacementPolicy, tasks_on, unplaced_s
from ._sharing import MAX_PLACEMENT_WAIT_S, ColocationPolicy, PaceChange
from ._stragglers import find_stalled
from ._trust import RunnerHealth

__all__ = [
    "MAX_PLACEMENT_WAIT_S",
    "ColocationPolicy",
    "PaceChange",
    "PlacementPolicy",
    "RunnerHealth",
    "find_stalled",
    "objective_s",
    "place_gang",
    "sort_key",
    "tasks_on",
    "unplaced_s",
]
