"""Submitters' calls at instances whose store is unavailable, slow or unreliable."""

import asyncio
import random
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import partial
from itertools import pairwise
from types import SimpleNamespace

import anyio
import orjson
import pytest

from flamingoweir.errors import (
    FlamingoweirError,
    outcome_unknown_error,
    store_unavailable_error,
)
from flamingoweir.jobs import JobState
from flamingoweir.ownership import job_row
from flamingoweir.policy import StoreAvailability, SubmissionBudget
from flamingoweir.policy._store_availability import (
    MIN_FAILED_CALLS,
    MIN_SILENT_S,
    RESPONSE_LIMIT_S,
)
from flamingoweir.queues import _unknown_outcomes
from flamingoweir.queues._store_monitor import StoreMonitor
from flamingoweir.queues._unknown_outcomes import UnknownOutcomes
from flamingoweir.registry._follower import TableFollower
from flamingoweir.storage import (
    HistoryTruncated,
    RowId,
    RowPage,
    RowVersionConflict,
    StoreOutcomeUnknown,
    StoreRefused,
)
from tests.utils.cluster import make_job, run_cluster
from tests.utils.ingress import delete_job, get_state, post_job
from tests.utils.virtual_time import VirtualClock, run_virtual

MEMBERS = 10
CALLS_PER_S = 30
#: A submission that takes 245 kB until the store has confirmed it.
LARGE_BODY = orjson.dumps({"Phases": 100 * [{"Count": 1}]})
#: Timeout of a call whose caller waits 3 s.
TIMEOUT_S = 1.26
#: Longest time in seconds for which instances may refuse calls once the store is back
#: after a long outage. Probes that follow faster are a load that a store which is
#: behind may never catch up with.
MAX_REFUSING_S = 1.25


class Load:
    """Calls that submit jobs to random instances, and what became of them.

    Attributes
    ----------
    calls : list of (float, int, JobSpec, FlamingoweirError or None)
        Time of arrival and status of each call, its job, and the error.
    """

    def __init__(self, cluster, objective_s: float):
        policy = replace(make_job(0).policy, objective_s=objective_s)
        self.calls = []
        self._cluster = cluster
        self._policy = policy
        self._generator = random.Random(4)

    async def run(self, duration_s: float) -> None:
        members = list(self._cluster.member_by_name.values())
        async with anyio.create_task_group() as tasks:
            for _ in range(round(duration_s * CALLS_PER_S)):
                tasks.start_soon(self.submit, self._generator.choice(members))
                await anyio.sleep(1 / CALLS_PER_S)

    async def submit(self, member) -> None:
        started_s = anyio.current_time()
        job = make_job(self._generator.getrandbits(64), policy=self._policy)
        status, failure = 200, None
        try:
            await member.instance.handler.submit(job, TIMEOUT_S)
        except FlamingoweirError as error:
            status, failure = error.http_status, error
        self.calls.append((started_s, status, job, failure))

    def count(self, status: int, since_s: float = 0.0) -> int:
        return sum(call[0] >= since_s and call[1] == status for call in self.calls)


def lose_responses(link) -> None:
    """Let an instance's writes take effect without a response, and its reads fail."""

    async def apply_without_response(transaction) -> int:
        await anyio.sleep(link.delay_s)
        link._apply_ignoring_conflict(transaction)
        await anyio.sleep(link.timeout_s)
        raise StoreOutcomeUnknown("response lost")

    link.silent = True
    link.transact = apply_without_response


def restore_responses(link) -> None:
    link.silent = link.down = False
    vars(link).pop("transact", None)


def break_calls(link, generator, fault: str) -> None:
    """Let the store answer an instance slowly, or fail a part of its calls."""
    simulate_call = link._simulate_call

    async def simulate_faulty_call() -> None:
        await simulate_call()
        if fault == "slow":
            await anyio.sleep(generator.uniform(0.25, 0.396))
        if fault == "refusing" and generator.random() < 1 / 3:
            raise StoreRefused("refused")
        if fault == "losing" and generator.random() < 0.35:
            await anyio.sleep(link.timeout_s)
            raise StoreOutcomeUnknown("response lost")

    link._simulate_call = simulate_faulty_call


async def call_repeatedly(member, job, calls: int) -> list[int]:
    """Submit a job several times; return the statuses."""
    statuses = []
    for _ in range(calls):
        try:
            await member.instance.handler.submit(job, TIMEOUT_S)
            statuses.append(200)
        except FlamingoweirError as error:
            statuses.append(error.http_status)
    return statuses


