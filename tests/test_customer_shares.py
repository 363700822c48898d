"""Order by customers' shares, submissions beyond a rate, and limits on submissions.

Replays one customer that sends ten times its usual load, and fleets that are full.
"""

import asyncio
import contextlib
import dataclasses
import random
from types import SimpleNamespace

import anyio
import anyio.lowlevel
import orjson
import pytest

from flamingoweir.customers import Customer, CustomerLimit
from flamingoweir.dispatch._customer_caps import CustomerCaps
from flamingoweir.dispatch._customer_limits import LACKING_S, LimitFinder
from flamingoweir.dispatch._customer_load import CustomerLoad
from flamingoweir.dispatch._customer_order import (
    MAX_LISTED_EXCESS,
    CustomerRanking,
    StepQueue,
    drop_surplus_excess,
)
from flamingoweir.dispatch._customer_report import MAX_REPORTED, CustomerReporter
from flamingoweir.dispatch._deferrals import Deferrals
from flamingoweir.dispatch._job_pauses import JobPauses
from flamingoweir.dispatch._owner_state import OwnerState
from flamingoweir.dispatch._parking import HELD_SHARE, JobParking
from flamingoweir.dispatch._ready_steps import ReadySteps
from flamingoweir.errors import ErrorCode, FlamingoweirError, Verdict
from flamingoweir.fleet import Runner
from flamingoweir.jobs import Outcome, QueuePolicy, encode_spec
from flamingoweir.metrics import NoMetrics, PrometheusMetrics
from flamingoweir.ownership import (
    Backlog,
    OwnerRecord,
    decode_owner_record,
    encode_owner_record,
    job_row,
    owner_row,
)
from flamingoweir.policy import (
    ABOVE_SHARE,
    BELOW_SHARE,
    TokenBucket,
    choose_published,
    find_limit,
    sort_key,
)
from flamingoweir.queues._customer_gate import RefusalCounts
from flamingoweir.registry import Configuration, RunnerEntry
from flamingoweir.resources import Resources
from flamingoweir.storage import VersionedRow
from tests.utils.cluster import SERVICE, make_job, make_step, run_cluster
from tests.utils.customers import Arrivals, configure_customers
from tests.utils.virtual_time import VirtualClock, run_virtual

NOW_S = 1000.0
#: Wall-clock time in milliseconds after all arrivals that are marked.
LATER_MS = 2e6
#: Largest size of the owner row in bytes; the smallest limit of a row is 64 KB.
MAX_ROW_BYTES = 64_000


def make_state(*customers: Customer, processors: int = 100, named: bool = True):
    """Return an owner's state and its single runner."""
    state = OwnerState(VirtualClock(), NoMetrics(), 10.0)
    by_name = {customer.name: customer for customer in customers}
    configuration = Configuration(1, {}, {}, 1, by_name, named)
    state.customer_load.find_configuration = lambda: configuration
    entry = RunnerEntry(
        "r", 1, SERVICE, "a:1", "z", capacity=Resources(1000 * processors, 1, 0)
    )
    return state, Runner(entry, 10.0)


def make_context(state: OwnerState, metrics=None) -> SimpleNamespace:
    return SimpleNamespace(
        owner_state=state,
        clock=VirtualClock(),
        wall_ms=lambda: 1e6,
        operators=SimpleNamespace(
            configuration=state.customer_load.find_configuration()
        ),
        metrics=metrics or NoMetrics(),
    )


def add_steps(state: OwnerState, customer: str, count: int, first: int, **fields):
    """Add jobs accepted within a second, and return their steps, ready to be ranked."""
    ready = []
    for number in range(first, first + count):
        spec = make_job(number, make_step(**fields), customer=customer)
        job = state.add_job(spec)
        job.accepted_s = NOW_S - number / 1e4
        step = job.run_by_step[0, 0]
        ready.append((sort_key(step, NOW_S, 0.0), number, step))
    return ready


