"""Absent long-running tasks beside room that is promised or reserved for others.

See incidents 0016 and 0019. Stops that a planner requests are reported after a time
that the test gives; all else takes no time.
"""

import anyio
import pytest

from flamingoweir.jobs import JobSpec, Outcome, QueuePolicy, StepSpec
from flamingoweir.resources import Resources
from tests.test_planner import batch_spec, make_owner
from tests.utils.virtual_time import run_virtual

#: Longest time in seconds for which a task may be away with room for it (rule LOST).
MAX_AWAY_S = 9.0
PASS_S = 0.1


def memory_spec(count: int, eighths: int, processors_milli: int = 1000, **fields):
    """Return a step of tasks that need eighths of a runner's memory."""
    demand = Resources(processors_milli, 12_500 * eighths, 0)
    return StepSpec(count, demand, **fields)


class Fleet:
    """Runners of 8 processors and a planner that passes every tenth of a second."""

    def __init__(self, runners: int, *steps: StepSpec, stop_s: dict | None = None):
        owner = make_owner(runners, *steps, processors=8)
        self.planner, self.permission, self.state = owner
        self.runners = list(self.state.runner_by_id.values())
        self.steps = [job.run_by_step[0, 0] for job in self.state.job_by_id.values()]
        self.stop_s = stop_s or {}
        #: Seconds that each stop takes longer than the one before it.
        self.stagger_s = 0.0
        #: Seconds from the start to the end of tasks, and how they end, by image.
        self.end_by_image = {}
        self._end_by_stop = {}

    @property
    def evicted(self) -> int:
        """Number of evictions that were requested."""
        return len(self._end_by_stop)

    def run(self, number: int, runner: int, count: int = 1) -> None:
        for index in range(count):
            attempt = self.state.add_attempt(
                self.steps[number], index, self.runners[runner]
            )
            self.state.record_start(attempt)

    def lose(self, runner: int, steps: int) -> None:
        """Lose a runner on which the first steps run; their tasks lapse later."""
        self.permission.forbidden_ids.add(f"r{runner}")
        for number in range(steps):
            self.run(number, runner)

    def lapse(self, number: int, runner: int) -> None:
        task = self.steps[number].task_id(0)
        self.state.end_attempt(self.runners[runner], task, 1, Outcome.LAPSED, "")

    def add_batch(self, name: str, step: StepSpec) -> None:
        self.state.add_job(JobSpec(name, "q", "", (step,), QueuePolicy("s")))

    def is_placed(self, number: int) -> bool:
        return not self.steps[number].open_indexes

    async def pass_for(self, duration_s: float, *, until=()) -> None:
        """Pass until the time is over or one of the steps `until` is placed."""
        end_s = anyio.current_time() + duration_s
        while anyio.current_time() < end_s and not any(map(self.is_placed, until)):
            now_s = anyio.current_time()
            for attempt in list(self.state.pending_starts):
                self.state.record_start(attempt)
            for attempt in list(self.state.stops.pending):
                key = attempt.task, attempt.run
                stop_s = self.stop_s.get(attempt.runner, 1.0)
                stop_s += self.stagger_s * (self.evicted % 3)
                if now_s >= self._end_by_stop.setdefault(key, now_s + stop_s):
                    runner = self.state.runner_by_id[attempt.runner]
                    self.state.end_attempt(runner, *key, Outcome.STOPPED, "")
            self._end_attempts(now_s)
            await self.planner.plan()
            await anyio.sleep(PASS_S)

    def _end_attempts(self, now_s: float) -> None:
        for runner in self.runners:
            for key, allocation in list(runner.allocation_by_run.items()):
                ends = self.end_by_image.get(allocation.spec.image)
                if ends is None or runner.id in self.permission.forbidden_ids:
                    continue
                if now_s >= allocation.attempt.created_s + ends[0]:
                    self.state.end_attempt(runner, *key, ends[1], "")


