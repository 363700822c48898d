"""Placement passes: which steps they skip, what they cost, when they give way.

A pass that skips too much leaves tasks waiting beside free runners; one that skips
too little tries a long backlog step by step and delays polls and orders.
"""

import asyncio
import dataclasses
import random
from types import SimpleNamespace

import anyio
import pytest

from flamingoweir.dispatch._committer import RENEW_INTERVAL_S
from flamingoweir.dispatch._owner_state import OwnerState
from flamingoweir.dispatch._planner import RESERVE_AFTER_S, Planner
from flamingoweir.dispatch._unplaced_steps import UnplacedSteps
from flamingoweir.fleet import Runner
from flamingoweir.jobs import Job, JobSpec, Outcome, QueuePolicy, StepSpec
from flamingoweir.metrics import NoMetrics
from flamingoweir.policy import (
    EVICT_AFTER_S,
    MAX_PLACEMENT_WAIT_S,
    PlacementPolicy,
    RunnerHealth,
)
from flamingoweir.policy._health import QUARANTINE_S
from flamingoweir.registry import UNLISTED_GRACE_S, RunnerEntry
from flamingoweir.resources import Resources
from tests.utils.virtual_time import VirtualClock, charge_calls, run_virtual

NOW_S = 100.0
#: Processor time of a slow instance, in seconds: to evaluate one runner for one task
#: (incident 0005: 11 ms for 246 runners) and to place one task beside that.
EVALUATION_S = 45e-6
PLACED_TASK_S = 200e-6
#: Longest time in seconds for which a pass may hold the event loop. A renewal is due
#: every `RENEW_INTERVAL_S`; a delay of a tenth, at each of the few turns that a write
#: takes, leaves the ownership valid.
MAX_HOLD_S = RENEW_INTERVAL_S / 10
#: Processor time of a slow instance, in seconds: to look at a job for ready steps, and
#: to collect a runner at the begin of a slice.
LOOK_S = 10e-6
COLLECTED_RUNNER_S = 5e-6


def make_step(processors: int, memory_mb: int = 0, waited_s: float = 0.5, **fields):
    demand = Resources(processors * 1000, memory_mb, 0)
    spec = JobSpec(
        "job", "queue", "", (StepSpec(2, demand, **fields),), QueuePolicy("s")
    )
    step = Job(spec).run_by_step[0, 0]
    step.unplaced_since_s = NOW_S - waited_s
    return step


def test_step_with_larger_demand_is_skipped():
    """Skip a step only if its demand covers that of an unplaced step."""
    unplaced = UnplacedSteps(NOW_S)
    unplaced.add(make_step(8, 100))
    assert unplaced.rules_out(make_step(9, 100))
    assert not unplaced.rules_out(make_step(7, 100))
    assert not unplaced.rules_out(make_step(9, 50))


def test_step_of_another_kind_is_tried():
    """Try a step with another image, or one that needs reserved processors."""
    unplaced = UnplacedSteps(NOW_S)
    unplaced.add(make_step(4, image="loud", uses_spare=True))
    assert unplaced.rules_out(make_step(4, image="loud", uses_spare=True))
    assert not unplaced.rules_out(make_step(4, image="quiet", uses_spare=True))
    assert not unplaced.rules_out(make_step(4, image="loud"))


def test_step_past_the_maximum_wait_is_tried():
    """Try a step past the maximum wait, which may run on more runners.

    Otherwise a step that has waited less, and may not disturb serving tasks, would
    keep the overdue step from being placed.
    """
    unplaced = UnplacedSteps(NOW_S)
    unplaced.add(make_step(4, image="loud", uses_spare=True))
    overdue = make_step(
        4, image="loud", uses_spare=True, waited_s=MAX_PLACEMENT_WAIT_S + 0.1
    )
    assert not unplaced.rules_out(overdue)


def test_step_with_own_constraints_rules_out_no_other():
    """Skip no step because of one with constraints of its own.

    Such a step may fail to be placed because of its limit per runner, its data rack or
    the runners on which its tasks failed, although resources are free.
    """
    unplaced = UnplacedSteps(NOW_S)
    unplaced.add(make_step(4, max_per_runner=1))
    unplaced.add(make_step(4, data_rack="r1"))
    failed = make_step(4)
    failed.tasks[0].failed_runners.add("runner")
    unplaced.add(failed)
    assert not unplaced.rules_out(make_step(4))


