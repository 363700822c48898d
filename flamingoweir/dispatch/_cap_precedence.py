"""Keeps room under a cap for a step that its customer's smaller tasks pass over."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..jobs import StepRun
from ..logs import get_logger
from ..policy import gang_demand, is_below_half, is_within
from ..resources import Resources
from ._cap_changes import find_cap
from ._context import TermContext

log = get_logger()

#: Seconds for which a step waits for its cap before smaller ones leave room for it.
PRECEDENCE_AFTER_S = 2.0
#: Longest time in seconds for which others leave room while less than half of the cap
#: is in use, as where long-running tasks never let a gang fit. No job may wait for 3 s
#: in that case.
MAX_BELOW_HALF_S = 2.0
#: Seconds since a step was last held back by its cap after which it is passed over no
#: more: it lacks resources, or its job is paused.
MAX_UNHELD_S = 1.0


@dataclass(slots=True)
class CapWait:
    """The wait of a step for its cap; times are on the owner's clock, in seconds.

    Attributes
    ----------
    since_s, held_s : float
        When it began, and when the step was last held back.
    idle_since_s : float
        When a task of the step was last seen to have started, or the wait began.
    open_tasks : int
        Number of open tasks when the step was last held back.
    below_half_since_s : float or None
        Since when the customer has used less than half of its cap while others left
        room for the step; None: it uses more.
    """

    since_s: float
    held_s: float
    idle_since_s: float
    open_tasks: int
    below_half_since_s: float | None = None

    def record_held(self, open_tasks: int, now_s: float) -> None:
        """Record that the step is held back with a number of open tasks."""
        self.held_s = now_s
        if open_tasks < self.open_tasks:
            self.idle_since_s = now_s
        self.open_tasks = open_tasks


class CapPrecedence:
    """Finds the step of each customer for which others leave room under the cap.

    Only a step that asks for more than others of its customer is passed over by them;
    among equal ones the order of the queue decides.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    """

    def __init__(self, context: TermContext):
        self._context = context
        self._usage = context.owner_state.customer_usage
        self._first_by_customer: dict[str, tuple[StepRun, CapWait]] = {}
        #: Least amount of each resource with a cap that a step has asked for, by
        #: customer.
        self._least_by_customer: dict[str, Resources] = {}

    def record_asked(self, step: StepRun, cap: Resources) -> None:
        """Record that a step of a customer with a cap asks to start."""
        customer, demand = step.job.spec.customer, _capped_demand(step, cap)
        least = self._least_by_customer.get(customer)
        if least is None:
            self._least_by_customer[customer] = demand
        elif not least.fits_in(demand):
            self._least_by_customer[customer] = Resources(
                min(least.processors_milli, demand.processors_milli),
                min(least.memory_mb, demand.memory_mb),
                min(least.accelerators, demand.accelerators),
            )

    def find_before(
        self, step: StepRun, cap: Resources, used: Resources
    ) -> StepRun | None:
        """Return the step for which another one must leave room now, or None."""
        found = self._first_by_customer.get(step.job.spec.customer)
        if found is None:
            return None
        first, wait = found
        if first is step or len(first.open_indexes) != wait.open_tasks:
            return None
        priority = first.job.spec.policy.priority
        if step.is_away or step.job.spec.policy.priority < priority:
            return None
        both = used + _whole_demand(step) + _whole_demand(first)
        return None if is_within(cap, both) else first

    def update(self, waits: Iterable[tuple[StepRun, CapWait]], now_s: float) -> None:
        """Choose, for each customer, the step that has waited longest.

        Parameters
        ----------
        waits : iterable of (StepRun, CapWait)
            The steps that wait for their caps.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        chosen: dict[str, tuple[StepRun, CapWait]] = {}
        waiting = set()
        for step, wait in waits:
            customer = step.job.spec.customer
            waiting.add(customer)
            if not self._is_passed_over(step, wait, now_s):
                continue
            other = chosen.get(customer)
            if other is None or wait.idle_since_s < other[1].idle_since_s:
                chosen[customer] = step, wait
        for customer in self._least_by_customer.keys() - waiting:
            del self._least_by_customer[customer]
        self._log_changes(chosen, now_s)
        self._first_by_customer = chosen

    def _is_passed_over(self, step: StepRun, wait: CapWait, now_s: float) -> bool:
        if now_s - wait.idle_since_s < PRECEDENCE_AFTER_S:
            return False
        customer = step.job.spec.customer
        cap = find_cap(self._context.operators.configuration, customer)
        if cap is None or now_s - wait.held_s > MAX_UNHELD_S:
            return False
        demand = _whole_demand(step)
        least = self._least_by_customer.get(customer)
        if least is None or _capped_demand(step, cap).fits_in(least):
            return False
        if step.spec.gang and not is_within(cap, demand):
            # It waits for a higher cap, and others must not wait with it.
            return False
        if not is_below_half(cap, self._usage.used_by(customer)):
            wait.below_half_since_s = None
            return True
        if wait.below_half_since_s is None:
            wait.below_half_since_s = now_s
        return now_s - wait.below_half_since_s < MAX_BELOW_HALF_S

    def _log_changes(
        self, chosen: dict[str, tuple[StepRun, CapWait]], now_s: float
    ) -> None:
        for customer in chosen.keys() | self._first_by_customer.keys():
            step, wait = chosen.get(customer, (None, None))
            former, _ = self._first_by_customer.get(customer, (None, None))
            if step is former:
                continue
            log.info(
                "cap_precedence",
                customer=customer,
                step=step and f"{step.job.spec.id}.{step.occurrence}.{step.step}",
                waited_ms=wait and round(1000 * (now_s - wait.idle_since_s)),
                demand=step and _whole_demand(step).as_text(),
                used=self._usage.used_by(customer).as_text(),
            )


def _whole_demand(step: StepRun) -> Resources:
    """Return what a task of a step uses, or all of a gang together."""
    return gang_demand(step.spec) if step.spec.gang else step.spec.demand


def _capped_demand(step: StepRun, cap: Resources) -> Resources:
    """Return the demand of a step in resources with a cap, and 0 in the others."""
    demand = _whole_demand(step)
    return Resources(
        demand.processors_milli if cap.processors_milli else 0,
        demand.memory_mb if cap.memory_mb else 0,
        demand.accelerators if cap.accelerators else 0,
    )
