"""An owner's term: jobs and runners brought together, orders sent, ends taken."""

from ._owner_state import OwnerState
from ._protocols import (
    EndedTask,
    Fenced,
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
    "OwnerState",
    "RunnerLink",
    "RunnerReport",
    "RunnerUnreachable",
    "RunningTask",
    "StartOrder",
    "StartResult",
    "Term",
]