def test_absent_step_is_skipped_for_absent_ones_only():
    """Try a step with an absent task on the runners that new ones leave alone."""
    unplaced = UnplacedSteps(NOW_S)
    absent = make_step(4, lasting=True)
    absent.tasks[0].last_run = 1
    unplaced.add(make_step(4, lasting=True))
    assert not unplaced.rules_out(absent)
    unplaced.add(absent)
    assert unplaced.rules_out(absent)


def test_untried_step_is_tried():
    """Try a step once before it is skipped: its waiting time starts with the try."""
    unplaced = UnplacedSteps(NOW_S)
    unplaced.add(make_step(4))
    untried = make_step(4)
    untried.unplaced_since_s = None
    assert not unplaced.rules_out(untried)


def draw_step(generator: random.Random):
    """Return a step of one of few kinds that has waited, and may be absent."""
    step = make_step(
        generator.randint(1, 5), 100 * generator.randint(1, 5), lasting=True
    )
    step.tasks[0].last_run = generator.randrange(2)
    return step


@pytest.mark.parametrize("seed", range(100))
def test_steps_are_ruled_out_by_each_one_that_found_no_room(seed):
    """Guards against an unplaced step that counts no more beside another one."""
    generator = random.Random(seed)
    unplaced = UnplacedSteps(NOW_S)
    alone = []
    for _ in range(20):
        step = draw_step(generator)
        single = UnplacedSteps(NOW_S)
        single.add(step)
        alone.append(single)
        unplaced.add(step)
        other = draw_step(generator)
        expected = any(single.rules_out(other) for single in alone)
        assert unplaced.rules_out(other) is expected


def test_unplaced_step_is_compared_with_the_smallest_ones_only(monkeypatch):
    """Guards against passes that take as long as the square of the absent tasks."""
    compared = 0
    original = Resources.fits_in

    def fits_in(*args):
        nonlocal compared
        compared += 1
        return original(*args)

    unplaced = UnplacedSteps(NOW_S)
    for number in range(300):
        unplaced.add(make_step(8 - number % 2, 500 - number))
    monkeypatch.setattr(Resources, "fits_in", fits_in)
    assert not unplaced.rules_out(make_step(6))
    assert compared < 5


class Permission:
    """Stands in for the owner's permit; a test may withdraw it."""

    def __init__(self):
        self.valid = True
        self.forbidden_ids = set()

    def is_valid(self):
        return self.valid

    def allows_runner(self, runner):
        return runner.id not in self.forbidden_ids


def make_owner(runners: int, *steps: StepSpec, processors: int = 32):
    """Return a planner, its permission and its state: a job for each step."""
    clock = VirtualClock()
    owner_state = OwnerState(clock, NoMetrics(), 10.0)
    entry_by_id = {}
    for number in range(runners):
        capacity = Resources(processors * 1000, 100_000, 0)
        entry = RunnerEntry(f"r{number}", 1, "s", "host:1", "zone", capacity=capacity)
        entry_by_id[entry.id] = entry
    for runner in owner_state.update_runners(entry_by_id):
        runner.begin_incarnation(1, clock.now())
    for number, step in enumerate(steps):
        owner_state.add_job(
            JobSpec(f"job-{number}", "q", "", (step,), QueuePolicy("s"))
        )
    operators = SimpleNamespace(configuration=SimpleNamespace(version=1))
    context = SimpleNamespace(
        owner_state=owner_state,
        clock=clock,
        wall_ms=lambda: 1000 * clock.now(),
        operators=operators,
        metrics=NoMetrics(),
    )
    permission = Permission()
    return Planner(context, permission), permission, owner_state


def batch_spec(count: int, processors: int = 1, **fields) -> StepSpec:
    return StepSpec(count, Resources(processors * 1000, 1000, 0), **fields)


@pytest.fixture
def charge(monkeypatch):
    """Return a function that counts calls and charges them to the virtual clock."""

    def start(evaluation_s: float, placed_task_s: float) -> dict[str, int]:
        counts = {"fits": 0, "_score": 0, "add_attempt": 0}

        def wrap(owner, name, cost_s):
            original = getattr(owner, name)

            def charged(*args, **kwargs):
                counts[name] += 1
                asyncio.get_running_loop().virtual_s += cost_s
                return original(*args, **kwargs)

            monkeypatch.setattr(owner, name, charged)

        wrap(PlacementPolicy, "fits", evaluation_s)
        wrap(PlacementPolicy, "_score", 0.0)
        wrap(OwnerState, "add_attempt", placed_task_s)
        return counts

    return start


