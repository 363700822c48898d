"""Scheduling policies: order, placement, colocation, health; no input or output."""

from ._colocation import MAX_PLACEMENT_WAIT_S, ColocationPolicy
from ._crashes import (
    RETURN_WINDOW_S,
    SURVIVAL_S,
    SUSPECT_WAIT_S,
    Crash,
    CrashDetector,
    LostRunner,
    Suspect,
)
from ._effects import Effect
from ._eviction import EVICT_AFTER_S, choose_evictions
from ._gangs import place_gang
from ._headroom import BatchHeadroom, ServiceLoad
from ._health import RunnerHealth
from ._key_validity import KeyDecision, decide_key
from ._order import objective_s, sort_key
from ._paces import PaceChange
from ._placement import PlacementPolicy, StepPlacement, unplaced_s
from ._store_availability import RESPONSE_LIMIT_S, StoreAvailability
from ._stragglers import find_stalled

__all__ = [
    "EVICT_AFTER_S",
    "MAX_PLACEMENT_WAIT_S",
    "RESPONSE_LIMIT_S",
    "RETURN_WINDOW_S",
    "SURVIVAL_S",
    "SUSPECT_WAIT_S",
    "BatchHeadroom",
    "ColocationPolicy",
    "Crash",
    "CrashDetector",
    "Effect",
    "KeyDecision",
    "LostRunner",
    "PaceChange",
    "PlacementPolicy",
    "RunnerHealth",
    "ServiceLoad",
    "StepPlacement",
    "StoreAvailability",
    "Suspect",
    "choose_evictions",
    "decide_key",
    "find_stalled",
    "objective_s",
    "place_gang",
    "sort_key",
    "unplaced_s",
]
