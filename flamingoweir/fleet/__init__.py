"""The shard owner's view of its runners."""

from ._allocation import Allocation
from ._call_fence import MAX_LATENESS_S
from ._runner import (
    LEAVING_LEASE_S,
    LOST_AFTER_S,
    RUNNER_LEASE_S,
    START_WINDOW_S,
    Runner,
)

__all__ = [
    "LEAVING_LEASE_S",
    "LOST_AFTER_S",
    "MAX_LATENESS_S",
    "RUNNER_LEASE_S",
    "START_WINDOW_S",
    "Allocation",
    "Runner",
]
