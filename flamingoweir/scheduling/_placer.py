"""Decides in each tick which queued tasks go where."""

import heapq
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..resources import Resources
from ._health import WorkerHealth
from ._job import Job, JobKind, JobSpec
from ._placement import PLACEMENT_BY_NAME
from ._refill import Refill
from ._session import SessionTable, WorkerSession
from ._state import ShardState

if TYPE_CHECKING:
    from ._owner import OwnerContext

CHOICES_PER_TICK = 500
STARVING_S = 30.0


@dataclass(frozen=True, slots=True)
class Choice:
    """A queued task and the worker that it goes to."""

    job: str
    index: int
    worker: str


@dataclass(slots=True)
class Round:
    """What one tick has promised so far.

    Attributes
    ----------
    promised_by_worker : dict of str to Resources
        Needs of tasks chosen in this tick.
    ahead_by_worker : dict of str to int
        Tasks chosen in this tick that must wait on the worker for room.
    used_by_team : dict of str to Resources
        What each team's tasks take, running or promised.
    full : set of (Resources, bool)
        Needs that found no worker, and whether for a service.
    choices : list of Choice
        The result.
    """

    promised_by_worker: dict[str, Resources] = field(default_factory=dict)
    ahead_by_worker: dict[str, int] = field(default_factory=dict)
    used_by_team: dict[str, Resources] = field(default_factory=dict)
    full: set[tuple[Resources, bool]] = field(default_factory=set)
    choices: list[Choice] = field(default_factory=list)


@dataclass(slots=True)
class RoundCandidate:
    """A worker as it would be after the choices of this tick."""

    session: WorkerSession
    room: Resources

    @property
    def capacity(self) -> Resources:
        """What the worker has."""
        return self.session.capacity


