"""A scheduler for colocated latency-critical and batch work."""

__version__ = "0.1.0"