def rank(state: OwnerState, runner: Runner, ready):
    return CustomerRanking(state, ready, [runner]).add_ranks(ready)


def use(state: OwnerState, customer: str, demand: Resources, service: str = SERVICE):
    """Count resources as used by a customer."""
    state.customer_usage.add(customer, demand)
    state.customer_usage.by_service.add(service, customer, demand)


def find_order(state: OwnerState, runner: Runner, ready) -> list[str]:
    """Return customers in the order in which steps are placed that all find room."""
    ranked = sorted(rank(state, runner, ready))
    key_by_step = {step: key for key, _, step in ranked}
    steps = [step for _, _, step in ranked]
    queue = StepQueue(steps, key_by_step, state.customer_load.shares_by_service)
    order = []
    while queue:
        step = queue.pop()
        customer = step.job.spec.customer
        order.append(customer)
        use(state, customer, step.spec.demand, step.job.spec.policy.service)
    return order


def virtual(function, *args):
    async def scenario():
        return function(*args)

    return run_virtual(scenario)


@pytest.mark.parametrize("customers", [20, 620])
def test_full_fleet_is_shared_by_weight(customers):
    """Guards against shares that follow the amount of waiting work, not the weight."""

    def check():
        named = [Customer(f"c{n}", weight=1 + n % 10) for n in range(customers)]
        slots = 4 * sum(round(customer.weight) for customer in named)
        state, runner = make_state(*named, processors=slots)
        ready = []
        for number, customer in enumerate(named):
            count = 50 + 30 * (number == 3)
            ready += add_steps(state, customer.name, count, 100 * number)
        first = find_order(state, runner, ready)[:slots]
        for customer in named:
            assert first.count(customer.name) == 4 * customer.weight

    virtual(check)


def test_customer_that_exceeds_its_share_in_a_pass_goes_back_at_once():
    """Guards against a pass that gives one customer all room before shares change.

    A wide task of a customer below its share is placed before, although it exceeds the
    share; jobs without a customer count as below theirs.
    """

    def check():
        state, runner = make_state(Customer("a"), Customer("b"), processors=10)
        ready = add_steps(state, "b", 1, 1, processors=9.0)
        ready += add_steps(state, "a", 8, 100) + add_steps(state, "", 2, 10)
        order = find_order(state, runner, ready)
        assert order.index("b") < 8
        assert order[-3:] == ["a"] * 3
        assert max(n for n, name in enumerate(order) if name == "") < 8

    virtual(check)


def test_shares_are_those_of_the_service():
    """Guards against a customer that takes a small service because a large one is free.

    "a" wants both services and "b" the small one only; it holds half of that one. What
    "b" uses elsewhere doesn't count against it there.
    """

    def check():
        state, runner = make_state(Customer("a"), Customer("b"), processors=4)
        large = make_state(processors=400)[1]
        large.entry = dataclasses.replace(large.entry, id="l", service="large")
        policy = QueuePolicy("large")
        use(state, "a", Resources(2000, 0, 0))
        use(state, "b", Resources(200_000, 0, 0), "large")
        ready = add_steps(state, "a", 2, 1) + add_steps(state, "b", 2, 10)
        for number in (20, 21):
            for customer, offset in (("a", 0), ("b", 10)):
                spec = make_job(number + offset, customer=customer, policy=policy)
                job = state.add_job(spec)
                job.accepted_s = NOW_S - number / 1e4
                step = job.run_by_step[0, 0]
                ready.append((sort_key(step, NOW_S, 0.0), number + offset, step))
        ranking = CustomerRanking(state, ready, [runner, large])
        rank_by_user = {}
        for key, _, step in ranking.add_ranks(ready):
            spec = step.job.spec
            rank_by_user[spec.policy.service, spec.customer] = key[1]
        assert rank_by_user == {
            (SERVICE, "a"): ABOVE_SHARE,
            (SERVICE, "b"): BELOW_SHARE,
            ("large", "a"): BELOW_SHARE,
            ("large", "b"): ABOVE_SHARE,
        }
        shares = state.customer_load.shares_by_service[SERVICE]
        assert shares.capacity == runner.entry.capacity
        assert shares.received("a") == shares.due("a") == 0.5

    virtual(check)


