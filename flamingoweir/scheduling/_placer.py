"""Placement of queued tasks on workers, once per tick."""

import heapq
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from ..interference import InterferenceController
from ..logs import get_logger
from ..resources import Resources
from ._colocated_worker import SessionColocatedWorker
from ._context import OwnerContext
from ._fairness import Fairness
from ._free_index import FreeResourceIndex
from ._health import WorkerHealth
from ._job import Job, JobKind, JobSpec
from ._placement import PLACEMENT_POLICY_BY_NAME
from ._preemption import cancel_unsent, plan_eviction, request_eviction
from ._reservations import Reservations
from ._run_times import RunTimes
from ._session import WorkerSession
from ._session_table import SessionTable
from ._start_limiter import BatchStartLimiter
from ._state import ShardState
from ._team_usage import TeamUsage

log = get_logger()

PLACEMENTS_PER_TICK = 500
CANDIDATES_PER_TASK = 16
STARVATION_TIMEOUT_S = 30.0
NO_FREE_WORKER = "no suitable worker has enough free resources"


@dataclass(frozen=True, slots=True)
class TaskPlacement:
    """The decision to assign a queued task to a worker.

    Attributes
    ----------
    job : str
        Id of the job.
    index : int
        Index of the task.
    worker : str
        Name of the worker.
    """

    job: str
    index: int
    worker: str


class TaskShape(NamedTuple):
    """Properties that decide on which workers a task can be placed.

    Attributes
    ----------
    needs : Resources
        Resources that the task needs.
    job_class : str
        Class of the job.
    is_preemptible : bool
        Whether the task is batch and not urgent.
    """

    needs: Resources
    job_class: str
    is_preemptible: bool


@dataclass(slots=True)
class TickPlan:
    """Placements decided in one tick, and what they leave free.

    Attributes
    ----------
    free_index : FreeResourceIndex
        Free resources of usable workers after the placements.
    unsent_count_by_worker : dict of str to int
        Number of unsent assignments by worker, which wait for free resources.
    planned_usage : TeamUsage
        Needs of the tasks placed in this tick.
    unplaceable_shapes : set of TaskShape
        Shapes of tasks for which no worker was found.
    placements : list of TaskPlacement
        The placements, in the order in which they were decided.
    """

    free_index: FreeResourceIndex
    unsent_count_by_worker: dict[str, int]
    planned_usage: TeamUsage = field(default_factory=TeamUsage)
    unplaceable_shapes: set[TaskShape] = field(default_factory=set)
    placements: list[TaskPlacement] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Candidate:
    """Resources of a worker after the placements of this tick.

    Attributes
    ----------
    capacity : Resources
        Total resources.
    free_resources : Resources
        Resources that are not assigned to any task.
    """

    capacity: Resources
    free_resources: Resources


