"""Order of waiting steps when more work arrives than the fleet can run.

Replays the load of tomen-dail-large `trouble-2` and kpst-orders `trouble-2`: a backlog
from an outage of the store, then batch that needs almost all of the fleet.
"""

import anyio

from flamingoweir.jobs import Job, JobState, Outcome, QueuePolicy
from flamingoweir.policy import objective_s, sort_key
from tests.utils.cluster import SERVICE, make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual

NOW_S = 1000.0
RUN_S = 1.0


def make_waiting(number: int, age_s: float, priority: int = 1, **fields):
    """Return the step of a job that was accepted some time ago; see `make_job`."""
    policy = QueuePolicy(SERVICE, priority, 3, 2.0, 1.0)
    job = Job(make_job(number, make_step(1, **fields), policy=policy))
    job.accepted_s = NOW_S - age_s
    return job.run_by_step[0, 0]


def order(*steps) -> list[int]:
    """Return the job numbers of steps in the order in which they are placed."""
    placed = sorted(steps, key=lambda step: sort_key(step, NOW_S, 1000 * NOW_S))
    return [int(step.job.spec.id, 16) for step in placed]


def test_jobs_that_arrive_after_a_backlog_end_in_time():
    """Guards against a backlog that makes all later jobs late as well.

    The fleet runs 8 tasks at a time. A backlog of 80 waits; then a job of 4 tasks of
    one second comes each 0.6 s, which leaves a sixth of the fleet for the backlog.
    """

    async def scenario():
        async with run_cluster(runners=2, processors=4) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            for number in range(1, 21):
                await submit(cluster, number)
            # The backlog is late before the first of the others arrives.
            await anyio.sleep(3.5)
            in_time = 0
            jobs = []
            for number in range(100, 120):
                spec = await submit(cluster, number)
                jobs.append((anyio.current_time(), spec))
                await anyio.sleep(0.6)
            await anyio.sleep(3)
            ended_s = {}
            for record in cluster.records("done"):
                ended_s[record.task.job] = record.at_s
            for submitted_s, spec in jobs:
                late_s = ended_s.get(spec.id, 1e9) - submitted_s
                in_time += late_s <= objective_s(Job(spec))
            assert in_time >= 0.9 * len(jobs)
            last = await submit(cluster, 200)
            await cluster.wait_for(last, JobState.DONE, 3.0)

    run_virtual(scenario)


async def submit(cluster, number: int):
    accepted_ms = round(cluster.wall_ms())
    step = make_step(4, 1.0, estimate_s=RUN_S)
    spec = make_job(number, step, accepted_ms=accepted_ms)
    for index in range(4):
        cluster.plan_by_task[f"{spec.id}.0.0.{index}"] = (RUN_S, Outcome.DONE)
    return await cluster.submit(spec)


def test_job_with_least_slack_goes_first_among_those_in_time():
    """Guards against a job that becomes late beside one that can wait."""
    assert order(make_waiting(1, 0.1), make_waiting(2, 1.5)) == [2, 1]


def test_late_jobs_follow_those_in_time_and_those_without_value_go_last():
    """Guards against work without value that is done before work with value."""
    in_time, late = make_waiting(1, 1.0), make_waiting(2, 2.5)
    later, hopeless = make_waiting(3, 5.0), make_waiting(4, 8.5)
    assert order(hopeless, later, late, in_time) == [1, 2, 3, 4]


def test_urgent_late_job_goes_before_less_urgent_ones():
    """Guards against an urgent queue that waits for others once it is late."""
    assert order(make_waiting(1, 1.0, priority=2), make_waiting(2, 2.5)) == [2, 1]


def test_lasting_task_that_is_away_goes_before_all_other_steps():
    """Guards against an absent task that waits for urgent batch or new tasks."""
    away = make_waiting(1, 50.0, priority=5, lasting=True)
    attempt = away.job.start(away, 0, "runner", 1, NOW_S)
    away.job.end(attempt.task, attempt.run, Outcome.FAILED, "")
    new = make_waiting(2, 50.0, priority=0, lasting=True)
    assert order(make_waiting(3, 1.0, priority=0), new, away) == [1, 2, 3]