async def run_outage(fault: str, objective_s: float) -> Load:
    """Run an outage of 6 s and the second after it; return the calls from its start."""
    async with run_cluster(members=MEMBERS, runners=0) as cluster:
        await cluster.owner()
        load = Load(cluster, objective_s)
        await load.run(2.0)
        load.calls.clear()
        members = cluster.member_by_name.values()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(load.run, 7.0)
            for member in members:
                if fault == "silent":
                    lose_responses(member.store)
                else:
                    member.store.down = True
            await anyio.sleep(6.0)
            for member in members:
                restore_responses(member.store)
            back_s = anyio.current_time()
        for _, status, job, error in load.calls:
            stored = job_row("s0", job.id) in cluster.rows.row_by_id
            assert stored is (status == 200 or (fault, status) == ("silent", 504))
            if status == 503 and "nothing was sent" in error.message:
                assert 1 <= error.retry_after_s <= 3
        print(
            f"{fault}, objective {objective_s}: 503 {load.count(503)}, 504 "
            f"{load.count(504)}, after return: 200 {load.count(200, back_s)}, "
            f"503 {load.count(503, back_s)}"
        )
        assert not load.count(503, back_s + MAX_REFUSING_S)
        return load


def test_calls_in_a_silent_outage_are_refused_before_they_are_sent():
    """Guards against calls with unknown outcome, which callers can't safely retry.

    Queues without an objective are served as before.
    """
    before = run_virtual(run_outage, "silent", 0.0)
    assert not before.count(503)
    after = run_virtual(run_outage, "silent", 1.0)
    assert after.count(504) < before.count(504) / 3
    assert after.count(503) > 2 * after.count(504)


def test_calls_to_a_store_that_refuses_all_are_answered_at_once():
    """Guards against callers that are held up by tries that are all refused."""
    load = run_virtual(run_outage, "down", 1.0)
    assert not load.count(504)
    assert load.count(503) > 100


@pytest.mark.parametrize("fault", ["slow", "refusing", "losing"])
def test_store_that_answers_some_calls_is_available(fault):
    """Guards against refusals by a store that is slow or fails a part of the calls."""

    async def scenario():
        async with run_cluster(members=MEMBERS, runners=0) as cluster:
            await cluster.owner()
            generator = random.Random(7)
            events = []
            for member in cluster.member_by_name.values():
                break_calls(member.store, generator, fault)
                monitor = member.instance.handler.store_monitor
                monitor._metrics = SimpleNamespace(incr=events.append)
            load = Load(cluster, 1.0)
            await load.run(30.0)
            assert not events, "the store was taken for unavailable"
            assert load.count(200) > 0.8 * len(load.calls)

    run_virtual(scenario)


def test_only_the_instance_that_is_cut_off_refuses_calls():
    """Guards against refusals elsewhere, and for jobs that are known to have ended."""

    async def scenario():
        async with run_cluster(members=3) as cluster:
            owner = await cluster.owner()
            job = await cluster.submit(make_job(1))
            await cluster.wait_for(job, JobState.DONE, 5.0)
            member = next(m for m in cluster.member_by_name.values() if m != owner)
            assert (await get_state(cluster, member, job.id))[0] == 200
            member.store.silent = True
            load = Load(cluster, 1.0)
            await load.submit(member)
            # With a single call of its own, the instance needs check reads to decide.
            await anyio.sleep(2.0)
            asked_s = anyio.current_time()
            assert (await get_state(cluster, member, f"{2:016x}"))[0] == 503
            assert anyio.current_time() == asked_s
            assert (await get_state(cluster, member, job.id))[0] == 200
            await load.submit(owner)
            await load.submit(member)
            statuses = [status for _, status, _, _ in load.calls]
            assert statuses == [504, 200, 503]

    run_virtual(scenario)


