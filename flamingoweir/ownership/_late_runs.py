"""Hashes of runs, by which an owner row tells of hundreds of them."""

import base64
from collections.abc import Iterable

from ..hashing import stable_hash

#: Length of the hash of a run in the owner row.
HASH_LENGTH = 4


def hash_run(run: str) -> str:
    """Return a hash of a run, ``TASK#RUN``; two runs in 16 million share one."""
    digest = stable_hash(run).to_bytes(8, "big")
    return base64.b64encode(digest[:3]).decode()


def encode_run_hashes(hashes: Iterable[str]) -> str:
    """Encode hashes of runs as a text."""
    return "".join(hashes)


def decode_run_hashes(text: str) -> frozenset[str]:
    """Decode hashes of runs."""
    positions = range(0, len(text), HASH_LENGTH)
    return frozenset(text[p : p + HASH_LENGTH] for p in positions)
