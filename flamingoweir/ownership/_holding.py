"""What an owner publishes in the row of its shard."""

from dataclasses import dataclass, field

import orjson

from ..storage import VersionedRow


@dataclass(frozen=True, slots=True)
class Backlog:
    """How much work of a service waits.

    Attributes
    ----------
    waiting_by_queue : dict of str to int
        Jobs of which no task has started.
    delay_s_by_queue : dict of str to float
        Seconds that a job accepted now is expected to wait for its first task.
    """

    waiting_by_queue: dict[str, int] = field(default_factory=dict)
    delay_s_by_queue: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """One write of an owner's row.

    Attributes
    ----------
    holder : str
        Name of the instance.
    process : str
        Its process; differs after every restart.
    number : int
        Rises with each write of this process, so that a write whose answer was
        lost is recognised.
    fence : int
        Fencing token: version of the write that took the shard; 0 in that write.
    released : bool
        Whether the owner has given the shard up.
    backlog : Backlog or None
        The work that waits; None until the owner has read the shard.
    """

    holder: str
    process: str
    number: int
    fence: int = 0
    released: bool = False
    backlog: Backlog | None = None


def encode_owner_record(holding: OwnerRecord) -> bytes:
    """Write an owner's row."""
    return orjson.dumps(holding)


def decode_owner_record(row: VersionedRow) -> OwnerRecord | None:
    """Read an owner's row; None if it can't be read."""
    if row.value is None:
        return None
    try:
        fields = orjson.loads(row.value)
        backlog = fields["backlog"]
        fields["backlog"] = None if backlog is None else Backlog(**backlog)
        return OwnerRecord(**fields)
    except (ValueError, TypeError, KeyError):
        return None
