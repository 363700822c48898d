"""What each customer has allocated on all runners of a shard."""

from collections import deque
from dataclasses import dataclass

from ..fleet import Allocation, Runner
from ..jobs import Attempt, Outcome, StepRun, TaskId
from ..resources import Resources
from ._late_orders import MAX_LATENESS_S
from ._service_usage import ServiceUsage

_NOTHING = Resources()


@dataclass(slots=True)
class _Usage:
    """Sum of the demands of a customer's allocations, and their number."""

    total: Resources = _NOTHING
    count: int = 0


class CustomerUsage:
    """Sums of the demands of all allocations, by customer.

    The demand of a task counts in full, also the processors of one that runs on spare
    processors and reserves none. An allocation counts from before its start order is
    sent until its end is known, and longer if the order may be carried out after that.
    `OwnerState` changes allocations by `allocate` and `release` only.

    Attributes
    ----------
    caps_changed_s : float
        When the latest configuration came into force, on the owner's clock, in seconds;
        minus infinity: before the term.
    by_service : ServiceUsage
        Sums by service, without allocations that have ended.
    """

    def __init__(self) -> None:
        self.caps_changed_s = float("-inf")
        self.by_service = ServiceUsage()
        self._usage_by_customer: dict[str, _Usage] = {}
        #: Allocations that ended before their orders can't be carried out any more, and
        #: when that is, on the owner's clock, in seconds.
        self._late: deque[tuple[float, Allocation]] = deque()

    def allocate(self, runner: Runner, attempt: Attempt, step: StepRun) -> Allocation:
        """Allocate resources of a runner for an attempt, and count them."""
        allocation = runner.add(attempt, step.spec, step.job.spec.customer)
        self.add(allocation.customer, step.spec.demand)
        service, customer = allocation.service, allocation.customer
        self.by_service.add(service, customer, step.spec.demand)
        return allocation

    def release(self, runner: Runner, task: TaskId, run: int) -> Allocation | None:
        """Release an allocation; return it, or None if there is none."""
        allocation = runner.remove(task, run)
        if allocation is not None:
            self.remove(allocation.customer, allocation.spec.demand)
            service, customer = allocation.service, allocation.customer
            self.by_service.remove(service, customer, allocation.spec.demand)
        return allocation

    def keep_late(self, allocation: Allocation, outcome: Outcome, now_s: float) -> None:
        """Go on counting an attempt that ended, if its order may be carried out.

        An order without a response may reach the next incarnation of a runner that was
        lost, though the lease has lapsed. A run whose end the runner has reported can't
        start there again.
        """
        if outcome is not Outcome.LAPSED or not allocation.start_unanswered:
            return
        if not allocation.customer:
            return
        self.add(allocation.customer, allocation.spec.demand)
        self._late.append((now_s + MAX_LATENESS_S, allocation))

    def remove_expired(self, now_s: float) -> None:
        """Stop counting attempts whose orders can't be carried out any more."""
        while self._late and self._late[0][0] < now_s:
            _, allocation = self._late.popleft()
            self.remove(allocation.customer, allocation.spec.demand)

    def add(self, customer: str, demand: Resources) -> None:
        """Count an allocation.

        Parameters
        ----------
        customer : str
            Name of the job's customer; nothing is counted if it is empty.
        demand : Resources
            Resources that the task uses.
        """
        if not customer:
            return
        usage = self._usage_by_customer.setdefault(customer, _Usage())
        usage.total = usage.total + demand
        usage.count += 1

    def remove(self, customer: str, demand: Resources) -> None:
        """Stop counting an allocation that was added with the same arguments."""
        if not customer:
            return
        usage = self._usage_by_customer[customer]
        usage.total = usage.total - demand
        usage.count -= 1
        if not usage.count:
            # Only customers with allocations take memory.
            del self._usage_by_customer[customer]

    def used_by(self, customer: str) -> Resources:
        """Return the sum of the demands of a customer's allocations."""
        usage = self._usage_by_customer.get(customer)
        return _NOTHING if usage is None else usage.total
