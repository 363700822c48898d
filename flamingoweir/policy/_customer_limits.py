"""Rate to which a customer is entitled, and limits on submissions beyond it.

A customer is entitled to as many submissions a second as its weight. Answers a customer
that sends four to ten times its usual load for some seconds: what goes beyond the rate
is marked as excess and waits behind all others; while it waits for lack of capacity,
the instances admit only as much as the customer is entitled to. The others wait no
longer for it, and a refused submitter comes back when the excess has drained.
"""

import math
from collections.abc import Iterable

from ..customers import CustomerLimit

#: Seconds' worth of submissions that a customer may send at once.
BURST_S = 2.0
#: Time constant of measured rates, in seconds. The objectives of jobs and the bursts
#: that are to be limited take a few seconds.
RATE_TIME_S = 2.0
#: Longest time after which a refused submitter may come back, in seconds, without
#: jitter. The value of most jobs is lost later than that.
MAX_RETRY_AFTER_S = 10.0
#: Seconds that the waiting excess must last for a limit. Instances act on a limit for
#: about as long after it was lifted, and runners must not become free meanwhile.
MIN_EXCESS_S = 2.0
#: Largest fraction that jitter adds to the time to come back.
RETRY_JITTER = 0.5
#: Least fraction of submissions that is admitted, so that the arrival rate stays known.
MIN_ADMITTED = 0.01
#: Largest number of customers with a published limit.
MAX_LIMITED_CUSTOMERS = 50
#: Largest total length of their names, in bytes; the owner row has at most 64 KiB.
MAX_NAME_BYTES = 5_000


class TokenBucket:
    """Counts submissions against a rate, over their acceptance times."""

    def __init__(self) -> None:
        self._tokens = math.inf
        self._at_s = -math.inf

    def take(self, at_s: float, rate: float) -> bool:
        """Return whether a submission is within the rate.

        Parameters
        ----------
        at_s : float
            Time of acceptance in seconds. One that is earlier than the latest counts
            as accepted together with that.
        rate : float
            Submissions per second.
        """
        burst = max(1.0, BURST_S * rate) if rate > 0 else 0.0
        if at_s > self._at_s:
            if self._at_s > -math.inf:
                self._tokens += (at_s - self._at_s) * max(0.0, rate)
            self._at_s = at_s
        self._tokens = min(burst, self._tokens)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RateMeter:
    """Exponentially weighted rate of events."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._at_s = -math.inf

    def add(self, at_s: float, count: float = 1.0) -> None:
        """Count events at a time in seconds."""
        self._rate = self.per_s(at_s) + count / RATE_TIME_S
        self._at_s = max(self._at_s, at_s)

    def per_s(self, now_s: float) -> float:
        """Return the events per second."""
        if self._at_s == -math.inf:
            return 0.0
        return self._rate * math.exp(-max(0.0, now_s - self._at_s) / RATE_TIME_S)


def find_limit(
    weight: float, arrivals_per_s: float, excess_waiting: int, drained_per_s: float
) -> CustomerLimit | None:
    """Return the limit of a customer whose excess waits for lack of capacity.

    Parameters
    ----------
    weight : float
        Submissions per second to which the customer is entitled.
    arrivals_per_s : float
        Submissions per second, also those that were refused.
    excess_waiting : int
        Number of its excess jobs that wait.
    drained_per_s : float
        Excess jobs of the customer that begin per second.

    Returns
    -------
    CustomerLimit or None
        None if the customer sends no more than it is entitled to, or its excess will
        soon have drained.
    """
    if not excess_waiting or arrivals_per_s <= weight:
        return None
    drain_s = math.inf
    if drained_per_s > 0:
        drain_s = excess_waiting / drained_per_s
    if drain_s < MIN_EXCESS_S:
        return None
    retry_after_s = min(MAX_RETRY_AFTER_S, drain_s)
    admitted = max(MIN_ADMITTED, weight / arrivals_per_s)
    return CustomerLimit(round(admitted, 3), round(retry_after_s, 1))


def choose_published(
    candidates: Iterable[tuple[int, str, CustomerLimit]],
) -> dict[str, CustomerLimit]:
    """Return the limits to publish: those of the customers with the most excess.

    Parameters
    ----------
    candidates : iterable of (int, str, CustomerLimit)
        Number of waiting excess jobs, name and limit of each customer.
    """
    limit_by_customer: dict[str, CustomerLimit] = {}
    name_bytes = 0
    for _, name, limit in sorted(candidates, key=lambda entry: (-entry[0], entry[1])):
        name_bytes += len(name.encode())
        if len(limit_by_customer) >= MAX_LIMITED_CUSTOMERS:
            break
        if name_bytes > MAX_NAME_BYTES:
            break
        limit_by_customer[name] = limit
    return limit_by_customer


def retry_after_s(limit: CustomerLimit, draw: float) -> float:
    """Return when a refused submitter may come back, spread over submitters.

    Parameters
    ----------
    limit : CustomerLimit
        The customer's limit.
    draw : float
        Random number from 0 to 1.
    """
    return limit.retry_after_s * (1 + RETRY_JITTER * draw)
