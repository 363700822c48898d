"""The caps of customers, and when they were lowered."""

from ..registry import Configuration
from ..resources import Resources


def find_cap(configuration: Configuration | None, customer: str) -> Resources | None:
    """Return the cap of a customer; None: it has no cap, or is not configured."""
    if not customer or configuration is None:
        return None
    found = configuration.customer_by_name.get(customer)
    return None if found is None or found.cap == Resources() else found.cap


class CapChanges:
    """Compares the caps of each configuration with those of the one before.

    Attributes
    ----------
    lowered_s_by_customer : dict of str to float
        When the cap of a customer was last lowered or newly set in any resource, on the
        owner's clock, in seconds, for customers that have a cap now.
    """

    def __init__(self) -> None:
        self.lowered_s_by_customer: dict[str, float] = {}
        self._cap_by_customer: dict[str, Resources] = {}

    def record(self, configuration: Configuration | None, now_s: float) -> None:
        """Record the configuration in force; None: none is known yet."""
        if configuration is None:
            return
        cap_by_customer = {}
        for name, customer in configuration.customer_by_name.items():
            if customer.cap == Resources():
                continue
            cap_by_customer[name] = customer.cap
            former = self._cap_by_customer.get(name, Resources())
            if _is_lower(customer.cap, former):
                self.lowered_s_by_customer[name] = now_s
        for name in self._cap_by_customer.keys() - cap_by_customer.keys():
            self.lowered_s_by_customer.pop(name, None)
        self._cap_by_customer = cap_by_customer


def _is_lower(cap: Resources, former: Resources) -> bool:
    """Return whether a cap is lower than a former one in a resource; 0: no limit."""
    for limit, former_limit in (
        (cap.processors_milli, former.processors_milli),
        (cap.memory_mb, former.memory_mb),
        (cap.accelerators, former.accelerators),
    ):
        if limit and (not former_limit or limit < former_limit):
            return True
    return False
