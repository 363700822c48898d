"""Announcements of operators and runners, read from tables that are followed."""

from ._entries import (
    Configuration,
    MaintenanceWave,
    PlacementAdviceTimes,
    Queue,
    RunnerEntry,
    Service,
)
from ._follower import TableFollower
from ._view import (
    UNLISTED_GRACE_S,
    OperatorView,
    RowDecoder,
    RunnerView,
    UnreadableRow,
)

__all__ = [
    "UNLISTED_GRACE_S",
    "Configuration",
    "MaintenanceWave",
    "OperatorView",
    "PlacementAdviceTimes",
    "Queue",
    "RowDecoder",
    "RunnerEntry",
    "RunnerView",
    "Service",
    "TableFollower",
    "UnreadableRow",
]
