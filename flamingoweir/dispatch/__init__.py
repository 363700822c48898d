"""The work of a shard's owner: place tasks, send orders and record how they end."""

from ._owner_state import OwnerState
from ._protocols import (
    EndedTask,
    Fenced,
    OrderRank,
    RunnerLink,
    RunnerReport,
    RunnerUnreachable,
    RunningTask,
    StartOrder,
    StartResult,
)
from ._term import Term

__all__ = [
    "EndedTask",
    "Fenced",
    "OrderRank",
    "OwnerState",
    "RunnerLink",
    "RunnerReport",
    "RunnerUnreachable",
    "RunningTask",
    "StartOrder",
    "StartResult",
    "Term",
]
