"""The record that an owner publishes in the owner row of its shard."""

import dataclasses
import math
from dataclasses import dataclass, field

import orjson
import pydantic

from ..customers import CustomerLimit
from ..storage import VersionedRow
from ._late_runs import HASH_LENGTH
from ._waits import Waits

#: Seconds after an owner's write by which its leases have lapsed, if the row does not
#: say so: owners of former builds renewed leases of 4 s (with a margin of a tenth) for
#: 8 s without the store.
UNBOUNDED_LEASES_END_IN_S = 12.4


@dataclass(frozen=True, slots=True)
class Backlog:
    """Jobs that wait to start, by queue.

    Attributes
    ----------
    waiting_by_queue : dict of str to int
        Number of jobs of which no task has started.
    delay_s_by_queue : dict of str to float
        Expected seconds until a job accepted now starts its first task.
    limit_by_customer : dict of str to CustomerLimit
        Limits on the submissions of customers whose excess waits for capacity.
    """

    waiting_by_queue: dict[str, int] = field(default_factory=dict)
    delay_s_by_queue: dict[str, float] = field(default_factory=dict)
    limit_by_customer: dict[str, CustomerLimit] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """Content of a shard's owner row, as of one write.

    Attributes
    ----------
    holder : str
        Name of the instance that owns the shard.
    process : str
        Id of the instance's process and number of the try to acquire the shard; it
        differs after every restart and in every term.
    number : int
        Number of the write within ``process``; it increases with each write. The
        owner uses it to recognise a write whose response was lost.
    fence : int
        Fencing token: version of the write that acquired the shard; 0 in that
        write.
    released : bool
        Whether the owner has released the shard.
    backlog : Backlog or None
        Jobs that wait to start; None until the owner has read the shard.
    written_s : float or None
        Time on the store's clock, in seconds, by which the write was sent; None if the
        owner doesn't know that clock.
    leases_end_in_s : float
        Seconds after the write by which all leases have lapsed that this owner or an
        earlier one has granted or will grant without another write.
    leases_end_in_s_by_runner : dict of str to float
        The same by id of a runner that leaves, is unresponsive, or has not responded to
        this owner yet, where leases mostly end earlier, or that has restarted, where
        they may end later.
    late_starts_end_in_s_by_runner : dict of str to float or None
        Seconds after the write until no start order of this owner or an earlier one can
        reach a runner any more, by runner id; 0 for others. Counts orders without a
        response and those that this write allows. None: not known.
    late_run_hashes : str or None
        Hashes of the runs that these orders start. None: any run there. A run that
        shares its hash with another one is waited for in vain.
    unanswered_starts_end_in_s_by_runner : dict of str to float
        Seconds after the write until no start order without a response can reach a
        runner any more, by runner id, whether or not its attempt has ended. An empty id
        stands for all others; without one, 0 for others.
    bound_tasks : dict of str to list of (str, float, float)
        Tasks of which a start order may arrive late, though a later attempt may have
        begun, by the id of the runner where it may. Each has a hash, the seconds after
        the write until none can arrive, and those before the write since the task was
        last known to run. An empty id stands for an unknown runner, an empty hash for
        any task that has run.
    missing_s_by_runner : dict of str to float
        Seconds for which owners that followed one another have found a runner with
        attempts missing from the list of runners, by its id.
    max_job_bytes : int or None
        Largest `JobSpec.memory_bytes` of a job that the owner can hold; None for any.
    waits : Waits
        Waits with which the next owner goes on.
    """

    holder: str
    process: str
    number: int
    fence: int = 0
    released: bool = False
    backlog: Backlog | None = None
    written_s: float | None = None
    leases_end_in_s: float = UNBOUNDED_LEASES_END_IN_S
    leases_end_in_s_by_runner: dict[str, float] = field(default_factory=dict)
    late_starts_end_in_s_by_runner: dict[str, float] | None = None
    late_run_hashes: str | None = None
    unanswered_starts_end_in_s_by_runner: dict[str, float] = field(default_factory=dict)
    bound_tasks: dict[str, list[tuple[str, float, float]]] = field(default_factory=dict)
    missing_s_by_runner: dict[str, float] = field(default_factory=dict)
    max_job_bytes: int | None = None
    waits: Waits = field(default_factory=Waits)


_RECORD = pydantic.TypeAdapter(OwnerRecord)


