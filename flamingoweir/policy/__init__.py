"""Scheduling policies: order, placement, colocation, health; no input or output."""

from ._bound_waits import MAX_SILENT_WAIT_S, find_bound_until_s
from ._cancellation_budget import CancellationBudget
from ._caps import (
    allows_gang,
    allows_task,
    find_oversized_gang,
    gang_demand,
    is_below_half,
    is_within,
)
from ._colocation import MAX_PLACEMENT_WAIT_S, ColocationPolicy
from ._connection_budget import (
    APPLICATION_SHARE,
    ConnectionBudget,
    ConnectionLimits,
    Phase,
    share_machine,
)
from ._crashes import (
    RETURN_WINDOW_S,
    SURVIVAL_S,
    SUSPECT_WAIT_S,
    Crash,
    CrashDetector,
    LostRunner,
    Suspect,
)
from ._customer_limits import (
    RateMeter,
    TokenBucket,
    choose_published,
    find_limit,
    retry_after_s,
)
from ._deferral import WaitingJob, choose_deferred
from ._drain_rate import DrainRate, RunRatio
from ._effects import Effect
from ._eviction import ENOUGH_RUNNERS, EVICT_AFTER_S, choose_evictions
from ._gangs import place_gang
from ._headroom import BatchHeadroom, ServiceLoad
from ._health import RunnerHealth
from ._key_validity import KeyDecision, decide_key
from ._lack_of_room import LackOfRoom
from ._order import AWAY_PRIORITY, MAX_VALUABLE_OBJECTIVES, objective_s, sort_key
from ._paces import PaceChange
from ._placement import (
    PlacementPolicy,
    StepPlacement,
    largest_beside_lasting,
    unplaced_s,
)
from ._room_index import PartialRoomIndex, RoomIndex
from ._shares import (
    ABOVE_SHARE,
    BELOW_SHARE,
    EXCESS,
    FairShares,
    weighted_share,
)
from ._size_classes import SizeClasses
from ._stop_batches import (
    MAX_RESPONSES_IN_A_TURN,
    MAX_STOPS_IN_A_WRITE,
    MAX_STOPS_UNDER_WAY,
    StopBatch,
)
from ._store_availability import RESPONSE_LIMIT_S, StoreAvailability
from ._stragglers import find_stalled, progress_expected_since_s, stall_s
from ._submission_budget import SubmissionBudget
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
    "ABOVE_SHARE",
    "APPLICATION_SHARE",
    "AWAY_PRIORITY",
    "BELOW_SHARE",
    "ENOUGH_RUNNERS",
    "EVICT_AFTER_S",
    "EXCESS",
    "MAX_PLACEMENT_WAIT_S",
    "MAX_RESPONSES_IN_A_TURN",
    "MAX_SILENT_WAIT_S",
    "MAX_STOPS_IN_A_WRITE",
    "MAX_STOPS_UNDER_WAY",
    "MAX_VALUABLE_OBJECTIVES",
    "RESPONSE_LIMIT_S",
    "RETURN_WINDOW_S",
    "SURVIVAL_S",
    "SUSPECT_WAIT_S",
    "BatchHeadroom",
    "CancellationBudget",
    "ColocationPolicy",
    "ConnectionBudget",
    "ConnectionLimits",
    "Crash",
    "CrashDetector",
    "DrainRate",
    "Effect",
    "FairShares",
    "KeyDecision",
    "LackOfRoom",
    "LostRunner",
    "MeanWork",
    "OpenWork",
    "PaceChange",
    "PartialRoomIndex",
    "Phase",
    "PlacementPolicy",
    "RateMeter",
    "RoomIndex",
    "RunRatio",
    "RunnerHealth",
    "ServiceLoad",
    "SizeClasses",
    "StepPlacement",
    "StepWork",
    "StopBatch",
    "StoreAvailability",
    "SubmissionBudget",
    "Suspect",
    "Suspect",
    "TokenBucket",
    "WaitingJob",
    "allows_gang",
    "allows_task",
    "choose_deferred",
    "choose_evictions",
    "choose_evictions",
    "choose_published",
    "decide_key",
    "find_bound_until_s",
    "find_limit",
    "find_open_work",
    "find_oversized_gang",
    "find_stalled",
    "gang_demand",
    "is_below_half",
    "is_within",
    "job_value",
    "largest_beside_lasting",
    "list_steps",
    "objective_s",
    "objective_s",
    "place_gang",
    "place_gang",
    "progress_expected_since_s",
    "remaining_work",
    "retry_after_s",
    "share_machine",
    "sort_key",
    "stall_s",
    "total_work",
    "unplaced_s",
    "weighted_share",
]
