"""Makes room for urgent tasks by evicting the batch that loses least."""

from dataclasses import dataclass

from ..resources import Resources
from ..upstreams import CommandKind
from ._assignment import Assignment, Standing
from ._job import JobKind, JobSpec
from ._session import WorkerSession


@dataclass(frozen=True, slots=True)
class Eviction:
    """Attempts that have to end on one worker to make room.

    Attributes
    ----------
    worker : str
        The worker.
    tasks : list of str
        The tasks to be checkpointed.
    lost_s : float
        How long they have run altogether.
    """

    worker: str
    tasks: list[str]
    lost_s: float


def plan_eviction(
    spec: JobSpec, sessions: list[WorkerSession], now_s: float
) -> Eviction | None:
    """Return the cheapest way to make room for a task, or None.

    Parameters
    ----------
    spec : JobSpec
        The urgent task's job.
    sessions : list of WorkerSession
        Workers that may be cleared.
    now_s : float
        The owner's clock.
    """
    best = None
    for session in sessions:
        if not spec.needs.fits_in(session.capacity):
            continue
        plan = _plan_on(spec.needs, session, now_s)
        if plan is not None and (best is None or plan.lost_s < best.lost_s):
            best = plan
    return best


def _plan_on(needs: Resources, session: WorkerSession, now_s: float) -> Eviction | None:
    room = session.ledger.room
    chosen: list[str] = []
    lost_s = 0.0
    for assignment in sorted(
        filter(_is_evictable, session.by_task.values()),
        key=lambda item: now_s - item.started_s,
    ):
        if needs.fits_in(room):
            break
        room = room + assignment.spec.needs
        chosen.append(assignment.task)
        lost_s += now_s - assignment.started_s
    if not needs.fits_in(room):
        return None
    return Eviction(session.instance.name, chosen, lost_s)


def _is_evictable(assignment: Assignment) -> bool:
    spec = assignment.spec
    if spec.kind is JobKind.SERVICE or spec.urgent or assignment.order:
        return False
    return assignment.standing is Standing.RUNNING


def carry_out(eviction: Eviction, session: WorkerSession, job: str) -> None:
    """Have the attempts checkpointed for a job, and nothing else take their room."""
    clear_ahead(session)
    for task in eviction.tasks:
        reason = f"evicted: urgent job {job} needed the room"
        session.order_end(task, CommandKind.CHECKPOINT, reason)


def clear_ahead(session: WorkerSession) -> None:
    """Have plain batch that waits on a worker for room taken back."""
    for assignment in session.by_task.values():
        spec = assignment.spec
        if spec.kind is JobKind.SERVICE or spec.urgent:
            continue
        if assignment.standing is Standing.AHEAD:
            assignment.order = CommandKind.STOP