class Placer:
    """Places queued tasks: services, urgent jobs, then teams by fair share.

    Parameters
    ----------
    context : OwnerContext
        Settings and components of the owner's instance.
    state : ShardState
        Jobs of the shard.
    sessions : SessionTable
        Worker sessions of the shard.
    interference : InterferenceController
        Predicts whether services keep their latency targets beside batch tasks.

    Attributes
    ----------
    health : WorkerHealth
        Quarantined workers.
    run_times : RunTimes
        Expected run times of tasks.
    waiting_since_by_job : dict of str to float
        Time on the owner's clock, in seconds, since when a job waits for the placement
        of a task.
    reason_by_job : dict of str to str
        Why a task of the job could not be placed when last tried.
    """

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
        self._policy = PLACEMENT_POLICY_BY_NAME[context.scheduling.placement]
        self._start_limiter = BatchStartLimiter(
            context.clock, context.scheduling.refill_per_s
        )
        self.run_times = RunTimes()
        self._fairness = Fairness(context, sessions, self.run_times)
        self._reservations = Reservations()
        self._was_open = True

    def place_tasks(self) -> list[TaskPlacement]:
        """Return the placements of this tick; the state of tasks is not changed."""
        self._remove_ended_waits()
        queued = [job for job in self._state.job_by_id.values() if job.queued]
        if not queued:
            return []
        self._fairness.update_capacity()
        plan = self._begin_plan()
        heap = []
        for number, job in enumerate(queued):
            sort_key = self._fairness.sort_key(job, plan.planned_usage)
            heap.append((*sort_key, number, job, iter(job.queued)))
        heapq.heapify(heap)
        while heap and len(plan.placements) < PLACEMENTS_PER_TICK:
            *queued_key, number, job, indexes = heapq.heappop(heap)
            sort_key = self._fairness.sort_key(job, plan.planned_usage)
            if sort_key > tuple(queued_key):
                heapq.heappush(heap, (*sort_key, number, job, indexes))
                continue
            index = self._next_ready(job, indexes)
            if index is None:
                continue
            reason = self._place_task(job.spec, index, plan)
            if reason:
                self._record_wait(job.spec, reason)
                continue
            heapq.heappush(heap, (*sort_key, number, job, indexes))
        return plan.placements

    def update_zone_state(self) -> None:
        """Limit the rate of batch starts if the zone has been brought back."""
        is_open = self._context.tree.is_zone_open(self._context.zone)
        if is_open and not self._was_open:
            self._start_limiter.begin(len(self._sessions.session_by_worker))
        self._was_open = is_open

    def count_unplaced(self) -> int:
        """Return the number of queued tasks of jobs that wait for placement."""
        waiting = 0
        for name in self.waiting_since_by_job:
            job = self._state.job_by_id.get(name)
            waiting += len(job.queued) if job else 0
        return waiting

    def free_processors_milli(self) -> int:
        """Return the unassigned processors of usable workers, in thousandths."""
        free = 0
        for session in self._usable_sessions():
            free += max(0, session.free_resources.processors_milli)
        return free

    def _begin_plan(self) -> TickPlan:
        free_resources = []
        unsent_count_by_worker = {}
        for session in self._usable_sessions():
            name = session.instance.name
            free_resources.append((name, session.free_resources))
            unsent_count_by_worker[name] = session.unsent_count
        return TickPlan(FreeResourceIndex(free_resources), unsent_count_by_worker)

    def _usable_sessions(self) -> Iterator[WorkerSession]:
        for session in self._sessions.session_by_worker.values():
            if self._is_usable(session):
                yield session

    def _is_usable(self, session: WorkerSession) -> bool:
        """Return whether tasks may be assigned to a worker now.

        The worker must be reachable, have reported to this owner, and be neither
        leaving nor quarantined. On probation it must have no other task.
        """
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

    def _place_task(self, spec: JobSpec, index: int, plan: TickPlan) -> str:
        """Add a task to the plan.

        Returns
        -------
        str
            Why the task can't be placed; empty if it was.
        """
        is_preemptible = spec.kind is JobKind.BATCH and not spec.urgent
        shape = TaskShape(spec.needs, spec.job_class, is_preemptible)
        if shape in plan.unplaceable_shapes and not self._reservations.has_reservation(
            spec.id
        ):
            return NO_FREE_WORKER
        reason = self._fairness.refusal_reason(spec, plan.planned_usage)
        if reason:
            return reason
        if is_preemptible and not self._start_limiter.has_token():
            return "batch starts are limited after the zone was brought back"
        worker = self._best_worker(spec, plan)
        if worker is None and is_preemptible:
            worker = self._worker_with_shortest_queue(spec, plan)
        if worker is None:
            plan.unplaceable_shapes.add(shape)
            return NO_FREE_WORKER
        plan.free_index.allocate(worker, spec.needs)
        plan.planned_usage.add(spec)
        plan.placements.append(TaskPlacement(spec.id, index, worker))
        if is_preemptible:
            self._start_limiter.use_token()
        self._reservations.release(spec.id)
        self.waiting_since_by_job.pop(spec.id, None)
        return ""

    def _best_worker(self, spec: JobSpec, plan: TickPlan) -> str | None:
        if spec.kind is JobKind.SERVICE:
            return self._best_worker_for_service(spec, plan)
        best, best_score = None, float("inf")
        accepted = 0
        for name in plan.free_index.candidates(spec.needs):
            if self._reservations.is_reserved_for_other(name, spec):
                continue
            session = self._sessions.session_by_worker[name]
            free = plan.free_index.free_by_worker[name]
            planned = session.free_resources - free
            if not self._keeps_latency_targets(session, spec, planned + spec.needs):
                continue
            candidate = Candidate(session.capacity, free)
            score = self._policy.score(spec, candidate)
            if score < best_score:
                best, best_score = name, score
            accepted += 1
            if accepted == CANDIDATES_PER_TASK:
                break
        return best

    def _best_worker_for_service(self, spec: JobSpec, plan: TickPlan) -> str | None:
        """Return the worker with the fewest tasks of a service.

        Among equal workers the rack with the fewest tasks of the service is
        preferred, then the largest fraction of free processors.
        """
        count_by_worker, count_by_rack = self._count_tasks(spec.id, plan)
        best, best_score = None, None
        for name in plan.free_index.candidates(spec.needs):
            session = self._sessions.session_by_worker[name]
            free = plan.free_index.free_by_worker[name]
            free_fraction = free.processors_milli / max(
                1, session.capacity.processors_milli
            )
            score = (
                count_by_worker[name],
                count_by_rack[session.instance.rack],
                -free_fraction,
            )
            if best_score is None or score < best_score:
                best, best_score = name, score
        return best

    def _count_tasks(self, job: str, plan: TickPlan) -> tuple[Counter, Counter]:
        """Return the number of a job's assigned tasks by worker and by rack."""
        count_by_worker: Counter[str] = Counter()
        for name, session in self._sessions.session_by_worker.items():
            for assignment in session.assignment_by_task.values():
                count_by_worker[name] += assignment.spec.id == job
        for placement in plan.placements:
            count_by_worker[placement.worker] += placement.job == job
        count_by_rack: Counter[str] = Counter()
        for name, count in count_by_worker.items():
            count_by_rack[self._sessions.session_by_worker[name].instance.rack] += count
        return count_by_worker, count_by_rack

    def _keeps_latency_targets(
        self, session: WorkerSession, spec: JobSpec, extra_needs: Resources
    ) -> bool:
        if spec.kind is JobKind.SERVICE or spec.urgent:
            return True
        if not session.service_count:
            return True
        share = extra_needs.processors_milli / max(1, session.capacity.processors_milli)
        worker = SessionColocatedWorker(session, self._context.clock)
        return self._interference.may_place(worker, spec.job_class, share)

    def _worker_with_shortest_queue(self, spec: JobSpec, plan: TickPlan) -> str | None:
        """Return the worker with the fewest unsent tasks, below ``assign_ahead``.

        A worker on which the task fits is skipped: it was rejected to protect its
        services, and the task would be started there at once. A worker whose batch
        tasks are all smaller is skipped too: the end of one of them would not free
        enough resources, and the task would wait behind others.
        """
        best, best_count = None, self._context.scheduling.assign_ahead
        for name, count in plan.unsent_count_by_worker.items():
            if count >= best_count or self._reservations.is_reserved_for_other(
                name, spec
            ):
                continue
            session = self._sessions.session_by_worker[name]
            if spec.needs.fits_in(plan.free_index.free_by_worker[name]):
                continue
            if not session.could_replace(spec.needs):
                continue
            if self._keeps_latency_targets(session, spec, Resources()):
                best, best_count = name, count
        if best is not None:
            plan.unsent_count_by_worker[best] += 1
        return best

    def _record_wait(self, spec: JobSpec, reason: str) -> None:
        self.reason_by_job[spec.id] = reason
        now_s = self._context.clock.now()
        since_s = self.waiting_since_by_job.setdefault(spec.id, now_s)
        if reason != NO_FREE_WORKER or self._reservations.has_reservation(spec.id):
            return
        if spec.urgent:
            self._evict_for(spec, now_s)
        elif now_s - since_s > STARVATION_TIMEOUT_S:
            self._reserve(spec)

    def _evict_for(self, spec: JobSpec, now_s: float) -> None:
        """Evict batch tasks for an urgent task and reserve the worker for its job."""
        unreserved = [
            session
            for session in self._usable_sessions()
            if not self._reservations.is_reserved(session.instance.name)
        ]
        eviction = plan_eviction(spec, unreserved, self.run_times, now_s)
        if eviction is None:
            return
        request_eviction(
            eviction, self._sessions.session_by_worker[eviction.worker], spec.id
        )
        self._reservations.reserve(eviction.worker, spec.id)
        self._context.metrics.incr("evictions.urgent", len(eviction.tasks))
        log.info(
            "evicted_for_urgent_job",
            job=spec.id,
            worker=eviction.worker,
            tasks=len(eviction.tasks),
        )

    def _reserve(self, spec: JobSpec) -> None:
        """Reserve the worker with the most free processors for a starving task."""
        best, best_free = None, -1
        for session in self._usable_sessions():
            name = session.instance.name
            if self._reservations.is_reserved(name):
                continue
            if not spec.needs.fits_in(session.capacity):
                continue
            if session.free_resources.processors_milli > best_free:
                best, best_free = name, session.free_resources.processors_milli
        if best is not None:
            cancel_unsent(self._sessions.session_by_worker[best])
            self._reservations.reserve(best, spec.id)

    def _remove_ended_waits(self) -> None:
        for name in list(self.waiting_since_by_job):
            job = self._state.job_by_id.get(name)
            if job is None or not job.queued:
                del self.waiting_since_by_job[name]
        for name in list(self.reason_by_job):
            if name not in self._state.job_by_id:
                del self.reason_by_job[name]
        for name in self._reservations.reserving_jobs():
            if name not in self.waiting_since_by_job:
                self._reservations.release(name)
