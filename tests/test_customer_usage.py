"""What a customer has allocated must equal what its attempts hold, at any time.

A sum that is too low lets a customer exceed its cap; one that is too high, or that
leaks, keeps its jobs waiting beside free runners.
"""

import anyio
import pytest

from flamingoweir.dispatch._customer_usage import CustomerUsage
from flamingoweir.dispatch._owner_state import OwnerState
from flamingoweir.fleet import MAX_LATENESS_S
from flamingoweir.jobs import JobSpec, Outcome, QueuePolicy, StepSpec
from flamingoweir.metrics import NoMetrics
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources
from tests.utils.virtual_time import VirtualClock, run_virtual

DEMAND = Resources(2000, 500, 1)
NOTHING = Resources()
ENTRY = RunnerEntry("r", 1, "s", "h:1", "z", capacity=Resources(64_000, 64_000, 64))


def make_spec(customer: str = "kaje80", **fields) -> JobSpec:
    step = StepSpec(2, DEMAND, **fields)
    return JobSpec("job", "queue", "", (step,), QueuePolicy("s"), customer=customer)


def add_attempts(owner_state: OwnerState, spec: JobSpec):
    """Add a job and an attempt at each of its tasks; return them and their runner."""
    owner_state.update_runners({"r": ENTRY})
    runner = owner_state.runner_by_id["r"]
    runner.incarnation = 1
    job = owner_state.add_job(spec)
    step = job.run_by_step[0, 0]
    if step.spec.gang:
        return job, owner_state.add_gang_attempts(step, [runner, runner]), runner
    attempts = [owner_state.add_attempt(step, index, runner) for index in range(2)]
    return job, attempts, runner


def run_with_owner(check) -> None:
    async def scenario():
        check(OwnerState(VirtualClock(), NoMetrics(), 10.0))

    run_virtual(scenario)


def end(owner_state, runner, attempt, outcome=Outcome.DONE) -> None:
    owner_state.end_attempt(runner, attempt.task, attempt.run, outcome, "")


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("uses_spare", [False, True])
def test_each_attempt_counts_in_full_until_its_end_and_once(gang, uses_spare):
    """Guards against a sum that misses spare processors or that ends reduce twice."""

    def check(owner_state):
        spec = make_spec(gang=gang, uses_spare=uses_spare)
        _, attempts, runner = add_attempts(owner_state, spec)
        usage = owner_state.customer_usage
        assert usage.used_by("kaje80") == DEMAND + DEMAND
        owner_state.stop_attempt(attempts[0], "test")
        assert usage.used_by("kaje80") == DEMAND + DEMAND
        end(owner_state, runner, attempts[0], Outcome.STOPPED)
        end(owner_state, runner, attempts[0], Outcome.STOPPED)
        owner_state.discard_attempt(attempts[0], "test")
        assert usage.used_by("kaje80") == DEMAND
        owner_state.discard_attempt(attempts[1], "test")
        assert usage.used_by("kaje80") == NOTHING

    run_with_owner(check)


@pytest.mark.parametrize("remove_job", ["exclude", "set_aside", "record_ended"])
def test_attempts_of_a_job_that_is_gone_count_until_they_end(remove_job):
    """Guards against usage that is lost, or never ends, with the job."""

    def check(owner_state):
        job, attempts, runner = add_attempts(owner_state, make_spec())
        if remove_job == "exclude":
            owner_state.exclude_job("job")
        if remove_job == "set_aside":
            owner_state.set_aside_job(job, "test_failed", ValueError())
        if remove_job == "record_ended":
            owner_state.record_ended_job("job", 0)
        usage = owner_state.customer_usage
        assert usage.used_by("kaje80") == DEMAND + DEMAND
        end(owner_state, runner, attempts[0], Outcome.STOPPED)
        assert usage.used_by("kaje80") == DEMAND
        owner_state.discard_attempt(attempts[1], "test")
        assert usage.used_by("kaje80") == NOTHING

    run_with_owner(check)


