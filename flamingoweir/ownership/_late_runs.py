"""What an owner row tells of runs that late start orders may start."""

import base64
from collections.abc import Iterable
from dataclasses import dataclass

from ..hashing import stable_hash

#: Length of the hash of a run in the owner row.
HASH_LENGTH = 4
#: Seconds for which a bound task is remembered once no order of it can arrive: a run
#: that one has started may live on, as calls that come up to 15 s late extend its lease
#: of at most 10.3 s.
BOUND_KEPT_S = 26.0


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


def make_bound_row(
    task_hash: str, until_s: float, ran_s: float, now_s: float
) -> tuple[str, float, float]:
    """Return what an owner row says of a bound task; see `OwnerRecord.bound_tasks`.

    Parameters
    ----------
    task_hash : str
        Hash of the task.
    until_s, ran_s, now_s : float
        As of `BoundTask`, and the current time, on the owner's clock, in seconds.
    """
    left_s, ran_ago_s = max(0.0, until_s - now_s), max(0.0, now_s - ran_s)
    return task_hash, round(left_s, 2), round(ran_ago_s, 2)


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