def test_runner_reserved_for_an_absent_task_is_kept_from_those_with_room_there():
    """Guards against a reservation and promises that shut each other out for good.

    The large task finds no room for the promises to the small ones, and reserves the
    runner, so that these find none, either.
    """

    async def scenario():
        small = batch_spec(1, 1, lasting=True)
        fleet = Fleet(
            2,
            batch_spec(1, 5, lasting=True),
            small,
            small,
            batch_spec(1, 5),
            batch_spec(1, 3, lasting=True),
        )
        fleet.run(4, 0)
        for number in range(3):
            fleet.run(number, 1)
        fleet.run(3, 0)
        fleet.permission.forbidden_ids.add("r1")
        fleet.lapse(1, 1)
        await fleet.pass_for(0.7)
        fleet.lapse(2, 1)
        fleet.state.cancel_job("job-3")
        await fleet.pass_for(0.7)
        fleet.lapse(0, 1)
        await fleet.pass_for(MAX_AWAY_S, until=range(3))
        assert any(map(fleet.is_placed, range(3)))

    run_virtual(scenario)


@pytest.mark.parametrize("count, is_gang", [(1, False), (2, False), (1, True)])
def test_runner_reserved_for_a_task_that_does_not_fit_takes_an_absent_one_that_does(
    count, is_gang
):
    """Guards against a free part of a runner that is of use to none.

    A gang, which can't be evicted, is in the way of the older job's task. Of the step
    that fits, one task has run before; a new one leaves the runner alone.
    """

    async def scenario():
        fleet = Fleet(
            2,
            batch_spec(1, 6, lasting=True, image="large"),
            batch_spec(count, 2, lasting=True, image="small", gang=is_gang),
            batch_spec(1, 4, gang=True),
            batch_spec(1, 4, lasting=True),
            batch_spec(2, 2),
        )
        fleet.run(0, 0)
        fleet.lapse(0, 0)
        fleet.run(1, 0)
        fleet.run(2, 0)
        fleet.run(3, 1)
        fleet.run(4, 1, 2)
        fleet.permission.forbidden_ids.add("r0")
        await fleet.pass_for(0.2)
        fleet.permission.forbidden_ids.clear()
        await fleet.pass_for(1.0)
        fleet.lapse(1, 0)
        # It has room on the first runner and could evict batch on the second one.
        await fleet.pass_for(MAX_AWAY_S, until=[1])
        open_indexes = fleet.steps[1].open_indexes
        assert 0 not in open_indexes
        assert len(open_indexes) == count - 1

    run_virtual(scenario)


@pytest.mark.parametrize("image", ["", "other"])
def test_room_made_for_a_large_task_outlasts_a_slow_stop_on_another_runner(image):
    """Guards against a large task that finds its own room ruled out or reserved.

    The smaller one, tried first, waits for a stop elsewhere; then it takes the room.
    """

    async def scenario():
        fleet = Fleet(
            2,
            batch_spec(1, 4, lasting=True),
            batch_spec(1, 8, lasting=True, image=image),
            batch_spec(4, 2),
            batch_spec(1, 4, lasting=True),
            batch_spec(1, 4),
            stop_s={"r1": 2.5},
        )
        for number in range(2):
            fleet.run(number, 0)
            fleet.lapse(number, 0)
        fleet.run(2, 0, 4)
        fleet.run(3, 1)
        await anyio.sleep(1.0)
        # The youngest is evicted first.
        fleet.run(4, 1)
        await fleet.pass_for(MAX_AWAY_S, until=[1])
        assert fleet.is_placed(1)

    run_virtual(scenario)


