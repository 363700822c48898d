"""An owner that is short of processor time keeps the leases of well runners alive.

A poll that waits until a report is applied renewed leases too late, so that runs of
submissions that nothing had happened to lapsed (review/12 on a fifth of a core).
"""

from types import SimpleNamespace

import anyio
import pytest

from flamingoweir.dispatch._context import TermContext
from flamingoweir.dispatch._lease_keeper import (
    ACKNOWLEDGEMENT,
    FENCE,
    PAUSE,
    RENEW_AFTER,
    REPORT,
    STOPS,
    LeaseKeeper,
)
from flamingoweir.dispatch._orders import OrderSender
from flamingoweir.dispatch._owner_state import OwnerState
from flamingoweir.dispatch._protocols import RunnerUnreachable
from flamingoweir.dispatch._report_turns import ReportTurns
from flamingoweir.dispatch._watch import RunnerWatch
from flamingoweir.fleet import RUNNER_LEASE_S, Runner
from flamingoweir.jobs import Outcome
from flamingoweir.registry import RunnerEntry
from flamingoweir.standins import MemoryRunnerLink
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import (
    VirtualClock,
    charge_calls,
    run_virtual,
    take_turns,
)

RUNNERS = 12
TASKS = 12_000
OTHER_TASKS = 42
#: Seconds within which a cancelled task is stopped, and that a stop may take.
CANCEL_S = 3.0
STOP_S = 0.9
#: Seconds for which a long-running task may be away.
LONGEST_ABSENCE_S = 9.0
#: Seconds that an owner takes to apply a run of a report, on a fifth of a core.
RUN_S = 0.000_05


class RenewalTimes:
    """Measures how long runners with attempts wait for a renewal."""

    def __init__(self, monkeypatch):
        self.longest_s = 0.0
        self._renewed_s: dict[str, float] = {}
        renew_lease = TermContext.renew_lease

        def record(context, runner):
            now_s = anyio.current_time()
            waited_s = now_s - self._renewed_s.get(runner.id, now_s)
            self.longest_s = max(self.longest_s, waited_s)
            self._renewed_s[runner.id] = now_s
            return renew_lease(context, runner)

        monkeypatch.setattr(TermContext, "renew_lease", record)


async def start_all(cluster):
    """Start a large job beside a long-running one; return both."""
    others = make_job(1, make_step(OTHER_TASKS, 0.5, lasting=True))
    large = make_job(2, make_step(TASKS, 0.05, estimate_s=1_000))
    for index in range(TASKS):
        cluster.plan_by_task[f"{large.id}.0.0.{index}"] = (1_000.0, Outcome.DONE)
    await cluster.submit(others)
    await cluster.submit(large)
    with anyio.fail_after(60):
        while len(cluster.records("start")) < TASKS + OTHER_TASKS:
            await anyio.sleep(0.5)
    return others, large


def count(cluster, kind: str) -> int:
    """Return how many records of a kind there are by now."""
    for runner in cluster.runner_by_id.values():
        runner.advance()
    return len(cluster.records(kind))


@pytest.mark.parametrize("turn_s", [0.02, 0.1])
def test_leases_hold_while_reports_wait_for_each_other(monkeypatch, turn_s):
    """Guards against runs that lapse behind a well owner once start orders cease."""
    renewals = RenewalTimes(monkeypatch)

    async def scenario():
        async with run_cluster(runners=RUNNERS, processors=60) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            _, large = await start_all(cluster)
            charge_calls(monkeypatch, RunnerWatch, "_update_running", RUN_S)
            cluster.tasks.start_soon(take_turns, turn_s)
            await anyio.sleep(8)
            assert count(cluster, "lapsed") == 0
            await owner.instance.handler.cancel(large.id, 2.0)
            await anyio.sleep(8)
            assert count(cluster, "lapsed") == 0

    run_virtual(scenario)
    print(f"the longest renewal waited for {renewals.longest_s:.2f} s")
    assert renewals.longest_s < RUNNER_LEASE_S


def test_long_reports_leave_time_to_other_work(monkeypatch):
    """Guards against starts that are ever slower as more tasks run.

    Applying a report of each runner takes 2.4 s here.
    """
    run_s, seconds = 4 * RUN_S, 20
    applied = []
    update_running = RunnerWatch._update_running

    def record(*args):
        applied.append(anyio.current_time())
        update_running(*args)

    async def scenario():
        async with run_cluster(runners=RUNNERS, processors=60) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            await start_all(cluster)
            monkeypatch.setattr(RunnerWatch, "_update_running", record)
            charge_calls(monkeypatch, RunnerWatch, "_update_running", run_s)
            await anyio.sleep(2)
            applied.clear()
            await anyio.sleep(seconds)
            assert count(cluster, "lapsed") == 0

    run_virtual(scenario)
    share = len(applied) * run_s / seconds
    print(f"long reports have taken {share:.2f} of the time")
    assert 0.1 < share < 0.36


