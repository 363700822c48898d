"""Evicts tasks from zones out of service and moves queued tasks to other shards."""

from dataclasses import dataclass

from ..upstreams import CommandKind
from ._assignment import AssignmentState
from ._context import OwnerContext
from ._job import Job, JobKind
from ._keys import shard_of
from ._session_table import SessionTable
from ._state import ShardState

OVERFLOW_AFTER_S = 3.0
TASKS_PER_MOVE = 500


@dataclass(frozen=True, slots=True)
class Move:
    """Queued tasks of a job to be moved to another shard.

    Attributes
    ----------
    job : str
        Id of the job.
    indexes : list of int
        Indexes of the tasks.
    to_shard : str
        Name of the shard that receives the tasks.
    number : int
        Number of the move, counted from 1 for each `ZoneMover`.
    """

    job: str
    indexes: list[int]
    to_shard: str
    number: int


class ZoneMover:
    """Decides which attempts are evicted and which tasks move to other shards.

    Parameters
    ----------
    context : OwnerContext
        Settings and components of the owner's instance.
    state : ShardState
        Jobs of the shard.
    sessions : SessionTable
        Worker sessions of the shard.
    """

    def __init__(
        self, context: OwnerContext, state: ShardState, sessions: SessionTable
    ):
        self._context = context
        self._state = state
        self._sessions = sessions
        self._move_count = 0
        self._queued_since_by_job: dict[str, float] = {}

    def evict(self) -> None:
        """Request checkpoints of batch tasks that must leave their workers.

        These are the tasks on leaving workers, or on all workers if the zone is out of
        service.
        """
        is_zone_out = not self._context.tree.is_zone_open(self._context.zone)
        for session in self._sessions.session_by_worker.values():
            if not is_zone_out and not session.instance.leaving:
                continue
            for assignment in list(session.assignment_by_task.values()):
                if assignment.spec.kind is JobKind.SERVICE:
                    continue
                if assignment.state is AssignmentState.UNSENT:
                    continue
                if session.request_end(
                    assignment.task,
                    CommandKind.CHECKPOINT,
                    "evicted: the zone is out of service"
                    if is_zone_out
                    else "evicted: the worker is leaving",
                ):
                    self._context.metrics.incr("evictions.zone")

    def decide_moves(self) -> list[Move]:
        """Return the moves of this tick.

        If the zone is out of service, queued batch tasks move to an open zone at once.
        Otherwise they move after `OVERFLOW_AFTER_S`, if another shard has free
        processors and no queued tasks.
        """
        open_zones = self._context.fleet.open_zones()
        moves = []
        for job in self._state.job_by_id.values():
            if not job.queued or job.spec.kind is JobKind.SERVICE:
                self._queued_since_by_job.pop(job.spec.id, None)
                continue
            other_zones = [
                zone
                for zone in job.spec.zones
                if zone != self._context.zone and zone in open_zones
            ]
            if not other_zones:
                continue
            move = self._decide_move(job, other_zones, open_zones)
            if move is not None:
                moves.append(move)
        return moves

    def _decide_move(
        self, job: Job, other_zones: list[str], open_zones: list[str]
    ) -> Move | None:
        queued = list(job.queued)[:TASKS_PER_MOVE]
        if self._context.zone not in open_zones:
            shard = self._shard_with_most_free(job, other_zones) or self._shard_of_job(
                job, other_zones[0]
            )
            return self._make_move(job, queued, shard)
        now_s = self._context.clock.now()
        since_s = self._queued_since_by_job.setdefault(job.spec.id, now_s)
        if now_s - since_s < OVERFLOW_AFTER_S:
            return None
        shard = self._shard_with_most_free(job, other_zones)
        if shard is None:
            return None
        load = self._context.fleet.shard_load(shard)
        needed_milli = max(1, job.spec.needs.processors_milli)
        count = min(len(queued), load.free_processors_milli // needed_milli)
        if count < 1:
            return None
        self._queued_since_by_job[job.spec.id] = now_s
        return self._make_move(job, queued[-count:], shard)

    def _shard_with_most_free(self, job: Job, zones: list[str]) -> str | None:
        """Return the shard with the most free processors, or None.

        Shards with queued tasks or too few free processors for one task of the job
        are not considered.
        """
        best, best_free = None, job.spec.needs.processors_milli - 1
        for zone in zones:
            shard = self._shard_of_job(job, zone)
            load = self._context.fleet.shard_load(shard)
            if load is None or load.queued:
                continue
            if load.free_processors_milli > best_free:
                best, best_free = shard, load.free_processors_milli
        return best

    def _shard_of_job(self, job: Job, zone: str) -> str:
        return shard_of(zone, job.spec.id, self._context.scheduling.shards_per_zone)

    def _make_move(self, job: Job, indexes: list[int], shard: str) -> Move:
        self._move_count += 1
        return Move(job.spec.id, indexes, shard, self._move_count)
