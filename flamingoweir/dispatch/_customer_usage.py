"""What each customer has allocated on all runners of a shard."""

import heapq
from dataclasses import dataclass

from ..fleet import MAX_LATENESS_S, Allocation, Runner
from ..jobs import Attempt, StepRun, StepSpec, TaskId
from ..resources import Resources
from ._cap_changes import CapChanges
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
    cap_changes : CapChanges
        When the caps of customers were lowered.
    by_service : ServiceUsage
        Sums by service, without allocations that have ended.
    """

    def __init__(self) -> None:
        self.cap_changes = CapChanges()
        self.by_service = ServiceUsage()
        self._usage_by_customer: dict[str, _Usage] = {}
        #: Allocations of this term whose start orders were not sent yet, in the order
        #: of placement.
        self._unsent_by_customer: dict[str, dict[tuple[TaskId, int], Allocation]] = {}
        #: Allocations that ended before their orders can't be carried out any more, and
        #: when that is, on the owner's clock, in seconds; a heap. The numbers tell
        #: those of one time apart.
        self._late: list[tuple[float, int, Allocation]] = []
        self._late_count = 0

    def allocate(self, runner: Runner, attempt: Attempt, step: StepRun) -> Allocation:
        """Allocate resources of a runner for an attempt, and count them."""
        customer = step.job.spec.customer
        allocation = self.restore(runner, attempt, step.spec, customer)
        allocation.awaits_order = True
        if customer:
            unsent = self._unsent_by_customer.setdefault(customer, {})
            unsent[attempt.task, attempt.run] = allocation
        return allocation

    def restore(
        self, runner: Runner, attempt: Attempt, spec: StepSpec, customer: str
    ) -> Allocation:
        """Allocate resources for an attempt of an earlier owner, and count them."""
        allocation = runner.add(attempt, spec, customer)
        self.add(customer, spec.demand)
        self.by_service.add(allocation.service, customer, spec.demand)
        return allocation

    def release(self, runner: Runner, task: TaskId, run: int) -> Allocation | None:
        """Release an allocation; return it, or None if there is none."""
        allocation = runner.remove(task, run)
        if allocation is not None:
            self.remove(allocation.customer, allocation.spec.demand)
            service, customer = allocation.service, allocation.customer
            self.by_service.remove(service, customer, allocation.spec.demand)
            self._remove_unsent(allocation)
        return allocation

    def record_sent(self, allocation: Allocation) -> None:
        """Record that the start order of an allocation is being sent."""
        allocation.start_sent = True
        allocation.awaits_order = False
        self._remove_unsent(allocation)

    def used_before(self, allocation: Allocation) -> Resources:
        """Return what the customer of an allocation uses without those placed after it.

        Allocations whose start orders were sent count in any case.
        """
        used = self.used_by(allocation.customer)
        unsent = self._unsent_by_customer.get(allocation.customer, {})
        for later in reversed(unsent.values()):
            if later is allocation:
                break
            used = used - later.spec.demand
        return used

    def _remove_unsent(self, allocation: Allocation) -> None:
        unsent = self._unsent_by_customer.get(allocation.customer)
        if unsent is None:
            return
        unsent.pop((allocation.attempt.task, allocation.attempt.run), None)
        if not unsent:
            del self._unsent_by_customer[allocation.customer]

    def keep_late(self, runner: Runner, allocation: Allocation, now_s: float) -> None:
        """Go on counting an attempt that ended, as its order may be carried out.

        An order without a response may reach the next incarnation of a runner, which
        knows nothing of an end or a stop on the former one; see `LateOrders`. That
        counts from when it got none, however long the attempt has run since.
        """
        if not allocation.customer:
            return
        until_s = allocation.late_start_until_s
        if runner.unanswered_starts.has_pending:
            # One of them may be of this attempt.
            until_s = now_s + MAX_LATENESS_S
        if until_s < now_s:
            return
        self.add(allocation.customer, allocation.spec.demand)
        self._late_count += 1
        heapq.heappush(self._late, (until_s, self._late_count, allocation))

    def remove_expired(self, now_s: float) -> None:
        """Stop counting attempts whose orders can't be carried out any more."""
        while self._late and self._late[0][0] < now_s:
            _, _, allocation = heapq.heappop(self._late)
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
