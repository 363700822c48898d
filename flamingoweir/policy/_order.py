"""Order in which steps are placed when more work waits than fits.

Queues with a higher priority go first. Within a priority, jobs that can still end
within their objective go first, those with the least slack first. Those of them that
were deferred, as the fleet can't finish all in time, come next. Jobs that can't are
late anyway and keep a part of their value only; they follow as long as they can end
within `MAX_VALUABLE_OBJECTIVES`, the youngest first. The others have no value any more
and go last; those older than that limit go after the jobs of all queues. A step with
long-running tasks goes before the others of its priority. If one of its tasks has run
before, it goes before all others, as users notice at once when a task is away.

Answers a load that exceeds the fleet for longer than an objective lasts. If jobs that
are late already went first, each job would wait until it is late too, and none would
end in time.
"""

from ..jobs import Job, StepRun

#: Multiple of a job's objective; the result has no value at a greater age.
MAX_VALUABLE_OBJECTIVES = 3.0
#: Priority of a step with a long-running task that is away; 0 is the most urgent one
#: that a queue can have.
AWAY_PRIORITY = -1
#: Lowest objective in seconds, for jobs that declare neither run times nor one.
MIN_OBJECTIVE_S = 0.5


def objective_s(job: Job) -> float:
    """Return the target for the time from acceptance to the end, in seconds.

    For a scheduled job the time starts when the occurrence is due.
    """
    policy = job.spec.policy
    longest_s = max(job.critical_paths_s)
    return max(MIN_OBJECTIVE_S, policy.stretch * longest_s + policy.objective_s)


def sort_key(
    step: StepRun,
    now_s: float,
    wall_ms: float,
    is_deferred: bool = False,
    run_ratio: float = 1.0,
) -> tuple[int, int, float]:
    """Return the sort key of a step; the step with the lowest key is placed first.

    Parameters
    ----------
    step : StepRun
        Step whose preceding steps are done.
    now_s : float
        Time on the owner's clock, in seconds.
    wall_ms : float
        Wall-clock time in milliseconds since 1970, to which due times of occurrences
        refer.
    is_deferred : bool
        Whether the job was chosen to go after those that can end in time; see
        `choose_deferred`.
    run_ratio : float
        Factor for the declared run times of the job.
    """
    job = step.job
    priority = job.spec.policy.priority
    if step.is_away:
        size = step.spec.reserved
        return AWAY_PRIORITY, -size.accelerators, -size.processors_milli
    if step.spec.lasting:
        return priority, -1, 0.0
    age_s = now_s - job.accepted_s
    if job.spec.scheduled:
        age_s = (wall_ms - job.spec.due_ms(step.occurrence)) / 1000
    allowed_s = objective_s(job)
    if age_s > MAX_VALUABLE_OBJECTIVES * allowed_s:
        return priority + 1000, 3, -age_s
    remaining_s = run_ratio * job.critical_paths_s[step.step]
    slack_s = allowed_s - age_s - remaining_s
    if slack_s >= 0.0:
        return priority, int(is_deferred), slack_s
    if age_s + remaining_s <= MAX_VALUABLE_OBJECTIVES * allowed_s:
        return priority, 2, age_s
    return priority, 3, age_s
