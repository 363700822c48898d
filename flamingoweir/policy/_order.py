"""In which order steps are given room.

Answers bursts in which more work waits than fits: urgent queues first; within a
priority the jobs that can still meet their objective, the least slack first; then
the late ones, which still earn something; work that is too old to matter last.
"""

from ..jobs import Job, StepRun

#: A job that has taken this many times its objective counts for nothing.
EXPIRY_OBJECTIVES = 3.0
#: Objective of a job that declares neither run times nor an objective, in seconds.
MIN_OBJECTIVE_S = 0.5


def objective_s(job: Job) -> float:
    """Return the seconds within which a job should be done."""
    policy = job.spec.policy
    chains = [job.spec.critical_path_s(step) for step in range(len(job.spec.steps))]
    return max(MIN_OBJECTIVE_S, policy.stretch * max(chains) + policy.objective_s)


def sort_key(step: StepRun, now_s: float, wall_ms: float) -> tuple[int, int, float]:
    """Return a key by which steps are sorted; the smallest goes first.

    Parameters
    ----------
    step : StepRun
        A step whose turn has come.
    now_s : float
        The owner's clock.
    wall_ms : float
        Milliseconds since 1970, by which occurrences are due.
    """
    job = step.job
    priority = job.spec.policy.priority
    if step.spec.lasting:
        return priority, 0, 0.0
    age_s = now_s - job.accepted_s
    if job.spec.scheduled:
        age_s = (wall_ms - job.spec.due_ms(step.occurrence)) / 1000
    allowed_s = objective_s(job)
    if age_s > EXPIRY_OBJECTIVES * allowed_s:
        return priority + 1000, 2, -age_s
    remaining_s = job.spec.critical_path_s(step.step)
    if age_s + remaining_s > EXPIRY_OBJECTIVES * allowed_s:
        return priority, 1, age_s
    return priority, 0, allowed_s - age_s - remaining_s