def test_memory_of_evicted_tasks_is_not_taken_by_batch_on_spare_processors():
    """Guards against evictions in vain: the memory goes to batch that keeps coming.

    The runner that is reserved for the absent task is another one.
    """

    async def scenario():
        fleet = Fleet(
            2,
            StepSpec(1, Resources(2000, 60_000, 0), lasting=True),
            StepSpec(5, Resources(1000, 20_000, 0)),
            StepSpec(1, Resources(1000, 50_000, 0), gang=True),
        )
        fleet.run(0, 0)
        fleet.lapse(0, 0)
        fleet.run(2, 1)
        fleet.run(1, 0, 5)
        spare = StepSpec(1, Resources(1000, 20_000, 0), uses_spare=True)
        for number in range(60):
            fleet.add_batch(f"spare-{number}", spare)
        fleet.stagger_s = 0.3
        await fleet.pass_for(MAX_AWAY_S, until=[0])
        assert fleet.is_placed(0)
        assert fleet.evicted == 3

    run_virtual(scenario)


@pytest.mark.parametrize("stop_s", [1.0, 2.5])
@pytest.mark.parametrize("eighths, of_others", [(6, 1), (8, 1), (2, 6)])
@pytest.mark.parametrize("are_absent", [True, False])
def test_absent_task_is_placed_beside_others_that_keep_coming(
    are_absent, eighths, of_others, stop_s
):
    """Guards against small tasks that take each part of the room for a large one.

    Those of older jobs, which need more processors and less memory, lapse 0.4 s after
    each start, and batch fills the memory of all runners. There is room for three large
    tasks, and for two beside the small ones. Large tasks must not keep a small one
    away, either.
    """

    async def scenario():
        other = memory_spec(1, of_others, 1000, lasting=True, image="other")
        fleet = Fleet(
            4,
            *8 * [other],
            memory_spec(1, eighths, 500, lasting=True),
            *3 * [memory_spec(4, 2)],
            stop_s=dict.fromkeys(["r0", "r1", "r2"], stop_s),
        )
        fleet.lose(3, 9)
        fleet.stagger_s = 0.4
        fleet.end_by_image["other"] = 0.4, Outcome.LAPSED
        fleet.end_by_image["new"] = 0.4, Outcome.DONE
        for runner in range(3):
            fleet.run(9 + runner, runner, 4)
        fleet.lapse(8, 3)
        for number in range(45):
            if are_absent and number < (8 if of_others == 1 else 3):
                fleet.lapse(number, 3)
            if not are_absent:
                fleet.add_batch(f"new-{number}", memory_spec(1, 1, image="new"))
            await fleet.pass_for(0.2, until=[8])
        assert fleet.is_placed(8)

    run_virtual(scenario)


@pytest.mark.parametrize(
    "kind, processors, memory_mb",
    [("", 2, 60_000), ("gang", 2, 60_000), ("uses_spare", 6, 1000)],
)
def test_what_is_left_beside_promised_room_is_used(kind, processors, memory_mb):
    """Guards against runners that are left out for a part that is promised.

    The absent task waits for memory or processors, of which the other one needs none.
    The runner that is reserved for it is another one.
    """

    async def scenario():
        fleet = Fleet(
            2,
            StepSpec(1, Resources(1000 * processors, memory_mb, 0), lasting=True),
            StepSpec(5, Resources(1000, 20_000, 0)),
            StepSpec(1, Resources(4000, 50_000, 0), gang=True),
            stop_s={"r0": 2.0},
        )
        fleet.run(0, 0)
        fleet.lapse(0, 0)
        fleet.run(1, 0, 5)
        fleet.run(2, 1)
        await fleet.pass_for(1.5)
        assert fleet.evicted
        fields = {kind: True} if kind else {}
        fleet.add_batch("other", StepSpec(1, Resources(1000, 0, 0), **fields))
        await fleet.pass_for(0.5)
        other = fleet.state.job_by_id["other"].run_by_step[0, 0]
        assert not other.open_indexes
        assert not fleet.is_placed(0)

    run_virtual(scenario)


