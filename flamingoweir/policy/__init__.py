"""Scheduling policies: order, placement, colocation, health; no input or output."""

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
from ._deferral import WaitingJob, choose_deferred
from ._drain_rate import DrainRate, RunRatio
from ._eviction import EVICT_AFTER_S, choose_evictions
from ._gangs import place_gang
from ._headroom import BatchHeadroom, ServiceLoad
from ._health import RunnerHealth
from ._order import objective_s, sort_key
from ._placement import PlacementPolicy, StepPlacement, unplaced_s
from ._size_classes import SizeClasses
from ._stragglers import find_stalled
from ._valuation import (
    MeanWork,
    OpenWork,
    StepWork,
    find_open_work,
    job_value,
    list_steps,
    remaining_work,
    total_work,
)

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
    "DrainRate",
    "LostRunner",
    "MeanWork",
    "OpenWork",
    "PaceChange",
    "PlacementPolicy",
    "RunRatio",
    "RunnerHealth",
    "ServiceLoad",
    "SizeClasses",
    "StepPlacement",
    "StepWork",
    "Suspect",
    "WaitingJob",
    "choose_deferred",
    "choose_evictions",
    "find_open_work",
    "find_stalled",
    "job_value",
    "list_steps",
    "objective_s",
    "place_gang",
    "remaining_work",
    "sort_key",
    "total_work",
    "unplaced_s",
]
