"""Choice of the runner on which a task is started.

Runners differ in size and run serving tasks and batch work side by side. Serving
tasks of one image are kept together, other tasks with reserved processors fill the
gaps beside them, and tasks on spare processors go where they disturb least and where
most processors are spare.
"""

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence, Set

from ..fleet import RUNNER_LEASE_S, Runner
from ..jobs import StepRun, StepSpec
from ..resources import Resources
from ._colocation import MAX_PLACEMENT_WAIT_S, ColocationPolicy
from ._health import RunnerHealth
from ._room_index import PartialRoomIndex, RoomIndex

#: Seconds that a task waits for a runner on its data rack before it runs elsewhere.
DATA_RACK_WAIT_S = 1.0
_NOTHING = Resources()


class PlacementPolicy:
    """Choose runners for tasks.

    Parameters
    ----------
    health : RunnerHealth
        Reports which runners may be used.
    colocation : ColocationPolicy
        Estimates how tasks on spare processors disturb serving tasks.
    """

    def __init__(self, health: RunnerHealth, colocation: ColocationPolicy):
        self._health = health
        self._colocation = colocation

    def candidates(
        self, step: StepRun, runners: Iterable[Runner], now_s: float
    ) -> list[Runner]:
        """Return runners that suit a step, without regard to free resources."""
        found = []
        quarantined_ids = self._health.quarantined_ids
        for runner in _find_suitable(step, runners, now_s):
            if runner.id not in quarantined_ids or self._health.is_usable(
                runner, now_s
            ):
                found.append(runner)
        return found

    def quarantined(self, runners: Iterable[Runner]) -> list[Runner]:
        """Return the runners that were quarantined and have not proved sound since."""
        quarantined_ids = self._health.quarantined_ids
        if not quarantined_ids:
            return []
        return [runner for runner in runners if runner.id in quarantined_ids]

    def early_probes(
        self, step: StepRun, runners: Iterable[Runner], now_s: float
    ) -> list[Runner]:
        """Return quarantined runners that an absent task of a step may probe.

        See `RunnerHealth.may_probe_early`.
        """
        found = []
        for runner in runners:
            if self._health.may_probe_early(runner, now_s):
                found.append(runner)
        return list(_find_suitable(step, found, now_s))

    def choose(
        self,
        step: StepRun,
        index: int,
        candidates: Sequence[Runner],
        now_s: float,
        avoid: Set[str] = frozenset(),
    ) -> Runner | None:
        """Return the best runner with enough resources for a task, or None.

        Parameters
        ----------
        step : StepRun
            Step of the task.
        index : int
            Index of the task in the step.
        candidates : sequence of Runner
            Runners that `candidates` returned.
        now_s : float
            Time on the owner's clock, in seconds.
        avoid : set of str
            Ids of runners that must not be chosen.
        """
        return StepPlacement(self, step, candidates, now_s).choose(index, avoid)

    def reserve(
        self,
        step: StepRun,
        candidates: Iterable[Runner],
        excluded: frozenset[str],
        index: RoomIndex | None = None,
    ) -> Runner | None:
        """Return the runner to keep free until a task of a step fits there.

        Without a reservation, small tasks would fill every gap before it is large
        enough. Of the runners that can hold the task beside their long-running ones, it
        is that with the most free processors.

        Parameters
        ----------
        step : StepRun
            The step.
        candidates : iterable of Runner
            Runners that suit the step, without regard to free resources.
        excluded : frozenset of str
            Ids of runners that must not be chosen.
        index : RoomIndex, optional
            Index of the candidates; left out: all are looked at.
        """
        count_by_runner = count_tasks_by_runner(step)
        limit = step.spec.max_per_runner
        if index is not None:
            candidates = index.by_most_free()
        else:
            candidates = sorted(
                candidates, key=lambda runner: -runner.free_resources.processors_milli
            )
        for runner in candidates:
            if runner.id in excluded:
                continue
            if limit and count_by_runner[runner.id] >= limit:
                continue
            if step.spec.reserved.fits_in(runner.beside_lasting):
                return runner
        return None

    def fits(
        self,
        step: StepRun,
        runner: Runner,
        waited_s: float,
        count: int,
        withheld: Resources = _NOTHING,
    ) -> bool:
        """Return whether one more task of a step fits on a runner.

        Parameters
        ----------
        step : StepRun
            Step of the task.
        runner : Runner
            The runner.
        waited_s : float
            Result of `unplaced_s`, in seconds.
        count : int
            Number of tasks of the step that use resources of the runner; only needed
            if there is a limit.
        withheld : Resources
            Resources of the runner that the task must leave free.
        """
        spec = step.spec
        free = runner.free_resources
        if withheld is not _NOTHING:
            free = free.leaving(withheld)
        if not spec.reserved.fits_in(free):
            return False
        limit = spec.max_per_runner
        if limit and count >= limit:
            return False
        return not spec.uses_spare or self._colocation.allows(spec, runner, waited_s)

    def _score(self, spec: StepSpec, runner: Runner) -> tuple:
        """Return the score of a runner for a task; the lowest score is the best."""
        off_data_rack = (
            bool(spec.data_rack) and spec.data_rack not in runner.entry.labels
        )
        failed_job_count = self._health.failed_job_count(runner.id)
        free_milli = runner.free_resources.processors_milli
        if spec.uses_spare:
            oversubscription = runner.spare_oversubscription(spec)
            interference = self._colocation.expected_interference(spec, runner)
            return (
                off_data_rack,
                failed_job_count,
                round(max(0.0, oversubscription) + interference, 1),
                oversubscription,
            )
        if spec.latency_target_ms:
            return (
                off_data_rack,
                failed_job_count,
                _other_image_penalty(spec, runner),
                free_milli,
            )
        return (
            off_data_rack,
            failed_job_count,
            runner.serving_count == 0,
            runner.spare_demand_milli,
            free_milli,
        )


