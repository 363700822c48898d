"""What each customer has allocated on the runners of each service."""

from collections.abc import Iterable

from ..resources import Resources

_NOTHING = Resources()


class ServiceUsage:
    """Sums of the demands of allocations, by service and customer."""

    def __init__(self) -> None:
        self._used_by_service: dict[str, dict[str, Resources]] = {}

    def add(self, service: str, customer: str, demand: Resources) -> None:
        """Count an allocation; nothing is counted if the customer is empty."""
        if customer and demand != _NOTHING:
            used_by_customer = self._used_by_service.setdefault(service, {})
            used = used_by_customer.get(customer, _NOTHING)
            used_by_customer[customer] = used + demand

    def remove(self, service: str, customer: str, demand: Resources) -> None:
        """Stop counting an allocation that was added with the same arguments."""
        if not customer or demand == _NOTHING:
            return
        used_by_customer = self._used_by_service[service]
        used = used_by_customer[customer] - demand
        if used != _NOTHING:
            used_by_customer[customer] = used
            return
        # Only customers that use capacity take memory.
        del used_by_customer[customer]
        if not used_by_customer:
            del self._used_by_service[service]

    def used_by(self, service: str, customer: str) -> Resources:
        """Return the sum of the demands of a customer's allocations in a service."""
        return self._used_by_service.get(service, {}).get(customer, _NOTHING)

    def customers_of(self, service: str) -> Iterable[str]:
        """Return the customers that use capacity of a service."""
        return self._used_by_service.get(service, {}).keys()

    @property
    def services(self) -> Iterable[str]:
        """Services of which customers use capacity."""
        return self._used_by_service.keys()
