"""Operators' requests about jobs: submit, cancel, show, list and explain."""

from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import anyio
import orjson

from ..errors import (
    ErrorCode,
    FlamingoweirError,
    outcome_unknown_error,
    store_unavailable_error,
)
from ..membership import Directory
from ..storage import (
    ABSENT_VERSION,
    InstanceKind,
    Precondition,
    PreconditionFailed,
    Row,
    Table,
    TableUnavailable,
    TransactionUnknown,
    Write,
)
from ._events import (
    JobCancelled,
    TasksAdded,
    decode_spec,
    encode_events,
    encode_spec,
)
from ._fleet import FleetView
from ._job import ENDED_STATES, JobSpec
from ._keys import cancel_key, inbox_key, job_key, outcome_prefix, shard_of
from ._placement import fits_any_worker

MAX_WRITE_TRIES = 5
RETRY_PAUSE_S = 0.2


@dataclass(frozen=True, slots=True)
class JobStatus:
    """Status of a job over all shards.

    Attributes
    ----------
    spec : JobSpec
        The job as declared.
    state : str
        ``waiting``, ``running``, ``done``, ``failed`` or ``cancelled``.
    by_state : dict of str to int
        Number of tasks by state.
    reasons : list of str
        Reasons why tasks wait or have failed.
    unheard_shards : list of str
        Shards whose owner did not respond. Tasks of these shards that have no
        recorded outcome are counted as ``submitted``.
    """

    spec: JobSpec
    state: str
    by_state: dict[str, int]
    reasons: list[str] = field(default_factory=list)
    unheard_shards: list[str] = field(default_factory=list)


@dataclass(slots=True)
class TaskCounts:
    """Counts, reasons and unresponsive shards collected for a `JobStatus`."""

    by_state: Counter[str] = field(default_factory=Counter)
    reasons: list[str] = field(default_factory=list)
    unresponsive_shards: list[str] = field(default_factory=list)


#: Requests a shard's description of a job or a task from the shard's owner. The
#: arguments are the name of the shard and the id; the result is None if the owner does
#: not respond or has no such task.
QueryShard = Callable[[str, str], Awaitable[dict | None]]