def test_usage_by_service_follows_allocations():
    """Guards against a share that stays in use after its tasks have ended."""

    def check():
        state, runner = make_state(Customer("a"))
        usage = state.customer_usage
        attempts = []
        for number, processors in enumerate([1.0, 0.0, 2.0, 0.0]):
            step = add_steps(state, "a", 1, number, processors=processors)[0][2]
            attempts.append(step.job.start(step, 0, "r", 1, NOW_S))
            usage.allocate(runner, attempts[-1], step)
        assert usage.by_service.used_by(SERVICE, "a") == Resources(3000, 0, 0)
        # A runner that changes its service still has what was counted before.
        runner.entry = dataclasses.replace(runner.entry, service="other")
        for attempt in attempts:
            usage.release(runner, attempt.task, attempt.run)
        assert not usage.by_service.services

    virtual(check)


def test_absent_task_goes_first_whatever_its_customer_uses():
    """Guards against a service of a customer above its share that stays away."""

    def check():
        state, runner = make_state(Customer("a"), Customer("b"), processors=4)
        use(state, "a", Resources(4000, 0, 0))
        ready = add_steps(state, "a", 1, 1, lasting=True)
        ready += add_steps(state, "b", 1, 2, lasting=True)
        steps = [step for _, _, step in ready]
        for step in steps:
            attempt = step.job.start(step, 0, "r", 1, NOW_S)
            step.job.end(attempt.task, attempt.run, Outcome.FAILED, "")
        ready = [(sort_key(step, NOW_S, 0.0), n, step) for n, step in enumerate(steps)]
        ready += add_steps(state, "b", 2, 10)
        assert find_order(state, runner, ready) == ["a", "b", "b", "b"]

    virtual(check)


def test_order_without_customers_is_as_before():
    """Guards against an order that changes where no customers are configured.

    Jobs may name customers of an earlier configuration.
    """

    async def scenario():
        state, runner = make_state(named=False)
        use(state, "a", runner.entry.capacity)
        ready = add_steps(state, "a", 30, 50) + add_steps(state, "", 30, 1)
        random.Random(1).shuffle(ready)
        state.job_by_id = {step.job.spec.id: step.job for _, _, step in ready}
        expected = [sort_key(step, NOW_S, 0.0) for _, _, step in sorted(ready)]
        context = make_context(state)
        steps = ReadySteps(
            context, JobPauses(state), CustomerCaps(context), Deferrals(state)
        )
        found = await steps.find(
            lambda: NOW_S, anyio.lowlevel.checkpoint, lambda: [runner]
        )
        queue = steps.make_queue(found)
        taken = [queue.pop() for _ in found]
        assert [sort_key(step, NOW_S, 0.0) for step in taken] == expected

    run_virtual(scenario)


@pytest.mark.parametrize("customer", ["", "a"])
def test_order_of_a_single_customer_is_as_before(customer):
    """Guards against another order among the jobs of a customer."""

    def check():
        state, runner = make_state(Customer("a"))
        ready = add_steps(state, customer, 30, 1)
        random.Random(1).shuffle(ready)
        ranked = sorted(rank(state, runner, ready))
        assert [r[2] for r in ranked] == [r[2] for r in sorted(ready)]

    virtual(check)


