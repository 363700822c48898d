"""Runners whose capacity shrinks and grows while they run.

A runner that does not guard its capacity carries out every start, so that the owner
must order none that brings the runner over the capacity that it announces. The tests
judge by what such a runner has carried out.
"""

import random

import anyio
import pytest

from flamingoweir.fleet import Runner
from flamingoweir.jobs import Attempt, AttemptState, Job, JobState, Outcome, TaskId
from flamingoweir.policy import (
    BatchHeadroom,
    ColocationPolicy,
    PlacementPolicy,
    RunnerHealth,
    ServiceLoad,
    choose_evictions,
    place_gang,
)
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources
from tests.utils.cluster import SERVICE, make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual

#: Seconds from the write of a runner's row until the owner must go by it. Users allow
#: 3 s and a heartbeat; in memory, only the read and the orders under way take time.
SEEN_S = 0.05
#: Longest time in seconds from more capacity to the start of a task that waits for it.
MAX_START_S = 0.5
#: Seconds between two heartbeats, in which a runner writes its row.
HEARTBEAT_S = 1.1
LONG_S = 60.0
WHOLE = Resources(8000, 256_000, 4)
#: What the first task of most tests holds, and what the capacity shrinks to: no longer
#: any room beside that task in one dimension, or less than it holds.
HELD = Resources(4000, 128_000, 2)
SHRUNK = {
    "no processor left": Resources(4000, 256_000, 4),
    "no memory left": Resources(8000, 128_000, 4),
    "no accelerator left": Resources(8000, 256_000, 2),
    "over in processors": Resources(2000, 256_000, 4),
    "over in memory": Resources(8000, 64_000, 4),
    "over in accelerators": Resources(8000, 256_000, 1),
    "nothing": Resources(),
}
#: Tasks that need some of each resource; those on spare processors count memory only.
NEEDS = Resources(1000, 1000, 1)
KINDS = {
    "batch": {},
    "gang": {"gang": True},
    "lasting": {"lasting": True},
    "spare": {"uses_spare": True},
}


async def change_capacity(cluster, runner_id: str, capacity: Resources) -> None:
    """Announce another capacity; what is gone counts until that must have been seen."""
    runner = cluster.runner_by_id[runner_id]
    runner.capacity = Resources(
        max(runner.capacity.processors_milli, capacity.processors_milli),
        max(runner.capacity.memory_mb, capacity.memory_mb),
        max(runner.capacity.accelerators, capacity.accelerators),
    )
    cluster.list_runner(runner_id, capacity=capacity)
    await anyio.sleep(SEEN_S)
    runner.capacity = capacity


def add_unguarded(cluster, *names: str) -> None:
    """Add runners that do not guard their capacity and take a while to stop a run."""
    for name in names:
        runner = cluster.add_runner(name, 8, accelerators=4)
        runner.guards_capacity = False
        runner.stop_s = 0.9


async def submit_long(cluster, number: int, step, **fields):
    """Submit a job whose tasks run for `LONG_S`."""
    job = await cluster.submit(make_job(number, step, **fields))
    for index in range(step.count):
        cluster.plan_by_task[f"{job.id}.0.0.{index}"] = (LONG_S, Outcome.DONE)
    return job


def count_starts(cluster, job) -> int:
    return sum(record.task.job == job.id for record in cluster.records("start"))


def check_runs(cluster) -> None:
    """Check that no start exceeded a capacity and that no task ran twice."""
    for runner in cluster.runner_by_id.values():
        runner.advance()
        assert not runner.starts_over_capacity
    assert not cluster.find_overlaps()
    for member in cluster.member_by_name.values():
        assert member.instance.term is None or not member.instance.term.failed


def make_runner(capacity: Resources = WHOLE, runner_id: str = "r") -> Runner:
    entry = RunnerEntry(runner_id, 1, SERVICE, "host:1", "powys", capacity=capacity)
    runner = Runner(entry, 10.0)
    runner.begin_incarnation(1, 0.0)
    return runner


def announce(runner: Runner, capacity: Resources) -> None:
    """Let a runner announce another capacity."""
    entry = runner.entry
    runner.entry = RunnerEntry(
        entry.id, 1, entry.service, entry.address, entry.zone, capacity=capacity
    )


