"""Decisions only: order, placement, trust; no input or output."""

from ._gangs import place_gang
from ._order import objective_s, rank
from ._placement import Placement, tasks_on
from ._sharing import PaceChange, Sharing
from ._stragglers import find_stalled
from ._trust import RunnerTrust

__all__ = [
    "PaceChange",
    "Placement",
    "RunnerTrust",
    "Sharing",
    "find_stalled",
    "objective_s",
    "place_gang",
    "rank",
    "tasks_on",
]
