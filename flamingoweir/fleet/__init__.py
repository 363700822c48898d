"""The shard owner's view of its runners."""

from ._runner import RUNNER_LEASE_S, START_WINDOW_S, Allocation, Runner

__all__ = ["RUNNER_LEASE_S", "START_WINDOW_S", "Allocation", "Runner"]
