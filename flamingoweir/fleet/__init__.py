"""Runners as the owner of their shard sees them."""

from ._runner import LEASE_S, START_DUE_S, Place, Runner

__all__ = ["LEASE_S", "START_DUE_S", "Place", "Runner"]