def test_long_placement_pass_does_not_block_renewal_of_the_ownership(charge):
    """Guards against a pass during which the owner can't renew its ownership.

    Another instance then takes the shard, finds as much waiting work, and loses the
    shard in the same way.
    """
    counts = charge(EVALUATION_S, PLACED_TASK_S)

    async def scenario():
        planner, _, owner_state = make_owner(
            246, *(batch_spec(10) for _ in range(60)), batch_spec(400)
        )
        longest_s = 0.0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(planner.run)
            turned_s = anyio.current_time()
            while counts["add_attempt"] < 1000:
                await anyio.sleep(0.001)
                longest_s = max(longest_s, anyio.current_time() - turned_s)
                turned_s = anyio.current_time()
                assert turned_s < 1060, "not all tasks were placed within a minute"
            tasks.cancel_scope.cancel()
        assert len(owner_state.pending_starts) == 1000
        assert longest_s < MAX_HOLD_S

    run_virtual(scenario)


def test_placing_a_step_evaluates_each_runner_once_and_once_for_each_task(charge):
    """Guards against a cost of runners times tasks, which a large fleet can't bear."""
    counts = charge(0.0, 0.0)

    async def scenario():
        runners, tasks_of_step = 246, 300
        planner, _, _ = make_owner(runners, batch_spec(tasks_of_step))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(planner.run)
            await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        assert counts["add_attempt"] == tasks_of_step
        assert runners <= counts["fits"] <= runners + tasks_of_step
        assert runners <= counts["_score"] <= runners + tasks_of_step

    run_virtual(scenario)


@pytest.fixture
def looks(monkeypatch):
    """Return a list of the runners on which was read what is free, in order."""
    looks = []

    class CountedRunner(Runner):
        @property
        def free_resources(self):
            looks.append(self)
            return self._free

        @free_resources.setter
        def free_resources(self, free):
            self._free = free

    monkeypatch.setattr("flamingoweir.dispatch._owner_state.Runner", CountedRunner)
    return looks


def fill_with_batch(owner_state: OwnerState, runners: int) -> None:
    """Fill runners of 4 processors with tasks of the first job, of one each."""
    batch = owner_state.job_by_id["job-0"].run_by_step[0, 0]
    for index in range(4 * runners):
        runner = owner_state.runner_by_id[f"r{index % runners}"]
        owner_state.add_attempt(batch, index, runner)


def test_steps_look_at_runners_with_room_only(looks):
    """Guards against a cost of runners times steps after the loss of a zone."""

    async def scenario():
        runners, steps = 300, 150
        specs = [StepSpec(1, Resources(1000, 1000 - n, 0)) for n in range(steps)]
        planner, _, owner_state = make_owner(
            runners, batch_spec(4 * (runners - 1)), *specs, processors=4
        )
        fill_with_batch(owner_state, runners - 1)
        looks.clear()
        await planner.plan()
        last = owner_state.runner_by_id[f"r{runners - 1}"]
        assert len(last.allocation_by_run) == 4
        assert len(looks) < 2 * runners

    run_virtual(scenario)


def test_reservations_look_at_the_runners_with_most_room_only(looks):
    """Guards against a look at all runners for each runner that is kept free."""

    async def scenario():
        runners = 300
        specs = [batch_spec(1, 2, image=f"image-{n}") for n in range(4)]
        planner, _, owner_state = make_owner(
            runners, batch_spec(4 * runners), *specs, processors=4
        )
        fill_with_batch(owner_state, runners)
        await planner.plan()
        await anyio.sleep(RESERVE_AFTER_S + 0.1)
        looks.clear()
        await planner.plan()
        assert len(planner._runner_by_step) == 4
        assert len(looks) < 4 * runners

    run_virtual(scenario)


