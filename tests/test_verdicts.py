"""Verdicts, retries, hedging and queues of the router, in virtual time.

A caller acts on the verdict: it repeats a request that was not run. A wrong verdict, or
a retry of a request that is not idempotent, runs a request twice. Faults of the runners
(refusals, resets, late or truncated responses) are the cause; hypothesis picks them.
"""

import random

import anyio
import hypothesis
import pytest
from hypothesis import strategies as st

from flamingoweir.errors import ErrorCode, FlamingoweirError, Verdict
from flamingoweir.membership import Directory
from flamingoweir.metrics import NoMetrics
from flamingoweir.routing import IdempotencyKeys, RequestBody, Router, RunnerTable
from flamingoweir.settings import RequestSettings
from flamingoweir.standins import (
    MemoryInstanceList,
    MemoryTable,
    RunnerFault,
    StandinRunner,
)
from flamingoweir.storage import Instance
from flamingoweir.tree import SettingsTree
from tests.utils.builders import ZONES, make_runner
from tests.utils.fleet import Fleet
from tests.utils.runners import FakeRunnerLink, make_request
from tests.utils.virtual_time import VirtualClock, run_virtual

RUNNERS = 3
TIMEOUT_S = 2.0

fault_lists = st.lists(
    st.lists(st.sampled_from(list(RunnerFault)), max_size=12),
    min_size=RUNNERS,
    max_size=RUNNERS,
)


class CallOutcome:
    """Outcome of one request as its caller sees it.

    Attributes
    ----------
    number : int
        Number of the request.
    idempotent : bool
        Whether the request may run more than once.
    verdict : Verdict
        Verdict of the error, or RAN for a response.
    status : int
        HTTP status of the response; 0 for an error.
    body : bytes
        Body of the response.
    """

    def __init__(self, number: int, idempotent: bool):
        self.number = number
        self.idempotent = idempotent
        self.verdict = Verdict.RAN
        self.status = 0
        self.body = b""


async def start_router(tasks, runners: list[StandinRunner], **settings) -> Router:
    """Return a router to stand-in runners, with ``settings`` for requests."""
    instances = MemoryInstanceList()
    link_by_name = {}
    for runner in runners:
        instances.add(make_runner(runner.name))
        link_by_name[runner.name] = FakeRunnerLink(runner, tasks)

    def connect(instance: Instance) -> FakeRunnerLink:
        return link_by_name[instance.name]

    clock = VirtualClock()
    directory = Directory(instances, clock)
    await directory.refresh()
    requests = RequestSettings(**settings)
    table = RunnerTable(ZONES[0], directory, connect, lambda: 1, requests, clock)
    return Router(
        table,
        SettingsTree(),
        requests,
        clock,
        random.Random(1),
        NoMetrics(),
    )


async def call(router: Router, outcome: CallOutcome) -> None:
    """Send a request through a router and record its outcome."""
    deadline_s = anyio.current_time() + TIMEOUT_S
    request = make_request(outcome.number, outcome.idempotent, deadline_s)
    await request.body.prefetch()
    try:
        response = await router.serve(request)
    except FlamingoweirError as error:
        outcome.verdict = error.verdict
        return
    router.finish(request)
    outcome.status = response.head.status
    outcome.body = response.body


async def run_callers(
    faults, count: int
) -> tuple[list[CallOutcome], list[StandinRunner]]:
    """Send requests through two routers; every second one is idempotent.

    Parameters
    ----------
    faults : list of list of RunnerFault
        Faults of each runner, in the order of its requests.
    count : int
        Number of requests.

    Returns
    -------
    tuple
        Outcomes of the requests, and the runners.
    """
    runners = []
    for number, planned in enumerate(faults):
        runners.append(
            StandinRunner(f"runner-{number}", service_s=0.05, faults=list(planned))
        )
    outcomes = [CallOutcome(number, number % 2 == 0) for number in range(count)]
    async with anyio.create_task_group() as background:
        routers = [await start_router(background, runners) for _ in range(2)]
        async with anyio.create_task_group() as callers:
            for outcome in outcomes:
                callers.start_soon(call, routers[outcome.number % 2], outcome)
                await anyio.sleep(0.02)
        await anyio.sleep(30.0)
    for router in routers:
        assert router.in_flight == 0
        assert all(
            not runner.in_flight for runner in router.runners.runner_by_name.values()
        )
    return outcomes, runners


