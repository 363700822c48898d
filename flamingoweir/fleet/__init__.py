"""Runners as the owner of their shard sees them."""

from ._runner import RUNNER_LEASE_S, START_WINDOW_S, Allocation, Runner

__all__ = ["RUNNER_LEASE_S", "START_WINDOW_S", "Allocation", "Runner"]
