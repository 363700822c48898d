"""Steps that a pass need not try, as smaller ones of their kind found no room."""

from ..jobs import StepRun
from ..policy import MAX_PLACEMENT_WAIT_S, unplaced_s
from ..resources import Resources


class UnplacedSteps:
    """Steps that found no runner in the current pass.

    A step of the same kind with the same or a larger demand need not be tried.
    Resources that become free while the pass gives way count in the next one. A step
    with an absent task may use runners that are kept from others, so that only another
    such step rules it out.

    Parameters
    ----------
    now_s : float
        Start of the pass on the owner's clock, in seconds.
    """

    def __init__(self, now_s: float) -> None:
        self._now_s = now_s
        #: Demands, and whether a task of the step was absent. None of a kind rules out
        #: more than another one, as after the loss of a zone there would be hundreds.
        self._unplaced_by_kind: dict[tuple, list[tuple[Resources, bool]]] = {}

    def rules_out(self, step: StepRun) -> bool:
        """Return whether a step can't be placed in this pass."""
        spec = step.spec
        if spec.gang or step.unplaced_since_s is None:
            return False
        unplaced = self._unplaced_by_kind.get(self._demand_kind(step), ())
        is_away = bool(unplaced) and step.is_away
        for demand, was_away in unplaced:
            if is_away and not was_away:
                continue
            if demand.fits_in(spec.demand):
                return True
        return False

    def add(self, step: StepRun) -> None:
        """Record a step that was not placed.

        A gang, or a step with a limit per runner, a data rack, runners on which its
        tasks failed or tasks suspected of a crash, is left out: a step without that
        constraint may still fit.
        """
        spec = step.spec
        if spec.gang or spec.max_per_runner or spec.data_rack:
            return
        if step.job.crash_blame.blame_by_task:
            return
        if any(task.failed_runners for _, task in step.tasks.kept()):
            return
        kind, entry = self._demand_kind(step), (spec.demand, step.is_away)
        unplaced = self._unplaced_by_kind.get(kind, [])
        for other in unplaced:
            if _covers(other, entry):
                return
        kept = [other for other in unplaced if not _covers(entry, other)]
        self._unplaced_by_kind[kind] = [*kept, entry]

    def _demand_kind(self, step: StepRun) -> tuple:
        spec = step.spec
        # Past the maximum wait, a task may run where it disturbs serving tasks.
        past_max_wait = unplaced_s(step, self._now_s) > MAX_PLACEMENT_WAIT_S
        service = step.job.spec.policy.service
        return service, spec.label, spec.image, spec.uses_spare, past_max_wait


def _covers(first: tuple[Resources, bool], second: tuple[Resources, bool]) -> bool:
    """Return whether an unplaced step rules out all that another one does."""
    demand, was_away = first
    other_demand, other_was_away = second
    return (was_away or not other_was_away) and demand.fits_in(other_demand)