def send_flood(load: CustomerLoad, per_s: int, seconds: int, seed: int | None = None):
    """Mark a customer's arrivals, or restore them in another order; return excess."""
    specs = []
    for number in range(per_s * seconds):
        accepted_ms = round(1e6 + 1000 * number / per_s)
        specs.append(make_job(number, customer="a", accepted_ms=accepted_ms))
    if seed is not None:
        random.Random(seed).shuffle(specs)
        for spec in specs:
            row = VersionedRow(job_row("s0", spec.id), encode_spec(spec), 1)
            load.add_restored(row, LATER_MS)
    return {spec.id for spec in specs if load.mark(spec, LATER_MS)}


def test_next_owner_marks_the_same_jobs_as_excess():
    """Guards against excess that goes first, as the owner was replaced.

    A customer with weight 10 that sends 50 a second for 8 s is entitled to 80 and a
    burst of 20. Jobs whose acceptance time is not known are not excess.
    """

    def check():
        loads = [make_state(Customer("a", weight=10))[0].customer_load for _ in "xy"]
        excess = send_flood(loads[0], 50, 8)
        assert abs(400 - len(excess) - 100) <= 1
        assert send_flood(loads[1], 50, 8, seed=5) == excess
        unknown = make_job(9999, customer="a")
        assert not loads[0].mark(unknown, LATER_MS)
        assert not loads[0].mark(make_job(9998, accepted_ms=1_000_100), LATER_MS)

    virtual(check)


def test_bucket_allows_the_weight_per_second():
    """Guards against a usual load that is marked, or a weight of 0 that entitles."""
    bucket = TokenBucket()
    assert all(bucket.take(number / 10, 10.0) for number in range(100))
    assert not TokenBucket().take(1.0, 0.0)
    assert TokenBucket().take(1.0, 0.2)


def test_fast_clock_of_an_instance_marks_no_usual_load():
    """Guards against one acceptance time ahead that makes later jobs excess."""

    def check():
        load = make_state(Customer("a", weight=10))[0].customer_load
        for number in range(300):
            now_ms = 1_000_000 + 100 * number
            ahead_ms = 60_000 if number == 0 else 0
            spec = make_job(number, customer="a", accepted_ms=now_ms + ahead_ms)
            assert not load.mark(spec, now_ms)

    virtual(check)


def test_arrival_rate_includes_refused_submissions():
    """Guards against limits that end, and begin again, as they take effect."""

    def check():
        load = make_state(Customer("a", weight=10))[0].customer_load
        for number in range(100):
            accepted_ms = 1_000_000 + 100 * number
            spec = make_job(number, customer="a", accepted_ms=accepted_ms)
            load.mark(dataclasses.replace(spec, admitted_fraction=0.1), LATER_MS)
        assert 80 <= load.arrivals_per_s("a", 1010) <= 120

    virtual(check)


def list_ready(state: OwnerState):
    """Return the ready steps of all jobs, as they are ranked."""
    ready = []
    for number, job in enumerate(state.job_by_id.values()):
        job.accepted_s = NOW_S
        step = job.run_by_step[0, 0]
        ready.append((sort_key(step, NOW_S, 0.0), number, step))
    return ready


def test_excess_goes_last_and_costs_a_pass_little():
    """Guards against a backlog of one customer that each pass ranks and sorts.

    The earliest jobs are listed; the latest ones would be replaced by each arrival.
    """

    def check():
        state, runner = make_state(Customer("a", weight=10), Customer("b"))
        excess = send_flood(state.customer_load, 50, 8)
        for number in reversed(range(400)):
            accepted_ms = round(1e6 + 20 * number)
            state.add_job(make_job(number, customer="a", accepted_ms=accepted_ms))
        add_steps(state, "b", 5, 1000)
        ready = drop_surplus_excess(list_ready(state), state)
        assert len(ready) == 405 - len(excess) + MAX_LISTED_EXCESS
        last = sorted(rank(state, runner, ready))[-MAX_LISTED_EXCESS:]
        listed = {step.job.spec.id for _, _, step in last}
        assert listed == set(sorted(excess)[:MAX_LISTED_EXCESS])

    virtual(check)


