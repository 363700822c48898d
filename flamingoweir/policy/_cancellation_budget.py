"""Which cancellations of unknown jobs an instance writes to the store.

Answers clients that cancel ids which were never submitted, thousands a second, and a
crowd that cancels all that an outage has left without an answer. Each such cancellation
takes a write, which the owner and submissions need more. A store takes 600 writes a
second or more for ten instances, of which these take a twelfth at the most.
"""

from dataclasses import dataclass

#: Cancellations a second, and as many at once after a pause: of an instance, and of one
#: customer there.
INSTANCE_RATE_PER_S, INSTANCE_BURST = 5.0, 20.0
CUSTOMER_RATE_PER_S, CUSTOMER_BURST = 2.0, 10.0
#: Number of customers that are counted at the same time; others share one allowance.
MAX_COUNTED = 1000


@dataclass(slots=True)
class _Allowance:
    """What is left of a burst, as of a time in seconds."""

    left: float
    as_of_s: float

    def refill(self, rate_per_s: float, burst: float, now_s: float) -> None:
        passed_s = max(0.0, now_s - self.as_of_s)
        self.left = min(burst, self.left + rate_per_s * passed_s)
        self.as_of_s = now_s


class CancellationBudget:
    """Admits a number of cancellations, by second and by customer."""

    def __init__(self) -> None:
        self._total = _Allowance(INSTANCE_BURST, 0.0)
        self._by_customer: dict[str, _Allowance] = {}

    def admit(self, customer: str, now_s: float) -> float:
        """Admit a cancellation, or return after how many seconds one may be.

        Parameters
        ----------
        customer : str
            Name of the customer; "": none.
        now_s : float
            Time in seconds.

        Returns
        -------
        float
            0 if the cancellation is admitted.
        """
        self._total.refill(INSTANCE_RATE_PER_S, INSTANCE_BURST, now_s)
        own = self._find(customer, now_s)
        wait_s = max(
            (1 - self._total.left) / INSTANCE_RATE_PER_S,
            0.0 if own is None else (1 - own.left) / CUSTOMER_RATE_PER_S,
        )
        if wait_s > 0:
            return wait_s
        self._total.left -= 1
        if own is not None:
            own.left -= 1
        return 0.0

    def _find(self, customer: str, now_s: float) -> _Allowance | None:
        """Return the allowance of a customer; None for requests without one."""
        if not customer:
            return None
        if customer not in self._by_customer and len(self._by_customer) >= MAX_COUNTED:
            self._forget_full(now_s)
        if customer not in self._by_customer and len(self._by_customer) >= MAX_COUNTED:
            # No customer has an empty name.
            customer = ""
        own = self._by_customer.get(customer)
        if own is None:
            own = self._by_customer[customer] = _Allowance(CUSTOMER_BURST, now_s)
        own.refill(CUSTOMER_RATE_PER_S, CUSTOMER_BURST, now_s)
        return own

    def _forget_full(self, now_s: float) -> None:
        for customer, own in list(self._by_customer.items()):
            own.refill(CUSTOMER_RATE_PER_S, CUSTOMER_BURST, now_s)
            if own.left >= CUSTOMER_BURST:
                del self._by_customer[customer]
