"""Choice of the runner on which a task is started.

Runners differ in size and run serving tasks and batch work side by side. Serving
tasks of one image are kept together, other tasks with reserved processors fill the
gaps beside them, and tasks on spare processors go where they disturb least and where
most processors are spare.
"""

from collections.abc import Iterable, Sequence

from ..fleet import Runner
from ..jobs import StepRun, StepSpec
from ..resources import Resources
from ._colocation import ColocationPolicy
from ._health import RunnerHealth

#: Seconds that a task waits for a runner on its data rack before it runs elsewhere.
DATA_RACK_WAIT_S = 1.0


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
        for runner in runners:
            if (
                runner.incarnation is None
                or runner.entry.service != step.job.spec.policy.service
            ):
                continue
            if step.spec.label and step.spec.label not in runner.entry.labels:
                continue
            if runner.unresponsive_since_s is not None:
                continue
            if not self._health.is_usable(runner.id, runner.has_attempts, now_s):
                continue
            found.append(runner)
        return found

    def choose(
        self,
        step: StepRun,
        index: int,
        candidates: Sequence[Runner],
        now_s: float,
        avoid: frozenset[str] = frozenset(),
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
        avoid : frozenset of str
            Ids of runners that must not be chosen.
        """
        best = None
        best_score: tuple = ()
        failed_runners = step.tasks[index].failed_runners
        has_alternative = len(failed_runners) < len(candidates)
        waited_s = unplaced_s(step, now_s)
        for runner in candidates:
            if runner.id in avoid or not self.fits(step, runner, waited_s):
                continue
            if has_alternative and runner.id in failed_runners:
                continue
            score = self._score(step.spec, runner)
            if best is None or score < best_score:
                best, best_score = runner, score
        if best is not None and self._should_wait(step, best, candidates, now_s):
            return None
        return best

    def reserve(
        self, step: StepRun, candidates: Sequence[Runner], excluded: frozenset[str]
    ) -> Runner | None:
        """Return the runner to keep free until a task of a step fits there.

        Without a reservation, small tasks would fill every gap before it is large
        enough.
        """
        best = None
        for runner in candidates:
            if runner.id in excluded or not self._fits_beside_lasting(step, runner):
                continue
            if (
                best is None
                or runner.free_resources.processors_milli
                > best.free_resources.processors_milli
            ):
                best = runner
        return best

    @staticmethod
    def _fits_beside_lasting(step: StepRun, runner: Runner) -> bool:
        """Return whether a task would fit beside long-running tasks alone."""
        lasting_reserved = Resources()
        for allocation in runner.allocation_by_run.values():
            if allocation.spec.lasting:
                lasting_reserved = lasting_reserved + allocation.spec.reserved
        if not step.spec.reserved.fits_in(runner.entry.capacity - lasting_reserved):
            return False
        limit = step.spec.max_per_runner
        return not limit or count_tasks_on(step, runner) < limit

    def fits(self, step: StepRun, runner: Runner, waited_s: float) -> bool:
        """Return whether one more task of a step fits on a runner.

        Parameters
        ----------
        step : StepRun
            Step of the task.
        runner : Runner
            The runner.
        waited_s : float
            Result of `unplaced_s`, in seconds.
        """
        spec = step.spec
        if not spec.reserved.fits_in(runner.free_resources):
            return False
        if spec.uses_spare and not self._colocation.allows(spec, runner, waited_s):
            return False
        limit = step.spec.max_per_runner
        return not limit or count_tasks_on(step, runner) < limit

    def _score(self, spec: StepSpec, runner: Runner) -> tuple:
        off_data_rack = (
            bool(spec.data_rack) and spec.data_rack not in runner.entry.labels
        )
        failed_job_count = self._health.failed_job_count(runner.id)
        free_milli = runner.free_resources.processors_milli
        if spec.uses_spare:
            cost = max(
                0.0, runner.spare_oversubscription(spec)
            ) + self._colocation.expected_interference(spec, runner)
            return (
                off_data_rack,
                failed_job_count,
                round(cost, 1),
                runner.spare_oversubscription(spec),
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

    def _should_wait(
        self,
        step: StepRun,
        best: Runner,
        candidates: Sequence[Runner],
        now_s: float,
    ) -> bool:
        """Return whether a task should wait for a runner on its data rack."""
        rack = step.spec.data_rack
        if not rack or rack in best.entry.labels:
            return False
        if not any(rack in runner.entry.labels for runner in candidates):
            return False
        since_s = step.ready_since_s
        return since_s is not None and now_s - since_s < DATA_RACK_WAIT_S


def unplaced_s(step: StepRun, now_s: float) -> float:
    """Return the seconds for which a step has found no runner.

    The result is 0 while the job has an attempt of any step.
    """
    if step.unplaced_since_s is None or any(step.job.attempts()):
        return 0.0
    return now_s - step.unplaced_since_s


def _other_image_penalty(spec: StepSpec, runner: Runner) -> int:
    """Return a penalty for serving tasks of other images on a runner.

    The penalty is 1 if no serving task runs there, and 2 for each other image.
    Serving tasks of one image are disturbed by the same batch images. Where only they
    run, all other batch images can use the spare processors.
    """
    images = set()
    for allocation in runner.allocation_by_run.values():
        if allocation.spec.latency_target_ms:
            images.add(allocation.spec.image)
    if not images:
        return 1
    return 2 * len(images - {spec.image})


def count_tasks_on(step: StepRun, runner: Runner) -> int:
    """Return how many attempts of a step use resources of a runner."""
    count = 0
    for attempt in step.attempts():
        if attempt.runner == runner.id:
            count += 1
    return count