@pytest.mark.parametrize("differs", ["service", "label", "size"])
def test_excess_of_one_kind_hides_no_other(differs):
    """Guards against excess that waits, with its runners free, behind another kind."""

    def check():
        state, _ = make_state(Customer("a", weight=10))
        excess = send_flood(state.customer_load, 50, 8)
        other = {
            "service": (make_step(), {"policy": QueuePolicy("other")}),
            "label": (make_step(label="x"), {}),
            "size": (make_step(processors=0.5), {}),
        }[differs]
        assert len(excess) > 2 * MAX_LISTED_EXCESS + 10
        others = {max(excess), min(excess), sorted(excess)[150]}
        for job_id in sorted(excess):
            step, fields = other if job_id in others else (make_step(), {})
            number = int(job_id, 16)
            state.add_job(make_job(number, step, customer="a", accepted_ms=1, **fields))
        listed = drop_surplus_excess(list_ready(state), state)
        assert others <= {step.job.spec.id for _, _, step in listed}
        assert len(listed) == MAX_LISTED_EXCESS + len(others)

    virtual(check)


def test_excess_of_scheduled_and_long_running_jobs_is_listed():
    """Guards against due occurrences that are never opened, as much else waits."""

    async def scenario():
        state, runner = make_state(Customer("a", weight=10))
        excess = sorted(send_flood(state.customer_load, 50, 8))
        due = {"first_due_ms": 900_000, "occurrences": 2, "interval_ms": 1000}
        for job_id in excess:
            number, step, fields = int(job_id, 16), make_step(), {}
            if job_id in excess[-10:-5]:
                fields = due
            elif job_id in excess[-5:]:
                step = make_step(lasting=True)
            state.add_job(make_job(number, step, customer="a", **fields))
        context = make_context(state)
        steps = ReadySteps(
            context, JobPauses(state), CustomerCaps(context), Deferrals(state)
        )
        found = await steps.find(
            lambda: NOW_S, anyio.lowlevel.checkpoint, lambda: [runner]
        )
        assert sum(step.job.spec.scheduled for step in found) == 10
        assert sum(step.spec.lasting for step in found) == 5
        assert len(found) == MAX_LISTED_EXCESS + 15

    run_virtual(scenario)


def test_excess_is_parked_first():
    """Guards against one customer's backlog that takes the memory for all others."""
    spec = make_job(1, customer="a")
    parking = JobParking(3e-6 * 100 * spec.memory_bytes / (3 * HELD_SHARE))
    while parking.has_room_for(spec, True):
        parking.record_held(spec)
    assert parking.has_room_for(spec)
    assert parking.find_max_job_bytes() > spec.memory_bytes
    parking.park(make_job(2, customer="a"), True)
    parking.park(make_job(3, customer="b"))
    assert parking.take() == make_job(3).id
    assert parking.take() is None
    parking.held_bytes = 0
    assert parking.take() == make_job(2).id


def test_limit_admits_the_weight_and_names_the_time_to_drain():
    """Guards against limits on a usual load, and an owner row that outgrows its limit.

    A build that doesn't know limits ignores the field; a row without it is read.
    """
    assert find_limit(10, 9.0, 50, 5.0) is None
    assert find_limit(10, 40.0, 0, 5.0) is None
    assert find_limit(10, 40.0, 9, 5.0) is None
    assert find_limit(10, 40.0, 20, 5.0) == CustomerLimit(0.25, 4.0)
    candidates = [(n, f"customer-{n}", CustomerLimit(0.1, 4.0)) for n in range(620)]
    limits = choose_published(candidates)
    assert len(limits) == 50
    assert "customer-619" in limits
    record = OwnerRecord("i", "i/1", 1, backlog=Backlog({"q": 1}, {}, limits))
    value = encode_owner_record(record)
    assert len(value) < MAX_ROW_BYTES / 4
    assert decode_owner_record(VersionedRow(owner_row("s0"), value, 1)) == record
    bare = OwnerRecord("i", "i/1", 1, backlog=Backlog({"q": 1}))
    fields = orjson.loads(encode_owner_record(bare))
    assert "limit_by_customer" not in fields["backlog"]
    fields["backlog"]["no_such_field"] = {"a": 1}
    row = VersionedRow(owner_row("s0"), orjson.dumps(fields), 1)
    assert decode_owner_record(row) == bare