@pytest.mark.parametrize("offset_s", [0.0, 2.0, 4.0])
def test_runner_that_is_lost_while_its_report_waits_is_missed(monkeypatch, offset_s):
    """Guards against long-running tasks that are away until a report has had its turn.

    Applying a report of each runner takes 2.4 s here, and the rest in between 4.8 s.
    """

    async def scenario():
        async with run_cluster(runners=RUNNERS, processors=60) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            others, _ = await start_all(cluster)
            charge_calls(monkeypatch, RunnerWatch, "_update_running", 4 * RUN_S)
            await anyio.sleep(8 + offset_s)
            [lost] = cluster.starts(f"{others.id}.0.0.0")
            lost_s = anyio.current_time()
            owner.link_by_runner[lost].disconnected = True
            await anyio.sleep(20)
            started_s = {}
            for record in cluster.records("start"):
                if record.task.job == others.id and record.at_s > lost_s:
                    started_s[str(record.task)] = record.at_s - lost_s
            away = find_tasks(cluster, others.id, lost, lost_s)
            assert away
            assert started_s.keys() == away
            print(f"away for {max(started_s.values()):.1f} s")
            assert max(started_s.values()) <= LONGEST_ABSENCE_S

    run_virtual(scenario)


def find_tasks(cluster, job_id: str, runner: str, until_s: float) -> set[str]:
    """Return the tasks of a job that a runner has started by then."""
    found = set()
    for record in cluster.records("start"):
        is_earlier = record.runner == runner and record.at_s < until_s
        if is_earlier and record.task.job == job_id:
            found.add(str(record.task))
    return found


def test_stops_are_in_time_on_a_short_processor(monkeypatch):
    """Guards against stops that wait for many turns of a slow event loop."""

    async def scenario():
        async with run_cluster(runners=RUNNERS, processors=60) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            _, large = await start_all(cluster)
            charge_calls(monkeypatch, RunnerWatch, "_update_running", RUN_S)
            charge_calls(monkeypatch, OrderSender, "stop", RUN_S)
            charge_calls(monkeypatch, OwnerState, "end_attempt", RUN_S)
            cluster.tasks.start_soon(take_turns, 0.05)
            await anyio.sleep(2)
            await owner.instance.handler.cancel(large.id, 2.0)
            await anyio.sleep(CANCEL_S + STOP_S)
            assert count(cluster, "stopped") == TASKS
            assert count(cluster, "lapsed") == 0

    run_virtual(scenario)


class RenewedLink:
    """Counts renewals; each gets a response or not."""

    def __init__(self):
        self.answers = True
        self.renewals = 0

    async def renew(self, fence, deadline_ms):
        self.renewals += 1
        await anyio.sleep(0.01)
        if not self.answers:
            raise RunnerUnreachable("a test")


class KeptRunner:
    """A runner with an attempt, and what keeps its lease.

    Attributes
    ----------
    runner : Runner
        The runner; its lease was just renewed.
    link : RenewedLink
        Its link.
    keeper : LeaseKeeper
        Renews its lease.
    """

    def __init__(self, tasks):
        self.clock = VirtualClock()
        self.runner = Runner(RunnerEntry("a", 1, "s", "host:1", "zone"), 10.0)
        self.runner.begin_incarnation(1, self.clock.now())
        self.runner.record_response(0.0, self.clock.now())
        self.runner.allocation_by_run = {"task": SimpleNamespace()}
        self.link = RenewedLink()
        self.lost = []
        state = SimpleNamespace(
            runner_by_id={"a": self.runner},
            record_lost=lambda *args: self.lost.append(args),
        )
        context = SimpleNamespace(
            clock=self.clock, owner_state=state, renew_lease=self._renew_lease
        )
        calls = SimpleNamespace(
            find_link=lambda _: self.link, contain=lambda *_: anyio.CancelScope()
        )
        self.keeper = LeaseKeeper(context, calls, tasks)
        tasks.start_soon(self.keeper.run)
        self._renew_lease(self.runner)

    def _renew_lease(self, runner):
        runner.renewed_s = self.clock.now()
        return 1


@pytest.mark.parametrize(
    ("cause", "due_s"),
    [(REPORT, 1.0), (PAUSE, 1.0), (STOPS, 0.6), (ACKNOWLEDGEMENT, 1.4), (FENCE, 1.4)],
)
def test_lease_is_renewed_in_time_whatever_its_poll_waits_for(cause, due_s):
    """Guards against a margin of less than 2.6 s for an owner or a runner that stops.

    Each wait but that for a write or a token may be long.
    """

    async def scenario():
        async with anyio.create_task_group() as tasks:
            kept = KeptRunner(tasks)
            kept.keeper.begin_wait(kept.runner, cause)
            await anyio.sleep(due_s - 0.05)
            assert kept.link.renewals == 0
            await anyio.sleep(0.2)
            assert kept.link.renewals == 1
            tasks.cancel_scope.cancel()

    run_virtual(scenario)


