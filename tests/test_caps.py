"""Caps: what they let start, what a pass does with steps that they hold back."""

import asyncio
import dataclasses
import io
from types import SimpleNamespace

import anyio
import pytest

from flamingoweir import logs
from flamingoweir.customers import Customer
from flamingoweir.dispatch._cap_withdrawals import may_send_start
from flamingoweir.dispatch._committer import Committer
from flamingoweir.dispatch._owner_state import OwnerState
from flamingoweir.dispatch._planner import (
    COLLECT_INTERVAL_S,
    MAX_PASS_S,
    MAX_UNPLACED_STEPS,
    RESERVE_AFTER_S,
    Planner,
)
from flamingoweir.dispatch._protocols import StartResult
from flamingoweir.dispatch._unplaced_steps import UnplacedSteps
from flamingoweir.errors import ErrorCode, FlamingoweirError, Verdict
from flamingoweir.fleet import MAX_LATENESS_S
from flamingoweir.jobs import (
    AttemptState,
    JobSpec,
    JobState,
    Outcome,
    QueuePolicy,
    StepSpec,
)
from flamingoweir.metrics import NoMetrics
from flamingoweir.policy import allows_gang, allows_task
from flamingoweir.registry import Configuration, RunnerEntry
from flamingoweir.resources import Resources
from flamingoweir.standins import MemoryRunnerLink
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import VirtualClock, run_virtual

CAP = Resources(10_000, 0, 0)
ONE = Resources(1000, 100, 0)


@pytest.mark.parametrize(
    ("used", "demand", "allowed"),
    [
        (Resources(9000, 0, 0), Resources(1000, 0, 0), True),
        (Resources(9001, 0, 0), Resources(1000, 0, 0), False),
        (Resources(4999, 0, 0), Resources(20_000, 0, 0), True),
        (Resources(5000, 0, 0), Resources(5001, 0, 0), False),
        (Resources(50_000, 0, 0), Resources(0, 1, 1), False),
        (Resources(0, 10**9, 10**9), Resources(1, 10**9, 10**9), True),
    ],
)
def test_task_starts_under_its_cap_or_below_half_of_it(used, demand, allowed):
    """Guards against a sum beyond cap and one task, and a large task that never runs.

    A cap of 0 in a resource is none.
    """
    assert allows_task(CAP, used, demand) is allowed


def test_cap_of_any_resource_holds():
    """Guards against a customer that exceeds its cap in memory or accelerators."""
    for cap, demand in (
        (Resources(0, 100, 0), Resources(0, 60, 0)),
        (Resources(0, 0, 10), Resources(0, 0, 6)),
    ):
        assert allows_task(cap, Resources(), demand)
        assert not allows_task(cap, demand, demand)


def test_gang_starts_only_as_a_whole_under_the_cap():
    """Guards against a gang that exceeds the cap by more than one task."""
    gang = StepSpec(5, Resources(2000, 0, 0), gang=True)
    assert allows_gang(CAP, Resources(), gang)
    assert not allows_gang(CAP, Resources(1, 0, 0), gang)
    assert not allows_gang(Resources(9999, 0, 0), Resources(), gang)


@pytest.fixture
def log_lines():
    """Return a function that returns the lines logged so far about caps."""
    stream = io.StringIO()
    logs.configure(stream, "info")

    def find() -> list[str]:
        return [line for line in stream.getvalue().splitlines() if "event=cap_" in line]

    yield find
    logs.configure(io.StringIO(), "error")


