"""Parts of metric names that stand for customers."""

import re

from ..metrics import INVALID_NAME_CHARACTERS

#: Suffixes that a collector adds to the names of counters, or removes from them.
_COUNTER_SUFFIXES = re.compile(r"(_total|_created)+$")


class MetricLabels:
    """Gives customers labels for use in metric names, a bounded number of them.

    Only one of the customers whose names are equal as parts of metric names gets a
    label, the first one: a collector refuses a second metric of the same name.

    Parameters
    ----------
    max_customers : int
        Number of customers that get labels, in the order in which they are asked for.
    """

    def __init__(self, max_customers: int):
        self._max_customers = max_customers
        self._customer_by_key: dict[str, str] = {}

    def find(self, customer: str) -> str | None:
        """Return the label of a customer, or None if it gets none."""
        label = INVALID_NAME_CHARACTERS.sub("_", customer)
        key = _COUNTER_SUFFIXES.sub("", label)
        known = self._customer_by_key.get(key)
        if known is None and len(self._customer_by_key) < self._max_customers:
            known = self._customer_by_key[key] = customer
        return label if known == customer else None
