"""The shard owner's view of its runners."""

from ._runner import (
    DRAINING_LEASE_S,
    RUNNER_LEASE_S,
    START_WINDOW_S,
    Allocation,
    Runner,
)

__all__ = [
    "DRAINING_LEASE_S",
    "RUNNER_LEASE_S",
    "START_WINDOW_S",
    "Allocation",
    "Runner",
]