@hypothesis.settings(max_examples=60, derandomize=True, database=None, deadline=None)
@hypothesis.given(faults=fault_lists)
def test_what_callers_are_told_holds(faults):
    everyone, runners = run_virtual(run_callers, faults, 30)
    for told in everyone:
        name = f"request-{told.number}"
        executed = sum(runner.executed.get(name, 0) for runner in runners)
        if not told.idempotent:
            assert executed <= 1, f"{name} ran {executed} times"
        if told.verdict is Verdict.NOT_RUN:
            assert executed == 0, f"{name} was told not run"
        if told.verdict is Verdict.RAN:
            assert executed >= 1
            assert told.body == f"order {told.number}".encode()


def test_refused_request_is_retried_on_another_runner():
    """A refused request was not run, so it is retried even if not idempotent."""
    faults = [[RunnerFault.REFUSE], [RunnerFault.REFUSE], []]
    outcomes, _ = run_virtual(run_callers, faults, 3)
    assert [outcome.status for outcome in outcomes] == [200, 200, 200]


def test_reset_request_is_retried_only_if_idempotent():
    """A runner may have run a request before it reset the connection."""
    faults = [[RunnerFault.RESET_BEFORE] * 9 for _ in range(RUNNERS)]
    outcomes, runners = run_virtual(run_callers, faults, 2)
    assert outcomes[1].verdict is Verdict.MAY_HAVE_RUN
    assert sum(runner.received for runner in runners) > 2


async def send_deadly_request(idempotent: bool, hedge_after_s: float) -> int:
    """Return how many of 12 runners break off one request that crashes them all."""
    faults = [RunnerFault.RESET_BEFORE] * 100
    runners = [
        StandinRunner(f"runner-{number}", faults=list(faults)) for number in range(12)
    ]
    async with anyio.create_task_group() as background:
        router = await start_router(background, runners, hedge_after_s=hedge_after_s)
        outcome = CallOutcome(1, idempotent)
        await call(router, outcome)
        assert outcome.verdict is Verdict.MAY_HAVE_RUN
        background.cancel_scope.cancel()
    return sum(runner.received > 0 for runner in runners)


@pytest.mark.parametrize(
    ("idempotent", "hedge_after_s", "limit"),
    [(False, 0.0, 1), (True, 0.0, 2), (True, 0.0005, 3)],
    ids=["once", "idempotent", "hedged"],
)
def test_request_that_crashes_its_runners_reaches_few(idempotent, hedge_after_s, limit):
    """A retry on yet another runner helps one caller and costs all callers a runner."""
    crashed = run_virtual(send_deadly_request, idempotent, hedge_after_s)
    assert crashed <= limit


async def overload_runner(
    count: int,
) -> tuple[list[CallOutcome], list[StandinRunner], int]:
    """Send requests at once to one runner with 8 slots and a queue of 8."""
    runners = [StandinRunner("runner-0", service_s=1.0)]
    outcomes = [CallOutcome(number, False) for number in range(count)]
    async with anyio.create_task_group() as background:
        router = await start_router(background, runners, queue_limit=8)
        async with anyio.create_task_group() as callers:
            for outcome in outcomes:
                callers.start_soon(call, router, outcome)
        waiting = len(router.queue_by_service["quotes"])
    return outcomes, runners, waiting


def test_requests_beyond_queue_and_slots_are_refused_as_not_run():
    """A request that finds the queue full is refused before it reaches a runner."""
    outcomes, runners, waiting = run_virtual(overload_runner, 40)
    refused = [outcome for outcome in outcomes if outcome.verdict is Verdict.NOT_RUN]
    assert len(refused) == 40 - 8 - 8
    assert len(runners[0].executed) == 16
    assert waiting == 0


async def send_retries(requests: int) -> int:
    """Return how many requests the runners received when one of three always fails."""
    runners = []
    for number in range(RUNNERS):
        faults = [RunnerFault.RESET_AFTER] * 10_000 if number == 0 else []
        runners.append(StandinRunner(f"runner-{number}", faults=faults))
    async with anyio.create_task_group() as background:
        router = await start_router(background, runners, eject_failures=10_000)
        for number in range(requests):
            await call(router, CallOutcome(number, True))
    return sum(runner.received for runner in runners)


