"""Descriptions of jobs and tasks, as a shard owner reports them."""

from collections import Counter

from ._job import Job, TaskState, split_task_id
from ._outcome import Outcome
from ._owner import ShardOwner


def describe_job(owner: ShardOwner, name: str) -> dict:
    """Return the task counts of a job in this shard, with reasons.

    Parameters
    ----------
    owner : ShardOwner
        Owner of the shard.
    name : str
        Id of the job.

    Returns
    -------
    dict
        ``by_state``, number of tasks by state, and ``reasons``, why tasks wait or
        have failed.
    """
    job = owner.state.job_by_id.get(name)
    if job is None:
        outcome = owner.uncommitted_outcome_by_job.get(name, Outcome({}, []))
        return {"by_state": outcome.by_state, "reasons": outcome.details}
    by_state: Counter[str] = Counter()
    for task in job.task_by_index.values():
        if task.state is TaskState.MOVED:
            continue
        by_state[_visible_state(owner, job, task.index)] += 1
    return {"by_state": dict(by_state), "reasons": _reasons(owner, job)}


def describe_task(owner: ShardOwner, name: str) -> dict | None:
    """Return the state of a task in this shard, with reasons.

    Parameters
    ----------
    owner : ShardOwner
        Owner of the shard.
    name : str
        Id of the task, ``JOB/INDEX``.

    Returns
    -------
    dict or None
        State and latest attempt of the task, and reasons why queued tasks of the job
        wait; None if the shard does not hold the task.
    """
    job_name, index = split_task_id(name)
    job = owner.state.job_by_id.get(job_name)
    task = job.task_by_index.get(index) if job else None
    if task is None or task.state is TaskState.MOVED:
        return None
    return {
        "task": name,
        "shard": owner.context.shard,
        "state": _visible_state(owner, job, index),
        "attempt": task.attempt,
        "worker": task.worker,
        "failures": task.failures,
        "checkpoint": task.checkpoint,
        "last_end": task.detail,
        "expected_s": round(owner.placer.run_times.expected_s(job.spec), 1),
        "reasons": _reasons(owner, job),
    }


def _visible_state(owner: ShardOwner, job: Job, index: int) -> str:
    task = job.task_by_index[index]
    if task.state is not TaskState.ASSIGNED:
        return str(task.state)
    session = owner.sessions.session_by_worker.get(task.worker)
    assignment = (
        session.assignment_by_task.get(f"{job.spec.id}/{index}") if session else None
    )
    if assignment is None:
        return "assigned"
    return str(assignment.state)


def _reasons(owner: ShardOwner, job: Job) -> list[str]:
    if not job.queued:
        return []
    context = owner.context
    if not context.tree.is_zone_open(context.zone):
        return [f"zone {context.zone} is out of service"]
    if not context.fleet.may_start(context.zone):
        return ["the newest settings are not confirmed: no task is started"]
    reason = owner.placer.reason_by_job.get(job.spec.id)
    return [reason] if reason else []
