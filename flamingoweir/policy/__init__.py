"""Scheduling policies: order, placement, colocation, health; no input or output."""

from ._caps import (
    allows_gang,
    allows_task,
    find_oversized_gang,
    gang_demand,
    is_within,
)
from ._colocation import MAX_PLACEMENT_WAIT_S, ColocationPolicy, PaceChange
from ._crashes import (
    RETURN_WINDOW_S,
    SURVIVAL_S,
    SUSPECT_WAIT_S,
    Crash,
    CrashDetector,
    LostRunner,
    Suspect,
)
from ._eviction import EVICT_AFTER_S, choose_evictions
from ._gangs import place_gang
from ._headroom import BatchHeadroom, ServiceLoad
from ._health import RunnerHealth
from ._order import objective_s, sort_key
from ._placement import PlacementPolicy, StepPlacement, unplaced_s
from ._stragglers import find_stalled

__all__ = [
    "EVICT_AFTER_S",
    "MAX_PLACEMENT_WAIT_S",
    "RETURN_WINDOW_S",
    "SURVIVAL_S",
    "SUSPECT_WAIT_S",
    "BatchHeadroom",
    "ColocationPolicy",
    "Crash",
    "CrashDetector",
    "LostRunner",
    "PaceChange",
    "PlacementPolicy",
    "RunnerHealth",
    "ServiceLoad",
    "StepPlacement",
    "Suspect",
    "allows_gang",
    "allows_task",
    "choose_evictions",
    "find_oversized_gang",
    "find_stalled",
    "gang_demand",
    "is_within",
    "objective_s",
    "place_gang",
    "sort_key",
    "unplaced_s",
]