def test_runner_that_is_gone_is_forgotten():
    """Guards against runners that a term keeps in memory for their unanswered calls."""

    async def scenario():
        async with anyio.create_task_group() as tasks:
            kept = KeptRunner(tasks)
            kept.link.answers = False
            kept.keeper.begin_wait(kept.runner, REPORT)
            await anyio.sleep(2)
            assert kept.link.renewals == 1
            kept.keeper.forget(kept.runner)
            # Without its former call, it is renewed again.
            kept.keeper.begin_wait(kept.runner, REPORT)
            await anyio.sleep(0.2)
            assert kept.link.renewals == 2
            tasks.cancel_scope.cancel()

    run_virtual(scenario)


def test_report_of_a_lost_runner_gives_up_its_turn():
    """Guards against a runner that isn't polled until others have had their turn."""

    async def scenario():
        turns = ReportTurns()
        first, lost, last = (SimpleNamespace(responds=True) for _ in range(3))
        taken = []

        async def take(name, runner):
            taken.append((name, await turns.take(runner)))

        async with anyio.create_task_group() as tasks:
            assert await turns.take(first)
            tasks.start_soon(take, "lost", lost)
            await anyio.sleep(0.01)
            tasks.start_soon(take, "last", last)
            await anyio.sleep(1)
            assert taken == []
            lost.responds = False
            await anyio.sleep(0.3)
            assert taken == [("lost", False)]
            turns.give_back()
            await anyio.sleep(0.01)
            assert taken == [("lost", False), ("last", True)]

    run_virtual(scenario)


@pytest.mark.parametrize(
    ("age_s", "polled", "renewals"),
    [(0.5, False, 0), (0.7, False, 1), (0.7, True, 0)],
)
def test_lease_is_renewed_before_many_stops(age_s, polled, renewals):
    """Guards against a lease that lapses while a runner carries out stops.

    On a short processor it reads no other call for seconds. The poll that is under way
    has renewed the lease, and its response comes with the first end.
    """

    async def scenario():
        async with anyio.create_task_group() as tasks:
            kept = KeptRunner(tasks)
            if not polled:
                kept.keeper.begin_wait(kept.runner, PAUSE)
            await anyio.sleep(age_s)
            kept.keeper.renew_before_stops(kept.runner)
            kept.keeper.renew_before_stops(kept.runner)
            await anyio.sleep(0.05)
            assert kept.link.renewals == renewals
            if not polled:
                kept.keeper.begin_wait(kept.runner, STOPS)
                await anyio.sleep(RUNNER_LEASE_S)
                assert kept.link.renewals >= renewals + 4
            tasks.cancel_scope.cancel()

    run_virtual(scenario)


def test_renewal_without_a_response_is_not_followed_by_another():
    """Guards against the lease of a silent runner that never lapses."""

    async def scenario():
        async with anyio.create_task_group() as tasks:
            kept = KeptRunner(tasks)
            keeper, runner, link = kept.keeper, kept.runner, kept.link
            await anyio.sleep(5)
            # A poll is under way.
            assert link.renewals == 0
            attempts, runner.allocation_by_run = runner.allocation_by_run, {}
            keeper.begin_wait(runner, "report")
            await anyio.sleep(5)
            assert link.renewals == 0
            # They were placed while the report waited.
            runner.allocation_by_run = attempts
            await anyio.sleep(10 * RENEW_AFTER * RUNNER_LEASE_S)
            assert link.renewals >= 7
            link.answers = False
            await anyio.sleep(3 * RUNNER_LEASE_S)
            unanswered = link.renewals
            assert len(kept.lost) == 1
            keeper.renew_all()
            await anyio.sleep(3 * RUNNER_LEASE_S)
            assert link.renewals == unanswered
            link.answers = True
            runner.record_response(0.0, kept.clock.now())
            await anyio.sleep(RUNNER_LEASE_S)
            assert link.renewals > unanswered
            runner.record_no_response(kept.clock.now())
            lost = link.renewals
            await anyio.sleep(3 * RUNNER_LEASE_S)
            assert link.renewals == lost
            tasks.cancel_scope.cancel()

    run_virtual(scenario)


def test_leases_hold_without_renewals_apart_from_polls_on_a_calm_day(monkeypatch):
    """Guards against calls that a day without a shortage doesn't need.

    Polls wait for writes of 0.2 s, and a call takes 0.1 s.
    """
    renewed = []
    renew = MemoryRunnerLink.renew

    async def record(link, *args):
        renewed.append(link)
        await renew(link, *args)

    monkeypatch.setattr(MemoryRunnerLink, "renew", record)

    async def scenario():
        async with run_cluster(runners=4, processors=60) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            owner.store.response_delay_s = 0.2
            for link in owner.link_by_runner.values():
                link._delay_s = 0.05
            renewed.clear()
            for number in range(40):
                step = make_step(5, 0.5, estimate_s=2)
                await cluster.submit(make_job(1 + number, step))
                await anyio.sleep(0.2)
            await cluster.submit(make_job(99, make_step(8, lasting=True)))
            await anyio.sleep(12)
            assert count(cluster, "lapsed") == 0

    run_virtual(scenario)
    assert not renewed
