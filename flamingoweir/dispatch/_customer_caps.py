"""Holds tasks of customers back that have as much running as their caps allow."""

from ..jobs import StepRun
from ..logs import get_logger
from ..policy import allows_gang, allows_task, find_oversized_gang
from ..resources import Resources
from ._cap_changes import find_cap
from ._cap_precedence import CapPrecedence, CapWait
from ._context import TermContext

log = get_logger()

#: Seconds for which a step must not have been held back before its wait is logged as
#: ended for lack of resources. Where a customer is at its cap and the fleet is full, a
#: step may be held back in every second pass.
MIN_UNHELD_S = 1.0
NO_CAP = Resources()


class CustomerCaps:
    """Decides whether tasks of a step may start, and logs how long steps wait.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    """

    def __init__(self, context: TermContext):
        self._context = context
        self._usage = context.owner_state.customer_usage
        self._wait_by_step: dict[StepRun, CapWait] = {}
        self._precedence = CapPrecedence(context)

    def holds(self, step: StepRun) -> bool:
        """Return whether the cap of its customer keeps the step waiting.

        That is so if the next task, or all tasks of a gang, may not start, or must
        leave room for a larger step of the customer that has waited for long.
        """
        customer = step.job.spec.customer
        if not customer:
            return False
        configuration = self._context.operators.configuration
        if configuration is None:
            # The caps are not known yet.
            self._hold(step, None, self._usage.used_by(customer))
            return True
        cap = find_cap(configuration, customer)
        if cap is None:
            return False
        used, spec = self._usage.used_by(customer), step.spec
        self._precedence.record_asked(step, cap)
        before = None
        if spec.gang:
            # One of which some members still run can't start anyway.
            is_held = len(step.open_indexes) == spec.count and not allows_gang(
                cap, used, spec
            )
        else:
            is_held = not allows_task(cap, used, spec.demand)
        if not is_held:
            before = self._precedence.find_before(step, cap, used)
        if is_held or before is not None:
            self._hold(step, cap, used, before)
            return True
        return False

    def end_wait(self, step: StepRun) -> None:
        """End the wait of a step that lacks resources and not room under the cap."""
        wait = self._wait_by_step.get(step)
        if wait is None:
            return
        if self._context.clock.now() - wait.held_s >= MIN_UNHELD_S:
            self._end(step)

    def begin_list(self) -> None:
        """End what has passed, before the ready steps are listed.

        These are the waits of steps without open tasks, and the usage by orders that
        can't be carried out any more.
        """
        self._usage.remove_expired(self._context.clock.now())
        job_by_id = self._context.owner_state.job_by_id
        for step in list(self._wait_by_step):
            job = step.job
            is_gone = job_by_id.get(job.spec.id) is not job or job.is_final
            if is_gone or not step.open_indexes:
                self._end(step)
        self._precedence.update(self._wait_by_step.items(), self._context.clock.now())

    def _hold(
        self,
        step: StepRun,
        cap: Resources | None,
        used: Resources,
        before: StepRun | None = None,
    ) -> None:
        now_s = self._context.clock.now()
        # The cap keeps the step waiting, so that it hasn't lacked resources meanwhile.
        step.unplaced_since_s = None
        step.cap_waited_s += now_s - step.ready_since_s
        step.ready_since_s = now_s
        wait = self._wait_by_step.get(step)
        if wait is not None:
            wait.record_held(len(step.open_indexes), now_s)
            return
        open_tasks = len(step.open_indexes)
        self._wait_by_step[step] = CapWait(now_s, now_s, now_s, open_tasks)
        synced_s = self._context.operator_follower.last_synced_s
        configuration = self._context.operators.configuration
        log.info(
            "cap_wait_began",
            step=_name(step),
            customer=step.job.spec.customer,
            demand=step.spec.demand.as_text(),
            gang=step.spec.count if step.spec.gang else 0,
            open_tasks=len(step.open_indexes),
            used=used.as_text(),
            cap="unknown" if cap is None else cap.as_text(),
            outcome=_find_outcome(step, cap, before),
            before=None if before is None else _name(before),
            configuration=configuration.version if configuration else None,
            configuration_age_ms=round(1000 * (now_s - synced_s))
            if configuration
            else None,
        )

    def _end(self, step: StepRun) -> None:
        wait = self._wait_by_step.pop(step)
        customer = step.job.spec.customer
        cap = find_cap(self._context.operators.configuration, customer)
        log.info(
            "cap_wait_ended",
            step=_name(step),
            customer=customer,
            waited_ms=round(1000 * (self._context.clock.now() - wait.since_s)),
            open_tasks=len(step.open_indexes),
            job_state=step.job.state.value,
            used=self._usage.used_by(customer).as_text(),
            cap=(cap or NO_CAP).as_text(),
        )


def _find_outcome(step: StepRun, cap: Resources | None, before: StepRun | None) -> str:
    """Return what a step waits for, as a word for the log."""
    if cap is None:
        return "awaits_configuration"
    if find_oversized_gang(cap, [step.spec]) is not None:
        return "awaits_higher_cap"
    return "awaits_ends" if before is None else "leaves_room"


def _name(step: StepRun) -> str:
    return f"{step.job.spec.id}.{step.occurrence}.{step.step}"
