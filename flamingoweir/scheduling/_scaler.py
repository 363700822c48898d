"""Keeps as many tasks of each service as the settings tree wants."""

from ..tree import ServiceDeclaration, services_of
from ._assignment import AssignmentState
from ._context import OwnerContext
from ._events import Event, TasksAdded, TasksRetired
from ._job import ENDED_STATES, Job, JobKind, JobSpec
from ._keys import shard_of
from ._session_table import SessionTable
from ._state import ShardState

REPLACE_LIMIT_S = 60.0
SERVICE_RETRIES = 2**31


class ServiceScaler:
    """Compares services wanted with services held, in each tick."""

    def __init__(
        self, context: OwnerContext, state: ShardState, sessions: SessionTable
    ):
        self._context = context
        self._state = state
        self._sessions = sessions
        self._tree_version = -1
        self._declared: list[ServiceDeclaration] = []
        self._short_since_s: dict[str, float] = {}

    def decide(self) -> list[Event]:
        """Return the events that bring services to what is wanted."""
        tree = self._context.tree
        if tree.version != self._tree_version:
            self._declared = services_of(tree)
            self._tree_version = tree.version
        events: list[Event] = []
        wanted_jobs = set()
        for declaration in self._declared:
            if self._home(declaration.name) != self._context.shard:
                continue
            name = service_job(declaration.name, self._context.zone)
            wanted_jobs.add(name)
            events.extend(self._adjust(name, declaration))
        for name, job in self._state.job_by_id.items():
            if job.spec.kind is JobKind.SERVICE and name not in wanted_jobs:
                events.extend(self._retire(job, len(_held(job))))
        return events

    def running(self, service: str) -> int:
        """Return how many tasks of a service run in this shard."""
        job = self._state.job_by_id.get(service_job(service, self._context.zone))
        return len(self._running(job)) if job else 0

    def _home(self, service: str) -> str:
        shards = self._context.scheduling.shards_per_zone
        return shard_of(self._context.zone, service, shards)

    def _adjust(self, name: str, declaration: ServiceDeclaration) -> list[Event]:
        open_zones = self._context.fleet.open_zones()
        wanted = declaration.task_count_in_zone(self._context.zone, open_zones)
        job = self._state.job_by_id.get(name)
        held = _held(job) if job else []
        if len(held) < wanted:
            return [self._more(name, declaration, job, wanted - len(held))]
        surplus = len(held) - wanted
        if job is None or not surplus:
            return self._replace_leaving(job, wanted) if job else []
        if wanted == 0 and not self._is_replaced(declaration):
            return []
        return self._retire(job, surplus)

    def _more(
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

    def _retire(self, job: Job, count: int) -> list[Event]:
        if not count:
            return []
        running = set(self._running(job))
        held = sorted(_held(job), key=lambda index: (index in running, index))
        return [TasksRetired(job.spec.id, held[:count])]

    def _replace_leaving(self, job: Job, wanted: int) -> list[Event]:
        """Start a replacement for tasks on leaving workers, then retire them."""
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
        staying = [index for index in self._running(job) if index not in leaving]
        if len(staying) >= wanted:
            return [TasksRetired(job.spec.id, sorted(leaving))]
        extra = wanted + len(leaving) - len(_held(job))
        if extra <= 0:
            return []
        return [TasksAdded(job.spec, job.next_index, extra)]

    def _is_replaced(self, declaration: ServiceDeclaration) -> bool:
        """Return whether a closed zone's tasks run elsewhere, or waited enough."""
        total = sum(declaration.instances_by_zone.values())
        elsewhere = self._context.fleet.count_running_elsewhere(
            declaration.name, self._context.shard
        )
        now_s = self._context.clock.now()
        if elsewhere >= total:
            self._short_since_s.pop(declaration.name, None)
            return True
        since_s = self._short_since_s.setdefault(declaration.name, now_s)
        return now_s - since_s > REPLACE_LIMIT_S

    def _running(self, job: Job) -> list[int]:
        running = []
        for session in self._sessions.session_by_worker.values():
            for assignment in session.assignment_by_task.values():
                if assignment.spec.id != job.spec.id:
                    continue
                if assignment.state is AssignmentState.RUNNING:
                    running.append(assignment.index)
        return running


def service_job(service: str, zone: str) -> str:
    """Return the name of the job that holds a zone's tasks of a service."""
    return f"service.{service}.{zone}"


def _held(job: Job) -> list[int]:
    """Return the tasks that have not ended and are not to end."""
    held = []
    for index, task in job.task_by_index.items():
        if task.state in ENDED_STATES or job.is_cancelled(index):
            continue
        held.append(index)
    return held
