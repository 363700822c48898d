"""A large step must not wait for as long as its customer has smaller tasks."""

import anyio
import pytest

from flamingoweir.dispatch._cap_precedence import MAX_BELOW_HALF_S, PRECEDENCE_AFTER_S
from flamingoweir.jobs import JobSpec, Outcome, QueuePolicy, StepSpec
from flamingoweir.resources import Resources
from tests.test_caps import ONE, run_owner

#: Seconds that a small task runs.
RUN_S = 1.0
#: Seconds that a large step may wait: those until others leave room, a run of each
#: small task, and a margin for passes.
MAX_WAIT_S = PRECEDENCE_AFTER_S + RUN_S + 0.5
LARGE = StepSpec(1, Resources(6000, 0, 0))
GANG = StepSpec(6, ONE, gang=True)


async def play(owner, duration_s: float, is_done=lambda: False) -> float:
    """Run passes and end tasks after `RUN_S`; return the seconds until `is_done`."""
    started_s = owner.clock.now()
    while owner.clock.now() - started_s < duration_s and not is_done():
        for allocation in list(owner.runner.allocation_by_run.values()):
            attempt = allocation.attempt
            is_over = owner.clock.now() - attempt.created_s > RUN_S - 0.01
            if is_over and not allocation.spec.lasting:
                owner.state.end_attempt(
                    owner.runner, attempt.task, attempt.run, Outcome.DONE, ""
                )
        await owner.planner.plan()
        # Ends are spread over time.
        await anyio.sleep(0.1)
    return owner.clock.now() - started_s


async def start_small(owner) -> None:
    """Let small tasks run that end one after another, and others wait."""
    for number in range(10):
        owner.add(number, StepSpec(1, ONE))
        await play(owner, 0.1)
    for number in range(10, 800):
        owner.add(number, StepSpec(1, ONE, estimate_s=1.0))


@pytest.mark.parametrize("spec", [LARGE, GANG])
def test_large_step_starts_though_small_ones_wait(spec):
    """Guards against a large step that waits until 800 small tasks have run."""

    async def scenario(owner):
        await start_small(owner)
        large = owner.add(1000, spec)
        waited_s = await play(owner, 20.0, lambda: not large.open_indexes)
        assert PRECEDENCE_AFTER_S < waited_s < MAX_WAIT_S
        await play(owner, 0.2)
        assert owner.running() > 1, "small tasks go on beside it"

    run_owner(scenario)


def test_steps_of_a_higher_priority_and_equal_ones_leave_no_room():
    """Guards against an order within a customer that differs without need."""

    async def scenario(owner):
        await start_small(owner)
        await play(owner, 2 * PRECEDENCE_AFTER_S)
        assert not owner.planner._caps._precedence._first_by_customer
        policy = QueuePolicy("s", priority=1)
        spec = JobSpec("large", "q", "", (LARGE,), policy, customer="kaje80")
        large = owner.state.add_job(spec).run_by_step[0, 0]
        for _ in range(50):
            await play(owner, 0.1)
            assert owner.running() >= 9
        assert large.open_indexes

    run_owner(scenario)


def test_others_start_while_a_gang_cannot_fit():
    """Guards against jobs that wait beside a cap of which less than half is in use.

    Long-running tasks never end, so that the gang waits for as long as they run.
    """

    async def scenario(owner):
        owner.add(1, StepSpec(3, ONE, lasting=True))
        await play(owner, 0.1)
        gang = owner.add(2, StepSpec(8, ONE, gang=True))
        for number in range(3, 60):
            owner.add(number, StepSpec(1, ONE))
        longest_s = unstarted_s = 0.0
        runs = 0
        for _ in range(100):
            await play(owner, 0.1)
            has_small = owner.running() > 3
            runs += has_small
            unstarted_s = 0.0 if has_small else unstarted_s + 0.1
            longest_s = max(longest_s, unstarted_s)
        assert gang.open_indexes
        assert runs
        assert longest_s < MAX_BELOW_HALF_S + 0.5

    run_owner(scenario)


def test_gang_above_a_lowered_cap_keeps_no_other_step_waiting():
    """Guards against a customer whose jobs all wait for a cap that is never raised."""

    async def scenario(owner):
        owner.add(1000, StepSpec(11, ONE, gang=True))
        await start_small(owner)
        for _ in range(50):
            await play(owner, 0.1)
            assert owner.running() >= 9

    run_owner(scenario)