class Owner:
    """A planner over runners with room for everything unless a test fills them."""

    def __init__(self, cap: Resources | None = CAP, processors: int = 64):
        clock = self.clock = VirtualClock()
        self.state = OwnerState(clock, NoMetrics(), 10.0)
        capacity = Resources(processors * 1000, 100_000, 0)
        entry = RunnerEntry("r", 1, "s", "host:1", "zone", capacity=capacity)
        for runner in self.state.update_runners({"r": entry}):
            runner.begin_incarnation(1, clock.now())
        self.runner = self.state.runner_by_id["r"]
        self.operators = SimpleNamespace(configuration=None)
        self.configure(cap)
        self.context = SimpleNamespace(
            owner_state=self.state,
            clock=clock,
            wall_ms=lambda: 1000 * clock.now(),
            operators=self.operators,
            operator_follower=SimpleNamespace(last_synced_s=clock.now()),
            metrics=NoMetrics(),
        )
        permit = SimpleNamespace(is_valid=lambda: True, allows_runner=lambda _: True)
        self.planner = Planner(self.context, permit)

    def configure(self, cap: Resources | None) -> None:
        customers = {}
        if cap is not None:
            customers["kaje80"] = Customer("kaje80", cap=cap)
        configuration = Configuration(1, customer_by_name=customers)
        self.operators.configuration = configuration
        now_s = self.clock.now()
        self.state.customer_usage.cap_changes.record(configuration, now_s)

    def add(self, number: int, step: StepSpec, customer: str = "kaje80"):
        policy = QueuePolicy("s")
        spec = JobSpec(f"job-{number}", "q", "", (step,), policy, customer=customer)
        job = self.state.add_job(spec)
        return job.run_by_step[0, 0]

    def running(self) -> int:
        return len(self.runner.allocation_by_run)

    def send(self, count: int = 1000) -> list:
        """Send orders as `OrderSender` does; return their allocations."""
        sent = []
        for allocation in list(self.runner.allocation_by_run.values()):
            is_ordered = allocation.attempt.state is AttemptState.ORDERED
            if len(sent) == count or allocation.start_sent or not is_ordered:
                continue
            if may_send_start(self.context, allocation):
                self.state.customer_usage.record_sent(allocation)
                sent.append(allocation)
            else:
                self.state.discard_attempt(allocation.attempt, "cap_lowered")
        return sent

    def end_one(self) -> None:
        attempt = next(iter(self.runner.allocation_by_run.values())).attempt
        self.state.end_attempt(self.runner, attempt.task, attempt.run, Outcome.DONE, "")


def run_owner(scenario, **fields) -> None:
    async def run():
        await scenario(Owner(**fields))

    run_virtual(run)


@pytest.mark.parametrize("uses_spare", [False, True])
def test_pass_starts_tasks_up_to_the_cap_and_more_when_it_is_raised(uses_spare):
    """Guards against a customer beyond its cap, or held back by one that is gone."""

    async def scenario(owner):
        step = owner.add(1, StepSpec(40, ONE, uses_spare=uses_spare))
        await owner.planner.plan()
        await owner.planner.plan()
        assert owner.running() == 10
        owner.end_one()
        await owner.planner.plan()
        assert owner.running() == 10
        owner.configure(Resources(12_000, 0, 0))
        await owner.planner.plan()
        assert owner.running() == 12
        owner.configure(Resources(2_000, 0, 0))
        owner.end_one()
        await owner.planner.plan()
        assert owner.running() == 11
        owner.configure(None)
        await owner.planner.plan()
        assert not step.open_indexes

    run_owner(scenario)


def test_gang_waits_until_all_of_it_fits_under_the_cap():
    """Guards against a gang that starts though the customer has too much running."""

    async def scenario(owner):
        owner.add(1, StepSpec(7, ONE))
        await owner.planner.plan()
        gang = owner.add(2, StepSpec(4, ONE, gang=True))
        await owner.planner.plan()
        assert len(gang.open_indexes) == 4
        owner.end_one()
        await owner.planner.plan()
        assert not gang.open_indexes

    run_owner(scenario)


def test_gang_and_tasks_of_one_pass_stay_under_the_cap_together():
    """Guards against a gang checked only when the steps of a pass are collected."""

    async def scenario(owner):
        # The step with an estimate has less slack and goes first.
        owner.add(1, StepSpec(7, ONE, estimate_s=1.0))
        gang = owner.add(2, StepSpec(4, ONE, gang=True))
        await owner.planner.plan()
        assert owner.running() == 7
        assert len(gang.open_indexes) == 4

    run_owner(scenario)


