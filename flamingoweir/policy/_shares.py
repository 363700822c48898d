"""Order of customers within a priority when more work waits than fits.

Weighted dominant resource fairness (Ghodsi et al., NSDI 2011): steps of customers that
use less than their fair share go before those of customers that use more. Submissions
beyond what a customer is entitled to go last.

Answers a full fleet for which one customer has several times as much work as all
others. In the order of time alone, its backlog makes the jobs of the others late.
"""

from collections.abc import Callable, Mapping

from ..resources import Resources

#: Ranks of a step among those of its priority; the lowest goes first.
BELOW_SHARE, ABOVE_SHARE, EXCESS = 0, 1, 2


def weighted_share(used: Resources, total: Resources, weight: float) -> float:
    """Return a dominant share divided by the weight of who uses it.

    Parameters
    ----------
    used, total : Resources
        What is used, and all that there is.
    weight : float
        Weight; infinity is returned if it is 0 or less.
    """
    if weight <= 0:
        return float("inf")
    return used.dominant_share(total) / weight


class FairShares:
    """Tells which customers use less than their fair share of the fleet.

    The fair share of a customer is its weight divided by the sum of the weights of all
    customers that use or want capacity.

    Parameters
    ----------
    capacity : Resources
        Usable capacity of all runners.
    weight_by_customer : mapping of str to float
        Weights, 0 or more, of the customers that use or want capacity.
    find_used : callable
        Takes the name of a customer; returns the `Resources` that it uses now.
    """

    def __init__(
        self,
        capacity: Resources,
        weight_by_customer: Mapping[str, float],
        find_used: Callable[[str], Resources],
    ):
        self.capacity = capacity
        self._weight_by_customer = weight_by_customer
        self._find_used = find_used
        self._weight_sum = sum(weight_by_customer.values())

    def is_below(self, customer: str) -> bool:
        """Return whether one of the customers uses less than its fair share now."""
        weight = self._weight_by_customer[customer]
        share = weighted_share(self._find_used(customer), self.capacity, weight)
        # Compares share / weight with 1 / sum of weights.
        return share * self._weight_sum < 1.0

    def due(self, customer: str) -> float:
        """Return the fair share of a customer, as a fraction of the fleet."""
        if self._weight_sum <= 0:
            return 0.0
        return self._weight_by_customer.get(customer, 0.0) / self._weight_sum

    def received(self, customer: str) -> float:
        """Return the dominant share that a customer uses now."""
        return self._find_used(customer).dominant_share(self.capacity)
