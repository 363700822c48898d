"""Choices for the tasks of a step, compared with evaluating every runner each time.

`StepPlacement` evaluates a runner again only after it got a task, and `Runner` keeps
sums of its allocations; the choices must not differ from those without either.
"""

import random

import pytest

from flamingoweir.dispatch._candidates import CandidateLists
from flamingoweir.fleet import Runner
from flamingoweir.jobs import Attempt, Job, JobSpec, QueuePolicy, StepSpec, TaskId
from flamingoweir.policy import (
    ColocationPolicy,
    PlacementPolicy,
    RoomIndex,
    RunnerHealth,
    StepPlacement,
)
from flamingoweir.policy._colocation import (
    PEAK_HEADROOM,
    SAFE_LOSS_WEIGHT,
    _serving_allocations,
    _step_key,
)
from flamingoweir.policy._effects import PRIOR_BASELINE
from flamingoweir.registry import RunnerEntry
from flamingoweir.resources import Resources

NOW_S = 100.0
IMAGES = ("red", "blue", "green")


class Reference:
    """Chooses by evaluating all runners for each task, from their allocations."""

    def __init__(self, health, colocation):
        self.health = health
        self.colocation = colocation

    def choose(self, step, index, candidates, avoid):
        failed = step.tasks[index].failed_runners
        if len(failed) == len(candidates):
            failed = frozenset()
        best = self.choose_beside(step, candidates, avoid | failed)
        if best is None and step.spec.lasting:
            # A long-running task rather runs where it failed than nowhere.
            best = self.choose_beside(step, candidates, avoid)
        rack = step.spec.data_rack
        if best is None or not rack or rack in best.entry.labels:
            return best
        waits = NOW_S - step.ready_since_s < 1.0
        on_rack = any(rack in runner.entry.labels for runner in candidates)
        return None if waits and on_rack else best

    def choose_beside(self, step, candidates, avoid):
        best, best_score = None, ()
        for runner in candidates:
            if runner.id in avoid or not self.fits(step, runner):
                continue
            score = self.score(step.spec, runner)
            if best is None or score < best_score:
                best, best_score = runner, score
        return best

    def fits(self, step, runner):
        spec = step.spec
        if not spec.reserved.fits_in(self.free(runner)):
            return False
        waited_s = 0.0
        if step.unplaced_since_s is not None and not any(step.job.attempts()):
            waited_s = NOW_S - step.unplaced_since_s
        if spec.uses_spare and not self.colocation.allows(spec, runner, waited_s):
            return False
        count = sum(1 for a in step.attempts() if a.runner == runner.id)
        return not spec.max_per_runner or count < spec.max_per_runner

    @staticmethod
    def free(runner):
        free = runner.entry.capacity
        for allocation in runner.allocation_by_run.values():
            free = free - allocation.spec.reserved
        return free

    def score(self, spec, runner):
        off_rack = bool(spec.data_rack) and spec.data_rack not in runner.entry.labels
        failed_jobs = self.health.failed_job_count(runner.id)
        allocations = runner.allocation_by_run.values()
        images = {a.spec.image for a in allocations if a.spec.latency_target_ms}
        free_milli = self.free(runner).processors_milli
        if spec.uses_spare:
            over = runner.spare_oversubscription(spec)
            cost = max(0.0, over) + self.interference(spec, runner)
            return off_rack, failed_jobs, round(cost, 1), over
        if spec.latency_target_ms:
            penalty = 2 * len(images - {spec.image}) if images else 1
            return off_rack, failed_jobs, penalty, free_milli
        spare_milli = sum(
            a.spec.demand.processors_milli for a in allocations if a.spec.uses_spare
        )
        return off_rack, failed_jobs, not images, spare_milli, free_milli

    def interference(self, spec, runner):
        total_loss = 0.0
        share = spec.demand.processors_milli / runner.entry.capacity.processors_milli
        for allocation in _serving_allocations(runner):
            model = self.colocation._effect_model(allocation.spec.image)
            loss = model.effect(spec.image) * share
            baseline = self.colocation._baseline_by_step.get(_step_key(allocation))
            low = baseline.recent_low if baseline else PRIOR_BASELINE
            left = low - self.colocation._expected_loss(runner, model) - loss
            total_loss += min(loss, max(SAFE_LOSS_WEIGHT * loss, PEAK_HEADROOM - left))
        return total_loss


