"""Decisions only: order, placement, trust; no input or output."""

from ._gangs import place_gang
from ._order import objective_s, rank
from ._placement import Placement, idle_s, tasks_on
from ._sharing import MAX_CALM_WAIT_S, PaceChange, Sharing
from ._stragglers import find_stalled
from ._trust import RunnerTrust

__all__ = [
    "MAX_CALM_WAIT_S",
    "PaceChange",
    "Placement",
    "RunnerTrust",
    "Sharing",
    "find_stalled",
    "idle_s",
    "objective_s",
    "place_gang",
    "rank",
    "tasks_on",
]