def test_wait_for_the_cap_is_not_a_wait_for_room():
    """Guards against tasks that start where they disturb serving tasks.

    That is allowed after a wait for room, which must not include a wait for the cap.
    """

    async def scenario(owner):
        owner.add(1, StepSpec(10, ONE, estimate_s=1.0))
        step = owner.add(2, StepSpec(1, ONE))
        step.unplaced_since_s = owner.context.clock.now()
        await owner.planner.plan()
        assert step.unplaced_since_s is None

    run_owner(scenario)


def test_runner_is_reserved_only_after_a_wait_for_room(log_lines):
    """Guards against a runner kept free at once after the wait for a cap.

    The time that the log gives for a start includes that wait.
    """

    async def scenario(owner):
        owner.add(1, StepSpec(10, ONE))
        await owner.planner.plan()
        step = owner.add(2, StepSpec(1, Resources(12_000, 0, 0)))
        first_s = owner.clock.now()
        while owner.clock.now() < first_s + 4 * RESERVE_AFTER_S:
            await owner.planner.plan()
            await anyio.sleep(0.1)
        await owner.planner.plan()
        owner.configure(None)
        await owner.planner.plan()
        assert not owner.planner._runner_by_step
        await anyio.sleep(RESERVE_AFTER_S)
        await owner.planner.plan()
        assert owner.planner._runner_by_step == {step: owner.runner}
        assert step.first_ready_s == pytest.approx(first_s)

    run_owner(scenario, processors=20)


def test_step_of_a_customer_waits_until_a_configuration_is_known(log_lines):
    """Guards against an owner that knows no caps yet and starts tasks without any."""

    async def scenario(owner):
        owner.operators.configuration = None
        step = owner.add(1, StepSpec(1, ONE))
        owner.context.operator_follower.last_synced_s = float("-inf")
        await owner.planner.plan()
        assert step.open_indexes
        owner.configure(CAP)
        await owner.planner.plan()
        assert not step.open_indexes
        assert "cap=unknown outcome=awaits_configuration" in log_lines()[0]

    run_owner(scenario)


def test_log_tells_a_gang_that_only_a_higher_cap_can_start(log_lines):
    """Guards against a gang that waits forever and looks like any other wait."""

    async def scenario(owner):
        owner.add(1, StepSpec(4, ONE, gang=True))
        owner.add(2, StepSpec(3, ONE, gang=True))
        owner.state.customer_usage.add("kaje80", ONE)
        owner.configure(Resources(3000, 0, 0))
        await owner.planner.plan()
        outcomes = [line.split("outcome=")[1].split()[0] for line in log_lines()]
        assert outcomes == ["awaits_higher_cap", "awaits_ends"]

    run_owner(scenario)


def test_steps_at_the_cap_do_not_end_the_pass_before_other_customers(monkeypatch):
    """Guards against a customer at its cap that keeps others from being tried.

    Its steps are not tried, nor kept a runner, nor counted as without room.
    """

    async def scenario(owner):
        lasting = StepSpec(1, ONE, lasting=True)
        owner.add(0, StepSpec(10, ONE))
        await owner.planner.plan()
        tried = []
        for number in range(3 * MAX_UNPLACED_STEPS):
            owner.add(number + 1, lasting if number % 2 else StepSpec(1, ONE))
        other = owner.add(1000, StepSpec(54, ONE, estimate_s=30.0), customer="")
        place = Planner._place_or_make_room

        async def record(planner, step, unplaced):
            tried.append(step)
            return await place(planner, step, unplaced)

        monkeypatch.setattr(Planner, "_place_or_make_room", record)
        await anyio.sleep(2 * RESERVE_AFTER_S)
        await owner.planner.plan()
        assert not other.open_indexes
        assert tried == [other]
        assert not owner.planner._runner_by_step

    run_owner(scenario)


def test_wait_for_the_cap_is_logged_once_and_not_for_each_task(log_lines):
    """Guards against lines that no one can follow, and against none at all."""

    async def scenario(owner):
        step = owner.add(1, StepSpec(15, ONE))
        for _ in range(5):
            await owner.planner.plan()
            await anyio.sleep(0.1)
            owner.end_one()
        assert step.unplaced_since_s is None
        await owner.planner.plan()
        await owner.planner.plan()
        began, ended = log_lines()
        assert "event=cap_wait_began" in began
        assert "used=10000/1000/0 cap=10000/0/0" in began
        assert "event=cap_wait_ended" in ended
        assert "waited_ms=500" in ended

    run_owner(scenario)


