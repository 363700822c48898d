"""Bounds retries and hedges to a fraction of the requests."""

BURST_TOKENS = 10.0


class RetryBudget:
    """A bucket that every request fills a little and every retry empties by one.

    Parameters
    ----------
    fraction : float
        Retries for each request, in the long run.
    """

    def __init__(self, fraction: float):
        self._fraction = fraction
        self._tokens = BURST_TOKENS

    def record_request(self) -> None:
        """Count a request."""
        self._tokens = min(BURST_TOKENS, self._tokens + self._fraction)

    def try_spend(self) -> bool:
        """Return whether one more retry is allowed, and count it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
