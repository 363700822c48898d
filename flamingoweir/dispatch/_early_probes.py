"""Finds quarantined runners for absent long-running tasks without other room."""

from collections.abc import Iterable, Iterator, Mapping

from ..fleet import Runner
from ..jobs import StepRun
from ..policy import EVICT_AFTER_S, PlacementPolicy, StepPlacement
from ..resources import Resources
from ._evictions import Evictions


class EarlyProbes:
    """Chooses quarantined runners for absent tasks.

    A task whose absence users notice at once is tried on a runner that may still be
    faulty, rather than kept away until the runner's quarantine is over.

    Parameters
    ----------
    placement : PlacementPolicy
        Decides which runners may be probed.
    evictions : Evictions
        Knows the tasks for which room is made elsewhere.
    """

    def __init__(self, placement: PlacementPolicy, evictions: Evictions):
        self._placement = placement
        self._evictions = evictions

    def choose(
        self,
        step: StepRun,
        runners: Iterable[Runner],
        withheld_by_runner: Mapping[str, Resources],
        now_s: float,
    ) -> Iterator[tuple[int, Runner]]:
        """Yield indexes of absent tasks, each with the runner that it may probe.

        A task has to be placed before the next one is taken.

        Parameters
        ----------
        step : StepRun
            Step of the tasks.
        runners : iterable of Runner
            Runners that may be given tasks; those that have had no quarantine, or have
            proved sound since, may be left out.
        withheld_by_runner : mapping of str to Resources
            Resources that the tasks must leave free, by runner id.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        if not step.spec.lasting or step.spec.gang or step.unplaced_since_s is None:
            return
        if now_s - step.unplaced_since_s < EVICT_AFTER_S:
            return
        # Most runners of a busy fleet have no room.
        with_room = []
        for runner in runners:
            if step.spec.reserved.fits_in(runner.free_resources):
                with_room.append(runner)
        candidates = self._placement.early_probes(step, with_room, now_s)
        if not candidates:
            return
        choice = StepPlacement(
            self._placement, step, candidates, now_s, withheld_by_runner
        )
        candidate_ids = {runner.id for runner in candidates}
        probed: frozenset[str] = frozenset()
        for index in step.placing_order():
            if not step.tasks.view(index).last_run:
                return
            promised = self._evictions.promised_runner(step.task_id(index))
            if promised and promised not in candidate_ids:
                continue
            runner = choice.choose(index, probed)
            if runner is None:
                # The tasks of a step need the same.
                return
            yield index, runner
            choice.record_placed()
            probed |= {runner.id}