class StepPlacement:
    """Choose runners for the tasks of one step, one after another.

    Each runner is evaluated once, and again after it got a task: tasks on one runner
    change no score of another one. The object is valid until anything else changes
    the runners, the step or what is known about them.

    Parameters
    ----------
    policy : PlacementPolicy
        Evaluates runners.
    step : StepRun
        The step.
    candidates : sequence of Runner
        Runners that `PlacementPolicy.candidates` returned; of equal runners, the first
        one is chosen.
    now_s : float
        Time on the owner's clock, in seconds.
    withheld_by_runner : mapping of str to Resources, optional
        Resources that the tasks must leave free, by runner id; left out: none.
    index : RoomIndex or PartialRoomIndex, optional
        Finds those of the candidates that have room, in the same order; left out: all
        are looked at.
    """

    def __init__(
        self,
        policy: PlacementPolicy,
        step: StepRun,
        candidates: Sequence[Runner],
        now_s: float,
        withheld_by_runner: Mapping[str, Resources] | None = None,
        index: RoomIndex | PartialRoomIndex | None = None,
    ):
        self._index = index
        #: The runners to which positions refer.
        self._runners = candidates if index is None else index.runners
        self._withheld_by_runner = withheld_by_runner or {}
        self._policy = policy
        self._step = step
        self._candidates = candidates
        self._now_s = now_s
        self._waited_s = unplaced_s(step, now_s)
        self._count_by_runner = count_tasks_by_runner(step)
        self._heap: list[tuple[tuple, int, int]] = []
        # A heap entry with an older number of evaluations is out of date.
        self._evaluations = [0] * len(self._runners)
        self._chosen: int | None = None
        self._on_data_rack: bool | None = None
        self._evaluate_all()

    def choose(self, index: int, avoid: Set[str] = frozenset()) -> Runner | None:
        """Return the best runner with enough resources for a task, or None.

        `record_placed` must be called once the task was placed.

        Parameters
        ----------
        index : int
            Index of the task in the step.
        avoid : set of str
            Ids of runners that must not be chosen.
        """
        failed_runners = self._step.tasks.view(index).failed_runners
        if len(failed_runners) < len(self._candidates):
            self._chosen = self._find_best(avoid | failed_runners)
        else:
            self._chosen = self._find_best(avoid)
        if self._chosen is None and failed_runners and self._step.spec.lasting:
            # Its former runner may have the only free resources that are large enough.
            self._chosen = self._find_best(avoid)
        if self._chosen is None:
            return None
        best = self._runners[self._chosen]
        return None if self._should_wait(best) else best

    def record_placed(self) -> None:
        """Evaluate the chosen runner again, now that the task was placed there."""
        position = self._chosen
        self._chosen = None
        if self._step.spec.max_per_runner:
            self._count_by_runner[self._runners[position].id] += 1
        if self._waited_s > MAX_PLACEMENT_WAIT_S:
            # The job has an attempt now; its other tasks must disturb no serving task.
            self._waited_s = 0.0
            self._heap.clear()
            self._evaluate_all()
            return
        self._evaluate(position)

    def _find_best(self, avoid: frozenset[str] | set[str]) -> int | None:
        """Return the position of the runner with the lowest score, or None."""
        best = None
        passed_over = []
        while self._heap:
            _, position, evaluation = self._heap[0]
            if evaluation == self._evaluations[position]:
                if self._runners[position].id not in avoid:
                    best = position
                    break
                passed_over.append(self._heap[0])
            heapq.heappop(self._heap)
        for entry in passed_over:
            heapq.heappush(self._heap, entry)
        return best

    def _evaluate_all(self) -> None:
        if self._index is not None:
            for position in self._index.find(self._step.spec):
                self._evaluate(position)
            return
        demand = self._step.spec.reserved
        for position, runner in enumerate(self._candidates):
            # Most runners of a busy fleet have no room; this is the cheapest check.
            if demand.processors_milli > runner.free_resources.processors_milli:
                continue
            self._evaluate(position)

    def _evaluate(self, position: int) -> None:
        runner = self._runners[position]
        self._evaluations[position] += 1
        count = self._count_by_runner[runner.id]
        withheld = self._withheld_by_runner.get(runner.id, _NOTHING)
        if not self._policy.fits(self._step, runner, self._waited_s, count, withheld):
            return
        score = self._policy._score(self._step.spec, runner)
        if self._step.spec.lasting:
            score = (self._inherits_leases(runner), *score)
        entry = (score, position, self._evaluations[position])
        heapq.heappush(self._heap, entry)

    def _inherits_leases(self, runner: Runner) -> bool:
        """Return whether a task would be away for long if the runner were lost now.

        Calls to a former incarnation may have extended its leases, and the task can't
        run elsewhere until these have ended. Answers the load at which all runners of a
        zone restart and are lost again seconds later, while other zones have room.
        """
        return runner.inherited_s(self._now_s) > RUNNER_LEASE_S

    def _should_wait(self, best: Runner) -> bool:
        """Return whether a task should wait for a runner on its data rack."""
        rack = self._step.spec.data_rack
        if not rack or rack in best.entry.labels:
            return False
        if self._on_data_rack is None:
            self._on_data_rack = any(
                rack in runner.entry.labels for runner in self._candidates
            )
        since_s = self._step.first_ready_s
        if not self._on_data_rack or since_s is None:
            return False
        return self._now_s - since_s < DATA_RACK_WAIT_S