@pytest.mark.parametrize(("free", "cap"), [(0, 0), (1, 0), (0, 1000)])
def test_customer_is_limited_only_while_its_excess_fits_nowhere(free, cap):
    """Guards against a refusal while runners are free, for excess that a cap holds."""

    def check():
        customer = Customer("a", weight=1, cap=Resources(cap, 0, 0))
        state, runner = make_state(customer, processors=free)
        state.customer_usage.add("a", Resources(1000, 0, 0))
        state.runner_by_id["r"] = runner
        runner.incarnation = 1
        load = state.customer_load
        for number in range(40):
            spec = make_job(number, customer="a", accepted_ms=999_000 + number)
            load.mark(spec, LATER_MS)
            state.add_job(spec).run_by_step[0, 0].ready_since_s = NOW_S - 1
        permit = SimpleNamespace(allows_runner=lambda runner: True)
        finder = LimitFinder(make_context(state), permit)
        finder.update()
        assert not load.limit_by_customer
        loop = asyncio.get_running_loop()
        loop.virtual_s += LACKING_S
        finder.update()
        assert set(load.limit_by_customer) == (set() if free or cap else {"a"})

    virtual(check)


def test_report_is_bounded():
    """Guards against a log and metrics that grow with the number of customers."""

    def check(monkeypatch):
        named = [Customer(f"c{n}") for n in range(620)]
        state, runner = make_state(*named)
        rank(state, runner, [])
        gauges, lines = set(), []
        metrics = NoMetrics()
        metrics.gauge = lambda name, value: gauges.add(name)
        context = make_context(state, metrics)
        reporter = CustomerReporter(context)
        logger = "flamingoweir.dispatch._customer_report.log.info"
        monkeypatch.setattr(logger, lambda event, **fields: lines.append(fields))
        for first in range(0, 620, 10):
            for customer in named[first : first + 10]:
                use(state, customer.name, Resources(1000 * first, 0, 0))
            lines.clear()
            reporter.report()
            assert len(lines) == MAX_REPORTED + 1
        assert lines[-1]["customers"] == 600
        assert len(gauges) <= 9 * 50

    with pytest.MonkeyPatch.context() as patch:
        virtual(check, patch)


def test_customers_whose_metric_names_are_equal_share_a_counter():
    """Guards against a refusal or report that fails as a collector has the name."""

    def check():
        metrics = PrometheusMetrics()
        counts = RefusalCounts(metrics)
        names = ["a-b", "a.b", "a-b_total", "a-b_created", "c"]
        for name in names * 2:
            counts.record(name, "cap")
        text = metrics.render().decode()
        assert "flamingoweir_customer_refusals_cap_of_a_b_total 2.0" in text
        assert "flamingoweir_customer_refusals_cap_of_c_total 2.0" in text
        assert "flamingoweir_customer_refusals_cap_others_total 6.0" in text
        for number in range(100):
            counts.record(f"n.{number}", "limit")
        assert metrics.render().decode().count("# TYPE") <= 2 * 53
        customers = [Customer(name, weight=2 + n) for n, name in enumerate(names)]
        state, runner = make_state(*customers)
        rank(state, runner, [])
        CustomerReporter(make_context(state, metrics)).report()
        assert "flamingoweir_customer_weight_a_b 2.0" in metrics.render().decode()

    virtual(check)