def encode_owner_record(record: OwnerRecord) -> bytes:
    """Encode the content of an owner row as JSON.

    Late starts, late runs and the field `max_job_bytes` are left out while they are
    None: former builds can't read the latter. Unanswered starts, bound tasks, missing
    runners, waits and the limits of customers are left out where there are none.
    """
    fields = _to_fields(record)
    if record.late_run_hashes is None:
        del fields["late_run_hashes"]
    if not record.unanswered_starts_end_in_s_by_runner:
        del fields["unanswered_starts_end_in_s_by_runner"]
    if not record.bound_tasks:
        del fields["bound_tasks"]
    if not record.missing_s_by_runner:
        del fields["missing_s_by_runner"]
    if not record.waits:
        del fields["waits"]
    if record.max_job_bytes is None:
        del fields["max_job_bytes"]
    if record.late_starts_end_in_s_by_runner is None:
        del fields["late_starts_end_in_s_by_runner"]
    if record.backlog is not None and not record.backlog.limit_by_customer:
        fields["backlog"] = _to_fields(record.backlog)
        del fields["backlog"]["limit_by_customer"]
    return orjson.dumps(fields)


def fit_owner_record(
    record: OwnerRecord, max_bytes: int
) -> tuple[bytes, tuple[str, ...]]:
    """Return an encoded record that has room in a row, and the fields left out.

    Without a field, the next owner errs to the safe side: it waits longer, or answers
    no counts until it has read the shard.

    Parameters
    ----------
    record : OwnerRecord
        The record.
    max_bytes : int
        Largest size of the row.
    """
    value = encode_owner_record(record)
    left_out = []
    for name, shorten in SHORTENED_FIELDS:
        if len(value) <= max_bytes:
            break
        record = dataclasses.replace(record, **shorten(record))
        left_out.append(name)
        value = encode_owner_record(record)
    return value, tuple(left_out)


def _shorten_leases(record: OwnerRecord) -> dict:
    """Return fields by which all leases end as late as the latest."""
    ends = record.leases_end_in_s_by_runner.values()
    end_in_s = max([record.leases_end_in_s, *ends])
    return {"leases_end_in_s": end_in_s, "leases_end_in_s_by_runner": {}}


def _shorten_unanswered(record: OwnerRecord) -> dict:
    """Return a field by which orders may arrive at any runner until the latest end."""
    ends = record.unanswered_starts_end_in_s_by_runner.values()
    return {"unanswered_starts_end_in_s_by_runner": {"": max(ends, default=0.0)}}


def _shorten_bound(record: OwnerRecord) -> dict:
    """Return a field by which any task that has run waits as long as the last one."""
    rows = [row for rows in record.bound_tasks.values() for row in rows]
    left_s = max([row[1] for row in rows], default=0.0)
    ran_ago_s = min([row[2] for row in rows], default=0.0)
    return {"bound_tasks": {"": [("", left_s, ran_ago_s)]} if rows else {}}


#: Fields that have no room in a full row, in the order in which they are left out, and
#: what stands in their place.
SHORTENED_FIELDS = (
    ("waits", lambda record: {"waits": Waits()}),
    ("late_run_hashes", lambda record: {"late_run_hashes": None}),
    ("bound_tasks", _shorten_bound),
    ("missing_s_by_runner", lambda record: {"missing_s_by_runner": {}}),
    ("unanswered_starts_end_in_s_by_runner", _shorten_unanswered),
    (
        "late_starts_end_in_s_by_runner",
        lambda record: {"late_starts_end_in_s_by_runner": None},
    ),
    ("leases_end_in_s_by_runner", _shorten_leases),
    ("backlog", lambda record: {"backlog": None}),
)


def _to_fields(record: OwnerRecord | Backlog) -> dict:
    return {f.name: getattr(record, f.name) for f in dataclasses.fields(record)}


def decode_owner_record(row: VersionedRow) -> OwnerRecord | None:
    """Decode an owner row; return None if its value is missing or malformed.

    Fields that this build doesn't know are ignored.
    """
    if row.value is None:
        return None
    try:
        record = _RECORD.validate_json(row.value, strict=True)
    except pydantic.ValidationError:
        return None
    times_s = [
        record.leases_end_in_s,
        *record.leases_end_in_s_by_runner.values(),
        *(record.late_starts_end_in_s_by_runner or {}).values(),
        *record.unanswered_starts_end_in_s_by_runner.values(),
        *record.missing_s_by_runner.values(),
    ]
    for rows in record.bound_tasks.values():
        for _, left_s, ran_ago_s in rows:
            times_s.extend((left_s, ran_ago_s))
    if record.written_s is not None:
        times_s.append(record.written_s)
    for time_s in times_s:
        if not 0 <= time_s < math.inf:
            return None
    if not record.waits.is_valid:
        return None
    if record.late_run_hashes and len(record.late_run_hashes) % HASH_LENGTH:
        return None
    limits = record.backlog.limit_by_customer.values() if record.backlog else ()
    for limit in limits:
        if not (0 <= limit.admitted <= 1 and 0 <= limit.retry_after_s < math.inf):
            return None
    return record