def test_slice_asks_for_the_health_of_quarantined_runners_only(monkeypatch):
    """Guards against slices that are spent on collecting a large fleet of runners."""
    asked = set()
    original = RunnerHealth.is_usable

    def is_usable(self, runner, now_s):
        asked.add(runner.id)
        return original(self, runner, now_s)

    monkeypatch.setattr(RunnerHealth, "is_usable", is_usable)

    async def scenario():
        planner, _, owner_state = make_owner(300, batch_spec(10))
        owner_state.health.record_fault("r7", planner._context.clock.now())
        await planner.plan()
        assert len(owner_state.pending_starts) == 10
        assert asked == {"r7"}

    run_virtual(scenario)


def run_with_changes(charge, change, *steps: StepSpec) -> OwnerState:
    """Run a planner for a second; apply a change once it has placed 30 tasks."""
    counts = charge(EVALUATION_S, PLACED_TASK_S)

    async def scenario():
        planner, permission, owner_state = make_owner(100, *steps)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(planner.run)
            while counts["add_attempt"] < 30:
                await anyio.sleep(0.001)
            owner_state.placed_before = len(owner_state.pending_starts)
            change(permission, owner_state)
            await anyio.sleep(1.0)
            tasks.cancel_scope.cancel()
        return owner_state

    owner_state = run_virtual(scenario)
    reserved = {}
    for attempt in owner_state.pending_starts:
        step = owner_state.job_by_id[attempt.task.job].run_by_step[0, 0]
        assert attempt.task.index not in step.open_indexes
        assert len(step.tasks[attempt.task.index].attempt_by_run) == 1
        reserved[attempt.runner] = reserved.get(attempt.runner, 0) + 1
    for runner in owner_state.runner_by_id.values():
        assert len(runner.allocation_by_run) == reserved.get(runner.id, 0)
        assert Resources().fits_in(runner.free_resources)
    assert owner_state.placed_before < 400, "the pass didn't give way"
    return owner_state


def test_pass_places_nothing_after_the_permit_is_withdrawn(charge):
    """Guards against starts by an owner that lost its permit during a pass."""

    def change(permission, owner_state):
        permission.valid = False

    owner_state = run_with_changes(charge, change, batch_spec(400))
    assert len(owner_state.pending_starts) == owner_state.placed_before


def test_pass_places_nothing_on_runners_that_are_forbidden_or_gone_meanwhile(charge):
    """Guards against starts where a runner drains, left, or came back as another one.

    A task that is placed on an object that is no longer known would never be started.
    """
    replaced = []

    def change(permission, owner_state):
        permission.forbidden_ids |= {f"r{n}" for n in range(90)}
        runner = owner_state.runner_by_id.pop("r95")
        replaced.append((runner, len(runner.allocation_by_run)))
        free = [r for r in owner_state.runner_by_id.values() if not r.has_attempts]
        replaced.extend((r, 0) for r in free if r.id in permission.forbidden_ids)

    owner_state = run_with_changes(charge, change, batch_spec(400))
    assert len(replaced) > 1
    for runner, count in replaced:
        assert len(runner.allocation_by_run) == count
    late = owner_state.pending_starts[owner_state.placed_before :]
    assert late
    assert {a.runner for a in late} <= {f"r{n}" for n in range(90, 100)} - {"r95"}


def test_pass_places_nothing_of_a_job_that_is_cancelled_meanwhile(charge):
    """Guards against starts of a job that was cancelled during the pass."""

    def change(_, owner_state):
        owner_state.cancel_job("job-0")

    owner_state = run_with_changes(charge, change, batch_spec(300), batch_spec(100))
    late = owner_state.pending_starts[owner_state.placed_before :]
    assert len(late) == 100
    assert {a.task.job for a in late} == {"job-1"}


def test_resources_freed_or_taken_during_a_pass_are_counted(charge):
    """Guards against two tasks in one place, and against places that stay empty."""

    def change(_, owner_state):
        for number in range(50):
            runner = owner_state.runner_by_id[f"r{number}"]
            while runner.free_resources.processors_milli >= 8000:
                step = owner_state.job_by_id["job-1"].run_by_step[0, 0]
                owner_state.add_attempt(step, min(step.open_indexes), runner)

    owner_state = run_with_changes(
        charge, change, batch_spec(800, 4), batch_spec(400, 8)
    )
    full = sum(
        1
        for runner in owner_state.runner_by_id.values()
        if runner.free_resources.processors_milli == 0
    )
    assert full == 100