@contextlib.asynccontextmanager
async def publish_limits(cluster):
    """Run a `LimitFinder` in the owner's term, which doesn't start one."""
    term = (await cluster.owner()).instance.term
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(LimitFinder(term._context, term._permit).run)
        yield
        tasks.cancel_scope.cancel()


async def run_flood(cluster, arrivals: Arrivals, flood: float) -> None:
    """Send the usual load of four customers; one sends a multiple of it for 8 s."""
    await cluster.owner()
    await anyio.sleep(1)
    async with anyio.create_task_group() as tasks:
        for name in "abc":
            tasks.start_soon(arrivals.send, name, 21, 2 / 3)
        tasks.start_soon(arrivals.send, "d", 3, 2 / 3)
        await anyio.sleep(2)
        count = round(8 * 1.5 * flood)
        tasks.start_soon(arrivals.send, "d", count, 8 / count)
    await anyio.sleep(4)


def test_term_publishes_no_limits():
    """Guards against refusals while runners are free, which `LimitFinder` causes.

    The order alone keeps a flood of one customer from making others late.
    """

    async def scenario():
        async with run_cluster(runners=2, processors=4) as cluster:
            configure_customers(cluster, *[Customer(name, weight=2) for name in "abcd"])
            arrivals = Arrivals(cluster)
            owner = await cluster.owner()
            seen = []

            async def watch():
                while True:
                    load = owner.instance.term.owner_state.customer_load
                    seen.append(dict(load.limit_by_customer))
                    await anyio.sleep(0.1)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                await run_flood(cluster, arrivals, 10)
                tasks.cancel_scope.cancel()
            assert len(seen) > 100
            assert not any(seen)
            assert not arrivals.error_by_id
            assert [arrivals.in_time(name) for name in "abc"] == [1.0] * 3

    run_virtual(scenario)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_flood_of_one_customer_has_no_effect_on_the_others(seed):
    """Guards against a customer with ten times its load that makes others late.

    The four customers usually need 6 of 8 processors. Only the one that sends too much
    is refused, with a time to come back, and refused jobs are never stored.
    """

    async def scenario():
        async with run_cluster(runners=2, processors=4, seed=seed) as cluster:
            configure_customers(cluster, *[Customer(name, weight=2) for name in "abcd"])
            arrivals = Arrivals(cluster)
            async with publish_limits(cluster):
                await run_flood(cluster, arrivals, 10)
                assert [arrivals.in_time(name) for name in "abc"] == [1.0] * 3
                assert len(arrivals.error_by_id) > 40
                for job_id, error in arrivals.error_by_id.items():
                    assert arrivals.customer_by_id[job_id] == "d"
                    assert error.code is ErrorCode.CUSTOMER_LIMIT
                    assert error.verdict is Verdict.NOT_RUN
                    assert 2.0 <= error.retry_after_s <= 15.0
                    assert job_row("s0", job_id) not in cluster.rows.row_by_id
                # A customer that sends no more than its weight is admitted again.
                await anyio.sleep(8)
                refused = len(arrivals.error_by_id)
                await arrivals.send("d", 6, 0.7)
                assert len(arrivals.error_by_id) == refused

    run_virtual(scenario)


def test_marks_survive_the_owner():
    """Guards against marks that a new owner derives from unfinished jobs alone."""

    async def scenario():
        async with run_cluster(runners=2, processors=4) as cluster:
            configure_customers(cluster, Customer("d", weight=2))
            arrivals = Arrivals(cluster)
            owner = await cluster.owner()
            await anyio.sleep(1)
            await arrivals.send("d", 60, 0.05)
            before = set(owner.instance.term.owner_state.customer_load.excess_ids)
            cluster.kill_member(owner)
            await anyio.sleep(0.1)
            owner = await cluster.owner()
            await anyio.sleep(1)
            state = owner.instance.term.owner_state
            held = set(state.job_by_id)
            assert len(before & held) > 10
            assert state.customer_load.excess_ids & held == before & held

    run_virtual(scenario)