def largest_beside_lasting(runners: Iterable[Runner]) -> list[Resources]:
    """Return the largest of what runners have beside their long-running tasks.

    What fits on a runner beside these fits in one of the results, of which none fits in
    another one.
    """
    largest: list[Resources] = []
    for runner in runners:
        beside = runner.beside_lasting
        for other in largest:
            if beside.fits_in(other):
                break
        else:
            largest = [other for other in largest if not other.fits_in(beside)]
            largest.append(beside)
    return largest


def unplaced_s(step: StepRun, now_s: float) -> float:
    """Return the seconds for which a step has found no runner.

    The result is 0 while the job has an attempt of any step.
    """
    if step.unplaced_since_s is None or step.job.attempt_count:
        return 0.0
    return now_s - step.unplaced_since_s


def _find_suitable(
    step: StepRun, runners: Iterable[Runner], now_s: float
) -> Iterator[Runner]:
    """Yield the runners that suit a step, without regard to their health.

    Each slice of a pass looks at all runners, so that nothing is called for each.
    """
    service, label = step.job.spec.policy.service, step.spec.label
    for runner in runners:
        if runner.incarnation is None or runner.entry.service != service:
            continue
        if label and label not in runner.entry.labels:
            continue
        if runner.unresponsive_since_s is None and now_s >= runner.no_room_until_s:
            yield runner


def _other_image_penalty(spec: StepSpec, runner: Runner) -> int:
    """Return a penalty for serving tasks of other images on a runner.

    The penalty is 1 if no serving task runs there, and 2 for each other image.
    Serving tasks of one image are disturbed by the same batch images. Where only they
    run, all other batch images can use the spare processors.
    """
    count_by_image = runner.serving_count_by_image
    if not count_by_image:
        return 1
    return 2 * (len(count_by_image) - (spec.image in count_by_image))


def count_tasks_by_runner(step: StepRun) -> Counter[str]:
    """Return how many attempts of a step use resources of each runner, by runner id.

    The result is empty if the step has no limit per runner.
    """
    if not step.spec.max_per_runner:
        return Counter()
    return Counter(attempt.runner for attempt in step.attempts())