def random_spec(generator: random.Random, count: int) -> StepSpec:
    kind = generator.choice(("serving", "spare", "plain"))
    return StepSpec(
        count,
        Resources(generator.choice((1, 2, 4)) * 1000, generator.choice((0, 500)), 0),
        lasting=kind == "serving",
        image=generator.choice(IMAGES),
        latency_target_ms=50.0 if kind == "serving" else 0.0,
        uses_spare=kind == "spare",
        max_per_runner=generator.choice((0, 0, 1, 2)),
        data_rack=generator.choice(("", "", "rack-0", "rack-9")),
    )


def random_fleet(generator: random.Random, colocation: ColocationPolicy):
    runners = []
    for number in range(generator.randint(1, 14)):
        entry = RunnerEntry(
            f"r{number}",
            1,
            "s",
            "host:1",
            "zone",
            capacity=Resources(generator.choice((4, 8, 16)) * 1000, 4000, 0),
            labels=frozenset({f"rack-{generator.randrange(3)}"}),
        )
        runner = Runner(entry, 10.0)
        runner.begin_incarnation(1, 0.0)
        for index in range(generator.randrange(5)):
            task = TaskId(f"old-{number}", 0, 0, index)
            spec = random_spec(generator, 1)
            if not spec.reserved.fits_in(runner.free_resources):
                continue
            allocation = runner.add(Attempt(task, 1, runner.id, 1), spec)
            if spec.latency_target_ms:
                allocation.load = generator.uniform(20.0, 70.0)
            if generator.random() < 0.2:
                runner.remove(task, 1)
        colocation.learn(runner, NOW_S)
        runners.append(runner)
    return runners


@pytest.mark.parametrize("seed", range(300))
def test_choices_equal_those_of_evaluating_all_runners_for_each_task(seed):
    """Guards against a worse runner, or one without room, because of a kept score."""
    generator = random.Random(seed)
    health, colocation = RunnerHealth(), ColocationPolicy()
    runners = random_fleet(generator, colocation)
    for runner in runners:
        if generator.random() < 0.2:
            health.record_end(runner.id, "broken", True, NOW_S)
    spec = random_spec(generator, generator.randint(1, 20))
    step = Job(JobSpec("job", "q", "", (spec,), QueuePolicy("s"))).run_by_step[0, 0]
    step.ready_since_s = NOW_S - generator.choice((0.2, 3.0))
    step.unplaced_since_s = generator.choice((None, NOW_S - 1.0, NOW_S - 2.0))
    for task in step.tasks:
        if generator.random() < 0.3:
            count = generator.randint(1, len(runners))
            task.failed_runners |= {r.id for r in generator.sample(runners, count)}
    avoid = frozenset(r.id for r in runners if generator.random() < 0.1)
    reference = Reference(health, colocation)
    policy = PlacementPolicy(health, colocation)
    placement = StepPlacement(policy, step, runners, NOW_S)
    for index in range(spec.count):
        expected = reference.choose(step, index, runners, avoid)
        assert placement.choose(index, avoid) is expected
        if expected is None:
            # A task with other failed runners may still find one.
            continue
        attempt = step.job.start(step, index, expected.id, 1, NOW_S)
        expected.add(attempt, spec)
        placement.record_placed()


