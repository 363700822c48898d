"""Builders of entries that runners, or other writers, put into the list of runners."""

import orjson

from tests.utils.cluster import SERVICE


def encode_entry(**changes) -> bytes:
    """Return the entry of a runner at an address at which nothing listens."""
    entry = {
        "Service": SERVICE,
        "Address": "10.9.9.9:80",
        "Zone": "powys",
        "State": "ready",
        "Capacity": {"Cpu": 8000, "MemMb": 32_000, "Gpu": 0},
        "Labels": ["a", "rack-9"],
        "born": 17,
    }
    return orjson.dumps({**entry, **changes})