class JobHandler:
    """Handles operators' requests about jobs and makes changes durable.

    Parameters
    ----------
    table : Table
        The platform's table.
    directory : Directory
        The platform's list of instances.
    fleet : FleetView
        Zones and loads of shards.
    nudge : callable
        Requests that a shard's owner read its inbox.
    query : QueryShard
        Requests a description of a job or a task from a shard's owner.
    shards_per_zone : int
        Number of shards of a zone.
    """

    def __init__(
        self,
        table: Table,
        directory: Directory,
        fleet: FleetView,
        nudge: Callable[[str], Awaitable[None]],
        query: QueryShard,
        shards_per_zone: int,
    ):
        self._table = table
        self._directory = directory
        self._fleet = fleet
        self._nudge = nudge
        self._query = query
        self._shards_per_zone = shards_per_zone

    async def submit(self, spec: JobSpec) -> None:
        """Make a job durable.

        The request is idempotent: the same job may be submitted again.

        Raises
        ------
        FlamingoweirError
            If the job can't be accepted, or the store can't be reached. The error's
            verdict says whether the job may have been accepted.
        """
        shard = self._choose_shard(spec)
        key = job_key(spec.id)
        text = encode_spec(spec)
        added = TasksAdded(spec, 0, spec.tasks)
        writes = [
            Write(key, text),
            Write(inbox_key(shard, f"submit-{spec.id}"), encode_events([added])),
        ]
        try:
            await self._write([Precondition(key, ABSENT_VERSION)], writes)
        except PreconditionFailed:
            row = await self._read(key)
            if row is None or row.value != text:
                raise FlamingoweirError(
                    ErrorCode.CONFLICT,
                    f"job {spec.id!r} exists with another declaration; "
                    "choose another id",
                ) from None
        await self._nudge(shard)

    async def cancel(self, job: str, team: str) -> None:
        """Cancel a job, so that none of its tasks is started again.

        Raises
        ------
        FlamingoweirError
            If the job does not exist or belongs to another team, or the store can't
            be reached.
        """
        spec = await self._find(job)
        if spec.team != team:
            raise FlamingoweirError(
                ErrorCode.FORBIDDEN_BRANCH,
                f"job {job!r} belongs to team {spec.team!r}, not to {team!r}",
            )
        shards = self._shards_of(spec)
        event = encode_events([JobCancelled(job)])
        writes = [Write(cancel_key(job), team)]
        for shard in shards:
            writes.append(Write(inbox_key(shard, f"cancel-{job}"), event))
        try:
            await self._write([Precondition(cancel_key(job), ABSENT_VERSION)], writes)
        except PreconditionFailed:
            return
        for shard in shards:
            await self._nudge(shard)

    async def show(self, job: str) -> JobStatus:
        """Return the status of a job over all shards.

        An outcome that is recorded between the scan of the outcomes and the query of
        its shard's owner is missing from both, so the counts are collected again if
        outcomes were recorded meanwhile.

        Raises
        ------
        FlamingoweirError
            If the job does not exist, or the store can't be reached.
        """
        spec = await self._find(job)
        while True:
            rows = await self._scan(outcome_prefix(job))
            counts = _count_outcomes(rows)
            if sum(counts.by_state.values()) >= spec.tasks:
                break
            await self._query_owners(spec, counts)
            if len(await self._scan(outcome_prefix(job))) == len(rows):
                break
        by_state, reasons = counts.by_state, counts.reasons
        ended = sum(by_state[state] for state in ENDED_STATES)
        if ended < spec.tasks and await self._read(cancel_key(job)) is not None:
            reasons.append("the job is being cancelled")
        missing = spec.tasks - sum(by_state.values())
        if missing > 0:
            by_state["submitted"] = missing
        state = _overall_state(spec, by_state)
        return JobStatus(
            spec, state, dict(by_state), reasons, counts.unresponsive_shards
        )

    async def list_jobs(self, team: str, after: str, limit: int) -> list[JobSpec]:
        """Return declared jobs in the order of their ids.

        Parameters
        ----------
        team : str
            Name of the team; empty for all teams.
        after : str
            Id that the listed jobs follow; empty to start with the first.
        limit : int
            Highest number of jobs to return.

        Raises
        ------
        FlamingoweirError
            If the store can't be reached.
        """
        found: list[JobSpec] = []
        position = job_key(after) if after else ""
        while len(found) < limit:
            rows = await self._scan("job/", position, limit)
            for row in rows:
                spec = decode_spec(row.value)
                if team and spec.team != team:
                    continue
                found.append(spec)
            if len(rows) < limit:
                break
            position = rows[-1].key
        return found[:limit]

    async def explain(self, job: str, index: int) -> Sequence[dict]:
        """Return the descriptions of a task by the owners of its shards.

        Raises
        ------
        FlamingoweirError
            If the job does not exist, or the store can't be reached.
        """
        spec = await self._find(job)
        descriptions = []
        for shard in self._shards_of(spec):
            description = await self._query(shard, f"{job}/{index}")
            if description is not None:
                descriptions.append(description)
        return descriptions

    async def _query_owners(self, spec: JobSpec, counts: "TaskCounts") -> None:
        for shard in self._shards_of(spec):
            description = await self._query(shard, spec.id)
            if description is None:
                counts.unresponsive_shards.append(shard)
                continue
            counts.by_state.update(description["by_state"])
            counts.reasons.extend(description["reasons"])

    def _shards_of(self, spec: JobSpec) -> list[str]:
        return [shard_of(zone, spec.id, self._shards_per_zone) for zone in spec.zones]

    def _choose_shard(self, spec: JobSpec) -> str:
        """Return the shard with the most free processors that could run the job.

        Processors that the shard's queued tasks would take are subtracted, as if
        each needed as many as a task of this job.

        Raises
        ------
        FlamingoweirError
            If no worker in the job's zones could ever run a task.
        """
        fitting_zones = [zone for zone in spec.zones if self._fits_in_zone(spec, zone)]
        if not fitting_zones:
            raise FlamingoweirError(
                ErrorCode.NEVER_FITS,
                f"job {spec.id!r}: no worker in {', '.join(spec.zones)} could ever "
                f"hold {spec.needs.processors_milli / 1000:g} processors, "
                f"{spec.needs.memory_mb} MB and {spec.needs.accelerators} "
                "accelerators; declare less or other zones",
            )
        open_zones = self._fleet.open_zones()
        candidate_zones = [
            zone for zone in fitting_zones if zone in open_zones
        ] or fitting_zones
        best_shard, most_free_milli = None, float("-inf")
        for zone in candidate_zones:
            shard = shard_of(zone, spec.id, self._shards_per_zone)
            load = self._fleet.shard_load(shard)
            if load is None:
                continue
            free_milli = load.free_processors_milli
            free_milli -= load.queued * spec.needs.processors_milli
            if free_milli > most_free_milli:
                best_shard, most_free_milli = shard, free_milli
        return best_shard or shard_of(
            candidate_zones[0], spec.id, self._shards_per_zone
        )

    def _fits_in_zone(self, spec: JobSpec, zone: str) -> bool:
        workers = self._directory.of_kind(InstanceKind.WORKER, zone)
        return fits_any_worker(spec.needs, [worker.capacity for worker in workers])

    async def _find(self, job: str) -> JobSpec:
        row = await self._read(job_key(job))
        if row is None:
            raise FlamingoweirError(ErrorCode.NOT_FOUND, f"there is no job {job!r}")
        return decode_spec(row.value)

    async def _read(self, key: str) -> Row | None:
        try:
            return await self._table.get(key)
        except TableUnavailable as error:
            raise store_unavailable_error() from error

    async def _scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        try:
            return await self._table.scan(prefix, after, limit)
        except TableUnavailable as error:
            raise store_unavailable_error() from error

    async def _write(
        self, preconditions: list[Precondition], writes: list[Write]
    ) -> None:
        """Apply an idempotent transaction, and try again if the store fails.

        Raises
        ------
        PreconditionFailed
            If a precondition does not hold.
        FlamingoweirError
            If the store can't be reached. The error's verdict says whether the
            transaction may have been applied.
        """
        outcome_unknown = False
        for _ in range(MAX_WRITE_TRIES):
            try:
                await self._table.transact(preconditions, writes)
                return
            except TransactionUnknown:
                outcome_unknown = True
            except TableUnavailable:
                pass
            await anyio.sleep(RETRY_PAUSE_S)
        if outcome_unknown:
            raise outcome_unknown_error()
        raise store_unavailable_error()


def _count_outcomes(rows: list[Row]) -> TaskCounts:
    counts = TaskCounts()
    for row in rows:
        outcome = orjson.loads(row.value)
        counts.by_state.update(outcome["by_state"])
        counts.reasons.extend(outcome["details"])
    return counts


def _overall_state(spec: JobSpec, by_state: Counter[str]) -> str:
    ended = by_state["done"] + by_state["failed"] + by_state["cancelled"]
    if ended >= spec.tasks:
        if by_state["failed"]:
            return "failed"
        return "cancelled" if by_state["cancelled"] else "done"
    if by_state["running"] or by_state["done"]:
        return "running"
    return "waiting"