def test_gang_is_placed_whole(charge):
    """Guards against a gang of which a part waits while the pass gives way."""
    owner_state = run_with_changes(
        charge,
        lambda permission, owner_state: None,
        batch_spec(300),
        batch_spec(40, gang=True),
        batch_spec(4000, gang=True),
    )
    by_job = {}
    for attempt in owner_state.pending_starts:
        by_job[attempt.task.job] = by_job.get(attempt.task.job, 0) + 1
    assert by_job == {"job-0": 300, "job-1": 40}


def unplaceable_specs(count: int) -> list[StepSpec]:
    """Return steps of distinct kinds that fit on no runner; each has to be tried."""
    demand = Resources(1000, 1_000_000, 0)
    return [StepSpec(1, demand, image=f"image-{n}") for n in range(count)]


@pytest.mark.parametrize("arrival_s", [0.21, 0.33, 0.47, 0.62])
def test_urgent_step_starts_within_a_tenth_of_a_second_beside_a_backlog(
    charge, arrival_s
):
    """Guards against an urgent step that waits for the end of a long pass.

    A tenth of a second is allowed until the step is seen, and half of that for the
    steps that are being tried and for its own.
    """
    counts = charge(EVALUATION_S, PLACED_TASK_S)

    async def scenario():
        planner, _, owner_state = make_owner(246, *unplaceable_specs(60))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(planner.run)
            await anyio.sleep(arrival_s)
            urgent = JobSpec(
                "urgent", "q", "", (batch_spec(1),), QueuePolicy("s", priority=-1)
            )
            arrived_s = anyio.current_time()
            owner_state.add_job(urgent)
            while not counts["add_attempt"]:
                await anyio.sleep(0.001)
                assert anyio.current_time() - arrived_s < 0.15
            tasks.cancel_scope.cancel()

    run_virtual(scenario)


def test_futile_passes_take_at_most_half_of_the_time(charge):
    """Guards against an owner that mostly tries steps that found no runner before.

    The planner is woken all the time, as in a shard in which tasks end.
    """
    counts = charge(EVALUATION_S, 0.0)
    seconds = 10.0

    async def scenario():
        planner, _, owner_state = make_owner(246, *unplaceable_specs(7))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(planner.run)
            ends_s = anyio.current_time() + seconds
            while anyio.current_time() < ends_s:
                owner_state.placement_wakeup.set()
                await anyio.sleep(0.001)
            tasks.cancel_scope.cancel()
        assert 0 < counts["fits"] * EVALUATION_S <= seconds / 2

    run_virtual(scenario)


def test_step_behind_many_that_fit_nowhere_is_tried(charge):
    """Guards against a pass that ends, and starts anew, before the last steps' turn.

    Trying 38 steps takes a slow instance longer than `MAX_PASS_S`.
    """
    counts = charge(EVALUATION_S, PLACED_TASK_S)

    async def scenario():
        planner, _, _ = make_owner(246, *unplaceable_specs(38), batch_spec(1))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(planner.run)
            await anyio.sleep(5.0)
            tasks.cancel_scope.cancel()
        assert counts["add_attempt"] == 1

    run_virtual(scenario)


#: Number of jobs that a slow instance takes some seconds to place, in one pass.
BACKLOG_JOBS = 4_000
#: Longest time in seconds until a task is placed that has become open, or for which
#: there is room, during such a pass: the time between two searches and a margin.
MAX_IN_PASS_S = 0.3


def add_backlog(owner_state) -> None:
    """Add many jobs of one task that needs no processors."""
    spec = StepSpec(1, Resources(0, 1, 0))
    for number in range(BACKLOG_JOBS):
        owner_state.add_job(
            JobSpec(f"backlog-{number}", "q", "", (spec,), QueuePolicy("s"))
        )


async def change_during_long_pass(planner, owner_state, change) -> None:
    """Run a planner with a backlog, change something, and wait `MAX_IN_PASS_S`."""
    add_backlog(owner_state)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(planner.run)
        await anyio.sleep(0.3)
        change()
        await anyio.sleep(MAX_IN_PASS_S)
        assert 0 < len(owner_state.pending_starts) < BACKLOG_JOBS, "no long pass"
        tasks.cancel_scope.cancel()