def test_repeated_call_whose_first_may_be_stored_never_counts_as_not_run():
    """Guards against "not run" for a job that an earlier call has stored."""

    async def scenario():
        async with run_cluster(members=2, runners=0) as cluster:
            owner = await cluster.owner()
            member = next(m for m in cluster.member_by_name.values() if m != owner)
            policy = replace(make_job(0).policy, objective_s=1.0)
            lose_responses(member.store)
            job = make_job(1, policy=policy)
            assert await call_repeatedly(member, job, 3) == [504, 504, 504]
            assert job_row("s0", job.id) in cluster.rows.row_by_id
            refused = make_job(2, policy=policy)
            assert await call_repeatedly(member, refused, 1) == [503]
            member.store.down = True
            assert await call_repeatedly(member, job, 1) == [504]
            assert await call_repeatedly(member, refused, 1) == [503]
            restore_responses(member.store)
            assert await call_repeatedly(member, job, 1) == [200]
            assert await call_repeatedly(member, refused, 1) == [200]

    run_virtual(scenario)


@asynccontextmanager
async def run_small_cluster():
    """Run instances that can hold nine submissions of `LARGE_BODY`.

    Yields the cluster, its owner, another member, and a function that submits a job
    there; it keeps status and duration by the job's number in the dict that is given.
    """
    async with run_cluster(members=2, runners=0, memory_mb=20.0) as cluster:
        owner = await cluster.owner()
        member = next(m for m in cluster.member_by_name.values() if m != owner)

        async def submit(number: int, answers: dict) -> None:
            started_s = anyio.current_time()
            status = await post_job(cluster, member, number, LARGE_BODY)
            answers[number] = (status, anyio.current_time() - started_s)

        yield cluster, owner, member, submit


def test_submissions_that_a_silent_store_does_not_confirm_are_bounded():
    """Guards against memory that grows with each submission of an outage."""

    async def scenario():
        async with run_small_cluster() as (cluster, _, member, submit):
            lose_responses(member.store)
            answers = {}
            async with anyio.create_task_group() as tasks:
                for number in range(40):
                    tasks.start_soon(submit, number, answers)
            statuses = [status for status, _ in answers.values()]
            assert (statuses.count(504), statuses.count(503)) == (9, 31)
            for number, (status, elapsed_s) in answers.items():
                # Whatever is sent takes effect here.
                was_sent = job_row("s0", f"{number:016x}") in cluster.rows.row_by_id
                assert was_sent == (status == 504)
                assert was_sent or elapsed_s < 0.5
            restore_responses(member.store)
            await anyio.sleep(MAX_REFUSING_S)
            for number in range(40):
                await submit(number, answers)
                assert answers[number][0] == 200

    run_virtual(scenario)


def test_refusal_for_memory_is_true():
    """Guards against "not run" for a job that is stored, or may be."""

    async def scenario():
        async with run_small_cluster() as (cluster, owner, member, submit):
            assert await post_job(cluster, owner, 20, LARGE_BODY) == 200
            member.store.lose_answers = 9
            first, beside = {}, {}
            async with anyio.create_task_group() as tasks:
                for number in range(9):
                    tasks.start_soon(submit, number, first)
                await anyio.sleep(0.1)
                for number in (20, 21, 0):
                    await submit(number, beside)
                assert [status for status, _ in beside.values()] == [200, 503, 504]
                assert job_row("s0", f"{21:016x}") not in cluster.rows.row_by_id
            assert [status for status, _ in first.values()] == 9 * [200]
            await submit(21, beside)
            assert beside[21][0] == 200

    run_virtual(scenario)


def test_single_submission_has_room_however_large_it_is():
    """Guards against a small instance that never takes a large job."""
    budget = SubmissionBudget(memory_mb=1.0)
    assert budget.has_room
    size = budget.add(2_000_000)
    assert not budget.has_room
    budget.remove(size)
    assert budget.has_room


def test_ids_of_unknown_outcome_are_bounded(monkeypatch):
    """Guards against memory that grows with each call of a long outage."""
    monkeypatch.setattr(_unknown_outcomes, "MAX_REMEMBERED", 2)
    outcomes = UnknownOutcomes()
    for job_id in ("a", "b", "a", "c"):
        with pytest.raises(FlamingoweirError), outcomes.track(job_id):
            raise outcome_unknown_error()
    assert [job_id in outcomes for job_id in "abc"] == [True, False, True]
    with pytest.raises(FlamingoweirError), outcomes.track("d"):
        raise store_unavailable_error()
    with outcomes.track("a"):
        pass
    assert "a" not in outcomes
    assert "d" not in outcomes