@pytest.mark.parametrize("cap", [None, Resources()])
def test_without_a_cap_the_same_tasks_start_as_without_customers(cap, log_lines):
    """Guards against decisions that change where no customer has a cap."""

    async def scenario(owner):
        other = Owner(None, 20)
        for number in range(12):
            step = StepSpec(3, ONE, gang=number % 3 == 0, uses_spare=number % 4 == 0)
            owner.add(number, step, customer="kaje80")
            other.add(number, step, customer="")
        for _ in range(4):
            await owner.planner.plan()
            await other.planner.plan()
            assert list(owner.runner.allocation_by_run) == list(
                other.runner.allocation_by_run
            )
            owner.end_one()
            other.end_one()
            await anyio.sleep(RESERVE_AFTER_S)
        assert not log_lines()

    run_owner(scenario, cap=cap, processors=20)


def make_capped(number: int, *steps: StepSpec):
    return dataclasses.replace(make_job(number, *steps), customer="kaje80")


@pytest.mark.parametrize("gang", [False, True])
def test_attempts_placed_under_a_higher_cap_are_not_started(gang):
    """Guards against orders that are sent long after their cap was lowered.

    While the store is away, attempts wait to become durable; the lowered cap arrives
    once it is back.
    """

    async def scenario(owner):
        owner.add(1, StepSpec(6, ONE, gang=gang))
        await owner.planner.plan()
        allocations = list(owner.runner.allocation_by_run.values())
        assert len(allocations) == 6
        assert all(may_send_start(owner.context, a) for a in allocations)
        await anyio.sleep(0.1)
        owner.configure(Resources(2000, 0, 0))
        # Part of a gang would be of no use.
        assert owner.send() == ([] if gang else allocations[:2])

    run_owner(scenario)


@pytest.mark.parametrize("gang", [False, True])
def test_attempts_whose_orders_were_sent_are_not_withdrawn(gang):
    """Guards against runs stopped by a lowered cap, and against part of a gang."""

    async def scenario(owner):
        owner.add(1, StepSpec(6, ONE, gang=gang))
        await owner.planner.plan()
        sent = owner.send(count=3)
        owner.configure(Resources(2000, 0, 0))
        assert all(may_send_start(owner.context, a) for a in sent)
        assert len(owner.send()) == (3 if gang else 0)

    run_owner(scenario)


def test_only_a_lowered_cap_withdraws_starts():
    """Guards against starts withdrawn by a version that changes something else.

    The sum may be above the cap, as while attempts of an earlier owner run.
    """

    async def scenario(owner):
        owner.add(1, StepSpec(10, ONE))
        owner.configure(Resources(20_000, 0, 0))
        await anyio.sleep(0.1)
        await owner.planner.plan()
        owner.state.customer_usage.add("kaje80", Resources(40_000, 0, 0))
        await anyio.sleep(0.1)
        owner.configure(Resources(20_000, 0, 0))
        owner.configure(Resources(30_000, 0, 0))
        assert len(owner.send()) == 10

    run_owner(scenario)


def test_attempts_placed_later_give_way_to_earlier_ones():
    """Guards against more starts withdrawn than a lowered cap requires."""

    async def scenario(owner):
        owner.add(1, StepSpec(2, ONE, estimate_s=1.0))
        owner.add(2, StepSpec(1, Resources(8000, 0, 0)))
        await owner.planner.plan()
        first, second, large = owner.runner.allocation_by_run.values()
        assert large.spec.demand.processors_milli == 8000
        owner.configure(Resources(2000, 0, 0))
        assert owner.send() == [first, second]

    run_owner(scenario)


