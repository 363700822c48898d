"""What callers are told holds, whatever runners do (hypothesis, virtual time)."""

import random

import anyio
import hypothesis
from hypothesis import strategies as st

from flamingoweir.errors import FlamingoweirError, Verdict
from flamingoweir.membership import Directory
from flamingoweir.metrics import NoMetrics
from flamingoweir.routing import IdempotencyKeys, Router, RunnerTable
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


class Told:
    """What one caller was told."""

    def __init__(self, number: int, idempotent: bool):
        self.number = number
        self.idempotent = idempotent
        self.verdict = Verdict.RAN
        self.status = 0
        self.body = b""


async def start_router(tasks, runners: list[StandinRunner], **settings) -> Router:
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


async def call(router: Router, told: Told) -> None:
    deadline_s = anyio.current_time() + TIMEOUT_S
    request = make_request(told.number, told.idempotent, deadline_s)
    await request.body.prefetch()
    try:
        answer = await router.serve(request)
    except FlamingoweirError as error:
        told.verdict = error.verdict
        return
    router.finish(request)
    told.status = answer.head.status
    told.body = answer.whole


async def run_callers(faults, count: int) -> tuple[list[Told], list[StandinRunner]]:
    runners = []
    for number, planned in enumerate(faults):
        runners.append(
            StandinRunner(f"runner-{number}", service_s=0.05, faults=list(planned))
        )
    everyone = [Told(number, number % 2 == 0) for number in range(count)]
    async with anyio.create_task_group() as outside:
        routers = [await start_router(outside, runners) for _ in range(2)]
        async with anyio.create_task_group() as callers:
            for told in everyone:
                callers.start_soon(call, routers[told.number % 2], told)
                await anyio.sleep(0.02)
        await anyio.sleep(30.0)
    for router in routers:
        assert router.in_flight == 0
        assert all(
            not runner.in_flight for runner in router.runners.runner_by_name.values()
        )
    return everyone, runners


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


def test_a_refusal_is_tried_elsewhere_even_if_not_idempotent():
    faults = [[RunnerFault.REFUSE], [RunnerFault.REFUSE], []]
    everyone, _ = run_virtual(run_callers, faults, 3)
    assert [told.status for told in everyone] == [200, 200, 200]


def test_a_reset_is_not_repeated_unless_idempotent():
    faults = [[RunnerFault.RESET_BEFORE] * 9 for _ in range(RUNNERS)]
    everyone, runners = run_virtual(run_callers, faults, 2)
    assert everyone[1].verdict is Verdict.MAY_HAVE_RUN
    assert sum(runner.received for runner in runners) > 2


async def overload(count: int) -> tuple[list[Told], list[StandinRunner], int]:
    runners = [StandinRunner("runner-0", service_s=1.0)]
    everyone = [Told(number, False) for number in range(count)]
    async with anyio.create_task_group() as outside:
        router = await start_router(outside, runners, queue_limit=8)
        async with anyio.create_task_group() as callers:
            for told in everyone:
                callers.start_soon(call, router, told)
        waiting = len(router.queue_by_service["quotes"])
    return everyone, runners, waiting


def test_beyond_queue_and_slots_requests_are_refused_as_not_run():
    everyone, runners, waiting = run_virtual(overload, 40)
    refused = [told for told in everyone if told.verdict is Verdict.NOT_RUN]
    assert len(refused) == 40 - 8 - 8
    assert len(runners[0].executed) == 16
    assert waiting == 0


async def send_retries(requests: int) -> int:
    runners = []
    for number in range(RUNNERS):
        faults = [RunnerFault.RESET_AFTER] * 10_000 if number == 0 else []
        runners.append(StandinRunner(f"runner-{number}", faults=faults))
    async with anyio.create_task_group() as outside:
        router = await start_router(outside, runners, eject_failures=10_000)
        for number in range(requests):
            await call(router, Told(number, True))
    return sum(runner.received for runner in runners)


def test_retries_stay_within_the_budget():
    received = run_virtual(send_retries, 1000)
    assert received <= 1000 + 10 + 1000 * RequestSettings().retry_budget


async def hedge(hedge_after_s: float) -> tuple[float, int]:
    runners = [
        StandinRunner("runner-0", service_s=5.0),
        StandinRunner("runner-1", service_s=0.01),
    ]
    async with anyio.create_task_group() as outside:
        router = await start_router(outside, runners, hedge_after_s=hedge_after_s)
        slowest_s = 0.0
        for number in range(20):
            began_s = anyio.current_time()
            told = Told(number, True)
            await call(router, told)
            slowest_s = max(slowest_s, anyio.current_time() - began_s)
            assert told.verdict is Verdict.RAN
        assert router.in_flight == 0
        outside.cancel_scope.cancel()
    return slowest_s, sum(runner.received for runner in runners)


def test_a_slow_runner_is_overtaken_by_a_second_copy():
    slowest_s, received = run_virtual(hedge, 0.1)
    assert slowest_s < 1.0
    assert received <= 20 + 10 + 20 * RequestSettings().retry_budget


async def leave(bound_s: float) -> int:
    runners = [StandinRunner("runner-0"), StandinRunner("runner-1")]
    async with anyio.create_task_group() as outside:
        fleet = Fleet(outside, ZONES[:1], 1, 1)
        fleet.instances.add(make_runner("runner-0"))
        fleet.instances.add(make_runner("runner-1"))
        link_by_name = {r.name: FakeRunnerLink(r, outside) for r in runners}
        fleet.connect_runner = lambda instance: link_by_name[instance.name]
        fleet.start()
        await anyio.sleep(4.0)
        router = fleet.live_nodes()[0].router
        for number in range(20):
            await call(router, Told(number, True))
        assert runners[0].received
        fleet.instances.add(make_runner("runner-0", leaving=True))
        await anyio.sleep(bound_s)
        before = runners[0].received
        for number in range(20, 60):
            await call(router, Told(number, True))
        outside.cancel_scope.cancel()
    return runners[0].received - before


def test_a_leaving_runner_gets_nothing_after_the_bound():
    assert run_virtual(leave, 3.0) == 0


async def sweep(keep_s: float) -> list[bool]:
    now_s = 0.0
    table = MemoryTable()
    keys = IdempotencyKeys(table, lambda: now_s)
    await keys.claim("shops", "old", "r-1")
    now_s = 100.0
    await keys.claim("shops", "new", "r-2")
    assert await keys.sweep(keep_s) == 1
    found = [await table.get(f"once/shops/{key}") for key in ("old", "new")]
    return [row is not None for row in found]


def test_old_keys_are_forgotten():
    assert run_virtual(sweep, 50.0) == [False, True]