def test_index_changes_no_choice_of_steps_in_turn():
    """Guards against a runner with room that a kept index doesn't find.

    One index serves the steps of a time slice, while their tasks fill the runners.
    """
    placed = unplaced = 0
    for seed in range(300):
        generator = random.Random(seed)
        health, colocation = RunnerHealth(), ColocationPolicy()
        runners = random_fleet(generator, colocation)
        for runner in runners:
            if generator.random() < 0.2:
                health.record_end(runner.id, "broken", True, NOW_S)
        reference = Reference(health, colocation)
        policy = PlacementPolicy(health, colocation)
        index = RoomIndex(runners)
        for number in range(12):
            spec = random_spec(generator, generator.randint(1, 6))
            job = Job(JobSpec(f"job-{number}", "q", "", (spec,), QueuePolicy("s")))
            step = job.run_by_step[0, 0]
            step.ready_since_s = NOW_S - generator.choice((0.2, 3.0))
            step.unplaced_since_s = generator.choice((None, NOW_S - 1.0, NOW_S - 2.0))
            avoid = frozenset(r.id for r in runners if generator.random() < 0.1)
            placement = StepPlacement(policy, step, runners, NOW_S, None, index)
            for task in range(spec.count):
                expected = reference.choose(step, task, runners, avoid)
                assert placement.choose(task, avoid) is expected
                if expected is None:
                    unplaced += 1
                    break
                attempt = step.job.start(step, task, expected.id, 1, NOW_S)
                expected.add(attempt, spec)
                placement.record_placed()
                placed += 1
    assert placed > 1000
    assert unplaced > 1000


@pytest.mark.parametrize("seed", range(100))
def test_index_finds_each_runner_on_which_a_task_fits(seed):
    """Guards against runners that are left out by rounding, or in a list made anew."""
    generator = random.Random(seed)
    colocation = ColocationPolicy()
    runners = random_fleet(generator, colocation)
    policy = PlacementPolicy(RunnerHealth(), colocation)
    lists = CandidateLists(policy, runners, {}, NOW_S)
    for number in range(20):
        demand = Resources(generator.randint(1, 16_000), generator.randint(0, 4000), 0)
        uses_spare = generator.random() < 0.5
        spec = StepSpec(
            1, demand, image=generator.choice(IMAGES), uses_spare=uses_spare
        )
        job = Job(JobSpec(f"job-{number}", "q", "", (spec,), QueuePolicy("s")))
        step = job.run_by_step[0, 0]
        candidates = lists.find(step)
        index = lists.find_index(step)
        fitting = {r.id for r in candidates if policy.fits(step, r, 2.0, 0)}
        if index is None:
            assert lists.reserved_ids
        else:
            positions = index.find(spec)
            found_ids = [index.runners[position].id for position in positions]
            # In the order of the candidates, by which equal runners are told apart.
            found = set(found_ids)
            assert found_ids == [r.id for r in candidates if r.id in found]
            assert fitting <= found
        kept = generator.choice(runners)
        if generator.random() < 0.3 and kept.id not in lists.reserved_ids:
            lists.reserve(step, kept)
            assert lists.find_index(step) is None
        if fitting:
            runner = generator.choice([r for r in runners if r.id in fitting])
            runner.add(Attempt(step.task_id(0), 1, runner.id, 1), spec)


def test_no_reservation_is_left_out_that_a_search_would_make():
    """Guards against steps for which no runner is kept free, as none seems to suit."""
    ruled_out = 0
    for seed in range(300):
        generator = random.Random(seed)
        health, colocation = RunnerHealth(), ColocationPolicy()
        runners = random_fleet(generator, colocation)
        policy = PlacementPolicy(health, colocation)
        lists = CandidateLists(policy, runners, {}, NOW_S)
        for number in range(12):
            processors = generator.choice((1, 3, 5, 9, 13))
            memory_mb = generator.choice((0, 2500, 3500, 4000))
            demand = Resources(processors * 1000, memory_mb, 0)
            spec = StepSpec(1, demand, max_per_runner=generator.choice((0, 1)))
            job = Job(JobSpec(f"{number}", "q", "", (spec,), QueuePolicy("s")))
            step = job.run_by_step[0, 0]
            found = policy.reserve(step, lists.find_all(step), lists.reserved_ids)
            if not lists.may_reserve(step):
                assert found is None
                ruled_out += 1
                continue
            if found is not None:
                lists.reserve(step, found)
            if generator.random() < 0.3:
                lists.release(step)
            runner = generator.choice(runners)
            if demand.fits_in(runner.free_resources):
                lasting = StepSpec(1, demand, lasting=True)
                runner.add(Attempt(step.task_id(0), 1, runner.id, 1), lasting)
    assert ruled_out


