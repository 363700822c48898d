"""Decides in each tick which queued tasks go where."""

import heapq
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from ..interference import InterferenceController
from ..logs import get_logger
from ..resources import Resources
from ._context import OwnerContext
from ._fairness import Fairness
from ._health import WorkerHealth
from ._job import Job, JobKind, JobSpec
from ._neighbourhood import SessionColocatedWorker
from ._placement import PLACEMENT_POLICY_BY_NAME
from ._preemption import cancel_unsent, carry_out, plan_eviction
from ._refill import Refill
from ._reservations import Reservations
from ._room_index import FreeResourceIndex
from ._run_times import RunTimes
from ._session import WorkerSession
from ._session_table import SessionTable
from ._state import ShardState
from ._team_usage import TeamUsage

log = get_logger()

CHOICES_PER_TICK = 500
CANDIDATES_PER_TASK = 16
STARVING_S = 30.0
NO_ROOM = "no worker has room"


@dataclass(frozen=True, slots=True)
class Choice:
    """A queued task and the worker that it goes to."""

    job: str
    index: int
    worker: str


class Shape(NamedTuple):
    """What decides where a task may go."""

    needs: Resources
    job_class: str
    plain: bool


@dataclass(slots=True)
class Round:
    """What one tick has given out so far.

    Attributes
    ----------
    free_index : FreeResourceIndex
        What usable workers have left.
    ahead_by_worker : dict of str to int
        Tasks that wait on a worker for room.
    given : TeamUsage
        Needs of the tasks chosen in this tick.
    full : set of Shape
        Kinds of tasks that found no worker.
    choices : list of Choice
        The result.
    """

    free_index: FreeResourceIndex
    ahead_by_worker: dict[str, int]
    given: TeamUsage = field(default_factory=TeamUsage)
    full: set[Shape] = field(default_factory=set)
    choices: list[Choice] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker as it would be after the choices of this tick."""

    capacity: Resources
    free_resources: Resources


class Placer:
    """Places queued tasks: services, urgent jobs, then teams by fair share."""

    def __init__(
        self,
        context: OwnerContext,
        state: ShardState,
        sessions: SessionTable,
        interference: InterferenceController,
    ):
        self.health = WorkerHealth(context.clock, context.metrics)
        self.waiting_since_by_job: dict[str, float] = {}
        self.reason_by_job: dict[str, str] = {}
        self._context = context
        self._state = state
        self._sessions = sessions
        self._interference = interference
        self._placement = PLACEMENT_POLICY_BY_NAME[context.scheduling.placement]
        self._refill = Refill(context.clock, context.scheduling.refill_per_s)
        self.run_times = RunTimes()
        self._fairness = Fairness(context, sessions, self.run_times)
        self._reservations = Reservations()
        self._was_open = True

    def decide(self) -> list[Choice]:
        """Return the choices of this tick; changes no task."""
        self._forget_waits()
        queued = [job for job in self._state.job_by_id.values() if job.queued]
        if not queued:
            return []
        self._fairness.begin()
        turn = self._begin_round()
        heap = []
        for number, job in enumerate(queued):
            rank = self._fairness.rank(job, turn.given)
            heap.append((*rank, number, job, iter(job.queued)))
        heapq.heapify(heap)
        while heap and len(turn.choices) < CHOICES_PER_TICK:
            *known, number, job, indexes = heapq.heappop(heap)
            rank = self._fairness.rank(job, turn.given)
            if rank > tuple(known):
                heapq.heappush(heap, (*rank, number, job, indexes))
                continue
            index = self._next_ready(job, indexes)
            if index is None:
                continue
            reason = self._choose(job.spec, index, turn)
            if reason:
                self._note_wait(job.spec, reason)
                continue
            heapq.heappush(heap, (*rank, number, job, indexes))
        return turn.choices

    def note_zone(self) -> None:
        """Begin a gradual refill when the zone has come back."""
        is_open = self._context.tree.is_zone_open(self._context.zone)
        if is_open and not self._was_open:
            self._refill.begin(len(self._sessions.session_by_worker))
        self._was_open = is_open

    def count_unplaced(self) -> int:
        """Return how many queued tasks found no worker in the last tick."""
        waiting = 0
        for name in self.waiting_since_by_job:
            job = self._state.job_by_id.get(name)
            waiting += len(job.queued) if job else 0
        return waiting

    def free_processors_milli(self) -> int:
        """Return what usable workers have promised to nobody."""
        free = 0
        for session in self._usable_sessions():
            free += max(0, session.free_resources.processors_milli)
        return free

    def _begin_round(self) -> Round:
        free_index = []
        ahead_by_worker = {}
        for session in self._usable_sessions():
            name = session.instance.name
            free_index.append((name, session.free_resources))
            ahead_by_worker[name] = session.unsent_count
        return Round(FreeResourceIndex(free_index), ahead_by_worker)

    def _usable_sessions(self) -> Iterator[WorkerSession]:
        for session in self._sessions.session_by_worker.values():
            if self._is_usable(session):
                yield session

    def _is_usable(self, session: WorkerSession) -> bool:
        name = session.instance.name
        if session.instance.leaving or not session.view.reachable:
            return False
        if not session.view.incarnation or self.health.is_quarantined(name):
            return False
        return not (self.health.is_on_probation(name) and session.assignment_by_task)

    def _next_ready(self, job: Job, indexes: Iterator[int]) -> int | None:
        now_s = self._context.clock.now()
        for index in indexes:
            if job.task_by_index[index].not_before_s <= now_s:
                return index
        return None

    def _choose(self, spec: JobSpec, index: int, turn: Round) -> str:
        """Give a task to a worker; return why not, or nothing."""
        plain = spec.kind is JobKind.BATCH and not spec.urgent
        shape = Shape(spec.needs, spec.job_class, plain)
        if shape in turn.full and not self._reservations.has(spec.id):
            return NO_ROOM
        reason = self._fairness.why_not(spec, turn.given)
        if reason:
            return reason
        if plain and not self._refill.has_token():
            return "the zone is being filled gradually"
        worker = self._best(spec, turn)
        if worker is None and plain:
            worker = self._shortest_queue(spec, turn)
        if worker is None:
            turn.full.add(shape)
            return NO_ROOM
        turn.free_index.take(worker, spec.needs)
        turn.given.add(spec)
        turn.choices.append(Choice(spec.id, index, worker))
        if plain:
            self._refill.take()
        self._reservations.release(spec.id)
        self.waiting_since_by_job.pop(spec.id, None)
        return ""

    def _best(self, spec: JobSpec, turn: Round) -> str | None:
        if spec.kind is JobKind.SERVICE:
            return self._most_spread(spec, turn)
        best, best_score = None, float("inf")
        accepted = 0
        for name in turn.free_index.candidates(spec.needs):
            if self._reservations.is_kept_from(name, spec):
                continue
            session = self._sessions.session_by_worker[name]
            room = turn.free_index.free_by_worker[name]
            given = session.free_resources - room
            if not self._leaves_services_on_time(session, spec, given + spec.needs):
                continue
            candidate = Candidate(session.capacity, room)
            score = self._placement.rank(spec, candidate)
            if score < best_score:
                best, best_score = name, score
            accepted += 1
            if accepted == CANDIDATES_PER_TASK:
                break
        return best

    def _most_spread(self, spec: JobSpec, turn: Round) -> str | None:
        """Return the worker, then the rack, with the fewest tasks of a service."""
        here, on_rack = self._count_placed(spec.id, turn)
        best, best_score = None, None
        for name in turn.free_index.candidates(spec.needs):
            session = self._sessions.session_by_worker[name]
            room = turn.free_index.free_by_worker[name]
            free = room.processors_milli / max(1, session.capacity.processors_milli)
            score = (here[name], on_rack[session.instance.rack], -free)
            if best_score is None or score < best_score:
                best, best_score = name, score
        return best

    def _count_placed(self, job: str, turn: Round) -> tuple[Counter, Counter]:
        """Return a job's tasks by worker and by rack."""
        here: Counter[str] = Counter()
        for name, session in self._sessions.session_by_worker.items():
            for assignment in session.assignment_by_task.values():
                here[name] += assignment.spec.id == job
        for choice in turn.choices:
            here[choice.worker] += choice.job == job
        on_rack: Counter[str] = Counter()
        for name, count in here.items():
            on_rack[self._sessions.session_by_worker[name].instance.rack] += count
        return here, on_rack

    def _leaves_services_on_time(
        self, session: WorkerSession, spec: JobSpec, extra: Resources
    ) -> bool:
        if spec.kind is JobKind.SERVICE or spec.urgent:
            return True
        if not session.service_count:
            return True
        share = extra.processors_milli / max(1, session.capacity.processors_milli)
        neighbourhood = SessionColocatedWorker(session, self._context.clock)
        return self._interference.may_place(neighbourhood, spec.job_class, share)

    def _shortest_queue(self, spec: JobSpec, turn: Round) -> str | None:
        """Return the worker with the fewest tasks waiting on it, below the limit.

        A worker that has room was passed over for its services' sake; a task
        assigned ahead would be started there at once. One whose running tasks are
        all smaller would keep a large task waiting behind others.
        """
        best, best_count = None, self._context.scheduling.assign_ahead
        for name, count in turn.ahead_by_worker.items():
            if count >= best_count or self._reservations.is_kept_from(name, spec):
                continue
            session = self._sessions.session_by_worker[name]
            if spec.needs.fits_in(turn.free_index.free_by_worker[name]):
                continue
            if not session.could_replace(spec.needs):
                continue
            if self._leaves_services_on_time(session, spec, Resources()):
                best, best_count = name, count
        if best is not None:
            turn.ahead_by_worker[best] += 1
        return best

    def _note_wait(self, spec: JobSpec, reason: str) -> None:
        self.reason_by_job[spec.id] = reason
        now_s = self._context.clock.now()
        since_s = self.waiting_since_by_job.setdefault(spec.id, now_s)
        if reason != NO_ROOM or self._reservations.has(spec.id):
            return
        if spec.urgent:
            self._evict_for(spec, now_s)
        elif now_s - since_s > STARVING_S:
            self._reserve(spec)

    def _evict_for(self, spec: JobSpec, now_s: float) -> None:
        """Clear room for an urgent task and keep it for its job."""
        clearable = [
            session
            for session in self._usable_sessions()
            if not self._reservations.is_taken(session.instance.name)
        ]
        eviction = plan_eviction(spec, clearable, self.run_times, now_s)
        if eviction is None:
            return
        carry_out(eviction, self._sessions.session_by_worker[eviction.worker], spec.id)
        self._reservations.keep(eviction.worker, spec.id)
        self._context.metrics.incr("evictions.urgent", len(eviction.tasks))
        log.info(
            "evicted_for_urgent",
            job=spec.id,
            worker=eviction.worker,
            tasks=len(eviction.tasks),
        )

    def _reserve(self, spec: JobSpec) -> None:
        """Keep the emptiest worker that could hold a starving task."""
        best, best_room = None, -1
        for session in self._usable_sessions():
            name = session.instance.name
            if self._reservations.is_taken(name):
                continue
            if not spec.needs.fits_in(session.capacity):
                continue
            if session.free_resources.processors_milli > best_room:
                best, best_room = name, session.free_resources.processors_milli
        if best is not None:
            cancel_unsent(self._sessions.session_by_worker[best])
            self._reservations.keep(best, spec.id)

    def _forget_waits(self) -> None:
        for name in list(self.waiting_since_by_job):
            job = self._state.job_by_id.get(name)
            if job is None or not job.queued:
                del self.waiting_since_by_job[name]
        for name in list(self.reason_by_job):
            if name not in self._state.job_by_id:
                del self.reason_by_job[name]
        for name in self._reservations.jobs():
            if name not in self.waiting_since_by_job:
                self._reservations.release(name)