@pytest.mark.parametrize(
    "usable, small, large, stop_s, interval_s",
    [
        pytest.param(3, 9, batch_spec(1, 6, lasting=True), 1.0, 0.0, id="together"),
        pytest.param(5, 12, memory_spec(1, 8, 500, lasting=True), 1.9, 0.7, id="slow"),
    ],
)
def test_large_task_finds_room_that_small_ones_need_not_split(
    usable, small, large, stop_s, interval_s
):
    """Guards against small tasks that each take a part of the last large gaps.

    They belong to older jobs, and would fit on two runners. Evicting what has run for
    the shortest time for each of them, or room of which a part is free before the rest,
    would leave too little for the large one on each runner.
    """

    async def scenario():
        fleet = Fleet(
            usable + 1,
            *small * [memory_spec(1, 1, lasting=True)],
            large,
            *8 * usable * [memory_spec(1, 1)],
            stop_s={f"r{number}": stop_s for number in range(usable)},
        )
        fleet.lose(usable, small + 1)
        for number in range(8 * usable):
            fleet.run(small + 1 + number, number % usable)
            await anyio.sleep(0.1)
        fleet.stagger_s = 0.4 if interval_s else 0.0
        fleet.lapse(small, usable)
        for number in range(small):
            await fleet.pass_for(interval_s)
            fleet.lapse(number, usable)
        await fleet.pass_for(MAX_AWAY_S - small * interval_s)
        assert fleet.is_placed(small)
        await fleet.pass_for(MAX_AWAY_S)
        assert all(map(fleet.is_placed, range(small)))

    run_virtual(scenario)


def test_tasks_without_prospect_leave_evictions_to_those_with_room():
    """Guards against a small task that is never considered behind many large ones.

    These belong to older jobs and find no room by an eviction.
    """

    async def scenario():
        fleet = Fleet(
            2,
            *60 * [batch_spec(1, 6, lasting=True)],
            batch_spec(1, 4, lasting=True),
            batch_spec(1, 4, lasting=True),
            batch_spec(2, 2),
        )
        fleet.lose(1, 61)
        fleet.run(61, 0)
        fleet.run(62, 0, 2)
        for number in range(61):
            fleet.lapse(number, 1)
        await fleet.pass_for(MAX_AWAY_S, until=[60])
        assert fleet.is_placed(60)

    run_virtual(scenario)


def lose_rack(count: int, usable: int) -> Fleet:
    """Return a fleet full of batch in which as many absent tasks have just lapsed."""
    fleet = Fleet(
        usable + 1,
        *count * [batch_spec(1, 1, lasting=True)],
        batch_spec(8 * usable),
    )
    fleet.lose(usable, count)
    batch = fleet.steps[count]
    for index in range(8 * usable):
        runner = fleet.runners[index % usable]
        fleet.state.record_start(fleet.state.add_attempt(batch, index, runner))
    for number in range(count):
        fleet.lapse(number, usable)
    return fleet


@pytest.mark.parametrize("count", [100, 300])
def test_loss_of_a_rack_in_a_fleet_full_of_batch_is_made_good_in_time(count):
    """Guards against room that is made for so few tasks a pass that others wait.

    With two a pass, 140 tasks are placed in time: one second of the nine passes until
    room is made, another one until the first stops.
    """

    async def scenario():
        fleet = lose_rack(count, 60)
        await fleet.pass_for(MAX_AWAY_S)
        assert all(map(fleet.is_placed, range(count)))
        assert fleet.evicted == count

    run_virtual(scenario)


def test_pass_does_not_sum_up_all_promises_for_each_step(monkeypatch):
    """Guards against passes that take as long as the square of the absent tasks.

    Additions and subtractions are counted in a pass in which 300 have a promise.
    """
    counts = {"__add__": 0, "__sub__": 0}

    def count_calls(name: str):
        original = getattr(Resources, name)

        def counted(*args):
            counts[name] += 1
            return original(*args)

        monkeypatch.setattr(Resources, name, counted)

    async def scenario():
        tasks, runners = 300, 60
        fleet = lose_rack(tasks, runners)
        fleet.stop_s = dict.fromkeys((r.id for r in fleet.runners), 5.0)
        await fleet.pass_for(3.2)
        assert fleet.evicted == tasks
        for name in counts:
            count_calls(name)
        await fleet.planner.plan()
        assert sum(counts.values()) < 10 * (tasks + runners)

    run_virtual(scenario)
