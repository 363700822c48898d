"""What operators and runners announce, followed row by row."""

from ._entries import (
    AdviceTimes,
    Configuration,
    Queue,
    RunnerEntry,
    Service,
    Wave,
)
from ._follower import TableFollower
from ._view import AnnouncementReader, OperatorView, RunnerView, Unreadable

__all__ = [
    "AdviceTimes",
    "AnnouncementReader",
    "Configuration",
    "OperatorView",
    "Queue",
    "RunnerEntry",
    "RunnerView",
    "Service",
    "TableFollower",
    "Unreadable",
    "Wave",
]
