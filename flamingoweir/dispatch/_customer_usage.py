"""What each customer has allocated on all runners of a shard."""

from dataclasses import dataclass

from ..resources import Resources

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
    sent until its end is known.
    """

    def __init__(self) -> None:
        self._usage_by_customer: dict[str, _Usage] = {}

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
