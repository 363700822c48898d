"""Scales services to the numbers of tasks declared in the settings tree."""

from ..tree import ServiceDeclaration, services_of
from ._assignment import AssignmentState
from ._context import OwnerContext
from ._events import Event, TasksAdded, TasksRetired
from ._job import ENDED_STATES, Job, JobKind, JobSpec
from ._keys import shard_of
from ._session_table import SessionTable
from ._state import ShardState

REPLACEMENT_TIMEOUT_S = 60.0
SERVICE_RETRIES = 2**31


class ServiceScaler:
    """Compares declared services with the tasks of the shard, in each tick.

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
        self._tree_version = -1
        self._declarations: list[ServiceDeclaration] = []
        self._short_since_by_service: dict[str, float] = {}

    def decide(self) -> list[Event]:
        """Return the events that scale services to their declared task counts."""
        tree = self._context.tree
        if tree.version != self._tree_version:
            self._declarations = services_of(tree)
            self._tree_version = tree.version
        events: list[Event] = []
        declared_jobs = set()
        for declaration in self._declarations:
            if self._shard_of_service(declaration.name) != self._context.shard:
                continue
            name = service_job_id(declaration.name, self._context.zone)
            declared_jobs.add(name)
            events.extend(self._scale(name, declaration))
        for name, job in self._state.job_by_id.items():
            if job.spec.kind is JobKind.SERVICE and name not in declared_jobs:
                events.extend(self._retire_tasks(job, len(_active_indexes(job))))
        return events

    def count_running(self, service: str) -> int:
        """Return the number of running tasks of a service in this shard."""
        job = self._state.job_by_id.get(service_job_id(service, self._context.zone))
        return len(self._running_indexes(job)) if job else 0

    def _shard_of_service(self, service: str) -> str:
        shards = self._context.scheduling.shards_per_zone
        return shard_of(self._context.zone, service, shards)

    def _scale(self, name: str, declaration: ServiceDeclaration) -> list[Event]:
        open_zones = self._context.fleet.open_zones()
        target_count = declaration.task_count_in_zone(self._context.zone, open_zones)
        job = self._state.job_by_id.get(name)
        active = _active_indexes(job) if job else []
        if len(active) < target_count:
            return [self._add_tasks(name, declaration, job, target_count - len(active))]
        surplus = len(active) - target_count
        if job is None or not surplus:
            return self._replace_leaving(job, target_count) if job else []
        if target_count == 0 and not self._is_replaced_elsewhere(declaration):
            return []
        return self._retire_tasks(job, surplus)

    def _add_tasks(
        self,
        name: str,
        declaration: ServiceDeclaration,
        job: Job | None,
        count: int,
    ) -> Event:
        spec = JobSpec(
            name,
            declaration.team,
            0,
            declaration.needs,
            [self._context.zone],
            JobKind.SERVICE,
            f"service:{declaration.name}",
            retries=SERVICE_RETRIES,
            latency_target_ms=declaration.latency_target_ms,
        )
        first = job.next_index if job else 0
        return TasksAdded(spec, first, count)

    def _retire_tasks(self, job: Job, count: int) -> list[Event]:
        if not count:
            return []
        running = set(self._running_indexes(job))
        active = sorted(
            _active_indexes(job), key=lambda index: (index in running, index)
        )
        return [TasksRetired(job.spec.id, active[:count])]

    def _replace_leaving(self, job: Job, target_count: int) -> list[Event]:
        """Add replacements for tasks on leaving workers.

        The tasks on leaving workers are cancelled once enough tasks run elsewhere.
        """
        leaving = set()
        for session in self._sessions.session_by_worker.values():
            if not session.instance.leaving:
                continue
            for assignment in session.assignment_by_task.values():
                if assignment.spec.id == job.spec.id:
                    leaving.add(assignment.index)
        leaving -= job.retiring
        if not leaving:
            return []
        staying = [
            index for index in self._running_indexes(job) if index not in leaving
        ]
        if len(staying) >= target_count:
            return [TasksRetired(job.spec.id, sorted(leaving))]
        extra = target_count + len(leaving) - len(_active_indexes(job))
        if extra <= 0:
            return []
        return [TasksAdded(job.spec, job.next_index, extra)]

    def _is_replaced_elsewhere(self, declaration: ServiceDeclaration) -> bool:
        """Return whether enough tasks of a service run in other shards.

        Also true if the number has been too small for `REPLACEMENT_TIMEOUT_S`.
        """
        total = sum(declaration.instances_by_zone.values())
        elsewhere = self._context.fleet.count_running_elsewhere(
            declaration.name, self._context.shard
        )
        now_s = self._context.clock.now()
        if elsewhere >= total:
            self._short_since_by_service.pop(declaration.name, None)
            return True
        since_s = self._short_since_by_service.setdefault(declaration.name, now_s)
        return now_s - since_s > REPLACEMENT_TIMEOUT_S

    def _running_indexes(self, job: Job) -> list[int]:
        running = []
        for session in self._sessions.session_by_worker.values():
            for assignment in session.assignment_by_task.values():
                if assignment.spec.id != job.spec.id:
                    continue
                if assignment.state is AssignmentState.RUNNING:
                    running.append(assignment.index)
        return running


def service_job_id(service: str, zone: str) -> str:
    """Return the id of the job with the tasks of a service in a zone."""
    return f"service.{service}.{zone}"


def _active_indexes(job: Job) -> list[int]:
    """Return the indexes of tasks that have neither ended nor been cancelled."""
    active = []
    for index, task in job.task_by_index.items():
        if task.state in ENDED_STATES or job.is_cancelled(index):
            continue
        active.append(index)
    return active