def test_retries_stay_within_the_budget():
    """Without a budget, each failure of a runner adds load to the others."""
    received = run_virtual(send_retries, 1000)
    assert received <= 1000 + 10 + 1000 * RequestSettings().retry_budget


async def send_hedged(hedge_after_s: float) -> tuple[float, int]:
    """Return the longest response time and how many requests the runners received."""
    runners = [
        StandinRunner("runner-0", service_s=5.0),
        StandinRunner("runner-1", service_s=0.01),
    ]
    async with anyio.create_task_group() as background:
        router = await start_router(background, runners, hedge_after_s=hedge_after_s)
        slowest_s = 0.0
        for number in range(20):
            began_s = anyio.current_time()
            outcome = CallOutcome(number, True)
            await call(router, outcome)
            slowest_s = max(slowest_s, anyio.current_time() - began_s)
            assert outcome.verdict is Verdict.RAN
        assert router.in_flight == 0
        background.cancel_scope.cancel()
    return slowest_s, sum(runner.received for runner in runners)


def test_hedged_request_avoids_a_slow_runner():
    """A runner that takes 5 s must not delay responses; hedges stay in the budget."""
    slowest_s, received = run_virtual(send_hedged, 0.1)
    assert slowest_s < 1.0
    assert received <= 20 + 10 + 20 * RequestSettings().retry_budget


async def send_to_leaving_runner(bound_s: float) -> int:
    """Return how many requests a leaving runner receives.

    The requests are sent ``bound_s`` seconds after the runner was listed as leaving.
    """
    runners = [StandinRunner("runner-0"), StandinRunner("runner-1")]
    async with anyio.create_task_group() as background:
        fleet = Fleet(background, ZONES[:1], 1, 1)
        fleet.instances.add(make_runner("runner-0"))
        fleet.instances.add(make_runner("runner-1"))
        link_by_name = {r.name: FakeRunnerLink(r, background) for r in runners}
        fleet.connect_runner = lambda instance: link_by_name[instance.name]
        fleet.start()
        await anyio.sleep(4.0)
        router = fleet.live_nodes()[0].router
        for number in range(20):
            await call(router, CallOutcome(number, True))
        assert runners[0].received
        fleet.instances.add(make_runner("runner-0", leaving=True))
        await anyio.sleep(bound_s)
        before = runners[0].received
        for number in range(20, 60):
            await call(router, CallOutcome(number, True))
        background.cancel_scope.cancel()
    return runners[0].received - before


def test_leaving_runner_receives_no_requests_after_the_bound():
    """A runner that leaves would not finish requests that it receives too late."""
    assert run_virtual(send_to_leaving_runner, 3.0) == 0


async def sweep_keys(retention_s: float) -> list[bool]:
    """Return whether the rows of an old and of a new key remain after a sweep."""
    now_s = 0.0
    table = MemoryTable()
    keys = IdempotencyKeys(table, lambda: now_s)
    await keys.claim("shops", "old", "r-1")
    now_s = 100.0
    await keys.claim("shops", "new", "r-2")
    assert await keys.sweep(retention_s) == 1
    found = [await table.get(f"once/shops/{key}") for key in ("old", "new")]
    return [row is not None for row in found]


def test_sweep_deletes_expired_keys():
    """The rows of keys must not accumulate; a key within the retention remains."""
    assert run_virtual(sweep_keys, 50.0) == [False, True]


@pytest.mark.parametrize(
    ("received_bytes", "verdict"),
    [(10_000, Verdict.NOT_RUN), (70_000, Verdict.MAY_HAVE_RUN)],
)
def test_body_that_is_refused_in_parts_has_run_only_if_parts_were_sent(
    received_bytes, verdict
):
    parts = [(bytes(received_bytes), True)]

    async def receive():
        if not parts:
            raise FlamingoweirError(ErrorCode.OVERLOADED, "no memory")
        return parts.pop()

    async def scenario():
        body = RequestBody(receive, 1_000_000)
        with pytest.raises(FlamingoweirError) as caught:
            await body.prefetch()
            async for _ in body.parts():
                pass
        assert caught.value.verdict is verdict

    anyio.run(scenario)