def test_no_submission_is_refused_while_runners_are_free():
    """Guards against a refusal of work that the fleet has room for."""

    async def scenario():
        async with run_cluster(runners=6, processors=8) as cluster:
            configure_customers(cluster, *[Customer(name, weight=2) for name in "abcd"])
            arrivals = Arrivals(cluster)
            async with publish_limits(cluster):
                await run_flood(cluster, arrivals, 10)
                assert not arrivals.error_by_id
                assert [arrivals.in_time(name) for name in "abcd"] == [1.0] * 4

    run_virtual(scenario)


def test_customer_at_its_cap_neither_delays_the_others_nor_is_refused():
    """Guards against a backlog behind a cap that counts as a lack of capacity.

    The others need 4.5 of 8 processors. The cap allows one task beyond it.
    """

    async def scenario():
        async with run_cluster(runners=2, processors=4) as cluster:
            customers = [Customer(name, weight=2) for name in "abc"]
            capped = Customer("d", weight=2, cap=Resources(2000, 0, 0))
            configure_customers(cluster, *customers, capped)
            arrivals = Arrivals(cluster)
            async with publish_limits(cluster):
                await run_flood(cluster, arrivals, 10)
                assert [arrivals.in_time(name) for name in "abc"] == [1.0] * 3
                assert not arrivals.error_by_id
                running = largest = 0
                for record in cluster.records():
                    if arrivals.customer_by_id[record.task.job] == "d":
                        running += {"start": 1, "done": -1}.get(record.kind, 0)
                        largest = max(largest, running)
                assert largest == 2

    run_virtual(scenario)


def test_stored_job_is_never_refused_and_old_limits_do_not_count():
    """Guards against a refusal that says "not run" of a job that runs.

    A submitter whose first request got no response repeats it with the same id.
    """

    async def scenario():
        async with run_cluster(runners=1) as cluster:
            configure_customers(cluster, Customer("a"))
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, customer="a"))
            backlog = Backlog(limit_by_customer={"a": CustomerLimit(0.0, 3.0)})
            standby = owner.instance.standby
            handler = owner.instance.handler
            gate = handler._customer_gate
            gate._backlog = lambda max_age_s: backlog
            await handler.submit(job, 2.0)
            with pytest.raises(FlamingoweirError) as refused:
                await handler.submit(make_job(2, customer="a"), 2.0)
            assert refused.value.http_status == 429
            await handler.submit(make_job(3, customer="b"), 2.0)
            await handler.submit(make_job(4), 2.0)
            # The owner publishes no more; what it published last grows old.
            gate._backlog = standby.backlog
            owner.store.down = True
            await anyio.sleep(0.1)
            record = dataclasses.replace(standby.observation.record, backlog=backlog)
            observed = dataclasses.replace(standby.observation, record=record)
            standby.observation = observed
            assert gate.check(make_job(5, customer="a"))[1] is not None
            await anyio.sleep(2)
            assert gate.check(make_job(5, customer="a"))[1] is None

    run_virtual(scenario)


def test_flood_of_weight_over_a_full_fleet_serves_by_weight():
    """Guards against capacity that goes to whoever sends most.

    Two customers send four times what the fleet runs; one has three times the weight.
    """

    async def scenario():
        async with run_cluster(runners=2, processors=4) as cluster:
            weights = (Customer("a", weight=12), Customer("b", weight=4))
            configure_customers(cluster, *weights)
            arrivals = Arrivals(cluster, run_s=2.0)
            await cluster.owner()
            await anyio.sleep(1)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(arrivals.send, "a", 80, 0.12)
                tasks.start_soon(arrivals.send, "b", 32, 0.3)
            started = arrivals.started()
            assert 2.2 <= started["a"] / started["b"] <= 4.0

    run_virtual(scenario)