def run_on(runner: Runner, number: int, spec) -> None:
    task = TaskId(f"{number:016x}", 0, 0, 0)
    runner.add(Attempt(task, 1, runner.id, 1, AttemptState.RUNNING), spec)


def make_step_run(**fields):
    """Return the step of a job that has one."""
    return Job(make_job(99, make_step(**fields))).run_by_step[0, 0]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("shrunk", SHRUNK)
def test_nothing_starts_beyond_a_capacity_that_shrank_until_it_grows(shrunk, kind):
    """Guards against starts by the former capacity, and against room left unused.

    What runs is not stopped, although the runner may be over its capacity.
    """

    async def scenario():
        async with run_cluster(runners=0) as cluster:
            add_unguarded(cluster, "r")
            await cluster.owner()
            await anyio.sleep(1)
            held = await submit_long(cluster, 1, make_step(demand=HELD))
            await cluster.wait_for(held, JobState.RUNNING, 2.0)
            await change_capacity(cluster, "r", SHRUNK[shrunk])
            step = make_step(2, demand=NEEDS, **KINDS[kind])
            waiting = await cluster.submit(make_job(2, step))
            await anyio.sleep(4)
            assert not count_starts(cluster, waiting)
            await change_capacity(cluster, "r", WHOLE)
            await cluster.wait_for(waiting, JobState.RUNNING, MAX_START_S)
            await anyio.sleep(2)
            assert count_starts(cluster, waiting) == 2
            assert not cluster.records("stopped")
            check_runs(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_nothing_starts_on_a_runner_that_holds_too_much_of_another_resource(kind):
    """Guards against a start on a runner over its capacity, of a task that needs none.

    The task needs no memory, and the runner holds more memory than it has.
    """

    async def scenario():
        async with run_cluster(runners=0) as cluster:
            add_unguarded(cluster, "r")
            await cluster.owner()
            await anyio.sleep(1)
            held = await submit_long(cluster, 1, make_step(demand=HELD))
            await cluster.wait_for(held, JobState.RUNNING, 2.0)
            await change_capacity(cluster, "r", SHRUNK["over in memory"])
            step = make_step(2, 1.0, **KINDS[kind])
            waiting = await cluster.submit(make_job(2, step))
            await anyio.sleep(4)
            assert not count_starts(cluster, waiting)
            check_runs(cluster)

    run_virtual(scenario)


def test_what_is_being_stopped_counts_until_it_has_ended():
    """Guards against a start into resources that a stop has not freed yet."""

    async def scenario():
        async with run_cluster(runners=0) as cluster:
            add_unguarded(cluster, "r")
            await cluster.owner()
            await anyio.sleep(1)
            held = await submit_long(cluster, 1, make_step(2, demand=HELD))
            await cluster.wait_for(held, JobState.RUNNING, 2.0)
            member = next(iter(cluster.member_by_name.values()))
            await member.instance.handler.cancel(held.id, 2.0)
            await anyio.sleep(0.1)
            await change_capacity(cluster, "r", SHRUNK["no processor left"])
            waiting = await cluster.submit(make_job(2, make_step(4, 1.0)))
            await cluster.wait_for(waiting, JobState.RUNNING, 3.0)
            await anyio.sleep(3)
            assert len(cluster.records("stopped")) == 2
            check_runs(cluster)

    run_virtual(scenario)


def test_room_made_for_an_absent_task_fits_into_the_capacity_that_shrank():
    """Guards against an eviction that counts on resources which are gone."""

    async def scenario():
        async with run_cluster(runners=0) as cluster:
            add_unguarded(cluster, "r")
            await cluster.owner()
            await anyio.sleep(1)
            step = make_step(1, 3.0, lasting=True)
            lasting = await cluster.submit(make_job(1, step))
            await cluster.wait_for(lasting, JobState.RUNNING, 2.0)
            batch = await submit_long(cluster, 2, make_step(5, 1.0))
            await cluster.wait_for(batch, JobState.RUNNING, 2.0)
            await change_capacity(cluster, "r", Resources(4000, 256_000, 4))
            await anyio.sleep(1)
            assert not cluster.records("stopped")
            cluster.runner_by_id["r"].fail(TaskId(lasting.id, 0, 0, 0))
            await anyio.sleep(6)
            assert count_starts(cluster, lasting) == 2
            assert len(cluster.records("stopped")) == 4
            check_runs(cluster)

    run_virtual(scenario)


def test_runner_reserved_for_a_step_that_no_longer_fits_is_released():
    """Guards against a runner kept free for a task that is too large for it now."""
    health = RunnerHealth()
    placement = PlacementPolicy(health, ColocationPolicy())
    step = make_step_run(processors=6.0)
    runner = make_runner()
    run_on(runner, 1, make_step(1, 4.0))
    assert placement.reserve(step, [runner], frozenset()) is runner
    announce(runner, Resources(5000, 256_000, 4))
    assert placement.reserve(step, [runner], frozenset()) is None


def test_step_that_waits_for_a_large_runner_gets_it_when_it_grows_again():
    """Guards against small tasks that take a runner which has grown for a large one."""

    async def scenario():
        async with run_cluster(runners=0) as cluster:
            add_unguarded(cluster, "r", "s")
            await cluster.owner()
            await anyio.sleep(1)
            for name in ("r", "s"):
                await change_capacity(cluster, name, Resources(4000, 256_000, 4))
            large = await cluster.submit(make_job(1, make_step(1, 6.0)))
            small = await cluster.submit(make_job(2, make_step(40, 1.0)))
            await anyio.sleep(2)
            assert count_starts(cluster, small) >= 8
            assert not count_starts(cluster, large)
            await change_capacity(cluster, "r", WHOLE)
            await cluster.wait_for(large, JobState.RUNNING, 2.0)
            await cluster.wait_for(small, JobState.DONE, 20.0)
            check_runs(cluster)

    run_virtual(scenario)


async def shrink_while_writing(cluster, step, capacity: Resources, names=("r",)):
    """Shrink runners after tasks were placed there, before the write is confirmed."""
    owner = await cluster.owner()
    await anyio.sleep(1)
    # Delays what the owner writes, not the changes that it follows.
    owner.store.response_delay_s = 0.4
    other = next(m for m in cluster.member_by_name.values() if m is not owner)
    job = make_job(1, step)
    cluster.spec_by_id[job.id] = job
    for index in range(step.count):
        cluster.plan_by_task[f"{job.id}.0.0.{index}"] = (LONG_S, Outcome.DONE)
    await other.instance.handler.submit(job, 2.0)
    state = owner.instance.term.owner_state
    with anyio.fail_after(2.0):
        while not any(runner.has_attempts for runner in state.runner_by_id.values()):
            await anyio.sleep(0.01)
    assert not cluster.records("start")
    for name in names:
        await change_capacity(cluster, name, capacity)
    assert not cluster.records("start"), "the capacity shrank too late"
    owner.store.response_delay_s = 0.0
    return job


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("shrunk", ["over in processors", "over in memory", "nothing"])
def test_task_placed_before_the_capacity_shrank_is_not_sent(shrunk, kind):
    """Guards against start orders that were decided by the former capacity."""

    async def scenario():
        async with run_cluster(runners=0) as cluster:
            add_unguarded(cluster, "r")
            # The processors of the tasks on spare ones do not count.
            demand = Resources(2000, 64_000, 1)
            step = make_step(2, demand=demand, **KINDS[kind])
            job = await shrink_while_writing(cluster, step, SHRUNK[shrunk])
            await anyio.sleep(3)
            fitting = 0 if kind == "gang" or shrunk == "nothing" else 1
            if kind == "spare" and shrunk == "over in processors":
                fitting = 2
            assert count_starts(cluster, job) == fitting
            check_runs(cluster)
            await change_capacity(cluster, "r", WHOLE)
            await anyio.sleep(MAX_START_S)
            assert count_starts(cluster, job) == 2
            assert not cluster.records("stopped")
            check_runs(cluster)

    run_virtual(scenario)


def test_youngest_of_the_tasks_placed_are_withdrawn():
    """Guards against older tasks that lose their turn, and against room left unused."""

    async def scenario():
        async with run_cluster(runners=0) as cluster:
            add_unguarded(cluster, "r")
            capacity = Resources(5000, 256_000, 4)
            job = await shrink_while_writing(cluster, make_step(4, 2.0), capacity)
            await anyio.sleep(2)
            started = {record.task.index for record in cluster.records("start")}
            assert started == {0, 1}
            assert count_starts(cluster, job) == 2
            check_runs(cluster)

    run_virtual(scenario)


def test_withdrawn_task_starts_on_another_runner_at_once():
    """Guards against a task that waits for the runner that has shrunk."""

    async def scenario():
        async with run_cluster(runners=0) as cluster:
            add_unguarded(cluster, "r")
            job = await shrink_while_writing(
                cluster, make_step(1, 2.0), SHRUNK["nothing"]
            )
            add_unguarded(cluster, "s")
            await cluster.wait_for(job, JobState.RUNNING, 1.5)
            assert cluster.starts(f"{job.id}.0.0.0") == ["s"]
            check_runs(cluster)

    run_virtual(scenario)


async def submit_to_unreachable(cluster, step):
    """Submit a job whose start orders are lost; return it and the owner's link."""
    owner = await cluster.owner()
    await anyio.sleep(1)
    link = owner.link_by_runner["r"]
    link.disconnected = True
    job = await submit_long(cluster, 1, step)
    await anyio.sleep(0.3)
    return job, link


@pytest.mark.parametrize("shrunk", ["no processor left", "nothing"])
def test_order_without_a_response_is_not_sent_again_beyond_the_capacity(shrunk):
    """Guards against a repeated order that starts a task which fits no longer."""

    async def scenario():
        async with run_cluster(runners=0) as cluster:
            add_unguarded(cluster, "r")
            step = make_step(1, 6.0)
            job, link = await submit_to_unreachable(cluster, step)
            await change_capacity(cluster, "r", SHRUNK[shrunk])
            link.disconnected = False
            await anyio.sleep(4)
            assert not count_starts(cluster, job)
            await change_capacity(cluster, "r", WHOLE)
            await cluster.wait_for(job, JobState.RUNNING, 1.0)
            check_runs(cluster)

    run_virtual(scenario)


def test_younger_task_that_was_sent_gives_way_to_no_repeated_order():
    """Guards against a repeated order beside a younger task that has started.

    The first order never arrives in time; the second task runs when room shrinks.
    """

    async def scenario():
        async with run_cluster(runners=0) as cluster:
            add_unguarded(cluster, "r")
            owner = await cluster.owner()
            await anyio.sleep(1)
            link = owner.link_by_runner["r"]
            link.lose_starts = 1
            link.delivery_delay_s = 5.0
            job = await submit_long(cluster, 1, make_step(2, 3.0))
            await anyio.sleep(0.2)
            assert cluster.starts(f"{job.id}.0.0.1") == ["r"]
            await change_capacity(cluster, "r", SHRUNK["no processor left"])
            await anyio.sleep(4)
            assert count_starts(cluster, job) == 1
            assert not cluster.records("stopped")
            check_runs(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("delivery_delay_s", [0.0, 0.6, 1.2, 3.0])
def test_order_that_may_have_arrived_keeps_its_resources(delivery_delay_s):
    """Guards against a second run of a task whose order was carried out unnoticed.

    The runner shrinks before the owner knows whether the order has arrived.
    """

    async def scenario():
        async with run_cluster(runners=0) as cluster:
            add_unguarded(cluster, "r")
            owner = await cluster.owner()
            await anyio.sleep(1)
            link = owner.link_by_runner["r"]
            link.lose_starts = 1
            link.delivery_delay_s = delivery_delay_s
            job = await submit_long(cluster, 1, make_step(1, 6.0, lasting=True))
            await anyio.sleep(0.1)
            cluster.list_runner("r", capacity=SHRUNK["no processor left"])
            add_unguarded(cluster, "s")
            await anyio.sleep(6)
            # An order that was under way before may arrive; nothing is sent anew.
            runner = cluster.runner_by_id["r"]
            assert count_starts(cluster, job) >= 1
            runner.capacity = SHRUNK["no processor left"]
            await submit_long(cluster, 2, make_step(20, 1.0))
            await anyio.sleep(4)
            check_runs(cluster)

    run_virtual(scenario)


def test_new_owner_starts_nothing_on_a_runner_that_has_shrunk():
    """Guards against a new owner that counts only what it has started itself."""

    async def scenario():
        async with run_cluster(members=3, runners=0) as cluster:
            add_unguarded(cluster, "r")
            owner = await cluster.owner()
            await anyio.sleep(1)
            lasting = await cluster.submit(make_job(1, make_step(2, 2.0, lasting=True)))
            batch = await submit_long(cluster, 2, make_step(2, 1.0))
            await cluster.wait_for(lasting, JobState.RUNNING, 2.0)
            await cluster.wait_for(batch, JobState.RUNNING, 2.0)
            await change_capacity(cluster, "r", SHRUNK["no processor left"])
            waiting = await cluster.submit(make_job(3, make_step(4, 1.0)))
            cluster.kill_member(owner)
            await anyio.sleep(8)
            assert not count_starts(cluster, waiting)
            assert count_starts(cluster, lasting) == count_starts(cluster, batch) == 2
            await change_capacity(cluster, "r", WHOLE)
            await cluster.wait_for(waiting, JobState.RUNNING, MAX_START_S)
            assert not cluster.records("stopped") + cluster.records("lapsed")
            check_runs(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("seed", range(12))
def test_starts_keep_to_capacities_that_change_all_the_time(seed):
    """Guards against what the other tests did not think of.

    Writes are slow, an order now and then gets no response, and the owner is killed.
    """

    async def scenario():
        generator = random.Random(seed)
        async with run_cluster(members=3, runners=0, seed=seed) as cluster:
            names = ("r", "s", "t")
            add_unguarded(cluster, *names)
            await cluster.owner()
            await anyio.sleep(1)
            for member in cluster.member_by_name.values():
                member.store.response_delay_s = 0.15
            jobs = []
            for number in range(1, 60):
                if number % 30 == 0:
                    cluster.kill_member(await cluster.owner())
                kind = generator.choice(["batch", "gang", "spare"])
                lasting = number in (5, 10)
                demand = Resources(
                    generator.choice([500, 2000, 3000]),
                    generator.choice([0, 1000, 60_000]),
                    generator.choice([0, 0, 1]),
                )
                fields = KINDS["lasting" if lasting else kind]
                if lasting:
                    demand = Resources(500, 1000, 0)
                step = make_step(generator.randint(1, 4), demand=demand, **fields)
                jobs.append((await cluster.submit(make_job(number, step)), lasting))
                name = generator.choice(names)
                for member in cluster.member_by_name.values():
                    link = member.link_by_runner.get(name)
                    if link is not None and generator.random() < 0.1:
                        link.lose_starts = 1
                share = generator.choice([0.0, 0.3, 0.6, 1.0, 1.0, 1.0])
                capacity = Resources(
                    round(WHOLE.processors_milli * share),
                    round(WHOLE.memory_mb * generator.choice([share, 1.0])),
                    round(WHOLE.accelerators * share),
                )
                await change_capacity(cluster, name, capacity)
                await anyio.sleep(generator.uniform(0.0, 0.4))
            for name in names:
                await change_capacity(cluster, name, WHOLE)
            for job, lasting in jobs:
                if lasting:
                    await cluster.wait_for(job, JobState.RUNNING, 60.0)
                else:
                    await cluster.wait_for(job, JobState.DONE, 60.0)
            check_runs(cluster)

    run_virtual(scenario)


def test_start_rejected_for_room_is_not_repeated_all_the_time():
    """Guards against a start that a runner rejects many times a second.

    The runner guards its capacity, which has shrunk before its row shows it. Each
    rejected start is charged and costs the owner a write.
    """

    async def scenario():
        async with run_cluster(runners=1, processors=8) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            runner = cluster.runner_by_id["runner-0"]
            runner.capacity = Resources(1000, 256_000, 0)
            job = await cluster.submit(make_job(1, make_step(1, 2.0)))
            await anyio.sleep(HEARTBEAT_S)
            cluster.list_runner("runner-0")
            await anyio.sleep(SEEN_S)
            assert 1 <= runner.rejected_for_room <= 4
            rejected = runner.rejected_for_room
            await anyio.sleep(5)
            assert runner.rejected_for_room == rejected
            runner.capacity = Resources(8000, 256_000, 0)
            cluster.list_runner("runner-0")
            await cluster.wait_for(job, JobState.RUNNING, MAX_START_S)
            check_runs(cluster)

    run_virtual(scenario)


def test_expected_headroom_follows_the_capacity():
    """Guards against spare tasks placed by the headroom of a larger runner.

    A task uses a larger share of a smaller runner, and disturbs more.
    """
    runner = make_runner(Resources(64_000, 0, 0))
    serving = make_step(1, 8.0, image="web", latency_target_ms=50, lasting=True)
    run_on(runner, 1, serving)
    run_on(runner, 2, make_step(1, 8.0, image="crunch", uses_spare=True))
    colocation = ColocationPolicy()
    large = colocation._expected_headrooms(runner)
    announce(runner, Resources(12_000, 0, 0))
    small = colocation._expected_headrooms(runner)
    assert small[0][0][1] < large[0][0][1]
    assert small[1][0][1] < large[1][0][1]
    announce(runner, Resources(64_000, 0, 0))
    assert colocation._expected_headrooms(runner) == large


def test_gang_is_not_placed_on_a_runner_over_its_capacity():
    """Guards against a gang on a runner that holds more memory than it has."""
    runner = make_runner()
    run_on(runner, 1, make_step(demand=HELD))
    step = make_step_run(count=2, processors=1.0, gang=True)
    assert place_gang(step, [runner]) == [runner, runner]
    announce(runner, SHRUNK["over in memory"])
    assert place_gang(step, [runner]) is None


@pytest.mark.parametrize(
    ("bound_runners", "expected"),
    [
        ({}, "aaab"),
        ({0: "b", 3: "b"}, "baab"),
        ({1: "a"}, "aaab"),
        ({0: "b", 1: "b", 2: "b", 3: "b"}, None),
        ({2: ""}, None),
    ],
)
def test_members_of_a_gang_are_placed_where_they_are_bound(bound_runners, expected):
    """Guards against a member beside a late run of it, and against too many on one."""
    runners = []
    for name, processors in (("a", 3), ("b", 2)):
        runners.append(make_runner(Resources(1000 * processors, 9999, 0), name))
    step = make_step_run(count=4, processors=1.0, gang=True)
    found = place_gang(step, runners, None, bound_runners)
    assert (found and "".join(runner.id for runner in found)) == expected


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("capacity", [Resources(), Resources(1000, 1000, 0)])
def test_decisions_bear_a_runner_that_is_far_over_its_capacity(capacity, kind):
    """Guards against errors by negative free resources or a capacity of 0."""
    runner = make_runner()
    run_on(runner, 1, make_step(demand=HELD, latency_target_ms=50, lasting=True))
    run_on(runner, 2, make_step(demand=HELD))
    run_on(runner, 3, make_step(1, 4.0, uses_spare=True, image="crunch"))
    announce(runner, capacity)
    colocation = ColocationPolicy()
    placement = PlacementPolicy(RunnerHealth(), colocation)
    step = make_step_run(processors=0.0, **KINDS[kind])
    assert not placement.fits(step, runner, 100.0, 0)
    assert placement.choose(step, 0, [runner], 1.0) is None
    assert place_gang(step, [runner]) is None
    if kind == "spare":
        placement._score(step.spec, runner)
        assert not colocation.allows(step.spec, runner, 100.0)
    colocation.learn(runner, 1.0)
    colocation.decide_paces(runner, 1.0)
    assert colocation.find_attempts_to_move(runner, [runner], 1.0) == []
    choose_evictions(step, [runner], {}, 1.0)


def test_no_more_long_running_tasks_where_all_capacity_is_gone():
    """Guards against an error by a fleet without any capacity."""
    headroom = BatchHeadroom()
    headroom.update({SERVICE: ServiceLoad(0, 2000, 1000)}, 1.0)
    assert not headroom.allows(SERVICE, 1000, 1.0)