class Placer:
    """Places queued tasks: urgent first, then teams by fair share."""

    def __init__(
        self, context: "OwnerContext", state: ShardState, sessions: SessionTable
    ):
        self.health = WorkerHealth(context.clock)
        self.waiting_since_by_job: dict[str, float] = {}
        self.reason_by_job: dict[str, str] = {}
        self._context = context
        self._state = state
        self._sessions = sessions
        self._placement = PLACEMENT_BY_NAME[context.scheduling.placement]
        self._refill = Refill(context.clock, context.scheduling.refill_per_s)
        self._reserved_by_worker: dict[str, str] = {}
        self._was_open = True

    def decide(self) -> list[Choice]:
        """Return the choices of this tick; changes no task."""
        queued = [job for job in self._state.by_job.values() if job.queued]
        self._forget_waits()
        if not queued:
            return []
        turn = Round(used_by_team=self._usage())
        total = self._total()
        heap = []
        for number, job in enumerate(queued):
            rank = self._rank(job, turn, total)
            heap.append((*rank, number, job, iter(job.queued)))
        heapq.heapify(heap)
        while heap and len(turn.choices) < CHOICES_PER_TICK:
            *_, number, job, indexes = heapq.heappop(heap)
            index = self._next_ready(job, indexes)
            if index is None:
                continue
            if not self._choose(job, index, turn, total):
                self._note_wait(job)
                continue
            heapq.heappush(heap, (*self._rank(job, turn, total), number, job, indexes))
        return turn.choices

    def queued_without_room(self) -> int:
        """Return how many queued tasks found no worker in the last tick."""
        waiting = 0
        for name in self.waiting_since_by_job:
            job = self._state.by_job.get(name)
            waiting += len(job.queued) if job else 0
        return waiting

    def free_processors_milli(self) -> int:
        """Return what usable workers have promised to nobody."""
        free = 0
        for session in self._sessions.by_worker.values():
            if self._is_usable(session):
                free += max(0, session.room.processors_milli)
        return free

    def note_zone(self) -> None:
        """Begin a gradual refill when the zone has come back."""
        is_open = self._context.tree.is_zone_open(self._context.zone)
        if is_open and not self._was_open:
            self._refill.begin(len(self._sessions.by_worker))
        self._was_open = is_open

    def _rank(self, job: Job, turn: Round, total: Resources) -> tuple:
        spec = job.spec
        used = turn.used_by_team.get(spec.team, Resources())
        share = used.dominant_share(total) / self._weight(spec.team)
        service = spec.kind is JobKind.SERVICE
        return (not service, not spec.urgent, share, -spec.priority)

    def _weight(self, team: str) -> float:
        return float(self._context.tree.by_path.get(f"teams/{team}/weight", 1.0))

    def _next_ready(self, job: Job, indexes) -> int | None:
        now_s = self._context.clock.now()
        for index in indexes:
            if job.by_index[index].not_before_s <= now_s:
                return index
        return None

    def _choose(self, job: Job, index: int, turn: Round, total: Resources) -> bool:
        spec = job.spec
        service = spec.kind is JobKind.SERVICE
        if (spec.needs, service) in turn.full and spec.id not in self._reservers():
            self.reason_by_job[spec.id] = "no worker has room"
            return False
        if not self._within_quota(spec, turn):
            self.reason_by_job[spec.id] = f"team {spec.team} is at its quota"
            return False
        if not service and not spec.urgent and not self._refill.has_token():
            self.reason_by_job[spec.id] = "the zone is being filled gradually"
            return False
        worker = self._best(spec, turn) or self._shortest_queue(spec, turn)
        if worker is None:
            turn.full.add((spec.needs, service))
            self.reason_by_job[spec.id] = "no worker has room"
            return False
        self._promise(spec, worker, turn)
        turn.choices.append(Choice(spec.id, index, worker))
        self._reserved_by_worker = {
            name: job_id
            for name, job_id in self._reserved_by_worker.items()
            if job_id != spec.id
        }
        self.waiting_since_by_job.pop(spec.id, None)
        return True

    def _promise(self, spec: JobSpec, worker: str, turn: Round) -> None:
        promised = turn.promised_by_worker.get(worker, Resources())
        turn.promised_by_worker[worker] = promised + spec.needs
        used = turn.used_by_team.get(spec.team, Resources())
        turn.used_by_team[spec.team] = used + spec.needs
        if spec.kind is JobKind.BATCH:
            self._refill.take()

    def _best(self, spec: JobSpec, turn: Round) -> str | None:
        best, best_score = None, float("inf")
        for name, session in self._sessions.by_worker.items():
            if not self._is_usable(session) or self._is_kept(name, spec):
                continue
            room = session.room
            if name in turn.promised_by_worker:
                room = room - turn.promised_by_worker[name]
            if not spec.needs.fits_in(room):
                continue
            score = self._placement.rank(spec, RoundCandidate(session, room))
            if score < best_score:
                best, best_score = name, score
        return best

    def _shortest_queue(self, spec: JobSpec, turn: Round) -> str | None:
        """Return the worker with the fewest tasks waiting on it, below the limit."""
        if spec.kind is JobKind.SERVICE or spec.urgent:
            return None
        best, best_count = None, self._context.scheduling.assign_ahead
        for name, session in self._sessions.by_worker.items():
            if not self._is_usable(session) or self._is_kept(name, spec):
                continue
            if not spec.needs.fits_in(session.capacity):
                continue
            count = session.ahead + turn.ahead_by_worker.get(name, 0)
            if count < best_count:
                best, best_count = name, count
        if best is not None:
            turn.ahead_by_worker[best] = turn.ahead_by_worker.get(best, 0) + 1
        return best

    def _is_usable(self, session: WorkerSession) -> bool:
        name = session.instance.name
        if session.instance.leaving or not session.view.reachable:
            return False
        if not session.view.incarnation or self.health.is_quarantined(name):
            return False
        return not (self.health.is_on_probation(name) and session.by_task)

    def _is_kept(self, worker: str, spec: JobSpec) -> bool:
        """Return whether a worker is kept free for another job's large task."""
        keeper = self._reserved_by_worker.get(worker)
        return keeper is not None and keeper != spec.id

    def _reservers(self) -> set[str]:
        return set(self._reserved_by_worker.values())

    def _within_quota(self, spec: JobSpec, turn: Round) -> bool:
        if spec.kind is JobKind.SERVICE:
            return True
        used = turn.used_by_team.get(spec.team, Resources()) + spec.needs
        return used.fits_in(self._quota(spec.team))

    def _quota(self, team: str) -> Resources:
        """Return this shard's part of a team's quota, even among open zones."""
        by_path = self._context.tree.by_path
        shards = max(1, self._context.fleet.open_shards())
        unlimited = float("inf")
        prefix = f"teams/{team}/quota/"
        processors = float(by_path.get(prefix + "processors", unlimited)) * 1000
        memory = float(by_path.get(prefix + "memory_mb", unlimited))
        accelerators = float(by_path.get(prefix + "accelerators", unlimited))
        return Resources(processors / shards, memory / shards, accelerators / shards)

    def _note_wait(self, job: Job) -> None:
        now_s = self._context.clock.now()
        since_s = self.waiting_since_by_job.setdefault(job.spec.id, now_s)
        if now_s - since_s > STARVING_S and job.spec.id not in self._reservers():
            self._reserve(job.spec)

    def _reserve(self, spec: JobSpec) -> None:
        best, best_room = None, -1
        for name, session in self._sessions.by_worker.items():
            if not self._is_usable(session) or name in self._reserved_by_worker:
                continue
            if not spec.needs.fits_in(session.capacity):
                continue
            if session.room.processors_milli > best_room:
                best, best_room = name, session.room.processors_milli
        if best is not None:
            self._reserved_by_worker[best] = spec.id

    def _forget_waits(self) -> None:
        for name in list(self.waiting_since_by_job):
            job = self._state.by_job.get(name)
            if job is None or not job.queued:
                self.waiting_since_by_job.pop(name)
        for name in list(self.reason_by_job):
            if name not in self._state.by_job:
                self.reason_by_job.pop(name)
        for worker, name in list(self._reserved_by_worker.items()):
            if name not in self.waiting_since_by_job:
                del self._reserved_by_worker[worker]

    def _usage(self) -> dict[str, Resources]:
        used: dict[str, Resources] = {}
        for session in self._sessions.by_worker.values():
            for assignment in session.by_task.values():
                team = assignment.spec.team
                needs = assignment.spec.needs
                used[team] = used.get(team, Resources()) + needs
        return used

    def _total(self) -> Resources:
        total = Resources()
        for session in self._sessions.by_worker.values():
            total = total + session.capacity
        return total