def test_call_from_before_a_response_or_a_pause_is_no_evidence():
    """Guards against a slow call, or a paused process, that is taken for an outage."""
    availability = StoreAvailability()
    calls = [availability.begin_call(0.0) for _ in range(20)]
    assert not availability.review(RESPONSE_LIMIT_S / 2)
    availability.record_pause(3.0, 3.2)
    availability.review(3.2)
    assert not availability.unavailable
    availability.record_response(calls.pop(), 3.3)
    for call in calls:
        availability.record_failure(call)
    assert not availability.review(9.0)
    assert not availability.unavailable


def test_checks_and_decision_wait_until_a_slow_store_would_have_answered():
    """Guards against load on a slow store, and refusals after a burst of failures."""
    availability = StoreAvailability()
    availability.begin_call(0.0)
    assert not availability.review(0.4)
    assert availability.review(RESPONSE_LIMIT_S)
    for _ in range(MIN_FAILED_CALLS):
        availability.record_failure(availability.begin_call(0.6))
    availability.record_response(availability.begin_call(0.7), 0.7)
    for _ in range(MIN_FAILED_CALLS):
        availability.record_failure(availability.begin_call(0.8))
    availability.review(0.9)
    assert not availability.unavailable
    availability.review(1.3)
    assert availability.unavailable


def test_call_given_up_early_is_no_evidence():
    """Guards against short deadlines that make a slow store count as unavailable."""
    availability = StoreAvailability()
    for number in range(2 * MIN_FAILED_CALLS):
        sent_s = number / 10
        availability.record_timeout(availability.begin_call(sent_s), sent_s + 0.3)
        availability.review(sent_s + 0.3)
    assert not availability.unavailable
    for number in range(MIN_FAILED_CALLS):
        sent_s = 3 + number / 10
        availability.record_timeout(availability.begin_call(sent_s), sent_s + 0.5)
    availability.review(5.0)
    assert availability.unavailable


def test_pending_calls_count_only_after_a_longer_silence():
    """Guards against a busy instance that takes one lost response for an outage."""
    availability = StoreAvailability()
    availability.begin_call(0.0)
    for number in range(2 * MIN_FAILED_CALLS):
        availability.begin_call(0.5 + number / 100)
    assert availability.review(0.9)
    availability.review(MIN_SILENT_S)
    assert availability.unavailable


class ProbedStore:
    """A store whose reads have a given outcome: an error, or None for no response."""

    def __init__(self):
        self.outcome = None
        self.delay_s = 0.0
        self.read_times_s = []

    async def read(self, *args) -> None:
        self.read_times_s.append(anyio.current_time())
        if self.outcome is None:
            await anyio.sleep_forever()
        await anyio.sleep(self.delay_s)
        raise self.outcome


@asynccontextmanager
async def run_monitor(calls: int = MIN_FAILED_CALLS):
    """Run the monitor of an instance with pending calls to a silent store."""
    store, events = ProbedStore(), []
    monitor = StoreMonitor(
        store,
        RowId("t", "", "k"),
        VirtualClock(),
        random.Random(5),
        SimpleNamespace(incr=events.append),
    )
    policy = replace(make_job(0).policy, objective_s=1.0)
    monitor.check_available(policy)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(monitor.run)
        for _ in range(calls):
            tasks.start_soon(monitor.call, anyio.sleep_forever)
        yield monitor, store, events
        tasks.cancel_scope.cancel()


async def raise_error(error: Exception) -> None:
    raise error


@pytest.mark.parametrize(
    ("error", "available"),
    [
        (RowVersionConflict([]), True),
        (StoreRefused("429", True), True),
        (StoreRefused("503"), False),
        (StoreOutcomeUnknown("connection lost"), False),
    ],
)
def test_any_response_makes_the_store_available(error, available):
    """Guards against refusals while the store responds, if only by an error."""

    async def scenario():
        async with run_monitor() as (monitor, _, events):
            await anyio.sleep(0.6)
            assert monitor._availability.unavailable
            with pytest.raises(type(error)):
                await monitor.call(partial(raise_error, error))
            assert monitor._availability.unavailable is not available

    run_virtual(scenario)


