"""Limits retries and hedged requests to a fraction of all requests."""

#: Largest number of tokens, and so of retries in a burst.
BURST_TOKENS = 10.0


class RetryBudget:
    """Token bucket: each request adds a fraction of a token, each retry takes one.

    Parameters
    ----------
    fraction : float
        Average number of retries allowed for each request; at least 0.
    """

    def __init__(self, fraction: float):
        self._fraction = fraction
        self._tokens = BURST_TOKENS

    def record_request(self) -> None:
        """Add the tokens of one request."""
        self._tokens = min(BURST_TOKENS, self._tokens + self._fraction)

    def try_spend(self) -> bool:
        """Take a token for a retry; return False if less than one token is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
