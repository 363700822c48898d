"""Steps that a pass need not try, as smaller ones of their kind found no room."""

from ..jobs import StepRun
from ..policy import MAX_PLACEMENT_WAIT_S, unplaced_s
from ..resources import Resources


class UnplacedSteps:
    """Steps that found no runner in the current pass.

    A step of the same kind with the same or a larger demand need not be tried.
    Resources that become free while the pass gives way count in the next one.

    Parameters
    ----------
    now_s : float
        Start of the pass on the owner's clock, in seconds.
    """

    def __init__(self, now_s: float) -> None:
        self._now_s = now_s
        self._demands_by_kind: dict[tuple, list[Resources]] = {}

    def rules_out(self, step: StepRun) -> bool:
        """Return whether a step can't be placed in this pass."""
        spec = step.spec
        if spec.gang or step.unplaced_since_s is None:
            return False
        for demand in self._demands_by_kind.get(self._demand_kind(step), ()):
            if demand.fits_in(spec.demand):
                return True
        return False

    def add(self, step: StepRun) -> None:
        """Record a step that was not placed.

        A gang, or a step with a limit per runner, a data rack or runners on which its
        tasks failed, is left out: a step without that constraint may still fit.
        """
        spec = step.spec
        if spec.gang or spec.max_per_runner or spec.data_rack:
            return
        if any(task.failed_runners for _, task in step.tasks.kept()):
            return
        self._demands_by_kind.setdefault(self._demand_kind(step), []).append(
            spec.demand
        )

    def _demand_kind(self, step: StepRun) -> tuple:
        spec = step.spec
        # Past the maximum wait, a task may run where it disturbs serving tasks.
        past_max_wait = unplaced_s(step, self._now_s) > MAX_PLACEMENT_WAIT_S
        service = step.job.spec.policy.service
        return service, spec.label, spec.image, spec.uses_spare, past_max_wait