@pytest.mark.parametrize(
    ("error", "available"),
    [
        (None, True),
        (HistoryTruncated("410"), True),
        (StoreRefused("429", True), True),
        (StoreRefused("503"), False),
        (StoreOutcomeUnknown("connection lost"), False),
    ],
)
def test_calls_of_the_feed_count(error, available):
    """Guards against an instance that ignores what its feed sees of the store."""

    class FeedStore:
        async def read(self, *args) -> RowPage:
            await anyio.sleep_forever()

        async def follow(self, *args) -> RowPage:
            await anyio.sleep(0.1)
            if error is not None:
                raise error
            return RowPage([], False, 1, None)

    async def scenario():
        calls = []
        follower = TableFollower(
            FeedStore(),
            "op",
            ("",),
            0.9,
            lambda rows, whole: None,
            VirtualClock(),
            record_call=lambda sent_s, answered: calls.append(answered),
        )
        follower.resume_from(1, 0.0)
        with anyio.move_on_after(0.15):
            await follower.run()
        assert calls[:1] == [available]
        async with run_monitor() as (monitor, _, events):
            await anyio.sleep(0.6)
            monitor.record_feed_call(anyio.current_time() - 0.1, available)
            assert monitor._availability.unavailable is not available

    run_virtual(scenario)


@pytest.mark.parametrize("delay_s", [0.3, 0.8])
def test_pause_of_the_process_is_no_outage(delay_s):
    """Guards against responses that a paused process has not read yet.

    The second pause comes while a check read is pending.
    """

    async def scenario():
        async with run_monitor(calls=1) as (monitor, store, events):
            await anyio.sleep(delay_s)
            assert bool(store.read_times_s) is (delay_s > 0.75)
            for _ in range(MIN_FAILED_CALLS):
                monitor._availability.begin_call(anyio.current_time())
            asyncio.get_running_loop().virtual_s += 1.5
            await anyio.sleep(0.1)
            assert "store_unavailable" not in events
            await anyio.sleep(0.6)
            assert "store_unavailable" in events

    run_virtual(scenario)


@pytest.mark.parametrize(
    ("silent_s", "delay_s", "refusing_s"),
    [(0.7, 0.0, 0.55), (12.0, 0.0, 1.25), (0.7, 0.65, 1.25)],
)
def test_refusals_end_soon_after_the_return(silent_s, delay_s, refusing_s):
    """Guards against probes that are too rare, or given up before a slow response."""

    async def scenario():
        async with run_monitor() as (monitor, store, _):
            await anyio.sleep(silent_s)
            assert monitor._availability.unavailable
            store.delay_s = delay_s
            store.outcome = RowVersionConflict([])
            await anyio.sleep(refusing_s)
            assert not monitor._availability.unavailable

    run_virtual(scenario)


def test_probes_of_an_unavailable_store_grow_rarer():
    """Guards against probes that keep a loaded store overloaded."""

    async def scenario():
        async with run_monitor() as (_, store, _):
            await anyio.sleep(12.0)
            times_s = store.read_times_s
            pauses_s = [after - before for before, after in pairwise(times_s)]
            assert pauses_s[0] < 0.45
            assert all(0.75 <= pause_s <= 1.3 for pause_s in pauses_s[5:])
            assert 10 <= len(times_s) <= 18

    run_virtual(scenario)


def test_fault_in_the_review_or_a_probe_does_not_end_the_monitor(monkeypatch):
    """Guards against an instance that refuses calls for good after one fault."""

    async def scenario():
        async with run_monitor() as (monitor, store, events):
            review = StoreAvailability.review
            monkeypatch.setattr(StoreAvailability, "review", lambda *_: 1 / 0)
            await anyio.sleep(0.6)
            assert "store_review_failed" in events
            monkeypatch.setattr(StoreAvailability, "review", review)
            store.outcome = ValueError("fault")
            await anyio.sleep(2.0)
            assert "store_unavailable" in events
            assert "store_read_failed" in events
            store.outcome = RowVersionConflict([])
            await anyio.sleep(1.3)
            assert not monitor._availability.unavailable

    run_virtual(scenario)


def test_cancellation_is_refused_for_queues_with_an_objective_only():
    """Guards against DELETE calls whose outcome is unknown, and refusals elsewhere."""

    async def scenario():
        async with run_cluster(members=1, runners=0) as cluster:
            member = await cluster.owner()
            handler = member.instance.handler
            handler.store_monitor._availability.unavailable = True
            handler.store_monitor._unavailable_since_s = anyio.current_time()
            assert await delete_job(cluster, member, f"{1:016x}") == 503
            policy = replace(make_job(0).policy, objective_s=0.0)
            assert not await handler.cancel(f"{1:016x}", 1.0, policy=policy)

    run_virtual(scenario)