def choose_reservation(step, runners, excluded):
    """Return the runner to reserve, by a look at all of them."""
    best = None
    for runner in runners:
        if runner.id in excluded:
            continue
        count = sum(1 for a in step.attempts() if a.runner == runner.id)
        if step.spec.max_per_runner and count >= step.spec.max_per_runner:
            continue
        if not step.spec.reserved.fits_in(runner.beside_lasting):
            continue
        free_milli = runner.free_resources.processors_milli
        if best is None or free_milli > best.free_resources.processors_milli:
            best = runner
    return best


def test_index_changes_no_reservation():
    """Guards against another runner that is kept free, as the runners fill up."""
    found = missed = 0
    for seed in range(300):
        generator = random.Random(seed)
        health, colocation = RunnerHealth(), ColocationPolicy()
        runners = random_fleet(generator, colocation)
        policy = PlacementPolicy(health, colocation)
        index = RoomIndex(runners)
        for number in range(15):
            spec = random_spec(generator, 2)
            job = Job(JobSpec(f"job-{number}", "q", "", (spec,), QueuePolicy("s")))
            step = job.run_by_step[0, 0]
            for task in range(generator.randrange(3)):
                runner = generator.choice(runners)
                if spec.reserved.fits_in(runner.free_resources):
                    attempt = step.job.start(step, task, runner.id, 1, NOW_S)
                    runner.add(attempt, spec)
            excluded = frozenset(r.id for r in runners if generator.random() < 0.2)
            expected = choose_reservation(step, runners, excluded)
            assert policy.reserve(step, runners, excluded) is expected
            assert policy.reserve(step, runners, excluded, index) is expected
            found += expected is not None
            missed += expected is None
            if generator.random() < 0.5:
                index.find(spec)
    assert found > 1000
    assert missed > 100


def make_faulty_fleet(seed: int) -> tuple[PlacementPolicy, list[Runner]]:
    """Return runners of which some had faults, and the policy that knows of these."""
    generator = random.Random(seed)
    health, colocation = RunnerHealth(), ColocationPolicy()
    runners = random_fleet(generator, colocation)
    for runner in runners:
        for allocation in runner.allocation_by_run.values():
            allocation.attempt.created_s = NOW_S - generator.uniform(0, 15)
            if generator.random() < 0.5:
                allocation.started_s = allocation.attempt.created_s + 0.1
                allocation.listed_s = NOW_S
        if generator.random() < 0.2:
            runner.record_no_response(NOW_S)
        for at_s in sorted(NOW_S - generator.uniform(0, 15) for _ in range(4)):
            kind = generator.choice(("fault", "failed", "done", "nothing"))
            if kind == "fault":
                health.record_fault(runner.id, at_s)
            elif kind != "nothing":
                job = f"job-{generator.randrange(2)}"
                health.record_end(runner.id, job, kind == "failed", at_s)
    return PlacementPolicy(health, colocation), runners


def test_early_probes_are_found_among_the_runners_with_a_quarantine():
    """Guards against a quarantined runner that absent tasks don't try."""
    spec = StepSpec(1, Resources(1000, 0, 0), lasting=True)
    step = Job(JobSpec("job", "q", "", (spec,), QueuePolicy("s"))).run_by_step[0, 0]
    found_count = 0
    for seed in range(300):
        policy, runners = make_faulty_fleet(seed)
        expected = policy.early_probes(step, runners, NOW_S)
        other_policy, runners = make_faulty_fleet(seed)
        lists = CandidateLists(other_policy, runners, {}, NOW_S)
        found = other_policy.early_probes(step, lists.quarantined, NOW_S)
        assert [r.id for r in found] == [r.id for r in expected]
        records = other_policy._health._record_by_runner
        quarantined = {id for id, record in records.items() if record.quarantine_s}
        assert other_policy._health.quarantined_ids == quarantined
        assert records == policy._health._record_by_runner
        found_count += len(found)
    assert found_count