def test_absent_task_is_placed_as_there_is_room_during_a_long_pass(charge):
    """Guards against an absent task that is tried once in a pass of half a minute.

    Seen on tomen-dail-large: a long-running task that failed runs again after 16 s.
    """
    charge(EVALUATION_S, PLACED_TASK_S)

    async def scenario():
        lasting = batch_spec(1, 31, lasting=True)
        blocker = batch_spec(4, 2, max_per_runner=1)
        planner, _, owner_state = make_owner(4, lasting, blocker)
        runners = list(owner_state.runner_by_id.values())
        absent = owner_state.job_by_id["job-0"].run_by_step[0, 0]
        failed = owner_state.add_attempt(absent, 0, runners[0])
        owner_state.end_attempt(runners[0], failed.task, 1, Outcome.FAILED, "")
        blocked = owner_state.job_by_id["job-1"].run_by_step[0, 0]
        for index, runner in enumerate(runners):
            owner_state.add_attempt(blocked, index, runner)

        def make_room():
            task = blocked.task_id(2)
            owner_state.end_attempt(runners[2], task, 1, Outcome.DONE, "")

        await change_during_long_pass(planner, owner_state, make_room)
        assert list(absent.tasks[0].attempt_by_run) == [2]

    run_virtual(scenario)


def test_task_of_an_unlisted_runner_is_placed_during_a_long_pass(charge, monkeypatch):
    """Guards against leases that lapse only once a long pass has ended.

    The runner is not listed in this term, so that no poll finds that they have lapsed.
    """
    charge(EVALUATION_S, PLACED_TASK_S)
    lapsed_ids = set()
    monkeypatch.setattr(Runner, "leases_lapsed", lambda self, _: self.id in lapsed_ids)

    async def scenario():
        planner, _, owner_state = make_owner(4, batch_spec(1, lasting=True))
        job = owner_state.job_by_id["job-0"]
        step = job.run_by_step[0, 0]
        step.open_indexes.discard(0)
        step.tasks[0].last_run = 1
        job.restore_attempt(step, 0, 1, "gone", 1)
        owner_state.restore_allocations(job)
        # An entry may be missing for as long.
        await anyio.sleep(UNLISTED_GRACE_S)

        await change_during_long_pass(
            planner, owner_state, lambda: lapsed_ids.add("gone")
        )
        assert list(step.tasks[0].attempt_by_run) == [2]

    run_virtual(scenario)