def test_cap_lowered_during_a_write_withdraws_the_starts(monkeypatch):
    """Guards against start orders that nothing checks once attempts are durable."""

    async def scenario():
        async with run_cluster(members=1, runners=2) as cluster:
            cluster.configure(2, {"kaje80": Resources(8000, 0, 0)})
            member = await cluster.owner()
            await anyio.sleep(1)
            apply_committed = Committer._apply_committed
            customer = Customer("kaje80", cap=Resources(2000, 0, 0))
            lowered = dataclasses.replace(
                member.instance.term._context.operators.configuration,
                version=3,
                customer_by_name={"kaje80": customer},
            )

            def lower_and_apply(committer, batch):
                if batch.starts:
                    committer._context.operators._apply_configuration(lowered)
                apply_committed(committer, batch)

            monkeypatch.setattr(Committer, "_apply_committed", lower_and_apply)
            job = await cluster.submit(make_capped(1, make_step(6)))
            await anyio.sleep(0.9)
            assert len(cluster.records("start")) == 2
            await cluster.wait_for(job, JobState.DONE, 5.0)

    run_virtual(scenario)


def test_lowered_cap_stops_no_run_whose_order_got_no_response(monkeypatch):
    """Guards against an order that is withdrawn while it may be carried out."""
    start = MemoryRunnerLink.start
    silent = [True]

    async def lose_response(link, order, may_send=None):
        if not silent:
            return await start(link, order, may_send)
        if may_send is not None and not may_send():
            return StartResult.UNSENT, None
        return StartResult.UNKNOWN, None

    async def scenario():
        async with run_cluster(members=1, runners=2) as cluster:
            cluster.configure(2, {"kaje80": Resources(4000, 0, 0)})
            await cluster.owner()
            await anyio.sleep(1)
            monkeypatch.setattr(MemoryRunnerLink, "start", lose_response)
            await cluster.submit(make_capped(1, make_step(4)))
            await anyio.sleep(0.4)
            cluster.configure(3, {"kaje80": Resources(1000, 0, 0)})
            await anyio.sleep(0.4)
            silent.clear()
            await anyio.sleep(0.3)
            assert len(cluster.records("start")) == 4

    run_virtual(scenario)


def test_absent_tasks_that_probe_quarantined_runners_stay_within_the_cap():
    """Guards against early probes of one pass that exceed the cap together."""

    async def scenario():
        async with run_cluster(runners=6) as cluster:
            cluster.configure(2, {"kaje80": Resources(12_000, 0, 0)})
            await cluster.owner()
            await anyio.sleep(1)
            step = make_step(3, 3.0, lasting=True)
            job = await cluster.submit(make_capped(1, step))
            await cluster.wait_for(job, JobState.RUNNING, 2.0)
            await anyio.sleep(1)
            cluster.configure(3, {"kaje80": Resources(4000, 0, 0)})
            former = [r for r in cluster.runner_by_id.values() if r.tasks]
            others = [r for r in cluster.runner_by_id.values() if not r.tasks]
            for runner in others:
                runner.faulty = True
            await cluster.submit(make_job(2, make_step(10, 3.5)))
            # They are quarantined for the third time.
            await anyio.sleep(10)
            for runner in others:
                runner.faulty = False
            for runner in former:
                runner.crash()
                cluster.unlist_runner(runner.id)
            await anyio.sleep(10)
            running = [t for r in others for t in r.tasks if t.job == job.id]
            assert len(running) == 1

    run_virtual(scenario)


def test_gang_larger_than_the_cap_is_refused_unless_it_was_accepted():
    """Guards against a gang that waits forever, and against an untrue refusal."""

    async def scenario():
        async with run_cluster() as cluster:
            cluster.configure(2, {"kaje80": Resources(4000, 0, 0)})
            await cluster.owner()
            await anyio.sleep(1)
            accepted = await cluster.submit(make_capped(1, make_step(4, gang=True)))
            cluster.configure(3, {"kaje80": Resources(3000, 0, 0)})
            await anyio.sleep(1)
            await cluster.submit(accepted)
            refused = make_capped(2, make_step(3), make_step(4, gang=True))
            with pytest.raises(FlamingoweirError) as caught:
                await cluster.submit(refused)
            assert caught.value.code is ErrorCode.NEVER_FITS
            assert caught.value.verdict is Verdict.NOT_RUN
            assert await cluster.state(refused) is None
            await cluster.submit(make_job(3, make_step(4, gang=True)))
            await cluster.submit(make_capped(4, make_step(4, 30.0)))

    run_virtual(scenario)


