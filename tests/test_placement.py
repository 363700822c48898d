"""Placement of tasks on workers of a simulated fleet, in virtual time."""

import anyio

from flamingoweir.errors import ErrorCode, FlamingoweirError
from tests.test_outages import find_events, run_scenario, start_fleet, submit, zone_node
from tests.utils.builders import make_resources, make_spec

URGENT_START_S = 6.9


def test_urgent_task_starts_in_time_on_full_fleet():
    """An urgent task must not wait for batch tasks: it evicts as many as it needs."""

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        await submit(fleet, "gwynedd", id="rounds", tasks=60, job_class="run-300")
        asked_s = anyio.current_time()
        await submit(
            fleet,
            "gwynedd",
            id="storm",
            tasks=1,
            urgent=True,
            needs=make_resources(6),
        )
        await anyio.sleep(URGENT_START_S)
        started = [
            e for e in find_events(fleet, "start") if e.task.startswith("storm/")
        ]
        assert len(started) == 1
        assert started[0].at_s - asked_s < URGENT_START_S
        evicted = find_events(fleet, "checkpointed")
        assert 0 < len(evicted) <= 3
        job, _, index = evicted[0].task.rpartition("/")
        explanations = await zone_node(fleet, "gwynedd").handler.jobs.explain(
            job, int(index)
        )
        assert (
            explanations[0]["last_end"]
            == "evicted: urgent job storm needed the resources"
        )

    run_scenario(scenario)


def test_large_task_does_not_starve_among_small_tasks():
    """Small tasks must not take every resource that becomes free.

    A task that needs a whole worker would then never be placed.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        await submit(fleet, "gwynedd", id="small", tasks=400, job_class="run-7")
        await submit(
            fleet, "gwynedd", id="large", tasks=1, needs=make_resources(8), team="b"
        )
        await anyio.sleep(90.0)
        assert any(e.task.startswith("large/") for e in find_events(fleet, "start"))

    run_scenario(scenario)


def test_teams_share_capacity_by_weight():
    """A team of weight 3 must start about three times the tasks of one of weight 1."""

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        node = zone_node(fleet, "gwynedd")
        values = {"quotas/heavy/weight": "3"}
        await node.store.propose("w", "operators", values, None, "")
        for team in ("heavy", "light"):
            await submit(
                fleet,
                "gwynedd",
                id=team,
                team=team,
                tasks=200,
                job_class="run-5",
                needs=make_resources(1),
            )
        await anyio.sleep(60.0)
        late = find_events(fleet, "start", anyio.current_time() - 40)
        heavy = sum(e.task.startswith("heavy/") for e in late)
        assert 0.65 < heavy / len(late) < 0.85

    run_scenario(scenario)


def test_priority_orders_jobs_within_team():
    """A job of higher priority must start before an earlier job of the same team."""

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        await submit(fleet, "gwynedd", id="low", tasks=100, job_class="run-3")
        await submit(
            fleet, "gwynedd", id="high", tasks=40, job_class="run-3", priority=5
        )
        await anyio.sleep(4.0)
        late = find_events(fleet, "start", anyio.current_time() - 2.5)
        assert late
        assert all(e.task.startswith("high/") for e in late)

    run_scenario(scenario)


def test_quota_limits_team():
    """A team must not exceed its quota; open shards enforce equal parts of it."""

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        node = zone_node(fleet, "gwynedd")
        values = {"quotas/planning/processors": "8"}
        await node.store.propose("q", "operators", values, None, "")
        await anyio.sleep(1.0)
        await submit(fleet, "gwynedd", tasks=40, job_class="run-300")
        await anyio.sleep(10.0)
        assert len(find_events(fleet, "start")) == 2, (
            "a shard allows half of 8 processors, 2 per task"
        )

    run_scenario(scenario)


def test_job_that_fits_no_worker_is_refused():
    """A job whose tasks exceed every worker must be refused instead of waiting."""

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        spec = make_spec(needs=make_resources(9))
        try:
            await zone_node(fleet, "powys").handler.jobs.submit(spec)
        except FlamingoweirError as error:
            assert error.code is ErrorCode.NEVER_FITS
            return
        raise AssertionError("the job was accepted")

    run_scenario(scenario)


def test_faulty_worker_is_quarantined():
    """A worker on which every attempt fails must not use up the retries of a job.

    Failed attempts end quickly, so such a worker is free most often and would be
    given most of the tasks.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        broken = fleet.worker_by_name["gwynedd-w0"]
        run_time = broken._run_time
        broken._run_time = lambda command: run_time(
            type(command)(**{**_fields(command), "job_class": "fail-1"})
        )
        spec = await submit(fleet, "gwynedd", tasks=60, job_class="run-2", retries=8)
        await anyio.sleep(40.0)
        failed = find_events(fleet, "failed")
        assert len(failed) <= 12
        status = await zone_node(fleet, "gwynedd").handler.jobs.show(spec.id)
        assert status.by_state.get("failed", 0) == 0

    run_scenario(scenario)


def test_learned_run_times_replace_declared_estimates():
    """Jobs must be ordered by learned run times when declared estimates are wrong."""

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        await submit(fleet, "gwynedd", id="earlier", tasks=8, job_class="run-2")
        for job, job_class in (("long", "run-12"), ("short", "run-2")):
            await submit(
                fleet,
                "gwynedd",
                id=job,
                tasks=90,
                job_class=job_class,
                estimate_s=100.0,
            )
        await anyio.sleep(30.0)
        owner = fleet.by_name[fleet.owner_name("gwynedd/0")].node
        run_times = owner.shard_manager.owner_by_shard["gwynedd/0"].placer.run_times
        expected_s = run_times.expected_s(make_spec(job_class="run-2", estimate_s=100))
        assert 1.0 < expected_s < 5.0
        late = find_events(fleet, "start", anyio.current_time() - 10)
        short = sum(e.task.startswith("short/") for e in late)
        assert short > len(late) / 2, "the short job is placed first in its team"

    run_scenario(scenario)


def test_long_job_does_not_starve_among_short_jobs():
    """Placing short jobs first must not delay a long job while short jobs arrive."""

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        await submit(fleet, "gwynedd", id="first", tasks=40, job_class="run-2")
        await submit(
            fleet, "gwynedd", id="long", tasks=4, job_class="run-20", estimate_s=20.0
        )
        for number in range(30):
            await submit(
                fleet, "gwynedd", id=f"short-{number}", tasks=40, job_class="run-2"
            )
        assert any(e.task.startswith("long/") for e in find_events(fleet, "start"))

    run_scenario(scenario)


def _fields(command) -> dict:
    return {name: getattr(command, name) for name in command.__slots__}
