"""Evicts the batch tasks that lose the least work to place urgent tasks."""

from dataclasses import dataclass

from ..resources import Resources
from ..upstreams import CommandKind
from ._assignment import Assignment, AssignmentState
from ._job import JobKind, JobSpec
from ._run_times import RunTimes
from ._session import WorkerSession

NEARLY_DONE_S = 3.0
NEARLY_DONE_PENALTY_S = 3600.0


@dataclass(frozen=True, slots=True)
class Eviction:
    """Tasks of one worker to be evicted in favour of an urgent task.

    Attributes
    ----------
    worker : str
        Name of the worker.
    tasks : list of str
        Ids of the tasks to be checkpointed.
    lost_s : float
        Cost of the eviction: run time, in seconds, that may be lost.
    """

    worker: str
    tasks: list[str]
    lost_s: float


def plan_eviction(
    spec: JobSpec, sessions: list[WorkerSession], run_times: RunTimes, now_s: float
) -> Eviction | None:
    """Return the eviction of the lowest cost that lets a task fit, or None.

    Parameters
    ----------
    spec : JobSpec
        Job of the urgent task.
    sessions : list of WorkerSession
        Workers on which tasks may be evicted.
    run_times : RunTimes
        Expected run times of tasks.
    now_s : float
        Current time on the owner's clock, in seconds.
    """
    best = None
    for session in sessions:
        if not spec.needs.fits_in(session.capacity):
            continue
        plan = _plan_eviction_on(spec.needs, session, run_times, now_s)
        if plan is not None and (best is None or plan.lost_s < best.lost_s):
            best = plan
    return best


def _plan_eviction_on(
    needs: Resources, session: WorkerSession, run_times: RunTimes, now_s: float
) -> Eviction | None:
    free = session.ledger.free_resources
    chosen: list[str] = []
    lost_s = 0.0
    evictable = list(filter(_is_evictable, session.assignment_by_task.values()))
    evictable.sort(key=lambda item: _eviction_cost_s(item, run_times, now_s))
    for assignment in evictable:
        if needs.fits_in(free):
            break
        free = free + assignment.spec.needs
        chosen.append(assignment.task)
        lost_s += _eviction_cost_s(assignment, run_times, now_s)
    if not needs.fits_in(free):
        return None
    return Eviction(session.instance.name, chosen, lost_s)


def _eviction_cost_s(
    assignment: Assignment, run_times: RunTimes, now_s: float
) -> float:
    """Return the run time, in seconds, that an eviction may lose.

    A penalty is added if the attempt is expected to end within `NEARLY_DONE_S`,
    as its resources are then freed without an eviction.
    """
    ran_s = now_s - assignment.started_s
    left_s = run_times.expected_s(assignment.spec) - ran_s
    if 0 < left_s < NEARLY_DONE_S:
        return ran_s + NEARLY_DONE_PENALTY_S
    return ran_s


def _is_evictable(assignment: Assignment) -> bool:
    spec = assignment.spec
    if spec.kind is JobKind.SERVICE or spec.urgent or assignment.end_command:
        return False
    return assignment.state is AssignmentState.RUNNING


def request_eviction(eviction: Eviction, session: WorkerSession, job: str) -> None:
    """Request checkpoints of the attempts to be evicted in favour of a job.

    Unsent tasks are withdrawn, so that they do not take the freed resources.
    """
    cancel_unsent(session)
    for task in eviction.tasks:
        reason = f"evicted: urgent job {job} needed the resources"
        session.request_end(task, CommandKind.CHECKPOINT, reason)


def cancel_unsent(session: WorkerSession) -> None:
    """Mark the unsent preemptible batch tasks of a worker to be withdrawn."""
    for assignment in session.assignment_by_task.values():
        spec = assignment.spec
        if spec.kind is JobKind.SERVICE or spec.urgent:
            continue
        if assignment.state is AssignmentState.UNSENT:
            assignment.end_command = CommandKind.STOP