def test_changed_configuration_wakes_the_planner():
    """Guards against tasks that wait for the next change once a cap is raised."""

    async def scenario():
        async with run_cluster() as cluster:
            cluster.configure(2, {"kaje80": Resources(1000, 0, 0)})
            member = await cluster.owner()
            await anyio.sleep(1)
            woken = member.instance.term.owner_state.placement_wakeup
            await woken.wait(0.0)
            woken.set = lambda: seen.append(anyio.current_time())
            seen = []
            cluster.configure(3, {"kaje80": Resources(2000, 0, 0)})
            changed_s = anyio.current_time()
            await anyio.sleep(0.05)
            assert seen
            assert seen[0] - changed_s < 0.05

    run_virtual(scenario)


class PassTooLong(Exception):
    """Ends a pass that would go on for as long as jobs arrive."""


def test_step_that_stops_at_its_cap_lets_a_long_pass_end(monkeypatch):
    """Guards against a pass that never ends while jobs arrive and tasks end.

    The step of a customer at its cap keeps open tasks after its turn. It must not count
    as one that still awaits its first turn: other steps that found no room are not
    tried again before the next pass.
    """

    async def scenario():
        owner = Owner()
        clock = owner.context.clock
        owner.add(1, StepSpec(2000, ONE))
        for number in range(30):
            owner.add(number + 2, StepSpec(1, ONE), customer="")
        place = Planner._place_or_make_room
        started_s = clock.now()

        async def place_slowly(planner, step, unplaced):
            asyncio.get_running_loop().virtual_s += 0.01
            if clock.now() - started_s > 3 * MAX_PASS_S:
                raise PassTooLong
            was_placed = await place(planner, step, unplaced)
            owner.end_one()
            owner.add(round(1000 * clock.now()), StepSpec(1, ONE), customer="")
            return was_placed

        monkeypatch.setattr(Planner, "_place_or_make_room", place_slowly)
        monkeypatch.setattr(owner.planner._pauses, "add", raise_error)
        await owner.planner.plan()
        assert clock.now() - started_s < MAX_PASS_S + 2 * COLLECT_INTERVAL_S

    run_virtual(scenario)


def raise_error(job_id, error, now_s) -> None:
    raise error


def test_late_orders_stop_counting_without_any_other_event():
    """Guards against a customer held at its cap by orders that can't arrive now."""

    async def scenario(owner):
        owner.add(1, StepSpec(10, ONE))
        await owner.planner.plan()
        for allocation in list(owner.runner.allocation_by_run.values()):
            allocation.record_unanswered_start(owner.clock.now())
            owner.end_one()
        waiting = owner.add(2, StepSpec(1, ONE))
        await owner.planner.plan()
        assert waiting.open_indexes
        await anyio.sleep(MAX_LATENESS_S + 0.1)
        await owner.planner.plan()
        assert not waiting.open_indexes

    run_owner(scenario)


@pytest.mark.parametrize("run_s", [3.0, 20.0])
def test_order_that_got_no_response_counts_from_then_and_not_from_the_end(run_s):
    """Guards against a customer held at its cap by orders that can't arrive now.

    The order was carried out, and its response was lost.
    """

    async def scenario():
        async with run_cluster(members=1, runners=2) as cluster:
            cluster.configure(2, {"kaje80": Resources(3000, 0, 0)})
            member = await cluster.owner()
            await anyio.sleep(1)
            for link in member.link_by_runner.values():
                link.lose_starts = 1
            first, second = (make_capped(n, make_step(1, 2.0)) for n in (1, 2))
            cluster.plan_by_task[f"{first.id}.0.0.0"] = (run_s, Outcome.DONE)
            await cluster.submit(first)
            await anyio.sleep(0.5)
            unanswered_s = anyio.current_time()
            for link in member.link_by_runner.values():
                link.lose_starts = 0
            await cluster.submit(second)
            await cluster.wait_for(first, JobState.DONE, run_s + 1)
            done_s = anyio.current_time()
            await anyio.sleep(MAX_LATENESS_S + 1)
            started_s = cluster.records("start")[-1].at_s
            assert started_s > unanswered_s + MAX_LATENESS_S - 0.5
            assert started_s < max(done_s, unanswered_s + MAX_LATENESS_S) + 0.5

    run_virtual(scenario)


