"""Measurements; each module is run as ``python -m benchmarks.NAME``."""