@pytest.mark.parametrize("unlisted", [False, True], ids=["listed", "unlisted"])
def test_new_lasting_tasks_leave_the_room_of_a_lost_runner(unlisted):
    """Guards against new long-running tasks that take what absent ones will need.

    A runner is lost, and the next life of its machine is empty. The tasks of the former
    one can't be started elsewhere yet, as its leases have not lapsed.
    """

    async def scenario():
        old = batch_spec(8, 10, lasting=True)
        new = batch_spec(8, 10, lasting=True)
        planner, permission, owner_state = make_owner(5, old, new, processors=20)
        runners = list(owner_state.runner_by_id.values())
        steps = [job.run_by_step[0, 0] for job in owner_state.job_by_id.values()]
        for index in range(8):
            owner_state.add_attempt(steps[0], index, runners[index // 2])
        now_s = anyio.current_time()
        runners[0].record_no_response(now_s)
        if unlisted:
            permission.forbidden_ids.add("r0")
            runners[0].leaving = True
        # The fifth runner is the next life of the first one's machine.
        await planner.plan()
        assert len(steps[1].open_indexes) == 8
        for index in range(2):
            owner_state.end_attempt(
                runners[0], steps[0].task_id(index), 1, Outcome.LAPSED, ""
            )
        await planner.plan()
        assert not steps[0].open_indexes
        assert len(steps[1].open_indexes) == 8

    run_virtual(scenario)


def test_absent_tasks_keep_each_other_out_of_room_that_both_have():
    """Guards against two tasks for which room was made on one runner, and neither runs.

    Seen on tomen-dail: both are away for ten seconds.
    """

    async def scenario():
        absent = batch_spec(1, 4, lasting=True)
        planner, _, owner_state = make_owner(
            1, absent, absent, batch_spec(4, 2), processors=8
        )
        (runner,) = owner_state.runner_by_id.values()
        steps = [job.run_by_step[0, 0] for job in owner_state.job_by_id.values()]
        for step in steps[:2]:
            owner_state.record_start(owner_state.add_attempt(step, 0, runner))
            lapsed = step.task_id(0), 1, Outcome.LAPSED
            owner_state.end_attempt(runner, *lapsed, "")
        for index in range(4):
            owner_state.record_start(owner_state.add_attempt(steps[2], index, runner))
        await anyio.sleep(1.0)
        await planner.plan()
        await anyio.sleep(EVICT_AFTER_S + 0.1)
        await planner.plan()
        assert len(owner_state.stops.pending) == 4
        for attempt in owner_state.stops.pending:
            stopped = attempt.task, attempt.run, Outcome.STOPPED
            owner_state.end_attempt(runner, *stopped, "")
        await planner.plan()
        assert not steps[0].open_indexes
        assert not steps[1].open_indexes

    run_virtual(scenario)


@pytest.mark.parametrize("batch", [False, True], ids=["absent", "batch"])
def test_room_made_for_an_absent_task_is_not_taken_by_another_one(batch):
    """Guards against a large absent task whose room a smaller one or batch takes.

    What long-running tasks take can't be evicted again. Seen on tomen-dail: room is
    made for both, the smaller one takes the larger one's, and that waits for 10 s.
    """

    async def scenario():
        small = batch_spec(1, 4, lasting=True)
        large = batch_spec(1, 8, lasting=True)
        planner, _, owner_state = make_owner(
            3,
            small,
            large,
            batch_spec(4, 2),
            batch_spec(1, 4, lasting=True),
            batch_spec(1, 4),
            batch_spec(1, 5, gang=True),
            processors=8,
        )
        first, second, third = owner_state.runner_by_id.values()
        steps = [job.run_by_step[0, 0] for job in owner_state.job_by_id.values()]

        def run(step, index, runner):
            attempt = owner_state.add_attempt(step, index, runner)
            owner_state.record_start(attempt)

        def end(step, index, runner, outcome):
            owner_state.end_attempt(runner, step.task_id(index), 1, outcome, "")

        for step in steps[:2]:
            run(step, 0, first)
            end(step, 0, first, Outcome.LAPSED)
        for index in range(4):
            run(steps[2], index, first)
        run(steps[3], 0, second)
        # Of all runners, it has the most room until two tasks on the first have ended.
        run(steps[5], 0, third)
        await anyio.sleep(1.0)
        # The youngest is evicted first.
        run(steps[4], 0, second)
        await planner.plan()
        await anyio.sleep(EVICT_AFTER_S + 0.1)
        await planner.plan()
        stops = {str(attempt.task)[:5] for attempt in owner_state.stops.pending}
        assert stops == {"job-2", "job-4"}
        owner_state.cancel_job("job-2")
        owner_state.cancel_job("job-4")
        if batch:
            spec = JobSpec("more", "q", "", (batch_spec(9, 2),), QueuePolicy("s"))
            owner_state.add_job(spec)
            # It has a runner kept free for it, too.
            owner_state.cancel_job("job-0")
        for index in range(4):
            end(steps[2], index, first, Outcome.STOPPED)
            await planner.plan()
        end(steps[4], 0, second, Outcome.STOPPED)
        await planner.plan()
        assert steps[1].tasks[0].attempt_by_run[2].runner == first.id
        if not batch:
            assert steps[0].tasks[0].attempt_by_run[2].runner == second.id

    run_virtual(scenario)


def test_runner_after_its_quarantine_gets_tasks_of_one_step():
    """Guards against a faulty runner that gets the tasks of many jobs as a probe."""

    async def scenario():
        planner, _, owner_state = make_owner(1, batch_spec(2), batch_spec(2))
        owner_state.health.record_fault("r0", anyio.current_time())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(planner.run)
            await anyio.sleep(1.0)
            assert not owner_state.pending_starts
            await anyio.sleep(QUARANTINE_S)
            tasks.cancel_scope.cancel()
        assert {a.task.job for a in owner_state.pending_starts} == {"job-0"}

    run_virtual(scenario)


def test_pass_places_nothing_of_a_later_job_that_is_cancelled_meanwhile(charge):
    """Guards against starts of a job that was cancelled before its turn in the pass."""

    def change(_, owner_state):
        owner_state.cancel_job("job-1")

    owner_state = run_with_changes(charge, change, batch_spec(60), batch_spec(100))
    assert {a.task.job for a in owner_state.pending_starts} == {"job-0"}


def test_pass_places_no_task_that_was_reported_done_meanwhile(charge):
    """Guards against a second run of a task whose earlier run has ended as done."""
    done = []

    def change(_, owner_state):
        job = owner_state.job_by_id["job-0"]
        step = job.run_by_step[0, 0]
        for index in sorted(step.open_indexes)[-20:]:
            done.append(index)
            runner = owner_state.runner_by_id["r0"]
            owner_state.end_attempt(runner, step.task_id(index), 1, Outcome.DONE, "")

    owner_state = run_with_changes(charge, change, batch_spec(300))
    placed = {a.task.index for a in owner_state.pending_starts}
    assert len(done) == 20
    assert not placed & set(done)


def count_placed(runners: int, running_jobs: int) -> int:
    """Return how many of ten tasks are placed in ten seconds beside other jobs."""

    async def scenario():
        planner, _, owner_state = make_owner(runners, *[batch_spec(1)] * 10)
        for number in range(running_jobs):
            spec = JobSpec(f"run-{number}", "q", "", (batch_spec(1),), QueuePolicy("s"))
            owner_state.add_job(spec).run_by_step[0, 0].open_indexes.clear()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(planner.run)
            await anyio.sleep(10)
            tasks.cancel_scope.cancel()
        return len(owner_state.pending_starts)

    return run_virtual(scenario)


def test_tasks_are_placed_beside_many_running_jobs(charge, monkeypatch):
    """Guards against an owner of many jobs that starts nothing any more.

    A pass lasts for half a second from before its search for steps. After a longer
    search it ended before the first step, and so did the next pass.
    """
    charge(EVALUATION_S, PLACED_TASK_S)
    charge_calls(monkeypatch, Job, "open_due", LOOK_S)
    assert count_placed(246, 40_000) == 10


def test_tasks_are_placed_on_a_large_fleet(charge, monkeypatch):
    """Guards against a slice that is used up by collecting the runners.

    The search then looked at one job a slice: fifty running jobs made it longer than a
    pass may last.
    """
    charge(EVALUATION_S, PLACED_TASK_S)
    charge_calls(monkeypatch, Permission, "allows_runner", COLLECTED_RUNNER_S)
    assert count_placed(2_800, 50) == 10


def test_lasting_task_is_placed_before_late_steps_that_fit_nowhere():
    """Guards against an absent long-running task that waits beside a free runner.

    A pass ends after `MAX_UNPLACED_STEPS` steps without a runner.
    """

    async def scenario():
        lasting = batch_spec(1, lasting=True)
        planner, _, owner_state = make_owner(4, *unplaceable_specs(60), lasting)
        for job in owner_state.job_by_id.values():
            job.accepted_s -= 1.0
        await planner.plan()
        assert {a.task.job for a in owner_state.pending_starts} == {"job-60"}

    run_virtual(scenario)


def test_lasting_steps_that_fit_nowhere_do_not_end_a_pass():
    """Guards against batch that waits beside a free runner, as nothing else fits."""

    async def scenario():
        specs = [
            dataclasses.replace(spec, lasting=True) for spec in unplaceable_specs(60)
        ]
        planner, _, owner_state = make_owner(4, *specs, batch_spec(1))
        await planner.plan()
        assert {a.task.job for a in owner_state.pending_starts} == {"job-60"}

    run_virtual(scenario)


@pytest.mark.parametrize(
    "hopeless", [{"label": "no-such"}, {"processors": 1_000_000}], ids=["label", "size"]
)
def test_steps_that_no_runner_can_take_hold_up_no_others(hopeless):
    """Guards against a job of many such steps, after which each pass ended.

    They are more urgent than the others, as they have waited for longer.
    """

    async def scenario():
        planner, _, owner_state = make_owner(2)
        steps = [batch_spec(1, **hopeless) for _ in range(200)]
        owner_state.add_job(JobSpec("first", "q", "", tuple(steps), QueuePolicy("s")))
        await anyio.sleep(0.1)
        owner_state.add_job(
            JobSpec("second", "q", "", (batch_spec(3),), QueuePolicy("s"))
        )
        await planner.plan()
        return [attempt.task.job for attempt in owner_state.pending_starts]

    assert run_virtual(scenario) == ["second"] * 3