def test_orders_of_a_cancelled_job_count_though_their_runner_has_refused_them():
    """Guards against a cap that is exceeded where a runner that responds restarts.

    It has confirmed the stops of runs whose orders got no response. Its next
    incarnation knows nothing of these, and gets the orders before it is called.
    """

    async def scenario():
        async with run_cluster(members=1, runners=1, processors=32) as cluster:
            cluster.configure(2, {"kaje80": Resources(4000, 0, 0)})
            member = await cluster.owner()
            # The clock of the next incarnation is behind the deadlines of the orders.
            await anyio.sleep(20)
            link = member.link_by_runner["runner-0"]
            link.lose_starts = 4
            link.delivery_delay_s = 6.0
            first, second = (make_capped(n, make_step(4)) for n in (1, 2))
            submitted_s = anyio.current_time()
            await cluster.submit(first)
            await anyio.sleep(0.3)
            cluster.add_runner("runner-1", 8)
            await member.instance.handler.cancel(first.id, 2.0)
            await anyio.sleep(1.5)
            assert not member.instance.term.owner_state.runner_by_id[
                "runner-0"
            ].has_attempts
            for index in range(4):
                planned = 20.0, Outcome.DONE
                cluster.plan_by_task[f"{second.id}.0.0.{index}"] = planned
            await cluster.submit(second)
            await anyio.sleep(submitted_s + 5.95 - anyio.current_time())
            runner = cluster.runner_by_id["runner-0"]
            runner.crash()
            runner.restart()
            cluster.list_runner(runner.id)
            await anyio.sleep(2)
            late = [r for r in cluster.records("start") if r.task.job == first.id]
            assert len(late) == 3
            running = most = 0
            for record in cluster.records():
                running += record.kind == "start"
                running -= record.kind in ("stopped", "done", "failed", "crashed")
                most = max(most, running)
            assert most <= 4

    run_virtual(scenario)


def test_step_that_its_cap_holds_back_keeps_no_runner_free():
    """Guards against a runner that is kept free for a step that may not start."""

    async def scenario(owner):
        owner.add(1, StepSpec(10, ONE, estimate_s=1.0))
        await owner.planner.plan()
        step = owner.add(2, StepSpec(1, ONE))
        await owner.planner.plan()
        owner.planner._candidates.reserve(step, owner.runner)
        unplaced = UnplacedSteps(owner.clock.now())
        assert await owner.planner._place_or_make_room(step, unplaced)
        assert not owner.planner._runner_by_step

    run_owner(scenario)


def test_wait_of_a_cancelled_job_ends(log_lines):
    """Guards against waits that are kept in memory after their jobs have ended."""

    async def scenario(owner):
        owner.add(1, StepSpec(10, ONE, estimate_s=1.0))
        owner.add(2, StepSpec(1, ONE))
        await owner.planner.plan()
        assert owner.planner._caps._wait_by_step
        owner.state.cancel_job("job-2")
        await owner.planner.plan()
        assert not owner.planner._caps._wait_by_step
        assert "event=cap_wait_ended" in log_lines()[-1]

    run_owner(scenario)


def test_ended_term_follows_no_configuration():
    """Guards against terms that are kept in memory, and run code, after their end."""

    async def scenario():
        async with run_cluster(members=1) as cluster:
            cluster.configure(2, {"kaje80": Resources(1000, 0, 0)})
            member = await cluster.owner()
            await anyio.sleep(1)
            term = member.instance.term
            changes = term.owner_state.customer_usage.cap_changes
            assert changes._cap_by_customer
            term._term_end.signal("test")
            await anyio.sleep(0.5)
            cluster.configure(3, {})
            await anyio.sleep(2)
            assert changes._cap_by_customer

    run_virtual(scenario)
