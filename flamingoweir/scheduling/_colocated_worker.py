"""Adapter from a worker session to the interference controller."""

from collections.abc import Iterator

from ..clock import Clock
from ..interference import BatchTask, ServiceTask
from ..upstreams import CommandKind
from ._assignment import AssignmentState
from ._job import JobKind
from ._session import WorkerSession


class SessionColocatedWorker:
    """The tasks of a worker session, as a `ColocatedWorker`.

    Parameters
    ----------
    session : WorkerSession
        Session of the worker.
    clock : Clock
        Clock of the instance.
    """

    def __init__(self, session: WorkerSession, clock: Clock):
        self._session = session
        self._clock = clock

    @property
    def name(self) -> str:
        """Name of the worker."""
        return self._session.instance.name

    @property
    def worker_clock_s(self) -> float:
        """Time on the worker's clock in its last report, in seconds."""
        return self._session.view.clock_s

    def services(self) -> Iterator[ServiceTask]:
        """See `ColocatedWorker.services`."""
        for assignment in self._session.assignment_by_task.values():
            report = assignment.report
            if assignment.spec.kind is not JobKind.SERVICE or report is None:
                continue
            declared = max(1, assignment.spec.needs.processors_milli)
            yield ServiceTask(
                assignment.spec.job_class,
                assignment.spec.latency_target_ms,
                report.latency_ms,
                report.processors_milli / declared,
                report.measured_s,
            )

    def batch(self) -> Iterator[BatchTask]:
        """See `ColocatedWorker.batch`."""
        capacity = max(1, self._session.capacity.processors_milli)
        now_s = self._clock.now()
        for assignment in self._session.assignment_by_task.values():
            spec = assignment.spec
            if spec.kind is JobKind.SERVICE or assignment.end_command is not None:
                continue
            if assignment.state is AssignmentState.UNSENT:
                continue
            started_s = assignment.started_s or now_s
            yield BatchTask(
                assignment.task,
                spec.job_class,
                spec.needs.processors_milli / capacity,
                assignment.throttle_percent,
                now_s - started_s,
            )

    def throttle(self, task: str, percent: int) -> None:
        """See `ColocatedWorker.throttle`."""
        self._session.throttle(task, percent)

    def evict(self, task: str, service: str) -> None:
        """See `ColocatedWorker.evict`."""
        reason = f"evicted: interfered with {service}"
        self._session.request_end(task, CommandKind.CHECKPOINT, reason)
