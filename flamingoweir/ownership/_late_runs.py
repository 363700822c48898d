"""What an owner row tells of runs that late start orders may start."""

import base64
from collections.abc import Iterable
from dataclasses import dataclass

from ..hashing import stable_hash

#: Length of the hash of a run in the owner row.
HASH_LENGTH = 4


@dataclass(frozen=True, slots=True)
class BoundTask:
    """A task of which a start order may still arrive at a runner.

    Attributes
    ----------
    task_hash : str
        Hash of the task; "": any task that has run.
    runner : str
        Id of the runner; "": not known.
    until_s : float
        When no order can arrive any more, in seconds.
    ran_s : float
        When the task was last known to run, in seconds.
    """

    task_hash: str
    runner: str
    until_s: float
    ran_s: float


def hash_run(run: str) -> str:
    """Return a hash of a run, ``TASK#RUN``, or of a task.

    Two of 16 million share one.
    """
    digest = stable_hash(run).to_bytes(8, "big")
    return base64.b64encode(digest[:3]).decode()


def encode_run_hashes(hashes: Iterable[str]) -> str:
    """Encode hashes of runs as a text."""
    return "".join(hashes)


def decode_run_hashes(text: str) -> frozenset[str]:
    """Decode hashes of runs."""
    positions = range(0, len(text), HASH_LENGTH)
    return frozenset(text[p : p + HASH_LENGTH] for p in positions)
