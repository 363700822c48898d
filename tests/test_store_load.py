"""A store of limited capacity, and the calls of many instances after a hiccup."""

import random
from types import SimpleNamespace

import anyio
import pytest

from flamingoweir.errors import FlamingoweirError
from flamingoweir.metrics import NoMetrics
from flamingoweir.queues._store_calls import StoreCalls
from flamingoweir.queues._store_monitor import StoreMonitor
from flamingoweir.storage import RowId, RowPage, StoreOutcomeUnknown, Transaction
from tests.utils.virtual_time import VirtualClock, run_virtual

INSTANCES = 100
SUBMISSIONS_PER_S = 150
CAPACITY_PER_S = 340
CALL_TIMEOUT_S = 0.7
SUBMISSION_TIMEOUT_S = 1.26
FEED_INTERVAL_S = 0.9


class LimitedStore:
    """Works on calls in the order of arrival, also on those that were given up."""

    def __init__(self):
        self.free_s = 0.0
        self.reads = 0

    async def _work(self) -> None:
        now_s = anyio.current_time()
        self.free_s = max(self.free_s, now_s) + 1 / CAPACITY_PER_S
        if self.free_s - now_s > CALL_TIMEOUT_S:
            await anyio.sleep(CALL_TIMEOUT_S)
            raise StoreOutcomeUnknown("no response")
        await anyio.sleep(self.free_s - now_s)

    async def transact(self, transaction) -> int:
        await self._work()
        return 1

    async def read(self, *args) -> RowPage:
        self.reads += 1
        await self._work()
        return RowPage([], False, 1, None)


async def follow_table(store: LimitedStore, monitor: StoreMonitor, generator) -> None:
    """Call the store like the follower of the operators' table."""
    await anyio.sleep(generator.uniform(0, FEED_INTERVAL_S))
    while True:
        sent_s = anyio.current_time()
        try:
            await store._work()
        except StoreOutcomeUnknown:
            monitor.record_feed_call(sent_s, False)
            await anyio.sleep(0.15)
            continue
        monitor.record_feed_call(sent_s, True)
        await anyio.sleep(FEED_INTERVAL_S)


async def run_hiccup(hiccup_s: float, refuses: bool) -> SimpleNamespace:
    """Submit for 30 s, with a hiccup after 5 s; return counts."""
    generator = random.Random(3)
    store, clock, metrics = LimitedStore(), VirtualClock(), NoMetrics()
    policy = SimpleNamespace(objective_s=1.0 if refuses else 0.0)
    result = SimpleNamespace(late_calls=0, late_served=0, served=0, refused=0)
    instances = []
    started_s = anyio.current_time()

    async def submit(monitor, calls):
        late = anyio.current_time() - started_s >= 22
        result.late_calls += late
        try:
            monitor.check_available(policy)
        except FlamingoweirError:
            result.refused += 1
            return
        try:
            await calls.transact(Transaction((), (), ()), SUBMISSION_TIMEOUT_S)
        except FlamingoweirError:
            return
        result.served += 1
        result.late_served += late

    async with anyio.create_task_group() as tasks:
        for _ in range(INSTANCES):
            monitor = StoreMonitor(
                store, RowId("t", "", "k"), clock, generator, metrics
            )
            calls = StoreCalls(store, clock, generator, metrics, monitor)
            instances.append((monitor, calls))
            tasks.start_soon(monitor.run)
            tasks.start_soon(follow_table, store, monitor, generator)
        for number in range(30 * SUBMISSIONS_PER_S):
            if number == 5 * SUBMISSIONS_PER_S:
                store.free_s = max(store.free_s, anyio.current_time()) + hiccup_s
            tasks.start_soon(submit, *generator.choice(instances))
            await anyio.sleep(1 / SUBMISSIONS_PER_S)
        await anyio.sleep(SUBMISSION_TIMEOUT_S)
        tasks.cancel_scope.cancel()
    result.reads = store.reads
    return result


@pytest.mark.parametrize("hiccup_s", [0.6, 3.0])
def test_refusals_end_after_a_hiccup_of_a_loaded_store(hiccup_s):
    """Guards against check reads and probes that keep a loaded store overloaded."""
    result = run_virtual(run_hiccup, hiccup_s, True)
    assert result.late_served >= 0.95 * result.late_calls, result