def test_next_owner_restores_the_same_sum():
    """Guards against a take-over after which a customer may exceed its cap."""

    def check(owner_state):
        job = owner_state.add_job(make_spec(uses_spare=True))
        for index in range(2):
            job.restore_attempt(job.run_by_step[0, 0], index, 1, "unlisted", 1)
        owner_state.restore_allocations(job)
        usage = owner_state.customer_usage
        assert usage.used_by("kaje80") == DEMAND + DEMAND
        owner_state.lapses.end_lapsed(owner_state.runner_by_id["unlisted"])
        assert usage.used_by("kaje80") == NOTHING

    run_with_owner(check)


@pytest.mark.parametrize("customer", ["", "kaje80"])
@pytest.mark.parametrize("ending", [Outcome.LAPSED, Outcome.STOPPED, "discard"])
def test_ended_attempt_counts_while_its_order_may_be_carried_out(customer, ending):
    """Guards against a late order that starts beside a full cap, and against a leak.

    An order without a response may start a run on the next incarnation of its runner,
    also one whose end or stop was reported. These are the attempts of `LateOrders`.
    """

    async def scenario():
        clock = VirtualClock()
        owner_state = OwnerState(clock, NoMetrics(), 10.0)
        _, attempts, runner = add_attempts(owner_state, make_spec(customer))
        usage = owner_state.customer_usage
        for allocation in list(runner.allocation_by_run.values()):
            usage.record_sent(allocation)
        runner.find(attempts[0].task, 1).record_unanswered_start(clock.now())
        for attempt in attempts:
            if ending == "discard":
                owner_state.discard_attempt(attempt, "not_listed")
            else:
                end(owner_state, runner, attempt, ending)
        assert len(owner_state.late_orders.find("r", clock.now())) == 1
        late = DEMAND if customer else NOTHING
        assert usage.used_by("kaje80") == late
        await anyio.sleep(MAX_LATENESS_S)
        usage.remove_expired(clock.now())
        assert usage.used_by("kaje80") == late
        await anyio.sleep(0.1)
        usage.remove_expired(clock.now())
        assert usage.used_by("kaje80") == NOTHING
        assert not usage._usage_by_customer
        assert not usage._unsent_by_customer

    run_virtual(scenario)


def test_late_orders_stop_counting_in_the_order_in_which_they_expire():
    """Guards against an order that counts for longer, or shorter, beside another one.

    The first attempt ends while another order to its runner, which may be one of its
    own, has no result yet: such an order may arrive long after the first one.
    """

    async def scenario():
        clock = VirtualClock()
        owner_state = OwnerState(clock, NoMetrics(), 10.0)
        _, attempts, runner = add_attempts(owner_state, make_spec())
        usage = owner_state.customer_usage
        for attempt in attempts:
            allocation = runner.find(attempt.task, attempt.run)
            allocation.record_unanswered_start(clock.now())
        await anyio.sleep(5.0)
        runner.unanswered_starts.record_sent()
        end(owner_state, runner, attempts[0])
        runner.unanswered_starts.record_result(True, clock.now())
        end(owner_state, runner, attempts[1])
        for passed_s, used in (
            (MAX_LATENESS_S - 5.0, DEMAND + DEMAND),
            (0.1, DEMAND),
            (4.9, DEMAND),
            (0.1, NOTHING),
        ):
            await anyio.sleep(passed_s)
            usage.remove_expired(clock.now())
            assert usage.used_by("kaje80") == used

    run_virtual(scenario)


def test_customers_without_allocations_take_no_memory():
    """Guards against a table that grows with every customer that ever had a job."""
    usage = CustomerUsage()
    usage.add("", DEMAND)
    usage.add("kaje80", DEMAND)
    usage.add("other", NOTHING)
    usage.remove("kaje80", DEMAND)
    usage.remove("", DEMAND)
    assert usage._usage_by_customer.keys() == {"other"}
    usage.remove("other", NOTHING)
    assert not usage._usage_by_customer
